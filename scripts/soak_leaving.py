"""Targets of a soak run that report by the platform's calls, and leave.

A target reports itself to its node each second, and some reports arrive seconds
late. A target that leaves sends `draining` or DELETE until it is acknowledged
and serves on for some seconds. After the acknowledgement it must get no work,
whatever dies meanwhile.
"""
import http.client
import json
import os
import threading
import time

REPORT_SECONDS = 1.0
ANSWER_TIMEOUT_SECONDS = 1.0  # a report without an answer by then counts as lost
LATE_PER_CENT = 5
LEAVE_TRIES = 10
DRAIN_SECONDS = 3.0  # from the acknowledgement; after it a target gets no work (promise P7)


class ReportingTarget:
    """Reports the target process of one VM. Each start of the process is a new instance."""

    def __init__(self, fleet, i, choices):
        self.fleet = fleet
        self.i = i
        self.random = choices
        self.lock = threading.Lock()
        self.process = None
        self.instance = ""
        self.born = 0
        self.sequence = 0
        self.state = "ready"
        self.reporting = True
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def run(self):
        while not self.fleet.stopped:
            process = self.fleet.processes.get("target-%d" % self.i)
            if process is not None:
                if process is not self.process:
                    self.begin(process)
                if self.reporting:
                    late = self.random.randrange(100) < LATE_PER_CENT
                    self.send_later(self.random.uniform(0.5, 6) if late else 0, self.report())
            time.sleep(REPORT_SECONDS)

    def begin(self, process):
        with self.lock:
            self.process = process
            self.born = int(time.time() * 1000)
            self.instance = "i-%d-%d" % (self.i, self.born)
            self.sequence = 0
            self.state = "ready"
            self.reporting = True

    def report(self):
        """Returns the path and the body of the next report."""
        with self.lock:
            self.sequence += 1
            return "/api/instances/" + self.instance, {
                "service": self.fleet.services[self.i], "zone": "any", "version": "v1", "slots": 6,
                "address": self.fleet.reachable_address(self.fleet.vm_address(self.i, "target")),
                "state": self.state, "warmup_left_ms": 0, "sequence": self.sequence, "born": self.born}

    def send_later(self, seconds, report):
        timer = threading.Timer(seconds, lambda: self.call("PUT", *report))
        timer.daemon = True
        timer.start()

    def call(self, method, path, body):
        """Returns the status, or None without an answer in time."""
        connection = http.client.HTTPConnection(self.fleet.vm_address(self.i, "report"),
                                                timeout=ANSWER_TIMEOUT_SECONDS)
        try:
            connection.request(method, path, json.dumps(body))
            return connection.getresponse().status
        except (OSError, http.client.HTTPException):
            return None
        finally:
            connection.close()

    def leave(self, how, late_seconds):
        """Reports the leave until it is acknowledged; returns the time of that, or None.

        A report from before the leave arrives after each of `late_seconds`.
        """
        process = self.fleet.processes["target-%d" % self.i]
        if process is not self.process:
            self.begin(process)  # it has not reported yet
        late = [(seconds, self.report()) for seconds in late_seconds]
        self.reporting = how == "draining"
        self.state = "draining"
        acknowledged = None
        for _ in range(LEAVE_TRIES):
            path, body = self.report()
            status = self.call("PUT", path, body) if how == "draining" else \
                self.call("DELETE", path, {"born": self.born})
            if status == 200:
                acknowledged = time.monotonic()
                break
            time.sleep(0.3)
        for seconds, report in late:
            self.send_later(seconds, report)
        return acknowledged

    def executed_bytes(self):
        executed = self.fleet.path("executed-%d" % self.i)
        return os.path.getsize(executed) if os.path.exists(executed) else 0
