#!/usr/bin/python3
"""Stand-in for the platform: an append-only log, and a host list that lags behind.

usage: platform_log.py PORT [--retain N] [--appends-per-s N] [--lag-ms N]

The interface is described in src/platform/platform_client.h.  In addition: POST /hosts
replaces the host list (readers see it --lag-ms later), POST /fault sets fault
switches, POST /trim?keep=N removes all but the last N records, and GET /stats
returns counters.
"""
import argparse
import asyncio
import base64
import collections

from aiohttp import web

from common import Faults, now_ms, serve


class Platform:
    def __init__(self, options):
        self.faults = Faults()
        self.records = collections.deque()
        self.begin = 0
        self.retain = options.retain
        self.append_duration_s = 1.0 / options.appends_per_s
        self.lag_ms = options.lag_ms
        self.host_list_versions = [(0, [])]  # pairs of time (ms) and host list
        self.appended = asyncio.Event()
        self.append_lock = asyncio.Lock()
        self.appends = 0
        self.read_calls = 0

    @property
    def end(self):
        return self.begin + len(self.records)

    async def read(self, request):
        await self.faults.apply_before(request)
        self.read_calls += 1
        start = int(request.query["from"])
        limit = int(request.query.get("max", "1000"))
        deadline = now_ms() + int(request.query.get("wait_ms", "0"))
        while start >= self.end and now_ms() < deadline:
            self.appended.clear()
            try:
                await asyncio.wait_for(self.appended.wait(), (deadline - now_ms()) / 1000)
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
        await self.faults.apply_before(request)
        body = await request.json()
        async with self.append_lock:
            await asyncio.sleep(self.append_duration_s)
            for record in body["records"]:
                base64.b64decode(record, validate=True)
                self.records.append(record)
            first = self.end - len(body["records"])
            while self.retain and len(self.records) > self.retain:
                self.records.popleft()
                self.begin += 1
            self.appends += 1
        self.appended.set()
        if self.faults.lose_appends > 0:
            self.faults.lose_appends -= 1
            request.transport.abort()
        self.faults.apply_after(request)
        return web.json_response({"first": first})

    async def hosts(self, request):
        await self.faults.apply_before(request)
        visible = [host_list for at, host_list in self.host_list_versions
                   if at + self.lag_ms <= now_ms()]
        etag = f'"{len(visible)}"'
        if request.headers.get("If-None-Match") == etag:
            return web.Response(status=304, headers={"ETag": etag})
        return web.json_response(
            {"hosts": visible[-1] if visible else self.host_list_versions[0][1]},
            headers={"ETag": etag})

    async def set_hosts(self, request):
        hosts = (await request.json())["hosts"]
        # The first host list is visible at once, as if the platform had run for a long time.
        is_first = len(self.host_list_versions) == 1 and not self.host_list_versions[0][1]
        self.host_list_versions.append((0 if is_first else now_ms(), hosts))
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
    parser.add_argument("--retain", type=int, default=0, help="number of records to keep (0: all)")
    parser.add_argument("--appends-per-s", type=float, default=400)
    parser.add_argument("--lag-ms", type=int, default=1000)
    options = parser.parse_args()

    async def create_app():
        platform = Platform(options)
        app = web.Application(client_max_size=64 << 20)
        app.add_routes([
            web.get("/log", platform.read), web.post("/log", platform.append),
            web.get("/hosts", platform.hosts), web.post("/hosts", platform.set_hosts),
            web.post("/fault", platform.fault), web.get("/stats", platform.stats),
            web.post("/trim", platform.trim)])
        return app

    serve(run_in_new_loop(create_app), options.port)


def run_in_new_loop(create_app):
    """Runs the coroutine function CREATE_APP in a new event loop, which becomes the current one."""
    loop = asyncio.new_event_loop()
    asyncio.set_event_loop(loop)
    return loop.run_until_complete(create_app())


if __name__ == "__main__":
    main()
