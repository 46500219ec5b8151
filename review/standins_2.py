"""Stand-ins for the scripts of review/6 to review/10, with the Python standard library only.

A store with keyed topics, workers, an operator and clients, as the users' pages describe them,
and the entry hosts as processes of the built program.  All of it on 127.0.0.1 and the real clock.
Behaviour that a page leaves open is that of a sound store, worker or client.
"""
import asyncio
import base64
import json
import os
import random
import re
import signal
import socket
import struct
import sys
import tempfile
import time
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
PROGRAM = "target/mustardspread-entryd"  # the run line of deploy/system.toml
PORT_MIN, PORT_LIMIT = 10000, 32768

# The figures of ../given/kit/more/system/sites/lepilo-grid.toml.
BOUNDS = {"revokeMs": 5000, "holdMaxMs": 10000, "gangTimeoutMs": 3000, "stopGraceMs": 900,
          "visible_ms": 3000, "status_s": 120, "graceS": 6, "cancel_ms": 3000, "ackMs": 5000,
          "contactMs": 4000, "configApplyMs": 3000}
HEARTBEAT_MS = 1500
REGION_DELAY_MS = 30
STATUS_TEXTS = {200: "OK", 400: "Bad Request", 404: "Not Found", 409: "Conflict", 410: "Gone",
                412: "Precondition Failed", 421: "Misdirected Request", 503: "Unavailable"}


PORTS_TAKEN = set()  # by this script, also before they are bound


def free_port():
    """A port that nobody uses, below those that the kernel gives to connections."""
    while True:
        port = random.SystemRandom().randrange(PORT_MIN, PORT_LIMIT)
        if port in PORTS_TAKEN:
            continue
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
            PORTS_TAKEN.add(port)
            return port


class Record:
    """What was sent, answered and run; written to record.txt."""

    def __init__(self, path):
        self.started = time.monotonic()
        self.file = open(path, "w", encoding="ascii")

    def now(self):
        return time.monotonic() - self.started

    def line(self, text):
        self.file.write("%8.3f %s\n" % (self.now(), text))
        self.file.flush()


async def read_message(reader):
    """Reads one HTTP message with a Content-Length: (first line, headers, body), or None."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, found, value = line.partition(":")
        if found:
            headers[name.strip().lower()] = value.strip()
    try:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return lines[0], headers, body


class Server:
    """An HTTP/1.1 server; handle() returns (status, body) or None for no answer."""

    def __init__(self):
        self.port = free_port()
        self.address = "127.0.0.1:%d" % self.port
        self.listener = None

    async def start(self):
        self.listener = await asyncio.start_server(self.serve, "127.0.0.1", self.port,
                                                   limit=1 << 22)

    async def serve(self, reader, writer):
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                method, target, _ = message[0].split(" ", 2)
                answer = await self.handle(method, target, message[1], message[2])
                if answer is None:
                    await asyncio.sleep(30)
                    break
                status, body = answer
                if not isinstance(body, bytes):
                    body = json.dumps(body).encode()
                writer.write(("HTTP/1.1 %d %s\r\nContent-Type: application/json\r\n"
                              "Content-Length: %d\r\n\r\n" % (status, STATUS_TEXTS[status],
                                                              len(body))).encode() + body)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


class Topic:
    def __init__(self):
        self.records = []  # (key, value)
        self.newest = {}  # key -> (offset, value)
        self.producers = {}  # name -> [epoch, last sequence, {sequence: answer}]
        self.changed = asyncio.Event()

    def append(self, key, value):
        self.newest.pop(key, None)
        if value:
            self.newest[key] = (len(self.records), value)
        self.records.append((key, value))

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()


class Store(Server):
    """The platform's store, with the calls that the system makes."""

    def __init__(self):
        super().__init__()
        self.topics = {}

    def topic(self, name):
        return self.topics.setdefault(name, Topic())

    def put(self, name, key, value):
        """A write of the operator or of a worker."""
        topic = self.topic(name)
        topic.append(key.encode(), json.dumps(value).encode() if value is not None else b"")
        topic.wake()

    async def handle(self, method, target, headers, body):
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        topic = self.topic(query.get("topic", ""))
        if url.path == "/-/log-append":
            await asyncio.sleep(0.004)
            return self.append(topic, query, body)
        if url.path == "/-/log-read":
            return await self.read(topic, query)
        if url.path == "/-/log-newest":
            await asyncio.sleep(0.004)
            return 200, self.list_newest(topic, unquote(query.get("after", "")).encode())
        return 400, {}

    @staticmethod
    def append(topic, query, body):
        if "at" in query and int(query["at"]) != len(topic.records):
            return 412, {"end": len(topic.records)}
        state = None
        if "producer" in query:
            epoch, sequence = int(query["epoch"]), int(query["sequence"])
            state = topic.producers.get(query["producer"])
            if state is not None and epoch < state[0]:
                return 409, {"reason": "fenced"}
            if state is not None and epoch == state[0]:
                if sequence in state[2]:
                    return 200, state[2][sequence]
                if sequence != state[1] + 1:
                    return 409, {"reason": "seq", "sequence": state[1] + 1}
            else:
                state = topic.producers[query["producer"]] = [epoch, 0, {}]
            state[1] = sequence
        offset, position = len(topic.records), 0
        while position + 4 <= len(body):
            length = struct.unpack_from(">I", body, position)[0]
            content = body[position + 4:position + 4 + length]
            topic.append(content[1:1 + content[0]], content[1 + content[0]:])
            position += 4 + length
        answer = {"offset": offset, "end": len(topic.records)}
        if state is not None:
            state[2][state[1]] = answer
            state[2].pop(state[1] - 5, None)
        topic.wake()
        return 200, answer

    @staticmethod
    async def read(topic, query):
        start = int(query["from"])
        until = time.monotonic() + int(query.get("waitMs", "0")) / 1000
        while start >= len(topic.records) and time.monotonic() < until:
            try:
                await asyncio.wait_for(topic.changed.wait(), until - time.monotonic())
            except asyncio.TimeoutError:
                break
        await asyncio.sleep(0.004)
        out, size = [struct.pack(">QQ", len(topic.records), 0)], 0
        for key, value in topic.records[start:]:
            content = bytes([len(key)]) + key + value
            size += len(content) + 4
            if size > int(query.get("maxKb", "1024")) * 1024:
                break
            out.append(struct.pack(">I", len(content)) + content)
        return 200, b"".join(out)

    @staticmethod
    def list_newest(topic, after):
        keys = sorted(key for key in topic.newest if key > after)
        items = [{"key": key.decode(), "offset": topic.newest[key][0],
                  "value": base64.b64encode(topic.newest[key][1]).decode()}
                 for key in keys[:500]]
        return {"items": items, "hasMore": len(keys) > 500, "end": len(topic.records)}


