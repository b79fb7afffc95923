"""An invalid configuration whose error message ends the control process."""

import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib-2"))
import fleet as f  # noqa: E402

# With TROUBLE=0 the disruption is left out.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SERVICES = ["huvo11a", "kafi81c", "wuno96b"]
ORDER_S = 40  # how long the operator repeats an order without a clear answer
OWN_ENDS = 3  # ends of one process that count
# A service that the configuration doesn't define: 90 bytes in UTF-8.
UNKNOWN_SERVICE = "器" * 30


def routes(service):
    return [f.route("r-n2ctnfz", "jepu9.example", "/lepu270/", "safe", service),
            f.route("r-s989anu", "hulo84.example", "/xapu221/", "unsafe",
                    "wuno96b")]


def run(folder, record, trouble):
    deployment = f.Fleet(folder, record, SERVICES)
    operator = f.Operator(deployment, record)
    try:
        deployment.start()
        first = f.configuration(1, 0, routes("huvo11a"), SERVICES)
        if operator.put(first, 20, "version 1") != 200:
            raise f.NotRun("the first configuration was not acknowledged")
        deployment.wait_ready()
        time.sleep(4)
        if trouble:
            bad = f.configuration(3, 1, routes(UNKNOWN_SERVICE), SERVICES)
            status = operator.put(bad, ORDER_S, "version 3, invalid")
            record(f"clear answer to the invalid configuration: {status}")
        good = f.configuration(5, 1, routes("kafi81c"), SERVICES)
        status = operator.put(good, ORDER_S, "version 5")
        record(f"clear answer to the valid configuration: {status}")
        time.sleep(1)
    finally:
        deployment.stop()
    for vm in deployment.vms:
        ends = ", ".join(f"{at:.1f} s" for at in vm.own_ends)
        record(f"{vm.name} ended by itself {len(vm.own_ends)} times: {ends}")
        for line in sorted(vm.last_words()):
            record(f"{vm.name} wrote: {line}")
    often = [vm for vm in deployment.controls if len(vm.own_ends) >= OWN_ENDS]
    broken = 2 * len(often) >= len(deployment.controls)
    record(f"{len(often)} of {len(deployment.controls)} core machines ended by"
           f" themselves {OWN_ENDS} times or more: "
           + ("Fault broken" if broken else "Fault held"))
    return f.EXIT_BROKEN if broken else f.EXIT_HELD


f.main(HERE, run, TROUBLE)
