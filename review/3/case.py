"""DRAIN: a target that has left is used again after its node was restarted."""
import os
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
import deployment as d

HOST = "shop.example"


def case(folder, trouble):
    fleet = d.Deployment(folder, ["shop", "shop", "office"])
    try:
        fleet.start(d.configuration(1, 0, [
            d.route("r-shop", HOST, "shop", "unsafe"), d.service("shop"), d.service("office"), d.limits()]))
        for upstream in fleet.upstreams:
            upstream.work_s = 0.15
        leaver = fleet.upstreams[0]
        node, client_node = fleet.nodes[0], fleet.nodes[2]

        stop = threading.Event()

        answers = {}  # attempt id -> status or None

        def send():
            attempt, answer = fleet.request(client_node, HOST, "/a", "POST", b"one flawed piece")
            answers[attempt] = answer.status if answer is not None else None

        def client():
            while not stop.is_set():
                threading.Thread(target=send, daemon=True).start()
                time.sleep(0.05)

        threading.Thread(target=client, daemon=True).start()
        time.sleep(2.0)
        late = leaver.report()  # sent now, arrives late
        if leaver.leave() != 200:
            raise d.CannotRun("the DELETE was not acknowledged")
        left = d.now()
        time.sleep(0.3)
        if trouble:
            node.kill()
            time.sleep(0.5)
            node.start()
        time.sleep(max(0.0, left + 2.5 - d.now()))
        leaver.send_report(late, "(a heartbeat from before the DELETE, late)")
        # The upstream goes on serving, as the pages allow ("at times many seconds").
        time.sleep(8.0)
        leaver.exit()
        stop.set()
        time.sleep(1.2)
        # Machines are in touch again one stability window after the start.
        in_touch = node.started + d.STABILITY_WINDOW_MS / 1000
        bound = max(left + d.DRAIN_MS / 1000, in_touch)
        late_runs = [run for run in leaver.runs if run[0] > bound]
        before = [run for run in leaver.runs if run[0] < left]
        if not before:
            raise d.CannotRun("the upstream got no request before it left")
        unanswered = [run for run in late_runs if answers.get(run[1]) != 200]
        text = ("%d requests reached the upstream more than %.1f s after its DELETE was acknowledged; "
                "%d of them were running there when it exited and got no success"
                % (len(late_runs), bound - left, len(unanswered)))
        fleet.record.line(text)
        return bool(late_runs), text
    finally:
        fleet.close()


d.run_case(case)
