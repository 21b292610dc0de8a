"""A small site on loopback addresses: stand-ins for the platform, the instances and the requesters.

The stand-ins follow PROTOCOL.md. Each machine has an address of its own in 127.0.0.0/8, so that all
processes may use the ports of the deploy file.
"""

import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from urllib.parse import parse_qs, urlsplit

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
STARTED = time.monotonic()


class CannotRun(Exception):
    pass


class Record:
    """Writes what was sent, answered and run to record.txt in the folder of the case."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8", errors="replace")
        self.lock = threading.Lock()

    def __call__(self, text):
        with self.lock:
            self.file.write("%8.3f %s\n" % (time.monotonic() - STARTED, text))
            self.file.flush()


def free_network():
    """Returns the first three numbers of a loopback network that nothing uses."""
    for _ in range(50):
        prefix = "127.%d.%d" % (random.randint(20, 250), random.randint(1, 250))
        try:
            with socket.socket() as it:
                it.bind((prefix + ".1", 9464))
            return prefix
        except OSError:
            continue
    raise CannotRun("no free loopback address")


def listen(at):
    out = socket.socket()
    out.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        out.bind(at)
    except OSError as ec:
        raise CannotRun("cannot listen on %s:%d: %s" % (at[0], at[1], ec))
    out.listen(128)
    return out


def in_thread(function, *args):
    it = threading.Thread(target=function, args=args, daemon=True)
    it.start()
    return it


class Lines:
    """Reads lines that end in CR LF; a lone CR or LF belongs to the line."""

    def __init__(self, connection):
        self.connection = connection
        self.buffer = b""

    def next(self, timeout=None):
        self.connection.settimeout(timeout)
        while b"\r\n" not in self.buffer:
            data = self.connection.recv(65536)
            if not data:
                return None
            self.buffer += data
        line, self.buffer = self.buffer.split(b"\r\n", 1)
        return line.decode("latin-1")


class Platform:
    """The key-value store, and the endpoint for promotions at a second address."""

    def __init__(self, record, store, orders, promote):
        self.record = record
        self.promote = promote
        self.changed = threading.Condition()
        self.items = {}
        self.history = []
        self.revision = 100
        self.leases = {}
        self.last_lease = 0
        self.fault = None  # a hook: (method, path) -> None, "silent" or a status
        for at in (store, orders):
            in_thread(self.accept, listen(at))
        in_thread(self.expire)

    def put(self, key, value, lease=0):
        with self.changed:
            self.write(key, value.encode() if isinstance(value, str) else value, lease)

    def delete(self, key):
        with self.changed:
            self.erase(key)

    def write(self, key, value, lease, revision=None):
        if revision is None:
            self.revision += 1
            revision = self.revision
        created = self.items[key]["created_at"] if key in self.items else revision
        self.items[key] = {"key": key, "value": base64.b64encode(value).decode(), "revision": revision,
                           "created_at": created, "lease_id": lease}
        self.history.append(self.items[key])
        self.changed.notify_all()

    def erase(self, key, revision=None):
        if key not in self.items:
            return
        if revision is None:
            self.revision += 1
            revision = self.revision
        del self.items[key]
        self.history.append({"key": key, "revision": revision, "tombstone": True})
        self.changed.notify_all()

    def value(self, key):
        with self.changed:
            return base64.b64decode(self.items[key]["value"]).decode() if key in self.items else None

    def expire(self):
        while True:
            time.sleep(0.05)
            with self.changed:
                for lease in [n for n, it in self.leases.items() if time.monotonic() > it[1]]:
                    self.end_lease(lease)

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [k for k, it in self.items.items() if it["lease_id"] == lease]:
            self.erase(key)

    def accept(self, listener):
        while True:
            in_thread(self.serve, listener.accept()[0])

    def serve(self, connection):
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        buffer = b""
        try:
            while True:
                while b"\r\n\r\n" not in buffer:
                    data = connection.recv(65536)
                    if not data:
                        return
                    buffer += data
                head, buffer = buffer.split(b"\r\n\r\n", 1)
                lines = head.decode().split("\r\n")
                method, path, _ = lines[0].split(" ")
                headers = {k.lower(): v.strip() for k, v in (it.split(":", 1) for it in lines[1:])}
                size = int(headers.get("content-length", "0"))
                while len(buffer) < size:
                    buffer += connection.recv(65536)
                body, buffer = buffer[:size], buffer[size:]
                fault = self.fault(method, path) if self.fault else None
                if fault == "silent":
                    time.sleep(60)
                    return
                if fault:
                    status, out = fault, {}
                else:
                    status, out = self.handle(method, path, json.loads(body) if body else {}, headers)
                text = json.dumps(out).encode()
                connection.sendall(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                                   b"Content-Length: %d\r\n\r\n" % (status, len(text)) + text)
        except (OSError, ValueError):
            pass
        finally:
            connection.close()

    def handle(self, method, path, body, headers):
        parts = urlsplit(path)
        query = {k: v[0] for k, v in parse_qs(parts.query).items()}
        if parts.path == "/promote":
            status = self.promote(body["backend"], body["id"])
            self.record("platform: promote %s %s by %s generation %s -> %d"
                        % (body["backend"], body["id"], headers.get("x-lease-holder"),
                           headers.get("x-fencing-token"), status))
            return status, {}
        with self.changed:
            if parts.path == "/api/kv-key":
                it = self.items.get(query["key"])
                return (200, dict(it, as_of=self.revision)) if it else (404, {"as_of": self.revision})
            if parts.path == "/api/kv-range":
                keys = sorted(k for k in self.items
                              if k.startswith(query["prefix"]) and k > query.get("after", ""))
                return 200, {"items": [self.items[k] for k in keys], "has_more": False,
                             "as_of": self.revision}
            if parts.path == "/api/kv-watch":
                return self.watch(query)
            if parts.path == "/api/kv-txn":
                return self.change(body)
            if parts.path == "/api/kv-lease":
                self.last_lease += 1
                ttl = body["ttl_ms"]
                self.leases[self.last_lease] = (ttl, time.monotonic() + ttl / 1000)
                return 200, {"lease_id": self.last_lease, "ttl_ms": ttl}
            number = int(parts.path.rsplit("/", 1)[1])
            if number not in self.leases:
                return 404, {}
            if parts.path.startswith("/api/kv-keep/"):
                ttl = self.leases[number][0]
                self.leases[number] = (ttl, time.monotonic() + ttl / 1000)
                return 200, {"lease_id": number, "ttl_ms": ttl}
            self.end_lease(number)
            return 200, {}

    def watch(self, query):
        after = int(query["after"])
        until = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            events = [it for it in self.history
                      if it["revision"] > after and it["key"].startswith(query["prefix"])]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "as_of": self.revision}
            self.changed.wait(left)

    def change(self, body):
        conditions = body.get("precondition", [])
        current = [self.items.get(it["key"]) for it in conditions]
        if any((now["revision"] if now else 0) != it["revision"] for now, it in zip(current, conditions)):
            return 412, {"items": [it for it in current if it]}
        writes = body.get("writes", [])
        if any(it.get("lease_id") and it["lease_id"] not in self.leases for it in writes):
            return 404, {}
        if any(it["key"].startswith(("op/", "servers/")) for it in writes):
            return 403, {}
        self.revision += 1
        for it in writes:
            self.write(it["key"], base64.b64decode(it["value"]), it.get("lease_id", 0), self.revision)
        for key in body.get("remove", []):
            self.erase(key, self.revision)
        return 200, {"revision": self.revision}


class Group:
    """Three instances of one service; a commit reaches the replicas at once and is applied after a lag."""

    def __init__(self, record, service, addresses, work=0.003, lag=0.06, promote=0.6, slots=2):
        self.record = record
        self.service = service
        self.slots = slots
        self.lag = lag
        self.promote_time = promote
        self.work = work
        self.term = 1
        self.lock = threading.RLock()
        self.ran = []  # (instance, id, text)
        self.commits = []  # (instance, term, ids, time) of what took effect
        self.instances = {}
        for n, (name, zone, at) in enumerate(addresses):
            self.instances[name] = Instance(self, name, zone, at, n == 0)

    def promote(self, name):
        with self.lock:
            it = self.instances.get(name)
            if not it or it.down:
                return 409
            if it.primary and it.term == self.term:
                return 200
        in_thread(self.complete_promotion, it)
        return 200

    def complete_promotion(self, it):
        time.sleep(self.promote_time)
        with self.lock:
            if it.down or (it.primary and it.term == self.term):
                return
            self.term += 1
            it.primary, it.term, it.paused = True, self.term, 0
            it.applied = len(it.log)
            it.led_from = time.monotonic()
            for other in self.instances.values():
                other.paused = 0  # a pause lasts "until RESUME, a promote, or the replica's restart"
                if other is not it and not other.primary and not other.deaf:
                    other.term, other.log = self.term, list(it.log)
                    other.applied = min(other.applied, len(other.log))
            self.record("group %s: %s leads term %d with %d entries"
                        % (self.service, it.name, self.term, len(it.log)))
        time.sleep(1.0)
        with self.lock:
            for other in self.instances.values():
                if other is not it and other.term < self.term and not other.cut_off:
                    other.primary, other.term = False, self.term
                    other.log = list(it.log)
                    other.applied = min(other.applied, len(other.log))


class Instance:
    def __init__(self, group, name, zone, at, primary):
        self.group, self.name, self.zone, self.at, self.primary = group, name, zone, at, primary
        self.term = 1
        self.paused = 0
        self.log = []  # of (term, number, writes)
        self.applied = 0
        self.down = False
        self.cut_off = False
        self.deaf = False  # receives nothing
        self.led_from = None
        self.connections = {}
        self.slots = threading.Semaphore(group.slots)
        self.delay = None  # a hook: (id, text) -> seconds
        self.loses = None  # a hook: (id, text) -> True if the answer is lost
        self.listener = listen(at)
        in_thread(self.accept, self.listener)

    def crash(self):
        """Ends the process of the instance: its connections close and its address refuses new ones."""
        self.down = True
        self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        for number in list(self.connections):
            self.reset(number)

    def position(self, entries):
        entries = min(entries, len(self.log))
        return "%d.%d" % self.log[entries - 1][:2] if entries else "1.0"

    def accept(self, listener):
        number = 0
        while not self.down:
            try:
                connection, _ = listener.accept()
            except OSError:
                return
            number += 1
            in_thread(self.serve, connection, number)

    def reset(self, number):
        connection = self.connections[number]
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        try:
            connection.shutdown(socket.SHUT_RD)
        except OSError:
            pass
        connection.close()

    def serve(self, connection, number):
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        lines = Lines(connection)
        session = Session(self, number)
        self.connections[number] = connection
        try:
            while True:
                line = lines.next()
                if line is None:
                    break
                out = session.handle(line)
                if out is None:
                    continue
                connection.sendall(out.encode("latin-1"))
        except OSError:
            pass
        session.closed = True
        self.connections.pop(number, None)
        connection.close()


class Session:
    """A connection to an instance."""

    def __init__(self, instance, number):
        self.instance, self.number = instance, number
        self.state, self.read_only, self.writes, self.ids = "I", False, {}, []
        self.values, self.prepared = {}, {}
        self.closed = False

    def ready(self):
        it = self.instance
        return "READY %s %s\r\n" % (self.state, it.position(it.applied))

    def error(self, code):
        if self.state == "T" and code not in ("BUSY", "LAGGING"):
            self.state = "E"
        return "ERROR %s %s\r\n%s" % (code, self.instance.name, self.ready())

    def handle(self, line):
        it = self.instance
        word, _, rest = line.partition(" ")
        if word == "CONNECT":
            fields = rest.split(" ")
            if fields[0] != it.group.service or (len(fields) > 2 and fields[2] != it.name):
                return "ERROR MOVED %s\r\n" % it.name
            time.sleep(0.012)
            return self.ready()
        if word != "QUERY":
            return None
        id, _, text = rest.partition(" ")
        out = self.query(id, text)
        return out

    def query(self, id, text):
        it = self.instance
        if text.startswith("AFTER "):
            _, floor, text = text.split(" ", 2)
            term, number = (int(n) for n in floor.split("."))
            with it.group.lock:
                held = tuple(int(n) for n in it.position(it.applied).split("."))
            if held < (term, number):
                return self.error("LAGGING")
        word, _, rest = text.partition(" ")
        if word in ("READ", "WRITE", "EXECUTE", "COMMIT"):
            with it.slots:
                seconds = it.delay(id, text) if it.delay else None
                time.sleep(it.group.work if seconds is None else seconds)
                with it.group.lock:
                    out = self.run(id, text)
            if it.loses and it.loses(id, text):
                it.group.record("instance %s: the answer to %s is lost" % (it.name, id))
                return None
            return out
        with it.group.lock:
            return self.command(word, rest)

    def run(self, id, text):
        it = self.instance
        if self.closed:
            return None
        word, _, rest = text.partition(" ")
        if self.state == "E" and word != "COMMIT":
            return self.error("MALFORMED")
        if word == "EXECUTE":
            name, _, rest = rest.partition(" ")
            if name not in self.prepared:
                return self.error("UNKNOWN")
            word = self.prepared[name]
        if not it.primary and (word == "WRITE" or (self.state == "T" and not self.read_only)):
            return self.error("READONLY")
        it.group.ran.append((it.name, id, text))
        it.group.record("instance %s: ran %r %r on connection %d, state %s"
                        % (it.name, id, text, self.number, self.state))
        rows = ""
        if word == "READ":
            value = self.writes.get(rest)
            for entry in it.log[:it.applied] if value is None else []:
                value = entry[2].get(rest, value)
            rows = "ROW %s\r\n" % (value or "none")
        elif word == "WRITE":
            item, _, data = rest.partition(" ")
            self.writes[item] = data
            self.ids.append(id)
        elif self.state == "E":
            self.state, self.writes, self.ids = "I", {}, []
            return self.error("ABORTED")
        else:
            self.state = "I"
        if self.state == "I" and self.writes:
            it.log.append((it.term, len(it.log) + 1, self.writes))
            it.applied = len(it.log)
            it.group.commits.append((it.name, it.term, self.ids, time.monotonic()))
            it.group.record("instance %s: committed %s as %s"
                            % (it.name, " ".join(self.ids), it.position(it.applied)))
            self.writes, self.ids = {}, []
            for other in it.group.instances.values():
                if other is it or other.primary or other.paused or other.down or other.deaf or \
                        other.term > it.term:
                    continue
                other.log, other.term = list(it.log), it.term
                in_thread(self.apply_later, other, len(it.log))
        return rows + "COMPLETE mac.%s.%x\r\n" % (id[:8].replace("\n", ""), random.getrandbits(48)) + self.ready()

    def apply_later(self, other, entries):
        time.sleep(self.instance.group.lag)
        with self.instance.group.lock:
            other.applied = min(max(other.applied, entries), len(other.log))

    def status(self):
        it = self.instance
        return "ROW %s %d %s %d 0 0 %d\r\nCOMPLETE -\r\n" % (
            "primary" if it.primary else "replica", it.term, it.position(len(it.log)), it.paused,
            len(it.connections)) + self.ready()

    def command(self, word, rest):
        it = self.instance
        if word == "BEGIN":
            if not it.primary and not rest:
                return self.error("READONLY")
            self.state, self.read_only = "T", bool(rest)
        elif word == "ROLLBACK":
            self.state, self.writes, self.ids = "I", {}, []
        elif word == "SET":
            name, _, value = rest.partition(" ")
            self.values[name] = value
        elif word == "PREPARE":
            name, mode = rest.split(" ")[:2]
            self.prepared[name] = mode
        elif word == "CLOSE":
            self.prepared.pop(rest, None)
        elif word == "RESET":
            self.values, self.prepared = {}, {}
        elif word == "PAUSE":
            if int(rest) > it.group.term and not it.primary:
                it.paused = int(rest)
            it.group.record("instance %s: PAUSE %s" % (it.name, rest))
            return self.status()
        elif word == "RESUME":
            it.paused = 0
            return self.status()
        elif word == "STEPDOWN":
            if it.primary and it.term < int(rest):
                it.primary = False
            return self.status()
        elif word == "STATUS":
            return self.status()
        else:
            return self.error("MALFORMED")
        return "COMPLETE -\r\n" + self.ready()


class Requester:
    """A session; `ask` sends one request and waits for its answer."""

    def __init__(self, record, name, at, database):
        self.record, self.name = record, name
        self.socket = socket.create_connection(at, timeout=5)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.lines = Lines(self.socket)
        self.count = 0
        self.socket.sendall(("CONNECT %s %s\r\n" % (database, name)).encode())
        self.greeting = self.lines.next(5)
        record("requester %s: CONNECT -> %s" % (name, self.greeting))
        if not (self.greeting or "").startswith("READY"):
            raise OSError("session refused: %s" % self.greeting)

    def send(self, text, more=""):
        self.count += 1
        id = "%s-%d-%08x" % (self.name, self.count, random.getrandbits(32))
        self.record("requester %s: sends %r%s" % (self.name, "QUERY %s %s" % (id, text),
                                                  " and %r" % more if more else ""))
        self.socket.sendall(("QUERY %s %s\r\n%s" % (id, text, more)).encode("latin-1"))
        return id

    def answer(self, timeout=8):
        """Returns the answer's lines; a shorter list than a whole answer means that the connection ended."""
        out = []
        try:
            while not out or not out[-1].startswith("READY"):
                line = self.lines.next(timeout)
                if line is None:
                    out.append("(closed)")
                    break
                out.append(line)
        except OSError as ec:
            out.append("(%s)" % type(ec).__name__)
        self.record("requester %s: got %r" % (self.name, out))
        return out

    def ask(self, text, timeout=8):
        self.send(text)
        return self.answer(timeout)

    def close(self):
        self.socket.close()


