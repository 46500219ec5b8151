"""A log whose next appends of callers' jobs have outcomes that a test sets, for each host.

Also what the tests of refused jobs have in common: hosts with such a log, and submissions.
"""
import asyncio
import collections
import os
import signal
import sys
import types

import aiohttp

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "soak"))
# pylint: disable=wrong-import-position
from aiohttp import web  # noqa: E402
from soak import Host, Soak, wait_until  # noqa: E402
from soak_standins import Log  # noqa: E402

REFUSED = (429, 503)
CLOSE = 0  # an answer: none, the connection is closed
STEP = {"count": 1, "cpu": 1000, "memMb": 1000, "gpu": 1, "estimatedMs": 500}
SPEC = {"taskSpec": "text", "steps": [STEP]}

# What becomes of an append: whether it is carried out, and how it is answered.
Outcome = collections.namedtuple("Outcome", "stored answer")


class RefusingLog(Log):
    """The stand-in of the log, with a port of its own for each host.

    `outcomes` holds, by port, the outcomes of the next appends of callers' jobs; the last one
    is repeated.  Without outcomes they succeed.  `job_arrived` is set by the first append that
    has one.  Reads through the ports in `lagging` end only when the port is removed, with the
    records that there were when they would have ended; those through the ports in `unreadable`
    get status 503.  `replaced` maps bytes in the hosts' records to those that are stored
    instead, of the same length.
    """

    def __init__(self):
        super().__init__()
        self.runner, self.outcomes, self.replaced = None, {}, {}
        self.lagging, self.unreadable = set(), set()
        self.job_arrived = asyncio.Event()

    async def start(self):
        app = web.Application(client_max_size=1 << 24)
        app.add_routes([web.post("/-/log-append", self.append), web.get("/-/log-read", self.read),
                        web.get("/-/log-newest", self.newest)])
        self.runner = web.AppRunner(app)
        await self.runner.setup()
        self.port = await self.add_port()

    async def add_port(self):
        site = web.TCPSite(self.runner, "127.0.0.1", 0)
        await site.start()
        return site._server.sockets[0].getsockname()[1]

    async def append(self, request):
        body = await request.read()
        outcomes = self.outcomes.get(port_of(request))
        if not outcomes or "producer" in request.query or b"j/" not in body:  # the key of a job
            return await super().append(request)
        outcome = outcomes.pop(0) if len(outcomes) > 1 else outcomes[0]
        if outcome.stored:
            self.apply_append(request.query, body)
        self.job_arrived.set()
        if outcome.answer == CLOSE:
            request.transport.abort()
        return web.json_response({}, status=outcome.answer or 200)

    async def read(self, request):
        port = port_of(request)
        response = await super().read(request)
        while port in self.lagging:
            await asyncio.sleep(0.02)
        return response

    def is_unreadable(self, request):
        return port_of(request) in self.unreadable or super().is_unreadable(request)

    def append_record(self, topic, key, value):
        for old, new in self.replaced.items():
            value = value.replace(old, new) if key.startswith("h/") else value
        super().append_record(topic, key, value)

    def has_job(self, job):
        return any(key == f"j/{job}" for key, _ in self.records("keyed.jobs"))


def port_of(request):
    """Returns the port at which REQUEST has arrived."""
    return request.transport.get_extra_info("sockname")[1]


class RefusedJobsTest:
    """Stand-ins with a RefusingLog, and COUNT hosts, of which the first one leads.

    With a GATE, all hosts but the one with the index SUBMITTING are listed under its address.
    """

    def __init__(self, count, gate=None, submitting=None):
        self.gate, self.submitting = gate, submitting
        self.soak = Soak(types.SimpleNamespace(seed=1, keep=None, servers=1))
        self.log = self.soak.standins.log = RefusingLog()
        self.hosts = [None] * count

    async def start(self):
        await self.soak.standins.start()
        self.soak.session = aiohttp.ClientSession()
        for index in range(len(self.hosts)):
            host = self.hosts[index] = Host(self.soak, index)
            host.log_port = host.proxy.target = await self.log.add_port()
            if self.gate is not None and index != self.submitting:
                self.log.replaced[str(host.ports[0]).encode()] = str(self.gate.port).encode()
            await host.start()
            await wait_until(lambda host=host: host.log_lines(
                "state=placing" if host is self.hosts[0] else "event=log_regained stream=jobs"))
            await wait_until(lambda host=host: host.log_lines("config_applied"))
        for host in self.hosts:
            for peer in self.hosts:
                await wait_until(lambda host=host, peer=peer: peer is host or host.log_lines(
                    f"host_listed peer={peer.name}"))

    async def submit(self, job, host):
        """Submits JOB to HOST; returns the status of the answer."""
        self.soak.standins.specs[job] = SPEC
        self.soak.hosts = [host]
        return (await self.soak.call("POST", f"/q0/{job}", SPEC))[0]

    async def submit_until_accepted(self, job, host):
        while await self.submit(job, host) != 200:
            await asyncio.sleep(0.2)

    def has_run(self, job):
        return job in self.soak.standins.started_jobs

    async def wait_until_placed(self, job, hosts):
        """Waits until one of HOSTS has logged that it gives a task of JOB to a server."""
        await wait_until(lambda: any(host.log_lines(f"event=place task={job}") for host in hosts))

    async def stop(self):
        await asyncio.gather(*(host.stop(signal.SIGTERM) for host in self.hosts
                               if host.process.returncode is None))
        await self.soak.session.close()
