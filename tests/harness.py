"""Starts a complete deployment on the loopback interface.

A deployment consists of entry hosts, the stand-ins (platform, backend servers)
and relays that simulate the network between data centres.  `make run`,
examples/deployment.sh, the benchmarks and the process tests use it.

Every wait polls a condition until a time limit; there are no fixed delays.
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
# Gang members may run without each other for up to one lease.  The stand-in's
# periodic check for expired leases and its recording add at most this.
RECORD_TOLERANCE_MS = 300

# One entry per data centre: name, region, number of entry hosts, number of
# backend servers.  EXAMPLE_SHAPE is the example deployment (`make run` and
# examples/deployment.sh); the process tests use SMALL_SHAPE.
EXAMPLE_SHAPE = [("trakia-1", "trakia", 3, 18), ("trakia-2", "trakia", 2, 16),
                 ("dunav-1", "dunav", 2, 16)]
SMALL_SHAPE = [("trakia-1", "trakia", 2, 4), ("trakia-2", "trakia", 2, 4),
               ("dunav-1", "dunav", 2, 4)]
SERVERS_PER_RACK = 8
SAME_REGION_DELAY_MS = 0.5    # one way
CROSS_REGION_DELAY_MS = 15.0  # one way


def build_dir():
    return os.environ.get("MS_BUILD", os.path.join(ROOT, "build"))


class Ports:
    """Allocates free TCP ports on the loopback address.

    A bound socket that never listens reserves each port until release().  A
    server that sets SO_REUSEADDR can still listen on the port, but the kernel
    gives the port to no other process on the machine in the meantime.
    """

    def __init__(self):
        self.sockets = []

    def allocate(self):
        bound_socket = socket.socket()
        bound_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        bound_socket.bind(("127.0.0.1", 0))
        self.sockets.append(bound_socket)
        return bound_socket.getsockname()[1]

    def release(self):
        for bound_socket in self.sockets:
            bound_socket.close()
        self.sockets = []


class Host:
    """An entry host: its ports (for client requests and for peers) and its process."""

    def __init__(self, name, dc, region, ports):
        self.name, self.dc, self.region = name, dc, region
        self.caller_port, self.peer_port = ports.allocate(), ports.allocate()
        self.process = None
        self.frozen = False

    @property
    def url(self):
        return f"http://127.0.0.1:{self.caller_port}"


class Deployment:
    """The processes of one deployment, all on the loopback interface.

    shape: its data centres, as in EXAMPLE_SHAPE; directory: for logs and settings files
    (default: a new temporary one); settings: further settings of the hosts, as
    TOML values; platform_options: further arguments of the platform stand-in;
    retain: log records that the platform keeps (0: all); record_traces: each host
    writes a trace file.
    """

    def __init__(self, shape=None, directory=None, settings=None, platform_options=(),
                 retain=0, record_traces=False):
        self.shape = shape or EXAMPLE_SHAPE
        self.directory = directory or tempfile.mkdtemp(prefix="mustardspread-")
        self.settings = settings or {}
        self.platform_options = list(platform_options) + ["--retain", str(retain)]
        self.record_traces = record_traces
        self.ports = Ports()
        self.hosts = {}
        self.server_group_ports = {}
        self.servers = []
        self.processes = []
        self.relays = []
        self.relay_ports = {}
        self.session = None
        self.assign_addresses()

    # ---- layout ----

    def assign_addresses(self):
        self.platform_port = self.ports.allocate()
        self.link_port = self.ports.allocate()
        for dc, region, hosts, servers in self.shape:
            self.server_group_ports[dc] = self.ports.allocate()
            for i in range(hosts):
                host = Host(f"{dc}-h{i + 1}", dc, region, self.ports)
                self.hosts[host.name] = host
            for i in range(servers):
                # Each server has its own address, as in a real network.
                ip = f"127.{10 + len(self.server_group_ports)}.{i // 250}.{i % 250 + 1}"
                self.servers.append({
                    "name": f"{dc}-s{i + 1:03d}", "dc": dc, "region": region, "role": "server",
                    "rack": f"{dc}-r{i // SERVERS_PER_RACK + 1}", "slots": 8, "accels": 8,
                    "state": "live", "ip": ip,
                    "address": f"http://{ip}:{self.server_group_ports[dc]}/s/{dc}-s{i + 1:03d}"})
        regions = {dc: region for dc, region, _, _ in self.shape}
        platform_region = self.shape[0][1]
        for dc, region in regions.items():
            delay_ms = SAME_REGION_DELAY_MS if region == platform_region \
                else CROSS_REGION_DELAY_MS
            self.add_relay(dc, "platform", self.platform_port, delay_ms)
            for host in self.hosts.values():
                if host.dc != dc:
                    delay_ms = SAME_REGION_DELAY_MS if region == host.region \
                        else CROSS_REGION_DELAY_MS
                    self.add_relay(dc, host.dc, host.peer_port, delay_ms, host.name)

    def add_relay(self, source, target, port, delay_ms, host_name=None):
        """Adds a relay from data centre SOURCE to PORT in TARGET (a data centre or "platform").

        Processes of SOURCE use relay_ports[(SOURCE, HOST_NAME or TARGET)] instead of PORT.
        """
        listen = self.ports.allocate()
        self.relays.append(f"{source},{target},{listen},{port},{delay_ms}")
        self.relay_ports[(source, host_name or target)] = listen

    def host_list(self):
        """The platform's host list: all hosts and backend servers."""
        hosts = [{"name": h.name, "dc": h.dc, "region": h.region, "role": "host", "state": "live",
                  "address": f"127.0.0.1:{h.peer_port}"} for h in self.hosts.values()]
        return hosts + self.servers

    def settings_text(self, host):
        """Content of HOST's settings file; hosts of other data centres are reached by relays."""
        lines = [f'name = "{host.name}"', f'dc = "{host.dc}"', f'region = "{host.region}"',
                 f'caller_address = "127.0.0.1:{host.caller_port}"',
                 f'peer_address = "127.0.0.1:{host.peer_port}"',
                 f'platform_url = "http://127.0.0.1:{self.relay_ports[(host.dc, "platform")]}"']
        lines += [f"{key} = {value}" for key, value in self.settings.items()]
        for other in self.hosts.values():
            if other is host:
                continue
            port = other.peer_port if other.dc == host.dc \
                else self.relay_ports[(host.dc, other.name)]
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
        """Starts a stand-in and waits until it listens."""
        process = self.spawn(name, [PYTHON] + arguments, stdout=subprocess.PIPE)
        line = process.stdout.readline().decode()
        if not line.startswith("listening"):
            raise RuntimeError(f"stand-in {name} did not start; see {self.directory}/{name}.log")
        return process

    def start_host(self, name):
        host = self.hosts[name]
        path = os.path.join(self.directory, f"{name}.toml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(self.settings_text(host))
        arguments = [os.path.join(build_dir(), "mustardspreadd"), "--settings", path]
        if self.record_traces:
            arguments += ["--record", os.path.join(self.directory, f"{name}.trace")]
        host.process = self.spawn(name, arguments)
        host.frozen = False

    async def start(self, hosts=None):
        """Starts the stand-ins, the relays and the named hosts (default: all)."""
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0), timeout=aiohttp.ClientTimeout(total=150))
        self.start_standin("platform", ["platform_log.py", str(self.platform_port)]
                           + self.platform_options)
        self.start_standin("links", ["link.py", str(self.link_port)] + self.relays)
        for dc, port in self.server_group_ports.items():
            specs = [f"{s['name']}:{s['rack']}:{s['slots']}:{s['accels']}:{s['ip']}"
                     for s in self.servers if s["dc"] == dc]
            self.start_standin(f"servers-{dc}", ["backend.py", str(port), "--lease-ms",
                                                 str(LEASE_MS)] + specs)
        await self.publish_host_list()
        for name in hosts if hosts is not None else self.hosts:
            self.start_host(name)

    async def publish_host_list(self):
        await self.post(f"http://127.0.0.1:{self.platform_port}/hosts",
                        {"hosts": self.host_list()})

    async def stop(self):
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)  # it may be frozen
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
        """Stops the host's process with SIGSTOP until thaw()."""
        self.hosts[name].process.send_signal(signal.SIGSTOP)
        self.hosts[name].frozen = True

    def thaw(self, name):
        self.hosts[name].process.send_signal(signal.SIGCONT)
        self.hosts[name].frozen = False

    def running_hosts(self):
        """The hosts whose process runs and is not frozen."""
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
        """Submits a job; returns the fields of the answer and the HTTP status.

        PAYLOAD tells the backend stand-in what the job's tasks do.
        """
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

    async def set_platform_faults(self, **faults):
        """Sets fault switches of the platform stand-in; see standins/common.py."""
        await self.post(f"http://127.0.0.1:{self.platform_port}/fault", faults)

    async def platform_stats(self):
        return (await self.get(f"http://127.0.0.1:{self.platform_port}/stats"))[1]

    async def set_link_mode(self, source, target, mode):
        """Sets the mode of all relays between two data centres; see standins/link.py."""
        await self.post(f"http://127.0.0.1:{self.link_port}/fault",
                        {"from": source, "to": target, "mode": mode})

    async def set_server_faults(self, dc, server="*", **faults):
        """Sets fault switches of one server of DC, or of all; see standins/backend.py."""
        await self.post(
            f"http://127.0.0.1:{self.server_group_ports[dc]}/fault?server={server}", faults)

    async def apply_rules(self, host, text, replace=1):
        """Sends rules to HOST.  With replace=0, rules that TEXT does not mention stay."""
        async with self.session.post(f"{self.hosts[host].url}/v1/rules?replace={replace}",
                                     data=text.encode()) as response:
            return response.status, await response.json()

    async def execution_records(self):
        """Task events recorded by the backend servers, in order of time."""
        events = []
        for dc, port in self.server_group_ports.items():
            _, answer = await self.get(f"http://127.0.0.1:{port}/record")
            events += [{**event, "dc": dc} for event in answer["record"]]
        return sorted(events, key=lambda event: event["at"])

    # ---- waits ----

    async def wait_until(self, description, condition, limit_s=15.0):
        """Polls the coroutine function CONDITION until its result is true; returns the result.

        Errors of requests count as false, since a host may be down.
        DESCRIPTION completes "timed out waiting until ...".
        """
        deadline = time.monotonic() + limit_s
        result = None
        while time.monotonic() < deadline:
            try:
                result = await condition()
                if result:
                    return result
            except (aiohttp.ClientError, asyncio.TimeoutError, KeyError):
                pass
            await asyncio.sleep(0.02)
        raise TimeoutError(
            f"timed out waiting until {description} ({limit_s} s, last result: {result})")

    async def leader(self, dc, among=None):
        """Name of the leader of DC if it may already start tasks there, or None.

        With AMONG, only the hosts of these names are asked.
        """
        for host in self.running_hosts():
            if host.dc != dc or (among is not None and host.name not in among):
                continue
            status = await self.status(host.name)
            if status["places"] and status["settled"]:
                return host.name
        return None

    async def wait_for_leaders(self, dcs=None, limit_s=20.0):
        """Waits until each data centre, or each of DCS, has a leader with all its servers."""
        for dc, _, _, servers in self.shape:
            if dcs is not None and dc not in dcs:
                continue

            async def ready(dc=dc, servers=servers):
                leader = await self.leader(dc)
                return leader and await self.metric(leader, "servers") >= servers
            await self.wait_until(f"{dc} has a leader with all servers", ready, limit_s)

    async def wait_for_peers(self, limit_s=15.0):
        """Waits until every running host sees all others as alive."""
        async def all_alive():
            names = {h.name for h in self.running_hosts()}
            for host in self.running_hosts():
                status = await self.status(host.name)
                alive = {peer["name"] for peer in status["hosts"] if peer["alive"]}
                if not names - {host.name} <= alive:
                    return False
            return True
        await self.wait_until("all hosts see each other as alive", all_alive, limit_s)

    async def start_all(self, rules=None):
        """Starts everything, waits until it is ready, and applies RULES."""
        await self.start()
        await self.wait_for_leaders()
        await self.wait_for_peers()
        if rules:
            first = next(iter(self.hosts))
            status, answer = await self.apply_rules(first, rules)
            if status != 200 or answer["unconfirmed"]:
                raise RuntimeError(f"rules not applied: {status} {answer}")


