/*
 * peer.c - TCP connections between entry hosts.
 */
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <stdatomic.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "config/address.h"
#include "node/message.h"
#include "obs/clock.h"
#include "obs/log.h"
#include "peer/peer.h"
#include "wire/frame.h"

#define COMMAND_RING_SLOTS 8192
#define UNSENT_BYTES_MAX (32u << 20) /* a connection with more unsent bytes is closed */
#define RECONNECT_MS 500             /* delay before the next connection attempt */
#define CONNECT_TIMEOUT_MS 1000      /* until the Hello of the other host was received */
#define EPOLL_EVENTS 64
#define EPOLL_WAIT_MS 250 /* longest time between two calls of check_peers() */
#define READ_BYTES 65536
#define LISTEN_BACKLOG 128

enum connection_state {
    CONNECTION_CONNECTING = 0, /* connect() is in progress */
    CONNECTION_AWAITING_HELLO, /* waiting for the other host's Hello */
    CONNECTION_OPEN,           /* Hello received, envelopes may be exchanged */
};

struct connection {
    int fd;
    enum connection_state state;
    char name[MS_NAME_MAX]; /* other host; "" until the Hello on accepted connections */
    char dc[MS_NAME_MAX];   /* its data centre, from the Hello */
    GByteArray *received;   /* not parsed yet */
    GByteArray *unsent;     /* frames, the first may be partly sent */
    int64_t created_at;     /* ms_clock_monotonic_ms() */
};

/* Another entry host. */
struct peer {
    char name[MS_NAME_MAX];
    char address[MS_ADDRESS_MAX];  /* "" if it is only known from its Hello */
    struct connection *connection; /* NULL if there is none */
    int64_t next_connect_at;       /* ms_clock_monotonic_ms() of the next connection attempt */
};

/* Commands of other threads to the peer thread. */
enum command_kind { COMMAND_ADD = 0, COMMAND_SEND, COMMAND_CLOSE };

struct command {
    enum command_kind kind;
    char name[MS_NAME_MAX];
    char address[MS_ADDRESS_MAX]; /* ADD */
    GByteArray *frame;            /* SEND, else NULL */
};

struct ms_peers {
    const struct ms_settings *settings;
    struct ms_counters *counters;
    struct ms_ring *node_ring; /* struct ms_message */
    struct ms_ring *commands;  /* struct command */
    pthread_t thread;
    atomic_bool stopping;
    int epoll_fd; /* event data: this struct for listen_fd, `commands`, or a struct connection */
    int listen_fd;
    GHashTable *by_name;     /* name -> struct peer */
    GHashTable *connections; /* set of struct connection, accepted ones without a name too */
};

/* Sends the node a message that CONNECTION was opened or closed. */
static void
notify_node(struct ms_peers *peers, enum ms_message_kind kind, const struct connection *connection)
{
    struct ms_message *message = ms_message_new(kind);
    g_strlcpy(message->peer.name, connection->name, sizeof(message->peer.name));
    g_strlcpy(message->peer.dc, connection->dc, sizeof(message->peer.dc));
    ms_message_push(peers->node_ring, &peers->stopping, message);
}

static struct connection *
connection_new(struct ms_peers *peers, int fd, enum connection_state state)
{
    int enable = 1;
    struct connection *connection = g_new0(struct connection, 1);
    connection->fd = fd;
    connection->state = state;
    connection->received = g_byte_array_new();
    connection->unsent = g_byte_array_new();
    connection->created_at = ms_clock_monotonic_ms();
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &enable, sizeof(enable));
    struct epoll_event event = {.events = EPOLLIN | EPOLLOUT, .data.ptr = connection};
    epoll_ctl(peers->epoll_fd, EPOLL_CTL_ADD, fd, &event);
    g_hash_table_add(peers->connections, connection);
    return connection;
}

/* Returns the peer that uses CONNECTION, or NULL. */
static struct peer *
peer_of_connection(struct ms_peers *peers, const struct connection *connection)
{
    struct peer *peer = g_hash_table_lookup(peers->by_name, connection->name);
    return peer != NULL && peer->connection == connection ? peer : NULL;
}

