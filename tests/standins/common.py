"""What the stand-ins share: a fault switch and a runner for aiohttp."""
import asyncio
import time

from aiohttp import web


def now_ms():
    return int(time.monotonic() * 1000)


class Faults:
    """Fault switches of one server.

    outage: answer 503; slow_ms: delay each answer; lose_answers: carry out the
    next N requests and drop the connection instead of answering; silent_open:
    connections that were open when it was set never answer again, new ones do;
    frozen: nothing is carried out or answered until it is cleared.
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

    async def before(self, request):
        """Applies the faults that come before the work."""
        opened = request.transport and request.transport.get_extra_info("opened")
        if opened is None and request.transport is not None:
            opened = OPENED.setdefault(id(request.transport), now_ms())
        while self.frozen:
            await asyncio.sleep(0.01)
        if self.silent_before and opened is not None and opened < self.silent_before:
            await asyncio.sleep(3600)
        if self.outage:
            raise web.HTTPServiceUnavailable(text="outage")
        if self.slow_ms:
            await asyncio.sleep(self.slow_ms / 1000)

    def after(self, request):
        """Drops the answer when the switch says so."""
        if self.lose_answers > 0:
            self.lose_answers -= 1
            request.transport.abort()


# When each connection was first seen; transports are few and live long.
OPENED = {}


class Connections:
    """Notes when each connection was opened."""

    @web.middleware
    async def middleware(self, request, handler):
        key = id(request.transport)
        if key not in OPENED:
            OPENED[key] = now_ms()
        return await handler(request)


def run(app, port, addresses=("127.0.0.1",)):
    """Serves APP on PORT of loopback ADDRESSES and says so on standard output."""
    app.middlewares.append(Connections().middleware)

    async def announce(_):
        print(f"listening port={port}", flush=True)

    app.on_startup.append(announce)
    web.run_app(app, host=list(addresses), port=port, print=None, access_log=None,
                shutdown_timeout=0.1, backlog=1024)