def count_violations(records):
    """Counts violations in the backend servers' records.

    Returns doubled (non-idempotent tasks that started more than once),
    partial_gangs (attempts whose members ran without the others for longer than
    a lease) and partial_ms (the longest such time).
    """
    start_counts = {}
    attempts = {}
    doubled = set()
    for event in records:
        if event["what"] == "start":
            task = (event["id"], event["member"])
            start_counts[task] = start_counts.get(task, 0) + 1
            if start_counts[task] > 1 and not event["idempotent"]:
                doubled.add(task)
        if event["what"] in ("start", "end") and event["members"] > 1:
            attempt = attempts.setdefault((event["id"], event["attempt"], event["dc"]),
                                          {"members": event["members"], "start": {}, "end": {}})
            attempt[event["what"]][event["member"]] = (event["at"], event["result"])
    partial_count, longest_ms = 0, 0
    for attempt in attempts.values():
        attempt_ms = partial_ms(attempt)
        longest_ms = max(longest_ms, attempt_ms)
        partial_count += attempt_ms > LEASE_MS + RECORD_TOLERANCE_MS
    return {"doubled": len(doubled), "partial_gangs": partial_count, "partial_ms": longest_ms}


def partial_ms(attempt):
    """Longest time for which only some members of one attempt ran."""
    start_times = [at for at, _ in attempt["start"].values()]
    end_times = [at for at, _ in attempt["end"].values()]
    if not start_times or not end_times:
        return 0
    if len(start_times) < attempt["members"]:
        return max(end_times) - min(start_times)
    start_skew = max(start_times) - min(start_times)
    failure_times = [at for at, result in attempt["end"].values() if result != "ok"]
    return max(start_skew, max(end_times) - min(failure_times) if failure_times else 0)
