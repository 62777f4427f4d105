"""A process stands still for as long as nobody reads its log, and then uses an old configuration."""

import asyncio
import pathlib
import signal
import sys
import time

sys.dont_write_bytecode = True
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "standin"))

from site_standin import Caller, run_case

# Sessions a second, to the same process, for a database that never existed.
UNKNOWN_PER_S = 40
# How long the reader of one process's log stands still.
READER_STOPPED_S = 24.0
# When the operator adds a route, after that.
ADD_AFTER_S = 18.0
# The bounds of the site.
CONFIG_APPLY_S = 3.0
# Time budget of the callers' requests.
BUDGET_S = 3.0


async def open_session(site, name, database, acknowledged_at):
    """Opens a session for a database whose route the operator has just added."""
    after = time.monotonic() - acknowledged_at
    answer = "no answer"
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", site.gateways[name]["ports"][0])
        site.record.note(f"caller at {name}: STARTUP {database}")
        writer.write(f"STARTUP {database} u3\r\n".encode())
        answer = (await asyncio.wait_for(reader.readline(), 2.0)).decode().strip()
        writer.close()
    except (ConnectionError, asyncio.TimeoutError, OSError):
        pass
    site.record.note(f"caller at {name}: STARTUP {database} -> {answer}")
    if after > CONFIG_APPLY_S and "NODATABASE" in answer:
        site.broken.append(
            f"CONFIG: a session opened {after:.1f} s after the ack of the version that adds its route is refused: {answer}"
        )


async def ask_for_unknown(site, name):
    """Opens sessions for a database that never existed."""
    while True:
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", site.gateways[name]["ports"][0])
            writer.write(b"STARTUP nowhere u2\r\n")
            await asyncio.wait_for(reader.readline(), 2.0)
            writer.close()
        except (ConnectionError, asyncio.TimeoutError, OSError):
            pass
        await asyncio.sleep(1.0 / UNKNOWN_PER_S)


async def ready(site, name):
    """Asks whether the process is ready, as the platform does once a second."""
    try:
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection("127.0.0.1", site.gateways[name]["ports"][1]), 1.0
        )
        writer.write(b"GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n")
        line = await asyncio.wait_for(reader.readline(), 1.0)
        writer.close()
        return line.decode().strip()
    except (ConnectionError, asyncio.TimeoutError, OSError):
        return "no answer"


async def watch(site, name, callers):
    """Notes how long the process answers nobody."""
    while True:
        answer = await ready(site, name)
        silent = time.monotonic() - max(c.last_served_at for c in callers)
        site.silent = max(site.silent, silent)
        site.record.note(f"platform: /readyz of {name}: {answer}; last served {silent:.1f} s ago")
        await asyncio.sleep(1.0)


async def scenario(site, trouble):
    site.silent = 0.0
    name = list(site.gateways)[-1]
    old, added = site.groups[:2], site.groups[2]
    site.publish(8, old)
    callers = [Caller(site, name, group) for group in old for _ in range(2)]
    await site.until("all callers are served", lambda: all(c.served > 5 for c in callers), 30)
    tasks = [asyncio.create_task(ask_for_unknown(site, name)), asyncio.create_task(watch(site, name, callers))]
    reader = site.gateways[name]["collector"]
    if trouble:
        site.record.note(f"reader of the log of {name}: SIGSTOP")
        reader.send_signal(signal.SIGSTOP)
    await asyncio.sleep(ADD_AFTER_S)
    site.publish(9, site.groups)
    acknowledged_at = time.monotonic()
    database = site.databases[site.groups.index(added)]
    await asyncio.sleep(READER_STOPPED_S - ADD_AFTER_S - 1.5)
    openings = []
    for _ in range(5):
        openings.append(asyncio.create_task(open_session(site, name, database, acknowledged_at)))
        await asyncio.sleep(0.3)
    if trouble:
        site.record.note(f"reader of the log of {name}: SIGCONT")
        reader.send_signal(signal.SIGCONT)
    await asyncio.sleep(4.0)
    for task in tasks:
        task.cancel()
    if site.silent > 2 * BUDGET_S:
        site.broken.append(f"hang: {name} answered none of its {len(callers)} busy sessions for {site.silent:.1f} s")


run_case(sys.argv[1], scenario)
