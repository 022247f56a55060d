"""The case of claim.txt as a script: the three machines that the seeds name are lost for good, three new ones come
with the seeds of before, and get newer seeds with a SIGHUP."""

import http.client
import json
import os
import random
import signal
import sys
import threading
import time
import uuid

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins"))
import daemons  # noqa: E402
import platform_store  # noqa: E402
import replica  # noqa: E402

TROUBLE = os.environ.get("TROUBLE") != "0"
BOUNDS = daemons.BOUNDS
DAEMONS, SEEDS, REPLICAS = 5, 3, 4
LOST_AT, NEW_AFTER_S, SEED_LAG_S = 6.0, 2.0, BOUNDS["seed-lag-s"]
DEMAND_AT, END_AT = 14.0, 44.0
PER_S, BURST, TOKENS, REQUESTS_PER_S = 20_000, 20_000, 4_000, 36.0
WINDOW_S = BOUNDS["quota-window-s"]
ALLOWED = (PER_S * WINDOW_S + BURST) * (1 + BOUNDS["quota-overage"]) + BOUNDS["quota-slack"]
HOST, KEY, DEADLINE_MS = "becws.example", "k-tywi-1", 4000
CONFIGURATION = {
    "version": 7,
    "routes": [{"name": "r-blawd", "host": HOST, "path-prefix": "/blawd/", "kind": "streaming", "timeout-ms": 4000,
                "target-latency-ms": 1000, "gap-target-ms": 500, "priority": 0, "service": "bara", "attempts": 2,
                "public": False, "session-affinity": True, "stream-resume": True}],
    "services": [{"name": "bara", "health-path": "/health", "max-conns": 620, "protocol": "h1", "tls": False}],
    "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000,
               "idle-timeout-ms": 15000},
    "tenants": [{"name": "tywi", "api-keys": [KEY], "priority": 1, "unit": "tokens", "plain-tokens": 200,
                 "per-s": PER_S, "burst": BURST}],
}


class Clients:
    """Many requests of one tenant, evenly over the daemons that run."""

    def __init__(self, fleet):
        self.fleet, self.lock, self.rows = fleet, threading.Lock(), []

    def play(self, begun):
        rng, threads, number = random.Random(1), [], 0
        while time.monotonic() < begun + END_AT:
            thread = threading.Thread(target=self._request, args=(self.fleet[number % len(self.fleet)],))
            thread.start()
            threads.append(thread)
            number += 1
            time.sleep(rng.uniform(0.5, 1.5) / REQUESTS_PER_S)
        for thread in threads:
            thread.join()

    def _request(self, daemon):
        request_id, sent = uuid.uuid4().hex[:16], time.time()
        connection = http.client.HTTPConnection(*daemon.front, timeout=DEADLINE_MS / 1000)
        try:
            connection.request("POST", "/blawd/1", b"{}", {
                "Host": HOST, "X-Request-Id": request_id, "X-Deadline-Ms": str(DEADLINE_MS), "X-Model": "m",
                "X-Token-Counts": f"{TOKENS - 20},20", "Authorization": "Token " + KEY})
            answer = connection.getresponse()
            answer.read()
            status = str(answer.status)
        except (OSError, http.client.HTTPException) as error:
            status = type(error).__name__
        finally:
            connection.close()
        with self.lock:
            self.rows.append((sent, request_id, daemon.name, status))


def set_seeds(daemon, seeds):
    with open(daemon.settings) as file:
        settings = json.load(file)
    settings["seeds"] = [f"{seed.ip}:8229" for seed in seeds]
    settings["bootstrap"] = False
    with open(daemon.settings, "w") as file:
        json.dump(settings, file)


def replace_seeds(fleet, new, begun):
    """Returns the daemons that run from then on."""
    old, rest = fleet[:SEEDS], fleet[SEEDS:]
    time.sleep(max(0.0, begun + LOST_AT - time.monotonic()))
    for daemon in old:
        daemon.kill()
    time.sleep(NEW_AFTER_S)
    for daemon in new:
        set_seeds(daemon, old)
        daemon.start()
    time.sleep(max(0.0, SEED_LAG_S - NEW_AFTER_S))
    for daemon in rest + new:
        set_seeds(daemon, rest + new[:1])
        daemon.send_signal(signal.SIGHUP)
    return rest + new


def main():
    # So that the daemons are ended too when this script is.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    folder = daemons.temporary_folder()
    store = platform_store.Store()
    port = platform_store.start(store)
    store.put("config", "main", CONFIGURATION)
    replicas = [replica.Replica(store, "bara") for _ in range(REPLICAS)]
    everyone = daemons.fleet(DAEMONS + SEEDS, port, folder)
    fleet, new = everyone[:DAEMONS], everyone[DAEMONS:]
    try:
        for daemon in fleet:
            daemon.start()
        if not all(daemon.wait_ready() for daemon in fleet):
            print("the daemons did not become ready")
            return 2
        begun = time.monotonic()
        running = replace_seeds(fleet, new, begun) if TROUBLE else fleet
        if not all(daemon.wait_ready() for daemon in running):
            print("the new daemons did not become ready")
            return 2
        time.sleep(max(0.0, begun + DEMAND_AT - time.monotonic()))
        clients = Clients(running)
        clients.play(begun)
    finally:
        for daemon in everyone:
            daemon.kill()
    return judge(clients.rows, replicas)


def judge(rows, replicas):
    """QUOTA, as RULES.md has it: tokens of the requests that were sent in a window, and arrived in it at a replica
    that ran them."""
    sent = {request_id: at for at, request_id, _, _ in rows}
    runs = sorted((sent[request_id], at, request_id)
                  for one in replicas for at, request_id, _, _, ran in one.seen if ran and request_id in sent)
    first = {}
    for sent_at, at, request_id in runs:
        first.setdefault(request_id, (sent_at, at))
    spans = sorted(first.values())
    most, when = 0, 0.0
    for index, (begin, _) in enumerate(spans):
        inside = [span for span in spans[index:] if span[0] < begin + WINDOW_S and span[1] <= begin + WINDOW_S]
        if len(inside) * TOKENS > most:
            most, when = len(inside) * TOKENS, begin - rows[0][0]
    with open(os.path.join(HERE, "record.txt"), "w") as out:
        out.write("# sent at, id, daemon, status\n")
        for at, request_id, name, status in sorted(rows):
            out.write(f"{at:.3f} {request_id} {name} {status}\n")
        out.write("# run: sent at, arrived at, id\n")
        for sent_at, at, request_id in runs:
            out.write(f"{sent_at:.3f} {at:.3f} {request_id}\n")
        line = f"most tokens in {WINDOW_S} s: {most}, {when:.1f} s after the first request; allowed: {ALLOWED:.0f}"
        out.write("# " + line + "\n")
    print(line, f"({len(rows)} requests sent, {len(first)} run)")
    if len(rows) * TOKENS < 2 * ALLOWED:
        print("too few requests were sent: the case says nothing")
        return 2
    print("QUOTA is broken" if most > ALLOWED else "QUOTA holds")
    return 1 if most > ALLOWED else 0


if __name__ == "__main__":
    sys.exit(main())