/* Closes and frees CONNECTION; schedules a new one and notifies the node if a peer used it. */
static void
connection_close(struct ms_peers *peers, struct connection *connection)
{
    struct peer *peer = peer_of_connection(peers, connection);
    if (peer != NULL) {
        peer->connection = NULL;
        peer->next_connect_at = ms_clock_monotonic_ms() + RECONNECT_MS;
        if (connection->state == CONNECTION_OPEN) {
            ms_counter_add(peers->counters, MS_COUNT_PEER_CONNECTIONS_LOST, 1);
            notify_node(peers, MS_MESSAGE_PEER_DOWN, connection);
        }
    }
    g_hash_table_remove(peers->connections, connection);
    close(connection->fd);
    g_byte_array_unref(connection->received);
    g_byte_array_unref(connection->unsent);
    g_free(connection);
}

/*
 * Subscribes to writability only while connect() or output is pending: epoll
 * is level-triggered and would report an idle socket as writable all the time.
 */
static void
update_epoll_events(struct ms_peers *peers, struct connection *connection)
{
    bool writing = connection->unsent->len > 0 || connection->state == CONNECTION_CONNECTING;
    struct epoll_event event = {.events = EPOLLIN | (writing ? EPOLLOUT : 0),
                                .data.ptr = connection};
    epoll_ctl(peers->epoll_fd, EPOLL_CTL_MOD, connection->fd, &event);
}

/* Sends pending output.  Returns false if the connection has to be closed. */
static bool
send_pending(struct ms_peers *peers, struct connection *connection)
{
    while (connection->unsent->len > 0) {
        ssize_t sent = send(connection->fd, connection->unsent->data, connection->unsent->len,
                            MSG_NOSIGNAL | MSG_DONTWAIT);
        if (sent < 0) {
            if (errno == EINTR) {
                continue;
            }
            if (errno == EAGAIN || errno == EWOULDBLOCK) {
                break;
            }
            return false;
        }
        ms_counter_add(peers->counters, MS_COUNT_PEER_BYTES_OUT, (uint64_t)sent);
        g_byte_array_remove_range(connection->unsent, 0, (guint)sent);
    }
    update_epoll_events(peers, connection);
    return true;
}

/* Appends our Hello to the output of CONNECTION. */
static void
queue_hello(struct ms_peers *peers, struct connection *connection)
{
    Ms__Wire__Envelope envelope;
    Ms__Wire__Hello hello;
    ms__wire__envelope__init(&envelope);
    ms__wire__hello__init(&hello);
    hello.host = (char *)peers->settings->name;
    hello.dc = (char *)peers->settings->dc;
    hello.version = (char *)MS_VERSION;
    envelope.body_case = MS__WIRE__ENVELOPE__BODY_HELLO;
    envelope.hello = &hello;
    ms_frame_append(connection->unsent, &envelope);
}

/*
 * Opens CONNECTION: makes it the connection of the host that sent HELLO and
 * closes an older one to the same host.  Returns false if HELLO is not valid.
 */
static bool
handle_hello(struct ms_peers *peers, struct connection *connection, const Ms__Wire__Hello *hello)
{
    if (strlen(hello->host) >= MS_NAME_MAX || hello->host[0] == '\0') {
        return false;
    }
    if (connection->name[0] != '\0' && strcmp(connection->name, hello->host) != 0) {
        ms_log(MS_LOG_WARNING, "event=wrong_peer expected=%s got=%s", connection->name,
               hello->host);
        return false;
    }
    g_strlcpy(connection->name, hello->host, sizeof(connection->name));
    g_strlcpy(connection->dc, hello->dc, sizeof(connection->dc));
    struct peer *peer = g_hash_table_lookup(peers->by_name, connection->name);
    if (peer == NULL) {
        peer = g_new0(struct peer, 1);
        g_strlcpy(peer->name, connection->name, sizeof(peer->name));
        g_hash_table_insert(peers->by_name, peer->name, peer);
    }
    if (peer->connection != NULL && peer->connection != connection) {
        connection_close(peers, peer->connection);
    }
    peer->connection = connection;
    connection->state = CONNECTION_OPEN;
    notify_node(peers, MS_MESSAGE_PEER_UP, connection);
    return true;
}

