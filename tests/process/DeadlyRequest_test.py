#!/usr/bin/env python3
"""Guards against a request that ends one target after another.

Usage: tests/process/DeadlyRequest_test.py [--build DIR] [--port FIRST]

Runs control VMs and nodes as real processes; the targets are stand-ins of this
file. A target ends without notice when it has worked on a deadly request for a
moment, and is back RESTART_SECONDS later. The caller of the deadly request gets
no answer and returns, with the same path and body, at another node. Other
callers use the same route with other bodies. In some cases nodes and control
VMs are killed and started again meanwhile, or targets end for other reasons
while all requests are alike. Exit status 1 if a check fails, 2 if the run
itself failed.
"""
import argparse
import http.client
import os
import random
import shutil
import socket
import socketserver
import sys
import tempfile
import threading
import time
import uuid

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "..", "scripts"))

from fleet import Fleet, get_json, split_address, wait_until  # noqa: E402

TARGETS = 8
CALLING_NODES = 4
SERVICES = ["lots"] * TARGETS + ["offices"] * CALLING_NODES
RESTART_SECONDS = 3.0
RETURN_SECONDS = 0.3  # the caller of the deadly request returns after this time
RUN_SECONDS = 14.0
# Nodes in touch with control VMs act on what others know after this time.
STABILITY_SECONDS = 3.0
ENDS_ALLOWED = 3
LATE_ARRIVALS_ALLOWED = 3
PORTS_PER_CASE = 100
CALM_SECONDS = 4.0  # without further trouble, at the end of a run
MIN_SERVED = 0.95  # of the other requests, once the ended targets are back
DEADLY = b"deadly"


class Target:
    """One target: announces itself each second and ends under a deadly request."""

    def __init__(self, fleet, i, record):
        self.fleet = fleet
        self.i = i
        self.record = record
        self.server = None
        self.start()

    def start(self):
        if self.fleet.stopped:
            return
        self.instance = str(uuid.uuid4())
        self.server = Server(split_address(self.fleet.vm_address(self.i, "target")), self)
        threading.Thread(target=self.server.serve_forever, daemon=True).start()
        instance = self.instance
        threading.Thread(target=self.fleet.keep_announcing,
                         args=(self.i, instance, lambda: self.instance == instance), daemon=True).start()

    def end(self):
        if self.instance is None:
            return
        self.instance = None
        self.record.note_end()
        self.server.end()
        timer = threading.Timer(RESTART_SECONDS, self.start)
        timer.daemon = True
        timer.start()


class Server(socketserver.ThreadingTCPServer):
    allow_reuse_address = True
    daemon_threads = True
    request_queue_size = 64

    def __init__(self, address, target):
        self.target = target
        self.connections = set()
        super().__init__(address, Handler)

    def end(self):
        """Ends like a process: all its sockets close at once."""
        self.socket.close()
        threading.Thread(target=self.shutdown, daemon=True).start()
        for connection in list(self.connections):
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def handle_error(self, request, client_address):
        pass  # a connection that ends within a request


class Handler(socketserver.StreamRequestHandler):
    disable_nagle_algorithm = True

    def handle(self):
        self.server.connections.add(self.connection)
        try:
            while self.serve_one():
                pass
        except OSError:
            pass
        finally:
            self.server.connections.discard(self.connection)

    def serve_one(self):
        if not self.rfile.readline():
            return False
        length = 0
        while True:
            line = self.rfile.readline().strip().lower()
            if not line:
                break
            if line.startswith(b"content-length:"):
                length = int(line.split(b":")[1])
        body = self.rfile.read(length)
        record = self.server.target.record
        if body.startswith(DEADLY):
            record.note_arrival(body)
            time.sleep(record.seconds_to_end)
            self.server.target.end()
            return False
        time.sleep(0.01)
        self.wfile.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
        return True


class Record:
    """What the targets saw."""

    def __init__(self, seconds_to_end):
        self.seconds_to_end = seconds_to_end
        self.lock = threading.Lock()
        self.arrivals = {}  # times by body
        self.ends = []

    def note_arrival(self, body):
        with self.lock:
            self.arrivals.setdefault(body, []).append(time.monotonic())

    def note_end(self):
        with self.lock:
            self.ends.append(time.monotonic())

    def late_arrivals(self, body):
        """Arrivals later than STABILITY_SECONDS after the one that ended the third target."""
        times = self.arrivals.get(body, [])
        if len(times) < ENDS_ALLOWED:
            return 0
        bound = times[ENDS_ALLOWED - 1] + STABILITY_SECONDS
        return sum(one > bound for one in times)


def call(fleet, node, method, body, seconds=2.0):
    """Returns the status, or None without an answer."""
    connection = http.client.HTTPConnection(fleet.vm_address(node, "caller"), timeout=seconds + 1)
    try:
        connection.request(method, "/lots/reserve", body, {"Wigeonfold-Deadline-Ms": str(int(seconds * 1000))})
        response = connection.getresponse()
        response.read()
        return response.status
    except (OSError, http.client.HTTPException):
        return None
    finally:
        connection.close()


