#!/usr/bin/python3
"""Stand-in for the network between data centres: relays that delay and cut.

usage: link.py CONTROL_PORT FROM,TO,LISTEN_PORT,TARGET_PORT,DELAY_MS ...

POST /fault {"from": DC, "to": DC, "mode": "ok"|"cut"|"silent", "delay_ms": N}
changes all relays between two data centres, both ways.  cut: connections are
closed and new ones refused; silent: open connections stay open and carry
nothing, new ones work.  kbytes_per_s narrows a relay.  GET /stats counts bytes.
"""
import asyncio
import sys

from aiohttp import web

from common import run
from platform_log import make_sync

CHUNK = 65536


class Relay:
    def __init__(self, text):
        self.source, self.target, listen, port, delay = text.split(",")
        self.listen, self.port = int(listen), int(port)
        self.delay_ms = float(delay)
        self.cut = False
        self.kbytes_per_s = 0
        self.open = set()
        self.silent = set()
        self.bytes = 0
        self.narrow_free_at = 0.0

    async def start(self):
        await asyncio.start_server(self.accept, "127.0.0.1", self.listen, backlog=256)

    async def accept(self, reader, writer):
        if self.cut:
            writer.transport.abort()
            return
        try:
            far_reader, far_writer = await asyncio.open_connection("127.0.0.1", self.port)
        except OSError:
            writer.transport.abort()
            return
        pair = (writer, far_writer)
        self.open.add(pair)
        await asyncio.gather(self.pump(reader, far_writer, pair), self.pump(far_reader, writer, pair),
                             return_exceptions=True)
        self.open.discard(pair)
        self.silent.discard(pair)

    async def pump(self, reader, writer, pair):
        """Moves bytes one way, each DELAY_MS after it arrived, in order."""
        queue = asyncio.Queue()
        loop = asyncio.get_running_loop()

        async def drain():
            while True:
                due, data = await queue.get()
                wait = due - loop.time()
                if wait > 0:
                    await asyncio.sleep(wait)
                if data is None:
                    break
                if pair not in self.silent:
                    writer.write(data)
                    await writer.drain()
            writer.close()

        task = asyncio.create_task(drain())
        try:
            while True:
                data = await reader.read(CHUNK)
                self.bytes += len(data)
                due = loop.time() + self.delay_ms / 1000
                if self.kbytes_per_s:
                    self.narrow_free_at = max(self.narrow_free_at, loop.time()) + \
                        len(data) / (self.kbytes_per_s * 1000)
                    due = max(due, self.narrow_free_at)
                queue.put_nowait((due, data or None))
                if not data:
                    break
        except OSError:
            queue.put_nowait((0, None))
        await asyncio.gather(task, return_exceptions=True)

    def apply(self, changes):
        self.delay_ms = changes.get("delay_ms", self.delay_ms)
        self.kbytes_per_s = changes.get("kbytes_per_s", self.kbytes_per_s)
        mode = changes.get("mode")
        if mode is None:
            return
        self.cut = mode == "cut"
        if mode == "cut":
            for near, far in list(self.open):
                near.transport.abort()
                far.transport.abort()
        if mode == "silent":
            self.silent |= self.open


class Links:
    def __init__(self, texts):
        self.relays = [Relay(text) for text in texts]

    async def start(self, app):
        for relay in self.relays:
            await relay.start()

    async def fault(self, request):
        changes = await request.json()
        ends = {changes["from"], changes["to"]}
        for relay in self.relays:
            if {relay.source, relay.target} == ends or \
                    ("*" in ends and (ends - {"*"}) <= {relay.source, relay.target}):
                relay.apply(changes)
        return web.json_response({})

    async def stats(self, request):
        return web.json_response({"relays": [
            {"from": r.source, "to": r.target, "port": r.port, "bytes": r.bytes}
            for r in self.relays]})


def main():
    async def make():
        links = Links(sys.argv[2:])
        app = web.Application()
        app.add_routes([web.post("/fault", links.fault), web.get("/stats", links.stats)])
        app.on_startup.append(links.start)
        return app

    run(make_sync(make), int(sys.argv[1]))


if __name__ == "__main__":
    main()
