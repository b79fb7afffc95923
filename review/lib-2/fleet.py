"""A small deployment of the project's own programs on loopback addresses.

Renders the templates of deploy/ and starts the commands of deploy/system.toml,
each process on a loopback address of its own. Stand-ins for the platform, the
operator, the upstreams and the clients follow the users' pages.
"""

import http.client
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
import tomllib
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
ZONES = ["zone-a", "zone-b", "zone-c"]
CONTROL_PORT = 8306  # operators' API, reports of upstreams
OUTBOUND_PORT = 8304
READY_PORT = 8302
APP_PORT = 8301
PEER_PORT = 7620
NODE_PORT = 7635
METRICS_PORT = 9464
RESTART_DELAY_S = 0.3
GRACE_S = 6.0
EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2


class NotRun(Exception):
    """The case could not be run."""


class Record:
    """Lines with the time since the start, in record.txt and on stdout."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8", errors="backslashreplace")
        self.start = time.monotonic()
        self.lock = threading.Lock()

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, text):
        with self.lock:
            line = f"{self.now():8.3f} {text}"
            self.file.write(line + "\n")
            self.file.flush()


def free_network():
    """A prefix 127.A.B of loopback addresses whose ports can be bound."""
    for _ in range(100):
        prefix = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        try:
            for host in (11, 12, 13, 14, 21, 22, 23):
                for port in (CONTROL_PORT, OUTBOUND_PORT, READY_PORT, APP_PORT,
                             PEER_PORT, NODE_PORT, METRICS_PORT):
                    with socket.socket() as probe:
                        probe.setsockopt(socket.SOL_SOCKET,
                                         socket.SO_REUSEADDR, 1)
                        probe.bind((f"{prefix}.{host}", port))
            return prefix
        except OSError:
            continue
    raise NotRun("no free loopback network")


def render(template, fields):
    def value(match):
        found = fields
        for part in match.group(1).split("."):
            found = found[int(part)] if isinstance(found, list) else found[part]
        if isinstance(found, bool):
            return "true" if found else "false"
        if isinstance(found, list):
            return ",".join(str(one) for one in found)
        return "" if found is None else str(found)

    return re.sub(r"\{\{([a-z_.0-9]+)\}\}", value, template)


class Vm:
    """One machine with one process of the system. Restarts it when it ends."""

    def __init__(self, fleet, role, name, ip, zone, service=None):
        self.fleet, self.role, self.name, self.ip = fleet, role, name, ip
        self.zone, self.service = zone, service
        self.process = None
        self.keep_running = False
        self.expected_end = False
        # Times at which the process ended by itself, or used too much memory.
        self.own_ends = []
        self.memory_limit_mb = None
        self.most_memory_mb = 0.0
        self.bootstrap = True
        self.data = os.path.join(fleet.folder, name + ".data")
        self.settings = os.path.join(fleet.folder, name + ".ini")
        self.log_path = os.path.join(fleet.folder, name + ".log")

    def fields(self):
        control = self.role == "control"
        return {
            "node_id": self.name,
            "zone": self.zone,
            "ip": self.ip,
            "data_dir": self.data if control else None,
            "bootstrap": self.bootstrap,
            "service": self.service,
            "seeds": self.fleet.seeds,
            "internal_ports": [PEER_PORT, NODE_PORT],
            "fault_tolerance": {"machines": 1, "zones": 1, "regions": 0},
            "limits": {"link_mbps": 1000.0},
            "listen": {
                "control": f"{self.ip}:{CONTROL_PORT}",
                "outbound": f"{self.ip}:{OUTBOUND_PORT}",
                "ready": f"{self.ip}:{READY_PORT}",
            },
        }

    def start(self):
        role = self.fleet.deploy["roles"][self.role]
        with open(os.path.join(ROOT, role["template"]), encoding="utf-8") as f:
            text = render(f.read(), self.fields())
        with open(self.settings, "w", encoding="utf-8") as f:
            f.write(text)
        words = role["run"].replace("/etc/wigeonfold/node.yaml",
                                    self.settings).split(" ")
        log = open(self.log_path, "ab")
        env = {"PATH": os.environ.get("PATH", ""), "HOME": self.fleet.folder,
               "LANG": "C.UTF-8"}
        self.expected_end = False
        self.keep_running = True
        self.process = subprocess.Popen(words, cwd=ROOT, env=env, stdout=log,
                                        stderr=log)
        log.close()
        self.fleet.record(f"start {self.name} pid={self.process.pid}")

    def check_memory(self):
        """The platform kills a process that uses more than memory_mb. Pages of
        program files are not counted."""
        if self.memory_limit_mb is None or self.process is None:
            return
        try:
            used_mb = int(self.memory("RssAnon").split()[1]) / 1024
        except (OSError, StopIteration):
            return  # it has just ended
        self.most_memory_mb = max(self.most_memory_mb, used_mb)
        if used_mb > self.memory_limit_mb:
            self.fleet.record(f"{self.name} uses {used_mb:.0f} MiB of"
                              f" {self.memory_limit_mb}: killed by the platform")
            os.kill(self.process.pid, signal.SIGKILL)
            self.process.wait()

    def check(self):
        """Notes an end of the process and starts it again."""
        if self.process is None or self.process.poll() is None:
            return
        status = self.process.returncode
        self.process = None
        if not self.expected_end:
            self.own_ends.append(self.fleet.record.now())
            self.fleet.record(f"END {self.name} ended by itself,"
                              f" status {status}")
        else:
            self.fleet.record(f"end {self.name} status {status}")
        if self.keep_running:
            time.sleep(RESTART_DELAY_S)
            self.bootstrap = False
            self.start()

    def memory(self, field="VmHWM"):
        with open(f"/proc/{self.process.pid}/status", encoding="ascii") as file:
            return next(" ".join(line.split()) for line in file
                        if line.startswith(field))

    def disk_mb(self):
        return sum(entry.stat().st_size for entry in os.scandir(self.data)) / 1e6

    def last_words(self):
        """The uncaught exceptions that the processes reported."""
        with open(self.log_path, encoding="utf-8", errors="replace") as log:
            return {line.strip() for line in log if "what():" in line}

    def lose_disk(self, down_s):
        """The process is killed, its data folder is gone, and it starts again
        at its address after down_s."""
        self.send(signal.SIGKILL)
        while self.process is not None:
            time.sleep(0.01)  # until the watcher has noted the end
        shutil.rmtree(self.data)
        self.fleet.record(f"{self.name} has lost its disk")
        time.sleep(down_s)
        self.bootstrap = False
        self.start()

    def send(self, number, restart=False):
        if self.process is not None and self.process.poll() is None:
            if number in (signal.SIGKILL, signal.SIGTERM):
                self.expected_end = True
                self.keep_running = restart
            self.fleet.record(f"signal {signal.Signals(number).name}"
                              f" to {self.name}")
            os.kill(self.process.pid, number)


class Fleet:
    def __init__(self, folder, record, services, nodes_per_service=1):
        self.folder, self.record = folder, record
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as f:
            self.deploy = tomllib.load(f)
        for role in self.deploy["roles"].values():
            program = os.path.join(ROOT, role["run"].split(" ")[0])
            if not os.access(program, os.X_OK):
                raise NotRun(f"{program} is missing; run the deploy build")
        prefix = free_network()
        self.controls = [Vm(self, "control", f"core-{zone}-1",
                            f"{prefix}.{11 + i}", zone)
                         for i, zone in enumerate(ZONES)]
        self.seeds = [f"{vm.ip}:{CONTROL_PORT}" for vm in self.controls]
        self.nodes = []
        for service in services:
            for i in range(nodes_per_service):
                number = len(self.nodes)
                self.nodes.append(
                    Vm(self, "node", f"sidecar-{number + 1}",
                       f"{prefix}.{21 + number}", ZONES[number % 3], service))
        self.vms = self.controls + self.nodes
        self.stopped = threading.Event()
        self.watcher = threading.Thread(target=self.watch, daemon=True)

    def start(self):
        for vm in self.vms:
            vm.start()
        self.watcher.start()

    def add_control(self, zone):
        """Starts one more core machine: at a new address, with an empty disk."""
        prefix = self.controls[0].ip.rsplit(".", 1)[0]
        vm = Vm(self, "control", f"core-{zone}-2",
                f"{prefix}.{11 + len(self.controls)}", zone)
        vm.bootstrap = False
        vm.start()
        self.controls.append(vm)
        self.vms.append(vm)
        return vm

    def watch(self):
        while not self.stopped.wait(0.02):
            for vm in self.vms:
                vm.check_memory()
                vm.check()

    def stop(self):
        self.stopped.set()
        if self.watcher.is_alive():
            self.watcher.join()
        for vm in self.vms:
            if vm.process is not None and vm.process.poll() is None:
                for number in (signal.SIGCONT, signal.SIGKILL):
                    os.kill(vm.process.pid, number)
                vm.process.wait()

    def wait_ready(self, limit_s=30):
        """Until each node answers 200 at its ready address."""
        waiting = list(self.nodes)
        end = time.monotonic() + limit_s
        while waiting and time.monotonic() < end:
            waiting = [vm for vm in waiting
                       if call(vm.ip, READY_PORT, "GET",
                               "/api/readiness")[0] != 200]
            time.sleep(0.1)
        if waiting:
            raise NotRun("not ready: " + ", ".join(vm.name for vm in waiting))


def call(host, port, method, path, body=None, headers=None, timeout=1.0):
    """Status, body and headers of one call on a new connection; status None
    when there is no complete answer."""
    connection = http.client.HTTPConnection(host, port, timeout=timeout)
    try:
        connection.request(method, path, body=body, headers=headers or {})
        answer = connection.getresponse()
        return answer.status, answer.read(), dict(answer.getheaders())
    except (OSError, http.client.HTTPException) as error:
        return None, str(error).encode(), {}
    finally:
        connection.close()


class Operator:
    """Sends configurations as the page on the protocol describes it: picks a
    node, follows a 307 twice, moves on with increasing backoff after a failure,
    a 5xx, 408, 429 or a second without a response, and sends the same order
    again until it gets a clear answer."""

    FINAL = (400, 409, 412, 413, 422)

    def __init__(self, fleet, record, patience_s=1.0):
        self.fleet, self.record = fleet, record
        self.patience_s = patience_s  # the wait for a response
        self.acknowledged_by = None  # IP address
        self.last_address = None

    def addresses(self):
        order = [f"{vm.ip}:{CONTROL_PORT}" for vm in self.fleet.controls]
        random.shuffle(order)
        return order

    def attempt(self, method, body, address):
        host, port = address.split(":")
        path = "/api/config"
        for _ in range(3):
            status, answer, headers = call(
                host, int(port), method, path, body,
                {"Content-Type": "application/json"}, self.patience_s)
            if status != 307:
                return status, answer, host
            place = urllib.parse.urlsplit(headers.get("Location", ""))
            host, port, path = place.hostname, place.port, place.path
        return status, answer, host

    def put(self, document, limit_s, note, quiet=False):
        """The clear answer, or None when there was none in the time. Asks the
        node that acknowledged the last order first."""
        body = (document if isinstance(document, bytes) else
                json.dumps(document, ensure_ascii=False).encode())
        order = self.addresses()
        if self.acknowledged_by is not None:
            first = f"{self.acknowledged_by}:{CONTROL_PORT}"
            order = [first] + [one for one in order if one != first]
        backoff = 0.1
        end = time.monotonic() + limit_s
        turn = 0
        while time.monotonic() < end:
            address = order[turn % len(order)]
            turn += 1
            status, answer, host = self.attempt("PUT", body, address)
            if not (quiet and status == 200):
                self.record(f"operator PUT {note} to {address}, answered by"
                            f" {host}: {status} {answer[:160]!r}")
            if status == 200:
                self.acknowledged_by = host
            if status is not None and (200 <= status < 300
                                       or status in self.FINAL):
                return status
            time.sleep(min(backoff, max(0.0, end - time.monotonic())))
            backoff = min(backoff * 2, 1.0)
        return None

    def read(self, limit_s):
        """The configuration in force, or None."""
        order = self.addresses()
        end = time.monotonic() + limit_s
        turn = 0
        last = {}
        while time.monotonic() < end:
            address = order[turn % len(order)]
            status, answer, host = self.attempt("GET", None, address)
            turn += 1
            if status == 200:
                document = json.loads(answer)
                self.record(f"operator GET to {address}, answered by {host}:"
                            f" 200, version {document['version']}")
                return document
            said = f"{status} {answer[:120]!r}"
            if said not in last.setdefault(address, set()):  # else left out
                last[address].add(said)
                self.record(f"operator GET to {address}, answered by {host}:"
                            f" {said}")
            time.sleep(0.1)
        return None


def route(name, host, prefix, kind, service, timeout_ms=1500, attempts=2):
    return {"resource_type": "routes", "metadata": {"name": name},
            "spec": {"host": host, "path_prefix": prefix, "route_type": kind,
                     "timeout_ms": timeout_ms, "target_latency_ms": 400,
                     "priority": 1, "service": service, "attempts": attempts}}


def configuration(version, base, routes, services):
    resources = list(routes)
    for service in services:
        resources.append({"resource_type": "services",
                          "metadata": {"name": service},
                          "spec": {"health_path": "/health",
                                   "max_connections": 110, "protocol": "h1",
                                   "tls": False}})
    resources.append({"resource_type": "limits", "metadata": {},
                      "spec": {"max_header_bytes": 16384,
                               "max_body_bytes": 67108864,
                               "header_timeout_ms": 3000,
                               "idle_timeout_ms": 15000}})
    return {"version": f"{version:08x}", "base_version": f"{base:08x}",
            "resources": resources}


def main(case_folder, body, trouble):
    """Runs body(folder, record, trouble) and exits with its verdict."""
    def time_is_up(*_):
        raise NotRun("the time is up")

    signal.signal(signal.SIGTERM, time_is_up)  # of timeout in run.sh
    record = Record(os.path.join(case_folder, "record.txt"))
    record("with the disruption" if trouble else "without the disruption")
    folder = tempfile.mkdtemp(prefix="wigeonfold-review-")
    verdict = EXIT_NOT_RUN
    try:
        verdict = body(folder, record, trouble)
    except NotRun as error:
        record(f"the case could not run: {error}")
    finally:
        record(f"exit {verdict}")
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(folder, ignore_errors=True)
        else:
            print(folder)
    print({0: "held", 1: "broken", 2: "not run"}[verdict])
    sys.exit(verdict)
