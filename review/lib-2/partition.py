"""Not a case: it goes beyond the limits of the pages. Two primaries serve at once (STALE) in a partition with two
sides, whose links reset connections and refuse new ones; `python3 review/lib-2/partition.py`, TROUBLE=0 without it.

The primary's own cut is inside `primary_cut` (half of the fronts, 6.5 s). But two machines are cut off from the store
(`core_cut`: 1), half of the machines from the others (`node_cut`: a share of 0.35 at most) and a replica from half of
them (`srv_cut` "some": .3), and no arrangement of this kind keeps to all of these.

The code: src/failover/switchover.cpp, `enough_paused`, takes a refused connection for proof that the primary does not
run, and then leaves out replicas that could not be paused; src/replication/group_state.cpp, `confirmed_by_reports`,
relies on the pause of every replica.
"""

import asyncio
import os
import sys
import tempfile

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from small_site import CannotRun, Group, Instance, PeerSwitch, Session, main  # noqa: E402

CUT_S = 6.5  # primary_cut: 7.0 s in the site files
RATE = 15  # a second, at each of four machines; `visit-booking` has 59 in all
ZONES = ('erie-shore', 'huron-shore')


async def operation(site, proxy, idle, kind, number, out):
    """One statement, on an idle session of the requester or on a new one."""
    try:
        session = idle.pop() if idle else None
        if session is None or session.closed:
            session = Session(site, proxy)
            if not (await session.connect('booking')).startswith('READY'):
                return
        sent = site.record.now()
        text = f'{kind} item7' + (' data' if kind == 'WRITE' else '')
        code, _, receipt = await session.query(text, number, 3)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return
    site.record(f'requester: {text} {number} sent at {sent:.3f} to {proxy.name} -> {code} {receipt or ""}')
    out.append((kind, number, sent, site.record.now(), code, (receipt or '').split('.')[0]))
    if not session.closed:
        idle.append(session)


async def traffic(site, proxy, stop, out):
    """Reads and writes on a route that goes to the primary, at a steady rate."""
    idle, tasks, n = [], [], 0
    while not stop.is_set():
        n += 1
        kind = 'WRITE' if n % 3 == 0 else 'READ'
        tasks.append(asyncio.create_task(operation(site, proxy, idle, kind, f'{proxy.name}-{n}', out)))
        await asyncio.sleep(1 / RATE)
    await asyncio.gather(*tasks)


async def case(site, trouble):
    await site.start_platform()
    group = site.groups['visits'] = Group(site, 'visits')
    switch = PeerSwitch(site.record)
    site.last_ip = 100  # addresses of one length
    for n in range(4):
        it = site.add_proxy(f'front-{ZONES[n // 2]}-{n + 1}', ZONES[n // 2])
        await switch.add(it.name, it.ip, site.ip())
        it.store = await site.store.add_endpoint(site.ip(), it.name, switch)
    await site.write_config(site.config([site.route('booking', 'primary', 'visits')]))
    for it in site.proxies:
        it.start()
    await site.wait_for(site.store.leader, 10, 'a holder of the duty')
    leader = site.store.leader()
    near = next(it.zone for it in site.proxies if it.name == leader)
    far = next(it for it in ZONES if it != near)
    site.record(f'the duty is held by {leader} in {near}', True)
    primary = Instance(group, 'i-a1', site.ip(), far, primary=True)
    follower = Instance(group, 'i-b2', site.ip(), far)
    other = Instance(group, 'i-c3', site.ip(), near)
    for it in (primary, follower, other):
        await it.start()
    await site.wait_ready()
    await asyncio.sleep(3)
    out, stop = [], asyncio.Event()
    tasks = [asyncio.create_task(traffic(site, it, stop, out)) for it in site.proxies]
    await asyncio.sleep(2)
    if trouble:
        here = [it.name for it in site.proxies if it.zone == near]
        there = [it.name for it in site.proxies if it.zone == far]
        site.record(f'a partition: {", ".join(here)}, {other.id} and the store on one side, {", ".join(there)}, '
                    f'{primary.id} and {follower.id} on the other; its links refuse connections', True)
        group.side = {primary.id: 1, follower.id: 1}
        switch.split({name: 1 for name in there}, there)
        primary.beats = follower.beats = False
        primary.refuse(here)
        follower.reset(here)
        other.reset(there)
        await asyncio.sleep(CUT_S)
        site.record('the partition heals', True)
        group.side = {}
        switch.split({}, ())
        for it in (primary, follower, other):
            it.beats = True
            await it.listen_again()
        group.primary_of(group.term).follow_changed()
    else:
        await asyncio.sleep(CUT_S)
    await asyncio.sleep(3)
    stop.set()
    await asyncio.gather(*tasks)
    return judge(site, group, out)


def judge(site, group, out):
    entries = {number: (it, entry) for it in group.instances.values() for entry in it.log
               for number in entry.writes}
    commits = []  # acknowledged, and kept: those that a promotion rolled back don't count
    lead = group.primary_of(group.term)
    kept = {number for entry in lead.log for number in entry.writes}
    for kind, number, _, ended, code, _ in out:
        if kind == 'WRITE' and code == 'OK' and number in kept:
            commits.append((ended, number, entries[number][1]))
    commits.sort(key=lambda it: it[0])
    violations, first = 0, []
    for kind, number, sent, _, code, by in out:
        if kind != 'READ' or code != 'OK':
            continue
        instance, log, applied = group.instances[by].read_at[number]  # the instance whose MAC the answer has
        for acknowledged, written, entry in commits:
            if acknowledged >= sent:
                break
            at = entry.number - 1
            if at >= applied or log[at] is not entry:
                violations += 1
                if len(first) < 10:
                    first.append(f'STALE: the read {number} began at {sent:.3f} s and ran on {instance.id}, whose log '
                                 f'lacks the write {written}, acknowledged at {acknowledged:.3f} s')
                break
    lost = sum(1 for kind, number, _, _, code, _ in out if kind == 'WRITE' and code == 'OK' and number not in kept)
    site.record(f'{len(commits)} writes acknowledged and kept, {lost} acknowledged and rolled back, {violations} '
                f'stale reads, {len(group.promotions)} promotions', True)
    if not commits:
        raise CannotRun('no write was acknowledged')
    return first


main(case, tempfile.mkdtemp(prefix='baobabport-partition-'))
