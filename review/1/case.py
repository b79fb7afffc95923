"""CONFIG: one lost disk after a planned replacement, and an acknowledged
configuration can't be read or followed any more."""
import os
import shutil
import signal
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
import deployment as d

HOST = "shop.example"
SYNC_S = 4
RECOVERY_S = 15
WATCH_S = 45  # three times recovery_s


def config(version, base):
    return d.configuration(version, base, [
        d.route("r-shop", HOST, "shop", timeout_ms=1000 + version), d.service("shop"), d.service("office"), d.limits()])


def leader(fleet, machines):
    """The machine that answers a read itself."""
    end = d.now() + 10
    while d.now() < end:
        for machine in machines:
            try:
                if d.call(machine.control_address, "GET", "/api/config").status == 200:
                    return machine
            except (OSError, ValueError):
                pass
        time.sleep(0.1)
    raise d.CannotRun("no control machine answers reads")


def case(folder, trouble):
    fleet = d.Deployment(folder, ["shop", "office"])
    try:
        fleet.start(config(1, 0))
        # Planned replacement: the new machine first, with an empty disk at a new
        # address; the old one leaves when its successor has had sync_s.
        acting = leader(fleet, fleet.controls)
        old = next(machine for machine in fleet.controls if machine is not acting)
        successor = fleet.add_control(old)
        successor.start()
        time.sleep(SYNC_S + 1)
        if fleet.put_config(config(2, 1))[0] != 200:
            raise d.CannotRun("the second configuration was not acknowledged")
        if leader(fleet, fleet.controls) is not acting:
            raise d.CannotRun("another machine leads now")
        fleet.record.line("machine %s: SIGTERM, it is taken away" % old.name)
        old.send(signal.SIGTERM)
        old.process.wait()
        fleet.controls.remove(old)
        fleet.record.line("machine %s has ended" % old.name)
        status, acknowledged = fleet.put_config(config(3, 2))
        if status != 200:
            raise d.CannotRun("the third configuration was not acknowledged")
        if trouble:
            acting.kill()
            shutil.rmtree(acting.data, ignore_errors=True)
            acting.bootstrap = False
            fleet.record.line("machine %s has lost its disk, %.3f s after the acknowledgement"
                              % (acting.name, d.now() - acknowledged))
            time.sleep(0.5)
            acting.start()
        back = d.now()
        if trouble:
            time.sleep(RECOVERY_S)
        # Read back, again and again, and send one more change.
        read = None
        while read is None and d.now() < back + WATCH_S:
            try:
                read = fleet.get_config(3)
                fleet.record.line("operator reads version %s" % read["version"])
            except d.CannotRun:
                fleet.record.line("operator: no machine answers the read with 200")
        following = None
        if read is not None:
            following, _ = fleet.put_config(config(4, 3))
        else:
            following, _ = fleet.put_config(config(4, 3), 5)
        ended = [m.name for m in fleet.machines if m is not old and m.process.poll() is not None]
        if ended:
            raise d.CannotRun("ended: %s" % ended)
        good = read is not None and read["version"] == "00000003"
        text = ("%.0f s after all machines were back the read gives %s; the next change is answered %s"
                % (d.now() - back, "version " + read["version"] if read else "no configuration", following))
        fleet.record.line(text)
        return not good, text
    finally:
        fleet.close()


d.run_case(case)