/*
 * Processes all complete envelopes received on CONNECTION: the first must be
 * a Hello, the others go to the node.  Returns false if the connection has to
 * be closed.
 */
static bool
handle_envelopes(struct ms_peers *peers, struct connection *connection)
{
    Ms__Wire__Envelope *envelope = NULL;
    enum ms_result result = MS_OK;
    while ((result = ms_frame_pop(connection->received, &envelope)) == MS_OK) {
        if (connection->state != CONNECTION_OPEN) {
            bool ok = envelope->body_case == MS__WIRE__ENVELOPE__BODY_HELLO &&
                      handle_hello(peers, connection, envelope->hello);
            ms__wire__envelope__free_unpacked(envelope, NULL);
            if (!ok) {
                return false;
            }
            continue;
        }
        struct ms_message *message = ms_message_new(MS_MESSAGE_PEER_ENVELOPE);
        g_strlcpy(message->peer.name, connection->name, sizeof(message->peer.name));
        g_strlcpy(message->peer.dc, connection->dc, sizeof(message->peer.dc));
        message->peer.envelope = envelope;
        ms_message_push(peers->node_ring, &peers->stopping, message);
    }
    return result == MS_E_NOTFOUND;
}

/* Reads and processes all available input.  Returns false if the connection has to be closed. */
static bool
read_input(struct ms_peers *peers, struct connection *connection)
{
    guint8 buffer[READ_BYTES];
    for (;;) {
        ssize_t length = recv(connection->fd, buffer, sizeof(buffer), MSG_DONTWAIT);
        if (length == 0) {
            return false;
        }
        if (length < 0) {
            if (errno == EINTR) {
                continue;
            }
            return errno == EAGAIN || errno == EWOULDBLOCK;
        }
        ms_counter_add(peers->counters, MS_COUNT_PEER_BYTES_IN, (uint64_t)length);
        g_byte_array_append(connection->received, buffer, (guint)length);
        if (!handle_envelopes(peers, connection)) {
            return false;
        }
    }
}

/* Called when connect() has ended.  Returns false if it failed, else queues our Hello. */
static bool
finish_connect(struct ms_peers *peers, struct connection *connection)
{
    int error = 0;
    socklen_t length = sizeof(error);
    if (getsockopt(connection->fd, SOL_SOCKET, SO_ERROR, &error, &length) != 0 || error != 0) {
        return false;
    }
    connection->state = CONNECTION_AWAITING_HELLO;
    queue_hello(peers, connection);
    return true;
}

static void
handle_connection(struct ms_peers *peers, struct connection *connection, uint32_t events)
{
    bool ok = true;
    if (connection->state == CONNECTION_CONNECTING && (events & (EPOLLOUT | EPOLLERR)) != 0) {
        ok = finish_connect(peers, connection);
    }
    if (ok && (events & (EPOLLIN | EPOLLHUP | EPOLLERR)) != 0) {
        ok = read_input(peers, connection);
    }
    if (ok) {
        ok = send_pending(peers, connection);
    }
    if (!ok) {
        connection_close(peers, connection);
    }
}

static void
accept_all(struct ms_peers *peers)
{
    for (;;) {
        int fd = accept4(peers->listen_fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (fd < 0) {
            return;
        }
        struct connection *connection = connection_new(peers, fd, CONNECTION_AWAITING_HELLO);
        queue_hello(peers, connection);
        send_pending(peers, connection);
    }
}

static void
start_connect(struct ms_peers *peers, struct peer *peer)
{
    struct sockaddr_in address;
    peer->next_connect_at = ms_clock_monotonic_ms() + RECONNECT_MS;
    if (!ms_address_parse(peer->address, &address)) {
        return;
    }
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0) {
        return;
    }
    if (connect(fd, (struct sockaddr *)&address, sizeof(address)) != 0 && errno != EINPROGRESS) {
        close(fd);
        return;
    }
    peer->connection = connection_new(peers, fd, CONNECTION_CONNECTING);
    g_strlcpy(peer->connection->name, peer->name, MS_NAME_MAX);
}

