"""Stand-ins of the cases 11 to 15: the platform's store, workers, entry hosts and callers.

They need the Python standard library only, and speak the users' published protocol on
loopback addresses.  A case builds a Deployment, submits jobs with call(), and ends with
finish(), which writes record.txt and exits with 1 if the rule was broken, 0 if it held and
2 if the case could not run.
"""
import base64
import http.client
import json
import os
import queue
import random
import re
import select
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST_NAME = "plan.example"
LEASE_MAX_MS = 10000  # holdMaxMs
STOP_S = 0.2  # of the stopGraceMs below
RECORD_BYTES, CALL_BYTES = 262144, 2097152  # recordBytes, callBytes
PAGE_RECORDS, PAGE_BYTES = 500, 1000000  # of a page of log-newest
BEAT_S = 1.5  # heartbeatMs
# Bounds of lepilo-grid, which the pages give for the small deployments.
BOUNDS = {"revokeMs": 5000, "holdMaxMs": LEASE_MAX_MS, "gangTimeoutMs": 3000, "stopGraceMs": 900,
          "visible_ms": 3000, "status_s": 120, "graceS": 6}
CONTACT_S, CANCEL_S, FINISH_S = 4.0, 3.0, 14.0  # contactMs, cancel_ms, finish_s


def now():
    return time.monotonic()


def key_of(tenant):
    return f"key-of-{tenant}"


class Record:
    """The lines of record.txt, with the time in seconds since the start."""

    def __init__(self):
        self.started_at, self.lines, self.lock = now(), [], threading.Lock()

    def note(self, text):
        with self.lock:
            self.lines.append(f"{now() - self.started_at:8.3f} {text}")


class Handler(BaseHTTPRequestHandler):
    """Passes each request to the `owner` of its server, which returns (status, type, body)."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, *_):
        pass

    def handle_one(self):
        length = int(self.headers.get("Content-Length") or 0)
        body = self.rfile.read(length)
        answer = self.server.owner.answer(self.command, self.path, self.headers, body,
                                          self.connection)
        if answer is None:  # no answer: the connection is closed
            self.close_connection = True
            try:
                self.connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
            return
        status, kind, data = answer
        self.send_response(status)
        self.send_header("Content-Type", kind)
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)

    do_GET = do_POST = do_DELETE = handle_one


class Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256

    def __init__(self, owner):
        super().__init__(("127.0.0.1", 0), Handler)
        self.owner = owner
        threading.Thread(target=self.serve_forever, kwargs={"poll_interval": 0.1},
                         daemon=True).start()

    def handle_error(self, *_):
        pass  # the other side has closed its connection


def json_answer(status, value):
    return status, "application/json", json.dumps(value).encode()


class Store:
    """The platform's store: keyed topics with one partition each."""

    def __init__(self, record):
        self.record, self.topics, self.writers = record, {}, {}
        self.changed = threading.Condition()
        self.on_append = None  # may delay or refuse an append: see answer_append()
        self.server = Server(self)
        self.port = self.server.server_address[1]

    def answer(self, method, path, _headers, body, _connection):
        url = urlsplit(path)
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        if method == "POST" and url.path == "/-/log-append":
            return self.answer_append(query, body)
        if method == "GET" and url.path == "/-/log-read":
            return self.answer_read(query)
        if method == "GET" and url.path == "/-/log-newest":
            return self.answer_newest(query)
        return json_answer(404, {})

    def answer_append(self, query, body):
        if self.on_append is not None:
            done = self.on_append(query, body)
            if done is not False:
                return done
        return self.append(query, body)

    def append(self, query, body):
        """Carries out an append; returns its answer."""
        records = self.unpack(body)
        if records is None or len(body) > CALL_BYTES:
            self.record.note(f"store: append refused, larger than recordBytes or callBytes "
                             f"({len(body)} bytes)")
            return json_answer(400, {"error": "too large"})
        with self.changed:
            topic = self.topics.setdefault(query["topic"], [])
            if "at" in query and int(query["at"]) != len(topic):
                return json_answer(412, {"end": len(topic)})
            first = {"offset": len(topic), "end": len(topic) + len(records)}
            if "producer" in query:
                epoch, sequence = int(query["epoch"]), int(query["sequence"])
                writer = self.writers.setdefault(query["producer"], {"epoch": -1, "answers": {}})
                if epoch < writer["epoch"]:
                    return json_answer(409, {"reason": "fenced"})
                if epoch == writer["epoch"] and sequence in writer["answers"]:
                    return json_answer(200, writer["answers"][sequence])
                if epoch == writer["epoch"] and sequence != writer["last"] + 1:
                    return json_answer(409, {"reason": "seq", "sequence": writer["last"] + 1})
                if epoch > writer["epoch"]:
                    writer["answers"] = {}
                writer.update(epoch=epoch, last=sequence)
                writer["answers"][sequence] = first
                writer["answers"].pop(sequence - 5, None)
            topic += records
            self.changed.notify_all()
        return json_answer(200, first)

    @staticmethod
    def unpack(body):
        """The records (key, value) of an append; None if one is too large."""
        records, position = [], 0
        while position < len(body):
            (length,) = struct.unpack_from(">I", body, position)
            content = body[position + 4:position + 4 + length]
            if length > RECORD_BYTES:
                return None
            records.append((content[1:1 + content[0]], content[1 + content[0]:]))
            position += 4 + length
        return records

    def put(self, topic, key, value):
        """Writes as the operator or a worker does."""
        with self.changed:
            self.topics.setdefault(topic, []).append((key.encode(), value))
            self.changed.notify_all()

    def answer_read(self, query):
        start, until = int(query["from"]), now() + int(query.get("waitMs", 0)) / 1000
        most = int(query.get("maxKb", 1024)) * 1024
        with self.changed:
            topic = self.topics.setdefault(query["topic"], [])
            while start >= len(topic) and now() < until:
                self.changed.wait(until - now())
            parts, size = [struct.pack(">QQ", len(topic), 0)], 0
            for key, value in topic[start:]:
                content = bytes([len(key)]) + key + value
                if size > 0 and size + len(content) + 4 > most:
                    break
                size += len(content) + 4
                parts.append(struct.pack(">I", len(content)) + content)
        return 200, "application/octet-stream", b"".join(parts)

    def answer_newest(self, query):
        with self.changed:
            topic = self.topics.setdefault(query["topic"], [])
            newest = {key: (offset, value) for offset, (key, value) in enumerate(topic)}
            end = len(topic)
        after = query.get("after", "").encode()
        keys = sorted(key for key, (_, value) in newest.items() if value and key > after)
        items, size = [], 0
        for key in keys[:PAGE_RECORDS]:
            if items and size + len(newest[key][1]) > PAGE_BYTES:
                break
            size += len(newest[key][1])
            items.append({"key": key.decode(), "offset": newest[key][0],
                          "value": base64.b64encode(newest[key][1]).decode()})
        return json_answer(200, {"items": items, "hasMore": len(items) < len(keys), "end": end})


