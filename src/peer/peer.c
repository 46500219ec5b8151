/*
 * peer.c - connections between the hosts of the system.
 */
#include <arpa/inet.h>
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

#include "node/message.h"
#include "obs/clock.h"
#include "obs/log.h"
#include "peer/peer.h"
#include "wire/frame.h"

#define COMMAND_RING_SLOTS 8192
#define OUT_BYTES_MAX (32u << 20) /* waiting for one connection */
#define RECONNECT_MS 500
#define CONNECT_TIMEOUT_MS 1000
#define EPOLL_EVENTS 64
#define EPOLL_WAIT_MS 250
#define READ_BYTES 65536
#define LISTEN_BACKLOG 128

enum connection_state {
    CONNECTION_CONNECTING = 0, /* connect() is under way */
    CONNECTION_GREETING,       /* waits for the other side's Hello */
    CONNECTION_OPEN,
};

struct connection {
    int fd;
    enum connection_state state;
    char name[MS_NAME_MAX]; /* "" until the Hello on accepted connections */
    char dc[MS_NAME_MAX];
    GByteArray *in;
    GByteArray *out;
    int64_t opened_at; /* milliseconds of the monotonic clock */
};

/* A host that is to be connected to. */
struct target {
    char name[MS_NAME_MAX];
    char address[MS_ADDRESS_MAX];
    struct connection *connection; /* NULL while there is none */
    int64_t connect_at;
};

enum command_kind { COMMAND_ADD = 0, COMMAND_SEND, COMMAND_CLOSE };

struct command {
    enum command_kind kind;
    char name[MS_NAME_MAX];
    char address[MS_ADDRESS_MAX];
    GByteArray *frame;
};

struct ms_peers {
    const struct ms_settings *settings;
    struct ms_counters *counters;
    struct ms_ring *node_ring;
    struct ms_ring *commands;
    pthread_t thread;
    atomic_bool stopping;
    int epoll_fd;
    int listen_fd;
    GHashTable *targets;     /* name -> target */
    GHashTable *connections; /* set of connection */
};

static bool
parse_address(const char *text, struct sockaddr_in *address)
{
    char host[MS_ADDRESS_MAX];
    memset(address, 0, sizeof(*address));
    g_strlcpy(host, text, sizeof(host));
    char *colon = strrchr(host, ':');
    if (colon == NULL) {
        return false;
    }
    *colon = '\0';
    address->sin_family = AF_INET;
    address->sin_port = htons((uint16_t)g_ascii_strtoull(colon + 1, NULL, 10));
    return inet_pton(AF_INET, host, &address->sin_addr) == 1;
}

static void
tell_state(struct ms_peers *peers, enum ms_message_kind kind, const struct connection *connection)
{
    struct ms_message *message = ms_message_new(kind);
    g_strlcpy(message->peer.name, connection->name, sizeof(message->peer.name));
    g_strlcpy(message->peer.dc, connection->dc, sizeof(message->peer.dc));
    ms_message_send(peers->node_ring, &peers->stopping, message);
}

static struct connection *
connection_new(struct ms_peers *peers, int fd, enum connection_state state)
{
    int one = 1;
    struct connection *connection = g_new0(struct connection, 1);
    connection->fd = fd;
    connection->state = state;
    connection->in = g_byte_array_new();
    connection->out = g_byte_array_new();
    connection->opened_at = ms_clock_ms();
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    struct epoll_event event = {.events = EPOLLIN | EPOLLOUT, .data.ptr = connection};
    epoll_ctl(peers->epoll_fd, EPOLL_CTL_ADD, fd, &event);
    g_hash_table_add(peers->connections, connection);
    return connection;
}

/* The target that uses CONNECTION, or NULL. */
static struct target *
target_of(struct ms_peers *peers, const struct connection *connection)
{
    struct target *target = g_hash_table_lookup(peers->targets, connection->name);
    return target != NULL && target->connection == connection ? target : NULL;
}

static void
connection_close(struct ms_peers *peers, struct connection *connection)
{
    struct target *target = target_of(peers, connection);
    if (target != NULL) {
        target->connection = NULL;
        target->connect_at = ms_clock_ms() + RECONNECT_MS;
        if (connection->state == CONNECTION_OPEN) {
            ms_counter_add(peers->counters, MS_COUNT_PEERS_LOST, 1);
            tell_state(peers, MS_MESSAGE_PEER_DOWN, connection);
        }
    }
    g_hash_table_remove(peers->connections, connection);
    close(connection->fd);
    g_byte_array_unref(connection->in);
    g_byte_array_unref(connection->out);
    g_free(connection);
}

