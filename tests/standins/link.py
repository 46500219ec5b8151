#!/usr/bin/python3
"""Stand-in for the network between data centres: TCP relays with delays and faults.

usage: link.py CONTROL_PORT FROM,TO,LISTEN_PORT,TARGET_PORT,DELAY_MS ...

POST /fault {"from": DC, "to": DC, "mode": "ok"|"cut"|"silent", "delay_ms": N,
"kbytes_per_s": N} changes all relays between two data centres, in both
directions; "*" stands for every data centre.  Modes: cut closes open
connections and new ones at once; silent keeps the open connections open but
discards their data, while new ones work.  kbytes_per_s limits the bandwidth of
each relay (0: no limit).  GET /stats returns the bytes that each relay carried.
"""
import asyncio
import sys

from aiohttp import web

from common import serve
from platform_log import run_in_new_loop

READ_SIZE = 65536


class Relay:
    """One listening port whose connections are forwarded to the target's port."""

    def __init__(self, spec):
        self.source, self.target, listen, port, delay = spec.split(",")
        self.listen_port, self.target_port = int(listen), int(port)
        self.delay_ms = float(delay)
        self.cut = False
        self.kbytes_per_s = 0
        self.open_pairs = set()    # writers of both sides of each open connection
        self.silent_pairs = set()  # those of them whose data is discarded
        self.bytes = 0
        self.bandwidth_free_at = 0.0  # time at which all data so far has been sent

    async def start(self):
        await asyncio.start_server(self.accept, "127.0.0.1", self.listen_port, backlog=256)

    async def accept(self, reader, writer):
        if self.cut:
            writer.transport.abort()
            return
        try:
            target_reader, target_writer = await asyncio.open_connection("127.0.0.1",
                                                                         self.target_port)
        except OSError:
            writer.transport.abort()
            return
        pair = (writer, target_writer)
        self.open_pairs.add(pair)
        await asyncio.gather(self.pump(reader, target_writer, pair),
                             self.pump(target_reader, writer, pair),
                             return_exceptions=True)
        self.open_pairs.discard(pair)
        self.silent_pairs.discard(pair)

    async def pump(self, reader, writer, pair):
        """Forwards data in one direction, in order, delay_ms after it was read."""
        queue = asyncio.Queue()
        loop = asyncio.get_running_loop()

        async def write_delayed():
            while True:
                due_at, data = await queue.get()
                wait_s = due_at - loop.time()
                if wait_s > 0:
                    await asyncio.sleep(wait_s)
                if data is None:  # end of the stream
                    break
                if pair not in self.silent_pairs:
                    writer.write(data)
                    await writer.drain()
            writer.close()

        task = asyncio.create_task(write_delayed())
        try:
            while True:
                data = await reader.read(READ_SIZE)
                self.bytes += len(data)
                due_at = loop.time() + self.delay_ms / 1000
                if self.kbytes_per_s:
                    self.bandwidth_free_at = max(self.bandwidth_free_at, loop.time()) + \
                        len(data) / (self.kbytes_per_s * 1000)
                    due_at = max(due_at, self.bandwidth_free_at)
                queue.put_nowait((due_at, data or None))
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
            for client, target in list(self.open_pairs):
                client.transport.abort()
                target.transport.abort()
        if mode == "silent":
            self.silent_pairs |= self.open_pairs


class Links:
    def __init__(self, specs):
        self.relays = [Relay(spec) for spec in specs]

    async def start(self, app):
        for relay in self.relays:
            await relay.start()

    async def fault(self, request):
        changes = await request.json()
        dcs = {changes["from"], changes["to"]}
        for relay in self.relays:
            if {relay.source, relay.target} == dcs or \
                    ("*" in dcs and (dcs - {"*"}) <= {relay.source, relay.target}):
                relay.apply(changes)
        return web.json_response({})

    async def stats(self, request):
        return web.json_response({"relays": [
            {"from": r.source, "to": r.target, "port": r.target_port, "bytes": r.bytes}
            for r in self.relays]})


def main():
    async def create_app():
        links = Links(sys.argv[2:])
        app = web.Application()
        app.add_routes([web.post("/fault", links.fault), web.get("/stats", links.stats)])
        app.on_startup.append(links.start)
        return app

    serve(run_in_new_loop(create_app), int(sys.argv[1]))


if __name__ == "__main__":
    main()
