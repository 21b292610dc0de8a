"""A small site on loopback addresses: the platform's store, the promotion endpoint and the instances are
stand-ins that run in this process; the proxies are the project's own program, as separate processes.

Everything here follows PROTOCOL.md, DEPLOY.md and RULES.md of the users' pages; where a page is silent, a
stand-in does what a sound server or platform would do.
"""

import asyncio
import base64
import collections
import json
import os
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), '..', '..'))
HEARTBEAT_S = 1.2
SILENT_S = 3 * HEARTBEAT_S  # "after three ping intervals of silence" an instance's entry is removed
BOUNDS = {'grace_s': 6, 'config_apply_ms': 3000, 'drain_ms': 7000, 'contact_ms': 4000, 'thaw_slack_ms': 300,
          'lost_slack_ms': 200}


class CannotRun(Exception):
    """The case could not be brought about; says nothing about the rule."""


class Record:
    """Writes record.txt: what was sent, answered and run."""

    def __init__(self, folder):
        self.begun = time.monotonic()
        self.file = open(os.path.join(folder, 'record.txt'), 'w', encoding='utf-8')

    def now(self):
        return time.monotonic() - self.begun

    def __call__(self, text, echo=False):
        line = f'{self.now():9.3f}  {text}'
        self.file.write(line + '\n')
        self.file.flush()
        if echo:
            print(line, flush=True)


def fill(template, values):
    """Renders a settings template: {{a}} and {{a.b}}; nothing for a value that is not there."""
    def value(match):
        at = values
        for name in match.group(1).split('.'):
            if isinstance(at, list):
                at = at[int(name)] if int(name) < len(at) else None
            else:
                at = at.get(name) if isinstance(at, dict) else None
        if at is None:
            return ''
        if isinstance(at, bool):
            return 'true' if at else 'false'
        return str(at)
    return re.sub(r'\{\{([\w.]+)\}\}', value, template)


# --- HTTP ---------------------------------------------------------------------------------------------------

async def read_http(reader):
    head = await reader.readuntil(b'\r\n\r\n')
    lines = head.decode('latin-1').split('\r\n')
    method, target, _ = lines[0].split(' ', 2)
    headers = {}
    for it in lines[1:]:
        if ':' in it:
            name, value = it.split(':', 1)
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get('content-length', '0')))
    return method, target, headers, body


def http_bytes(status, body, extra=()):
    data = json.dumps(body).encode()
    head = f'HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {len(data)}\r\n'
    for name, value in extra:
        head += f'{name}: {value}\r\n'
    return head.encode() + b'\r\n' + data


