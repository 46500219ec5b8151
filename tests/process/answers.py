#!/usr/bin/python3
"""Each caller gets the whole answer to its own request: with lost answers of
servers, slow ones, large outputs, open connections that go silent, and bad
input that is named."""
import asyncio

from scenario import check, main, no_violation


async def run(d, _):
    hosts = list(d.hosts)

    async def one(i, size):
        answer = await d.submit(hosts[i % len(hosts)], "alpha", f"own-{i}",
                                {"run_ms": (i * 37) % 200, "echo": f"echo-{i}", "size": size},
                                idempotent=i % 2 == 0)
        return answer["outcome"] == "done" and \
            answer["output"] == f"alpha/own-{i}:echo-{i}:" + "x" * size
    for dc in d.farms:
        await d.backend(dc, lose_answers=2)
    await d.backend("dunav-1", slow_ms=30)
    own = await asyncio.gather(*[one(i, 0) for i in range(200)])
    check("each_its_own", all(own), own.count(False))
    large = await asyncio.gather(*[one(1000 + i, 2000000) for i in range(6)])
    check("large_whole", all(large), large.count(False))
    for dc in d.farms:
        await d.backend(dc, silent_open=True)
    await d.link("trakia-1", "trakia-2", "silent")
    await d.link("trakia-1", "dunav-1", "silent")
    after = await asyncio.gather(*[one(2000 + i, 0) for i in range(60)])
    check("silent_connections_replaced", all(after), after.count(False))
    url = f"{d.hosts[hosts[0]].url}/v1/jobs"
    cases = {
        "unknown_field": ({"account": "alpha", "key": "x", "colour": 1}, "colour: unknown field"),
        "bad_number": ({"account": "alpha", "key": "x", "tasks": "two"}, "tasks: must be a whole"),
        "missing": ({"account": "alpha"}, "key: is missing"),
        "too_many": ({"account": "alpha", "key": "x", "tasks": 129}, "from 1 to 128"),
    }
    for name, (body, text) in cases.items():
        status, answer = await d.post(url, body)
        check(f"input_{name}", status == 400 and text in answer["error"], answer)
    async with d.session.post(url, data=b"{\"account\": ") as response:
        answer = await response.json()
        check("input_malformed", response.status == 400 and "line 1" in answer["error"], answer)
    await no_violation(d)

main(run)
