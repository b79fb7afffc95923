"""Starts and stops a fleet of real processes on loopback.

Shared by scripts/soak and scripts/scale. Each VM has an address of its own.
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
    """Loopback address of a VM; the VMs of one zone share the prefix 127.0.<zone + 1>."""
    return "127.0.%d.%d" % (zone + 1, vm + 1)


def split_address(address):
    name, port = address.split(":")
    return name, int(port)


def get_json(address, path, timeout=3):
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


def check_ports(first, last):
    """Ends the program unless the ports lie below the range of outgoing connections.

    A port of that range may be taken by a connection, also for a minute after its
    end (TIME_WAIT), and a process that is to listen there does not start then.
    """
    with open("/proc/sys/net/ipv4/ip_local_port_range", encoding="ascii") as limits:
        outgoing = int(limits.read().split()[0])
    if last >= outgoing:
        raise SystemExit("ports %d to %d reach into the range of outgoing connections, which begins at %d"
                           % (first, last, outgoing))


class Fleet:
    """Settings files and processes of a fleet; stops only processes that it started.

    Zones, control VMs and target VMs are numbered from 0; target VM i runs node i
    and target i. Processes are named control-I, node-I and target-I.
    """

    PROXY_PORT_OFFSET = 1000  # proxy port = port of the process + offset

    def __init__(self, build, work, port, services, proxy=None):
        check_ports(port, port + 20 + 5 * len(services) + (self.PROXY_PORT_OFFSET if proxy else 0))
        self.port = port
        self.proxy = proxy  # optional, see soak_proxy.py
        self.proxied = set()  # addresses that the proxy listens for
        self.services = services  # service of each target
        self.bin = os.path.abspath(os.path.join(build, "bin"))
        self.work = work
        self.processes = {}
        self.log_sizes = {}  # size of each log before the latest start of its process
        # Monotonic time until which a closed connection of a process counts as
        # part of its graceful shutdown.
        self.leaving_until = {}
        self.unclean_exits = []
        self.own_ends = []  # processes that ended without a signal of this fleet, with their status
        self.reporting = set()  # numbers of the targets that don't announce themselves
        self.stopped = False

    def path(self, name):
        return os.path.join(self.work, name)

    def control_address(self, i, part):
        return "%s:%d" % (host(i), self.port + 3 * i + ("peer", "node", "api").index(part))

    def vm_address(self, i, part):
        port = self.port + 20 + 5 * i + ("caller", "peer", "local", "target", "report").index(part)
        return "%s:%d" % (host(i % len(ZONES), 1 + i // len(ZONES)), port)

    def reachable_address(self, address):
        """Returns the address for other processes: that of the proxy, if there is one."""
        if self.proxy is None:
            return address
        name, port = split_address(address)
        if address not in self.proxied:
            self.proxied.add(address)
            self.proxy.listen((name, port + self.PROXY_PORT_OFFSET), (name, port))
        return "%s:%d" % (name, port + self.PROXY_PORT_OFFSET)

    def all_api_addresses(self):
        return ",".join(self.control_address(i, "api") for i in range(len(ZONES)))

    def start(self, name, *arguments):
        self.leaving_until.pop(name, None)
        log = open(self.path(name + ".log"), "ab")
        self.log_sizes[name] = log.tell()
        self.processes[name] = subprocess.Popen(arguments, stdout=log, stderr=log)
        log.close()

    def send_signal(self, name, number):
        self.processes[name].send_signal(number)

    def note_own_end(self, name):
        status = self.processes[name].poll()
        if status is not None:
            self.own_ends.append("%s: %d" % (name, status))

    def kill(self, name):
        self.note_own_end(name)
        self.send_signal(name, signal.SIGKILL)
        self.processes.pop(name).wait()

    def terminate(self, name, limit=45):
        """Sends SIGTERM and waits; records an exit status other than 0 in unclean_exits.

        Kills the process after `limit` seconds.
        """
        self.note_own_end(name)
        self.leaving_until[name] = math.inf
        self.send_signal(name, signal.SIGTERM)
        process = self.processes.pop(name)
        try:
            status = process.wait(limit)
        except subprocess.TimeoutExpired:
            process.kill()
            status = process.wait()
        # Callers notice a closed connection with a short delay.
        self.leaving_until[name] = time.monotonic() + 0.5
        # SIGTERM kills a process that has not installed its handlers yet. Such a
        # process has not logged its start, and its exit status is no fault.
        logged_nothing = os.path.getsize(self.path(name + ".log")) == self.log_sizes[name]
        if status != 0 and not (logged_nothing and status == -signal.SIGTERM):
            self.unclean_exits.append("%s: %d" % (name, status))

    def is_leaving(self, name):
        return time.monotonic() < self.leaving_until.get(name, 0)

    def start_control(self, i, bootstrap=False):
        names = ["control-%d" % n for n in range(len(ZONES))]
        lines = ["[control]", "name = " + names[i], "availability-zone = " + ZONES[i],
                 "data-folder = " + self.path("data-%d" % i)]
        lines += ["%s-listen = %s" % (part, self.control_address(i, part)) for part in ("peer", "node", "api")]
        lines += ["%s-address = %s" % (part, self.reachable_address(self.control_address(i, part)))
                  for part in ("peer", "node")]
        lines.append("seeds = " + ",".join(
            self.reachable_address(self.control_address(n, "peer")) for n in range(len(ZONES))))
        if bootstrap:
            lines += ["bootstrap = true", "initial-voters = " + ",".join(names)]
        os.makedirs(self.path("data-%d" % i), exist_ok=True)
        lines += self.fault_injection_lines(i) + ["disk-rules = " + self.path("disk-%d" % i)]
        self.start_with_settings(names[i], "wigeonfold-control", lines)

    def start_node(self, i):
        zone = i % len(ZONES)
        lines = ["[node]", "name = node-%d" % i, "availability-zone = " + ZONES[zone]]
        lines += ["%s-listen = %s" % (part, self.vm_address(i, part)) for part in ("caller", "peer", "local")]
        lines.append("peer-address = " + self.reachable_address(self.vm_address(i, "peer")))
        lines.append("announce-listen = " + self.vm_address(i, "report"))
        lines.append("[control]")
        lines += ["%s = %s" % (ZONES[n], self.reachable_address(self.control_address(n, "node")))
                  for n in range(len(ZONES))]
        self.start_with_settings("node-%d" % i, "wigeonfold-node", lines + self.fault_injection_lines(zone))

    def start_target(self, i):
        lines = ["[target]", "name = target-%d" % i, "listen = " + self.vm_address(i, "target"),
                 "announce-address = " + self.reachable_address(self.vm_address(i, "target")),
                 "service = " + self.services[i],
                 "node-callers = " + self.vm_address(i, "caller"), "slots = 6", "connections = 130",
                 "connection-cost = 1ms", "executed-file = " + self.path("executed-%d" % i),
                 "seed = %d" % (100 + i)] + \
            ([] if i in self.reporting else ["node-announce = " + self.vm_address(i, "local")]) + \
            ["[service-time]", "short = 3ms", "long = 40ms",
                 "long-per-mille = 20"]
        self.start_with_settings("target-%d" % i, "wigeonfold-target", lines)

    def keep_announcing(self, i, instance, is_current=lambda: True):
        """Announces a stand-in target of VM i to its node each second, until the fleet stops or
        is_current() is false.
        """
        body = json.dumps({"service": self.services[i], "slots": 6, "connections": 100, "state": "ready",
                           "address": self.vm_address(i, "target"), "instance": instance})
        while is_current() and not self.stopped:
            try:
                connection = http.client.HTTPConnection(self.vm_address(i, "local"), timeout=1)
                connection.request("PUT", "/wigeonfold/announce", body)
                connection.getresponse().read()
                connection.close()
            except (OSError, http.client.HTTPException):
                pass
            time.sleep(1)

    def fault_injection_lines(self, zone):
        return ["[fault-injection]", "link-rules = " + self.path("links-%d" % zone)]

    def start_with_settings(self, name, binary, lines):
        ini = self.path(name + ".ini")
        with open(ini, "w") as file:
            file.write("\n".join(lines) + "\n")
        self.start(name, os.path.join(self.bin, binary), "--config", ini)

    def set_links(self, zone, rules):
        """Replaces the link rules of a zone atomically.

        `rules` holds pairs of a rule word and the other zone.
        """
        self.replace_file("links-%d" % zone, "".join("%s 127.0.%d.\n" % (word, other + 1) for word, other in rules))

    def set_disk(self, i, rule):
        """Sets the disk fault of a control VM; an empty rule means no fault."""
        self.replace_file("disk-%d" % i, rule + "\n")

    def replace_file(self, name, text):
        with open(self.path(name + ".new"), "w") as file:
            file.write(text)
        os.rename(self.path(name + ".new"), self.path(name))

    def client(self, *arguments, timeout=40):
        """Runs the operators' client; on a timeout the result has return code 1."""
        command = [os.path.join(self.bin, "wigeonfold"), *arguments, "--control", self.all_api_addresses()]
        try:
            return subprocess.run(command, capture_output=True, text=True, timeout=timeout)
        except subprocess.TimeoutExpired:
            return subprocess.CompletedProcess(command, 1, "", "the client did not end within %s s" % timeout)

    def accept(self, path, key, value, draft, *options):
        """Sets a value in a draft and accepts it. Returns the finished client process,
        whose stdout is JSON when its return code is 0.
        """
        self.client("branch", "set", path, key, str(value), "--draft", draft)
        return self.client("accept", "--draft", draft, "--json", *options)

    def stop_all(self):
        self.stopped = True
        for process in self.processes.values():
            process.send_signal(signal.SIGCONT)
        for process in self.processes.values():
            process.kill()
        for process in self.processes.values():
            process.wait()

    def start_controls(self):
        """Starts all control VMs and waits until each is a voter."""
        for zone in range(len(ZONES)):
            self.set_links(zone, [])
            self.set_disk(zone, "")
            self.start_control(zone, bootstrap=zone == 0)
        def all_are_voters():
            result = self.client("members", "list", "--json")
            members = json.loads(result.stdout)["members"]
            return sum(member["voter"] for member in members) == len(ZONES)
        wait_until(30, all_are_voters, "not every control VM became a voter within 30 s")
