"""The case of claim.txt: daemons are stopped and started in turn while they pass on streams whose replicas pause, and
some replicas mark the end of an answer by that of its connection."""

import os
import random
import signal
import socket
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
DAEMONS, CLIENTS, REPLICAS, WITHOUT_LENGTH = 3, 24, 9, 4
EVENTS, EVENT_S = 60, 0.03
# A replica that puts a request back in the middle of its stream and reads it anew.
PAUSED_SHARE, PAUSE_S, PAUSE_AT = 0.5, 1.3, range(5, 40)
STOP_AT, GRACE_S, DEADLINE_MS = 5.0, daemons.BOUNDS["grace-s"], 15_000
# Up to 1 s after the grace time, as the rule has it.
PLANNED_S = GRACE_S + 1
REFUSAL_WAIT_S = 0.1
HOST, KEY = "becws.example", "k-tywi-1"
CONFIGURATION = {
    "version": 7,
    "routes": [{"name": "r-blawd", "host": HOST, "path-prefix": "/blawd/", "kind": "streaming", "timeout-ms": 15000,
                "target-latency-ms": 800, "gap-target-ms": 500, "priority": 0, "service": "bara", "attempts": 2,
                "public": False, "session-affinity": True, "stream-resume": True}],
    "services": [{"name": "bara", "health-path": "/health", "max-conns": 620, "protocol": "h1", "tls": False}],
    "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000,
               "idle-timeout-ms": 15000},
    "tenants": [{"name": "tywi", "api-keys": [KEY], "priority": 1}],
}


class StreamReplica(replica.Replica):
    """Streams EVENTS events, and goes on after `Last-Event-Id`. With `has_chunks` false its answers have neither a
    length nor chunks."""

    def __init__(self, store, number):
        self.has_chunks = number >= WITHOUT_LENGTH
        self.rng = random.Random(number)
        self.ends = {}
        super().__init__(store, "bara", slots=128)

    def _answer(self, line, headers, body):
        if " /health " in line or headers.get("x-expect-instance") != self.id:
            yield from super()._answer(line, headers, body)
            return
        request_id = headers["x-request-id"]
        with self.lock:
            self.seen.append((time.time(), request_id, line, headers.get("last-event-id"), True))
            pauses = TROUBLE and self.rng.random() < PAUSED_SHARE
            pause_at = self.rng.choice(PAUSE_AT) if pauses else None
        fields = {"X-Request-Id": request_id, "X-Response-Seal": "seal." + request_id,
                  "Content-Type": "text/event-stream"}
        if self.has_chunks:
            fields["Transfer-Encoding"] = "chunked"
        yield replica.head("200 OK", fields)
        for number in range(int(headers.get("last-event-id") or 0) + 1, EVENTS + 1):
            time.sleep(PAUSE_S if number == pause_at else EVENT_S)
            event = f"id: {number}\ndata: {request_id}-{number}\n\n".encode()
            yield b"%x\r\n%s\r\n" % (len(event), event) if self.has_chunks else event
        self.ends[request_id] = time.time()
        if not self.has_chunks:
            raise replica.EndOfConnection
        yield b"0\r\n\r\n"


class Clients:
    """Clients that stream one request after the other, each over a new connection to a daemon that is ready."""

    def __init__(self, fleet):
        self.fleet, self.lock, self.rows, self.ended = fleet, threading.Lock(), [], False
        self.ready = list(fleet)

    def run(self):
        threads = [threading.Thread(target=self._client, args=(number,)) for number in range(CLIENTS)]
        threads.append(threading.Thread(target=self._balance))
        for thread in threads:
            thread.start()
        return threads

    def _balance(self):
        misses = {daemon: 0 for daemon in self.fleet}
        while not self.ended:
            for daemon in self.fleet:
                misses[daemon] = 0 if daemon.is_ready() else misses[daemon] + 1
            self.ready = [daemon for daemon in self.fleet if misses[daemon] < 2] or list(self.fleet)
            time.sleep(1)

    def _client(self, number):
        rng = random.Random(number)
        time.sleep(rng.random() * EVENTS * EVENT_S)
        while not self.ended:
            daemon, request_id, sent = rng.choice(self.ready), uuid.uuid4().hex[:16], time.time()
            status, events, end = self._stream(daemon, request_id)
            with self.lock:
                self.rows.append((sent, time.time(), daemon.name, request_id, status, events, end))
            if status != "200":
                time.sleep(REFUSAL_WAIT_S)

    def _stream(self, daemon, request_id):
        """Returns the status, the number of events in order, and whether the answer's end was marked."""
        status, events, end = "none", 0, "closed"
        try:
            connection = socket.create_connection(daemon.front, timeout=1)
        except OSError:
            return "not connected", events, end
        with connection, connection.makefile("rb") as answer:
            connection.settimeout(DEADLINE_MS / 1000)
            try:
                connection.sendall((f"POST /blawd/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {request_id}\r\n"
                                    f"X-Deadline-Ms: {DEADLINE_MS}\r\nX-Model: m\r\nX-Token-Counts: 500,180\r\n"
                                    f"Authorization: Token {KEY}\r\nContent-Length: 2\r\n\r\n{{}}").encode())
                line = answer.readline().split()
                status = line[1].decode() if line else "none"
                headers = {}
                while (header := answer.readline().strip()):
                    name, _, value = header.decode().partition(":")
                    headers[name.lower()] = value.strip()
                body = b""
                if headers.get("transfer-encoding") == "chunked":
                    while (size := answer.readline()):
                        if int(size, 16) == 0:
                            end = "whole"
                            break
                        body += answer.read(int(size, 16))
                        answer.readline()
                elif "content-length" in headers:
                    body = answer.read(int(headers["content-length"]))
                    end = "whole"
                else:
                    # Neither a length nor chunks: the close is the end, a reset is not.
                    body = answer.read()
                    end = "whole" if line else "closed"
            except OSError:
                end = "reset"
        while f"data: {request_id}-{events + 1}\n".encode() in body:
            events += 1
        return status, events, end