/* Asks epoll for writability only while something waits to be written. */
static void
watch(struct ms_peers *peers, struct connection *connection)
{
    bool writing = connection->out->len > 0 || connection->state == CONNECTION_CONNECTING;
    struct epoll_event event = {.events = EPOLLIN | (writing ? EPOLLOUT : 0),
                                .data.ptr = connection};
    epoll_ctl(peers->epoll_fd, EPOLL_CTL_MOD, connection->fd, &event);
}

/* Writes what waits; false when the connection has to be closed. */
static bool
flush(struct ms_peers *peers, struct connection *connection)
{
    while (connection->out->len > 0) {
        ssize_t sent = send(connection->fd, connection->out->data, connection->out->len,
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
        g_byte_array_remove_range(connection->out, 0, (guint)sent);
    }
    watch(peers, connection);
    return true;
}

static void
greet(struct ms_peers *peers, struct connection *connection)
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
    ms_frame_append(connection->out, &envelope);
}

/* Makes CONNECTION the one to its host; an older one is closed. */
static bool
take_hello(struct ms_peers *peers, struct connection *connection, const Ms__Wire__Hello *hello)
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
    struct target *target = g_hash_table_lookup(peers->targets, connection->name);
    if (target == NULL) {
        target = g_new0(struct target, 1);
        g_strlcpy(target->name, connection->name, sizeof(target->name));
        g_hash_table_insert(peers->targets, target->name, target);
    }
    if (target->connection != NULL && target->connection != connection) {
        connection_close(peers, target->connection);
    }
    target->connection = connection;
    connection->state = CONNECTION_OPEN;
    tell_state(peers, MS_MESSAGE_PEER_UP, connection);
    return true;
}

static bool
take_envelopes(struct ms_peers *peers, struct connection *connection)
{
    Ms__Wire__Envelope *envelope = NULL;
    enum ms_result result = MS_OK;
    while ((result = ms_frame_take(connection->in, &envelope)) == MS_OK) {
        if (connection->state != CONNECTION_OPEN) {
            bool good = envelope->body_case == MS__WIRE__ENVELOPE__BODY_HELLO &&
                        take_hello(peers, connection, envelope->hello);
            ms__wire__envelope__free_unpacked(envelope, NULL);
            if (!good) {
                return false;
            }
            continue;
        }
        struct ms_message *message = ms_message_new(MS_MESSAGE_PEER_ENVELOPE);
        g_strlcpy(message->peer.name, connection->name, sizeof(message->peer.name));
        g_strlcpy(message->peer.dc, connection->dc, sizeof(message->peer.dc));
        message->peer.envelope = envelope;
        ms_message_send(peers->node_ring, &peers->stopping, message);
    }
    return result == MS_E_NOTFOUND;
}

/* Reads what has arrived; false when the connection has to be closed. */
static bool
receive(struct ms_peers *peers, struct connection *connection)
{
    guint8 buffer[READ_BYTES];
    for (;;) {
        ssize_t got = recv(connection->fd, buffer, sizeof(buffer), MSG_DONTWAIT);
        if (got == 0) {
            return false;
        }
        if (got < 0) {
            if (errno == EINTR) {
                continue;
            }
            return errno == EAGAIN || errno == EWOULDBLOCK;
        }
        ms_counter_add(peers->counters, MS_COUNT_PEER_BYTES_IN, (uint64_t)got);
        g_byte_array_append(connection->in, buffer, (guint)got);
        if (!take_envelopes(peers, connection)) {
            return false;
        }
    }
}

/* Ends the set-up of an outgoing connection. */
static bool
connected(struct ms_peers *peers, struct connection *connection)
{
    int error = 0;
    socklen_t length = sizeof(error);
    if (getsockopt(connection->fd, SOL_SOCKET, SO_ERROR, &error, &length) != 0 || error != 0) {
        return false;
    }
    connection->state = CONNECTION_GREETING;
    greet(peers, connection);
    return true;
}

static void
handle_connection(struct ms_peers *peers, struct connection *connection, uint32_t events)
{
    bool good = true;
    if (connection->state == CONNECTION_CONNECTING && (events & (EPOLLOUT | EPOLLERR)) != 0) {
        good = connected(peers, connection);
    }
    if (good && (events & (EPOLLIN | EPOLLHUP | EPOLLERR)) != 0) {
        good = receive(peers, connection);
    }
    if (good) {
        good = flush(peers, connection);
    }
    if (!good) {
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
        struct connection *connection = connection_new(peers, fd, CONNECTION_GREETING);
        greet(peers, connection);
        flush(peers, connection);
    }
}

