#!/usr/bin/python3
"""Keeps the example deployment running in the background; see examples/deployment.sh.

usage: example_deployment.py up|status|down

"up" starts the deployment and prints the address and process id of every host and
the commands that inject faults; "status" prints them again; "down" stops the
process that "up" started, by its process id.
"""
import asyncio
import json
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "tests"))
from harness import Deployment, EXAMPLE_SHAPE, ROOT  # noqa: E402

STATE_FILE = os.path.join(ROOT, "build", "deployment.json")


def describe(deployment):
    """Returns the text that "up" and "status" print."""
    lines = [f"logs {deployment.directory}"]
    lines += [f"host {h.name} dc={h.dc} callers=127.0.0.1:{h.caller_port} "
              f"peers=127.0.0.1:{h.peer_port} pid={h.process.pid}"
              for h in deployment.hosts.values()]
    platform = f"http://127.0.0.1:{deployment.platform_port}"
    lines += [f"platform {platform}",
              f"  switch: curl -d '{{\"outage\": true}}' {platform}/fault   (slow_ms, lose_appends)"]
    for dc, port in deployment.server_group_ports.items():
        lines += [f"servers {dc} http://127.0.0.1:{port} names={dc}-s001..",
                  f"  switch: curl -d '{{\"frozen\": true}}' "
                  f"'http://127.0.0.1:{port}/fault?server={dc}-s001'   "
                  "(outage, slow_ms, lose_answers, silent_open, fail_tasks, leaving, restart)"]
    lines += [f"links http://127.0.0.1:{deployment.link_port}",
              f"  switch: curl -d '{{\"from\": \"trakia-1\", \"to\": \"dunav-1\", \"mode\": \"cut\"}}' "
              f"http://127.0.0.1:{deployment.link_port}/fault   "
              "(ok, silent, delay_ms, kbytes_per_s)"]
    return "\n".join(lines)


async def run_until_terminated(ready_fd):
    """Runs the deployment until SIGTERM.

    Once everything has started, writes the state file and then one byte to READY_FD.
    """
    deployment = Deployment(EXAMPLE_SHAPE)
    stop = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop.set)
    try:
        await deployment.start_all()
        with open(STATE_FILE, "w", encoding="utf-8") as file:
            json.dump({"pid": os.getpid(), "text": describe(deployment)}, file)
        os.write(ready_fd, b"1")
        os.close(ready_fd)
        await stop.wait()
    finally:
        await deployment.stop()


def up():
    """Starts the deployment in a background process and waits until it is ready."""
    if os.path.exists(STATE_FILE):
        print("the deployment is already running; see status")
        return 1
    read_fd, write_fd = os.pipe()
    if os.fork() == 0:
        os.setsid()
        os.close(read_fd)
        null_fd = os.open(os.devnull, os.O_RDWR)
        for standard_fd in (0, 1, 2):
            os.dup2(null_fd, standard_fd)
        asyncio.run(run_until_terminated(write_fd))
        os._exit(0)
    os.close(write_fd)
    if os.read(read_fd, 1) != b"1":
        print("the deployment did not start")
        return 1
    return status()


def status():
    if not os.path.exists(STATE_FILE):
        print("the deployment is not running")
        return 1
    with open(STATE_FILE, encoding="utf-8") as file:
        print(json.load(file)["text"])
    return 0


def down():
    if not os.path.exists(STATE_FILE):
        print("the deployment is not running")
        return 1
    with open(STATE_FILE, encoding="utf-8") as file:
        os.kill(json.load(file)["pid"], signal.SIGTERM)
    os.remove(STATE_FILE)
    return 0


if __name__ == "__main__":
    actions = {"up": up, "status": status, "down": down}
    if len(sys.argv) != 2 or sys.argv[1] not in actions:
        print(__doc__)
        sys.exit(2)
    sys.exit(actions[sys.argv[1]]())
