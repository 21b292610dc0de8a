"""A primary is replaced as planned while one replica of its group receives nothing."""
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib"))
from loopback_site import Site, TROUBLE, in_thread, main, route  # noqa: E402

ZONES = ("erie-shore", "huron-shore", "michigan-shore")
SERVICES = ["db%d" % n for n in range(6)]


def writer(site, at, name, database, acked, stop):
    session, n = None, 0
    while not stop:
        try:
            if session is None:
                session = site.session(name, at, database, 0)
            n += 1
            id = session.send("WRITE %s visit%d" % (name, n))
            out = session.answer(3)
            if any(it.startswith("COMPLETE") for it in out):
                acked[id] = time.monotonic()
            if not out[-1].startswith("READY"):
                session = None
        except Exception:
            session = None
        time.sleep(0.02)


def replace(site, service, acked, breaks):
    group = site.groups[service]
    primary, deaf = group.instances["i-%s-0" % service], group.instances["i-%s-2" % service]
    if TROUBLE:
        site.record("%s receives nothing" % deaf.name)
        deaf.deaf = True
    deaf_from = time.monotonic()
    time.sleep(0.4)
    site.record("%s is to be replaced: it is draining" % primary.name)
    site.register(primary, "draining")
    end = deaf_from + 5
    while group.term == 1 and time.monotonic() < end:
        time.sleep(0.01)
    time.sleep(1.4)
    deaf.deaf = False
    site.record("%s receives again, after %.1f s" % (deaf.name, time.monotonic() - deaf_from))
    new = [it for it in group.instances.values() if it.led_from]
    if not new:
        site.record("%s was not replaced" % primary.name)
        return
    for name, _, ids, at in group.commits:
        if name == primary.name and at > new[0].led_from and ids[0] in acked:
            breaks.append("ONE: %s was committed at %s %.0f ms after %s had taken over, and acknowledged"
                          % (ids[0], name, (at - new[0].led_from) * 1000, new[0].name))


def case(folder):
    site = Site(folder, zones=ZONES, services=SERVICES,
                routes=[route("visits-" + it, it) for it in SERVICES])
    machines = [("front-%d" % n, ZONES[n - 1], n) for n in (1, 2, 3)]
    ats = [site.start(*it) for it in machines]
    site.wait_ready([1, 2, 3])
    time.sleep(3)
    acked, stop = {}, []
    for n, at in enumerate(ats):
        for service in SERVICES:
            in_thread(writer, site, at, "w%d%s" % (n, service), "visits-" + service, acked, stop)
    time.sleep(2)
    breaks = []
    for service in SERVICES:  # one replica at a time receives nothing
        replace(site, service, acked, breaks)
    stop.append(True)
    site.record("%d writes were acknowledged" % len(acked))
    return breaks


main(HERE, case)