class Run:
    def __init__(self, task, run, checkpoint, now):
        self.task, self.run, self.checkpoint = task, run, checkpoint
        self.began = now  # of its work, on the worker's clock; a gang's when all are present
        self.stop_at = None
        self.works = False


class Work:
    """What the tasks do: how long they take, which are gangs, and how runs end."""

    def __init__(self):
        self.duration_s = {}  # job id -> seconds, or None: until stopped
        self.gangs = {}  # "ID.K.STEP" -> number of tasks
        self.outcome = lambda worker, task, run: ("done", None)  # how it ends, and after what time
        self.workers = []

    def gang_complete(self, run):
        step, _, _ = run.task.rpartition(".")
        count = self.gangs.get(step)
        if count is None:
            return True
        present = sum(1 for worker in self.workers for other in worker.runs.values()
                      if other.task.rpartition(".")[0] == step and other.run == run.run)
        return present == count

    def break_gang(self, run):
        """RUN has ended: so do the other members of its gang, as soon as their workers hear."""
        step, _, _ = run.task.rpartition(".")
        if step not in self.gangs:
            return
        for worker in self.workers:
            for other in list(worker.runs.values()):
                if other.task.rpartition(".")[0] == step and other.run == run.run:
                    other.stop_at = worker.clock() + REGION_DELAY_MS
                    other.stopped_how = "broken"


