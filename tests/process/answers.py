#!/usr/bin/python3
"""Each client receives the complete answer to its own request.

Guards against answers that are lost, cut short or given to another client while
backend servers drop or delay their answers, outputs are large, and open
connections stop carrying data.  Invalid input is refused with an error that
names the field or line.
"""
import asyncio

from scenario import check, main, verify_no_violations


async def run(d, _):
    hosts = list(d.hosts)

    async def answer_is_own(i, size):
        answer = await d.submit(hosts[i % len(hosts)], "alpha", f"own-{i}",
                                {"run_ms": (i * 37) % 200, "echo": f"echo-{i}", "size": size},
                                idempotent=i % 2 == 0)
        return answer["outcome"] == "done" and \
            answer["output"] == f"alpha/own-{i}:echo-{i}:" + "x" * size
    for dc in d.server_group_ports:
        await d.set_server_faults(dc, lose_answers=2)
    await d.set_server_faults("dunav-1", slow_ms=30)
    own_ok = await asyncio.gather(*[answer_is_own(i, 0) for i in range(200)])
    check("each_its_own", all(own_ok), own_ok.count(False))
    large_ok = await asyncio.gather(*[answer_is_own(1000 + i, 2000000) for i in range(6)])
    check("large_whole", all(large_ok), large_ok.count(False))
    for dc in d.server_group_ports:
        await d.set_server_faults(dc, silent_open=True)
    await d.set_link_mode("trakia-1", "trakia-2", "silent")
    await d.set_link_mode("trakia-1", "dunav-1", "silent")
    after_silence_ok = await asyncio.gather(*[answer_is_own(2000 + i, 0) for i in range(60)])
    check("silent_connections_replaced", all(after_silence_ok), after_silence_ok.count(False))
    url = f"{d.hosts[hosts[0]].url}/v1/jobs"
    invalid_requests = {
        "unknown_field": ({"account": "alpha", "key": "x", "colour": 1}, "colour: unknown field"),
        "bad_number": ({"account": "alpha", "key": "x", "tasks": "two"}, "tasks: must be a whole"),
        "missing": ({"account": "alpha"}, "key: is missing"),
        "too_many": ({"account": "alpha", "key": "x", "tasks": 129}, "from 1 to 128"),
    }
    for name, (body, error) in invalid_requests.items():
        status, answer = await d.post(url, body)
        check(f"input_{name}", status == 400 and error in answer["error"], answer)
    async with d.session.post(url, data=b"{\"account\": ") as response:
        answer = await response.json()
        check("input_malformed", response.status == 400 and "line 1" in answer["error"], answer)
    await verify_no_violations(d)

main(run)
