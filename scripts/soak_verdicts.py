"""Checks the promises of docs/design.md after a soak run.

Each judge_ function adds the breaches that it finds to the list of the promise
("P1" to "P9") in the verdicts; "notes" lists observations that are no breaches.
"""
import collections
import json
import re
import time

from fleet import get_json, parse_version

IN_FORCE_SECONDS = 10.0  # limit of promise P9, from the end of the last fault
# Numbers of the nodes' events, as in the field code= of a log line.
PROCESS_STARTED = 1000
NODE_READY = 2000
CONFIG_APPLIED = 2001
SERVING_BELOW_FLOOR = 2003
DRAIN_CUT_SHORT = 2101
EVENT_PATTERN = re.compile(r" code=(\d{4}) event=(\w+)(.*)$")


def new_verdicts():
    return {name: [] for name in ["P%d" % n for n in range(1, 10)] + ["notes"]}


def node_events(fleet, i):
    """Yields (number, fields) of the events in a node's log, oldest first.

    The log spans all restarts of the node.
    """
    with open(fleet.path("node-%d.log" % i), errors="replace") as file:
        for line in file:
            match = EVENT_PATTERN.search(line)
            if match:
                yield int(match[1]), dict(re.findall(r"(\w+)=(\S+)", match[3]))


def judge_versions(fleet, verdicts):
    """Checks P1 and P3 by the events in the logs of the nodes."""
    digests = collections.defaultdict(set)
    for i in range(len(fleet.services)):
        newest, ready, applied, below_floor = (0, 0), False, (0, 0), False
        for number, fields in node_events(fleet, i):
            if number == PROCESS_STARTED:
                ready, applied, below_floor = False, (0, 0), False
            elif number == SERVING_BELOW_FLOOR:
                below_floor = True
                verdicts["notes"].append("node-%d served below its version floor and logged it" % i)
            elif number == CONFIG_APPLIED:
                version = parse_version(fields["version"])
                digests[version].add(fields.get("digest"))
                if version < applied:
                    verdicts["P1"].append("node-%d applied %s after %s" % (i, version, applied))
                applied = version
            elif number == NODE_READY:
                ready = True
            if ready:
                if applied < newest and not below_floor:
                    verdicts["P1"].append("node-%d was ready at %s after it had served %s" % (i, applied, newest))
                newest = max(newest, applied)
    for version, seen in digests.items():
        if len(seen) != 1 or None in seen:
            verdicts["P3"].append("version %s has digests %s" % (version, sorted(map(str, seen))))
    verdicts["notes"].append("%d versions were seen in force" % len(digests))


def judge_convergence(fleet, faults, verdicts):
    """Checks P9: the history has all accepted versions, every node has the newest."""
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
                    status = get_json(fleet.vm_address(i, "local"), "/status")
                    if parse_version(status["version"]) != newest:
                        behind.append("node-%d at %s" % (i, status["version"]))
                except (OSError, ValueError) as error:
                    behind.append("node-%d: %r" % (i, error))
            if not behind:
                break
        time.sleep(0.2)
    if last is None:
        verdicts["P9"].append("the client could not read the history: " + done.stderr.strip())
        return
    if behind:
        verdicts["P9"].append("newest version %s is not in force on: %s" % (newest, ", ".join(behind)))
    lost = [version for version in faults.accepted if version not in versions]
    if lost:
        verdicts["P9"].append("accepted but not in the history: %s" % lost)
    if len(set(faults.accepted)) != len(faults.accepted):
        verdicts["P9"].append("two accepted changes share a version")


def judge_requests(fleet, load_status, verdicts):
    """Checks P2 and P4 to P6 by the load generator's results, which include its
    comparison with the execution records of the targets.
    """
    with open(fleet.path("load.json")) as file:
        load = json.load(file)
    total, check = load["all"], load["check"]
    if total["wrong"] or total["lost"]:
        verdicts["P4"].append("%d wrong, %d lost" % (total["wrong"], total["lost"]))
    if check["false-not-run"]:
        verdicts["P5"].append("%d requests were executed although refused as not run" % check["false-not-run"])
    if check["doubles"]:
        verdicts["P6"].append("%d requests were executed twice" % check["doubles"])
    if load_status != 0 and not any(verdicts[p] for p in ("P4", "P5", "P6")):
        verdicts["P4"].append("the load generator ended with status %d" % load_status)
    # The services stay configured throughout, so a ready node has a route for each.
    no_route = load["statuses"].get("404", 0)
    if no_route:
        verdicts["P2"].append("%d requests found no route" % no_route)
    verdicts["notes"].append("%d requests: %d answered, %d not run, %d unknown" % (
        load["total"], total["answered"], total["not-run"], total["unknown"]))


def judge_shutdown(fleet, verdicts):
    """Checks P8 by the exit statuses of processes and the logs of the nodes."""
    for name in fleet.unclean_exits:
        verdicts["P8"].append("exit status other than 0 on SIGTERM: " + name)
    for name in list(fleet.processes):
        fleet.note_own_end(name)
    for name in fleet.own_ends:
        verdicts["P8"].append("ended by itself with status " + name)
    for i in range(len(fleet.services)):
        for number, fields in node_events(fleet, i):
            if number == DRAIN_CUT_SHORT:
                verdicts["P8"].append("node-%d shut down with open requests: %s" % (i, fields))


def judge_callers(fleet, callers, verdicts):
    """Checks P4 and P8 by comparing pipelined requests with the execution records."""
    executed = set()
    for i in range(len(fleet.services)):
        try:
            with open(fleet.path("executed-%d" % i)) as file:
                executed.update(json.loads(line)["id"] for line in file if line.endswith("\n"))
        except FileNotFoundError:
            continue  # this target executed no request
    for caller in callers:
        for problem in caller.problems:
            verdicts[problem[:2]].append(problem)
        cut = sorted(caller.unanswered & executed)
        if cut:
            verdicts["P8"].append("%s: executed, but a node shut down without the answer: %s" % (caller.name, cut[:5]))
    verdicts["notes"].append("%d pipelined requests, %d answered, %d left unanswered by nodes that shut down" % (
        sum(caller.sent for caller in callers), sum(caller.answered for caller in callers),
        sum(len(caller.unanswered) for caller in callers)))
