"""Starts a small deployment of the project's own programs on loopback addresses.

The settings come from the templates of the deploy file, filled in like the
users' platform does. Upstreams, clients and the operator are small stand-ins.
Everything that is started is ended by close().
"""
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
BIN = os.path.join(ROOT, "target", "build", "bin")
ZONES = ["zone-a", "zone-b", "zone-c"]
DRAIN_MS = 2000
CONFIG_APPLY_MS = 2000
STABILITY_WINDOW_MS = 3000
HEARTBEAT_MS = 1500
METRICS_PORT = 9464


class CannotRun(Exception):
    """The case could not be set up; nothing was shown."""


def now():
    return time.monotonic()


def wait_until(condition, seconds, what):
    end = now() + seconds
    while now() < end:
        if condition():
            return
        time.sleep(0.02)
    raise CannotRun("timed out: " + what)


# ---- Record -----------------------------------------------------------------


class Record:
    """Writes record.txt: one line for each thing sent, answered or run."""

    def __init__(self, folder):
        self.start = now()
        self.lock = threading.Lock()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def line(self, text):
        with self.lock:
            self.file.write("%8.3f s  %s\n" % (now() - self.start, text))
            self.file.flush()

    def close(self):
        self.file.close()


# ---- HTTP -------------------------------------------------------------------


class Answer:
    def __init__(self, status, headers, body, whole):
        self.status = status
        self.headers = headers  # list of (name, value)
        self.body = body
        self.whole = whole

    def header(self, name):
        for key, value in self.headers:
            if key.lower() == name.lower():
                return value
        return None


class Reader:
    """Reads HTTP/1.1 messages with a length, in chunks, or up to the end."""

    def __init__(self, connection):
        self.connection = connection
        self.buffer = b""

    def more(self):
        data = self.connection.recv(65536)
        self.buffer += data
        return bool(data)

    def line(self):
        while b"\r\n" not in self.buffer:
            if not self.more():
                return None
        line, self.buffer = self.buffer.split(b"\r\n", 1)
        return line.decode("latin-1")

    def exactly(self, count):
        while len(self.buffer) < count:
            if not self.more():
                return None
        data, self.buffer = self.buffer[:count], self.buffer[count:]
        return data

    def head(self):
        first = self.line()
        while first == "":
            first = self.line()
        if first is None:
            return None
        headers = []
        while True:
            line = self.line()
            if line is None:
                return None
            if line == "":
                return first, headers
            name, _, value = line.partition(":")
            headers.append((name.strip(), value.strip()))

    def body(self, headers, is_answer):
        fields = {name.lower(): value for name, value in headers}
        if fields.get("transfer-encoding", "").lower() == "chunked":
            parts = []
            while True:
                size = self.line()
                if size is None:
                    return None
                part = self.exactly(int(size.split(";")[0], 16) + 2)
                if part is None:
                    return None
                if len(part) == 2:
                    return b"".join(parts)
                parts.append(part[:-2])
        if "content-length" in fields:
            return self.exactly(int(fields["content-length"]))
        if not is_answer:
            return b""
        while self.more():
            pass
        data, self.buffer = self.buffer, b""
        return data


