"""While the platform carries out an order to promote, a paused replica restarts
and so loses its pause. A host that has just started takes it as evidence for the
old primary, and the order is not withdrawn."""
import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))
import database as databases  # noqa: E402
import site_standins as standins  # noqa: E402

# A promotion takes 1,000 ms in demands/guidewave-tt-grown.toml.
PROMOTE_S = 1.0
ZONES = {"north-a": "north-tt", "north-b": "north-tt", "north-c": "north-tt"}
CUT_S = 5.0
CRASH_S = 0.2
RESTART_S = 0.15
MAX_CONNS = 82
ROUNDS = 3


async def write_on(site, gateway, number, acks):
    """A client: a write now and then, each of an item of its own."""
    n = 0
    session = None
    while not site.stopped.is_set():
        try:
            if session is None:
                session = standins.Caller()
                if await session.open(gateway, "db", "u"):
                    raise OSError
            n += 1
            request = f"w{number}.{n}"
            site.record.write(f"sent to {gateway.name}: {request}")
            answer = await session.query(request, f"WRITE k{request} v", 4.0)
            site.record.write(f"answered: {request} {answer}")
            if answer is None:
                raise OSError
            if answer[-1].startswith("COMPLETE"):
                acks[request] = (time.monotonic(), gateway.name)
        except (OSError, asyncio.TimeoutError):
            if session is not None:
                session.close()
            session = None
        await asyncio.sleep(0.02)


async def disrupt(site, database, promoter, other):
    """A cut, a crash of a replica and a restart of a host."""
    ordered = asyncio.Event()
    chosen = []
    database.on_order = lambda server: (chosen.append(server), ordered.set())
    primary = database.leader()
    site.record.say(f"{primary.id} is partitioned from {promoter.name} for {CUT_S} s")
    cut = asyncio.create_task(primary.cut(CUT_S, [promoter], alone=False))
    try:
        await asyncio.wait_for(ordered.wait(), CUT_S)
    except asyncio.TimeoutError:
        raise standins.CannotRun("no order was given") from None
    replica = next(s for s in database.servers if s not in (primary, chosen[0]))
    site.record.say(f"{replica.id} crashes for {CRASH_S} s; {other.name} is killed")
    other.kill()
    await replica.crash(CRASH_S)
    await asyncio.sleep(RESTART_S)
    other.start()
    site.record.say(f"{other.name} is started")
    await cut
    database.on_order = None


async def main(site, has_trouble):
    database = databases.Database("tours", standins.free_ports(3), list(ZONES), 6,
                                  MAX_CONNS, site.record, promote_s=PROMOTE_S)
    site.databases.append(database)
    for zone in ZONES:
        site.add_gateway(f"front-{zone}-1", zone, ZONES, 0.25, 260, 4300, 0)
    database.gateways = site.gateways
    await databases.serve_promotions(site.promotions_port, {database.name: database},
                                     site.record)
    tasks = [asyncio.create_task(database.run(site.stopped)),
             asyncio.create_task(databases.check_in(site.store, database, site.stopped))]
    await site.start(standins.config(7, {"db": (database.name, "primary", 1000)},
                                     [database.name], MAX_CONNS, 0), one_by_one=True)
    acks = {}
    tasks += [asyncio.create_task(write_on(site, gateway, n, acks))
              for n, gateway in enumerate(site.gateways * 3)]
    await asyncio.sleep(2.0)
    lost = []
    for n in range(ROUNDS):
        if has_trouble:
            await disrupt(site, database, site.gateways[0], site.gateways[1])
        await asyncio.sleep(4.0)
        kept = {item for _, item, _ in database.leader().log}
        lost = [r for r in acks if f"k{r}" not in kept]
        site.record.say(f"round {n}: {len(acks)} writes acknowledged, {len(lost)} of them "
                        f"are not in the log of {database.leader().id}: {lost[:5]}")
        if lost:
            break
    site.stopped.set()
    await asyncio.gather(*tasks, return_exceptions=True)
    if len(acks) < 100:
        raise standins.CannotRun("too little was served")
    site.record.say("LOST: broken" if lost else "LOST: held")
    return bool(lost)


standins.run_case(main, FOLDER)
