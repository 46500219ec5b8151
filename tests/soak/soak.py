#!/usr/bin/python3
"""Soak test: real entry host processes under random faults.

usage: soak.py [--seed N] [--seconds S] [--hosts N] [--servers N] [--keep DIR]

Submits, queries and cancels jobs while it injects faults from outside the hosts:
signals, a proxy between each host and the log, a proxy in front of each server,
and servers that lose answers, carry out orders late or restart.  Then it stops
the faults and checks that every accepted job ends, that no job has run which was
refused on each try, and that the stand-ins found no violation.  Prints one line
for each violation and a summary; the exit code is 0 when there was none.  --keep
writes the hosts' settings and logs to DIR.
"""
import argparse
import asyncio
import os
import signal
import socket
import sys
import tempfile
import time

import aiohttp

from soak_standins import Proxy, StandIns

HERE = os.path.dirname(os.path.abspath(__file__))
BUILD = os.environ.get("MS_BUILD", os.path.join(HERE, "..", "..", "build"))
SETTLE_TIMEOUT_S = 45
CALL_TIMEOUT_MS = 3000


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


async def wait_until(condition):
    """Polls CONDITION until it is true.  Has no time limit: tests/check.py ends a hanging test."""
    while not condition():
        await asyncio.sleep(0.02)


class Host:
    """One entry host, its proxy to the log, and its process."""

    lease_max_ms = 10000
    cpu_share = 1

    def __init__(self, soak, index):
        self.soak, self.name, self.process, self.frozen = soak, f"host-{index}", None, False
        self.ports = [free_port() for _ in range(3)]
        self.proxy = Proxy(soak.standins.log.port)

    async def start(self):
        if self.proxy.port is None:
            await self.proxy.start()
        path = os.path.join(self.soak.directory, f"{self.name}.toml")
        caller_port, ready_port, metrics_port = self.ports
        with open(path, "w", encoding="utf-8") as file:
            file.write(f'name = "{self.name}"\ndc = "dc-0"\nregion = "here"\n'
                       f'caller_address = "127.0.0.1:{caller_port}"\n'
                       f'ready_address = "127.0.0.1:{ready_port}"\n'
                       f'metrics_address = "127.0.0.1:{metrics_port}"\n'
                       f'log_address = "127.0.0.1:{self.proxy.port}"\n'
                       f"key_age_max_ms = 5000\nlease_max_ms = {self.lease_max_ms}\n"
                       "gang_start_max_ms = 3000\n"
                       "stop_grace_ms = 900\nunknown_after_ms = 3000\n"
                       f"cpu_share = {self.cpu_share}\n"
                       "state_kept_s = 120\nshutdown_s = 6\n")
        with open(os.path.join(self.soak.directory, f"{self.name}.log"), "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                os.path.join(BUILD, "mustardspread-entryd"), "--settings", path, stdout=log,
                stderr=log)
        self.frozen = False

    def log_lines(self, text):
        """Returns the lines of the host's log that contain TEXT."""
        with open(os.path.join(self.soak.directory, f"{self.name}.log"), encoding="utf-8") as file:
            return [line for line in file if text in line]

    def signal(self, number):
        if self.process.returncode is None:
            self.process.send_signal(number)

    async def stop(self, number):
        """Sends the signal NUMBER, also to a frozen host, and waits for the process to end."""
        self.signal(signal.SIGCONT)
        self.signal(number)
        try:
            await asyncio.wait_for(self.process.wait(), 8)
        except asyncio.TimeoutError:
            self.soak.standins.report_violation("a shutdown took over 8 s", self.name)
            self.process.kill()
            await self.process.wait()