def main():
    # So that the daemons are ended too when this script is.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    folder = daemons.temporary_folder()
    store = platform_store.Store()
    port = platform_store.start(store)
    store.put("config", "main", CONFIGURATION)
    replicas = [StreamReplica(store, number) for number in range(REPLICAS)]
    fleet = daemons.fleet(DAEMONS, port, folder)
    stops = {}
    try:
        for daemon in fleet:
            daemon.start()
        if not all(daemon.wait_ready() for daemon in fleet):
            print("the daemons did not become ready")
            return 2
        clients = Clients(fleet)
        threads = clients.run()
        time.sleep(STOP_AT)
        for daemon in fleet:
            if TROUBLE:
                stops[daemon.name] = time.time()
                daemon.send_signal(signal.SIGTERM)
                daemon.process.wait(GRACE_S + 1)
                daemon.start()
                if not daemon.wait_ready():
                    return 2
            time.sleep(PLANNED_S)
        clients.ended = True
        for thread in threads:
            thread.join()
    finally:
        for daemon in fleet:
            daemon.kill()
    return judge(clients.rows, replicas, stops)


def judge(rows, replicas, stops):
    """LOST, as RULES.md has it, for a SIGTERM of the machine that accepted the request."""
    passed_on = {seen[1] for one in replicas for seen in one.seen}
    last_end = {}
    for one in replicas:
        for request_id, at in list(one.ends.items()):
            last_end[request_id] = max(at, last_end.get(request_id, 0.0))

    def is_lost(row):
        return row[3] in passed_on and row[4] == "200" and row[6] != "whole"

    def is_counted(row):
        stop = stops.get(row[2])
        late = stop is not None and row[1] - stop > GRACE_S * 5 / 6
        return stop is not None and row[0] <= stop + PLANNED_S and stop <= row[1] <= stop + PLANNED_S and not late

    lost = [row for row in rows if is_lost(row)]
    counted = [row for row in lost if is_counted(row)]
    all_events = [row for row in counted if row[5] == EVENTS]
    run_out = [row for row in counted if row[3] in last_end]
    begun = min(row[0] for row in rows)
    with open(os.path.join(HERE, "record.txt"), "w") as out:
        for name, at in stops.items():
            out.write(f"# SIGTERM {at - begun:.3f} s {name}\n")
        out.write("# sent s, ended s, daemon, id, status, events in order, end, lost, counted\n")
        for row in sorted(rows):
            out.write(f"{row[0] - begun:.3f} {row[1] - begun:.3f} {row[2]} {row[3]} {row[4]} {row[5]} {row[6]} "
                      f"{'lost' if is_lost(row) else '-'} {'counted' if row in counted else '-'}\n")
        out.write("# run: replica, chunks, arrived s, id, Last-Event-Id\n")
        for one in replicas:
            for at, request_id, _, last, _ in one.seen:
                out.write(f"{one.id} {one.has_chunks} {at - begun:.3f} {request_id} {last}\n")
        summary = (f"{len(rows)} streams, {len(lost)} passed on and closed without a whole answer, {len(counted)} of "
                   f"them around a SIGTERM; of these {len(run_out)} had been run to their end, and {len(all_events)} "
                   f"had brought all events")
        out.write("# " + summary + "\n")
    print(summary)
    if len(rows) < 100:
        print("too few streams: the case says nothing")
        return 2
    print("LOST is broken" if counted else "LOST holds")
    return 1 if counted else 0


if __name__ == "__main__":
    sys.exit(main())
