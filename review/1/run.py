"""A promoter that was restarted takes two paused replicas for enough, and leaves out the old primary."""

import asyncio
import pathlib
import signal
import sys
import time

sys.dont_write_bytecode = True
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standin"))

from site_standin import Caller, run_case

# The new server starts this long before the old one drains, as on the bench.
STARTS_BEFORE_S = 1.0
# DrainMs of the site, and a little longer.
DRAIN_S = 8.0
# How long the primary is cut from its replicas; how long before the old primary is gone that begins.
CUT_S = 7.0
CUT_BEFORE_GONE_S = 2.0
# The promoter is killed this long after the old primary is gone, and back a little later.
KILL_AFTER_GONE_S = 0.8
RESTART_S = 0.5


async def scenario(site, trouble):
    group = site.groups[0]
    callers = [Caller(site, name, group) for name in site.gateways for _ in range(2)]
    await site.until("all callers are served", lambda: all(c.served > 5 for c in callers), 30)
    await asyncio.sleep(3.0)
    # Planned work: the primary is replaced.
    old = group.servers[0]
    await group.add(old.zone).start()
    await asyncio.sleep(STARTS_BEFORE_S)
    old.drain()
    drained = time.monotonic()
    await site.until("another server is promoted", lambda: group.leader() is not None and group.leader().term > 1, 10)
    primary = group.leader()
    await asyncio.sleep(drained + DRAIN_S - CUT_BEFORE_GONE_S - time.monotonic())
    replicas = [s for s in group.servers if s not in (primary, old)]
    for server in replicas:
        server.cut_off = trouble
    site.record.note(f"cut: {primary.name} from {' and '.join(s.name for s in replicas)}: {trouble}")
    cut = time.monotonic()
    await asyncio.sleep(CUT_BEFORE_GONE_S)
    old.leave()
    await asyncio.sleep(KILL_AFTER_GONE_S)
    holder = site.gateways[site.holder()]
    if trouble:
        site.signal(holder["name"], signal.SIGKILL)
        await asyncio.sleep(RESTART_S)
        await site.start_gateway(holder["name"], holder["zone"])
    await asyncio.sleep(cut + CUT_S - time.monotonic())
    site.record.note("cut: heals")
    for server in replicas:
        server.cut_off = False
    await asyncio.sleep(5.0)


run_case(sys.argv[1], scenario)
