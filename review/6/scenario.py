"""A job is cancelled while the worker that got its tasks doesn't answer for a few seconds."""
import asyncio
import os
import sys

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import standins_2  # noqa: E402

JOB = "36f85c0e7a21d94b"
OTHER_JOBS = ("00000000000000e1", "00000000000000e2")  # not cancelled
TASKS = 20
MUTE_S = 5.5
CANCEL_AFTER_S = 0.3
CANCEL_S = standins_2.BOUNDS["cancel_ms"] / 1000


async def scenario(deployment, trouble):
    """The worker that gets the first start leaves all requests unanswered, and undone, for MUTE_S."""
    record, client = deployment.record, deployment.client
    deployment.add_workers(12)
    deployment.configure([standins_2.queue("r-heating", "/heating/", 2, 3)])
    await deployment.start()
    deployment.work.duration_s[JOB] = 7.0
    mute = {}

    def on_order(worker, target, order):
        """Whether WORKER leaves the request unanswered."""
        starts_job = target == "/-/run-start" and order["task"].startswith(JOB)
        if trouble and not mute and starts_job:
            mute[worker.id] = record.now() + MUTE_S
            record.line("worker %s leaves all requests unanswered for %.1f s" % (worker.id, MUTE_S))
        is_mute = record.now() < mute.get(worker.id, 0)
        if is_mute and target != "/-/hold":
            record.line("%s %s run=%d worker=%s unanswered and not done"
                        % (target, order["task"], order["run"], worker.id))
        return is_mute

    for worker in deployment.workers:
        worker.on_order = on_order
    for job in OTHER_JOBS:
        deployment.work.duration_s[job] = 0.5
        step = {"count": 4, "cpu": 500, "memMb": 256, "estimatedMs": 900}
        if await client.submit("/heating/", job, [step]) != 200:
            raise RuntimeError("another job is not accepted")
    await asyncio.sleep(3)
    steps = [{"count": TASKS, "cpu": 2000, "memMb": 1024, "estimatedMs": 7000}]
    if await client.submit("/heating/", JOB, steps) != 200:
        raise RuntimeError("the job is not accepted")
    await asyncio.sleep(CANCEL_AFTER_S)
    answer = await client.call("DELETE", "/heating/" + JOB)
    if answer is None or answer[0] not in (200, 410):
        raise RuntimeError("the cancelling is not acknowledged")
    cancelled_at = record.now()
    await asyncio.sleep(15)
    late = [(at - cancelled_at, task, worker.id) for worker in deployment.workers
            for at, task, _ in worker.start_times if at > cancelled_at + CANCEL_S]
    for after_s, task, worker in late:
        record.line("started %.3f s after the acknowledged cancelling: %s worker=%s"
                    % (after_s, task, worker))
    for job in OTHER_JOBS:
        if await client.state("/heating/", job) != "succeeded":
            raise RuntimeError("another job has not succeeded")
    state = await client.state("/heating/", JOB)
    if state != "cancelled":
        raise RuntimeError("the job is shown as %s" % state)
    if late:
        return ("UNASKED: %d tasks are started up to %.1f s after the acknowledged cancelling"
                % (len(late), max(late)[0]))
    return None


standins_2.main(__file__, scenario)
