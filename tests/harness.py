"""Starts a whole deployment on loopback: stand-ins, links and entry hosts.

Used by `make run`, by examples/deployment.sh and by the process tests.  Waits
are for events, with a limit; nothing sleeps for a guessed time.
"""
import asyncio
import json
import os
import signal
import socket
import subprocess
import tempfile
import time

import aiohttp

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
PYTHON = "/usr/bin/python3"
LEASE_MS = 3000
# Gang members may outlive each other by one lease; the sweep and the record
# of the stand-in add at most this.
RECORD_SLACK_MS = 300

# Name, region, entry hosts, backend servers: the brief's shape.
LEPILO = [("trakia-1", "trakia", 3, 18), ("trakia-2", "trakia", 2, 16), ("dunav-1", "dunav", 2, 16)]
SMALL = [("trakia-1", "trakia", 2, 4), ("trakia-2", "trakia", 2, 4), ("dunav-1", "dunav", 2, 4)]
RACK_SERVERS = 8
LOCAL_DELAY_MS = 0.5    # one way, within a region
REGION_DELAY_MS = 15.0  # one way, between regions


def build_dir():
    return os.environ.get("MS_BUILD", os.path.join(ROOT, "build"))


class Ports:
    """Free ports of the loopback address.

    Each is held by a bound socket that never listens, for as long as the
    deployment lives: a server with SO_REUSEADDR may listen on it, and nothing
    else on the machine is given it meanwhile.
    """

    def __init__(self):
        self.held = []

    def take(self):
        holder = socket.socket()
        holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        holder.bind(("127.0.0.1", 0))
        self.held.append(holder)
        return holder.getsockname()[1]

    def release(self):
        for holder in self.held:
            holder.close()
        self.held = []


class Host:
    def __init__(self, name, dc, region, ports):
        self.name, self.dc, self.region = name, dc, region
        self.caller, self.peer = ports.take(), ports.take()
        self.process = None
        self.frozen = False

    @property
    def url(self):
        return f"http://127.0.0.1:{self.caller}"


