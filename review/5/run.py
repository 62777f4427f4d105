"""An entry that another writer has put among the servers ends every gateway that reads it."""

import asyncio
import base64
import pathlib
import sys
import time

sys.dont_write_bytecode = True
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standin"))

from site_standin import Caller, run_case

# The value of the entry: bytes that are neither UTF-8 nor JSON.
VALUE = base64.b64decode("eyJkYXRhYwAAAAAAAAAAZXMAAAAAAAAAAABzaW9uIjr0IaKz//8AACJBiUFBQSJ9")
# A process that ends is restarted after a short delay.
RESTART_S = 0.5
# How long the entry is watched.
WATCHED_S = 12.0
# Fault: so many ends of processes, on so many machines.
ENDS = 3
MACHINES = 2


async def restart_ended(site, ends):
    """Restarts processes that have ended by themselves, as the platform does."""
    while True:
        for name, gateway in site.gateways.items():
            code = gateway["process"].poll()
            if code is not None:
                ends[name] += 1
                site.record.note(f"gateway {name}: ended by itself with {code}, {ends[name]} times now")
                gateway["collector"].wait()
                await asyncio.sleep(RESTART_S)
                await site.start_gateway(name, gateway["zone"])
        await asyncio.sleep(0.05)


async def scenario(site, trouble):
    callers = [Caller(site, name, group) for name in site.gateways for group in site.groups]
    await site.until("all callers are served", lambda: all(c.served > 5 for c in callers), 30)
    await asyncio.sleep(1.0)
    ends = {name: 0 for name in site.gateways}
    watch = asyncio.create_task(restart_ended(site, ends))
    if trouble:
        site.store.version += 1
        site.store.rows[("servers", "i-other")] = (base64.b64encode(VALUE).decode(), site.store.version)
        site.store._wake()
        site.record.note(f"another writer: servers/i-other holds {VALUE!r}")
    await asyncio.sleep(WATCHED_S)
    watch.cancel()
    late = sum(1 for c in callers if time.monotonic() - c.last_served_at < 2.0)
    site.record.note(f"ends {ends}; {late} of {len(callers)} callers were served in the last 2 s")
    if sum(1 for n in ends.values() if n >= ENDS) >= MACHINES:
        site.broken.append(
            f"Fault: processes ended by themselves {ends}; {late} of {len(callers)} callers were served in the last 2 s"
        )


run_case(sys.argv[1], scenario)
