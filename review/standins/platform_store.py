"""Stand-in of the platform: the metadata store (objects by kind and name, lists, watches, conditional
writes) and the cloud API (usage reports, orders), as PROTOCOL.md describes them. It has no faults of its own."""

import json
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, unquote, urlparse

MAX_WAIT_MS = 30_000
# The running servers, by port.
SERVERS = {}


class Store:
    """Objects of all kinds; one counter of revisions rises with each change."""

    def __init__(self):
        self.lock = threading.Condition()
        self.revision = 0
        self.objects = {}
        self.events = []
        self.cloud_calls = []

    def put(self, kind, name, spec):
        """Writes an object as the operator or a replica does. Returns the revision."""
        with self.lock:
            return self._write(kind, name, "spec", spec)["metadata"]["revision"]

    def remove(self, kind, name):
        with self.lock:
            entry = self.objects.pop((kind, name), None)
            if entry is None:
                return
            self.revision += 1
            self._event(kind, entry, True)

    def _write(self, kind, name, part, value):
        old = self.objects.get((kind, name))
        if old is not None and old[part] == value:
            return old
        self.revision += 1
        entry = json.loads(json.dumps(old)) if old else {
            "metadata": {"name": name, "revision": 0, "made": self.revision, "finalizers": [], "deleting": False},
            "spec": None, "status": None}
        entry["metadata"]["revision"] = self.revision
        entry[part] = value
        self.objects[(kind, name)] = entry
        self._event(kind, entry, False)
        return entry

    def _event(self, kind, entry, gone):
        self.events.append((self.revision, kind, {"gone": gone, "object": entry}))
        self.lock.notify_all()

    def listing(self, kind, after):
        with self.lock:
            names = sorted(name for (of, name) in self.objects if of == kind and (after is None or name > after))
            page = names[:500]
            items = [self.objects[(kind, name)] for name in page]
            return {"items": items, "more": len(names) > len(page), "at": self.revision}

    def watch(self, kind, since, wait_ms):
        until = time.monotonic() + min(wait_ms, MAX_WAIT_MS) / 1000
        with self.lock:
            while True:
                events = [event for (at, of, event) in self.events if of == kind and at > since]
                left = until - time.monotonic()
                if events or left <= 0:
                    return {"events": events, "at": self.revision}
                self.lock.wait(left)

    def conditional_write(self, kind, name, part, body):
        """Returns the status and the object."""
        wanted = (body.get("metadata") or {}).get("revision")
        with self.lock:
            old = self.objects.get((kind, name))
            if old is None:
                return 404, None
            if wanted is not None and wanted != old["metadata"]["revision"]:
                return 409, old
            return 200, self._write(kind, name, part, body.get(part))

    def create(self, kind, name, body):
        with self.lock:
            old = self.objects.get((kind, name))
            if old is not None:
                return 409, old
            return 200, self._write(kind, name, "spec", body.get("spec"))


class Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    store = None

    def log_message(self, *_):
        pass

    def parse_request(self):
        if self.server.is_gone:
            # Kept connections end with the address.
            raise ConnectionAbortedError
        return super().parse_request()

    def reply(self, status, body):
        data = json.dumps(body).encode()
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)

    def body(self):
        length = int(self.headers.get("Content-Length") or 0)
        return json.loads(self.rfile.read(length) or b"null")

    def target(self):
        url = urlparse(self.path)
        parts = [unquote(part) for part in url.path.strip("/").split("/")]
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        return parts, query

    def do_GET(self):
        parts, query = self.target()
        if parts[:2] != ["-", "objects"]:
            return self.reply(404, {})
        if len(parts) == 4:
            with self.store.lock:
                entry = self.store.objects.get((parts[2], parts[3]))
            return self.reply(200 if entry else 404, entry or {})
        if "watch" in query:
            return self.reply(200, self.store.watch(parts[2], int(query["watch"]), int(query.get("wait-ms", 0))))
        return self.reply(200, self.store.listing(parts[2], query.get("after-rev")))

    def do_POST(self):
        parts, _ = self.target()
        body = self.body()
        if parts[:2] == ["-", "objects"]:
            status, entry = self.store.create(parts[2], body["metadata"]["name"], body)
            return self.reply(status, entry or {})
        call = {"at": time.time(), "path": self.path, "holder": self.headers.get("X-Duty-Holder"),
                "fence": int(self.headers.get("X-Fencing-Token") or 0), "body": body}
        with self.store.lock:
            self.store.cloud_calls.append(call)
        return self.reply(200, {})

    def do_PUT(self):
        parts, _ = self.target()
        part = "status" if len(parts) == 5 and parts[4] == "status" else "spec"
        status, entry = self.store.conditional_write(parts[2], parts[3], part, self.body())
        self.reply(status, entry or {})

    def do_DELETE(self):
        parts, _ = self.target()
        self.store.remove(parts[2], parts[3])
        self.reply(200, {})


class Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128
    is_gone = False

    def handle_error(self, request, client_address):
        """A caller that has gone is no fault of the store."""


def start(store):
    """Serves the store and the cloud API on a free loopback port. Returns the port."""
    handler = type("BoundHandler", (Handler,), {"store": store})
    server = Server(("127.0.0.1", 0), handler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    port = server.server_address[1]
    SERVERS[port] = server
    return port


def stop(port):
    """Ends the address: connections to it are refused from then on."""
    server = SERVERS.pop(port)
    server.is_gone = True
    server.shutdown()
    server.server_close()
