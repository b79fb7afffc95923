"""Judges the promises of docs/design.md after a soak run.

Each judge_ function adds breaches under the name of the promise; "notes" holds
what is worth knowing without being a breach.
"""
import collections
import json
import re
import time

from fleet import get, parse_version

IN_FORCE_SECONDS = 10.0  # promise P9 after the last fault has healed
EVENT = re.compile(r" code=(\d{4}) event=(\w+)(.*)$")


def new_verdicts():
    return {name: [] for name in ["P%d" % n for n in range(1, 10)] + ["notes"]}


def node_events(fleet, i):
    """Events of all incarnations of a node, oldest first, from its log."""
    with open(fleet.path("node-%d.log" % i), errors="replace") as file:
        for line in file:
            match = EVENT.search(line)
            if match:
                yield int(match[1]), dict(re.findall(r"(\w+)=(\S+)", match[3]))


def judge_versions(fleet, verdicts):
    """P1 and P3 from the nodes' events."""
    digests = collections.defaultdict(set)
    for i in range(len(fleet.services)):
        newest, ready, held, below = (0, 0), False, (0, 0), False
        for number, fields in node_events(fleet, i):
            if number == 1000:
                ready, held, below = False, (0, 0), False
            elif number == 2003:
                below = True
                verdicts["notes"].append("node-%d served below its floor and said so" % i)
            elif number == 2001:
                version = parse_version(fields["version"])
                digests[version].add(fields.get("digest"))
                if version < held:
                    verdicts["P1"].append("node-%d: %s after %s" % (i, version, held))
                held = version
            elif number == 2000:
                ready = True
            if ready:
                if held < newest and not below:
                    verdicts["P1"].append("node-%d restarted at %s after %s" % (i, held, newest))
                newest = max(newest, held)
    for version, seen in digests.items():
        if len(seen) != 1 or None in seen:
            verdicts["P3"].append("version %s has digests %s" % (version, sorted(map(str, seen))))
    verdicts["notes"].append("%d versions were seen in force" % len(digests))


def judge_convergence(fleet, faults, verdicts):
    """P9: accepted versions are in the history and the newest is everywhere."""
    deadline = time.monotonic() + IN_FORCE_SECONDS
    last, behind = None, None
    while time.monotonic() < deadline:
        done = fleet.client("history", "--limit", "10000", "--json")
        if done.returncode == 0:
            last = json.loads(done.stdout)
            versions = {parse_version(entry["version"]) for entry in last["entries"]}
            newest = max(versions)
            behind = []
            for i in range(len(fleet.services)):
                try:
                    status = get(fleet.vm(i, "local"), "/status")
                    if parse_version(status["version"]) != newest:
                        behind.append("node-%d at %s" % (i, status["version"]))
                except (OSError, ValueError) as error:
                    behind.append("node-%d: %r" % (i, error))
            if not behind:
                break
        time.sleep(0.2)
    if last is None:
        verdicts["P9"].append("no history: " + done.stderr.strip())
        return
    if behind:
        verdicts["P9"].append("newest %s not in force: %s" % (newest, ", ".join(behind)))
    lost = [version for version in faults.accepted if version not in versions]
    if lost:
        verdicts["P9"].append("accepted but not in the history: %s" % lost)
    if len(set(faults.accepted)) != len(faults.accepted):
        verdicts["P9"].append("two accepted changes share a version")


def judge_requests(fleet, load_status, verdicts):
    """P2 and P4 to P6 from the callers' records and the targets' records."""
    with open(fleet.path("load.json")) as file:
        load = json.load(file)
    total, check = load["all"], load["check"]
    if total["wrong"] or total["lost"]:
        verdicts["P4"].append("%d wrong, %d lost" % (total["wrong"], total["lost"]))
    if check["false-not-run"]:
        verdicts["P5"].append("%d requests ran although refused as not run" % check["false-not-run"])
    if check["doubles"]:
        verdicts["P6"].append("%d requests ran twice" % check["doubles"])
    if load_status != 0 and not any(verdicts[p] for p in ("P4", "P5", "P6")):
        verdicts["P4"].append("the load generator ended with status %d" % load_status)
    # Every service stays configured, so a ready node has a route for each.
    no_route = load["statuses"].get("404", 0)
    if no_route:
        verdicts["P2"].append("%d requests found no route" % no_route)
    verdicts["notes"].append("%d requests: %d answered, %d not run, %d unknown" % (
        load["total"], total["answered"], total["not-run"], total["unknown"]))


def judge_shutdown(fleet, verdicts):
    for name in fleet.unclean:
        verdicts["P8"].append("no clean end on SIGTERM: " + name)
    for i in range(len(fleet.services)):
        for number, fields in node_events(fleet, i):
            if number == 2101:
                verdicts["P8"].append("node-%d cut requests: %s" % (i, fields))


def judge_callers(fleet, callers, verdicts):
    """P4 and P8 from the callers that pipeline, against the targets' records."""
    executed = set()
    for i in range(len(fleet.services)):
        try:
            with open(fleet.path("executed-%d" % i)) as file:
                executed.update(json.loads(line)["id"] for line in file if line.endswith("\n"))
        except FileNotFoundError:
            continue  # a target that ran nothing
    for caller in callers:
        for problem in caller.problems:
            verdicts[problem[:2]].append(problem)
        cut = sorted(caller.unanswered & executed)
        if cut:
            verdicts["P8"].append("%s: run but cut by a leaving node: %s" % (caller.name, cut[:5]))
    verdicts["notes"].append("%d pipelined requests, %d answered, %d left open by leaving nodes" % (
        sum(caller.sent for caller in callers), sum(caller.answered for caller in callers),
        sum(len(caller.unanswered) for caller in callers)))
