/*
 * links.h - the thread that carries the engine's orders to backend servers.
 */
#ifndef MS_ENTRY_LINKS_H
#define MS_ENTRY_LINKS_H

#include "entry/message.h"
#include "obs/ring.h"

struct ms_links;

struct ms_links *ms_links_start(struct ms_ring *answers);

/*
 * Takes ORDER over; its answer comes as MS_ENTRY_ORDER or MS_ENTRY_HOLD with
 * ORDER in it.  EPOCH fences it.  False when too many orders wait.
 */
bool ms_links_push(struct ms_links *links, struct ms_engine_action *order, uint64_t epoch);

/* Orders of epochs below EPOCH are dropped without an answer. */
void ms_links_epoch(struct ms_links *links, uint64_t epoch);

void ms_links_stop(struct ms_links *links);

#endif
