"""Liveness check of the soak test, from the stand-ins' records of runs.

Once all faults have been over for SETTLE_S, no accepted open job may be without a run for
IDLE_MAX_S while a step of it is due, under half of each resource is in use, and the step's
tasks (one task, or all members of a gang) fit twice over into what the servers have free.

An end of a run may be known to its server only.  A task whose successful end was
acknowledged is done for certain; any other one that was done may have to run again.  A
job counts as able to run only if each step that can be its next one could run.
"""
import asyncio
import time

SETTLE_S = 11.5  # longer than the leases of an earlier leader last (docs/PLATFORM.md)
IDLE_MAX_S = 3.0
INTERVAL_S = 0.1
RESOURCES = ("cpu", "memMb", "gpu")


class ProgressCheck:
    """Watches the jobs of a soak test; `idle_since` has the time for each job that is idle."""

    def __init__(self, soak):
        self.soak, self.standins = soak, soak.standins
        self.idle_since, self.idle_max_s = {}, 0.0

    async def watch(self):
        """Checks all open jobs periodically, until it is cancelled."""
        while True:
            await asyncio.sleep(INTERVAL_S)
            now = time.monotonic()
            settled = now >= self.standins.last_fault_at + SETTLE_S
            if not settled or self.soak.injecting_faults or not self.under_half_used():
                self.idle_since.clear()
                continue
            idle = {job for job, _ in self.soak.open_jobs if self.is_idle(job)}
            self.idle_since = {job: self.idle_since.get(job, now) for job in idle}
            for job, since in self.idle_since.items():
                self.check_idle_time(job, now - since)

    def check_idle_time(self, job, idle_s):
        if idle_s >= IDLE_MAX_S > self.idle_max_s:
            steps = [(step["count"], *(step[name] for name in RESOURCES))
                     for step in self.standins.specs[job]["steps"]]
            self.standins.report_violation(f"could run and did not for {IDLE_MAX_S} s",
                                           f"{job} steps={steps}")
        self.idle_max_s = max(self.idle_max_s, idle_s)

    def is_idle(self, job):
        """Whether the open job could run and does not."""
        if any(task.startswith(f"{job}.") for server in self.standins.servers
               for task in server.runs):
            return False
        steps = self.standins.specs[job]["steps"]
        due = [step for number, step in enumerate(steps) if self.may_be_due(job, steps, number)]
        return bool(due) and all(self.fits_twice(step) for step in due)

    def may_be_due(self, job, steps, number):
        earlier_done = all(
            f"{job}.0.{earlier}.{index}" in self.standins.done_tasks
            for earlier in steps[number]["after"] for index in range(steps[earlier]["count"]))
        acknowledged = [f"{job}.0.{number}.{index}" in self.standins.acknowledged_tasks
                        for index in range(steps[number]["count"])]
        # One acknowledged end counts for a whole gang.
        certainly_done = any(acknowledged) if steps[number]["gang"] else all(acknowledged)
        return earlier_done and not certainly_done

    def fits_twice(self, step):
        slots = sum(min(server.free(name) // step[name] for name in RESOURCES)
                    for server in self.standins.servers)
        return slots >= 2 * (step["count"] if step["gang"] else 1)

    def under_half_used(self):
        return all(2 * sum(server.free(name) for server in self.standins.servers) >
                   sum(server.capacity[name] for server in self.standins.servers)
                   for name in RESOURCES)
