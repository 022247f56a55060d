"""Stand-in of one replica of a service: keeps its entry in the store, answers health checks, and runs
requests, as PROTOCOL.md describes it. Like every replica, it turns a request away with 421 that expects another
instance, or weights of another version. It has no faults of its own."""

import socket
import threading
import time
import uuid

HEARTBEAT_S = 1.2
# Events of each stream.
EVENTS = 5


class EndOfConnection(Exception):
    """The answer has neither a length nor chunks, and ends with the connection."""


class Replica:
    def __init__(self, store, service, zone="ffairfach-1", weights=1, slots=32, work_s=0.015):
        self.store, self.service, self.zone, self.slots = store, service, zone, slots
        self.id = "i-" + uuid.uuid4().hex[:8]
        self.weights, self.work_s = weights, work_s
        self.lock = threading.Lock()
        self.seen = []
        self.state = "ready"
        self.alive = True
        self.sequence = 0
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=256)
        self.address = "127.0.0.1:%d" % self.listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()
        threading.Thread(target=self._beat, daemon=True).start()

    def write_entry(self):
        self.sequence += 1
        self.store.put("servers", self.id, {
            "service": self.service, "address": self.address, "zone": self.zone, "version": "v%d" % self.weights,
            "slots": self.slots, "state": self.state, "cold-left-ms": 0, "seq": self.sequence})

    def _beat(self):
        while self.alive:
            self.write_entry()
            time.sleep(HEARTBEAT_S)

    def drain(self):
        """Says that it drains; goes on serving."""
        self.state = "draining"
        self.write_entry()

    def leave(self):
        """Ends, and its entry goes."""
        self.alive = False
        self.listener.close()
        self.store.remove("servers", self.id)

    def _accept(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection):
        reader = connection.makefile("rb")
        try:
            while True:
                request = read_request(reader)
                if request is None:
                    return
                for part in self._answer(*request):
                    connection.sendall(part)
        except (OSError, EndOfConnection):
            pass
        finally:
            reader.close()
            connection.close()

    def _answer(self, line, headers, body):
        _, path, _ = line.split(" ", 2)
        if path == "/health":
            status = "200 OK" if self.state == "ready" else "503 Service Unavailable"
            yield whole(status, {"X-Instance-Id": self.id}, b"")
            return
        request_id = headers.get("x-request-id", "")
        common = {"X-Request-Id": request_id}
        expected = headers.get("x-expect-instance"), headers.get("x-expect-version")
        turned_away = expected[0] not in (None, self.id) or expected[1] not in (None, str(self.weights))
        with self.lock:
            self.seen.append((time.time(), request_id, line, expected[1], not turned_away))
        if turned_away:
            away = dict(common, **{"X-Instance-Id": self.id, "X-Not-Executed": "1"})
            yield whole("421 Misdirected Request", away, b"")
            return
        run = dict(common, **{"X-Response-Seal": "seal." + request_id, "X-Weight-Versions": str(self.weights),
                              "Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"})
        yield head("200 OK", run)
        for number in range(1, EVENTS + 1):
            time.sleep(self.work_s / EVENTS)
            event = f"id: {number}\ndata: {request_id}-{number}\n\n".encode()
            yield b"%x\r\n%s\r\n" % (len(event), event)
        yield b"0\r\n\r\n"


def read_request(reader):
    line = reader.readline().decode("latin-1").strip()
    if not line:
        return None
    headers = {}
    while True:
        header = reader.readline().decode("latin-1").strip()
        if not header:
            break
        name, _, value = header.partition(":")
        headers[name.strip().lower()] = value.strip()
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int(reader.readline().split(b";")[0], 16)
            body += reader.read(size)
            reader.readline()
            if size == 0:
                return line, headers, body
    return line, headers, reader.read(int(headers.get("content-length", 0)))


def head(status, headers):
    lines = ["HTTP/1.1 " + status] + [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def whole(status, headers, body):
    return head(status, dict(headers, **{"Content-Length": len(body)})) + body
