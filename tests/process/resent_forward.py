#!/usr/bin/python3
"""A submission that another host has stored is not refused for the next copy of it.

Guards against a refused job that runs: a forwarded submission is carried out, its connection is
closed without an answer, and the copy that is sent then is refused; also while the leader is lost.
"""
import asyncio
import signal
import sys

import aiohttp
from aiohttp import web

from refusing_log import CLOSE, REFUSED, Outcome, RefusedJobsTest, wait_until



class Gate:
    """Passes calls on to `target`; `outcomes` is as in RefusingLog, for submissions."""

    def __init__(self):
        self.target, self.outcomes, self.port, self.session = None, [], None, None
        self.job_arrived = asyncio.Event()

    async def start(self):
        self.session = aiohttp.ClientSession()
        app = web.Application()
        app.router.add_route("*", "/{path:.*}", self.pass_on)
        runner = web.AppRunner(app)
        await runner.setup()
        site = web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        self.port = site._server.sockets[0].getsockname()[1]

    async def pass_on(self, request):
        outcome = Outcome(True, None)
        if self.outcomes:
            outcome = self.outcomes.pop(0) if len(self.outcomes) > 1 else self.outcomes[0]
        answer = await self.call_target(request) if outcome.stored else None
        if outcome.answer is None:
            return answer
        self.job_arrived.set()
        if outcome.answer == CLOSE:
            request.transport.abort()
        return web.json_response({}, status=outcome.answer or 200)

    async def call_target(self, request):
        url = f"http://127.0.0.1:{self.target.ports[0]}{request.path}"
        headers = {name: value for name, value in request.headers.items()
                   if name != "Content-Length"}
        async with self.session.request(request.method, url, headers=headers,
                                        data=await request.read()) as response:
            return web.Response(body=await response.read(), status=response.status,
                                content_type="application/json")


async def cut_off_from_log(test, host):
    """Makes HOST forward its calls, over a connection that it uses again."""
    test.log.unreadable = {host.log_port}
    await wait_until(lambda: host.log_lines("log_lost stream=jobs"))
    await test.submit_until_accepted("a" * 16, host)


async def submit_and_refuse_next_copy(test, host, job, answer):
    test.gate.outcomes = [Outcome(True, CLOSE), Outcome(False, answer)]
    status = await test.submit(job, host)
    test.gate.outcomes = []
    print(f"  job={job} answer={answer} status={status}", file=sys.stderr)
    return status


async def refuse_copies(test, leader, host):
    for answer in REFUSED:
        job = f"{answer}".rjust(16, "b")
        await test.submit_until_accepted("a" + job[1:], host)
        status = await submit_and_refuse_next_copy(test, host, job, answer)
        await wait_until(lambda job=job: test.has_run(job))
        print(f"check=stored_job_is_not_refused_{answer} ok={status not in REFUSED}")
        line = f"path=/q0/{job} status=200"
        await wait_until(lambda line=line: leader.log_lines(line))
        print(f"check=answer_to_peer_is_told_{answer} "
              f"ok={'from_peer=1' in leader.log_lines(line)[0]}")


async def lose_leader_meanwhile(test, leader, host):
    job = "c" * 16
    await test.submit_until_accepted("d" * 16, host)
    test.gate.job_arrived.clear()
    test.log.lagging = {leader.log_port}  # so that it does not start the job
    submission = asyncio.create_task(submit_and_refuse_next_copy(test, host, job, 503))
    await test.gate.job_arrived.wait()
    leader.signal(signal.SIGKILL)
    status = await submission
    test.log.unreadable = set()
    await test.wait_until_placed(job, [host])
    await leader.process.wait()
    print(f"check=next_leader_starts_it ok={not leader.log_lines(f'task={job}')}")
    print(f"check=stored_job_is_not_refused_without_leader ok={status not in REFUSED}")


async def main():
    gate = Gate()
    await gate.start()
    test = RefusedJobsTest(2, gate, submitting=1)
    await test.start()
    leader, host = test.hosts
    gate.target = leader
    await cut_off_from_log(test, host)
    await refuse_copies(test, leader, host)
    await lose_leader_meanwhile(test, leader, host)
    await test.stop()
    await gate.session.close()


asyncio.run(main())
