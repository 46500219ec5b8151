/*
 * list.h - intrusive doubly linked lists.
 *
 * A list head and every member embed a struct ms_list_link.  An empty head points
 * to itself, and so does a link that is in no list.
 */
#ifndef MS_LIST_H
#define MS_LIST_H

#include <stdbool.h>
#include <stddef.h>

struct ms_list_link {
    struct ms_list_link *next;
    struct ms_list_link *prev;
};

/* Pointer to the struct of type TYPE that embeds LINK as its field MEMBER. */
#define MS_CONTAINER_OF(link, type, member)                                                        \
    ((type *)(void *)((char *)(link)-offsetof(type, member)))

/*
 * Iterates over the list HEAD.  The body may unlink any element, the current one
 * included, except the next one: CURSOR_next is read before the body runs.  A
 * body that may unlink that one sets CURSOR_next to an element still in the list.
 */
#define MS_LIST_FOREACH(cursor, head)                                                              \
    for (struct ms_list_link *cursor = (head)->next, *cursor##_next = cursor->next;                \
         cursor != (head); cursor = cursor##_next, cursor##_next = cursor->next)

static inline void
ms_list_link_init(struct ms_list_link *link)
{
    link->next = link;
    link->prev = link;
}

static inline bool
ms_list_is_empty(const struct ms_list_link *head)
{
    return head->next == head;
}

/* Removes LINK from its list; has no effect when it is in none. */
static inline void
ms_list_remove(struct ms_list_link *link)
{
    link->prev->next = link->next;
    link->next->prev = link->prev;
    ms_list_link_init(link);
}

/* Inserts LINK before POSITION.  LINK must be in no list. */
static inline void
ms_list_insert_before(struct ms_list_link *position, struct ms_list_link *link)
{
    link->prev = position->prev;
    link->next = position;
    position->prev->next = link;
    position->prev = link;
}

/* Inserts LINK at the end of the list HEAD.  LINK must be in no list. */
static inline void
ms_list_append(struct ms_list_link *head, struct ms_list_link *link)
{
    ms_list_insert_before(head, link);
}

#endif
