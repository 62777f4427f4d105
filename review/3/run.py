"""A promotion is asked for again without looking whether the replicas are still paused."""

import asyncio
import pathlib
import sys
import time

sys.dont_write_bytecode = True
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standin"))

from site_standin import Caller, run_case

# How long the call of the duty is refused.
DUTY_DOWN_S = 4.5
# How long the primary and then a replica are down.
PRIMARY_DOWN_S = 2.2
REPLICA_DOWN_S = 0.8


async def scenario(site, trouble):
    group = site.groups[0]
    callers = [Caller(site, name, group) for name in site.gateways for _ in range(2)]
    await site.until("all callers are served", lambda: all(c.served > 5 for c in callers), 30)
    await asyncio.sleep(3.0)
    if not trouble:
        await asyncio.sleep(20.0)
        return
    primary, first, second = group.servers
    start = time.monotonic()
    primary.crash()
    asyncio.get_running_loop().call_later(0.5, setattr, site, "duty", "refuse")
    asyncio.get_running_loop().call_later(0.5 + DUTY_DOWN_S, setattr, site, "duty", "answer")
    await asyncio.sleep(PRIMARY_DOWN_S)
    await site.until("both replicas are paused", lambda: first.pause_term and second.pause_term, 3)
    await primary.start()
    # The servers' names decide which of two equal replicas is to be promoted.
    replica = second
    replica.crash()
    await asyncio.sleep(REPLICA_DOWN_S)
    await replica.start()
    await site.until("a server is promoted", lambda: any(s.term > 1 for s in group.servers), 20)
    site.record.note(f"promoted {time.monotonic() - start:.1f} s after the primary's crash")
    await asyncio.sleep(4.0)


run_case(sys.argv[1], scenario)
