"""Jobs wait for room; the only worker with room refuses starts for a few seconds."""
import asyncio
import json
import os
import sys

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import standins_2  # noqa: E402

WORKERS = 12
FILLER = "00000000000000f1"
JOBS = ["94b36f85c0e7a21%x" % i for i in range(4)]
UNHEALTHY_S = 6.5
FILLER_S = 25.0
SHOWN_AFTER_S = standins_2.BOUNDS["visible_ms"] / 1000 + 2.0
ASKS = 9  # three for each host


async def scenario(deployment, trouble):
    """One of WORKERS workers is unhealthy: it answers starts with 503 and does nothing."""
    record, work, client = deployment.record, deployment.work, deployment.client
    deployment.add_workers(WORKERS)
    deployment.configure([standins_2.queue("r-mix", "/mix/", 1, 3)])
    await deployment.start()
    whole = {"cpu": 52000, "memMb": 270000, "gpu": 8, "estimatedMs": int(FILLER_S * 1000)}
    work.duration_s[FILLER] = FILLER_S
    if await client.submit("/mix/", FILLER, [dict(whole, count=WORKERS - 1)]) != 200:
        raise RuntimeError("the first job is not accepted")
    await asyncio.sleep(1.5)
    free = [worker for worker in deployment.workers if not worker.runs]
    if len(free) != 1:
        raise RuntimeError("%d workers are free" % len(free))
    if trouble:
        free[0].refuses = True
        record.line("worker %s answers starts with 503 for %.1f s" % (free[0].id, UNHEALTHY_S))
        asyncio.get_running_loop().call_later(UNHEALTHY_S, setattr, free[0], "refuses", False)
    for job in JOBS:
        work.duration_s[job] = FILLER_S
        if await client.submit("/mix/", job, [dict(whole, count=1)]) != 200:
            raise RuntimeError("a job is not accepted")
    accepted_at = record.now()
    await asyncio.sleep(SHOWN_AFTER_S + 0.2)
    broken = None
    for _ in range(ASKS):
        began = {task.split(".")[0] for worker in deployment.workers for task in worker.starts}
        waiting = [job for job in JOBS if job not in began]
        answer = await client.call("GET", "/mix/")
        if answer is None or answer[0] != 200:
            raise RuntimeError("the queue is not answered")
        shown = json.loads(answer[1])["waiting"]
        record.line("accepted %.1f s ago and not begun: %d; shown as waiting: %d"
                    % (record.now() - accepted_at, len(waiting), shown))
        if shown < len(waiting) / 2 and broken is None:
            broken = ("MIXED: %d jobs have not begun %.1f s after their acceptance, and waiting=%d"
                      % (len(waiting), record.now() - accepted_at, shown))
        await asyncio.sleep(0.4)
    return broken


standins_2.main(__file__, scenario)
