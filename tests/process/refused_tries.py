#!/usr/bin/python3
"""Two tries of one job at two hosts: if both are refused, the job is not stored and never runs.

Guards against a refused job that runs: a host refuses a try because its table lags or its appends
fail, while another host's append of the same job is under way; also while the leader is lost.
"""
import asyncio
import signal
import sys

from refusing_log import CLOSE, REFUSED, Outcome, RefusedJobsTest, wait_until

LAG_S = 1.3  # longer than attempts are made, shorter than a read may stall
RUN_MAX_S = 1.5  # a stored job has started by then
FAILURE_RECENT_S = 1.2  # for which a host prefers others after a failed append

REFUSE = Outcome(False, 503)
STORE = Outcome(True, 200)
STORE_AND_CLOSE = Outcome(True, CLOSE)
# Outcomes of the appends of the first and the second host.
PLAYS = (("both_refused", [REFUSE], [REFUSE]),
         ("first_stored", [STORE], [REFUSE]),
         ("first_without_answer", [STORE_AND_CLOSE, REFUSE], [REFUSE]),
         ("stored_by_next_copy", [REFUSE, STORE_AND_CLOSE, REFUSE], [REFUSE]),
         ("both_without_answer", [STORE_AND_CLOSE, REFUSE], [STORE_AND_CLOSE, REFUSE]))


async def submit_twice(test, first, second, job, delay_s):
    """Returns the statuses of a try at each of two hosts, the second one DELAY_S later."""
    async def submit_later():
        await asyncio.sleep(delay_s)
        return await test.submit(job, second)
    return await asyncio.gather(test.submit(job, first), submit_later())


def is_true(test, job, statuses):
    """Whether JOB is not in the log although it was refused on each try."""
    return not (test.log.has_job(job) and all(status in REFUSED for status in statuses))


async def play(test, hosts, number, delay_s, lose_leader=False):
    name, *outcomes = PLAYS[number]
    may_be_stored = any(outcome.stored for its_outcomes in outcomes for outcome in its_outcomes)
    job = f"{number}{int(delay_s * 10)}{lose_leader:d}".rjust(16, "e")
    await asyncio.sleep(FAILURE_RECENT_S)
    for host, its_outcomes in zip(hosts, outcomes):
        await test.submit_until_accepted(f"{host.ports[0]}" + job[5:], host)
        test.log.outcomes[host.log_port] = list(its_outcomes)
    test.log.lagging = {host.log_port for host in test.hosts}
    asyncio.get_running_loop().call_later(LAG_S, test.log.lagging.clear)
    test.log.job_arrived.clear()
    tries = asyncio.create_task(submit_twice(test, *hosts, job, delay_s))
    if lose_leader:
        await test.log.job_arrived.wait()
        test.hosts[0].signal(signal.SIGKILL)
    statuses = await tries
    test.log.outcomes.clear()
    await wait_until(lambda: not test.log.lagging)
    if test.log.has_job(job):
        await wait_until(lambda: test.has_run(job))
    else:
        await asyncio.sleep(RUN_MAX_S)
    print(f"  {name} delay={delay_s} statuses={statuses} stored={test.log.has_job(job)} "
          f"ran={test.has_run(job)}", file=sys.stderr)
    label = f"{name}_after_{int(delay_s * 1000)}_ms_lost_{lose_leader:d}"
    print(f"check={label}_played ok={test.log.has_job(job) == may_be_stored}")
    print(f"check={label} ok={is_true(test, job, statuses)}")


async def main():
    test = RefusedJobsTest(2)
    await test.start()
    for number in range(len(PLAYS)):
        for delay_s in (0.0, 0.4):
            await play(test, test.hosts, number, delay_s)
    await test.stop()
    for number in (2, 3):
        test = RefusedJobsTest(3)
        await test.start()
        await play(test, test.hosts[1:], number, 0.0, lose_leader=True)
        await test.hosts[0].process.wait()
        await test.stop()


asyncio.run(main())
