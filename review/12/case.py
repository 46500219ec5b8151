"""After a short burst no job of an advised queue is started any more.

The advice service handles one call of the leader at a time.  Ordinary traffic is served.  In a
burst a few jobs more wait for its advice at once: from then on each call of the leader ends by
its own timeout before its turn comes, and is asked again behind those.
"""
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
# pylint: disable=wrong-import-position
from standins_3 import FINISH_S, TROUBLE, Deployment, main, now  # noqa: E402

DECIDE_MS, EACH_MS, VALID_MS = 600, 80, 10000
WORKERS = 32  # the leader asks about 30 of them at once
GAP_S = 4.0  # between two jobs of ordinary traffic
TRAFFIC_S, BURST_AT_S, BURST_S, BURST_X = 36.0, 12.0, 4.0, 2.6
IDLE_S = 3.0  # of the rule
SPEC = {"taskSpec": "text", "steps": [{"count": 1, "cpu": 1000, "memMb": 1000, "gpu": 1,
                                       "estimatedMs": 500}]}


def case(deployments):
    deployment = Deployment(3, WORKERS, advice=(DECIDE_MS, EACH_MS, VALID_MS))
    deployments.append(deployment)
    deployment.start()
    began, jobs, next_at = now(), {}, 0.0
    while next_at < TRAFFIC_S:
        time.sleep(max(began + next_at - now(), 0))
        job = f"{len(jobs) + 1:016x}"
        status, _ = deployment.call(deployment.hosts[len(jobs) % 3], "POST", job, SPEC)
        if status != 200:
            deployment.finish(2, f"could not run: a submission was answered {status}")
        jobs[job] = now()
        in_burst = TROUBLE and BURST_AT_S <= next_at < BURST_AT_S + BURST_S
        next_at += GAP_S / (BURST_X if in_burst else 1)
    time.sleep(FINISH_S)
    states = {job: deployment.call(deployment.hosts[0], "GET", job)[1] for job in jobs}
    last_change = max((at for at, *_ in deployment.starts + deployment.ends), default=began)
    waiting = [job for job in jobs if not deployment.starts_of(job)]
    deployment.record.note(f"{len(jobs)} jobs, {len(waiting)} have never started; nothing has "
                           f"started or ended for {now() - last_change:.1f} s; the {WORKERS} "
                           f"workers are idle")
    if waiting and now() - last_change >= IDLE_S:
        deployment.finish(1, f"LOST broken: {FINISH_S:.0f} s after the traffic {len(waiting)} of "
                             f"{len(jobs)} accepted jobs have not started, with all workers idle "
                             f"for {now() - last_change:.1f} s (state {states[waiting[0]]})")
    deployment.finish(0, f"LOST held: {len(jobs) - len(waiting)} of {len(jobs)} jobs have started")


main(case)