static void
start_connecting(struct ms_peers *peers, struct target *target)
{
    struct sockaddr_in address;
    target->connect_at = ms_clock_ms() + RECONNECT_MS;
    if (!parse_address(target->address, &address)) {
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
    target->connection = connection_new(peers, fd, CONNECTION_CONNECTING);
    g_strlcpy(target->connection->name, target->name, MS_NAME_MAX);
}

/* Sets up missing connections and closes set-ups that take too long. */
static void
look_at_targets(struct ms_peers *peers)
{
    GHashTableIter iterator;
    gpointer value = NULL;
    int64_t now = ms_clock_ms();
    g_hash_table_iter_init(&iterator, peers->targets);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        struct target *target = value;
        bool ours = strcmp(peers->settings->name, target->name) < 0;
        if (target->connection == NULL) {
            if (ours && target->address[0] != '\0' && now >= target->connect_at) {
                start_connecting(peers, target);
            }
        }
        else if (target->connection->state != CONNECTION_OPEN &&
                 now - target->connection->opened_at > CONNECT_TIMEOUT_MS) {
            connection_close(peers, target->connection);
        }
    }
}

static void
send_frame(struct ms_peers *peers, const struct command *command)
{
    struct target *target = g_hash_table_lookup(peers->targets, command->name);
    struct connection *connection = target != NULL ? target->connection : NULL;
    if (connection == NULL || connection->state != CONNECTION_OPEN) {
        return; /* the node sends again what matters */
    }
    if (connection->out->len > OUT_BYTES_MAX) {
        ms_log(MS_LOG_WARNING, "event=peer_overrun peer=%s bytes=%u", command->name,
               connection->out->len);
        connection_close(peers, connection);
        return;
    }
    g_byte_array_append(connection->out, command->frame->data, command->frame->len);
    if (!flush(peers, connection)) {
        connection_close(peers, connection);
    }
}

static void
add_target(struct ms_peers *peers, const struct command *command)
{
    struct target *target = g_hash_table_lookup(peers->targets, command->name);
    if (target == NULL) {
        target = g_new0(struct target, 1);
        g_strlcpy(target->name, command->name, sizeof(target->name));
        g_hash_table_insert(peers->targets, target->name, target);
    }
    g_strlcpy(target->address, command->address, sizeof(target->address));
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
    struct target *target = NULL;
    ms_ring_clear(peers->commands);
    while ((command = ms_ring_pop(peers->commands)) != NULL) {
        switch (command->kind) {
        case COMMAND_ADD:
            add_target(peers, command);
            break;
        case COMMAND_SEND:
            send_frame(peers, command);
            break;
        case COMMAND_CLOSE:
            target = g_hash_table_lookup(peers->targets, command->name);
            if (target != NULL && target->connection != NULL) {
                connection_close(peers, target->connection);
                target->connect_at = 0;
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
        look_at_targets(peers);
        int count = epoll_wait(peers->epoll_fd, events, EPOLL_EVENTS, EPOLL_WAIT_MS);
        for (int i = 0; i < count; i++) {
            void *pointer = events[i].data.ptr;
            if (pointer == peers) {
                accept_all(peers);
            }
            else if (pointer != peers->commands &&
                     g_hash_table_contains(peers->connections, pointer)) {
                handle_connection(peers, pointer, events[i].events);
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
    int one = 1;
    if (!parse_address(text, &address)) {
        return -1;
    }
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0) {
        return -1;
    }
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
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
    GList *open = g_hash_table_get_keys(peers->connections);
    for (GList *node = open; node != NULL; node = node->next) {
        struct connection *connection = node->data;
        connection->state = CONNECTION_GREETING; /* tells the node nothing */
        connection_close(peers, connection);
    }
    g_list_free(open);
    g_hash_table_destroy(peers->connections);
    g_hash_table_destroy(peers->targets);
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
    peers->targets = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
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
push(struct ms_peers *peers, struct command *command)
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
    return push(peers, command);
}

bool
ms_peers_send(struct ms_peers *peers, const char *name, const Ms__Wire__Envelope *envelope)
{
    struct command *command = command_new(COMMAND_SEND, name);
    command->frame = g_byte_array_new();
    ms_frame_append(command->frame, envelope);
    return push(peers, command);
}

bool
ms_peers_close(struct ms_peers *peers, const char *name)
{
    return push(peers, command_new(COMMAND_CLOSE, name));
}