def call(address, method, path, headers=(), body=b"", timeout=2.0):
    """One request on a new connection; raises OSError without a whole answer."""
    host, port = address.rsplit(":", 1)
    with socket.create_connection((host, int(port)), timeout=timeout) as connection:
        connection.settimeout(timeout)
        lines = ["%s %s HTTP/1.1" % (method, path)]
        fields = list(headers)
        if not any(name.lower() == "host" for name, _ in fields):
            fields.insert(0, ("Host", address))
        if body or method in ("PUT", "POST"):
            fields.append(("Content-Length", str(len(body))))
        lines += ["%s: %s" % field for field in fields]
        connection.sendall("\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body)
        reader = Reader(connection)
        head = reader.head()
        if head is None:
            raise OSError("closed without an answer")
        content = reader.body(head[1], True)
        if content is None:
            raise OSError("closed within the answer")
        return Answer(int(head[0].split()[1]), head[1], content, True)


# ---- Settings ---------------------------------------------------------------


def lookup(fields, name):
    value = fields
    for part in name.split("."):
        if isinstance(value, list):
            value = value[int(part)] if int(part) < len(value) else None
        elif isinstance(value, dict):
            value = value.get(part)
        else:
            return None
    return value


def render(template, fields):
    """Fills in {{name}} like the platform: lists joined by commas."""

    def text(match):
        value = lookup(fields, match.group(1))
        if value is None:
            return ""
        if isinstance(value, bool):
            return "true" if value else "false"
        if isinstance(value, list):
            return ",".join(str(item) for item in value)
        return str(value)

    return re.sub(r"\{\{([a-z0-9_.]+)\}\}", text, template)


# ---- Upstreams --------------------------------------------------------------


class Upstream:
    """An application upstream as PROTOCOL.md describes it.

    Sends heartbeats to the control address of its own machine, runs requests
    that name it, answers 421 to those that name another one.
    """

    def __init__(self, deployment, machine, service, work_s=0.01, slots=6):
        self.deployment = deployment
        self.record = deployment.record
        self.machine = machine
        self.service = service
        self.work_s = work_s
        self.slots = slots
        self.instance = "i-%08x" % random.getrandbits(32)
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.beating = True
        self.runs = []  # (time, attempt id, caller service, method, path, length)
        self.lock = threading.Lock()
        self.open = True
        self.connections = set()
        host, port = machine.app_address.rsplit(":", 1)
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind((host, int(port)))
        self.listener.listen(128)
        threading.Thread(target=self.accept, daemon=True).start()
        threading.Thread(target=self.beat_loop, daemon=True).start()

    def report(self, **changes):
        """The next heartbeat's body."""
        with self.lock:
            self.sequence += 1
            body = {
                "service": self.service,
                "address": self.machine.app_address,
                "zone": self.machine.zone,
                "version": "v1",
                "slots": self.slots,
                "state": self.state,
                "warmup_left_ms": 0,
                "sequence": self.sequence,
                "born": self.born,
            }
        body.update(changes)
        return body

    def send_report(self, body, note=""):
        """Sends one heartbeat; returns the status, or None without an answer."""
        path = "/api/instances/" + self.instance
        data = json.dumps(body).encode()
        try:
            answer = call(self.machine.control_address, "PUT", path,
                          [("Content-Type", "application/json")], data, 1.0)
            status = answer.status
        except (OSError, ValueError):
            status = None
        if note or status != 200:
            self.record.line("upstream %s of %s: PUT %s -> %s %s"
                             % (self.instance, self.service, json.dumps(body), status, note))
        return status

    def leave(self):
        """DELETE first, without `draining`, and no further heartbeats."""
        self.beating = False
        path = "/api/instances/" + self.instance
        body = json.dumps({"born": self.born}).encode()
        answer = call(self.machine.control_address, "DELETE", path,
                      [("Content-Type", "application/json")], body, 1.0)
        self.record.line("upstream %s of %s: DELETE -> %d" % (self.instance, self.service, answer.status))
        return answer.status

    def beat_loop(self):
        while self.open:
            if self.beating:
                self.send_report(self.report())
            time.sleep(HEARTBEAT_MS / 1000)

    def accept(self):
        while self.open:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection):
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        reader = Reader(connection)
        with self.lock:
            self.connections.add(connection)
        try:
            while self.open:
                head = reader.head()
                if head is None:
                    return
                body = reader.body(head[1], False)
                if body is None:
                    return
                connection.sendall(self.handle(head[0], head[1], body))
        except (OSError, ValueError):
            pass
        finally:
            with self.lock:
                self.connections.discard(connection)
            connection.close()

    def handle(self, first, headers, body):
        method, path, _ = first.split(" ", 2)
        fields = {name.lower(): value for name, value in headers}
        attempt = fields.get("x-attempt-id", "")
        named = fields.get("x-target-instance")
        if named is not None and named != self.instance:
            self.record.line("upstream %s answers 421 to %s, which names %s" % (self.instance, attempt, named))
            return self.answer(421, attempt, b"", [("X-Not-Executed", "1")])
        caller = fields.get("x-caller-service", "")
        at = now()
        with self.lock:
            self.runs.append((at, attempt, caller, method, path, len(body)))
        self.record.line("upstream %s of %s runs %s %s %s, X-Caller-Service %s"
                         % (self.instance, self.service, attempt, method, path, caller))
        time.sleep(self.work_s)
        return self.answer(200, attempt, ("done " + attempt).encode(),
                           [("X-Response-Seal", "seal-%s-%s" % (self.instance, attempt))])

    @staticmethod
    def answer(status, attempt, body, extra):
        lines = ["HTTP/1.1 %d x" % status, "X-Attempt-Id: " + attempt,
                 "Content-Length: %d" % len(body), "Keep-Alive: timeout=10"]
        lines += ["%s: %s" % field for field in extra]
        return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body

    def close(self):
        self.open = False
        self.beating = False
        try:
            self.listener.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self.listener.close()

    def exit(self):
        """Ends like a process: requests that it runs are dropped."""
        self.record.line("upstream %s of %s exits" % (self.instance, self.service))
        self.close()
        with self.lock:
            connections = list(self.connections)
        for connection in connections:
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


# ---- Machines ---------------------------------------------------------------


