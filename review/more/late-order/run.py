"""An order to promote that a cut holds up arrives after the next promoter's orders."""

import asyncio
import pathlib
import sys
import time

sys.dont_write_bytecode = True
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "standin"))

from site_standin import Caller, run_case

# How long the promoter's machine is cut from the store, and from the call of the duty.
STORE_CUT_S = 5.5
DUTY_CUT_S = 8.0
# How long the second primary is down.
PRIMARY_DOWN_S = 7.0
# The cut begins this long after the promoter has renewed its lease.
RENEWED_AGO_S = 1.0


async def scenario(site, trouble):
    callers = [Caller(site, name, group) for name in site.gateways for group in site.groups]
    await site.until("all callers are served", lambda: all(c.served > 5 for c in callers), 30)
    await asyncio.sleep(3.0)
    first, second = site.groups[0], site.groups[1]
    first.servers[0].crash()
    await site.until("a first server is promoted", lambda: any(s.term > 1 for s in first.servers), 10)
    await asyncio.sleep(1.0)
    await first.servers[0].start()
    await asyncio.sleep(2.0)
    if not trouble:
        await asyncio.sleep(15.0)
        return
    await site.until(
        "the promoter has renewed its lease lately",
        lambda: 0 <= time.monotonic() - site.store.last_renewal - RENEWED_AGO_S < 0.05,
        5,
    )
    holder = site.gateways[site.holder()]
    site.record.note(f"cut: {holder['name']} from the platform")
    for port in ("store", "duty"):
        holder[port].cut()
    second.servers[0].crash()
    site.start_later(second.servers[0], PRIMARY_DOWN_S)
    await asyncio.sleep(STORE_CUT_S)
    site.record.note(f"cut: {holder['name']} reaches the store again")
    holder["store"].heal()
    await asyncio.sleep(DUTY_CUT_S - STORE_CUT_S)
    site.record.note(f"cut: {holder['name']} reaches the call of the duty again")
    holder["duty"].heal()
    await asyncio.sleep(5.0)


run_case(sys.argv[1], scenario)