class Deployment:
    def __init__(self, shape=None, directory=None, settings=None, platform_options=(),
                 retain=0, record=False):
        self.shape = shape or LEPILO
        self.directory = directory or tempfile.mkdtemp(prefix="mustardspread-")
        self.settings = settings or {}
        self.platform_options = list(platform_options) + ["--retain", str(retain)]
        self.record = record
        self.ports = Ports()
        self.hosts = {}
        self.farms = {}
        self.servers = []
        self.processes = []
        self.relays = []
        self.relay_ports = {}
        self.session = None
        self.plan()

    # ---- layout ----

    def plan(self):
        self.platform_port = self.ports.take()
        self.link_port = self.ports.take()
        for dc, region, hosts, servers in self.shape:
            self.farms[dc] = self.ports.take()
            for i in range(hosts):
                host = Host(f"{dc}-h{i + 1}", dc, region, self.ports)
                self.hosts[host.name] = host
            for i in range(servers):
                # An address of its own for each server, as in a real network.
                ip = f"127.{10 + len(self.farms)}.{i // 250}.{i % 250 + 1}"
                self.servers.append({
                    "name": f"{dc}-s{i + 1:03d}", "dc": dc, "region": region, "role": "server",
                    "rack": f"{dc}-r{i // RACK_SERVERS + 1}", "slots": 8, "accels": 8,
                    "state": "live", "ip": ip,
                    "address": f"http://{ip}:{self.farms[dc]}/s/{dc}-s{i + 1:03d}"})
        regions = {dc: region for dc, region, _, _ in self.shape}
        home = self.shape[0][1]
        for dc, region in regions.items():
            delay = LOCAL_DELAY_MS if region == home else REGION_DELAY_MS
            self.relay(dc, "platform", self.platform_port, delay)
            for host in self.hosts.values():
                if host.dc != dc:
                    delay = LOCAL_DELAY_MS if region == host.region else REGION_DELAY_MS
                    self.relay(dc, host.dc, host.peer, delay, host.name)

    def relay(self, source, target, port, delay, name=None):
        listen = self.ports.take()
        self.relays.append(f"{source},{target},{listen},{port},{delay}")
        self.relay_ports[(source, name or target)] = listen

    def listed(self):
        hosts = [{"name": h.name, "dc": h.dc, "region": h.region, "role": "host", "state": "live",
                  "address": f"127.0.0.1:{h.peer}"} for h in self.hosts.values()]
        return hosts + self.servers

    def settings_text(self, host):
        lines = [f'name = "{host.name}"', f'dc = "{host.dc}"', f'region = "{host.region}"',
                 f'caller_address = "127.0.0.1:{host.caller}"',
                 f'peer_address = "127.0.0.1:{host.peer}"',
                 f'platform_url = "http://127.0.0.1:{self.relay_ports[(host.dc, "platform")]}"']
        lines += [f"{key} = {value}" for key, value in self.settings.items()]
        for other in self.hosts.values():
            if other is host:
                continue
            port = other.peer if other.dc == host.dc else self.relay_ports[(host.dc, other.name)]
            lines += ["[[peer]]", f'name = "{other.name}"', f'dc = "{other.dc}"',
                      f'region = "{other.region}"', f'address = "127.0.0.1:{port}"']
        return "\n".join(lines) + "\n"

    # ---- processes ----

    def spawn(self, name, arguments, stdout=None):
        log = open(os.path.join(self.directory, f"{name}.log"), "ab")
        process = subprocess.Popen(arguments, stdin=subprocess.DEVNULL, stdout=stdout or log,
                                   stderr=log, cwd=os.path.join(ROOT, "tests", "standins"))
        log.close()
        self.processes.append(process)
        return process

    def start_standin(self, name, arguments):
        process = self.spawn(name, [PYTHON] + arguments, stdout=subprocess.PIPE)
        line = process.stdout.readline().decode()
        if not line.startswith("listening"):
            raise RuntimeError(f"{name} did not start; see {self.directory}/{name}.log")
        return process

    def start_host(self, name):
        host = self.hosts[name]
        path = os.path.join(self.directory, f"{name}.toml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(self.settings_text(host))
        arguments = [os.path.join(build_dir(), "mustardspreadd"), "--settings", path]
        if self.record:
            arguments += ["--record", os.path.join(self.directory, f"{name}.trace")]
        host.process = self.spawn(name, arguments)
        host.frozen = False

    async def start(self, hosts=None):
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0), timeout=aiohttp.ClientTimeout(total=150))
        self.start_standin("platform", ["platform_log.py", str(self.platform_port)]
                           + self.platform_options)
        self.start_standin("links", ["link.py", str(self.link_port)] + self.relays)
        for dc, port in self.farms.items():
            texts = [f"{s['name']}:{s['rack']}:{s['slots']}:{s['accels']}:{s['ip']}"
                     for s in self.servers if s["dc"] == dc]
            self.start_standin(f"servers-{dc}", ["backend.py", str(port), "--lease-ms",
                                                 str(LEASE_MS)] + texts)
        await self.set_listed()
        for name in hosts if hosts is not None else self.hosts:
            self.start_host(name)

    async def set_listed(self):
        await self.post(f"http://127.0.0.1:{self.platform_port}/hosts", {"hosts": self.listed()})

    async def stop(self):
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes:
            process.wait()
        self.ports.release()
        if self.session is not None:
            await self.session.close()

    def kill(self, name):
        self.hosts[name].process.kill()
        self.hosts[name].process.wait()

    def terminate(self, name):
        self.hosts[name].process.send_signal(signal.SIGTERM)

    def freeze(self, name):
        self.hosts[name].process.send_signal(signal.SIGSTOP)
        self.hosts[name].frozen = True

    def thaw(self, name):
        self.hosts[name].process.send_signal(signal.SIGCONT)
        self.hosts[name].frozen = False

    def up(self):
        return [h for h in self.hosts.values()
                if h.process is not None and h.process.poll() is None and not h.frozen]

    # ---- requests ----

    async def post(self, url, body, **options):
        async with self.session.post(url, json=body, **options) as response:
            return response.status, await response.json()

    async def get(self, url):
        async with self.session.get(url) as response:
            return response.status, await response.json()

    async def submit(self, host, account, key, payload=None, **fields):
        body = {"account": account, "key": key, "payload": json.dumps(payload or {}), **fields}
        status, answer = await self.post(f"{self.hosts[host].url}/v1/jobs", body)
        return {"status": status, **answer}

    async def status(self, host):
        return (await self.get(f"{self.hosts[host].url}/v1/status"))[1]

    async def job(self, host, job, wait_ms=0):
        _, answer = await self.get(f"{self.hosts[host].url}/v1/jobs/{job}?wait_ms={wait_ms}")
        return answer

    async def metric(self, host, name):
        async with self.session.get(f"{self.hosts[host].url}/metrics") as response:
            for line in (await response.text()).splitlines():
                if line.startswith(f"mustardspread_{name} "):
                    return int(line.split()[1])
        raise KeyError(name)

    async def platform(self, **faults):
        await self.post(f"http://127.0.0.1:{self.platform_port}/fault", faults)

    async def platform_stats(self):
        return (await self.get(f"http://127.0.0.1:{self.platform_port}/stats"))[1]

    async def link(self, source, target, mode):
        await self.post(f"http://127.0.0.1:{self.link_port}/fault",
                        {"from": source, "to": target, "mode": mode})

    async def backend(self, dc, server="*", **faults):
        await self.post(f"http://127.0.0.1:{self.farms[dc]}/fault?server={server}", faults)

    async def rules(self, host, text, replace=1):
        async with self.session.post(f"{self.hosts[host].url}/v1/rules?replace={replace}",
                                     data=text.encode()) as response:
            return response.status, await response.json()

    async def records(self):
        """What the backend servers themselves saw, in time order."""
        merged = []
        for dc, port in self.farms.items():
            _, answer = await self.get(f"http://127.0.0.1:{port}/record")
            merged += [{**entry, "dc": dc} for entry in answer["record"]]
        return sorted(merged, key=lambda entry: entry["at"])

    # ---- waits ----

    async def until(self, what, condition, limit_s=15.0):
        """Waits until the coroutine function CONDITION returns something true."""
        end = time.monotonic() + limit_s
        last = None
        while time.monotonic() < end:
            try:
                last = await condition()
                if last:
                    return last
            except (aiohttp.ClientError, asyncio.TimeoutError, KeyError):
                pass
            await asyncio.sleep(0.02)
        raise TimeoutError(f"{what}: not within {limit_s} s (last: {last})")

    async def holder(self, dc, among=None):
        """Name of the settled host that places the work of DC."""
        for host in self.up():
            if host.dc != dc or (among is not None and host.name not in among):
                continue
            status = await self.status(host.name)
            if status["places"] and status["settled"]:
                return host.name
        return None

    async def until_placed(self, dcs=None, limit_s=20.0):
        for dc, _, _, servers in self.shape:
            if dcs is not None and dc not in dcs:
                continue

            async def ready(dc=dc, servers=servers):
                name = await self.holder(dc)
                return name and await self.metric(name, "servers") >= servers
            await self.until(f"{dc} is placed", ready, limit_s)

    async def until_heard(self, limit_s=15.0):
        """Waits until every host hears every other one."""
        async def heard():
            names = {h.name for h in self.up()}
            for host in self.up():
                status = await self.status(host.name)
                alive = {peer["name"] for peer in status["hosts"] if peer["alive"]}
                if not names - {host.name} <= alive:
                    return False
            return True
        await self.until("all hosts hear each other", heard, limit_s)

    async def start_all(self, rules=None):
        await self.start()
        await self.until_placed()
        await self.until_heard()
        if rules:
            first = next(iter(self.hosts))
            status, answer = await self.rules(first, rules)
            if status != 200 or answer["unconfirmed"]:
                raise RuntimeError(f"rules: {status} {answer}")


