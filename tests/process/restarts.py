"""Common parts of the process tests in which a server starts again before a start arrives.

A server that has started again under its id has a new clock.  The deadline of a start that the
leader sends before it knows is on the clock of the incarnation before, far ahead on the new one: the server shortens
it to the longest lease that it grants, which is longer than the lease that the leader wants.
"""
import asyncio
import os
import signal
import sys
import time
import types

import aiohttp

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "soak"))
# pylint: disable=wrong-import-position
from soak import Host, Soak, wait_until  # noqa: E402
from soak_standins import LEASE_MAX_MS, Server  # noqa: E402

OUR_LEASE_S = 8.0  # that a leader wants; it is shorter than the one that a server grants
RUN_MS = 120000  # of each run: longer than all leases together
JOB = "00000000000000ab"
SPEC = {"taskSpec": "text",
        "steps": [{"count": 1, "cpu": 1000, "memMb": 1000, "gpu": 1, "estimatedMs": 500}]}


class RestartingServer(Server):
    """A server that starts again unseen just before the first start of a test arrives.

    Its directory entry stays that of the incarnation before.  Once it has carried out the start, its
    proxy changes to `Restarts.cut_mode`, so that the answer is lost.
    """

    def __init__(self, restarts, index):
        super().__init__(restarts.soak.standins, index)
        self.restarts = restarts

    def apply_if_not_fenced(self, order, apply):
        is_start = apply == self.apply_start
        is_first = is_start and self.standins.start_count == 0
        if is_first:
            self.restart()
        refusal = super().apply_if_not_fenced(order, apply)
        if is_start and refusal is None:
            self.restarts.note_start(self, order)
        if is_first:
            self.proxy.mode = self.restarts.cut_mode
        return refusal

    def end_run(self, task, result):
        self.restarts.ends.append((time.monotonic(), self, result))
        super().end_run(task, result)


class Restarts:
    """The deployment of a test: two servers, and hosts of which the first one leads at first.

    `starts` has the time, the server and the run of each start that was carried out, `copies`
    counts the further copies of their orders, and `ends` has the time, the server and the result
    of the end of each run.
    """

    def __init__(self, cut_mode):
        self.soak = Soak(types.SimpleNamespace(seed=1, keep=None, servers=0))
        self.cut_mode = cut_mode
        self.soak.standins.servers = [RestartingServer(self, i) for i in range(2)]
        self.starts, self.copies, self.ends, self.hosts = [], 0, [], []

    def note_start(self, server, order):
        """Notes that SERVER has carried out the start ORDER, or a copy of it; the run is long."""
        run = server.runs[order["task"]]
        if any(run is started for _, _, started in self.starts):
            self.copies += 1
        else:
            run["ends_ms"] += RUN_MS
            self.starts.append((time.monotonic(), server, run))

    async def start_hosts(self, count):
        """Starts the hosts; the first one leads and has heard each server."""
        self.hosts = [Host(self.soak, index) for index in range(count)]
        leader = self.hosts[0]
        await leader.start()
        for server in self.soak.standins.servers:
            await wait_until(lambda s=server: leader.log_lines(f"event=server_held server={s.id} "))
        for host in self.hosts[1:]:
            await host.start()
            await wait_until(lambda h=host: h.log_lines("event=snapshot_applied stream=jobs "))

    async def start_task(self):
        """Submits a job of one task; returns when it has started at a server, which is cut off."""
        self.soak.hosts = self.hosts[:1]
        self.soak.standins.specs[JOB] = SPEC
        await self.soak.call("POST", f"/q0/{JOB}", SPEC)
        await wait_until(lambda: self.starts)

    def check_runs(self):
        """Prints the checks, once the task has started for the second time."""
        first_at, server, _ = self.starts[0]
        second_at, other_server, _ = self.starts[1]
        end = next((end for end in self.ends if end[1] is server), None)
        ended_at, result = (end[0], end[2]) if end else (None, "-")
        leaders = [host for host in self.hosts if host.log_lines("event=lead state=placing")]
        seen = [line for host in self.hosts for line in
                host.log_lines("event=server_reset") + host.log_lines("event=server_clock_back")]
        outlasted = (ended_at or time.monotonic()) - first_at > OUR_LEASE_S
        in_turn = result == "lapsed" and ended_at <= second_at and other_server is not server
        print(f"check=each_host_has_led ok={leaders == self.hosts}")
        print(f"check=restart_was_unseen ok={not seen}")
        print(f"check=run_outlasts_our_lease ok={outlasted}")
        print(f"check=second_start_after_the_first_run ok={in_turn}")
        print(f"check=no_promise_broken ok={not self.soak.standins.violations}")
        ended_after = f"{ended_at - first_at:.2f}" if end else "-"
        print(f"  second_start_s={second_at - first_at:.2f} first_run_ended_s={ended_after} "
              f"result={result} violations={self.soak.standins.violations} {self.soak.directory}",
              file=sys.stderr)


def main(run, hosts, cut_mode="silent"):
    """Runs the test RUN(restarts) on a new deployment until the task has started twice."""
    async def run_test():
        Host.lease_max_ms = LEASE_MAX_MS
        restarts = Restarts(cut_mode)
        await restarts.soak.standins.start()
        async with aiohttp.ClientSession() as restarts.soak.session:
            await restarts.start_hosts(hosts)
            await restarts.start_task()
            await run(restarts)
            await wait_until(lambda: len(restarts.starts) == 2)
            restarts.check_runs()
            for host in restarts.hosts:
                await host.stop(signal.SIGTERM)
    asyncio.run(run_test())
