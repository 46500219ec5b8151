"""A submission of unknown outcome is cancelled, the cancellation is acknowledged, and it runs.

The store carries out the writes of one submission late, without an answer.  The caller is told
504, cancels, and is told 410 once the store answers everybody again.  The job is a scheduled one
whose time comes later: its task must not start.
"""
import os
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
# pylint: disable=wrong-import-position
from standins_3 import CANCEL_S, CONTACT_S, TROUBLE, Deployment, main, now  # noqa: E402

JOB, OTHER_JOB = "00000000000000a1", "00000000000000b2"
LOST_S = 4.5  # length of platform_lost in the site file
LATE_S = 5.8  # done 1 to 6 s later
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
    first, second = deployment.hosts[0], deployment.hosts[1]
    writes = {"all": 0, "lost": 0}
    window = {"until": now() + LOST_S}

    def lose(query, body):
        """Of the writes in the window, those with the job get no answer and are done late."""
        if now() > window["until"]:
            return False
        writes["all"] += 1
        if b"j/" + JOB.encode() not in body:
            return False
        writes["lost"] += 1
        deployment.record.note(f"store: write with {JOB} gets no answer, done {LATE_S} s later")
        timer = threading.Timer(LATE_S, late, (query, body))
        timer.daemon = True
        timer.start()
        time.sleep(LATE_S + 1)  # the connection returns nothing further
        return None

    def late(query, body):
        deployment.record.note(f"store: late write with {JOB} -> "
                               f"{deployment.store.append(query, body)[0]}")

    if TROUBLE:
        deployment.store.on_append = lose
    time.sleep(2.5)
    status, _ = deployment.call(first, "POST", JOB, job(DUE_S))
    submitted_at = now()
    if status not in (200, 504):
        deployment.finish(2, f"could not run: the submission was answered {status}")
    if TROUBLE and status != 504:
        deployment.finish(2, "could not run: the submission was accepted")
    time.sleep(max(window["until"] - now(), 0) + 0.1)
    deployment.record.note(f"store: window over, {writes['lost']} of {writes['all']} writes lost")
    if writes["lost"] > 0.35 * writes["all"]:
        deployment.finish(2, "could not run: more writes were lost than the pages name")
    status, _ = deployment.call(second, "DELETE", JOB)
    cancelled_at = now()
    if status not in (200, 410):
        deployment.finish(2, f"could not run: the cancellation was answered {status}")
    # Calm, a job beside it, and the time of the cancelled one.
    time.sleep(max(submitted_at + LATE_S + CONTACT_S + 1 - now(), 0))
    if deployment.call(second, "POST", OTHER_JOB, job())[0] != 200:
        deployment.finish(2, "could not run: a job in calm was not accepted")
    time.sleep(max(submitted_at + DUE_S + 4 - now(), 0))
    deployment.call(second, "GET", JOB)
    if not deployment.starts_of(OTHER_JOB):
        deployment.finish(2, "could not run: a job in calm did not start")
    starts = [at for at, *_ in deployment.starts_of(JOB) if at > cancelled_at + CANCEL_S]
    if starts:
        deployment.finish(1, f"UNASKED broken: {JOB} started {starts[0] - cancelled_at:.1f} s after "
                             f"its cancelling was acknowledged with {status}")
    deployment.finish(0, "UNASKED held: the cancelled job did not start")


main(case)
