"""Two lost disks, the second one after the first machine had its sync_s."""

import json
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib-2"))
import fleet as f  # noqa: E402

# With TROUBLE=0 the disruption is left out.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SERVICES = ["huvo11a", "kafi81c", "wuno96b"]
# The site's idle_routes and what one big_config adds.
ROUTES = 1120 + 1480
CHANGES = 800  # "hundreds of changes", one after the other
CHANGES_S = 60  # the operator sends no more of them after this time
DOWN_S = 1.0
SYNC_S = 6.0  # of the site: a machine counts as lost for so long after it is back
MARGIN_S = 0.5
RECOVERY_S = 15.0  # of the site
STABILITY_S = 3.0  # of the site


def template():
    routes = [f.route(f"r-{i:07d}", f"h{i % 7}.example", f"/lepu{i}/",
                      "safe" if i % 3 else "unsafe", SERVICES[i % 3],
                      timeout_ms=987654321)
              for i in range(ROUTES)]
    return json.dumps(f.configuration(0xfffffff1, 0xfffffff0, routes, SERVICES))


TEMPLATE = template()


def change(version, base):
    """The whole configuration with other time-outs."""
    return (TEMPLATE.replace("fffffff1", f"{version:08x}")
            .replace("fffffff0", f"{base:08x}")
            .replace("987654321", str(1000 + version))).encode()


def lose_disk_of_leader(deployment, operator):
    """after_ack_wipe: the machine that acknowledged a change loses its disk."""
    vm = next(vm for vm in deployment.controls
              if vm.ip == operator.acknowledged_by)
    vm.lose_disk(DOWN_S)


def run(folder, record, trouble):
    deployment = f.Fleet(folder, record, SERVICES)
    operator = f.Operator(deployment, record, patience_s=3.0)
    version = 0

    def accept_next(note, quiet=False):
        nonlocal version
        status = operator.put(change(version + 1, version), 20, note, quiet)
        if status != 200:
            raise f.NotRun(f"{note} was not acknowledged: {status}")
        version += 1

    try:
        deployment.start()
        accept_next("version 1")
        deployment.wait_ready()
        begin = record.now()
        while record.now() - begin < CHANGES_S and version < CHANGES:
            accept_next(f"version {version + 1}", quiet=True)
        record(f"{version} changes of {ROUTES} routes are acknowledged")
        for vm in deployment.controls:
            record(f"{vm.name} {vm.memory()}, {vm.disk_mb():.0f} MB on disk")
        if trouble:
            lose_disk_of_leader(deployment, operator)
        time.sleep(SYNC_S + MARGIN_S)
        accept_next(f"version {version + 1}, the last one")
        if trouble:
            lose_disk_of_leader(deployment, operator)
        found = operator.read(RECOVERY_S + STABILITY_S)
        ends = [vm.name for vm in deployment.vms if vm.own_ends]
        if ends:
            record("ended by themselves: " + ", ".join(ends))
    finally:
        deployment.stop()
    if found is None:
        record(f"no node gave the configuration until {RECOVERY_S:.0f} +"
               f" {STABILITY_S:.0f} s after the last machine was back: version"
               f" {version:08x}, acknowledged, is gone: LOST broken")
        return f.EXIT_BROKEN
    if int(found["version"], 16) < version or len(
            found["resources"]) != ROUTES + len(SERVICES) + 1:
        record(f"read back {found['version']}, acknowledged {version:08x}:"
               " LOST broken")
        return f.EXIT_BROKEN
    record("LOST held")
    return f.EXIT_HELD


f.main(HERE, run, TROUBLE)
