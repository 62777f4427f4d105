"""Orders to promote that wait behind an earlier one are sent after the lease is lost."""

import asyncio
import pathlib
import signal
import sys
import time

sys.dont_write_bytecode = True
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "standin"))

from site_standin import Caller, run_case

# How long the call of the duty brings no answer.
DUTY_DOWN_S = 4.5
# How long the promoter's machine stands still.
FREEZE_S = 5.6
# How long the primaries are down.
PRIMARY_DOWN_S = 7.0
# How long a promotion takes on this site.
PROMOTE_S = 0.6
# The primaries crash this long after the promoter has renewed its lease at most,
# so that it stands still before the next renewal.
RENEWED_AGO_S = 0.03


async def scenario(site, trouble):
    site.promote_s = PROMOTE_S
    callers = [Caller(site, name, group) for name in site.gateways for group in site.groups]
    await site.until("all callers are served", lambda: all(c.served > 5 for c in callers), 30)
    await asyncio.sleep(3.0)
    if not trouble:
        await asyncio.sleep(20.0)
        return
    await site.until(
        "the promoter has just renewed its lease",
        lambda: time.monotonic() - site.store.last_renewal < RENEWED_AGO_S,
        4,
    )
    holder = site.holder()
    site.duty = "silent"
    asyncio.get_running_loop().call_later(DUTY_DOWN_S, setattr, site, "duty", "answer")
    for group in site.groups:
        group.servers[0].crash()
        site.start_later(group.servers[0], PRIMARY_DOWN_S)
    await site.until("the promoter has sent its first order", lambda: site.unanswered > 0, 4)
    site.signal(holder, signal.SIGSTOP)
    await asyncio.sleep(FREEZE_S)
    site.signal(holder, signal.SIGCONT)
    await asyncio.sleep(8.0)


run_case(sys.argv[1], scenario)
