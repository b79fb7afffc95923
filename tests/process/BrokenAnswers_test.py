#!/usr/bin/env python3
"""Guards against callers that get a broken answer, or a part of one, as an answer.

Usage: tests/process/BrokenAnswers_test.py [--build DIR] [--port FIRST]

Runs control VMs and two nodes as real processes. The target is a stand-in of this
file that answers a long upload before it has read it, and ends or breaks its
answer as the case says. Each case is played over one node and over two. Exit
status 1 if a check fails, 2 if the run itself failed.
"""
import argparse
import http.client
import os
import shutil
import socket
import socketserver
import struct
import sys
import tempfile
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "..", "scripts"))

from fleet import Fleet, get_json, split_address, wait_until  # noqa: E402

SERVICES = ["lots", "offices"]  # the target stands beside node 0
UPLOAD = b"u" * 900_000
DEADLINE_SECONDS = 10
LOG_SECONDS = 5
# The sender's socket would else take the whole upload on loopback.
SEGMENT_BYTES = 1460
RECEIVE_BYTES = 4096

OPEN_ENDED = b"HTTP/1.1 200 OK\r\nX-Seal: s\r\n\r\nthe first part"
WHOLE = b"HTTP/1.1 200 OK\r\nX-Seal: s\r\nContent-Length: 5\r\n\r\nwhole"


class Case:
    def __init__(self, name, answer, end="", delay=0.0, body=None):
        self.name = name
        self.answer = answer
        self.end = end  # "reset", "close", "orderly" (ends the sending and reads on) or nothing
        self.delay = delay  # seconds between the bytes and the end
        self.body = body  # that the caller gets; None: the answer is refused


CASES = [Case("reset-%d-ms" % ms, OPEN_ENDED, "reset", ms / 1000) for ms in (0, 10, 50, 200, 500)] + [
    Case("closed-unread", OPEN_ENDED, "close", 0.05),
    Case("refusal-reset", b"HTTP/1.1 503 X\r\nWigeonfold-Run: not-run\r\n\r\nbusy", "reset", 0.05),
    Case("status-000", b"HTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\n" + WHOLE),
    Case("blank-in-name", b"HTTP/1.1 200 OK\r\nX A: b\r\nContent-Length: 2\r\n\r\nhi"),
    Case("control-byte-in-name", b"HTTP/1.1 200 OK\r\nX\x01: b\r\nContent-Length: 2\r\n\r\nhi"),
    Case("unknown-coding", b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nhi"),
    Case("whole", WHOLE, body=b"whole"),
    Case("whole-then-reset", WHOLE, "reset", 0.05, b"whole"),
    Case("orderly-end", OPEN_ENDED, "orderly", 0.05, b"the first part"),
    Case("interim", b"HTTP/1.1 103 X\r\nLink: x\r\n\r\n" + WHOLE, body=b"whole"),
]


class Target(socketserver.ThreadingTCPServer):
    allow_reuse_address = True
    daemon_threads = True

    def __init__(self, address):
        super().__init__(address, Handler)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)

    def handle_error(self, request, client_address):
        pass  # a connection that ends within an answer

    def shutdown_request(self, request):
        request.close()  # without the orderly end that the base class sends


class Handler(socketserver.BaseRequestHandler):
    def handle(self):
        head = b""
        while b"\r\n\r\n" not in head:
            received = self.request.recv(1024)
            if not received:
                return
            head += received
        name = head.split(b" ")[1].decode().rsplit("/", 1)[1]
        case = next(case for case in CASES if case.name == name)
        self.request.sendall(case.answer)
        time.sleep(case.delay)
        if case.end == "reset":
            self.request.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        elif case.end == "orderly":
            self.request.shutdown(socket.SHUT_WR)
        if case.end in ("", "orderly"):
            while self.request.recv(65536):
                pass


def call(fleet, node, case):
    connection = http.client.HTTPConnection(fleet.vm_address(node, "caller"), timeout=DEADLINE_SECONDS + 5)
    try:
        connection.request("POST", "/lots/" + case.name, UPLOAD,
                           {"Wigeonfold-Deadline-Ms": str(DEADLINE_SECONDS * 1000),
                            "Wigeonfold-Request-Id": "%s-%d" % (case.name, node)})
        response = connection.getresponse()
        return response.status, response.getheader("Wigeonfold-Run"), response.read()
    finally:
        connection.close()


def play(fleet, node, case):
    """Returns the problems found."""
    status, run, body = call(fleet, node, case)
    found = "%s over node %d: %d, %s, %d bytes" % (case.name, node, status, run, len(body))
    if case.body is not None:
        sound = status == 200 and run == "run" and body == case.body
        return [] if sound else [found]
    problems = [] if status == 502 and run == "unknown" else [found]
    try:
        # A thread of its own writes the log, so the line may follow the answer.
        wait_until(LOG_SECONDS, lambda: is_refusal_logged(fleet, node, case), found + ", not logged")
    except RuntimeError as error:
        problems.append(str(error))
    return problems


def is_refusal_logged(fleet, node, case):
    """Whether the target's node has logged that it refused the answer to that call."""
    with open(fleet.path("node-0.log"), encoding="ascii", errors="replace") as log:
        return "event=AnswerRefused request=%s-%d " % (case.name, node) in log.read()


def start_fleet(fleet):
    fleet.start_controls()
    for i in range(len(SERVICES)):
        fleet.start_node(i)
    target = Target(split_address(fleet.vm_address(0, "target")))
    threading.Thread(target=target.serve_forever, daemon=True).start()
    threading.Thread(target=fleet.keep_announcing, args=(0, "target-0"), daemon=True).start()
    draft = fleet.path("draft.json")
    fleet.client("branch", "set", "services/lots", "route.prefix", "/lots", "--draft", draft)
    if fleet.client("accept", "--wait", "--draft", draft).returncode != 0:
        raise RuntimeError("the first change was not accepted")
    wait_until(20, lambda: all(get_json(fleet.vm_address(i, "local"), "/status")["endpoints"] == 1
                               for i in range(len(SERVICES))), "not every node knew the target within 20 s")


def refusals(fleet):
    """Broken answers that the target's node counted."""
    connection = http.client.HTTPConnection(fleet.vm_address(0, "local"), timeout=3)
    connection.request("GET", "/metrics")
    lines = connection.getresponse().read().decode().splitlines()
    connection.close()
    return sum(float(line.split()[-1]) for line in lines if line.startswith("wigeonfold_node_broken_answers_total{"))


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--build", default=os.path.join(HERE, "..", "..", "build"))
    parser.add_argument("--port", type=int, default=28000)
    arguments = parser.parse_args()
    work = tempfile.mkdtemp()
    fleet = Fleet(arguments.build, work, arguments.port, SERVICES)
    problems = []
    try:
        start_fleet(fleet)
        for case in CASES:
            for node in range(len(SERVICES)):
                problems += play(fleet, node, case)
        expected = len(SERVICES) * sum(case.body is None for case in CASES)
        if refusals(fleet) != expected:
            problems.append("%d refusals were counted, not %d" % (refusals(fleet), expected))
    except (OSError, RuntimeError) as error:
        print("the run failed: %s" % error)
        return 2
    finally:
        fleet.stop_all()
        shutil.rmtree(work)
    for problem in problems:
        print("  FAILED: " + problem)
    print("broken answers: %s" % ("FAILED" if problems else "ok"))
    return 1 if problems else 0


if __name__ == "__main__":
    sys.exit(main())