class Site:
    """The proxies with their settings, rendered from the template of the deploy file."""

    current = None  # the site of this run; `main` ends its processes

    def __init__(self, folder, zones=("erie-shore",), services=("db",), routes=(), **group_options):
        Site.current = self
        self.record = Record(folder)
        self.folder = tempfile.mkdtemp(prefix="baobabport-review-")
        self.net = free_network()
        self.program = os.path.join(ROOT, "target", "baobabport-proxy")
        if not os.path.exists(self.program):
            raise CannotRun("target/baobabport-proxy is not built")
        self.processes = {}
        self.closing = False
        self.ended = []  # (name, status) of processes that ended by themselves
        self.expected = set()
        self.groups = {}
        for s, service in enumerate(services):
            addresses = []
            for n in range(3):
                zone = zones[(n + s) % len(zones)]
                addresses.append(("i-%s-%d" % (service, n), zone, ("%s.%d" % (self.net, 100 + 10 * s + n), 7000)))
            self.groups[service] = Group(self.record, service, addresses, **group_options)
        self.store = Platform(self.record, (self.net + ".200", 8783), (self.net + ".201", 8783),
                              lambda service, id: self.groups[service].promote(id))
        self.routes = list(routes)
        self.version = 1
        self.configure()
        for group in self.groups.values():
            for it in group.instances.values():
                self.register(it)

    def configure(self):
        state = {"version": self.version, "routes": self.routes,
                 "backends": [{"name": it, "max_connections": 16, "sync_replicas": 0} for it in self.groups],
                 "limits": {"tx_idle_ms": 3000}}
        self.store.put("op/config", json.dumps(state))
        self.version += 3

    def register(self, it, state="ready"):
        self.store.put("servers/" + it.name, json.dumps({
            "backend": it.group.service, "address": "%s:%d" % it.at, "zone": it.zone, "version": "v1",
            "slots": it.group.slots, "state": state, "cold_remaining_ms": 0, "sequence": 1,
            "born": 1700000000000, "db_role": "primary" if it.primary else "replica"}))

    def fields(self, name, zone, number):
        ip = "%s.%d" % (self.net, number)
        return {"node_name": name, "zone": zone, "ip": ip,
                "listen_addrs": {"frontend": ip + ":8784", "ready": ip + ":8785", "control": ip + ":8782"},
                "internal_ports": [7440, 7455],
                "bounds": {"grace_s": 6, "config_apply_ms": 3000, "drain_ms": 7000},
                "platform": {"address": self.net + ".200:8783", "min_ttl_ms": 1000},
                "cloud_api": {"address": self.net + ".201:8783"}}

    def start(self, name, zone, number):
        """Starts the proxy of a machine as the deploy file does."""
        fields = self.fields(name, zone, number)

        def value(match):
            out = fields
            for part in match.group(1).split("."):
                out = out[int(part)] if part.isdigit() else out[part]
            return str(out)

        with open(os.path.join(ROOT, "deploy", "settings.json.template"), encoding="utf-8") as template:
            text = re.sub(r"\{\{([a-z_.0-9]+)\}\}", value, template.read())
        path = os.path.join(self.folder, name + ".json")
        with open(path, "w", encoding="utf-8") as out:
            out.write(text)
        log = open(os.path.join(self.folder, name + ".log"), "ab")
        process = subprocess.Popen([self.program], cwd=ROOT, stdout=log, stderr=log,
                                   env={"PATH": os.environ["PATH"], "BAOBABPORT_SETTINGS": path})
        self.processes[name] = process
        self.record("machine %s: process %d starts at %s" % (name, process.pid, fields["ip"]))
        in_thread(self.watch_process, name, process)
        return (fields["ip"], 8784)

    def watch_process(self, name, process):
        status = process.wait()
        self.record("machine %s: process %d ended with %d" % (name, process.pid, status))
        if process.pid not in self.expected:
            self.ended.append((name, status))

    def signal(self, name, number):
        process = self.processes[name]
        if number in (signal.SIGTERM, signal.SIGKILL):
            self.expected.add(process.pid)
        self.record("machine %s: signal %d to process %d" % (name, number, process.pid))
        process.send_signal(number)

    def ready(self, number):
        try:
            with socket.create_connection(("%s.%d" % (self.net, number), 8785), timeout=1) as it:
                it.sendall(b"GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                return b" 200 " in it.recv(200)
        except OSError:
            return False

    def wait_ready(self, numbers, seconds=15):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if all(self.ready(it) for it in numbers):
                return
            time.sleep(0.1)
        raise CannotRun("the proxies did not become ready")

    def session(self, name, at, database, seconds=10):
        end = time.monotonic() + seconds
        while True:
            try:
                return Requester(self.record, name, at, database)
            except OSError:
                if time.monotonic() > end:
                    raise CannotRun("no session at %s" % at[0])
                time.sleep(0.1)

    def close(self):
        self.closing = True
        for it in list(self.processes.values()):
            self.expected.add(it.pid)
            if it.poll() is None:
                it.kill()
                it.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


def route(database, service, kind="primary", **more):
    out = {"name": "r-" + database, "database": database, "backend": service, "type": kind, "timeout_ms": 800,
           "target_latency_ms": 100, "priority": 1}
    if kind != "primary":
        out["max_staleness_ms"] = 1500
    out.update(more)
    return out


def main(folder, case):
    """Runs the case; it returns a list of breaks. Exits with 1, 0 or 2."""
    status = 2

    def interrupted(*_):
        raise CannotRun("stopped before its end")

    signal.signal(signal.SIGTERM, interrupted)
    signal.signal(signal.SIGINT, interrupted)
    try:
        breaks = case(folder)
        for it in breaks:
            Site.current.record("BROKEN " + it)
            print("BROKEN " + it)
        status = 1 if breaks else 0
        Site.current.record("result: %s" % ("the rule was broken" if breaks else "the rule held"))
    except CannotRun as ec:
        print("cannot run: %s" % ec)
    except Exception as ec:  # an error of the script is no result
        print("cannot run: %r" % ec)
        import traceback
        traceback.print_exc()
    finally:
        if Site.current:
            Site.current.close()
    sys.stdout.flush()
    os._exit(status)
