"""After a change of primary, the new primary crashes and the process that
ordered the change is killed. The one that is started in its place knows nothing
of the new term and takes the old primary for the present one."""
import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))
import database as databases  # noqa: E402
import site_standins as standins  # noqa: E402

# Of sites/smq-mvd.toml: the deployment and the largest dose of each disruption.
ZONES = {"sur-centro": "sur", "sur-este": "sur", "norte-salto": "norte"}
CUT_S = 5.0
DEAF_S = 6.0
CRASH_S = 7.0
DARK_S = 1.5
THAW_SLACK_S = 0.3
MAX_CONNS = 32


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
        await asyncio.sleep(0.03)


async def disrupt(site, database, promoter):
    """Returns when the last disruption has ended."""
    primary, one, other = database.servers
    other.deaf = True
    site.record.say(f"{other.id} receives nothing for {DEAF_S} s")
    loop = asyncio.get_running_loop()
    loop.call_later(DEAF_S, lambda: setattr(other, "deaf", False))
    await asyncio.sleep(0.2)
    cut_off = [promoter]
    site.record.say(f"{primary.id} is partitioned from its replicas and from "
                    f"{[g.name for g in cut_off]} for {CUT_S} s")
    cut = asyncio.create_task(primary.cut(CUT_S, cut_off))
    end = time.monotonic() + CUT_S
    while not database.promotions:
        if time.monotonic() > end:
            raise standins.CannotRun("nobody was promoted")
        await asyncio.sleep(0.005)
    await asyncio.sleep(0.2)
    leader = database.leader()
    site.record.say(f"{leader.id} crashes for {CRASH_S} s")
    crash = asyncio.create_task(leader.crash(CRASH_S))
    site.record.say(f"{promoter.name} is killed")
    promoter.kill()
    await asyncio.sleep(DARK_S)
    promoter.start()
    site.record.say(f"{promoter.name} is started")
    await cut
    site.record.say(f"the partition of {primary.id} has healed")
    healed = time.monotonic()
    await crash
    site.record.say(f"{leader.id} is back")
    return healed


async def main(site, has_trouble):
    database = databases.Database("quemadores", standins.free_ports(3), list(ZONES), 5,
                                  MAX_CONNS, site.record)
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
              for n, gateway in enumerate(site.gateways * 2)]
    await asyncio.sleep(2.0)
    healed = time.monotonic()
    if has_trouble:
        healed = await disrupt(site, database, site.gateways[0])
    await asyncio.sleep(6.0)
    site.stopped.set()
    await asyncio.gather(*tasks, return_exceptions=True)
    stale = []
    for request, server, term, at in database.commits:
        newer = [p for p in database.promotions if p[1] > term and p[0] < at]
        if newer and request in acks and at > healed + THAW_SLACK_S:
            stale.append(request)
    kept = {item for _, item, _ in (database.leader() or database.servers[0]).log}
    lost = [r for r in acks if f"k{r}" not in kept]
    site.record.say(f"{len(acks)} writes acknowledged; {len(stale)} of them committed at "
                    f"an old primary after a promotion had taken effect: {stale[:5]}")
    site.record.say(f"{len(lost)} acknowledged writes are not at the last primary: "
                    f"{lost[:5]}")
    if len(acks) < 50:
        raise standins.CannotRun("too little was served")
    site.record.say("ONE: broken" if stale else "ONE: held")
    return bool(stale)


standins.run_case(main, FOLDER)
