"""A submission without an answer is cancelled, the cancelling is acknowledged, and its task runs.

An entry host freezes just before a caller submits a job there.  The caller gets no answer by its
deadline, leaves, and cancels the job at another host, which answers 410.  The first host wakes and
handles the submission.  The job is a scheduled one whose time comes later: its task must not start.
"""
import os
import signal
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
# pylint: disable=wrong-import-position
from standins_3 import CANCEL_S, CONTACT_S, TROUBLE, Deployment, main, now  # noqa: E402

JOB = "00000000000000a1"
OTHER_JOBS = [f"{0xb0 + index:016x}" for index in range(5)]  # so that 1 of 6 jobs is cancelled
FREEZE_S = 4.0  # length of node_freeze in the site file
DEADLINE_S = 3.0  # of the caller: deadline_ms in the site file
DUE_S = 16.0  # after the submission


def job(due_s=None):
    spec = {"taskSpec": "text", "steps": [{"count": 1, "cpu": 1000, "memMb": 1000, "gpu": 1,
                                           "estimatedMs": 500}]}
    if due_s is not None:
        spec.update(repeatCount=1, startTimeMs=int((time.time() + due_s) * 1000), intervalMs=1000)
    return spec


def case(deployments):
    deployment = Deployment(hosts=3, workers=4)
    deployments.append(deployment)
    deployment.start()
    time.sleep(2)
    leader = deployment.leader()  # is not disturbed
    first, second = [host for host in deployment.hosts if host is not leader]
    if TROUBLE:
        first.signal(signal.SIGSTOP)
        wake = threading.Timer(FREEZE_S, first.signal, (signal.SIGCONT,))
        wake.daemon = True
        wake.start()
        time.sleep(0.3)
    submitted_at = now()
    status, _ = deployment.call(first, "POST", JOB, job(DUE_S), timeout_s=DEADLINE_S)
    if status != (0 if TROUBLE else 200):
        deployment.finish(2, f"could not run: the submission was answered {status}")
    status, _ = deployment.call(second, "DELETE", JOB)
    cancelled_at = now()
    if status not in (200, 410):
        deployment.finish(2, f"could not run: the cancellation was answered {status}")
    time.sleep(max(submitted_at + FREEZE_S + CONTACT_S + 1 - now(), 0))
    for other_job in OTHER_JOBS:
        if deployment.call(second, "POST", other_job, job())[0] != 200:
            deployment.finish(2, "could not run: a job in calm was not accepted")
    time.sleep(max(submitted_at + DUE_S + 4 - now(), 0))
    deployment.call(second, "GET", JOB)
    if not all(deployment.starts_of(other_job) for other_job in OTHER_JOBS):
        deployment.finish(2, "could not run: a job in calm did not start")
    starts = [at for at, *_ in deployment.starts_of(JOB) if at > cancelled_at + CANCEL_S]
    if starts:
        deployment.finish(1, f"UNASKED broken: {JOB} started {starts[0] - cancelled_at:.1f} s after "
                             f"its cancelling was acknowledged with {status}")
    deployment.finish(0, "UNASKED held: the cancelled job did not start")


main(case)
