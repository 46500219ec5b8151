#!/usr/bin/python3
"""A data centre is taken out while it is cut off from the platform: it hears
of it by its peers, no task starts there after 3 s, waiting work moves, and it
serves again once it is back in."""
import asyncio

from scenario import check, main, milliseconds, no_violation


async def run(d, _):
    others = "trakia-1-h1"
    await d.link("trakia-2", "platform", "cut")

    async def cut_off():
        return not (await d.status("trakia-2-h1"))["log_reachable"]
    await d.until("trakia-2 has lost the platform", cut_off)
    load_on = True
    answers = []

    async def load(host, number):
        i = 0
        while load_on:
            answers.append(await d.submit(host, "beta", f"load-{number}-{i}",
                                          {"run_ms": 50, "echo": f"{number}-{i}"}, accels=1,
                                          idempotent=True))
            i += 1
    tasks = [asyncio.ensure_future(load(h, n)) for n, h in
             enumerate(["trakia-2-h1", "trakia-2-h2", "trakia-2-h1", "dunav-1-h1"])]

    async def busy():
        return len([r for r in await d.records() if r["dc"] == "trakia-2"]) > 20
    await d.until("trakia-2 works", busy)
    status, answer = await d.rules(others, "datacentre trakia-2 out # Mila", replace=0)
    accepted = milliseconds()
    check("accepted", status == 200, answer)
    check("every_host_confirmed", not answer["unconfirmed"], answer)

    async def enough():
        return milliseconds() > accepted + 5000
    await d.until("5 s of load after it", enough)
    late = [r for r in await d.records() if r["what"] == "start" and r["dc"] == "trakia-2"
            and r["at"] > accepted + 3000]
    check("no_start_after_3_s", not late, late[:3])
    done_elsewhere = len([r for r in await d.records() if r["what"] == "end"
                          and r["dc"] != "trakia-2" and r["at"] > accepted])
    check("work_went_on_elsewhere", done_elsewhere > 20, done_elsewhere)
    await d.rules(others, "datacentre trakia-2 in # Mila", replace=0)
    back = milliseconds()

    async def again():
        return [r for r in await d.records() if r["what"] == "start" and r["dc"] == "trakia-2"
                and r["at"] > back]
    await d.until("trakia-2 works again", again)
    check("serves_again", True)
    load_on = False
    await asyncio.gather(*tasks)
    check("all_done", all(a["outcome"] == "done" for a in answers),
          [a for a in answers if a["outcome"] != "done"][:3])
    await no_violation(d)

main(run)