class Machine:
    def __init__(self, deployment, name, kind, zone, ip, service=""):
        self.deployment = deployment
        self.name = name
        self.kind = kind  # "control" or "node"
        self.zone = zone
        self.ip = ip
        self.service = service
        self.process = None
        self.started = 0.0
        self.control_address = ip + ":8306"
        self.outbound = ip + ":8304"
        self.ready_address = ip + ":8302"
        self.app_address = ip + ":8301"
        self.data = os.path.join(deployment.work, name + ".data")
        self.bootstrap = True

    def settings(self):
        return {
            "node_id": self.name,
            "zone": self.zone,
            "ip": self.ip,
            "service": self.service,
            "bootstrap": self.bootstrap,
            "data_dir": self.data if self.kind == "control" else None,
            "internal_ports": [7620, 7635],
            "seeds": self.deployment.seeds,
            "limits": {"link_mbps": 1000.0},
            "fault_tolerance": {"machines": 1},
            "listen": {
                "control": self.control_address,
                "outbound": self.outbound,
                "ready": self.ready_address,
                "inbound": self.ip + ":8300",
            },
        }

    def start(self):
        with open(os.path.join(ROOT, "deploy", self.kind + ".ini"), encoding="utf-8") as file:
            text = render(file.read(), self.settings())
        path = os.path.join(self.deployment.work, self.name + ".ini")
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
        program = os.path.join(BIN, "wigeonfold-" + self.kind)
        log = open(os.path.join(self.deployment.work, self.name + ".log"), "ab")
        self.process = subprocess.Popen([program, "--config", path], stdout=log, stderr=log, cwd=ROOT)
        log.close()
        self.started = now()
        self.deployment.record.line("machine %s starts as process %d" % (self.name, self.process.pid))

    def send(self, number):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self):
        self.deployment.record.line("machine %s: SIGKILL" % self.name)
        self.send(signal.SIGKILL)
        self.process.wait()

    def is_ready(self):
        try:
            return call(self.ready_address, "GET", "/api/readiness", timeout=1.0).status == 200
        except (OSError, ValueError):
            return False


# ---- Deployment -------------------------------------------------------------


