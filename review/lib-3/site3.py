"""A small site on loopback addresses for the cases of the third review.

The platform's store, the promotion endpoint and the instances are stand-ins that run in this process, written
from PROTOCOL.md, DEPLOY.md and RULES.md of the users' pages. The proxies are the project's own program, built
by the command of the deploy file, as separate processes with settings rendered from the deploy template.
"""

import asyncio
import base64
import json
import os
import re
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), '..', '..'))
PROGRAM = os.environ.get('CASE_PROGRAM', os.path.join(ROOT, 'target', 'baobabport-proxy'))
HEARTBEAT_S = 1.2
BOUNDS = {'grace_s': 6, 'config_apply_ms': 3000, 'drain_ms': 7000, 'contact_ms': 4000, 'lost_slack_ms': 200}


class CannotRun(Exception):
    """The case could not be brought about; this says nothing about the rule."""


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


async def read_http(reader):
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1').split('\r\n')
    method, target, _ = head[0].split(' ', 2)
    headers = {}
    for it in head[1:]:
        if ':' in it:
            name, value = it.split(':', 1)
            headers[name.strip().lower()] = value.strip()
    return method, target, headers, await reader.readexactly(int(headers.get('content-length', '0')))


def http_bytes(status, body, headers=''):
    data = json.dumps(body).encode()
    return (f'HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n{headers}'
            f'Content-Length: {len(data)}\r\n\r\n').encode() + data


