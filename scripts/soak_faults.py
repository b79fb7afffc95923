"""Injects the faults of a soak run and records what operators observed.

All random choices are made on the thread that calls step(), so that a seed
fixes their order. Timer threads end the faults and run the operators' client.
"""
import collections
import json
import os
import shutil
import signal
import threading
import time

from fleet import ZONES, get_json, host, parse_version
from soak_proxy import Rule

DRAIN_SECONDS = 3.0  # after this time a draining target gets no work (promise P7)
REPLACE_TRIES = 60   # one per second; other faults may delay the replacement


def prefix(zone):
    return host(zone).rsplit(".", 1)[0] + "."


class Faults:
    """Injects random faults; a timer ends each fault that lasts."""

    def __init__(self, fleet, choices, reporting=()):
        self.fleet = fleet
        self.random = choices
        self.reporting = reporting  # targets that can leave, see soak_leaving.py
        self.next_faults = []  # injected by the next step, in place of a random one
        self.timers = []
        self.busy = set()  # names of processes, disks and zones under a fault
        self.judging_drain = False  # no faults of control VMs, links and disks meanwhile
        self.replacing_member = False  # the control VMs cannot tolerate a second lost disk
        self.accepted = []  # versions that the client reported as accepted
        self.problems = []
        self.counts = collections.Counter()
        self.last_number = 0  # numbers the names of drafts and link rules

    # ---- Timers ----

    def call_after(self, seconds, function):
        """Runs a function after some seconds, on a thread of its own so that a blocked
        main thread does not delay it.
        """
        timer = threading.Timer(seconds, function)
        timer.daemon = True
        self.timers.append(timer)
        timer.start()

    def call_after_random(self, low, high, function):
        self.call_after(self.random.uniform(low, high), function)

    def wait_until_ended(self, seconds):
        """Waits until every fault has ended; returns false after `seconds`."""
        deadline = time.monotonic() + seconds
        while any(timer.is_alive() for timer in self.timers):
            if time.monotonic() > deadline:
                return False
            time.sleep(0.05)
        return True

    def next_number(self):
        self.last_number += 1
        return self.last_number

    # ---- Choice of processes and disks ----

    def idle_names(self, kind):
        count = len(ZONES) if kind in ("control", "disk") else len(self.fleet.services)
        names = ["%s-%d" % (kind, i) for i in range(count)]
        return [name for name in names if name not in self.busy]

    def reserve(self, kind, count=1, spare=0):
        """Marks `count` random idle names of a kind as busy and returns them.

        Returns none if fewer than `spare` would stay idle.
        """
        idle = self.idle_names(kind)
        if len(idle) < count + spare or (kind == "control" and self.judging_drain):
            return []
        names = self.random.sample(idle, count)
        self.busy.update(names)
        return names

    def make_release(self, name, function=None):
        """Returns a function that calls `function` and marks the name as idle."""
        def end():
            if function:
                function()
            self.busy.discard(name)
        return end

    def start(self, name):
        kind, i = name.split("-")
        getattr(self.fleet, "start_" + kind)(int(i))

    # ---- Processes ----

    def kill(self, names, low, high):
        for name in names:
            self.fleet.kill(name)
        for name in names:
            self.call_after_random(low, high, self.make_release(name, lambda name=name: self.start(name)))

    def freeze(self, names, low, high):
        for name in names:
            self.fleet.send_signal(name, signal.SIGSTOP)
            self.call_after_random(low, high, self.make_release(
                name, lambda name=name: self.fleet.send_signal(name, signal.SIGCONT)))

    def terminate(self, name, delay, pause):
        """Sends SIGTERM after `delay` seconds; restarts `pause` seconds after the exit."""
        def end():
            self.fleet.terminate(name)
            time.sleep(pause)
            self.start(name)
        self.call_after(delay, self.make_release(name, end))

    def kill_control(self):
        self.kill(self.reserve("control"), 0.5, 5)

    def freeze_control(self):
        self.freeze(self.reserve("control"), 0.5, 6)

    def stop_control(self):
        for name in self.reserve("control"):
            self.terminate(name, 0, self.random.uniform(0.1, 2))

    def lose_majority(self):
        self.kill(self.reserve("control", 2), 0.3, 4)

    def lose_all_control(self):
        self.kill(self.reserve("control", 3), 0.1, 3)

    def wipe_control(self):
        if self.replacing_member:
            return
        for name in self.reserve("control"):
            self.replacing_member = True
            self.fleet.kill(name)
            shutil.rmtree(self.fleet.path("data-" + name[-1]))
            self.start(name)
            self.call_after_random(1, 2, lambda name=name: self.replace_member(name, REPLACE_TRIES))

    def replace_member(self, name, tries):
        """Makes the restarted control VM, which has a new identity, a voter in place of the
        lost one. Repeats this every second until it succeeds or no tries are left.
        """
        i = int(name[-1])
        try:
            identity, reason = get_json(self.fleet.control_address(i, "api"), "/v1/status?stale=1")["self"], ""
        except (OSError, ValueError, KeyError) as error:
            identity, reason = None, repr(error)
        if identity:
            # The client repeats its steps until the new member is a voter.
            done = self.fleet.client("members", "replace", name, identity, name, ZONES[i],
                                     self.fleet.reachable_address(self.fleet.control_address(i, "peer")),
                                     self.fleet.control_address(i, "api"))
            reason = done.stderr.strip() if done.returncode else ""
        if identity and not reason or tries == 0:
            if tries == 0:
                self.problems.append("P9 member %s could not be replaced: %s" % (name, reason))
            self.replacing_member = False
            self.busy.discard(name)
            return
        self.call_after(1, lambda: self.replace_member(name, tries - 1))

    def kill_node(self):
        self.kill(self.reserve("node", spare=2), 0.2, 3)

    def freeze_node(self):
        self.freeze(self.reserve("node", spare=2), 0.2, 2)

    def stop_node(self):
        for name in self.reserve("node", spare=2):
            self.terminate(name, 0, self.random.uniform(0.1, 2))

    def restart_nodes_in_series(self):
        """Restarts four nodes gracefully, at overlapping times."""
        for number, name in enumerate(self.reserve("node", 4, spare=2)):
            self.terminate(name, 0.3 * number, self.random.uniform(0.1, 0.5))

    def kill_half_of_nodes(self):
        self.kill(self.reserve("node", max(2, len(self.fleet.services) // 2)), 0.1, 2)

    def kill_leaving_node(self):
        for name in self.reserve("node", spare=2):
            self.fleet.send_signal(name, signal.SIGTERM)
            self.call_after(self.random.uniform(0, 0.5), lambda name=name: self.fleet.kill(name))
            self.call_after_random(1, 2, self.make_release(name, lambda name=name: self.start(name)))

    def stop_frozen_node(self):
        """A node that gets SIGTERM while frozen shuts down gracefully once it continues."""
        for name in self.reserve("node", spare=2):
            process = self.fleet.processes[name]  # terminate() removes the entry
            process.send_signal(signal.SIGSTOP)
            self.call_after_random(0.2, 1, lambda process=process: process.send_signal(signal.SIGCONT))
            self.terminate(name, 0.1, 0.2)

    def reload_settings(self):
        """SIGHUP makes nodes and control processes read their settings files again."""
        for name in self.random.sample(sorted(self.fleet.processes), 3):
            if not name.startswith(("node", "control")) or name in self.busy:
                continue
            self.fleet.send_signal(name, signal.SIGHUP)

    def kill_target(self):
        self.kill(self.reserve("target"), 0.2, 4)

    def freeze_target(self):
        self.freeze(self.reserve("target"), 0.2, 2)

    # ---- Links ----

    def apply_link_rules(self, names, rules, low, high):
        name = "rule-%d" % self.next_number()
        self.fleet.proxy.set_rules(name, rules)
        def remove_rules():
            self.fleet.proxy.set_rules(name, [])
            self.busy.difference_update(names)
        self.call_after_random(low, high, remove_rules)

    def pick_vm_links(self):
        """Returns the host of a random VM and a predicate for links from or to it."""
        if self.judging_drain:
            return None, None
        i = self.random.randrange(len(ZONES) + len(self.fleet.services))
        name = host(i) if i < len(ZONES) else self.fleet.vm_address(i - len(ZONES), "peer").split(":")[0]
        return name, lambda link: name in (link.source, link.target[0])

    def cut_zone(self):
        zones = [name for name in ("zone-%d" % n for n in range(len(ZONES))) if name not in self.busy]
        if not zones or self.judging_drain:
            return
        name = self.random.choice(zones)
        self.busy.add(name)
        cut = prefix(int(name[-1]))
        mode = self.random.choice(["refuse", "silent", "outward", "inward"])
        rules = []
        for other in (prefix(n) for n in range(len(ZONES)) if prefix(n) != cut):
            outward, inward = mode in ("silent", "outward"), mode in ("silent", "inward")
            rules.append(Rule(cut, other, hold_outgoing=outward, hold_returning=inward, refuse=mode == "refuse"))
            rules.append(Rule(other, cut, hold_outgoing=inward, hold_returning=outward, refuse=mode == "refuse"))
        self.apply_link_rules([name], rules, 2, 8)
        if mode == "refuse":
            self.fleet.proxy.reset(lambda link: any(rule.matches(link) for rule in rules))

    def delay_vm(self):
        name, _ = self.pick_vm_links()
        if name:
            delay = self.random.uniform(0.02, 0.4)
            self.apply_link_rules([], [Rule(source=name, delay=delay), Rule(target=name, delay=delay)], 1, 5)

    def reset_vm(self):
        _, touches_vm = self.pick_vm_links()
        if touches_vm:
            self.fleet.proxy.reset(touches_vm)

    def silence_connections(self):
        """Existing connections carry no more data; new connections work."""
        _, touches_vm = self.pick_vm_links()
        if touches_vm:
            self.fleet.proxy.silence(touches_vm)

    # ---- Disks ----

    def inject_disk_fault(self):
        if self.judging_drain:
            return
        for name in self.reserve("disk"):
            i = int(name[-1])
            self.fleet.set_disk(i, self.random.choice(["slow 20", "slow 200", "stalled", "full"]))
            self.call_after_random(1, 5, self.make_release(name, lambda: self.fleet.set_disk(i, "")))

    # ---- Operators ----

    def draft(self):
        return self.fleet.path("draft-%d.json" % self.next_number())

    def record_accepted(self, done):
        if done.returncode == 0:
            self.accepted.append(parse_version(json.loads(done.stdout)["version"]))

    def change(self, count=1):
        work = [(self.random.randrange(50, 500), self.draft()) for _ in range(count)]
        def run():
            for value, draft in work:
                self.record_accepted(self.fleet.accept("services/lots", "queue.limit", value, draft))
        self.call_after(0, run)

    def burst(self):
        self.change(10)

    def race(self):
        """Accepts two drafts with the same base; at most one may succeed."""
        work = [(self.draft(), str(self.random.randrange(50, 500))) for _ in range(2)]
        def run():
            for draft, value in work:
                self.fleet.client("branch", "set", "services/ledgers", "queue.limit", value, "--draft", draft)
            results = [self.fleet.client("accept", "--draft", draft, "--json") for draft, _ in work]
            for done in results:
                self.record_accepted(done)
            # The client rebases a draft over changes of other branches only.
            if sum(done.returncode == 0 for done in results) == 2:
                self.problems.append("P9 two conflicting changes with the same base were both accepted")
        self.call_after(0, run)

    def resend(self):
        """Accepts one draft twice, as after a lost answer; both must yield one version."""
        draft, value = self.draft(), str(self.random.randrange(50, 500))
        def run():
            self.fleet.client("branch", "set", "offices/hasami", "share.weight", value, "--draft", draft)
            if not os.path.exists(draft):
                return  # no control VM was reachable to create the draft
            shutil.copy(draft, draft + ".copy")
            results = [self.fleet.client("accept", "--draft", one, "--json") for one in (draft, draft + ".copy")]
            self.record_accepted(results[0])
            if all(done.returncode == 0 for done in results) and \
                    len({json.loads(done.stdout)["version"] for done in results}) == 2:
                self.problems.append("P9 a change that was sent twice got two versions")
        self.call_after(0, run)

    # ---- Draining targets ----

    def drain(self):
        """A target gets no new work later than 3 s after its drain was accepted."""
        free = [name for name in self.idle_names("node") if name.replace("node", "target") not in self.busy]
        others = [name for name in self.busy if not name.startswith(("node", "target"))]
        if not free or others or self.judging_drain:
            return
        name = self.random.choice(free)
        i = int(name.split("-")[1])
        names = [name, "target-%d" % i]
        self.busy.update(names)
        self.judging_drain = True
        executed = self.fleet.path("executed-%d" % i)
        def end():
            self.busy.difference_update(names)
            self.judging_drain = False
        def run():
            if self.fleet.client("drain", name).returncode != 0:
                end()
                return
            time.sleep(DRAIN_SECONDS)
            size = os.path.getsize(executed) if os.path.exists(executed) else 0
            time.sleep(2)
            self.counts["drains judged"] += 1
            if os.path.exists(executed) and os.path.getsize(executed) != size:
                self.problems.append("P7 %s got work more than %g s after its drain was accepted"
                                     % (name, DRAIN_SECONDS))
            self.fleet.client("drain", name, "--undo")
            end()
        self.call_after(0, run)

    # ---- Targets that leave ----

    def kill_all(self):
        """Kills all control VMs and nodes at once, but for those under another fault."""
        if self.judging_drain:
            return
        names = self.idle_names("control") + self.idle_names("node")
        self.busy.update(names)
        self.kill(names, 0.3, 2)

    def kill_all_nodes(self):
        names = self.idle_names("node")
        self.busy.update(names)
        self.kill(names, 0.2, 1.5)

    def leave_target(self):
        """A target leaves; after the acknowledgement it gets no work, whatever dies then."""
        free = [one for one in self.reporting if "target-%d" % one.i not in self.busy]
        if not free or self.judging_drain:
            return
        target = self.random.choice(free)
        name = "target-%d" % target.i
        self.busy.add(name)
        how = self.random.choice(["draining", "DELETE"])
        late = [self.random.uniform(0.2, 8) for _ in range(self.random.randrange(1, 4))]
        fault = self.random.choice([None, self.kill_all, self.kill_all, self.kill_all_nodes, self.lose_all_control])
        serves_on = self.random.uniform(5, 10)
        def run():
            acknowledged = target.leave(how, late)
            if acknowledged is None:
                self.counts["leaves not acknowledged"] += 1
            else:
                if fault:
                    self.next_faults.append(fault)
                self.judge_leave(target, acknowledged, acknowledged + serves_on)
            self.fleet.terminate(name)
            self.start(name)
        self.call_after(0, self.make_release(name, run))

    def judge_leave(self, target, acknowledged, end):
        time.sleep(max(0, acknowledged + DRAIN_SECONDS - time.monotonic()))
        size = target.executed_bytes()
        time.sleep(max(0, end - time.monotonic()))
        self.counts["leaves judged"] += 1
        if target.executed_bytes() != size:
            self.problems.append("P7 target-%d got work more than %g s after its leave was acknowledged"
                                 % (target.i, DRAIN_SECONDS))

    # ---- Choice of the next fault ----

    def step(self):
        """Injects one fault, chosen at random by weight."""
        if self.next_faults:
            fault = self.next_faults.pop(0)
            self.counts[fault.__name__] += 1
            fault()
            return
        faults = [(2, self.kill_control), (2, self.freeze_control), (2, self.stop_control),
                  (1, self.lose_majority), (1, self.lose_all_control), (2, self.wipe_control),
                  (3, self.kill_node), (2, self.freeze_node), (2, self.stop_node),
                  (1, self.restart_nodes_in_series), (1, self.kill_half_of_nodes), (1, self.kill_leaving_node),
                  (1, self.stop_frozen_node), (1, self.reload_settings), (2, self.kill_target),
                  (1, self.freeze_target), (2, self.cut_zone), (2, self.delay_vm),
                  (2, self.reset_vm), (2, self.silence_connections), (2, self.inject_disk_fault),
                  (5, self.change), (2, self.race), (2, self.resend), (1, self.burst), (2, self.drain),
                  (6, self.leave_target), (1, self.kill_all)]
        fault = self.random.choices([f for _, f in faults], [weight for weight, _ in faults])[0]
        self.counts[fault.__name__] += 1
        fault()
