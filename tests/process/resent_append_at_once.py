#!/usr/bin/python3
"""A submission whose append was carried out, with no answer, is not refused for the next copy.

Guards against a refused job that runs: the log carries an append out at once, closes the
connection, and refuses the copy that is sent then; also while the leader is lost.
"""
import asyncio
import signal
import sys

from refusing_log import CLOSE, REFUSED, Outcome, RefusedJobsTest, wait_until

LAG_S = 1.5  # for which the hosts do not see the record: longer than attempts are made


async def submit_and_refuse_next_copy(test, host, job, answer, lag):
    """Returns the status of a submission to HOST, with every append after the first refused."""
    for other in test.hosts:
        test.log.outcomes[other.log_port] = [Outcome(False, answer)]
    test.log.outcomes[host.log_port] = [Outcome(True, CLOSE), Outcome(False, answer)]
    test.log.job_arrived.clear()
    if lag:
        test.log.lagging = {other.log_port for other in test.hosts}
        asyncio.get_running_loop().call_later(LAG_S, test.log.lagging.clear)
    status = await test.submit(job, host)
    test.log.outcomes.clear()
    print(f"  job={job} answer={answer} lag={lag} status={status}", file=sys.stderr)
    return status


async def refuse_copies(test):
    host = test.hosts[0]
    for answer in REFUSED:
        for lag in (False, True):
            job = f"{answer}{lag:d}".rjust(16, "b")
            await test.submit_until_accepted("a" + job[1:], host)  # its connection is used again
            status = await submit_and_refuse_next_copy(test, host, job, answer, lag)
            await wait_until(lambda job=job: test.has_run(job))
            print(f"check=stored_job_is_not_refused_{answer}_lag_{lag:d} "
                  f"ok={status not in REFUSED}")
            await asyncio.sleep(LAG_S)


async def lose_leader_meanwhile(test):
    leader, host, other = test.hosts
    job = "c" * 16
    await test.submit_until_accepted("d" * 16, host)
    submission = asyncio.create_task(submit_and_refuse_next_copy(test, host, job, 503, True))
    await test.log.job_arrived.wait()
    leader.signal(signal.SIGKILL)
    status = await submission
    await test.wait_until_placed(job, [host, other])
    await leader.process.wait()
    print(f"check=next_leader_starts_it ok={not leader.log_lines(f'task={job}')}")
    print(f"check=stored_job_is_not_refused_without_leader ok={status not in REFUSED}")


async def main():
    for play, hosts in ((refuse_copies, 1), (lose_leader_meanwhile, 3)):
        test = RefusedJobsTest(hosts)
        await test.start()
        await play(test)
        await test.stop()


asyncio.run(main())