class Worker(Server):
    """One worker; without admission check."""

    def __init__(self, record, store, work, name, zone, rack, kind="a"):
        super().__init__()
        self.record, self.store, self.work = record, store, work
        self.id, self.zone, self.rack, self.kind = name, zone, rack, kind
        self.capacity = {"cpu": 128000, "memMb": 524288, "gpu": 8}
        self.born_ms = int(time.time() * 1000)
        self.born_at = time.monotonic()
        self.fence = 0
        self.runs = {}
        self.ended = []  # not acknowledged yet
        self.all_ends = []
        self.noted = []  # (time of the record, end) of each end that was acknowledged
        self.last_end = 0
        self.starts = {}  # task -> number of its runs that were started here
        self.highest = {}  # task -> highest run that was stopped or has ended
        self.lease_ends = 0
        self.sequence = 0
        self.start_times = []  # (time of the record, task, run) of each start
        self.on_order = lambda worker, target, order: False  # whether a request gets no answer
        self.refuses = False  # unhealthy: answers starts with 503 and does nothing
        self.end_listed = asyncio.Event()
        work.workers.append(self)

    def clock(self):
        return int((time.monotonic() - self.born_at) * 1000)

    async def run(self):
        await self.start()
        await asyncio.gather(self.beat(), self.play())

    async def beat(self):
        while True:
            self.sequence += 1
            self.store.put("keyed.servers", self.id, {
                "service": "planner", "address": self.address, "zone": self.zone,
                "version": "v1", "slots": 8, "state": "ready", "coldRemainingMs": 0,
                "capacity": self.capacity, "labels": [self.kind, self.rack],
                "clockMs": self.clock(), "born": self.born_ms, "sequence": self.sequence})
            await asyncio.sleep(HEARTBEAT_MS / 1000)

    def end(self, run, how):
        del self.runs[run.task]
        self.last_end += 1
        self.highest[run.task] = max(run.run, self.highest.get(run.task, 0))
        self.all_ends.append([self.last_end, run.task, run.run, how, ""])
        self.ended.append(self.all_ends[-1])
        self.record.line("end %s run=%d worker=%s how=%s" % (run.task, run.run, self.id, how))
        self.end_listed.set()
        self.end_listed = asyncio.Event()
        if how != "done":
            self.work.break_gang(run)

    async def play(self):
        """The tasks work, end, are stopped, or lapse with the lease."""
        while True:
            await asyncio.sleep(0.01)
            now = self.clock()
            for run in list(self.runs.values()):
                if run.task not in self.runs:
                    continue
                if now >= self.lease_ends:
                    self.end(run, "lapsed")
                elif run.stop_at is not None and now >= run.stop_at:
                    self.end(run, getattr(run, "stopped_how", "stopped"))
                elif not run.works and self.work.gang_complete(run):
                    run.works, run.began = True, now
                elif run.works:
                    self.end_if_due(run, now)

    def end_if_due(self, run, now):
        """Ends RUN by itself; one that is being stopped may still fail, but isn't done any more."""
        how, after_s = self.work.outcome(self, run.task, run.run)
        if after_s is None:
            after_s = self.work.duration_s.get(run.task.split(".")[0])
        due = after_s is not None and now - run.began >= after_s * 1000
        if due and (how == "failed" or run.stop_at is None):
            self.end(run, how)

    def percent(self, run):
        duration_s = self.work.duration_s.get(run.task.split(".")[0])
        if not run.works or duration_s is None:
            return 100 if run.works else 0
        return min(int((self.clock() - run.began) / duration_s / 10), 99)

    async def handle(self, method, target, headers, body):
        if method == "GET":
            return 503 if self.refuses else 200, {}
        order = json.loads(body)
        if self.on_order(self, target, order):
            return None
        if headers.get("x-mustardspread-target-instance", self.id) != self.id:
            return 421, {"clockMs": self.clock()}
        if order.get("fencingToken", 0) < self.fence:
            return 409, {"clockMs": self.clock(), "reason": "fence"}
        self.fence = order.get("fencingToken", 0)
        if target == "/-/hold":
            return await self.hold(order)
        if target == "/-/run-start":
            return self.start_run(order)
        return self.stop_run(order)

    def extend(self, order):
        deadline = min(order.get("deadlineMs", 0), self.clock() + BOUNDS["holdMaxMs"])
        self.lease_ends = max(self.lease_ends, deadline)

    def start_run(self, order):
        task, number = order["task"], order["run"]
        clock = {"clockMs": self.clock()}
        if self.refuses:
            self.record.line("start %s run=%d worker=%s answer=503 (unhealthy, nothing done)"
                             % (task, number, self.id))
            return 503, clock
        if order["deadlineMs"] <= self.clock():
            return 409, dict(clock, reason="late")
        self.extend(order)
        if task in self.runs and self.runs[task].run == number:
            return 200, clock
        if number <= self.highest.get(task, 0) or task in self.runs:
            return 409, dict(clock, reason="old")
        self.starts[task] = self.starts.get(task, 0) + 1
        self.start_times.append((self.record.now(), task, number))
        self.runs[task] = Run(task, number, order.get("lastCheckpoint", ""), self.clock())
        self.record.line("start %s run=%d worker=%s answer=200" % (task, number, self.id))
        return 200, clock

    def stop_run(self, order):
        task, number = order["task"], order["run"]
        self.highest[task] = max(number, self.highest.get(task, 0))
        run = self.runs.get(task)
        if run is not None and run.run == number and run.stop_at is None:
            run.stop_at = self.clock() + 200
            self.record.line("stop %s run=%d worker=%s" % (task, number, self.id))
        return 200, {"clockMs": self.clock()}

    def restart(self):
        """It crashes and starts again under its id, and knows nothing of before."""
        self.record.line("worker %s crashes and starts again" % self.id)
        self.runs.clear()
        self.ended.clear()
        self.highest.clear()
        self.fence = self.last_end = self.lease_ends = 0
        self.born_ms = int(time.time() * 1000)
        self.born_at = time.monotonic()

    def renew(self, order):
        """Extends the lease and forgets the ends that ORDER acknowledges."""
        self.extend(order)
        position = order.get("ackPosition", 0)
        self.noted += [(self.record.now(), row) for row in self.ended if row[0] <= position]
        self.ended = [row for row in self.ended if row[0] > position]

    async def hold(self, order):
        self.renew(order)
        if order.get("waitMs", 0) > 0 and not self.ended:
            try:
                await asyncio.wait_for(self.end_listed.wait(), order["waitMs"] / 1000)
            except asyncio.TimeoutError:
                pass
        running = [[run.task, run.run, "", self.percent(run), 0] for run in self.runs.values()]
        return 200, {"clockMs": self.clock(), "born": self.born_ms, "running": running,
                     "ended": self.ended[:500]}


