"""Faults of a soak run: what they do, when they heal, and what operators saw.

All random choices are made on the thread that calls step(), so that a seed
fixes their order; ends and operators' calls run on threads of their own.
"""
import collections
import json
import os
import shutil
import signal
import threading
import time

from fleet import ZONES, get, host, parse_version
from soak_proxy import Rule

LEAVING_SECONDS = 3.0  # promise P7
REPLACE_TRIES = 60     # a second apart; other faults may last meanwhile


def prefix(zone):
    return host(zone).rsplit(".", 1)[0] + "."


class Faults:
    """Draws faults from a random.Random; each has an end, at which it heals."""

    def __init__(self, fleet, choices):
        self.fleet = fleet
        self.random = choices
        self.timers = []
        self.busy = set()       # names of processes, disks and zones under a fault
        self.judging = False    # a drain is judged; control and links stay well
        self.replacing = False  # a lost disk; a second one is not to be borne
        self.accepted = []      # versions that operators were told of
        self.problems = []
        self.counts = collections.Counter()
        self.numbers = 0        # of drafts and rules

    # ---- Time ----

    def later(self, seconds, function):
        """Runs function on time, whatever the main thread waits for."""
        timer = threading.Timer(seconds, function)
        timer.daemon = True
        self.timers.append(timer)
        timer.start()

    def after(self, low, high, function):
        self.later(self.random.uniform(low, high), function)

    def wait_for_ends(self, seconds):
        """Waits until every fault has ended; false when one has not in time."""
        deadline = time.monotonic() + seconds
        while any(timer.is_alive() for timer in self.timers):
            if time.monotonic() > deadline:
                return False
            time.sleep(0.05)
        return True

    def number(self):
        self.numbers += 1
        return self.numbers

    # ---- Choice ----

    def free(self, kind):
        count = len(ZONES) if kind in ("control", "disk") else len(self.fleet.services)
        names = ["%s-%d" % (kind, i) for i in range(count)]
        return [name for name in names if name not in self.busy]

    def take(self, kind, count=1, spare=0):
        """Names of free things, marked as busy; none when too few are left."""
        free = self.free(kind)
        if len(free) < count + spare or (kind == "control" and self.judging):
            return []
        names = self.random.sample(free, count)
        self.busy.update(names)
        return names

    def release(self, name, function=None):
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
            self.after(low, high, self.release(name, lambda name=name: self.start(name)))

    def freeze(self, names, low, high):
        for name in names:
            self.fleet.send(name, signal.SIGSTOP)
            self.after(low, high, self.release(
                name, lambda name=name: self.fleet.send(name, signal.SIGCONT)))

    def terminate(self, name, first, pause):
        """SIGTERM after `first` seconds and a new start `pause` seconds after the end."""
        def end():
            self.fleet.terminate(name)
            time.sleep(pause)
            self.start(name)
        self.later(first, self.release(name, end))

    def kill_control(self):
        self.kill(self.take("control"), 0.5, 5)

    def freeze_control(self):
        self.freeze(self.take("control"), 0.5, 6)

    def stop_control(self):
        for name in self.take("control"):
            self.terminate(name, 0, self.random.uniform(0.1, 2))

    def lose_majority(self):
        self.kill(self.take("control", 2), 0.3, 4)

    def lose_all_control(self):
        self.kill(self.take("control", 3), 0.1, 3)

    def wipe_control(self):
        if self.replacing:
            return
        for name in self.take("control"):
            self.replacing = True
            self.fleet.kill(name)
            shutil.rmtree(self.fleet.path("data-" + name[-1]))
            self.start(name)
            self.after(1, 2, lambda name=name: self.replace(name, REPLACE_TRIES))

    def replace(self, name, tries):
        """Makes the new identity a voter in place of the lost one."""
        i = int(name[-1])
        try:
            identity, reason = get(self.fleet.control(i, "api"), "/v1/status?stale=1")["self"], ""
        except (OSError, ValueError, KeyError) as error:
            identity, reason = None, repr(error)
        if identity:
            # The client repeats the steps until the new member votes.
            done = self.fleet.client("members", "replace", name, identity, name, ZONES[i],
                                     self.fleet.seen(self.fleet.control(i, "peer")),
                                     self.fleet.control(i, "api"))
            reason = done.stderr.strip() if done.returncode else ""
        if identity and not reason or tries == 0:
            if tries == 0:
                self.problems.append("P9 replace %s: %s" % (name, reason))
            self.replacing = False
            self.busy.discard(name)
            return
        self.later(1, lambda: self.replace(name, tries - 1))

    def kill_node(self):
        self.kill(self.take("node", spare=2), 0.2, 3)

    def freeze_node(self):
        self.freeze(self.take("node", spare=2), 0.2, 2)

    def stop_node(self):
        for name in self.take("node", spare=2):
            self.terminate(name, 0, self.random.uniform(0.1, 2))

    def roll_nodes(self):
        """A series of graceful restarts that overlap."""
        for number, name in enumerate(self.take("node", 4, spare=2)):
            self.terminate(name, 0.3 * number, self.random.uniform(0.1, 0.5))

    def kill_herd(self):
        self.kill(self.take("node", max(2, len(self.fleet.services) // 2)), 0.1, 2)

    def kill_leaving_node(self):
        for name in self.take("node", spare=2):
            self.fleet.send(name, signal.SIGTERM)
            self.later(self.random.uniform(0, 0.5), lambda name=name: self.fleet.kill(name))
            self.after(1, 2, self.release(name, lambda name=name: self.start(name)))

    def stop_frozen_node(self):
        """A node that is to end while it stands still ends gracefully after it wakes."""
        for name in self.take("node", spare=2):
            process = self.fleet.processes[name]  # terminate() takes it off the table
            process.send_signal(signal.SIGSTOP)
            self.after(0.2, 1, lambda process=process: process.send_signal(signal.SIGCONT))
            self.terminate(name, 0.1, 0.2)

    def hang_up(self):
        """SIGHUP to processes of both kinds, which read their settings again."""
        for name in self.random.sample(sorted(self.fleet.processes), 3):
            if not name.startswith(("node", "control")) or name in self.busy:
                continue
            self.fleet.send(name, signal.SIGHUP)

    def kill_target(self):
        self.kill(self.take("target"), 0.2, 4)

    def freeze_target(self):
        self.freeze(self.take("target"), 0.2, 2)

    # ---- Links ----

    def harm_links(self, names, rules, low, high):
        name = "rule-%d" % self.number()
        self.fleet.proxy.set_rules(name, rules)
        def mend():
            self.fleet.proxy.set_rules(name, [])
            self.busy.difference_update(names)
        self.after(low, high, mend)

    def links_of_vm(self):
        """Host of a random VM, and whether a link has an end there."""
        if self.judging:
            return None, None
        i = self.random.randrange(len(ZONES) + len(self.fleet.services))
        name = host(i) if i < len(ZONES) else self.fleet.vm(i - len(ZONES), "peer").split(":")[0]
        return name, lambda link: name in (link.source, link.target[0])

    def cut_zone(self):
        zones = [name for name in ("zone-%d" % n for n in range(len(ZONES))) if name not in self.busy]
        if not zones or self.judging:
            return
        name = self.random.choice(zones)
        self.busy.add(name)
        cut = prefix(int(name[-1]))
        how = self.random.choice(["refuse", "silent", "outward", "inward"])
        rules = []
        for other in (prefix(n) for n in range(len(ZONES)) if prefix(n) != cut):
            out, into = how in ("silent", "outward"), how in ("silent", "inward")
            rules.append(Rule(cut, other, hold_out=out, hold_back=into, refuse=how == "refuse"))
            rules.append(Rule(other, cut, hold_out=into, hold_back=out, refuse=how == "refuse"))
        self.harm_links([name], rules, 2, 8)
        if how == "refuse":
            self.fleet.proxy.reset(lambda link: any(rule.matches(link) for rule in rules))

    def delay_vm(self):
        name, _ = self.links_of_vm()
        if name:
            delay = self.random.uniform(0.02, 0.4)
            self.harm_links([], [Rule(source=name, delay=delay), Rule(target=name, delay=delay)], 1, 5)

    def reset_vm(self):
        _, has_end = self.links_of_vm()
        if has_end:
            self.fleet.proxy.reset(has_end)

    def silence_connections(self):
        """What is open falls silent for good; new connections work."""
        _, has_end = self.links_of_vm()
        if has_end:
            self.fleet.proxy.freeze(has_end)

    # ---- Disks ----

    def harm_disk(self):
        if self.judging:
            return
        for name in self.take("disk"):
            i = int(name[-1])
            self.fleet.set_disk(i, self.random.choice(["slow 20", "slow 200", "stalled", "full"]))
            self.after(1, 5, self.release(name, lambda: self.fleet.set_disk(i, "")))

    # ---- Operators ----

    def draft(self):
        return self.fleet.path("draft-%d.json" % self.number())

    def note(self, done):
        if done.returncode == 0:
            self.accepted.append(parse_version(json.loads(done.stdout)["version"]))

    def change(self, count=1):
        work = [(self.random.randrange(50, 500), self.draft()) for _ in range(count)]
        def run():
            for value, draft in work:
                self.note(self.fleet.accept("services/lots", "queue.limit", value, draft))
        self.later(0, run)

    def burst(self):
        self.change(10)

    def race(self):
        """Two drafts on one base: at most one may be accepted."""
        work = [(self.draft(), str(self.random.randrange(50, 500))) for _ in range(2)]
        def run():
            for draft, value in work:
                self.fleet.client("branch", "set", "services/ledgers", "queue.limit", value, "--draft", draft)
            results = [self.fleet.client("accept", "--draft", draft, "--json") for draft, _ in work]
            for done in results:
                self.note(done)
            # The client rebases a draft over other branches, not over the same one.
            if sum(done.returncode == 0 for done in results) == 2:
                self.problems.append("P9 both changes of a race were accepted")
        self.later(0, run)

    def resend(self):
        """The same draft twice, as after a lost answer: one version."""
        draft, value = self.draft(), str(self.random.randrange(50, 500))
        def run():
            self.fleet.client("branch", "set", "offices/hasami", "share.weight", value, "--draft", draft)
            if not os.path.exists(draft):
                return  # no control VM was there to start the draft from
            shutil.copy(draft, draft + ".copy")
            results = [self.fleet.client("accept", "--draft", one, "--json") for one in (draft, draft + ".copy")]
            self.note(results[0])
            if all(done.returncode == 0 for done in results) and \
                    len({json.loads(done.stdout)["version"] for done in results}) == 2:
                self.problems.append("P9 a resent change got another version")
        self.later(0, run)

    # ---- Leaving targets ----

    def drain(self):
        """No new work later than 3 s after the change is accepted."""
        free = [name for name in self.free("node") if name.replace("node", "target") not in self.busy]
        others = [name for name in self.busy if not name.startswith(("node", "target"))]
        if not free or others or self.judging:
            return
        name = self.random.choice(free)
        i = int(name.split("-")[1])
        names = [name, "target-%d" % i]
        self.busy.update(names)
        self.judging = True
        executed = self.fleet.path("executed-%d" % i)
        def end():
            self.busy.difference_update(names)
            self.judging = False
        def run():
            if self.fleet.client("drain", name).returncode != 0:
                end()
                return
            time.sleep(LEAVING_SECONDS)
            size = os.path.getsize(executed) if os.path.exists(executed) else 0
            time.sleep(2)
            self.counts["drains judged"] += 1
            if os.path.exists(executed) and os.path.getsize(executed) != size:
                self.problems.append("P7 %s got work after it was to drain" % name)
            self.fleet.client("drain", name, "--undo")
            end()
        self.later(0, run)

    # ---- Draw ----

    def step(self):
        faults = [(2, self.kill_control), (2, self.freeze_control), (2, self.stop_control),
                  (1, self.lose_majority), (1, self.lose_all_control), (2, self.wipe_control),
                  (3, self.kill_node), (2, self.freeze_node), (2, self.stop_node),
                  (1, self.roll_nodes), (1, self.kill_herd), (1, self.kill_leaving_node),
                  (1, self.stop_frozen_node), (1, self.hang_up), (2, self.kill_target),
                  (1, self.freeze_target), (2, self.cut_zone), (2, self.delay_vm),
                  (2, self.reset_vm), (2, self.silence_connections), (2, self.harm_disk),
                  (5, self.change), (2, self.race), (2, self.resend), (1, self.burst), (2, self.drain)]
        fault = self.random.choices([f for _, f in faults], [weight for weight, _ in faults])[0]
        self.counts[fault.__name__] += 1
        fault()