/*
 * Starts missing connections and closes those of a peer whose set-up takes too
 * long.  An accepted connection belongs to no peer before its Hello, so it may
 * wait for that without limit.
 */
static void
check_peers(struct ms_peers *peers)
{
    GHashTableIter iterator;
    gpointer value = NULL;
    int64_t now = ms_clock_monotonic_ms();
    g_hash_table_iter_init(&iterator, peers->by_name);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        struct peer *peer = value;
        bool we_connect = strcmp(peers->settings->name, peer->name) < 0;
        if (peer->connection == NULL) {
            if (we_connect && peer->address[0] != '\0' && now >= peer->next_connect_at) {
                start_connect(peers, peer);
            }
        }
        else if (peer->connection->state != CONNECTION_OPEN &&
                 now - peer->connection->created_at > CONNECT_TIMEOUT_MS) {
            connection_close(peers, peer->connection);
        }
    }
}

/* Sends the frame of COMMAND if the connection to its host is open. */
static void
send_frame(struct ms_peers *peers, const struct command *command)
{
    struct peer *peer = g_hash_table_lookup(peers->by_name, command->name);
    struct connection *connection = peer != NULL ? peer->connection : NULL;
    if (connection == NULL || connection->state != CONNECTION_OPEN) {
        return; /* dropped: the node repeats what must arrive */
    }
    if (connection->unsent->len > UNSENT_BYTES_MAX) {
        ms_log(MS_LOG_WARNING, "event=peer_overrun peer=%s bytes=%u", command->name,
               connection->unsent->len);
        connection_close(peers, connection);
        return;
    }
    g_byte_array_append(connection->unsent, command->frame->data, command->frame->len);
    if (!send_pending(peers, connection)) {
        connection_close(peers, connection);
    }
}

static void
add_peer(struct ms_peers *peers, const struct command *command)
{
    struct peer *peer = g_hash_table_lookup(peers->by_name, command->name);
    if (peer == NULL) {
        peer = g_new0(struct peer, 1);
        g_strlcpy(peer->name, command->name, sizeof(peer->name));
        g_hash_table_insert(peers->by_name, peer->name, peer);
    }
    g_strlcpy(peer->address, command->address, sizeof(peer->address));
}

static void
command_free(struct command *command)
{
    if (command->frame != NULL) {
        g_byte_array_unref(command->frame);
    }
    g_free(command);
}

static void
run_commands(struct ms_peers *peers)
{
    struct command *command = NULL;
    struct peer *peer = NULL;
    ms_ring_clear_wakeup(peers->commands);
    while ((command = ms_ring_pop(peers->commands)) != NULL) {
        switch (command->kind) {
        case COMMAND_ADD:
            add_peer(peers, command);
            break;
        case COMMAND_SEND:
            send_frame(peers, command);
            break;
        case COMMAND_CLOSE:
            peer = g_hash_table_lookup(peers->by_name, command->name);
            if (peer != NULL && peer->connection != NULL) {
                connection_close(peers, peer->connection);
                peer->next_connect_at = 0;
            }
            break;
        }
        command_free(command);
    }
}

static void *
peer_thread(void *opaque)
{
    struct ms_peers *peers = opaque;
    struct epoll_event events[EPOLL_EVENTS];
    while (!atomic_load(&peers->stopping)) {
        check_peers(peers);
        int count = epoll_wait(peers->epoll_fd, events, EPOLL_EVENTS, EPOLL_WAIT_MS);
        for (int i = 0; i < count; i++) {
            void *source = events[i].data.ptr;
            if (source == peers) {
                accept_all(peers);
            }
            /* An earlier event of the same batch may have closed the connection. */
            else if (source != peers->commands &&
                     g_hash_table_contains(peers->connections, source)) {
                handle_connection(peers, source, events[i].events);
            }
        }
        run_commands(peers);
    }
    return NULL;
}

