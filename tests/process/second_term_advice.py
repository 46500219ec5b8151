#!/usr/bin/python3
"""Queues with advice are served in a leader's second term, when answers of its first arrive.

Guards against jobs that are never started: the late answers were taken for answers to
questions of the second term, and its count of open questions wrapped below 0.
"""
import asyncio
import json
import os
import signal
import sys
import time
import types

import aiohttp
from aiohttp import web

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "soak"))
# pylint: disable=wrong-import-position
from soak import Host, Soak, wait_until  # noqa: E402
from soak_standins import config  # noqa: E402

QUESTIONS_IN_FLIGHT = 3  # as many as a leader sends at a time
JOBS = 6
DONE_TIMEOUT_S = 15
SPEC = {"taskSpec": "text", "steps": [{"count": 1, "cpu": 1000, "memMb": 1000, "gpu": 1,
                                       "estimatedMs": 500}]}


class Advice:
    """The advice service; it answers no question until `released` is set."""

    def __init__(self):
        self.calls, self.released, self.port = 0, asyncio.Event(), None

    async def start(self):
        app = web.Application()
        app.add_routes([web.post("/-/advise", self.answer)])
        runner = web.AppRunner(app)
        await runner.setup()
        site = web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        self.port = site._server.sockets[0].getsockname()[1]

    async def answer(self, request):
        self.calls += 1
        question = await request.json()
        await self.released.wait()
        return web.json_response({"good": [[worker, "ticket"] for worker in question["workers"]]})


def publish_config_with_advice(standins):
    """All queues use advice from now on."""
    standins.config_version += 1
    content = config(standins.config_version)
    for route in content["routes"]:
        route["advice"] = {"decideMs": 100, "eachMs": 10, "validMs": 20000}
    standins.log.append_record("keyed.op", "config", json.dumps(content).encode())


async def submit(soak, count):
    await asyncio.gather(*(soak.submit(dict(SPEC)) for _ in range(count)))


async def wait_for_ends(soak):
    """Returns whether all accepted jobs have ended within DONE_TIMEOUT_S."""
    deadline = time.monotonic() + DONE_TIMEOUT_S
    while soak.open_jobs and time.monotonic() < deadline:
        await soak.poll_open_jobs()
        await asyncio.sleep(0.1)
    return not soak.open_jobs


async def main():
    soak = Soak(types.SimpleNamespace(seed=1, keep=None, servers=1))
    advice = Advice()
    await advice.start()
    await soak.standins.start()
    publish_config_with_advice(soak.standins)
    log = soak.standins.log
    async with aiohttp.ClientSession() as soak.session:
        host = Host(soak, 0)
        host.advice_address = f"127.0.0.1:{advice.port}"
        soak.hosts = [host]
        await host.start()
        await wait_until(lambda: host.log_lines("state=placing"))
        first_jobs = asyncio.create_task(submit(soak, JOBS))
        await wait_until(lambda: advice.calls >= QUESTIONS_IN_FLIGHT)
        log.hang()
        await wait_until(lambda: host.log_lines("reason=renewals_failed"))
        log.resume()
        await wait_until(lambda: len(host.log_lines("state=placing")) == 2)
        advice.released.set()
        await first_jobs
        await submit(soak, JOBS)
        print(f"check=jobs_of_both_terms_end ok={await wait_for_ends(soak)}")
        print(f"check=all_were_accepted ok={len(soak.accepted) == 2 * JOBS}")
        print(f"check=no_violation ok={not soak.standins.violations}")
        await host.stop(signal.SIGTERM)


asyncio.run(main())