class Store:
    """The platform's key-value store."""

    def __init__(self, record):
        self.record = record
        self.items = {}  # key -> dict(value, revision, created_at, lease_id)
        self.history = []  # (revision, key, item or None)
        self.first_kept = 0  # events after this revision are known
        self.revision = 100
        self.leases = {}  # id -> (ttl_s, end)
        self.last_lease = 0
        self.era = 1
        self.away = False
        self.writers = set()
        self.changed = asyncio.Condition()
        self.beat_at = {}  # key of an instance's entry -> when it was last written

    async def start(self, ip):
        self.server = await asyncio.start_server(self.serve, ip, 0, limit=8 << 20)
        self.address = '%s:%d' % self.server.sockets[0].getsockname()[:2]
        self.expiry = asyncio.create_task(self.expire())

    async def add_endpoint(self, ip, name, switch):
        """Returns a further address of the store, for the process `name` alone: it can be cut off there, and
        reads the addresses of other processes at which the switch takes what is sent to them."""
        async def serve(reader, writer):
            await self.serve(reader, writer, lambda: name in switch.cut_from_store,
                             lambda status, out: (status, switch.public_view(name, out)))
        server = await asyncio.start_server(serve, ip, 0, limit=8 << 20)
        switch.store_writers.setdefault(name, set())
        return '%s:%d' % server.sockets[0].getsockname()[:2]

    async def expire(self):
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for number in [n for n, it in self.leases.items() if it[1] <= now]:
                await self.end_lease(number)
            for key in [k for k, at in self.beat_at.items() if now - at > SILENT_S and not self.away]:
                del self.beat_at[key]
                await self.remove(key)

    async def end_lease(self, number):
        self.leases.pop(number, None)
        for key in [k for k, it in self.items.items() if it['lease_id'] == number]:
            await self.remove(key)

    async def notify(self):
        async with self.changed:
            self.changed.notify_all()

    async def put(self, key, value, lease=0, notify=True):
        if isinstance(value, str):
            value = value.encode()
        self.revision += 1
        if key.startswith('servers/'):
            self.beat_at[key] = time.monotonic()
        self.write(key, value, lease)
        if notify:
            await self.notify()

    def write(self, key, value, lease):
        old = self.items.get(key)
        self.items[key] = {'value': value, 'revision': self.revision, 'lease_id': lease,
                           'created_at': old['created_at'] if old else self.revision}
        self.history.append((self.revision, key, self.items[key]))

    async def remove(self, key):
        if key in self.items:
            self.revision += 1
            del self.items[key]
            self.history.append((self.revision, key, None))
            await self.notify()

    def copy(self):
        """Returns a copy of the store, as a backup keeps it."""
        return {'items': {k: dict(v) for k, v in self.items.items()}, 'revision': self.revision,
                'history': list(self.history), 'leases': {n: (t, e - time.monotonic()) for n, (t, e)
                                                          in self.leases.items()},
                'last_lease': self.last_lease, 'taken': time.monotonic()}

    async def go_away(self):
        """Ends all connections; until `come_back` the store takes none."""
        self.away = True
        for it in list(self.writers):
            it.transport.abort()

    async def come_back(self, copy):
        now = time.monotonic()
        self.items = copy['items']
        self.beat_at = {key: now for key in self.items if key.startswith('servers/')}
        self.revision = copy['revision']
        self.history = copy['history']
        self.leases = {n: (t, now + left) for n, (t, left) in copy['leases'].items()}
        self.era += 1
        self.away = False

    def item(self, key):
        it = self.items[key]
        return {'key': key, 'value': base64.b64encode(it['value']).decode(), 'revision': it['revision'],
                'created_at': it['created_at'], 'lease_id': it['lease_id']}

    def text(self, key):
        return self.items[key]['value'].decode() if key in self.items else None

    def leader(self):
        """Returns the name of the process that holds the duty, as its key in the store says."""
        text = self.text('baobabport/failover/holder')
        return json.loads(text)['vm'] if text else None

    async def serve(self, reader, writer, is_cut=lambda: False, view=lambda status, out: (status, out)):
        if self.away or is_cut():
            writer.transport.abort()
            return
        self.writers.add(writer)
        try:
            while True:
                method, target, _, body = await read_http(reader)
                if is_cut():
                    return
                status, out = view(*await self.answer(method, target, body, reader))
                if is_cut():
                    return
                await asyncio.sleep(0.004)
                writer.write(http_bytes(status, out, [('Store-Era', self.era)]))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, method, target, body, reader):
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        path = url.path
        if path == '/api/kv-key':
            key = query['key']
            return (200, dict(self.item(key), as_of=self.revision)) if key in self.items else (404, {})
        if path == '/api/kv-range':
            keys = sorted(k for k in self.items if k.startswith(query['prefix']) and k > query.get('after', ''))
            return 200, {'items': [self.item(k) for k in keys[:500]], 'has_more': len(keys) > 500,
                         'as_of': self.revision}
        if path == '/api/kv-watch':
            return await self.watch(query, reader)
        if path == '/api/kv-txn':
            return await self.change(json.loads(body))
        if path == '/api/kv-lease':
            ttl = max(1000, int(json.loads(body)['ttl_ms']))
            self.last_lease += 1
            self.leases[self.last_lease] = (ttl / 1000, time.monotonic() + ttl / 1000)
            return 200, {'lease_id': self.last_lease, 'ttl_ms': ttl}
        if path.startswith('/api/kv-keep/'):
            number = int(path.rsplit('/', 1)[1])
            if number not in self.leases:
                return 404, {}
            ttl = self.leases[number][0]
            self.leases[number] = (ttl, time.monotonic() + ttl)
            return 200, {'lease_id': number, 'ttl_ms': int(ttl * 1000)}
        if path.startswith('/api/kv-lease-end/'):
            await self.end_lease(int(path.rsplit('/', 1)[1]))
            return 200, {}
        return 404, {}

    async def watch(self, query, reader):
        after, prefix = int(query['after']), query['prefix']
        end = time.monotonic() + int(query['wait_ms']) / 1000
        if after > self.revision or after < self.first_kept:
            return 410, {}
        while True:
            events = []
            for revision, key, it in self.history:
                if revision > after and key.startswith(prefix):
                    if it is None:
                        events.append({'key': key, 'revision': revision, 'tombstone': True})
                    else:
                        events.append({'key': key, 'value': base64.b64encode(it['value']).decode(),
                                       'revision': revision, 'created_at': it['created_at'],
                                       'lease_id': it['lease_id']})
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {'events': events, 'as_of': self.revision}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass

    async def change(self, wanted):
        rows = wanted.get('precondition', [])
        if any(self.items.get(it['key'], {'revision': 0})['revision'] != it['revision'] for it in rows):
            return 412, {'items': [self.item(it['key']) for it in rows if it['key'] in self.items]}
        writes = wanted.get('writes', [])
        if any(it.get('lease_id', 0) and it['lease_id'] not in self.leases for it in writes):
            return 404, {}
        if any(it['key'].startswith(('op/', 'servers/')) for it in writes):
            return 403, {}
        self.revision += 1
        for it in writes:
            self.write(it['key'], base64.b64decode(it['value']), it.get('lease_id', 0))
            self.record(f'store: {it["key"]} = {base64.b64decode(it["value"]).decode()[:160]} '
                        f'(revision {self.revision})')
        for key in wanted.get('remove', []):
            if key in self.items:
                del self.items[key]
                self.history.append((self.revision, key, None))
        await self.notify()
        return 200, {'revision': self.revision}