class Worker:
    """A sound worker; `run_s` tells how long a task of a job runs."""

    capacity = {"cpu": 64000, "memMb": 256000, "gpu": 8}

    def __init__(self, deployment, index):
        self.deployment, self.id = deployment, f"w-{index}"
        self.index, self.lock = index, threading.Condition()
        self.born, self.clock_start = int(time.time() * 1000), now()
        self.fence, self.deadline_ms, self.position = 0, 0, 0
        self.runs, self.ended, self.closed = {}, [], {}
        self.server = Server(self)
        self.port = self.server.server_address[1]
        threading.Thread(target=self.beat, daemon=True).start()
        threading.Thread(target=self.watch, daemon=True).start()

    def clock_ms(self):
        return int((now() - self.clock_start) * 1000) + 1000

    def beat(self):
        sequence = 0
        while not self.deployment.over:
            sequence += 1
            entry = {"service": "planner", "address": f"127.0.0.1:{self.port}", "zone": "dc-0",
                     "version": "1", "slots": 8, "state": "ready", "coldRemainingMs": 0,
                     "sequence": sequence, "capacity": self.capacity,
                     "labels": ["a", f"r{self.index // 4}"], "orders": "call", "born": self.born,
                     "clockMs": self.clock_ms()}
            self.deployment.store.put("keyed.servers", self.id, json.dumps(entry).encode())
            time.sleep(BEAT_S if sequence > 1 else BEAT_S / 2)

    def watch(self):
        while not self.deployment.over:
            time.sleep(0.02)
            with self.lock:
                lapsed = self.clock_ms() >= self.deadline_ms
                for task, run in list(self.runs.items()):
                    if lapsed:
                        self.end(task, "lapsed")
                    elif now() >= run["ends_at"]:
                        self.end(task, run["how"])

    def end(self, task, how):
        run = self.runs.pop(task)
        self.closed[task] = max(self.closed.get(task, 0), run["run"])
        self.position += 1
        self.ended.append([self.position, task, run["run"], how, ""])
        self.deployment.record.note(f"{self.id}: end {task} run {run['run']} {how}")
        self.deployment.ends.append((now(), task, run["run"], how))
        self.lock.notify_all()

    def answer(self, _method, path, headers, body, _connection):
        target = headers.get("X-Mustardspread-Target-Instance")
        if target not in (None, self.id):
            return json_answer(421, {})
        order = json.loads(body)
        with self.lock:
            if order.get("fencingToken", 0) < self.fence:
                return json_answer(409, {"clockMs": self.clock_ms(), "reason": "fence"})
            self.fence = order.get("fencingToken", 0)
            reason = {"/-/run-start": self.start, "/-/run-stop": self.stop,
                      "/-/hold": self.hold}[path](order)
            if path == "/-/hold":
                return self.lists(order)
            answer = {"clockMs": self.clock_ms(), "born": self.born}
            if reason is not None:
                return json_answer(409, dict(answer, reason=reason))
            return json_answer(200, answer)

    def extend(self, order):
        deadline = min(order.get("deadlineMs", 0), self.clock_ms() + LEASE_MAX_MS)
        self.deadline_ms = max(self.deadline_ms, deadline)

    def start(self, order):
        task, run = order["task"], order["run"]
        if task in self.runs and self.runs[task]["run"] == run:
            self.extend(order)
            return None
        if run <= self.closed.get(task, 0) or task in self.runs:
            self.extend(order)
            return "old"
        if order["deadlineMs"] <= self.clock_ms():
            return "late"
        if self.deployment.advice is not None and not self.deployment.advice.allows(order, self.id):
            return "ticket"
        self.extend(order)
        self.runs[task] = {"run": run, "how": "done", "began_at": now(),
                           "ends_at": now() + self.deployment.run_s(task)}
        self.deployment.note_start(self, task, run)
        return None

    def stop(self, order):
        task, run = order["task"], order["run"]
        self.closed[task] = max(self.closed.get(task, 0), run)
        if task in self.runs and self.runs[task]["run"] <= run:
            self.runs[task].update(how="stopped", ends_at=now() + STOP_S)

    def hold(self, order):
        self.extend(order)
        self.ended = [row for row in self.ended if row[0] > order.get("ackPosition", 0)]

    def lists(self, order):
        until = now() + order.get("waitMs", 0) / 1000
        while not self.ended and now() < until:
            self.lock.wait(until - now())
        rows = []
        for task, run in self.runs.items():
            share = (now() - run["began_at"]) / max(run["ends_at"] - run["began_at"], 0.001)
            rows.append([task, run["run"], "", min(int(100 * share), 99)])
        return json_answer(200, {"clockMs": self.clock_ms(), "born": self.born, "running": rows,
                                 "ended": self.ended[:500]})


