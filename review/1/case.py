"""Case 1: a leader that loses and regains its own epoch re-uses its fencing tokens."""
import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from standins import Case, main, now_s  # noqa: E402

HANG_S = 4.2  # the site's platform_down lasts up to 4.5 s
LATE_S = 4.8  # applied_late: 2 to 12 s
LATE_WINDOW_S = 4.3  # the site's applied_late lasts up to 5.5 s
SMALL = {"count": 60, "cpu": 1000, "memMb": 1000, "gpu": 1, "estimatedMs": 1500}
LARGE = {"count": 1, "cpu": 52000, "memMb": 270000, "gpu": 8, "estimatedMs": 6000}


class SecondTerm(Case):
    worker_count = 12

    def __init__(self, directory):
        super().__init__(directory)
        mode = os.environ.get("TROUBLE", "1")  # also "hang" or "late": only that disruption
        self.hangs, self.late_orders = mode in ("1", "hang"), mode in ("1", "late")
        self.late_until, self.first_large_start = 0.0, None
        self.start_orders, self.late_count = set(), 0

    def is_late(self, worker, path, order):
        """The first orders for the large task, within the window, are carried out late."""
        if path != "/-/run-start":
            return None
        self.start_orders.add((worker.id, order["task"], order["run"], time.monotonic()))
        if not order["task"].startswith("b"):
            return None
        if self.first_large_start is None:
            self.first_large_start = now_s()
            self.late_until = time.monotonic() + LATE_WINDOW_S
        if not self.late_orders or order["run"] != 1 or time.monotonic() >= self.late_until:
            return None
        self.late_count += 1
        return LATE_S

    async def play(self):
        for worker in self.workers:
            worker.is_late = self.is_late
        await self.submit("a" * 16, {"ms": 1500}, [SMALL])
        await self.wait_for("the small tasks start", lambda: len(self.starts) >= 60, 5)
        await self.submit("b" * 16, {"ms": 6000}, [LARGE])
        await self.wait_for("the large task is ordered", lambda: self.first_large_start, 5)
        if self.hangs:
            self.store.hang()
            self.record.write("store: hangs")
            await asyncio.sleep(HANG_S)
            self.store.resume()
            self.record.write("store: resumes")
        await asyncio.sleep(16)
        for host in self.hosts:
            for line in host.log_lines("event=lead "):
                self.record.write(f"{host.name} {line}")
        self.record.write(f"start orders: {len(self.start_orders)}, late ones: {self.late_count}")
        return self.find_double_runs()


main(SecondTerm)