class Host:
    """One entry host: its settings, filled in from the deploy file's template, and its process."""

    def __init__(self, folder, store, index, zone, region):
        self.name = "edge-%s-%d" % (zone, index)
        self.front, ready, metrics = ("127.0.0.1:%d" % free_port() for _ in range(3))
        self.ready = ready
        self.settings = os.path.join(folder, self.name + ".toml")
        self.log = os.path.join(folder, self.name + ".log")
        values = {"node": self.name, "zone": zone, "region": region,
                  "listenAddrs.front": self.front, "listenAddrs.ready": ready,
                  "platform.address": store.address, "advice": "", "limits.cpuShare": "0.25",
                  "limits.maxFds": "4100"}
        values.update(("bounds." + name, str(value)) for name, value in BOUNDS.items())
        with open(os.path.join(ROOT, "deploy/settings.toml.in"), encoding="utf-8") as template:
            text = template.read().replace("{{ip}}:{{internalPorts.0}}", metrics)
        with open(self.settings, "w", encoding="utf-8") as out:
            out.write(re.sub(r"{{([^}]*)}}", lambda match: values[match.group(1)], text))
        self.process = None

    async def launch(self):
        environment = {"PATH": os.environ.get("PATH", ""), "HOME": os.environ.get("HOME", "/"),
                       "MUSTARDSPREAD_NODE_FILE": self.settings}
        with open(self.log, "a", encoding="utf-8") as log:
            self.process = await asyncio.create_subprocess_exec(
                os.path.join(ROOT, PROGRAM), cwd=ROOT, env=environment, stdout=log, stderr=log)

    def running(self):
        return self.process is not None and self.process.returncode is None

    async def is_ready(self):
        answer = await call(self.ready, "GET", "/-/readiness", timeout_s=1)
        return answer is not None and answer[0] == 200


async def call(address, method, path, body=None, headers=(), timeout_s=3.0):
    """One HTTP call on a connection of its own: (status, body), or None without an answer."""
    async def exchange():
        host, port = address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            data = json.dumps(body).encode() if body is not None else b""
            lines = ["%s %s HTTP/1.1" % (method, path), "Content-Length: %d" % len(data)]
            lines += ["%s: %s" % header for header in headers]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + data)
            await writer.drain()
            message = await read_message(reader)
            return message and (int(message[0].split(" ")[1]), message[2].decode())
        finally:
            writer.close()
    try:
        return await asyncio.wait_for(exchange(), timeout_s)
    except (OSError, asyncio.TimeoutError):
        return None


