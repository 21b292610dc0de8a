"""Sessions that prepare one long statement after the other: see claim.txt."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, '..', 'lib-3'))
import site3  # noqa: E402

MEMORY_MB = 260  # of a machine, as in the site file
SHAPE_BYTES = 900_000  # a message may have 1 MiB
SESSIONS = 3  # on each of two machines
WATCH_S = 60
ENDS = 3  # "processes end by themselves three times in the day"


async def prepare_on(site, name, database, shape_bytes, served, end):
    client, n = None, 0
    while site.record.now() < end:
        try:
            client = client or await site.connect(name, database)
            n += 1
            for text in (f'PREPARE s READ {n:08d}' + 'x' * shape_bytes, 'EXECUTE s item', 'CLOSE s'):
                answer = (await client.query(text))[2]
                if answer is None:
                    break
                served[answer.split(' ')[0]] = served.get(answer.split(' ')[0], 0) + 1
        except (site3.CannotRun, OSError, asyncio.TimeoutError):
            answer = None
        if answer is None:
            client = None
            await asyncio.sleep(0.3)


def memory_kb(process):
    """Returns the resident memory of the process."""
    try:
        with open(f'/proc/{process.pid}/status', encoding='utf-8') as it:
            return int(next(line.split()[1] for line in it if line.startswith('VmRSS')))
    except (OSError, StopIteration):
        return 0


async def enforce_memory(site, ends, peaks, end):
    """Does what the platform does: kills a process that exceeds its memory, and starts it again."""
    while site.record.now() < end:
        await asyncio.sleep(0.02)
        for n, (name, process) in enumerate(list(site.processes.items())):
            used = memory_kb(process)
            peaks[name] = max(peaks.get(name, 0), used)
            if used <= MEMORY_MB * 1024:
                continue
            process.kill()
            process.wait()
            ends[name] = ends.get(name, 0) + 1
            site.record(f'{name} has {used // 1024} MB of {MEMORY_MB} MB and is killed (end {ends[name]})', True)
            site.start_proxy(name, n)


async def case(site, disrupt):
    await asyncio.sleep(2)
    end = site.record.now() + WATCH_S
    ends, peaks, served = {}, {}, {}
    tasks = [asyncio.create_task(enforce_memory(site, ends, peaks, end))]
    for name, database in (('front-1', 'db2'), ('front-2', 'db2')):
        for _ in range(SESSIONS):
            tasks.append(asyncio.create_task(
                prepare_on(site, name, database, SHAPE_BYTES if disrupt else 20, served, end)))
    while not all(it.done() for it in tasks) and sum(n >= ENDS for n in ends.values()) < 2:
        await asyncio.sleep(0.1)
    for it in tasks:
        it.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    site.record(f'answers: {served}; most memory in MB: { {k: v // 1024 for k, v in peaks.items()} }; '
                f'ends: {ends}', True)
    if served.get('COMPLETE', 0) < 100:
        raise site3.CannotRun('hardly any statement was served')
    often = [name for name, n in ends.items() if n >= ENDS]
    if len(often) < 2:
        return []
    return [f'Fault: the processes of {", ".join(sorted(often))} ended {ENDS} times or more for their memory']


sys.exit(site3.run_case(FOLDER, case, limits={'memory_mb': MEMORY_MB, 'max_fds': 4300}))
