#!/usr/bin/python3
"""Stand-in for the platform: an append-only log and a lagging host list.

usage: platform_log.py PORT [--retain N] [--appends-per-s N] [--lag-ms N]

The interface is described in src/platform/platform_client.h.  Besides it:
POST /hosts sets the list, POST /fault sets fault switches, GET /stats counts.
"""
import argparse
import asyncio
import base64
import collections

from aiohttp import web

from common import Faults, now_ms, run


class Platform:
    def __init__(self, options):
        self.faults = Faults()
        self.records = collections.deque()
        self.begin = 0
        self.retain = options.retain
        self.interval = 1.0 / options.appends_per_s
        self.lag_ms = options.lag_ms
        self.lists = [(0, [])]
        self.grown = asyncio.Event()
        self.append_lock = asyncio.Lock()
        self.appends = 0
        self.read_calls = 0

    @property
    def end(self):
        return self.begin + len(self.records)

    async def read(self, request):
        await self.faults.before(request)
        self.read_calls += 1
        start = int(request.query["from"])
        limit = int(request.query.get("max", "1000"))
        deadline = now_ms() + int(request.query.get("wait_ms", "0"))
        while start >= self.end and now_ms() < deadline:
            self.grown.clear()
            try:
                await asyncio.wait_for(self.grown.wait(), (deadline - now_ms()) / 1000)
            except asyncio.TimeoutError:
                break
        if self.faults.outage:
            raise web.HTTPServiceUnavailable(text="outage")
        first = max(start, self.begin)
        skip = first - self.begin
        records = [self.records[i] for i in range(skip, min(skip + limit, len(self.records)))]
        return web.json_response(
            {"first": first, "records": records, "begin": self.begin, "end": self.end})

    async def append(self, request):
        await self.faults.before(request)
        body = await request.json()
        async with self.append_lock:
            await asyncio.sleep(self.interval)
            for record in body["records"]:
                base64.b64decode(record, validate=True)
                self.records.append(record)
            first = self.end - len(body["records"])
            while self.retain and len(self.records) > self.retain:
                self.records.popleft()
                self.begin += 1
            self.appends += 1
        self.grown.set()
        if self.faults.lose_appends > 0:
            self.faults.lose_appends -= 1
            request.transport.abort()
        self.faults.after(request)
        return web.json_response({"first": first})

    async def hosts(self, request):
        await self.faults.before(request)
        visible = [entry for at, entry in self.lists if at + self.lag_ms <= now_ms()]
        tag = f'"{len(visible)}"'
        if request.headers.get("If-None-Match") == tag:
            return web.Response(status=304, headers={"ETag": tag})
        return web.json_response({"hosts": visible[-1] if visible else self.lists[0][1]},
                                 headers={"ETag": tag})

    async def set_hosts(self, request):
        hosts = (await request.json())["hosts"]
        # The first list is seen at once: the platform has been up for long.
        first = len(self.lists) == 1 and not self.lists[0][1]
        self.lists.append((0 if first else now_ms(), hosts))
        return web.json_response({})

    async def fault(self, request):
        self.faults.set(await request.json())
        return web.json_response({})

    async def trim(self, request):
        keep = int(request.query["keep"])
        while len(self.records) > keep:
            self.records.popleft()
            self.begin += 1
        return web.json_response({"begin": self.begin, "end": self.end})

    async def stats(self, request):
        size = sum(len(record) * 3 // 4 for record in self.records)
        return web.json_response({"begin": self.begin, "end": self.end, "appends": self.appends,
                                  "bytes": size, "reads": self.read_calls})


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("port", type=int)
    parser.add_argument("--retain", type=int, default=0, help="records kept, 0: all")
    parser.add_argument("--appends-per-s", type=float, default=400)
    parser.add_argument("--lag-ms", type=int, default=1000)
    options = parser.parse_args()

    async def make():
        platform = Platform(options)
        app = web.Application(client_max_size=64 << 20)
        app.add_routes([
            web.get("/log", platform.read), web.post("/log", platform.append),
            web.get("/hosts", platform.hosts), web.post("/hosts", platform.set_hosts),
            web.post("/fault", platform.fault), web.get("/stats", platform.stats),
            web.post("/trim", platform.trim)])
        return app

    run(make_sync(make), options.port)


def make_sync(make):
    loop = asyncio.new_event_loop()
    asyncio.set_event_loop(loop)
    return loop.run_until_complete(make())


if __name__ == "__main__":
    main()