class Store:
    """The platform's key-value store."""

    def __init__(self, record):
        self.record = record
        self.items, self.history, self.leases = {}, [], {}
        self.revision, self.last_lease = 100, 0
        self.changed = asyncio.Condition()
        self.beats = {}  # key of an instance's entry -> time of its last write
        self.era, self.away, self.writers = 1, False, set()

    async def start(self, ip):
        self.server = await asyncio.start_server(self.serve, ip, 0, limit=8 << 20)
        self.address = '%s:%d' % self.server.sockets[0].getsockname()[:2]
        self.expiry = asyncio.create_task(self.expire())

    async def expire(self):
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for number in [n for n, it in self.leases.items() if it[1] <= now]:
                del self.leases[number]
                for key in [k for k, it in self.items.items() if it['lease_id'] == number]:
                    await self.remove(key)
            for key in [k for k, at in self.beats.items() if now - at > 3 * HEARTBEAT_S]:
                del self.beats[key]
                self.record(f'store: {key} is removed after three ping intervals of silence')
                await self.remove(key)

    async def notify(self):
        async with self.changed:
            self.changed.notify_all()

    def write(self, key, value, lease=0):
        old = self.items.get(key)
        self.items[key] = {'key': key, 'value': base64.b64encode(value).decode(), 'revision': self.revision,
                           'created_at': old['created_at'] if old else self.revision, 'lease_id': lease}
        self.history.append((self.revision, key, self.items[key]))

    async def put(self, key, value):
        self.revision += 1
        if key.startswith('servers/'):
            self.beats[key] = time.monotonic()
        self.write(key, json.dumps(value).encode())
        await self.notify()

    async def remove(self, key):
        if self.items.pop(key, None):
            self.revision += 1
            self.history.append((self.revision, key, {'key': key, 'revision': self.revision, 'tombstone': True}))
            await self.notify()

    def leader(self):
        """Returns the machine that the process's leader key names, or none."""
        it = self.items.get('baobabport/failover/holder')
        return json.loads(base64.b64decode(it['value']))['vm'] if it else None

    def copy(self):
        """Returns a copy of the store, as a backup keeps it."""
        now = time.monotonic()
        return {'items': {k: dict(v) for k, v in self.items.items()}, 'history': list(self.history),
                'leases': {n: (ttl, end - now) for n, (ttl, end) in self.leases.items()},
                'revision': self.revision, 'last_lease': self.last_lease}

    def go_away(self):
        self.away = True
        for it in list(self.writers):
            it.transport.abort()

    def come_back(self, copy):
        """Comes back from the copy: what was written since is gone."""
        now = time.monotonic()
        self.items, self.history, self.revision = copy['items'], copy['history'], copy['revision']
        self.last_lease = copy['last_lease']
        self.leases = {n: (ttl, now + left) for n, (ttl, left) in copy['leases'].items()}
        self.beats = {key: now for key in self.items if key.startswith('servers/')}
        self.era += 1
        self.away = False

    async def serve(self, reader, writer):
        if self.away:
            writer.transport.abort()
            return
        self.writers.add(writer)
        try:
            while True:
                method, target, _, body = await read_http(reader)
                status, out = await self.answer(method, target, body)
                await asyncio.sleep(0.004)
                writer.write(http_bytes(status, out, f'Store-Era: {self.era}\r\n'))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, method, target, body):
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        if url.path == '/api/kv-key':
            it = self.items.get(query['key'])
            return (200, dict(it, as_of=self.revision)) if it else (404, {})
        if url.path == '/api/kv-range':
            keys = sorted(k for k in self.items if k.startswith(query['prefix']) and k > query.get('after', ''))
            return 200, {'items': [self.items[k] for k in keys[:500]], 'has_more': len(keys) > 500,
                         'as_of': self.revision}
        if url.path == '/api/kv-watch':
            return await self.watch(int(query['after']), query['prefix'], int(query['wait_ms']) / 1000)
        if url.path == '/api/kv-txn':
            return await self.change(json.loads(body))
        if url.path == '/api/kv-lease':
            ttl = max(1000, int(json.loads(body)['ttl_ms']))
            self.last_lease += 1
            self.leases[self.last_lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {'lease_id': self.last_lease, 'ttl_ms': ttl}
        if url.path.startswith('/api/kv-keep/'):
            number = int(url.path.rsplit('/', 1)[1])
            if number not in self.leases:
                return 404, {}
            ttl = self.leases[number][0]
            self.leases[number] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {'lease_id': number, 'ttl_ms': ttl}
        if url.path.startswith('/api/kv-lease-end/'):
            self.leases.pop(int(url.path.rsplit('/', 1)[1]), None)
            return 200, {}
        return 404, {}

    async def watch(self, after, prefix, wait_s):
        end = time.monotonic() + wait_s
        if after > self.revision:
            return 410, {}
        while True:
            events = [it for revision, key, it in self.history if revision > after and key.startswith(prefix)]
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
            return 412, {'items': [self.items[it['key']] for it in rows if it['key'] in self.items]}
        if any(it.get('lease_id', 0) and it['lease_id'] not in self.leases for it in wanted.get('writes', [])):
            return 404, {}
        self.revision += 1
        for it in wanted.get('writes', []):
            self.write(it['key'], base64.b64decode(it['value']), it.get('lease_id', 0))
        for key in wanted.get('remove', []):
            if self.items.pop(key, None):
                self.history.append((self.revision, key,
                                     {'key': key, 'revision': self.revision, 'tombstone': True}))
        await self.notify()
        return 200, {'revision': self.revision}


class Cloud:
    """The platform's endpoint for promotions."""

    def __init__(self, record, groups):
        self.record, self.groups, self.orders = record, groups, []
        self.delay_s = 0.01  # how long the platform takes for an order

    async def start(self, ip):
        self.server = await asyncio.start_server(self.serve, ip, 0)
        self.address = '%s:%d' % self.server.sockets[0].getsockname()[:2]

    async def serve(self, reader, writer):
        try:
            while True:
                _, target, headers, body = await read_http(reader)
                wanted = json.loads(body)
                self.record(f'platform: receives /promote {wanted["id"]}', True)
                await asyncio.shield(asyncio.sleep(self.delay_s))
                status = self.groups[wanted['backend']].promote(wanted['id']) if target == '/promote' else 404
                self.orders.append((self.record.now(), headers.get('x-lease-holder'), wanted['id'], status))
                self.record(f'platform: /promote {wanted["id"]} by {headers.get("x-lease-holder")} with '
                            f'{headers.get("x-fencing-token")} -> {status}', True)
                writer.write(http_bytes(status, {}))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


class Connection:
    def __init__(self, writer):
        self.writer = writer
        self.values, self.prepared = {}, {}
        self.state, self.read_only, self.writes = 'I', False, []


class Instance:
    """One instance of a group. Its log is a list of (term, number, data)."""

    def __init__(self, group, name, zone):
        self.group, self.id, self.zone = group, name, zone
        self.log, self.term, self.role, self.paused = [], 1, 'replica', 0
        self.connections, self.busy = set(), 0
        self.log_at_promotion = {}  # by term
        self.server, self.heart, self.sequence = None, None, 0
        self.reaches_store, self.deaf, self.draining = True, False, False
        self.awake = asyncio.Event()  # cleared while the instance is dark: it neither reads nor answers
        self.awake.set()
        self.born = int(time.time() * 1000)

    def position(self):
        return (self.log[-1][0], self.log[-1][1]) if self.log else (1, 0)

    def position_text(self):
        return '%d.%d' % self.position()

    async def start(self, ip):
        self.server = await asyncio.start_server(self.serve, ip, 0, limit=4 << 20)
        self.address = '%s:%d' % self.server.sockets[0].getsockname()[:2]
        self.heart = asyncio.create_task(self.beat())

    async def beat(self):
        while True:
            await self.awake.wait()
            await self.report()
            await asyncio.sleep(HEARTBEAT_S)

    async def report(self):
        self.sequence += 1
        if self.reaches_store and not self.group.store.away:
            await self.group.store.put('servers/' + self.id, {
                'backend': self.group.name, 'address': self.address, 'zone': self.zone, 'version': 'v1',
                'slots': self.group.slots, 'state': 'draining' if self.draining else 'ready',
                'cold_remaining_ms': 0, 'sequence': self.sequence, 'db_role': self.role, 'born': self.born})

    def crash(self):
        self.heart.cancel()
        self.server.close()
        for it in list(self.connections):
            it.writer.transport.abort()
        self.connections.clear()
        self.server = None

    def running(self):
        return self.server is not None

    async def serve(self, reader, writer):
        at = Connection(writer)
        self.connections.add(at)
        try:
            while True:
                line = (await reader.readuntil(b'\r\n'))[:-2].decode('latin-1')
                await self.awake.wait()
                word, _, rest = line.partition(' ')
                if word == 'CONNECT':
                    fields = rest.split(' ')
                    if fields[0] != self.group.name or (len(fields) > 2 and fields[2] != self.id):
                        writer.write(f'ERROR MOVED {self.id}\r\n'.encode())
                        return
                    if len(self.connections) > self.group.max_connections:
                        writer.write(f'ERROR MAXCONN {self.id}\r\n'.encode())
                        return
                    await asyncio.sleep(0.012)
                    writer.write(f'READY I {self.position_text()}\r\n'.encode())
                elif word == 'QUERY':
                    number, _, text = rest.partition(' ')
                    answer = await self.query(at, number, text)
                    await self.awake.wait()
                    if self.running():
                        writer.write((answer + f'READY {at.state} {self.position_text()}\r\n').encode('latin-1'))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(at)  # a closed connection rolls back
            writer.close()

    def error(self, at, code):
        if at.state == 'T':
            at.state = 'E'
        return f'ERROR {code} {self.id}\r\n'

    async def query(self, at, number, text):
        if text.startswith('AFTER '):
            _, floor, text = text.split(' ', 2)
            if self.position() < tuple(int(it) for it in floor.split('.')):
                return self.error(at, 'LAGGING')
        word, _, rest = text.partition(' ')
        if at.state == 'E' and word not in ('COMMIT', 'ROLLBACK'):
            return self.error(at, 'MALFORMED')
        if word == 'EXECUTE' and rest.partition(' ')[0] not in at.prepared:
            return self.error(at, 'UNKNOWN')
        if word in ('READ', 'WRITE', 'COMMIT', 'EXECUTE'):
            if self.busy >= self.group.slots + self.group.queue:
                return f'ERROR BUSY {self.id}\r\n'
            self.busy += 1
            self.group.begun_log.append((self.group.record.now(), self.id, number, text))
            try:
                await asyncio.sleep(self.group.work_s(number, text))
                await self.awake.wait()
                if at not in self.connections:
                    return ''
                return await self.run(at, number, word, rest, text)
            finally:
                self.busy -= 1
        return self.command(at, word, rest)

    async def run(self, at, number, word, rest, text):
        if word == 'EXECUTE':
            name, _, rest = rest.partition(' ')
            word = at.prepared[name]
        lost_lead = self.role != 'primary'
        if lost_lead and (word == 'WRITE' or (at.state == 'T' and not at.read_only)):
            return self.error(at, 'READONLY')
        self.group.ran(self, number, text)
        rows = ''
        if word == 'READ':
            rows = f'ROW {rest}\r\n'
        elif word == 'WRITE':
            at.writes.append(rest)
        if word == 'COMMIT' or (word == 'WRITE' and at.state == 'I'):
            data, at.writes, at.state = at.writes, [], 'I'
            if data and not await self.group.commit(self, number, data):
                return self.error(at, 'FAILED')
        return rows + f'COMPLETE {self.id}.{number}.mac\r\n'

    def command(self, at, word, rest):
        ok = 'COMPLETE -\r\n'
        if word == 'BEGIN':
            if self.role != 'primary' and not rest:
                return self.error(at, 'READONLY')
            at.state, at.read_only, at.writes = 'T', bool(rest), []
            return ok
        if word == 'ROLLBACK':
            at.state, at.writes = 'I', []
            return ok
        if word == 'SET':
            name, _, value = rest.partition(' ')
            at.values[name] = value
            return ok
        if word == 'PREPARE':
            name, _, shape = rest.partition(' ')
            at.prepared[name] = shape.partition(' ')[0]  # READ or WRITE
            return ok
        if word == 'CLOSE':
            at.prepared.pop(rest, None)
            return ok
        if word == 'RESET':
            at.values, at.prepared = {}, {}
            return ok
        if word == 'PAUSE' and self.role == 'replica' and int(rest) > self.term:
            self.paused = int(rest)
        if word == 'RESUME':
            self.paused = 0
            self.group.catch_up(self)
        if word == 'STEPDOWN' and self.role == 'primary' and int(rest) > self.term:
            self.role = 'replica'
        if word in ('PAUSE', 'RESUME', 'STEPDOWN', 'STATUS'):
            return (f'ROW {self.role} {self.term} {self.position_text()} {self.paused} 0 {self.busy} '
                    f'{len(self.connections)}\r\n' + ok)
        return self.error(at, 'MALFORMED')


class Group:
    """A service: one primary and its replicas, with the replication between them."""

    def __init__(self, record, store, name, sync_replicas=0, work=lambda number, text: 0.004):
        self.record, self.store, self.name, self.sync = record, store, name, sync_replicas
        self.slots, self.queue, self.max_connections = 2, 16, 28
        self.work_s = work
        self.instances, self.term, self.promoting = {}, 1, None
        self.run_log = []  # (seconds, instance, id, text)
        self.committed = {}  # statement id -> (term, number), as acknowledged by an instance
        self.commits = {}  # statement id -> (seconds, instance)
        self.led = []  # (seconds, instance, term): when a promote took effect
        self.promoted_log = {}  # term -> log of the instance that was promoted, at that moment
        self.begun_log = []  # (seconds, instance, id, text): when an instance began to work on a statement
        self.receipts = asyncio.Condition()

    def ran(self, instance, number, text):
        self.run_log.append((self.record.now(), instance.id, number, text))
        self.record(f'{instance.id} runs {number} {text[:60]}')

    def add(self, name, zone):
        self.instances[name] = Instance(self, name, zone)
        return self.instances[name]

    def primary(self):
        return next((it for it in self.instances.values() if it.role == 'primary' and it.term == self.term), None)

    def receives(self, replica, source):
        return (replica is not source and replica.running() and replica.role == 'replica' and not replica.deaf
                and replica.paused == 0 and replica.term <= source.term)

    def catch_up(self, replica):
        source = self.primary()
        if source and source.running() and self.receives(replica, source):
            replica.log, replica.term = list(source.log), source.term

    async def commit(self, at, number, data):
        entry = (at.term, at.position()[1] + 1, data)
        at.log.append(entry)
        self.commits[number] = (self.record.now(), at.id)
        if self.sync == 0:
            asyncio.create_task(self.replicate(at))
        else:
            while not await self.replicate(at, entry):
                if not at.running():
                    return False
        self.committed[number] = entry[:2]
        self.record(f'{at.id} acknowledges {number} at {entry[0]}.{entry[1]}')
        return True

    async def replicate(self, at, entry=None):
        await asyncio.sleep(0.002)
        for it in self.instances.values():
            if at.running() and self.receives(it, at):
                it.log, it.term = list(at.log), at.term
        return entry is None or sum(1 for it in self.instances.values()
                                    if it is not at and entry in it.log) >= self.sync

    def promote(self, name):
        chosen = self.instances.get(name)
        if not chosen or not chosen.running():
            return 409
        if not (chosen.role == 'primary' and chosen.term == self.term) and self.promoting != name:
            self.promoting = name
            asyncio.create_task(self.lead(chosen))
        return 200

    async def lead(self, chosen):
        await asyncio.sleep(0.6)
        self.promoting = None
        if not chosen.running():
            return
        before = self.primary()
        self.term += 1
        chosen.role, chosen.term, chosen.paused = 'primary', self.term, 0
        self.led.append((self.record.now(), chosen.id, self.term))
        self.promoted_log[self.term] = list(chosen.log)
        for it in self.instances.values():
            it.log_at_promotion[self.term] = list(it.log)
        self.record(f'{chosen.id} leads term {self.term} at {chosen.position_text()}', True)
        for it in self.instances.values():
            if it is not chosen:
                it.paused = 0
                if it is not before:
                    self.catch_up(it)
        await chosen.report()
        if before and before is not chosen:
            await asyncio.sleep(1)
            if before.running():
                before.role = 'replica'
                self.catch_up(before)


class Site:
    """The stand-ins and the proxies."""

    def __init__(self, folder, proxies=3, sync_replicas=0, work=lambda number, text: 0.004, limits=None,
                 grace_s=6):
        self.folder, self.count, self.grace_s = folder, proxies, grace_s
        self.limits = limits or {'memory_mb': 260, 'max_fds': 4300}
        self.record = Record(folder)
        self.temp = tempfile.mkdtemp(prefix='baobabport-case-')
        self.store = Store(self.record)
        self.group = Group(self.record, self.store, 'svc', sync_replicas, work)
        self.cloud = Cloud(self.record, {'svc': self.group})
        self.processes, self.values = {}, {}
        self.net = '127.%d.%d' % (64 + os.getpid() // 250 % 128, os.getpid() % 250)

    def state(self, version, **changes):
        route = {'name': 'r1', 'database': 'db1', 'backend': 'svc', 'type': 'primary', 'timeout_ms': 1500,
                 'target_latency_ms': 300, 'priority': 1, 'max_staleness_ms': 1500}
        bounded = dict(route, name='r2', database='db2', type='bounded')
        own = dict(route, name='r3', database='db3', type='read_your_writes')
        out = {'version': version, 'routes': [route, bounded, own],
               'backends': [{'name': 'svc', 'max_connections': self.group.max_connections,
                             'sync_replicas': self.group.sync}],
               'limits': {'tx_idle_ms': 5000}}
        out.update(changes)
        return out

    async def start(self):
        if not os.access(PROGRAM, os.X_OK):
            raise CannotRun(f'{PROGRAM} is not built')
        await self.store.start(self.net + '.1')
        await self.cloud.start(self.net + '.1')
        for n, name in enumerate(('i-a', 'i-b', 'i-c')):
            it = self.group.add(name, 'zone-%d' % (n + 1))
            it.role = 'primary' if n == 0 else 'replica'
            await it.start(self.net + '.%d' % (10 + n))
        await self.store.put('op/config', self.state(7))
        for n in range(self.count):
            self.start_proxy('front-%d' % (n + 1), n)
        await self.until(lambda: all(self.ready(it) for it in self.processes), 20, 'ready proxies')
        await self.until(lambda: self.store.leader(), 10, 'a leader')

    def start_proxy(self, name, n):
        ip = self.net + '.%d' % (100 + n)
        bounds = dict(BOUNDS, grace_s=self.grace_s)
        values = {'node_name': name, 'zone': 'zone-%d' % (n % 3 + 1), 'ip': ip, 'internal_ports': [7440, 7455],
                  'listen_addrs': {'frontend': ip + ':8784', 'ready': ip + ':8785', 'control': ip + ':8782'},
                  'platform': {'address': self.store.address, 'min_ttl_ms': 1000},
                  'cloud_api': {'address': self.cloud.address}, 'bounds': bounds, 'limits': self.limits}

        def value(match):
            at = values
            for key in match.group(1).split('.'):
                at = at[int(key)] if isinstance(at, list) else at.get(key)
                if at is None:
                    return ''
            return str(at)

        with open(os.path.join(ROOT, 'deploy', 'settings.json.template'), encoding='utf-8') as it:
            text = re.sub(r'\{\{([\w.]+)\}\}', value, it.read())
        path = os.path.join(self.temp, name + '.json')
        with open(path, 'w', encoding='utf-8') as out:
            out.write(text)
        log = open(os.path.join(self.temp, name + '.log'), 'ab')
        self.values[name] = values
        self.processes[name] = subprocess.Popen([PROGRAM], stdout=log, stderr=log, cwd=ROOT,
                                                env={'PATH': os.environ['PATH'], 'BAOBABPORT_SETTINGS': path})
        self.record(f'{name} starts')

    def ready(self, name):
        import http.client
        try:
            link = http.client.HTTPConnection(*self.values[name]['listen_addrs']['ready'].split(':'), timeout=1)
            link.request('GET', '/api/ready')
            return link.getresponse().status == 200
        except OSError:
            return False

    async def until(self, condition, seconds, what):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if await asyncio.to_thread(condition):
                return
            await asyncio.sleep(0.05)
        raise CannotRun(f'no {what} within {seconds} s')

    def signal(self, name, what):
        self.record(f'{name} gets {signal.Signals(what).name}', True)
        self.processes[name].send_signal(what)

    async def connect(self, name, database):
        out = Client(self, name)
        await out.open(database)
        return out

    def stop(self):
        for it in self.processes.values():
            if it.poll() is None:
                it.kill()
            it.wait()
        keep = os.environ.get('CASE_LOGS')
        if keep:
            shutil.copytree(self.temp, keep, dirs_exist_ok=True)
        shutil.rmtree(self.temp, ignore_errors=True)


class Client:
    """A requester's session."""

    numbers = 0

    def __init__(self, site, name):
        self.site, self.name, self.state = site, name, None

    async def open(self, database):
        ip, port = self.site.values[self.name]['listen_addrs']['frontend'].split(':')
        self.reader, self.writer = await asyncio.open_connection(ip, int(port), limit=8 << 20)
        self.writer.write(f'CONNECT {database} u1\r\n'.encode())
        line = (await asyncio.wait_for(self.reader.readuntil(b'\r\n'), 5)).decode()
        if not line.startswith('READY'):
            raise CannotRun(f'{self.name} answered CONNECT with {line.strip()}')

    async def query(self, text, timeout=10):
        """Returns (id, rows, end), where end is the line COMPLETE or ERROR; none: the connection ended."""
        Client.numbers += 1
        number = 'q%08x' % Client.numbers
        self.site.record(f'client at {self.name} sends {number} {text[:60]}')
        rows, end = [], None
        try:
            self.writer.write(f'QUERY {number} {text}\r\n'.encode('latin-1'))
            while True:
                line = (await asyncio.wait_for(self.reader.readuntil(b'\r\n'), timeout))[:-2].decode('latin-1')
                word = line.split(' ', 1)[0]
                if word == 'ROW':
                    rows.append(line[4:])
                elif word in ('COMPLETE', 'ERROR'):
                    end = line
                elif word == 'READY':
                    self.state = line.split(' ')[1]
                    break
        except (asyncio.IncompleteReadError, ConnectionError):
            end = None
        except asyncio.TimeoutError:
            end = 'TIMEOUT'
        self.site.record(f'client at {self.name} gets {number}: {end}')
        return number, rows, end

    def close(self):
        self.writer.close()


def leave(status):
    """Ends the script without a word on the stand-ins' tasks that are still open."""
    sys.stdout.flush()
    os._exit(status)


def run_case(folder, case, disrupt, **options):
    """Runs `case(site, disrupt)`, which returns a list of broken rules. Exits with 0, 1 or 2."""
    site = Site(folder, **options)

    async def main():
        await site.start()
        return await case(site, disrupt)

    async def bounded():
        return await asyncio.wait_for(main(), 110)

    broken, status = [], 2
    try:
        broken = asyncio.run(bounded())
        status = 1 if broken else 0
    except Exception as ec:  # whatever went wrong in the script says nothing about the rule
        site.record(f'the case could not run: {ec!r}', True)
    finally:
        site.stop()
    for it in broken:
        site.record('broken: ' + it, True)
    if status == 0:
        site.record('the rule held', True)
    return leave(status)