class Cloud:
    """The platform's endpoint for promotions. It does not check fences (`fencing_required` is false)."""

    def __init__(self, record, site):
        self.record, self.site = record, site
        self.orders = []  # (seconds, holder, token, service, id, status)

    async def start(self, ip):
        self.server = await asyncio.start_server(self.serve, ip, 0)
        self.address = '%s:%d' % self.server.sockets[0].getsockname()[:2]

    async def serve(self, reader, writer):
        try:
            while True:
                method, target, headers, body = await read_http(reader)
                if method != 'POST' or target != '/promote':
                    writer.write(http_bytes(404, {}))
                    continue
                wanted = json.loads(body)
                status = self.site.groups[wanted['backend']].promote(wanted['id'])
                order = (self.record.now(), headers['x-lease-holder'], int(headers['x-fencing-token']),
                         wanted['backend'], wanted['id'], status)
                self.orders.append(order)
                self.record('platform: /promote %s of %s by %s with token %d -> %d' %
                            (order[4], order[3], order[1], order[2], status), True)
                writer.write(http_bytes(status, {}))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


class PeerSwitch:
    """The links between the processes. Each has a public address, at which the others reach it: datagrams and
    connections that arrive there are passed on, unless the two are on different sides of a partition."""

    PORT = 7440

    def __init__(self, record):
        self.record = record
        self.public = {}  # name -> public IP
        self.real = {}  # name -> IP at which the process listens
        self.sockets = {}
        self.side = {}  # name -> side of the partition; all 0: none
        self.cut_from_store = set()
        self.store_writers = {}
        self.links = set()  # (from, to, writer, writer)

    def text(self, ip):
        return f'{ip}:{self.PORT}'

    def are_cut(self, one, other):
        return self.side.get(one, 0) != self.side.get(other, 0)

    async def add(self, name, real, public):
        if len(real) != len(public):
            raise CannotRun('addresses of different lengths')
        self.real[name], self.public[name] = real, public
        out = self.sockets[name] = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        out.setblocking(False)
        out.bind((public, self.PORT))
        asyncio.get_running_loop().add_reader(out, self.forward, name)

        async def serve(reader, writer):
            await self.relay(name, reader, writer)
        await asyncio.start_server(serve, public, self.PORT)

    def forward(self, to):
        try:
            data, source = self.sockets[to].recvfrom(65536)
        except OSError:
            return
        sender = next((name for name, ip in self.real.items() if ip == source[0]), None)
        if sender is None or self.are_cut(sender, to):
            return
        # A process names its own address in the list of members: the others must use the public one.
        data = data.replace(self.text(self.real[sender]).encode(), self.text(self.public[sender]).encode())
        try:
            self.sockets[sender].sendto(data, (self.real[to], self.PORT))
        except OSError:
            pass

    def public_view(self, reader_name, out):
        """Returns an answer of the store with the public address of the process that holds the duty."""
        for it in [*out.get('items', []), *out.get('events', []), out]:
            if it.get('key') == 'baobabport/failover/holder' and 'value' in it:
                text = base64.b64decode(it['value']).decode()
                for name, ip in self.real.items():
                    if name != reader_name:
                        text = text.replace(self.text(ip), self.text(self.public[name]))
                it['value'] = base64.b64encode(text.encode()).decode()
        return out

    async def relay(self, to, reader, writer):
        link = None
        try:
            first = await reader.read(65536)
            while first and not (sender := next((it for it in self.real if it != to and it.encode() in first),
                                                None)):
                more = await reader.read(65536)
                if not more:
                    return
                first += more
            if not first or self.are_cut(sender, to):
                writer.transport.abort()
                return
            target_reader, target = await asyncio.open_connection(self.real[to], self.PORT)
            link = (sender, to, writer, target)
            self.links.add(link)
            target.write(first)
            await asyncio.gather(self.pump(reader, target, link), self.pump(target_reader, writer, link))
        except (ConnectionError, OSError):
            pass
        finally:
            self.links.discard(link)
            writer.close()

    async def pump(self, reader, writer, link):
        try:
            while data := await reader.read(65536):
                if self.are_cut(link[0], link[1]):
                    break
                writer.write(data)
        except ConnectionError:
            pass
        finally:
            writer.close()

    def split(self, sides, cut_from_store):
        self.side, self.cut_from_store = sides, set(cut_from_store)
        for sender, to, one, other in list(self.links):
            if self.are_cut(sender, to):
                one.transport.abort()
                other.transport.abort()


