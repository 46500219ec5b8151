"""Case 4: late answers of the advice service stop all advice in a leader's second term."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from standins import Advice, Case, main, now_s  # noqa: E402

HANG_S = 4.2  # the site's platform_down lasts up to 4.5 s
FINISH_S = 14.0  # finish_s of the site
IDLE_S = 3.0  # LOST: nothing running for 3 s
JOBS = 12
STEP = {"count": 1, "cpu": 4000, "memMb": 1000, "gpu": 1, "estimatedMs": 500}


class NoAdvice(Case):
    trouble = os.environ.get("TROUBLE", "1") != "0"
    worker_count = 6
    queue = {"advice": {"decideMs": 500, "eachMs": 50, "validMs": 20000}}

    def __init__(self, directory):
        super().__init__(directory)
        self.advice = Advice(self.queue["advice"]["decideMs"], self.queue["advice"]["eachMs"])

    async def play(self):
        jobs = [f"{number:016x}" for number in range(1, JOBS + 1)]
        await asyncio.gather(*(self.submit(job, {"ms": 500}, [STEP]) for job in jobs))
        await self.wait_for("a first question", lambda: self.advice.calls, 5)
        await asyncio.sleep(0.2)
        if self.trouble:
            self.store.hang()
            self.record.write("store: hangs")
            await asyncio.sleep(HANG_S)
            self.store.resume()
            self.record.write("store: resumes")
        await asyncio.sleep(14)
        later = [f"{number:016x}" for number in range(101, 104)]
        for job in later:
            await self.submit(job, {"ms": 500}, [STEP])
            await asyncio.sleep(0.5)
        await asyncio.sleep(FINISH_S + IDLE_S)
        return await self.check(jobs + later)

    async def check(self, jobs):
        violations = []
        for host in self.hosts:
            for line in host.log_lines("event=lead "):
                self.record.write(f"{host.name} {line}")
        self.record.write(f"calls of the advice service: {self.advice.calls}")
        for job in jobs:
            state = (await self.hosts[0].call("GET", f"/q/{job}"))[1].get("state")
            started = [at for at, _, task, _ in self.starts if task.startswith(job)]
            asked = [at for at, step in self.advice.calls if step.startswith(job)]
            if not started and state != "succeeded" and not any(w.runs for w in self.workers):
                violations.append(f"LOST: {job}: state {state}, never started at {now_s():.1f} s, "
                                  f"asked about {len(asked)} times, all workers are idle")
        return violations


main(NoAdvice)