static int
listen_on(const char *text)
{
    struct sockaddr_in address;
    int enable = 1;
    if (!ms_address_parse(text, &address)) {
        return -1;
    }
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0) {
        return -1;
    }
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &enable, sizeof(enable));
    if (bind(fd, (struct sockaddr *)&address, sizeof(address)) != 0 ||
        listen(fd, LISTEN_BACKLOG) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

static void
peers_free(struct ms_peers *peers)
{
    struct command *command = NULL;
    while (peers->commands != NULL && (command = ms_ring_pop(peers->commands)) != NULL) {
        command_free(command);
    }
    GList *connections = g_hash_table_get_keys(peers->connections);
    for (GList *node = connections; node != NULL; node = node->next) {
        struct connection *connection = node->data;
        connection->state = CONNECTION_AWAITING_HELLO; /* so that the node is not notified */
        connection_close(peers, connection);
    }
    g_list_free(connections);
    g_hash_table_destroy(peers->connections);
    g_hash_table_destroy(peers->by_name);
    ms_ring_free(peers->commands);
    if (peers->listen_fd >= 0) {
        close(peers->listen_fd);
    }
    if (peers->epoll_fd >= 0) {
        close(peers->epoll_fd);
    }
    g_free(peers);
}

struct ms_peers *
ms_peers_start(const struct ms_settings *settings, struct ms_counters *counters,
               struct ms_ring *node_ring)
{
    struct ms_peers *peers = g_new0(struct ms_peers, 1);
    peers->settings = settings;
    peers->counters = counters;
    peers->node_ring = node_ring;
    peers->by_name = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    peers->connections = g_hash_table_new(NULL, NULL);
    peers->commands = ms_ring_new(COMMAND_RING_SLOTS);
    peers->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
    peers->listen_fd = listen_on(settings->peer_address);
    if (peers->commands == NULL || peers->epoll_fd < 0 || peers->listen_fd < 0) {
        goto fail;
    }
    struct epoll_event listening = {.events = EPOLLIN, .data.ptr = peers};
    struct epoll_event commands = {.events = EPOLLIN, .data.ptr = peers->commands};
    epoll_ctl(peers->epoll_fd, EPOLL_CTL_ADD, peers->listen_fd, &listening);
    epoll_ctl(peers->epoll_fd, EPOLL_CTL_ADD, ms_ring_fd(peers->commands), &commands);
    if (pthread_create(&peers->thread, NULL, peer_thread, peers) != 0) {
        goto fail;
    }
    return peers;

fail:
    peers_free(peers);
    return NULL;
}

void
ms_peers_stop(struct ms_peers *peers)
{
    if (peers == NULL) {
        return;
    }
    atomic_store(&peers->stopping, true);
    ms_ring_wake(peers->commands);
    pthread_join(peers->thread, NULL);
    peers_free(peers);
}

static bool
push_command(struct ms_peers *peers, struct command *command)
{
    if (!ms_ring_push(peers->commands, command)) {
        command_free(command);
        return false;
    }
    return true;
}

static struct command *
command_new(enum command_kind kind, const char *name)
{
    struct command *command = g_new0(struct command, 1);
    command->kind = kind;
    g_strlcpy(command->name, name, sizeof(command->name));
    return command;
}

bool
ms_peers_add(struct ms_peers *peers, const char *name, const char *address)
{
    struct command *command = command_new(COMMAND_ADD, name);
    g_strlcpy(command->address, address, sizeof(command->address));
    return push_command(peers, command);
}

bool
ms_peers_send(struct ms_peers *peers, const char *name, const Ms__Wire__Envelope *envelope)
{
    struct command *command = command_new(COMMAND_SEND, name);
    command->frame = g_byte_array_new();
    ms_frame_append(command->frame, envelope);
    return push_command(peers, command);
}

bool
ms_peers_close(struct ms_peers *peers, const char *name)
{
    return push_command(peers, command_new(COMMAND_CLOSE, name));
}
