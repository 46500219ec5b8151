#!/usr/bin/python3
"""The log of a host tells a false refusal from one beside which another try was accepted.

Guards against a refused job that runs and whose logs look like those of a job tried again: an
intermediary answers an append with 503 after the log has carried it out, which a host cannot tell.
"""
import asyncio
import sys

from refusing_log import REFUSED, Outcome, RefusedJobsTest, wait_until

LAG_S = 1.5  # for which the host does not see the record: longer than attempts are made
FAILURE_RECENT_S = 1.2  # for which a host refuses at once after failed appends
BY_INTERMEDIARY = (500, 502, 504)


async def submit_with_answer(test, job, stored, answer):
    """Returns the status of a submission whose appends are all answered with ANSWER."""
    host = test.hosts[0]
    await asyncio.sleep(FAILURE_RECENT_S)
    test.log.outcomes[host.log_port] = [Outcome(stored, answer)]
    test.log.lagging = {host.log_port}
    asyncio.get_running_loop().call_later(LAG_S, test.log.lagging.clear)
    status = await test.submit(job, host)
    test.log.outcomes.clear()
    await wait_until(lambda: not test.log.lagging)
    print(f"  answer={answer} stored={test.log.has_job(job)} status={status}", file=sys.stderr)
    return status


async def main():
    test = RefusedJobsTest(1)
    await test.start()
    host = test.hosts[0]
    for answer in BY_INTERMEDIARY:
        status = await submit_with_answer(test, f"{answer}".rjust(16, "b"), True, answer)
        print(f"check=stored_job_is_not_refused_{answer} ok={status == 504}")
    for answer in REFUSED:
        status = await submit_with_answer(test, f"{answer}".rjust(16, "c"), True, answer)
    job = "d" * 16
    status = await submit_with_answer(test, job, False, 503)
    print(f"check=refused ok={status in REFUSED and not test.log.has_job(job)}")
    await test.submit_until_accepted(job, host)
    for answer in REFUSED:
        line = f"event=refused_job_stored id={answer}".replace("id=", "id=" + "c" * 13)
        await wait_until(lambda line=line: host.log_lines(line))
        print(f"check=false_refusal_is_told_{answer} ok={'record=own' in host.log_lines(line)[0]}")
    line = f"event=refused_job_stored id={job}"
    await wait_until(lambda: host.log_lines(line))
    print(f"check=accepted_try_is_told ok={'record=other' in host.log_lines(line)[0]}")
    await test.stop()


asyncio.run(main())
