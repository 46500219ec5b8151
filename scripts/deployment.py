#!/usr/bin/python3
"""Keeps the example deployment running; see examples/deployment.sh.

up starts it in the background and prints every address, process id and fault
switch; status prints them again; down ends what up started, by process id.
"""
import asyncio
import json
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "tests"))
from harness import Deployment, LEPILO, ROOT  # noqa: E402

STATE = os.path.join(ROOT, "build", "deployment.json")


def describe(d):
    lines = [f"logs {d.directory}"]
    lines += [f"host {h.name} dc={h.dc} callers=127.0.0.1:{h.caller} peers=127.0.0.1:{h.peer} "
              f"pid={h.process.pid}" for h in d.hosts.values()]
    platform = f"http://127.0.0.1:{d.platform_port}"
    lines += [f"platform {platform}",
              f"  switch: curl -d '{{\"outage\": true}}' {platform}/fault   (slow_ms, lose_appends)"]
    for dc, port in d.farms.items():
        lines += [f"servers {dc} http://127.0.0.1:{port} names={dc}-s001..",
                  f"  switch: curl -d '{{\"frozen\": true}}' "
                  f"'http://127.0.0.1:{port}/fault?server={dc}-s001'   "
                  "(outage, slow_ms, lose_answers, silent_open, fail_tasks, leaving, restart)"]
    lines += [f"links http://127.0.0.1:{d.link_port}",
              f"  switch: curl -d '{{\"from\": \"trakia-1\", \"to\": \"dunav-1\", \"mode\": \"cut\"}}' "
              f"http://127.0.0.1:{d.link_port}/fault   (ok, silent, delay_ms, kbytes_per_s)"]
    return "\n".join(lines)


async def keep(ready):
    """Runs until SIGTERM; writes the state file once all is up."""
    d = Deployment(LEPILO)
    stop = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop.set)
    try:
        await d.start_all()
        with open(STATE, "w", encoding="utf-8") as file:
            json.dump({"pid": os.getpid(), "text": describe(d)}, file)
        os.write(ready, b"1")
        os.close(ready)
        await stop.wait()
    finally:
        await d.stop()


def up():
    if os.path.exists(STATE):
        print("it is up already; see status")
        return 1
    reader, writer = os.pipe()
    if os.fork() == 0:
        os.setsid()
        os.close(reader)
        null = os.open(os.devnull, os.O_RDWR)
        for number in (0, 1, 2):
            os.dup2(null, number)
        asyncio.run(keep(writer))
        os._exit(0)
    os.close(writer)
    if os.read(reader, 1) != b"1":
        print("it did not start")
        return 1
    return status()


def status():
    if not os.path.exists(STATE):
        print("it is down")
        return 1
    with open(STATE, encoding="utf-8") as file:
        print(json.load(file)["text"])
    return 0


def down():
    if not os.path.exists(STATE):
        print("it is down")
        return 1
    with open(STATE, encoding="utf-8") as file:
        os.kill(json.load(file)["pid"], signal.SIGTERM)
    os.remove(STATE)
    return 0


if __name__ == "__main__":
    actions = {"up": up, "status": status, "down": down}
    if len(sys.argv) != 2 or sys.argv[1] not in actions:
        print(__doc__)
        sys.exit(2)
    sys.exit(actions[sys.argv[1]]())
