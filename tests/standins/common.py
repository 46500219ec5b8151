"""Common parts of the stand-ins: fault switches, and starting an aiohttp application."""
import asyncio
import time
import weakref

from aiohttp import web


def now_ms():
    return int(time.monotonic() * 1000)


class Faults:
    """Fault switches of one server; a POST /fault of a stand-in sets them by name.

    outage: answer 503.
    slow_ms: delay each answer.
    lose_answers: carry out the next N requests, but close their connections
        instead of answering.
    lose_appends: the same for the next N appends to the platform's log.
    silent_open: connections that are open when it is set never answer again;
        new connections work.
    frozen: carry out and answer nothing until it is cleared.
    fail_tasks: every task on a backend server fails.
    """

    def __init__(self):
        self.outage = False
        self.slow_ms = 0
        self.lose_answers = 0
        self.lose_appends = 0
        self.silent_before = 0
        self.frozen = False
        self.fail_tasks = False

    def set(self, changes):
        for name, value in changes.items():
            if name == "silent_open":
                self.silent_before = now_ms() if value else 0
            elif hasattr(self, name):
                setattr(self, name, value)
            else:
                raise web.HTTPBadRequest(text=f"unknown fault {name}")

    async def apply_before(self, request):
        """Applies the faults that take effect before a request is carried out."""
        opened = request.transport and request.transport.get_extra_info("opened")
        if opened is None and request.transport is not None:
            opened = FIRST_SEEN_MS.setdefault(request.transport, now_ms())
        while self.frozen:
            await asyncio.sleep(0.01)
        if self.silent_before and opened is not None and opened < self.silent_before:
            await asyncio.sleep(3600)
        if self.outage:
            raise web.HTTPServiceUnavailable(text="outage")
        if self.slow_ms:
            await asyncio.sleep(self.slow_ms / 1000)

    def apply_after(self, request):
        """Closes the connection before the answer if lose_answers is set."""
        if self.lose_answers > 0:
            self.lose_answers -= 1
            request.transport.abort()


# Time at which each connection was first seen, by its transport.  An entry ends with it: a
# later connection, whose transport may get the same id(), is not taken for the earlier one.
FIRST_SEEN_MS = weakref.WeakKeyDictionary()


class ConnectionTimes:
    """Middleware that records when each connection was first seen."""

    @web.middleware
    async def middleware(self, request, handler):
        if request.transport is not None:
            FIRST_SEEN_MS.setdefault(request.transport, now_ms())
        return await handler(request)


def serve(app, port, addresses=("127.0.0.1",)):
    """Serves APP on PORT of the loopback ADDRESSES; prints "listening" once it is ready."""
    app.middlewares.append(ConnectionTimes().middleware)

    async def announce(_):
        print(f"listening port={port}", flush=True)

    app.on_startup.append(announce)
    web.run_app(app, host=list(addresses), port=port, print=None, access_log=None,
                shutdown_timeout=0.1, backlog=1024)
