"""An acknowledged commit that only an unlisted replica has: see claim.txt."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, '..', 'lib-3'))
import site3  # noqa: E402

TROUBLE = os.environ.get('TROUBLE', '1') != '0'  # with 0 the disruption is left out
CUT_S = 5.0  # a replica cannot reach the platform's store for so long
DEAF_S = 6.5  # the other replica receives nothing for so long
CRASH_AFTER_S = 3.9  # the primary crashes so long after both began
DOWN_S = 6.5  # of the primary, until the script ends


async def write_on(site, name, written, end):
    client = None
    while site.record.now() < end:
        try:
            client = client or await site.connect(name, 'db1')
            number, _, answer = await client.query('WRITE item x', timeout=4)
        except (site3.CannotRun, OSError, asyncio.TimeoutError):
            answer = None
        if answer is None:
            client = None
            await asyncio.sleep(0.2)
            continue
        written[number] = (site.record.now(), answer)
        await asyncio.sleep(0.05)


async def case(site, disrupt):
    await asyncio.sleep(3)
    written = {}
    begun = site.record.now()
    writers = [asyncio.create_task(write_on(site, name, written, begun + 1 + CRASH_AFTER_S + DOWN_S)) for name in site.processes]
    # Two further groups, as the deployments have: one of nine instances cannot reach the store.
    for group in ('svc2', 'svc3'):
        more = site.cloud.groups[group] = site3.Group(site.record, site.store, group)
        for n in range(3):
            it = more.add(f'{group}-{n}', 'zone-%d' % (n + 1))
            it.role = 'primary' if n == 0 else 'replica'
            await it.start(site.net + '.%d' % ((20 if group == 'svc2' else 30) + n))
    state = site.state(8)
    state['backends'] += [{'name': it, 'max_connections': 28, 'sync_replicas': 1} for it in ('svc2', 'svc3')]
    await site.store.put('op/config', state)
    await asyncio.sleep(1)
    primary, near, far = (site.group.instances[it] for it in ('i-a', 'i-b', 'i-c'))
    if disrupt:
        site.record(f'{near.id} cannot reach the store; {far.id} receives nothing', True)
        near.reaches_store, far.deaf = False, True
    await asyncio.sleep(CRASH_AFTER_S)
    listed = sorted(it for it in site.store.items if it.startswith('servers/'))
    site.record(f'{primary.id} crashes; listed are {listed}', True)
    log_then = list(primary.log)
    primary.crash()
    if disrupt:
        await asyncio.sleep(CUT_S - CRASH_AFTER_S)
        near.reaches_store = True
        site.record(f'{near.id} reaches the store again', True)
        await asyncio.sleep(DEAF_S - CUT_S)
        far.deaf = False
        site.group.catch_up(far)
    await asyncio.gather(*writers)
    if not site.group.led:
        raise site3.CannotRun('no instance was promoted')
    at, instance, term = site.group.led[0]
    promoted = site.group.promoted_log[term]
    good = [number for number, it in written.items() if it[1].startswith('COMPLETE')]
    before = [n for n in good if site.group.commits[n][1] == primary.id and written[n][0] < at]
    kept = {it[:2] for it in promoted}
    lost = [n for n in before if site.group.committed[n] not in kept]
    site.record(f'{len(before)} commits of {primary.id} were acknowledged to requesters; {instance}, which is '
                f'promoted, lacks {len(lost)} of them', True)
    held = {it[:2] for it in near.log_at_promotion.get(term, [])}
    site.record(f'{near.id}, which ran all the while, had {sum(site.group.committed[n] in held for n in lost)} of '
                f'these {len(lost)} when {instance} was promoted', True)
    if not before or not log_then:
        raise site3.CannotRun('no commit was acknowledged')
    return [f'LOST: {n}, committed at {primary.id} as {site.group.committed[n][0]}.{site.group.committed[n][1]} '
            f'and acknowledged at {written[n][0]:.3f}, is not in the log of {instance}' for n in lost]


sys.exit(site3.run_case(FOLDER, case, TROUBLE, sync_replicas=1))