# --- Instances ----------------------------------------------------------------------------------------------

class Entry:
    __slots__ = ('term', 'number', 'writes')

    def __init__(self, term, number, writes):
        self.term, self.number, self.writes = term, number, writes

    def at(self):
        return (self.term, self.number)


class Group:
    """A service: one primary and its replicas, with replication over the network."""

    def __init__(self, site, name, sync=0, promote_s=0.6):
        self.site, self.name, self.sync, self.promote_s = site, name, sync, promote_s
        self.instances = {}
        self.term = 1
        self.promotions = []  # (seconds, id, list of entries rolled back)
        self.side = {}  # id -> side of a partition; all 0: none
        self.promoting = set()

    def primary_of(self, term):
        return next((it for it in self.instances.values() if it.role == 'primary' and it.term == term), None)

    def promote(self, number):
        it = self.instances.get(number)
        if it is None or not it.running:
            return 409
        if (it.role == 'primary' and it.term == self.term) or number in self.promoting:
            return 200
        self.promoting.add(number)
        asyncio.create_task(self.lead(it))
        return 200

    async def lead(self, it):
        await asyncio.sleep(self.promote_s)
        self.promoting.discard(it.id)
        if not it.running:
            return
        self.term += 1
        known = {entry.at() for entry in it.log}
        lost = [entry for other in self.instances.values() for entry in other.log if entry.at() not in known]
        self.promotions.append((self.site.record.now(), it.id, lost))
        it.role, it.term, it.paused_at = 'primary', self.term, 0
        it.applied = len(it.log)
        self.site.record(f'platform: {it.id} leads term {self.term} of {self.name}; {len(lost)} entries are '
                         'in other logs only', True)
        it.follow_changed()
        asyncio.create_task(it.beat_once())
        for other in self.instances.values():
            if other is not it and other.role == 'primary':
                asyncio.create_task(other.notice(it))


