"""Two processes promote with the same generation number: the store comes back from a copy that lacks the
record of the first one's generation, and the processes that knew it have lost power."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), '..', 'lib-2'))
from small_site import CannotRun, Group, Instance, main  # noqa: E402

AWAY_S = 0.6  # "away for a moment"
DOWN_S = 1.5  # all machines without power: a final fault's down_s is 0.5 to 1.5 in the site files
LATER_S = 0.3  # "All machines start within 0.3 s of each other, in any order"


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


async def start_proxies(site, last=None):
    for it in site.proxies:
        if it.name != last:
            it.start()
    await asyncio.sleep(LATER_S)
    for it in site.proxies:
        if it.name == last:
            it.start()


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
        site.add_proxy(name, zone)
    await asyncio.sleep(0.5)
    copy = site.store.copy()
    site.record(f'platform: a copy of the store is taken at revision {copy["revision"]}', True)
    await start_proxies(site)
    await site.wait_ready()
    await site.wait_for(site.store.leader, 10, 'a holder of the duty')
    leader = site.store.leader()
    site.record(f'the duty is held by {leader}', True)
    await replace_primary(site, first)
    await asyncio.sleep(0.5)
    if trouble:
        await site.store.go_away()
        for it in site.proxies:
            it.kill()
        await asyncio.sleep(AWAY_S)
        age = time.monotonic() - copy['taken']
        await site.store.come_back(copy)
        site.record(f'platform: the store is back from a copy that is {age:.1f} s old', True)
        await site.store.put('op/config', site.last_config)
        for group in (first, second):
            for it in group.instances.values():
                await it.beat_once()
        await asyncio.sleep(DOWN_S - AWAY_S)
        await start_proxies(site, last=leader)
        await site.wait_ready()
        await site.wait_for(site.store.leader, 10, 'a holder of the duty')
        site.record(f'the duty is held by {site.store.leader()}', True)
        if site.store.leader() == leader:
            raise CannotRun('the same process holds the duty again')
    await replace_primary(site, second)
    await asyncio.sleep(1)
    holders = {}
    for _, holder, token, _, _, status in site.cloud.orders:
        if status == 200:
            holders.setdefault(token, set()).add(holder)
    return [f'ONE: {" and ".join(sorted(names))} promoted with the same generation number {token}'
            for token, names in holders.items() if len(names) > 1]


main(case, os.path.dirname(os.path.abspath(__file__)))