def is_closed(connection):
    """Whether the other side has closed CONNECTION, on which it has nothing else to send."""
    try:
        ready, _, _ = select.select([connection], [], [], 0)
        return bool(ready) and connection.recv(1, socket.MSG_PEEK) == b""
    except (OSError, ValueError):
        return True


class Advice:
    """The advice service: handles one call at a time, in turn; 429 when 32 are waiting.

    A call whose connection was closed before its turn is left out.
    All calls of a case come from one host, the leader, so that there is one line of calls.
    Every second worker may run a step.
    """

    waiting_max = 32

    def __init__(self, deployment, decide_ms, each_ms, valid_ms):
        self.deployment, self.decide_ms, self.each_ms = deployment, decide_ms, each_ms
        self.valid_ms, self.calls, self.tickets = valid_ms, queue.Queue(), {}
        self.server = Server(self)
        self.port = self.server.server_address[1]
        threading.Thread(target=self.serve, daemon=True).start()

    def times(self):
        return {"decideMs": self.decide_ms, "eachMs": self.each_ms, "validMs": self.valid_ms}

    def answer(self, _method, _path, _headers, body, connection):
        question = json.loads(body)
        if self.calls.qsize() >= self.waiting_max:
            self.deployment.record.note(f"advice: {question['step']} -> 429")
            return json_answer(429, {})
        call = {"question": question, "done": threading.Event(), "arrived": now(),
                "connection": connection, "good": []}
        self.calls.put(call)
        call["done"].wait()
        return json_answer(200, {"good": call["good"], "validMs": self.valid_ms})

    def serve(self):
        while not self.deployment.over:
            call = self.calls.get()
            if is_closed(call["connection"]):
                call["done"].set()
                continue
            step, workers = call["question"]["step"], call["question"]["workers"]
            time.sleep((self.decide_ms + self.each_ms * len(workers)) / 1000)
            call["good"] = [[worker, f"t-{step}-{worker}"] for worker in workers
                            if int(worker.split("-")[1]) % 2 == 0]
            for worker, ticket in call["good"]:
                self.tickets[(step, worker, ticket)] = now() + self.valid_ms / 1000
            late = ", its caller has left" if is_closed(call["connection"]) else ""
            self.deployment.record.note(
                f"advice: {step} about {len(workers)} workers, answered "
                f"{now() - call['arrived']:.1f} s after its arrival{late}; {self.calls.qsize()} wait")
            call["done"].set()

    def allows(self, order, worker):
        step = order["task"].rsplit(".", 1)[0]
        return self.tickets.get((step, worker, order.get("ticket")), 0) > now()