def audit(records):
    """Counts violations in the backend servers' own records.

    Returns doubled (non-idempotent members that started twice), partial gangs
    (members that ran without the others for longer than a lease) and the
    longest such time in milliseconds.
    """
    starts = {}
    attempts = {}
    doubled = set()
    for entry in records:
        if entry["what"] == "start":
            key = (entry["id"], entry["member"])
            starts[key] = starts.get(key, 0) + 1
            if starts[key] > 1 and not entry["idempotent"]:
                doubled.add(key)
        if entry["what"] in ("start", "end") and entry["members"] > 1:
            attempt = attempts.setdefault((entry["id"], entry["attempt"], entry["dc"]),
                                          {"members": entry["members"], "start": {}, "end": {}})
            attempt[entry["what"]][entry["member"]] = (entry["at"], entry["result"])
    partial, worst = 0, 0
    for attempt in attempts.values():
        worst_here = partial_ms(attempt)
        worst = max(worst, worst_here)
        partial += worst_here > LEASE_MS + RECORD_SLACK_MS
    return {"doubled": len(doubled), "partial_gangs": partial, "partial_ms": worst}


def partial_ms(attempt):
    """Longest time for which only some members of one attempt ran."""
    begins = [at for at, _ in attempt["start"].values()]
    ends = [at for at, _ in attempt["end"].values()]
    if not begins or not ends:
        return 0
    if len(begins) < attempt["members"]:
        return max(ends) - min(begins)
    skew = max(begins) - min(begins)
    broken = [at for at, result in attempt["end"].values() if result != "ok"]
    return max(skew, max(ends) - min(broken) if broken else 0)
