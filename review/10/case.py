"""Hundreds of changes of a large configuration fill the memory of the core."""

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
CHANGES = 700  # "hundreds of changes", one after the other
CHANGES_S = 95  # the operator sends no more of them after this time
FEW_CHANGES = 3  # without the disruption
MEMORY_MB = 256  # of a core machine of the site
OWN_ENDS = 3  # ends of one process that count
WATCH_S = 10  # for the read at the end


def template():
    routes = []
    for i in range(ROUTES):
        one = f.route(f"r-{i:07d}", f"h{i % 7}.example", f"/lepu{i}/",
                      "safe" if i % 3 else "unsafe", f"SERVICE{i % 3}",
                      timeout_ms=987654321)
        one["spec"]["target_latency_ms"] = 987654322
        one["spec"]["priority"] = 987654323
        routes.append(one)
    return json.dumps(f.configuration(0xfffffff1, 0xfffffff0, routes, SERVICES))


TEMPLATE = template()


def change(version, base):
    """The whole configuration; each route moves to the next service and has
    other times and another priority."""
    text = (TEMPLATE.replace("fffffff1", f"{version:08x}")
            .replace("fffffff0", f"{base:08x}")
            .replace("987654321", str(1000 + version))
            .replace("987654322", str(400 + version % 500))
            .replace("987654323", str(version % 7)))
    for i in range(len(SERVICES)):
        text = text.replace(f"SERVICE{i}",
                            SERVICES[(i + version) % len(SERVICES)])
    return text.encode()


def counted(deployment):
    return [vm for vm in deployment.controls if len(vm.own_ends) >= OWN_ENDS]


def run(folder, record, trouble):
    deployment = f.Fleet(folder, record, SERVICES)
    for vm in deployment.controls:
        vm.memory_limit_mb = MEMORY_MB
    operator = f.Operator(deployment, record, patience_s=3.0)
    version = 0
    found = None
    try:
        deployment.start()
        begin = record.now()
        wanted = CHANGES if trouble else FEW_CHANGES
        while (version < wanted and record.now() - begin < CHANGES_S
               and len(counted(deployment)) < 2):
            status = operator.put(change(version + 1, version), 3,
                                  f"version {version + 1}", quiet=True)
            if status == 200:
                version += 1
            elif status is not None:
                raise f.NotRun(f"version {version + 1} was refused: {status}")
            if status == 200 and version % 50 == 0:
                most = ", ".join(f"{vm.most_memory_mb:.0f}"
                                 for vm in deployment.controls)
                record(f"{version} changes are acknowledged; most memory of the"
                       f" core machines, MiB: {most}")
        if version == 0:
            raise f.NotRun("the first configuration was not acknowledged")
        record(f"{version} changes are acknowledged")
        end = record.now() + WATCH_S
        found = operator.read(WATCH_S)
        time.sleep(max(0.0, end - record.now()))
    finally:
        deployment.stop()
    record("read back: " + (found["version"] if found else "nothing")
           + f", acknowledged {version:08x}")
    for vm in deployment.controls:
        record(f"{vm.name} ended by itself {len(vm.own_ends)} times, most memory"
               f" {vm.most_memory_mb:.0f} MiB of {MEMORY_MB}")
    often = counted(deployment)
    broken = 2 * len(often) >= len(deployment.controls)
    record(f"{len(often)} of {len(deployment.controls)} core machines ended by"
           f" themselves {OWN_ENDS} times or more: "
           + ("Fault broken" if broken else "Fault held"))
    return f.EXIT_BROKEN if broken else f.EXIT_HELD


f.main(HERE, run, TROUBLE)
