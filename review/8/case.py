"""Two processes promote with the same generation number: the store comes back from a copy that is older than
the hand-over of the duty, which a planned restart had brought about."""

import asyncio
import os
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), '..', 'lib-2'))
from small_site import BOUNDS, CannotRun, Group, Instance, main  # noqa: E402

AWAY_S = 0.5  # "away for a moment"
START_S = 0.3  # from the store's return, or from the end of the process, until the machine starts again


def add_group(site, name):
    group = site.groups[name] = Group(site, name)
    for n, zone in enumerate(('erie-shore', 'huron-shore', 'michigan-shore')):
        Instance(group, f'i-{name}-{n + 1}', site.ip(), zone, primary=n == 0)
    return group


async def replace_primary(site, group):
    """A planned replacement: the primary reports that it leaves."""
    before = len(group.promotions)
    await group.primary_of(group.term).drain()
    await site.wait_for(lambda: len(group.promotions) > before, 20, 'the promotion')


async def case(site, trouble):
    await site.start_platform()
    first, second = add_group(site, 'visits'), add_group(site, 'installs')
    for group in (first, second):
        for it in group.instances.values():
            await it.start()
    await site.write_config(site.config([site.route('booking', 'primary', 'visits'),
                                         site.route('installed', 'primary', 'installs')]))
    for name, zone in (('front-erie-1', 'erie-shore'), ('front-huron-1', 'huron-shore'),
                       ('front-michigan-1', 'michigan-shore')):
        site.add_proxy(name, zone).start()
    await site.wait_ready()
    await site.wait_for(site.store.leader, 10, 'a holder of the duty')
    await asyncio.sleep(5)
    leader = next(it for it in site.proxies if it.name == site.store.leader())
    site.record(f'the duty is held by {leader.name}', True)
    copy = site.store.copy()
    site.record(f'platform: a copy of the store is taken at revision {copy["revision"]}', True)
    await asyncio.sleep(0.2)
    leader.kill(signal.SIGTERM)  # a planned restart
    await site.wait_for(lambda: site.store.leader() not in (None, leader.name), 10, 'the next holder of the duty')
    site.record(f'the duty is held by {site.store.leader()}', True)
    await replace_primary(site, first)
    if trouble:
        await site.store.go_away()
        site.record('platform: the store is away', True)
        await asyncio.sleep(AWAY_S)
        age = time.monotonic() - copy['taken']
        await site.store.come_back(copy)
        site.record(f'platform: the store is back from a copy that is {age:.1f} s old', True)
        await site.store.put('op/config', site.last_config)
        for group in (first, second):
            for it in group.instances.values():
                await it.beat_once()
    await site.wait_for(lambda: leader.process.poll() is not None, BOUNDS['grace_s'], 'the end of the process')
    site.record(f'{leader.name} has ended with {leader.process.returncode}', True)
    await asyncio.sleep(START_S)
    leader.start()
    await site.wait_ready()
    await asyncio.sleep(2)
    site.record(f'the duty is held by {site.store.leader()}', True)
    await replace_primary(site, second)
    await asyncio.sleep(1)
    holders = {}
    for _, holder, token, _, _, status in site.cloud.orders:
        if status == 200:
            holders.setdefault(token, set()).add(holder)
    if len(site.cloud.orders) < 2:
        raise CannotRun('two promotions are needed')
    return [f'ONE: {" and ".join(sorted(names))} promoted with the same generation number {token}'
            for token, names in holders.items() if len(names) > 1]


main(case, os.path.dirname(os.path.abspath(__file__)))