class Instance:
    def __init__(self, group, number, ip, zone, primary=False, slots=2, max_connections=16, work_s=0.003,
                 shape_work=None):
        self.group, self.id, self.ip, self.zone = group, number, ip, zone
        self.role = 'primary' if primary else 'replica'
        self.term, self.log, self.applied, self.paused_at = 1, [], 0, 0
        self.slots, self.max_connections, self.work_s = slots, max_connections, work_s
        self.state, self.running, self.sequence = 'ready', False, 0
        self.deaf = False  # receives nothing
        self.unreachable_by = set()  # processes whose link to this instance is cut
        self.resets = False  # whether that link resets connections, or is silent
        self.connections = set()
        self.busy = 0
        self.queue = collections.deque()
        self.ran = []  # (seconds, connection, id, text, in transaction)
        self.read_at = {}  # id -> (instance, log, number of its entries that were applied)
        self.begun = {}  # id -> when a slot began to work on it
        self.received = asyncio.Condition()
        self.born = int(time.time() * 1000)
        self.receipt = 0
        self.work_of = lambda text: self.work_s
        self.beats = True
        group.instances[number] = self

    @property
    def record(self):
        return self.group.site.record

    async def start(self):
        self.running = True
        port = getattr(self, 'port', 0)
        self.server = await asyncio.start_server(self.serve, self.ip, port, limit=4 << 20)
        self.port = self.server.sockets[0].getsockname()[1]
        self.beat_task = asyncio.create_task(self.beat())
        self.replication = [asyncio.create_task(self.apply())]

    async def crash(self):
        self.running = False
        self.server.close()
        for it in list(self.connections):
            it.abort()
        self.beat_task.cancel()
        self.record(f'{self.id} crashes', True)

    def entry(self):
        return {'backend': self.group.name, 'address': f'{self.ip}:{self.port}', 'zone': self.zone,
                'version': 'v1', 'slots': self.slots, 'state': self.state, 'cold_remaining_ms': 0,
                'db_role': self.role, 'sequence': self.sequence, 'born': self.born}

    async def beat_once(self):
        store = self.group.site.store
        if store.away or not self.running or not self.beats:
            return
        self.sequence += 1
        await store.put('servers/' + self.id, json.dumps(self.entry()))

    async def beat(self):
        while True:
            await self.beat_once()
            await asyncio.sleep(HEARTBEAT_S)

    def refuse(self, names):
        """Cuts the links to the processes `names`: their connections are reset, and nothing listens any more.
        Open connections of the other processes stay."""
        self.unreachable_by = set(names)
        self.server.close()
        for it in list(self.connections):
            if it.who in self.unreachable_by:
                it.abort()

    def reset(self, names):
        """Cuts the links to the processes `names`: their connections are reset, new ones, too."""
        self.unreachable_by, self.resets = set(names), True
        for it in list(self.connections):
            if it.who in self.unreachable_by:
                it.abort()

    async def listen_again(self):
        self.unreachable_by, self.resets = set(), False
        if self.server.is_serving():
            return
        self.server = await asyncio.start_server(self.serve, self.ip, self.port, limit=4 << 20)

    def cut_off(self, names):
        """Cuts the links to the processes `names`, without a reset."""
        self.unreachable_by = set(names)

    async def drain(self):
        self.state = 'draining'
        await self.beat_once()
        self.record(f'{self.id} reports draining; the store has accepted it', True)

    async def notice(self, leader):
        """The old primary steps down a second after it can reach the new one."""
        while self.is_cut_from(leader) or not leader.running:
            await asyncio.sleep(0.02)
        await asyncio.sleep(1.0)
        if self.running and self.role == 'primary' and self.term < leader.term:
            self.step_down(leader.term)

    def step_down(self, term):
        self.role = 'replica'
        self.record(f'{self.id} steps down before term {term}')
        self.follow_changed()
        asyncio.create_task(self.beat_once())

    def follow_changed(self):
        leader = self.group.primary_of(self.group.term)
        if leader is None:
            return
        for it in self.group.instances.values():
            it.receive_from(leader)

    def is_cut_from(self, other):
        return self.group.side.get(self.id, 0) != self.group.side.get(other.id, 0)

    def receive_from(self, leader):
        if self is leader or self.is_cut_from(leader) or not self.running or self.deaf or self.paused_at or self.role == 'primary' \
                or leader.term < self.term:
            return
        common = 0
        while common < min(len(self.log), len(leader.log)) and self.log[common].at() == leader.log[common].at():
            common += 1
        self.log = self.log[:common] + leader.log[common:]
        self.applied = min(self.applied, common)
        self.term = leader.term

    async def apply(self):
        while True:
            await asyncio.sleep(0.02)
            self.applied = len(self.log)

    def position(self):
        return f'{self.log[-1].term}.{self.log[-1].number}' if self.log else f'{self.term}.0'

    def applied_position(self):
        return f'{self.log[self.applied - 1].term}.{self.log[self.applied - 1].number}' if self.applied \
            else f'{self.term}.0'

    async def commit(self, writes):
        """Appends to the log and sends it on; returns once `sync` replicas have it."""
        entry = Entry(self.term, len(self.log) + 1, writes)
        self.log.append(entry)
        self.applied = len(self.log)
        await asyncio.sleep(0.001)
        while True:
            have = 0
            for it in self.group.instances.values():
                if it is not self:
                    it.receive_from(self)
                    have += 1 if any(e is entry for e in it.log[-200:]) else 0
            if have >= self.group.sync:
                return
            await asyncio.sleep(0.01)

    async def serve(self, reader, writer):
        connection = Connection(self, reader, writer)
        self.connections.add(connection)
        try:
            await connection.run()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.connections.discard(connection)
            writer.close()

    async def slot(self):
        if self.busy < self.slots:
            self.busy += 1
            return True
        if len(self.queue) >= 16:
            return False
        turn = asyncio.get_running_loop().create_future()
        self.queue.append(turn)
        await turn
        return True

    def release(self):
        while self.queue:
            turn = self.queue.popleft()
            if not turn.done():
                turn.set_result(None)
                return
        self.busy -= 1