class Soak:
    """One run of the test: its hosts, its stand-ins and the jobs that were submitted."""

    def __init__(self, options):
        self.options, self.standins = options, StandIns(options.seed, options.servers)
        self.random, self.hosts, self.session = self.standins.random, [], None
        self.directory = options.keep or tempfile.mkdtemp(prefix="soak-")
        os.makedirs(self.directory, exist_ok=True)
        self.accepted, self.cancelled, self.submitted = set(), set(), 0
        self.injecting_faults = True

    async def call(self, method, path, body=None):
        """Calls a random host; returns the status and the body, status 0 without an answer."""
        host = self.random.choice(self.hosts)
        url = f"http://127.0.0.1:{host.ports[0]}{path}"
        headers = {"Host": "soak.example", "Authorization": "Bearer key",
                   "X-Mustardspread-Deadline-Ms": str(CALL_TIMEOUT_MS)}
        try:
            async with self.session.request(method, url, json=body, headers=headers,
                                            timeout=aiohttp.ClientTimeout(
                                                CALL_TIMEOUT_MS / 1000)) as response:
                return response.status, await response.json()
        except (aiohttp.ClientError, asyncio.TimeoutError, ValueError):
            return 0, {}

    def make_spec(self):
        steps = []
        for number in range(self.random.choice([1, 1, 2])):
            steps.append({"count": self.random.randint(1, 4), "cpu": 4000, "memMb": 1000,
                          "gpu": self.random.choice([1, 1, 2, 4]), "estimatedMs": 700,
                          "gang": self.random.random() < 0.5,
                          "after": [number - 1] if number else []})
        return {"taskSpec": f"payload {self.submitted}", "steps": steps}

    async def submit(self):
        """Submits a random job, with up to six tries; may cancel it; queries it after 3 s."""
        job = f"{self.random.getrandbits(64):016x}"
        path = f"/q{self.random.randrange(3)}/{job}"
        self.standins.specs[job] = self.make_spec()
        self.submitted += 1
        always_refused = True
        for _ in range(6):
            status, _ = await self.call("POST", path, self.standins.specs[job])
            always_refused = always_refused and status in (429, 503)
            if status == 200:
                self.accepted.add((job, path))
                break
            await asyncio.sleep(0.3)
        else:
            if always_refused:
                self.standins.refused_jobs.add(job)
            return
        if self.random.random() < 0.15:
            await asyncio.sleep(self.random.random())
            self.cancelled.add(job)
            await self.call("DELETE", path)
        await asyncio.sleep(3)
        status, _ = await self.call("GET", path)
        if status == 410:
            self.standins.report_violation("an accepted job is not known", job)

    async def submit_jobs(self):
        """Submits jobs for the length of the test, three a second on average."""
        tasks = []
        end = time.monotonic() + self.options.seconds
        while time.monotonic() < end:
            tasks.append(asyncio.create_task(self.submit()))
            await asyncio.sleep(self.random.expovariate(3.0))
        await asyncio.gather(*tasks)

    async def fault_host(self, host):
        kind = self.random.choice(["kill", "term", "freeze", "delay", "silent", "one_way", "reset"])
        duration_s = self.random.uniform(0.3, 4.0)
        if kind in ("kill", "term"):
            await host.stop(signal.SIGKILL if kind == "kill" else signal.SIGTERM)
            await asyncio.sleep(self.random.uniform(0.1, 1.5))
            await host.start()
        elif kind == "freeze":
            host.signal(signal.SIGSTOP)
            await asyncio.sleep(duration_s)
            host.signal(signal.SIGCONT)
        else:
            host.proxy.mode = kind
            await asyncio.sleep(duration_s)
            host.proxy.mode = "pass"

    async def fault_server(self, server):
        kind = self.random.choice(["silent", "one_way", "reset", "answer_loss_rate",
                                   "late_order_rate", "restart"])
        duration_s = self.random.uniform(0.3, 5.0)
        if kind == "restart":
            server.restart()
            self.standins.publish_server(server)
        elif kind in ("answer_loss_rate", "late_order_rate"):  # attributes of Server
            setattr(server, kind, 0.3)
            await asyncio.sleep(duration_s)
            setattr(server, kind, 0.0)
        else:
            server.proxy.mode = kind
            await asyncio.sleep(duration_s)
            server.proxy.mode = "pass"

    async def fault_log(self):
        self.standins.log.mode = self.random.choice(["busy", "lose"])
        await asyncio.sleep(self.random.uniform(0.3, 3.0))
        self.standins.log.mode = "ok"

    async def repeat_fault(self, inject, mean_gap_s):
        """Injects one fault after another until the faults stop; several loops overlap."""
        while self.injecting_faults:
            await asyncio.sleep(self.random.expovariate(1.0 / mean_gap_s))
            if self.injecting_faults:
                await inject()

    async def settle(self):
        """Waits until every accepted job has ended; one that has not is a violation."""
        open_jobs = set(self.accepted)
        end = time.monotonic() + SETTLE_TIMEOUT_S
        while open_jobs and time.monotonic() < end:
            for job, path in sorted(open_jobs):
                status, body = await self.call("GET", path)
                if status == 200 and body["state"] not in ("pending", "running"):
                    open_jobs.discard((job, path))
                    self.check_end(job, body["state"])
            await asyncio.sleep(0.2)
        for job, _ in sorted(open_jobs):
            self.standins.report_violation("an accepted job has not ended", job)

    def check_end(self, job, state):
        """Checks the final state of a job against the servers' records."""
        task_ids = [f"{job}.0.{number}.{index}"
                    for number, step in enumerate(self.standins.specs[job]["steps"])
                    for index in range(step["count"])]
        if state == "succeeded" and not all(task in self.standins.done_tasks for task in task_ids):
            self.standins.report_violation("succeeded before all of its tasks did", job)
        if state == "cancelled" and job not in self.cancelled:
            self.standins.report_violation("cancelled without a request", job)

    async def run(self):
        await self.standins.start()
        self.standins.failure_rate = 0.03
        async with aiohttp.ClientSession() as self.session:
            self.hosts = [Host(self, index) for index in range(self.options.hosts)]
            await asyncio.gather(*(host.start() for host in self.hosts))
            while (await self.call("GET", "/q0/"))[0] != 200:
                await asyncio.sleep(0.1)
            fault_loops = []
            for host in self.hosts:
                fault_loops.append(self.repeat_fault(lambda host=host: self.fault_host(host), 6))
            for server in self.standins.servers:
                fault_loops.append(
                    self.repeat_fault(lambda server=server: self.fault_server(server), 10))
            fault_loops.append(self.repeat_fault(self.fault_log, 8))
            fault_tasks = [asyncio.create_task(loop) for loop in fault_loops]
            await self.submit_jobs()
            self.injecting_faults = False
            await asyncio.gather(*fault_tasks)
            await self.settle()
            for job in self.standins.refused_jobs:
                if job in self.standins.started_jobs:
                    self.standins.report_violation("a refused job has run", job)
            await asyncio.gather(*(host.stop(signal.SIGTERM) for host in self.hosts))
        return self.standins.violations


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n", maxsplit=1)[0])
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=10)
    parser.add_argument("--hosts", type=int, default=4)
    parser.add_argument("--servers", type=int, default=8)
    parser.add_argument("--keep", default=None)
    soak = Soak(parser.parse_args())
    violations = asyncio.run(soak.run())
    for violation in violations:
        print(f"seed={soak.options.seed} broken=\"{violation}\"")
    print(f"seed={soak.options.seed} jobs={len(soak.accepted)} starts={soak.standins.start_count} "
          f"broken={len(violations)} logs={soak.directory}")
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())