class Deployment:
    """Three control machines and one node for each entry of `services`."""

    def __init__(self, folder, services):
        self.record = Record(folder)
        self.work = tempfile.mkdtemp(prefix="wigeonfold-review-")
        self.upstreams = []
        self.machines = []
        self.prefix = self.free_prefix()
        self.seeds = ["%s.%d.10:8306" % (self.prefix, zone + 1) for zone in range(3)]
        self.controls = []
        self.nodes = []
        for zone in range(3):
            self.controls.append(Machine(self, "control-%d" % zone, "control", ZONES[zone],
                                         "%s.%d.10" % (self.prefix, zone + 1)))
        for i, service in enumerate(services):
            zone = i % 3
            self.nodes.append(Machine(self, "node-%d" % i, "node", ZONES[zone],
                                      "%s.%d.%d" % (self.prefix, zone + 1, 20 + i), service))
        self.machines = self.controls + self.nodes
        for program in ("wigeonfold-control", "wigeonfold-node"):
            if not os.access(os.path.join(BIN, program), os.X_OK):
                raise CannotRun("target/build/bin/%s is missing; run the build of the deploy file" % program)

    @staticmethod
    def free_prefix():
        """A loopback network 127.X.*.* on which nobody listens."""
        for _ in range(50):
            prefix = "127.%d" % random.randint(20, 250)
            try:
                for zone in range(3):
                    for port in (7620, 8306, METRICS_PORT):
                        with socket.socket() as probe:
                            probe.bind(("%s.%d.10" % (prefix, zone + 1), port))
                return prefix
            except OSError:
                continue
        raise CannotRun("no free loopback network")

    def start(self, config):
        for machine in self.machines:
            machine.start()
        for node in self.nodes:
            if node.service:
                self.upstreams.append(Upstream(self, node, node.service))
        status, _ = self.put_config(config, 20)
        if status != 200:
            raise CannotRun("the first configuration was answered %s" % status)
        wait_until(lambda: all(node.is_ready() for node in self.nodes), 20, "nodes are ready")
        time.sleep(1.5)  # endpoints spread

    def add_control(self, like):
        """A further control machine in the zone of another one, at a new address
        and with an empty disk."""
        address = like.ip.rsplit(".", 1)[0] + ".11"
        machine = Machine(self, "control-%d" % len(self.controls), "control", like.zone, address)
        machine.bootstrap = False
        self.controls.append(machine)
        self.machines.append(machine)
        return machine

    # ---- Operator ----

    def operator_call(self, method, body, address, timeout=1.0):
        """One call with its redirects, as the pages describe the operator."""
        path = "/api/config"
        for _ in range(3):
            answer = call(address, method, path, [("Content-Type", "application/json")], body, timeout)
            if answer.status != 307:
                return answer
            location = urllib.parse.urlsplit(answer.header("Location"))
            address, path = location.netloc, location.path
        return answer

    def put_config(self, config, seconds=8):
        """Sends the configuration until there is a clear answer."""
        body = json.dumps(config).encode()
        end = now() + seconds
        status = None
        while now() < end:
            for control in random.sample(self.controls, len(self.controls)):
                try:
                    answer = self.operator_call("PUT", body, control.control_address)
                    status = answer.status
                except (OSError, ValueError) as error:
                    status = "no answer (%s)" % error
                    continue
                if status in (200, 400, 409, 412, 413, 422):
                    self.record.line("operator: PUT version %s on %s -> %d"
                                     % (config["version"], config["base_version"], status))
                    return status, now()
            time.sleep(0.1)
        self.record.line("operator: PUT version %s: %s" % (config["version"], status))
        return status, now()

    def get_config(self, seconds=8):
        end = now() + seconds
        while now() < end:
            for control in random.sample(self.controls, len(self.controls)):
                try:
                    answer = self.operator_call("GET", b"", control.control_address)
                except (OSError, ValueError):
                    continue
                if answer.status == 200:
                    return json.loads(answer.body)
            time.sleep(0.1)
        raise CannotRun("the configuration could not be read")

    # ---- Clients ----

    def request(self, node, host, path, method="GET", body=b"", deadline_ms=1000, attempt=None):
        """One client attempt through the node; returns (id, answer or None)."""
        attempt = attempt or "%016x" % random.getrandbits(64)
        self.record.line("client at %s sends %s %s %s%s" % (node.name, attempt, method, host, path))
        try:
            answer = call(node.outbound, method, path,
                          [("Host", host), ("X-Attempt-Id", attempt),
                           ("X-Request-Deadline", str(deadline_ms))], body, deadline_ms / 1000 + 0.3)
            self.record.line("client gets %d for %s" % (answer.status, attempt))
            return attempt, answer
        except (OSError, ValueError) as error:
            self.record.line("client gets no answer for %s (%s)" % (attempt, error))
            return attempt, None

    def log_lines(self, machine, word):
        with open(os.path.join(self.work, machine.name + ".log"), encoding="utf-8", errors="replace") as file:
            return [line.rstrip() for line in file if word in line]

    def close(self):
        for upstream in self.upstreams:
            upstream.close()
        for machine in self.machines:
            if machine.process is not None and machine.process.poll() is None:
                machine.process.send_signal(signal.SIGCONT)
                machine.process.kill()
        for machine in self.machines:
            if machine.process is not None:
                machine.process.wait()
        self.record.close()
        if os.environ.get("KEEP"):
            print("kept: " + self.work)
        else:
            shutil.rmtree(self.work, ignore_errors=True)


# ---- Configurations ---------------------------------------------------------

LIMITS = {"max_header_bytes": 16384, "max_body_bytes": 67108864,
          "header_timeout_ms": 3000, "idle_timeout_ms": 15000}


def route(name, host, service, kind="safe", path="/", attempts=2, timeout_ms=1000):
    return {"resource_type": "routes", "metadata": {"name": name},
            "spec": {"host": host, "path_prefix": path, "route_type": kind,
                     "timeout_ms": timeout_ms, "target_latency_ms": 500, "priority": 1,
                     "service": service, "attempts": attempts}}


def service(name):
    return {"resource_type": "services", "metadata": {"name": name},
            "spec": {"health_path": "/health", "max_connections": 110, "protocol": "h1", "tls": False}}


def limits(values=None):
    return {"resource_type": "limits", "metadata": {}, "spec": values or dict(LIMITS)}


def configuration(version, base, resources):
    return {"version": "%08x" % version, "base_version": "%08x" % base, "resources": resources}


TIME_LIMIT_S = 112


def run_case(case):
    """Runs case(folder, trouble); exits with 1 if the rule was broken, 0 if it
    held, 2 if the case could not run. The case returns (broken, text)."""
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))
    trouble = os.environ.get("TROUBLE", "1") != "0"

    def stop(number, _):
        raise CannotRun("stopped by signal %d" % number)

    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGALRM):
        signal.signal(number, stop)
    signal.alarm(TIME_LIMIT_S)
    try:
        broken, text = case(folder, trouble)
    except Exception as error:  # whatever it is, nothing was shown
        print("could not run: %s: %s" % (type(error).__name__, error))
        sys.stdout.flush()
        os._exit(2)
    print(("BROKEN: " if broken else "held: ") + text)
    sys.stdout.flush()
    os._exit(1 if broken else 0)  # without waiting for threads of stand-ins
