"""A fleet of real processes on loopback, one address per availability zone.

Shared by the scripts that start processes from Python.
"""
import http.client
import json
import math
import os
import signal
import subprocess
import time

ZONES = ["arita", "hasami", "imari"]


def host(zone, vm=0):
    """Each VM has an address of its own, and the zones have one prefix each."""
    return "127.0.%d.%d" % (zone + 1, vm + 1)


def split(address):
    name, port = address.split(":")
    return name, int(port)


def get(address, path, timeout=3):
    connection = http.client.HTTPConnection(address, timeout=timeout)
    try:
        connection.request("GET", path)
        return json.loads(connection.getresponse().read())
    finally:
        connection.close()


def parse_version(text):
    return tuple(int(part) for part in text.split(".")) if text else (0, 0)


def wait_until(seconds, condition, what):
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        try:
            if condition():
                return
        except (OSError, ValueError, KeyError):
            pass
        time.sleep(0.1)
    raise RuntimeError(what)


class Fleet:
    """Settings, processes and links; ends exactly what it has started."""

    PROXY_PORTS = 1000  # from the ports of processes to those of the proxy

    def __init__(self, build, work, port, services, proxy=None):
        self.port = port
        self.proxy = proxy  # between processes, see soak_proxy.py
        self.proxied = set()
        self.services = services  # of each target VM
        self.bin = os.path.abspath(os.path.join(build, "bin"))
        self.work = work
        self.processes = {}
        self.log_sizes = {}  # before the latest start
        self.leaving = {}  # end of the time in which the end of a node is graceful
        self.unclean = []

    def path(self, name):
        return os.path.join(self.work, name)

    def control(self, i, part):
        return "%s:%d" % (host(i), self.port + 3 * i + ("peer", "node", "api").index(part))

    def vm(self, i, part):
        port = self.port + 20 + 4 * i + ("caller", "peer", "local", "target").index(part)
        return "%s:%d" % (host(i % len(ZONES), 1 + i // len(ZONES)), port)

    def seen(self, address):
        """The address under which other processes reach this one."""
        if self.proxy is None:
            return address
        name, port = split(address)
        if address not in self.proxied:
            self.proxied.add(address)
            self.proxy.listen((name, port + self.PROXY_PORTS), (name, port))
        return "%s:%d" % (name, port + self.PROXY_PORTS)

    def all_api(self):
        return ",".join(self.control(i, "api") for i in range(len(ZONES)))

    def start(self, name, *arguments):
        self.leaving.pop(name, None)
        log = open(self.path(name + ".log"), "ab")
        self.log_sizes[name] = log.tell()
        self.processes[name] = subprocess.Popen(arguments, stdout=log, stderr=log)
        log.close()

    def send(self, name, number):
        self.processes[name].send_signal(number)

    def kill(self, name):
        self.send(name, signal.SIGKILL)
        self.processes.pop(name).wait()

    def terminate(self, name, limit=45):
        """Graceful shutdown; an exit status other than 0 is noted."""
        self.leaving[name] = math.inf
        self.send(name, signal.SIGTERM)
        process = self.processes.pop(name)
        try:
            status = process.wait(limit)
        except subprocess.TimeoutExpired:
            process.kill()
            status = process.wait()
        # Callers notice the end of their connections a little later.
        self.leaving[name] = time.monotonic() + 0.5
        # Before its handlers are in place, the signal itself ends a process; it
        # has not said that it started then.
        said_nothing = os.path.getsize(self.path(name + ".log")) == self.log_sizes[name]
        if status != 0 and not (said_nothing and status == -signal.SIGTERM):
            self.unclean.append("%s: %d" % (name, status))

    def is_leaving(self, name):
        return time.monotonic() < self.leaving.get(name, 0)

    def start_control(self, i, bootstrap=False):
        names = ["control-%d" % n for n in range(len(ZONES))]
        lines = ["[control]", "name = " + names[i], "availability-zone = " + ZONES[i],
                 "data-folder = " + self.path("data-%d" % i)]
        lines += ["%s-listen = %s" % (part, self.control(i, part)) for part in ("peer", "node", "api")]
        lines += ["%s-address = %s" % (part, self.seen(self.control(i, part))) for part in ("peer", "node")]
        lines.append("seeds = " + ",".join(self.seen(self.control(n, "peer")) for n in range(len(ZONES))))
        if bootstrap:
            lines += ["bootstrap = true", "initial-voters = " + ",".join(names)]
        os.makedirs(self.path("data-%d" % i), exist_ok=True)
        lines += self.faults(i) + ["disk-rules = " + self.path("disk-%d" % i)]
        self.start_with(names[i], "wigeonfold-control", lines)

    def start_node(self, i):
        zone = i % len(ZONES)
        lines = ["[node]", "name = node-%d" % i, "availability-zone = " + ZONES[zone]]
        lines += ["%s-listen = %s" % (part, self.vm(i, part)) for part in ("caller", "peer", "local")]
        lines.append("peer-address = " + self.seen(self.vm(i, "peer")))
        lines.append("[control]")
        lines += ["%s = %s" % (ZONES[n], self.seen(self.control(n, "node"))) for n in range(len(ZONES))]
        self.start_with("node-%d" % i, "wigeonfold-node", lines + self.faults(zone))

    def start_target(self, i):
        lines = ["[target]", "name = target-%d" % i, "listen = " + self.vm(i, "target"),
                 "announce-address = " + self.seen(self.vm(i, "target")),
                 "service = " + self.services[i], "node-announce = " + self.vm(i, "local"),
                 "node-callers = " + self.vm(i, "caller"), "slots = 6", "connections = 130",
                 "connection-cost = 1ms", "executed-file = " + self.path("executed-%d" % i),
                 "seed = %d" % (100 + i), "[service-time]", "short = 3ms", "long = 40ms",
                 "long-per-mille = 20"]
        self.start_with("target-%d" % i, "wigeonfold-target", lines)

    def faults(self, zone):
        return ["[fault-injection]", "link-rules = " + self.path("links-%d" % zone)]

    def start_with(self, name, binary, lines):
        ini = self.path(name + ".ini")
        with open(ini, "w") as file:
            file.write("\n".join(lines) + "\n")
        self.start(name, os.path.join(self.bin, binary), "--config", ini)

    def set_links(self, zone, rules):
        """rules: pairs of a word and another zone; replaces the file at once."""
        self.replace("links-%d" % zone, "".join("%s 127.0.%d.\n" % (word, other + 1) for word, other in rules))

    def set_disk(self, i, rule):
        """Rule of the disk of a control VM; an empty one means that it is well."""
        self.replace("disk-%d" % i, rule + "\n")

    def replace(self, name, text):
        with open(self.path(name + ".new"), "w") as file:
            file.write(text)
        os.rename(self.path(name + ".new"), self.path(name))

    def client(self, *arguments, timeout=40):
        """Runs the operators' client; a run beyond the time limit has status 1."""
        command = [os.path.join(self.bin, "wigeonfold"), *arguments, "--control", self.all_api()]
        try:
            return subprocess.run(command, capture_output=True, text=True, timeout=timeout)
        except subprocess.TimeoutExpired:
            return subprocess.CompletedProcess(command, 1, "", "no end within the time limit")

    def accept(self, path, key, value, draft, *options):
        """Edits a new draft and accepts it; the answer as JSON or None."""
        self.client("branch", "set", path, key, str(value), "--draft", draft)
        done = self.client("accept", "--draft", draft, "--json", *options)
        return done

    def stop_all(self):
        for process in self.processes.values():
            process.send_signal(signal.SIGCONT)
        for process in self.processes.values():
            process.kill()
        for process in self.processes.values():
            process.wait()

    def start_controls(self):
        """Starts all control VMs and waits until each has a vote."""
        for zone in range(len(ZONES)):
            self.set_links(zone, [])
            self.set_disk(zone, "")
            self.start_control(zone, bootstrap=zone == 0)
        def whole():
            done = self.client("members", "list", "--json")
            members = json.loads(done.stdout)["members"]
            return sum(member["voter"] for member in members) == len(ZONES)
        wait_until(30, whole, "not every control VM became a voter")