def start_fleet(fleet, record):
    fleet.start_controls()
    for i in range(len(SERVICES)):
        fleet.start_node(i)
    targets = [Target(fleet, i, record) for i in range(TARGETS)]
    draft = fleet.path("draft.json")
    fleet.client("branch", "set", "services/lots", "route.prefix", "/lots", "--draft", draft)
    if fleet.client("accept", "--wait", "--draft", draft).returncode != 0:
        raise RuntimeError("the first change was not accepted")
    wait_until(20, lambda: all(get_json(fleet.vm_address(i, "local"), "/status")["endpoints"] == TARGETS
                               for i in range(len(SERVICES))), "not every node knew all targets within 20 s")
    return targets


def send_deadly(fleet, method, body, end):
    while time.monotonic() < end:
        node = random.randrange(TARGETS, len(SERVICES))
        threading.Thread(target=call, args=(fleet, node, method, body), daemon=True).start()
        time.sleep(RETURN_SECONDS)


def send_others(fleet, case, end, results):
    number = 0
    while time.monotonic() < end:
        number += 1
        sent = time.monotonic()
        body = b"healthy" if case.alike else b"healthy %d" % number
        status = call(fleet, TARGETS + number % CALLING_NODES, case.method, body)
        results.append((sent, status == 200))
        time.sleep(0.02)


def restart_processes(fleet, _, end):
    """Kills a control VM, the leader among them, or a calling node, and starts it again."""
    names = ["control-%d" % i for i in range(3)] + ["node-%d" % i for i in range(TARGETS, len(SERVICES))]
    random.shuffle(names)
    for name in names:
        if time.monotonic() > end:
            return
        fleet.kill(name)
        time.sleep(0.2)
        start = fleet.start_control if name.startswith("control") else fleet.start_node
        start(int(name.split("-")[1]))
        time.sleep(1.3)


def end_targets(_, targets, end):
    while time.monotonic() < end:
        random.choice(targets).end()
        time.sleep(0.7)


def play(fleet, targets, record, case):
    """Returns the problems found."""
    method = case.method
    bodies = [DEADLY + b" %d" % n for n in range(case.deadly)]
    begin = time.monotonic()
    end = begin + RUN_SECONDS
    results = []
    threads = [threading.Thread(target=send_deadly, args=(fleet, method, body, end)) for body in bodies]
    threads += [threading.Thread(target=send_others, args=(fleet, case, end, results)) for _ in range(3)]
    if case.trouble:
        threads.append(threading.Thread(target=case.trouble, args=(fleet, targets, end - CALM_SECONDS)))
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    problems = []
    for body in bodies:
        late = record.late_arrivals(body)
        if late > LATE_ARRIVALS_ALLOWED:
            problems.append("%s reached a target %d times more after it had ended %d" % (body, late, ENDS_ALLOWED))
    # Both rounds of ends may take the targets away once.
    calm = end - CALM_SECONDS / 2 if case.trouble else begin + STABILITY_SECONDS + 2 * RESTART_SECONDS
    judged = [served for sent, served in results if sent > calm]
    share = sum(judged) / max(len(judged), 1)
    print("%s, %s, %d deadly: %d ends, arrivals %s, late %s, %d of %d other requests served, %.3f from second %.0f on" % (
        case.name, method, len(bodies), len(record.ends), [len(record.arrivals.get(body, [])) for body in bodies],
        [record.late_arrivals(body) for body in bodies], sum(served for _, served in results), len(results), share,
        calm - begin), flush=True)
    if share < MIN_SERVED:
        problems.append("%.3f of the other requests were served" % share)
    return problems


class Case:
    def __init__(self, name, method, deadly, seconds_to_end=0.0, trouble=None, alike=False):
        self.name = name
        self.method = method
        self.deadly = deadly  # number of deadly requests
        self.seconds_to_end = seconds_to_end  # for which a target works on one
        self.trouble = trouble
        self.alike = alike  # all other requests have the same body


CASES = [
    Case("at once", "POST", 1),
    Case("after some work", "GET", 1, 0.2),
    Case("two", "POST", 2, 0.05),
    Case("restarts", "POST", 1, 0.05, restart_processes),
    Case("other ends, all alike", "POST", 0, trouble=end_targets, alike=True),
]


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--build", default=os.path.join(HERE, "..", "..", "build"))
    parser.add_argument("--port", type=int, default=27000)
    parser.add_argument("--keep", help="folder for the logs of a failed run")
    arguments = parser.parse_args()
    status = 0
    for number, case in enumerate(CASES):
        work = tempfile.mkdtemp()
        fleet = Fleet(arguments.build, work, arguments.port + number * PORTS_PER_CASE, SERVICES)
        try:
            record = Record(case.seconds_to_end)
            targets = start_fleet(fleet, record)
            problems = play(fleet, targets, record, case)
        except RuntimeError as error:
            print("the run failed: %s" % error)
            return 2
        finally:
            fleet.stop_all()
        for problem in problems:
            print("  FAILED: " + problem)
        if problems and arguments.keep:
            shutil.copytree(work, os.path.join(arguments.keep, case.name), dirs_exist_ok=True)
        shutil.rmtree(work)
        status = max(status, 1 if problems else 0)
    print("deadly requests: %s" % ("FAILED" if status else "ok"))
    return status


if __name__ == "__main__":
    sys.exit(main())