class Client:
    """Calls of a client of one tenant; each call and its answer goes to the record."""

    def __init__(self, record, hosts, key):
        self.record, self.hosts, self.key = record, hosts, key
        self.next_host = 0

    async def call(self, method, path, body=None):
        host = self.hosts[self.next_host % len(self.hosts)]
        self.next_host += 1
        headers = [("Host", "grid.example"), ("Authorization", "Bearer " + self.key),
                   ("Content-Type", "application/json"), ("X-Mustardspread-Deadline-Ms", "3000")]
        answer = await call(host.front, method, path, body, headers)
        text = "none" if answer is None else "%d %s" % answer
        self.record.line("%s %s host=%s answer=%s" % (method, path, host.name, text))
        return answer

    async def submit(self, prefix, job, steps, **fields):
        """Hands in a job as clients do, with the same ID until there is a final answer."""
        for _ in range(5):
            answer = await self.call("POST", prefix + job,
                                     dict({"taskSpec": "plan " + job, "steps": steps}, **fields))
            if answer is not None and answer[0] not in (502, 503, 504, 429):
                return answer[0]
            await asyncio.sleep(0.5)
        return None

    async def state(self, prefix, job):
        """The state that a GET gives, or its status if that is not 200, or None."""
        answer = await self.call("GET", prefix + job)
        if answer is None:
            return None
        return json.loads(answer[1])["state"] if answer[0] == 200 else answer[0]


def queue(name, prefix, priority, attempts):
    return {"name": name, "hostname": "grid.example", "pathPrefix": prefix, "kind": "unsafe",
            "timeoutMs": 3000, "targetLatencyMs": 600, "priority": priority, "service": "planner",
            "maxAttempts": attempts, "stretch": 1.5, "public": False, "allowedRegions": []}


class Deployment:
    """A small deployment: hosts in three zones, a store, workers and one tenant."""

    ZONES = (("plovdiv", "trakia"), ("ruse", "dunav"), ("stara", "trakia"))
    KEY = "d4a3hwrr6x73d3zji9n7"

    def __init__(self, record, folder, hosts=3):
        self.record = record
        self.store = Store()
        self.work = Work()
        self.version = 0
        self.workers = []
        self.hosts = [Host(folder, self.store, i, *self.ZONES[i % 3]) for i in range(hosts)]
        self.client = Client(record, self.hosts, self.KEY)
        self.tasks = []

    def add_workers(self, count, kind="a"):
        for _ in range(count):
            index = len(self.workers)
            self.workers.append(Worker(self.record, self.store, self.work, "w-%02d" % index,
                                       self.ZONES[index % 3][0], "r%d" % (index // 8), kind))

    def configure(self, queues):
        """The operator writes a version of the configuration."""
        self.version += 3
        self.store.put("keyed.op", "config", {
            "version": self.version, "routes": queues, "limits": {},
            "services": [{"name": "planner", "healthPath": "/health", "admissionCheck": False,
                          "maxConnections": 64, "protocol": "h1", "standby": False}],
            "tenants": [{"name": "kaje80", "apiKeys": [self.KEY], "guaranteed": {"gpu": 64}}]})
        self.record.line("config version=%d routes=%s acknowledged"
                         % (self.version, ",".join(one["name"] for one in queues)))

    async def start(self):
        await self.store.start()
        self.tasks = [asyncio.ensure_future(worker.run()) for worker in self.workers]
        for host in self.hosts:
            await host.launch()
        until = time.monotonic() + 20
        for host in self.hosts:
            while not await host.is_ready():
                if time.monotonic() > until or not host.running():
                    raise RuntimeError("%s does not become ready" % host.name)
                await asyncio.sleep(0.1)
        await asyncio.sleep(4)  # a leader has claimed and knows the workers
        self.record.line("all hosts are ready")

    async def stop(self):
        for host in self.hosts:
            if host.running():
                host.process.send_signal(signal.SIGTERM)
        for host in self.hosts:
            if host.process is not None:
                try:
                    await asyncio.wait_for(host.process.wait(), BOUNDS["graceS"])
                except asyncio.TimeoutError:
                    host.process.kill()
                    await host.process.wait()
        for task in self.tasks:
            task.cancel()


def main(script_file, scenario):
    """Runs SCENARIO(deployment, trouble); exits with 0, 1 (broken) or 2 (could not run)."""
    record = Record(os.path.join(os.path.dirname(os.path.abspath(script_file)), "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.line("trouble=%d" % trouble)

    async def play():
        # A script that is told to end also ends its processes.
        task = asyncio.current_task()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        with tempfile.TemporaryDirectory() as folder:
            folder = os.environ.get("KEEP_LOGS", folder)
            deployment = Deployment(record, folder)
            try:
                return await asyncio.wait_for(scenario(deployment, trouble), 100)
            finally:
                await deployment.stop()
    try:
        broken = asyncio.run(play())
    except (Exception, asyncio.CancelledError) as error:  # pylint: disable=broad-except
        record.line("could not run: %r" % error)
        print("could not run: %r" % error)
        sys.exit(2)
    record.line("result: %s" % (broken or "the rule held"))
    print(broken or "the rule held")
    sys.exit(1 if broken else 0)
