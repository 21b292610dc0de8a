"""A commit that `sync_replicas` acknowledged is lost: the leader promotes a replica that lacks it, while the
replica that has it runs, but cannot be reached by the leader alone."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), '..', 'lib-2'))
from small_site import CannotRun, Group, Instance, Session, main  # noqa: E402

DEAF_S = 6.5  # replica_lag, "deaf": for_s of the site file
CUT_S = 5.0  # srv_cut, "some": for_s of `fleetbench kinds`; one of four machines is within its share of .3
CRASH_S = 7.0  # srv_crash, "primary": for_s of the site file


async def writer(site, proxy, acknowledged, stop):
    session, n = None, 0
    while not stop.is_set():
        try:
            if session is None or session.closed:
                session = Session(site, proxy)
                if not (await session.connect('booking')).startswith('READY'):
                    session = None
                    await asyncio.sleep(0.2)
                    continue
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            session = None
            await asyncio.sleep(0.2)
            continue
        n += 1
        number = f'{proxy.name}-{n}'
        code, _, receipt = await session.query(f'WRITE item{n % 50} data{n}', number, 3)
        site.record(f'requester: WRITE {number} -> {code} {receipt or ""}')
        if code == 'OK':
            acknowledged[number] = site.record.now()
        await asyncio.sleep(0.03)


async def case(site, trouble):
    await site.start_platform()
    group = site.groups['visits'] = Group(site, 'visits', sync=1)
    primary = Instance(group, 'i-a1', site.ip(), 'erie-shore', primary=True)
    near = Instance(group, 'i-b2', site.ip(), 'huron-shore')
    behind = Instance(group, 'i-c3', site.ip(), 'michigan-shore')
    for it in (primary, near, behind):
        await it.start()
    await site.write_config(site.config([site.route('booking', 'primary', 'visits')], sync=1))
    for name, zone in (('front-erie-1', 'erie-shore'), ('front-erie-2', 'erie-shore'),
                       ('front-huron-1', 'huron-shore'), ('front-michigan-1', 'michigan-shore')):
        site.add_proxy(name, zone).start()
    await site.wait_ready()
    await site.wait_for(site.store.leader, 10, 'a holder of the duty')
    await asyncio.sleep(4)
    acknowledged, stop = {}, asyncio.Event()
    leader = site.store.leader()
    site.record(f'the duty is held by {leader}', True)
    writers = [asyncio.create_task(writer(site, it, acknowledged, stop)) for it in site.proxies]
    await asyncio.sleep(2)
    if not acknowledged:
        raise CannotRun('no write is acknowledged in calm')
    if trouble:
        behind.deaf = True
        site.record(f'{behind.id} receives nothing', True)
        await asyncio.sleep(1.3)
        near.unreachable_by.add(leader)
        site.record(f'{near.id} is cut off from {leader} only', True)
        await asyncio.sleep(0.3)
        await primary.crash()
        await asyncio.sleep(CUT_S - 0.4)
        near.unreachable_by.clear()
        site.record('the cut heals', True)
        behind.deaf = False
        group.instances[near.id].follow_changed()
        await asyncio.sleep(CRASH_S - CUT_S + 0.2)
        if group.term > primary.term:
            primary.role = 'replica'
        await primary.start()
        site.record(f'{primary.id} is back, with its log', True)
        group.primary_of(group.term).follow_changed()
        await asyncio.sleep(4)
    else:
        await asyncio.sleep(6)
        await primary.drain()  # a planned replacement of the primary
        await site.wait_for(lambda: group.promotions, 15, 'the promotion')
        await asyncio.sleep(3)
    stop.set()
    await asyncio.gather(*writers)
    violations = []
    for at, promoted, lost in group.promotions:
        gone = {number for entry in lost for number in entry.writes}
        for number, acked in acknowledged.items():
            if number in gone and acked < at:
                violations.append(f'LOST: the write {number} was acknowledged at {acked:.3f} s and is not in the '
                                  f'log of {promoted}, promoted at {at:.3f} s')
    if trouble and not group.promotions:
        site.record('nothing was promoted', True)
    site.record(f'{len(acknowledged)} writes acknowledged, {len(group.promotions)} promotions', True)
    return violations


main(case, os.path.dirname(os.path.abspath(__file__)))