def reserve_port():
    """A socket that reserves a free port until it is closed; it never listens.

    It allows reuse only after it is bound, so that a host can listen there and nobody else binds.
    """
    while True:
        reservation = socket.socket()
        try:
            reservation.bind(("127.0.0.1", random.SystemRandom().randrange(10000, 32768)))
        except OSError:
            reservation.close()
            continue
        reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        return reservation


class EntryHost:
    """A process with the command and the settings template of the deploy file."""

    def __init__(self, deployment, index):
        self.deployment, self.name = deployment, f"edge-dc-0-{index}"
        self.reservations = [reserve_port() for _ in range(3)]
        self.ports = [socket_.getsockname()[1] for socket_ in self.reservations]
        self.settings = os.path.join(deployment.directory, f"{self.name}.toml")
        self.log = os.path.join(deployment.directory, f"{self.name}.log")
        self.process = None

    def fields(self):
        front, ready, internal = self.ports
        return {"node": self.name, "zone": "dc-0", "region": "here", "ip": "127.0.0.1",
                "listenAddrs": {"front": f"127.0.0.1:{front}", "ready": f"127.0.0.1:{ready}"},
                "internalPorts": [internal, internal], "bounds": BOUNDS, "advice": self.deployment.advice_address(),
                "platform": {"address": f"127.0.0.1:{self.deployment.store.port}"},
                "limits": {"cpuShare": 0.25, "maxFds": 4100}}

    def render(self):
        """Fills in deploy/settings.toml.in as the platform does."""
        def value(match):
            item = self.fields()
            for part in match.group(1).split("."):
                item = item[int(part)] if isinstance(item, list) else item[part]
            return str(item)
        with open(os.path.join(ROOT, "deploy", "settings.toml.in"), encoding="utf-8") as file:
            return re.sub(r"\{\{([^}]*)\}\}", value, file.read())

    def start(self):
        with open(os.path.join(ROOT, "deploy", "system.toml"), encoding="utf-8") as file:
            command = re.search(r'^run = "([^"]*)"', file.read(), re.M).group(1).split()
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(self.render())
        environment = {"MUSTARDSPREAD_NODE_FILE": self.settings, "HOME": self.deployment.directory,
                       "PATH": os.environ.get("PATH", "/usr/bin:/bin"), "LANG": "C.UTF-8"}
        with self.deployment.processes, open(self.log, "ab") as log:
            if self.deployment.over:
                return
            self.process = subprocess.Popen(command, cwd=ROOT, env=environment, stdout=log,
                                            stderr=log, stdin=subprocess.DEVNULL)
        self.deployment.record.note(f"{self.name}: started")

    def signal(self, number):
        self.deployment.record.note(f"{self.name}: signal {signal.Signals(number).name}")
        self.process.send_signal(number)

    def log_has(self, text):
        with open(self.log, encoding="utf-8", errors="replace") as file:
            return text in file.read()

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process is not None:
            self.process.wait()