class Connection:
    """One connection to an instance."""

    def __init__(self, instance, reader, writer):
        self.instance, self.reader, self.writer = instance, reader, writer
        self.state, self.values, self.prepared, self.writes, self.read_only = 'I', {}, {}, [], False
        self.who = ''

    def abort(self):
        self.writer.transport.abort()

    def send(self, text):
        if not self.cut():
            self.writer.write(text.encode('utf-8', 'surrogateescape'))

    def cut(self):
        return self.who in self.instance.unreachable_by

    async def line(self):
        line = await self.reader.readuntil(b'\r\n')
        return line[:-2].decode('utf-8', 'surrogateescape')

    def ready(self):
        return f'READY {self.state} {self.instance.applied_position()}\r\n'

    def error(self, code):
        if self.state == 'T' and code != 'BUSY':
            self.state = 'E'
        self.send(f'ERROR {code} {self.instance.id}\r\n' + self.ready())

    async def run(self):
        instance = self.instance
        words = (await self.line()).split(' ')
        if words[0] != 'CONNECT':
            return self.send('ERROR MALFORMED -\r\n')
        self.who = words[2] if len(words) > 2 else ''
        if self.cut() and instance.resets:
            return self.abort()
        expected = words[3] if len(words) > 3 else instance.id
        await asyncio.sleep(0.012)
        if words[1] != instance.group.name or expected != instance.id:
            return self.send(f'ERROR MOVED {instance.id}\r\n')
        if len(instance.connections) > instance.max_connections:
            return self.send(f'ERROR MAXCONN {instance.id}\r\n')
        self.send(self.ready())
        while True:
            line = await self.line()
            if self.cut():
                continue  # lost on the way
            word, _, rest = line.partition(' ')
            if word == 'QUIT':
                return
            number, _, text = rest.partition(' ')
            await self.query(number, text)

    async def query(self, number, text):
        instance = self.instance
        floor = None
        if text.startswith('AFTER '):
            _, at, text = text.split(' ', 2)
            floor = tuple(int(n) for n in at.split('.'))
        word, _, rest = text.partition(' ')
        if self.state == 'E' and word not in ('COMMIT', 'ROLLBACK'):
            return self.error('MALFORMED')
        if floor is not None:
            have = tuple(int(n) for n in instance.applied_position().split('.'))
            if have < floor:
                return self.error('LAGGING')
        if word in ('READ', 'WRITE', 'EXECUTE', 'COMMIT'):
            if not await instance.slot():
                return self.error('BUSY')
            try:
                await self.statement(number, word, rest, text)
            finally:
                instance.release()
            return
        self.command(word, rest)

    async def statement(self, number, word, rest, text):
        instance = self.instance
        instance.begun[number] = instance.record.now()
        await asyncio.sleep(instance.work_of(text))
        kind = word
        if word == 'EXECUTE':
            shape = self.prepared.get(rest.split(' ')[0])
            if shape is None:
                return self.error('UNKNOWN')
            kind = shape
        plain = self.state == 'T' and not self.read_only
        if instance.role != 'primary' and (kind == 'WRITE' or (plain and not (word == 'COMMIT' and
                                                                              not self.writes))):
            return self.error('READONLY')
        instance.ran.append((instance.record.now(), id(self), number, text[:80], self.state == 'T'))
        instance.read_at[number] = (instance, instance.log, instance.applied)
        rows = ''
        if kind == 'READ':
            rows = 'ROW value\r\n'
        if kind == 'WRITE':
            self.writes.append(number)
        if word == 'COMMIT':
            self.state = 'I'
        if self.state == 'I' and self.writes:
            writes, self.writes = self.writes + ([number] if word == 'COMMIT' else []), []
            await instance.commit(writes)
            if not instance.running:
                return
        instance.receipt += 1
        self.send(f'{rows}COMPLETE {instance.id}.{instance.receipt:x}.mac\r\n' + self.ready())

    def command(self, word, rest):
        instance = self.instance
        if word == 'BEGIN':
            if instance.role != 'primary' and rest != 'READ':
                return self.error('READONLY')
            self.state, self.read_only = 'T', rest == 'READ'
        elif word == 'ROLLBACK':
            self.state, self.writes = 'I', []
        elif word == 'SET':
            name, _, value = rest.partition(' ')
            self.values[name] = value
        elif word == 'PREPARE':
            name, kind, _ = (rest + '  ').split(' ', 2)
            self.prepared[name] = kind
        elif word == 'CLOSE':
            if self.prepared.pop(rest, None) is None:
                return self.error('UNKNOWN')
        elif word == 'RESET':
            self.values, self.prepared = {}, {}
        elif word in ('STATUS', 'PAUSE', 'RESUME', 'STEPDOWN'):
            if word == 'PAUSE' and instance.role == 'replica' and int(rest) > instance.term:
                instance.paused_at = int(rest)
            if word == 'RESUME':
                instance.paused_at = 0
                instance.follow_changed()
            if word == 'STEPDOWN' and instance.role == 'primary' and int(rest) > instance.term:
                instance.step_down(int(rest))
            if word != 'STATUS':
                instance.record(f'{instance.id} gets {word} {rest} from {self.who}')
            self.send(f'ROW {instance.role} {instance.term} {instance.position()} {instance.paused_at} 0 '
                      f'{instance.busy} {len(instance.connections)}\r\nCOMPLETE -\r\n' + self.ready())
            return
        else:
            return self.error('MALFORMED')
        self.send('COMPLETE -\r\n' + self.ready())


