"""A lost disk right after an old core machine was taken away without notice."""

import os
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib-2"))
import fleet as f  # noqa: E402

# With TROUBLE=0 the disruption is left out.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SERVICES = ["huvo11a", "kafi81c", "wuno96b"]
SYNC_S = 4.0  # of the site
MARGIN_S = 1.0
GAP_S = 0.5  # between the end of the old machine and the lost disk
DOWN_S = 1.0
RECOVERY_S = 15.0  # of the site
STABILITY_S = 3.0  # of the site


def configuration(version, base):
    routes = [f.route("r-n2ctnfz", "jepu9.example", "/lepu270/", "safe",
                      SERVICES[version % 2]),
              f.route("r-s989anu", "hulo84.example", "/xapu221/", "unsafe",
                      "wuno96b")]
    return f.configuration(version, base, routes, SERVICES)


def run(folder, record, trouble):
    deployment = f.Fleet(folder, record, SERVICES)
    operator = f.Operator(deployment, record, patience_s=3.0)
    try:
        deployment.start()
        if operator.put(configuration(1, 0), 20, "version 1") != 200:
            raise f.NotRun("version 1 was not acknowledged")
        deployment.wait_ready()
        time.sleep(SYNC_S + MARGIN_S)
        deployment.add_control("zone-a")
        time.sleep(SYNC_S + MARGIN_S)
        record(f"the successor has had {SYNC_S + MARGIN_S:.0f} s")
        if operator.put(configuration(2, 1), 20, "version 2") != 200:
            raise f.NotRun("version 2 was not acknowledged")
        leader = next(vm for vm in deployment.controls
                      if vm.ip == operator.acknowledged_by)
        old = next(vm for vm in deployment.controls[:3] if vm is not leader)
        old.send(signal.SIGKILL)
        deployment.controls.remove(old)
        record(f"{old.name} is taken away for good, without SIGTERM")
        time.sleep(GAP_S)
        if trouble:
            leader.lose_disk(DOWN_S)
        found = operator.read(RECOVERY_S + STABILITY_S)
    finally:
        deployment.stop()
    if found is None:
        record(f"no node gave the configuration until {RECOVERY_S:.0f} +"
               f" {STABILITY_S:.0f} s after the last machine was back: version"
               " 00000002, acknowledged, is gone: LOST broken")
        return f.EXIT_BROKEN
    if int(found["version"], 16) < 2:
        record(f"read back {found['version']}: LOST broken")
        return f.EXIT_BROKEN
    record("LOST held")
    return f.EXIT_HELD


f.main(HERE, run, TROUBLE)
