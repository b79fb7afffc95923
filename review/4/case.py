"""UNASKED: a heartbeat of another writer changes the caller service."""
import json
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
import deployment as d

HOST = "shop.example"
OFFICE = "office.example"


def case(folder, trouble):
    fleet = d.Deployment(folder, ["shop", "shop", "office"])
    try:
        fleet.start(d.configuration(1, 0, [
            d.route("r-shop", HOST, "shop"), d.route("r-office", OFFICE, "office"),
            d.service("shop"), d.service("office"), d.limits()]))
        node = fleet.nodes[2]
        office = fleet.upstreams[2]

        def served():
            answers = [fleet.request(fleet.nodes[i % 2], OFFICE, "/b")[1] for i in range(20)]
            return sum(1 for answer in answers if answer is not None and answer.status == 200)

        def send(count):
            for _ in range(count):
                fleet.request(node, HOST, "/a")
                time.sleep(0.02)

        send(20)
        before = served()
        if trouble:
            same_id = os.environ.get("SAME_ID", "0") == "1"  # variant, see claim.txt
            instance = office.instance if same_id else "i-0badbeat"
            body = {"service": "warehouse", "address": "%s:8399" % node.ip, "zone": node.zone,
                    "version": "v1", "slots": 6, "state": "ready", "warmup_left_ms": 0,
                    "sequence": 1, "born": int(time.time() * 1000)}
            if same_id:
                body.update(address=node.app_address, sequence=office.sequence + 1, born=office.born)
            answer = d.call(node.control_address, "PUT", "/api/instances/" + instance,
                            [("Content-Type", "application/json")], json.dumps(body).encode(), 1.0)
            fleet.record.line("another writer: PUT %s %s -> %d" % (instance, json.dumps(body), answer.status))
        else:
            same_id = False
        time.sleep(0.05 if same_id else 4.0)  # 4 s: at least two heartbeats of the real upstream follow
        at = d.now()
        send(50)
        after = served()
        wrong = [run for upstream in fleet.upstreams[:2] for run in upstream.runs
                 if run[0] > at and run[2] != "office"]
        text = ("%d of 50 requests that began at the machine of `office` ran with another X-Caller-Service%s; "
                "the real upstream of `office` served %d of 20 before and %d of 20 after"
                % (len(wrong), " (%s)" % wrong[0][2] if wrong else "", before, after))
        fleet.record.line(text)
        return bool(wrong), text
    finally:
        fleet.close()


d.run_case(case)