# --- Proxies and requesters ---------------------------------------------------------------------------------

class Proxy:
    def __init__(self, site, name, ip, zone, memory_mb=260):
        self.site, self.name, self.ip, self.zone, self.memory_mb = site, name, ip, zone, memory_mb
        self.process = None
        self.starts = 0
        self.ends = 0
        self.store = None  # its own address of the store, if it has one
        self.front = f'{ip}:8784'
        self.probe = f'{ip}:8785'

    def settings(self):
        with open(os.path.join(ROOT, 'deploy', 'settings.json.template'), encoding='utf-8') as file:
            template = file.read()
        return fill(template, {
            'node_name': self.name, 'zone': self.zone, 'ip': self.ip,
            'listen_addrs': {'frontend': self.front, 'ready': self.probe, 'control': f'{self.ip}:8782'},
            'internal_ports': [7440, 7455], 'platform': {'address': self.store or self.site.store.address,
                                                         'min_ttl_ms': 1000},
            'cloud_api': {'address': self.site.cloud.address}, 'bounds': BOUNDS,
            'limits': {'memory_mb': self.memory_mb, 'max_fds': 4300}})

    def start(self):
        path = os.path.join(self.site.folder, self.name + '.json')
        with open(path, 'w', encoding='utf-8') as file:
            file.write(self.settings())
        with open(os.path.join(ROOT, 'deploy', 'system.toml'), 'rb') as file:
            run = tomllib.load(file)['roles']['proxy']['run'].split(' ')
        log = open(os.path.join(self.site.folder, self.name + '.log'), 'ab')
        environment = {name: os.environ[name] for name in ('PATH', 'HOME', 'LANG') if name in os.environ}
        self.process = subprocess.Popen([os.path.join(ROOT, run[0]), *run[1:]], cwd=ROOT, stdout=log, stderr=log,
                                        stdin=subprocess.DEVNULL, env={**environment,
                                                                       'BAOBABPORT_SETTINGS': path})
        log.close()
        self.starts += 1
        self.site.record(f'{self.name} is started (process {self.process.pid})')

    def kill(self, with_signal=signal.SIGKILL):
        if self.process and self.process.poll() is None:
            self.site.record(f'{self.name} gets {signal.Signals(with_signal).name}', True)
            self.process.send_signal(with_signal)

    def rss_mb(self):
        try:
            with open(f'/proc/{self.process.pid}/status', encoding='utf-8') as file:
                for line in file:
                    if line.startswith('VmRSS:'):
                        return int(line.split()[1]) / 1024
        except OSError:
            pass
        return 0.0

    async def is_ready(self):
        try:
            ip, port = self.probe.split(':')
            reader, writer = await asyncio.wait_for(asyncio.open_connection(ip, int(port)), 1)
            writer.write(f'GET /api/ready HTTP/1.1\r\nHost: {self.probe}\r\nConnection: close\r\n\r\n'.encode())
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return b' 200 ' in line
        except (OSError, asyncio.TimeoutError):
            return False


class Session:
    """A requester's session. With `delay_s`, each message takes that long on its way, in each direction."""

    def __init__(self, site, proxy, delay_s=0.0):
        self.site, self.proxy, self.delay_s = site, proxy, delay_s
        self.state = 'I'
        self.closed = False

    async def connect(self, database, who='u1'):
        ip, port = self.proxy.front.split(':')
        self.reader, self.writer = await asyncio.open_connection(ip, int(port), limit=4 << 20)
        self.writer.write(f'CONNECT {database} {who}\r\n'.encode())
        line = await asyncio.wait_for(self.reader.readuntil(b'\r\n'), 2)
        return line.decode().strip()

    async def query(self, text, number=None, timeout=30):
        """Returns (code, rows, receipt); code is OK, the word of an error, or CLOSED."""
        number = number or '%016x' % random.getrandbits(64)
        try:
            await asyncio.sleep(self.delay_s)
            self.writer.write(f'QUERY {number} {text}\r\n'.encode('utf-8', 'surrogateescape'))
            rows, code, receipt = [], None, None
            while True:
                line = await asyncio.wait_for(self.reader.readuntil(b'\r\n'), timeout)
                word, _, rest = line[:-2].decode('utf-8', 'surrogateescape').partition(' ')
                if word == 'ROW':
                    rows.append(rest)
                elif word == 'COMPLETE':
                    code, receipt = 'OK', rest
                elif word == 'ERROR':
                    code, receipt = rest.split(' ')[0], rest
                elif word == 'READY':
                    self.state = rest[:1]
                    await asyncio.sleep(self.delay_s)
                    return code, rows, receipt
        except asyncio.TimeoutError:
            self.closed = True  # a late answer must not be taken for the next one
            self.writer.transport.abort()
            return 'SILENT', [], None
        except (asyncio.IncompleteReadError, ConnectionError):
            self.closed = True
            return 'CLOSED', [], None

    def close(self):
        self.writer.close()


