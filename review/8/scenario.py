"""A gang on two workers, both of which fail what they start for a few seconds."""
import asyncio
import os
import sys

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import standins_2  # noqa: E402

JOB = "5c0e7a21d94b36f8"
MAX_ATTEMPTS = 2  # of the queue, like school-reorder of lepilo-grid
GREY_S = 6.5
FAILS_AFTER_S = 0.6  # of a worker that fails all that it starts
ENDED = ("succeeded", "failed", "cancelled")


async def scenario(deployment, trouble):
    """The two workers that get the first run of the gang fail all that they start for GREY_S."""
    record, work = deployment.record, deployment.work
    grey_until = {}  # worker id -> time

    def outcome(worker, task, run):
        if trouble and run == 1 and worker.id not in grey_until:
            grey_until[worker.id] = record.now() + GREY_S
            record.line("worker %s fails all that it starts for %.1f s" % (worker.id, GREY_S))
        if record.now() < grey_until.get(worker.id, 0):
            return "failed", FAILS_AFTER_S
        return "done", None

    work.outcome = outcome
    deployment.add_workers(24)
    deployment.configure([standins_2.queue("r-reorder", "/reorder/", 0, MAX_ATTEMPTS)])
    await deployment.start()
    work.gangs[JOB + ".0.0"] = 2
    work.duration_s[JOB] = 2.5
    steps = [{"count": 2, "cpu": 15000, "memMb": 79000, "gpu": 8, "estimatedMs": 2500,
              "gang": True}]
    if await deployment.client.submit("/reorder/", JOB, steps) != 200:
        raise RuntimeError("the job is not accepted")
    state = None
    for _ in range(60):
        await asyncio.sleep(0.5)
        state = await deployment.client.state("/reorder/", JOB)
        if state in ENDED:
            break
    failed_runs = {row[2] for worker in deployment.workers for row in worker.all_ends
                   if row[3] == "failed"}
    record.line("state=%s runs of the gang that ended failed=%s maxAttempts=%d"
                % (state, sorted(failed_runs), MAX_ATTEMPTS))
    if state == "failed" and len(failed_runs) < MAX_ATTEMPTS:
        return ("LOST: shown as failed after %d failed run of the gang, of %d attempts"
                % (len(failed_runs), MAX_ATTEMPTS))
    if state != "succeeded":
        raise RuntimeError("the job is shown as %s" % state)
    return None


standins_2.main(__file__, scenario)