class Deployment:
    """A small deployment: a store, workers, and entry hosts of one zone.

    `queues` maps the name of each queue to its priority; those in `public` need no key.
    `guaranteed` maps the name of each tenant to its guaranteed `gpu`; the keys of a tenant are
    key_of(name) for the names in `keys[tenant]`, its own one unless changed.
    """

    def __init__(self, hosts, workers, advice=None, queues=None, guaranteed=None, public=()):
        self.public = public
        self.processes = threading.Lock()  # held while a host is started, or all are ended
        self.queues = queues or {"q0": 1}
        self.guaranteed = guaranteed or {"tenant-1": 4}
        self.keys = {name: [name] for name in self.guaranteed}
        self.record, self.over, self.advice = Record(), False, None
        self.directory = tempfile.mkdtemp(prefix="review-")
        self.starts, self.ends, self.runs_s = [], [], {}
        self.store = Store(self.record)
        if advice is not None:
            self.advice = Advice(self, *advice)
        self.publish_config(1)
        self.hosts = [EntryHost(self, index + 1) for index in range(hosts)]
        self.workers = [Worker(self, index) for index in range(workers)]

    def publish_config(self, version):
        routes = [{"name": name, "hostname": HOST_NAME, "pathPrefix": f"/{name}/",
                   "service": "planner", "priority": priority, "maxAttempts": 3, "stretch": 3.0,
                   "targetLatencyMs": 1500} for name, priority in self.queues.items()]
        for route in routes:
            if self.advice is not None:
                route["advice"] = self.advice.times()
            if route["name"] in self.public:
                route["public"] = True
        config = {"version": version, "routes": routes, "services": [{"name": "planner"}],
                  "limits": {}, "tenants": [
                      {"name": name, "apiKeys": [key_of(key) for key in self.keys[name]],
                       "guaranteed": {"gpu": gpu}}
                      for name, gpu in self.guaranteed.items()]}
        self.store.put("keyed.op", "config", json.dumps(config).encode())

    def advice_address(self):
        return f"127.0.0.1:{self.advice.port}" if self.advice is not None else ""

    def run_s(self, task):
        return self.runs_s.get(task.split(".")[0], 0.5)

    def note_start(self, worker, task, run):
        self.record.note(f"{worker.id}: start {task} run {run}")
        self.starts.append((now(), task, run, worker.id))

    def starts_of(self, job):
        return [start for start in self.starts if start[1].split(".")[0] == job]

    def start(self):
        """Starts the hosts; waits until one leads and all of them are ready for callers."""
        for host in self.hosts:
            host.start()
        self.wait(lambda: self.leader() is not None, 20, "a leader")
        names = {"queue_name": next(iter(self.queues)), "tenant": next(iter(self.guaranteed))}
        for host in self.hosts:
            self.wait(lambda host=host: self.call(host, "GET", "", **names)[0] == 200, 20,
                      "ready hosts")
        time.sleep(2.5)  # hosts learn of each other, the leader of the workers

    def leader(self):
        for host in self.hosts:
            if host.process.poll() is None and host.log_has("state=placing"):
                return host
        return None

    def wait(self, condition, seconds, what):
        until = now() + seconds
        while not condition():
            if now() > until:
                self.finish(2, f"could not run: waited {seconds} s for {what}")
            time.sleep(0.05)

    def call(self, host, method, job, spec=None, timeout_s=3.0, queue_name="q0",
             tenant="tenant-1"):
        """One call of a caller with key_of(TENANT); returns status and body.

        The status is 0 if there was no answer.
        """
        connection = http.client.HTTPConnection("127.0.0.1", host.ports[0], timeout=timeout_s)
        body = json.dumps(spec) if spec is not None else None
        headers = {"Host": HOST_NAME, "Content-Type": "application/json",
                   "X-Mustardspread-Deadline-Ms": str(int(timeout_s * 1000)),
                   "Authorization": f"Bearer {key_of(tenant)}"}
        began = now()
        try:
            connection.request(method, f"/{queue_name}/{job}", body=body, headers=headers)
            response = connection.getresponse()
            status, text = response.status, response.read().decode()
        except (OSError, http.client.HTTPException) as error:
            status, text = 0, type(error).__name__
        finally:
            connection.close()
        if job:
            self.record.note(f"caller: {method} /{queue_name}/{job} at {host.name} -> {status} {text[:80]} "
                             f"({int((now() - began) * 1000)} ms)")
        return status, text

    def finish(self, code, verdict):
        """Ends all processes, writes record.txt and exits with CODE."""
        self.record.note(f"verdict: {verdict}")
        with self.processes:
            self.over = True
            for host in self.hosts:
                host.end()
        path = os.path.join(os.getcwd(), "record.txt")
        with open(path, "w", encoding="utf-8") as file:
            file.write(f"TROUBLE={int(TROUBLE)}\n" + "\n".join(self.record.lines) + "\n")
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.directory, keep, dirs_exist_ok=True)
        shutil.rmtree(self.directory, ignore_errors=True)
        print(verdict)
        sys.stdout.flush()
        os._exit(code)


def main(case):
    """Runs CASE; an unexpected error or a SIGTERM means that it could not run."""
    deployment = []

    def on_signal(number, _frame):
        raise SystemExit(f"signal {number}")

    signal.signal(signal.SIGTERM, on_signal)
    try:
        case(deployment)
    except BaseException as error:  # pylint: disable=broad-except
        if deployment:
            deployment[0].finish(2, f"could not run: {error!r}")
        print(f"could not run: {error!r}")
        sys.exit(2)