class Site:
    def __init__(self, folder):
        self.out = folder
        self.record = Record(folder)
        self.folder = tempfile.mkdtemp(prefix='baobabport-case-')
        self.groups, self.proxies = {}, []
        self.net = f'127.{random.randint(20, 220)}.{random.randint(1, 250)}'
        self.last_ip = 0
        self.version = 7

    def ip(self):
        self.last_ip += 1
        return f'{self.net}.{self.last_ip}'

    async def start_platform(self):
        self.store, self.cloud = Store(self.record), Cloud(self.record, self)
        await self.store.start(self.ip())
        await self.cloud.start(self.ip())

    def config(self, routes, sync=0, max_connections=16, tx_idle_ms=3000):
        backends = [{'name': it, 'health_path': '/health', 'max_connections': max_connections, 'protocol': 'h1',
                     'tls': False, 'sync_replicas': sync} for it in self.groups]
        return {'version': self.version, 'routes': routes, 'backends': backends,
                'limits': {'max_header_bytes': 16384, 'max_body_bytes': 262144, 'header_timeout_ms': 3000,
                           'idle_timeout_ms': 15000, 'tx_idle_ms': tx_idle_ms}}

    @staticmethod
    def route(database, kind, service, timeout_ms=800, target_ms=100, priority=1, staleness_ms=None):
        out = {'name': 'r-' + database, 'database': database, 'prefix': '/', 'type': kind,
               'timeout_ms': timeout_ms, 'target_latency_ms': target_ms, 'priority': priority,
               'backend': service, 'max_attempts': 2}
        if staleness_ms is not None:
            out['max_staleness_ms'] = staleness_ms
        return out

    async def write_config(self, config):
        self.last_config = json.dumps(config)
        await self.store.put('op/config', self.last_config)
        self.record(f'operator: op/config version {config["version"]} is accepted')

    def add_proxy(self, name, zone, memory_mb=260):
        it = Proxy(self, name, self.ip(), zone, memory_mb)
        self.proxies.append(it)
        return it

    async def wait_ready(self, seconds=15):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if all([await it.is_ready() for it in self.proxies]):
                return
            await asyncio.sleep(0.1)
        raise CannotRun('the proxies are not ready')

    async def wait_for(self, condition, seconds, what):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if condition():
                return
            await asyncio.sleep(0.02)
        raise CannotRun(f'waited {seconds} s for: {what}')

    def stop(self):
        for it in self.proxies:
            if it.process and it.process.poll() is None:
                it.process.kill()
        for it in self.proxies:
            if it.process:
                it.process.wait()


def main(case, folder, limit_s=110):
    """Runs `case(site, trouble)`, which returns a list of violations. Exits with 1, 0 or 2."""
    trouble = os.environ.get('TROUBLE', '1') != '0'
    site = Site(folder)

    status = 2
    loop = asyncio.new_event_loop()
    asyncio.set_event_loop(loop)
    loop.set_exception_handler(lambda _, it: site.record(f'stand-in: {it.get("message")} '
                                                         f'{it.get("exception")!r}'))
    try:
        if not os.access(os.path.join(ROOT, 'target', 'baobabport-proxy'), os.X_OK):
            raise CannotRun('target/baobabport-proxy is not built')
        violations = loop.run_until_complete(asyncio.wait_for(case(site, trouble), limit_s))
        for it in violations[:20]:
            site.record('BROKEN: ' + it, True)
        status = 1 if violations else 0
        site.record('the rule was broken' if violations else 'the rule held', True)
    except CannotRun as ec:
        site.record(f'the case could not run: {ec}', True)
    except asyncio.TimeoutError:
        site.record('the case could not run: it took too long', True)
    except Exception as ec:  # a fault of the case itself is no broken rule
        site.record(f'the case could not run: {ec!r}', True)
    finally:
        site.stop()
        if os.environ.get('KEEP_LOGS'):
            print('logs in', site.folder)
        else:
            for name in os.listdir(site.folder):
                os.unlink(os.path.join(site.folder, name))
            os.rmdir(site.folder)
    sys.stdout.flush()
    os._exit(status)
