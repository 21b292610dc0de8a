"""A group stays without a primary for good: its former primary still leads an earlier term, the remaining replica
follows a later one, whose primary is lost, and the processes that knew of it have been killed."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), '..', 'lib-2'))
from small_site import CannotRun, Group, Instance, Session, main  # noqa: E402

DOWN_S = 1.0  # final fault: down_s 0.5 to 1.5 in the site files
RECOVERY_S = 12


async def operation(site, proxy, number, out):
    begun, code = site.record.now(), 'NONE'
    try:
        session = Session(site, proxy)
        if (await session.connect('booking' if number % 2 else 'sheet')).startswith('READY'):
            text = 'WRITE item data' if number % 5 == 0 and number % 2 else 'READ item'
            code, _, _ = await session.query(text, f'{proxy.name}-{number}', 3)
            session.close()
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        pass
    out.append((begun, code))


async def traffic(site, proxy, stop, out):
    number = 0
    while not stop.is_set():
        number += 1
        asyncio.create_task(operation(site, proxy, number, out))
        await asyncio.sleep(0.1)


async def case(site, trouble):
    await site.start_platform()
    group = site.groups['visits'] = Group(site, 'visits')
    instances = [Instance(group, f'i-{n + 1}', site.ip(), f'zone-{n + 1}', primary=n == 0) for n in range(3)]
    for it in instances:
        await it.start()
    await site.write_config(site.config([site.route('booking', 'primary', 'visits'),
                                         site.route('sheet', 'bounded', 'visits', timeout_ms=1200, target_ms=300,
                                                    priority=2, staleness_ms=1500)]))
    for n in range(4):
        site.add_proxy(f'front-{n + 1}', f'zone-{n % 3 + 1}').start()
    await site.wait_ready()
    await site.wait_for(site.store.leader, 10, 'a holder of the duty')
    await asyncio.sleep(5)
    out, stop = [], asyncio.Event()
    for it in site.proxies:
        asyncio.create_task(traffic(site, it, stop, out))
    await asyncio.sleep(3)
    primary = instances[0]
    if trouble:
        leader = site.store.leader()
        cut = [leader, next(it.name for it in site.proxies if it.name != leader)]
        site.record(f'{primary.id} is cut off from its replicas, {" and ".join(cut)}', True)
        group.side = {primary.id: 1}
        primary.cut_off(cut)
        await site.wait_for(lambda: group.promotions, 10, 'the promotion')
        await asyncio.sleep(2.6)
    lost = group.primary_of(group.term)
    fault = site.record.now()
    for it in site.proxies:
        it.kill()
    if trouble:
        await lost.crash()
        group.side = {}
        primary.unreachable_by = set()
        site.record('the cut heals', True)
    await asyncio.sleep(DOWN_S)
    for it in site.proxies:
        it.start()
    back = site.record.now()
    if trouble:
        del group.instances[lost.id]  # its entry is removed after three ping intervals of silence
    await asyncio.sleep(RECOVERY_S + 20)
    stop.set()
    await asyncio.sleep(2)
    before = [code == 'OK' for begun, code in out if begun < fault]
    after = [code == 'OK' for begun, code in out if begun >= back + RECOVERY_S]
    site.record(f'served: {sum(before)} of {len(before)} before the fault, {sum(after)} of {len(after)} later than '
                f'{RECOVERY_S} s after the machines were back', True)
    if sum(before) < len(before) / 4:
        raise CannotRun('too little was served before the fault')
    return ['RECOVER: less than a quarter is served'] if sum(after) < len(after) / 4 else []


main(case, os.path.dirname(os.path.abspath(__file__)))
