"""A planned stop cuts requests off: a process goes on taking statements of busy transactions, which are sent
later than 3 s after the SIGTERM, and ends while instances are at work on them."""

import asyncio
import os
import random
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), '..', 'lib-2'))
from small_site import BOUNDS, CannotRun, Group, Instance, Session, main  # noqa: E402

TIMEOUT_MS = 1500  # of the route: `audit-browse`
DEADLINE_S = 6.0  # of the requester's operation: `audit-browse`
WORK_S = 0.9  # a straggler; within the route's timeout
STATEMENTS = 12  # "a transaction of up to 12 statements"
ONE_WAY_S = 0.001  # requester to machine: 1 ms at terazi-kalib
GRACE_S = BOUNDS['grace_s']


async def auditor(site, proxy, begin_at, out):
    """One operation: a read-only transaction, each statement right after the answer to the one before."""
    session = Session(site, proxy, ONE_WAY_S)
    if not (await session.connect('audit')).startswith('READY'):
        raise CannotRun('no session')
    await asyncio.sleep(max(0, begin_at - site.record.now()))
    begun = site.record.now()
    code, _, _ = await session.query('BEGIN READ')
    for n in range(STATEMENTS + 1):
        if code != 'OK' or site.record.now() - begun > DEADLINE_S:
            break
        number = '%016x' % random.getrandbits(64)
        text = f'READ item{n}' if n < STATEMENTS else 'COMMIT'
        sent = site.record.now()
        code, _, _ = await session.query(text, number, 10)
        site.record(f'requester: {text} {number} sent at {sent:.3f} to {proxy.name} -> {code}')
        out.append((number, sent, site.record.now(), code, begun))
    if code in ('ABORTED', 'BUSY', 'TIMEOUT') and not session.closed:
        await session.query('ROLLBACK')
    session.close()


async def case(site, trouble):
    await site.start_platform()
    group = site.groups['kalib'] = Group(site, 'kalib')
    zones = ('ank-a', 'ank-b', 'kon-c')
    for n, zone in enumerate(zones):
        it = Instance(group, f'i-{n + 1}', site.ip(), zone, primary=n == 0)
        it.work_of = lambda text: WORK_S if text.startswith('READ') else 0.003
        await it.start()
    await site.write_config(site.config([site.route('audit', 'bounded', 'kalib', timeout_ms=TIMEOUT_MS,
                                                    target_ms=400, priority=2, staleness_ms=1500)]))
    for n, zone in enumerate(zones):
        site.add_proxy(f'front-{n + 1}', zone).start()
    await site.wait_ready()
    await asyncio.sleep(4)
    stopped = site.proxies[0]
    begin = site.record.now() + 1.0
    out = []
    # Six slots: two at each instance.
    tasks = [asyncio.create_task(auditor(site, stopped, begin + 0.12 * n, out)) for n in range(6)]
    await asyncio.sleep(0.9)
    term = site.record.now()
    if trouble:
        stopped.kill(signal.SIGTERM)
    await asyncio.wait(tasks, timeout=GRACE_S + 4)
    begun = {}
    for it in group.instances.values():
        begun.update(it.begun)
    violations, served = [], 0
    for number, sent, ended, code, operation in out:
        served += code == 'OK'
        inside = ended - sent < TIMEOUT_MS / 1000 and ended - operation < DEADLINE_S
        planned = trouble and term <= sent and ended <= term + GRACE_S + 1
        # Excused: sent no later than 3 s after the SIGTERM and at work in the last sixth of the grace period.
        excused = sent <= term + 3 and ended >= term + GRACE_S * 5 / 6
        if code == 'CLOSED' and planned and inside and not excused and number in begun and begun[number] < ended:
            violations.append(f'LOST: {number} was sent {sent - term:.3f} s after the SIGTERM, an instance was at '
                              f'work on it from {begun[number] - term:.3f} s on, and its connection ended at '
                              f'{ended - term:.3f} s without an answer')
    site.record(f'{served} statements served, {len(out) - served} not', True)
    if not served:
        raise CannotRun('nothing was served')
    return violations


main(case, os.path.dirname(os.path.abspath(__file__)))
