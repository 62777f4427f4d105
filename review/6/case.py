"""A primary is replaced as planned while the store is away for a moment. The new
server is a copy that the promoter does not know of yet."""
import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))
import database as databases  # noqa: E402
import site_standins as standins  # noqa: E402

# Of sites/smq-mvd.toml.
ZONES = {"sur-centro": "sur", "sur-este": "sur", "norte-salto": "norte"}
MAX_CONNS = 32
SLOTS = 5
WORK_S = 0.011
OUTAGE_S = 0.7
DRAIN_S = 7.0
# The new server starts first; the old one drains a little later. A server makes
# its first check-in when it has started up, and the next ones each HeartbeatMs.
START_BEFORE_POLL_S = 0.45
DRAIN_BEFORE_POLL_S = 0.3
START_UP_S = 1.0
CALLERS = 24


async def write_on(site, gateway, number, acks):
    """A client: one write after the other, each of an item of its own."""
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
                acks[request] = time.monotonic()
            else:
                await asyncio.sleep(0.1)
        except (OSError, asyncio.TimeoutError):
            if session is not None:
                session.close()
            session = None
            await asyncio.sleep(0.1)
        await asyncio.sleep(0.005)


class Polls:
    """When the promoter reads the servers' entries."""

    def __init__(self, site, promoter):
        self.site = site
        self.promoter = promoter
        self.count = 0
        self.at = 0.0
        site.store.on_call = self.note

    def note(self, path, fields, writer):
        if path != "/rows-feed" or fields["Table"] != "servers":
            return
        caller = databases.process_of(writer.get_extra_info("peername")[1],
                                      self.site.store.port, [self.promoter])
        if caller is not None:
            self.count += 1
            self.at = time.monotonic()

    async def wait(self):
        seen = self.count
        while self.count == seen:
            await asyncio.sleep(0.002)


async def replace(site, database, polls, has_trouble):
    """Replaces the primary, and has the store away for a moment."""
    old = database.leader()
    await polls.wait()
    await asyncio.sleep(1.0 - START_BEFORE_POLL_S)
    new = await database.add(standins.free_ports(1)[0], old.zone)
    new.first_check_in = time.monotonic() + START_UP_S
    site.record.say(f"{new.id} starts and receives the log")
    await asyncio.sleep(START_BEFORE_POLL_S - DRAIN_BEFORE_POLL_S)
    old.state = "draining"
    site.record.say(f"{old.id} is draining")
    await polls.wait()
    if has_trouble:
        site.store.is_down = True
        site.record.say(f"the store is away for {OUTAGE_S} s")
        await asyncio.sleep(OUTAGE_S)
        site.store.is_down = False
        site.record.say("the store is back")
    await asyncio.sleep(DRAIN_S)
    # Its log goes to the new server; it ends.
    old.down = True
    old.listener.close()
    old.drop_connections()
    database.servers.remove(old)
    await site.store.put("servers", old.id, None)
    site.record.say(f"{old.id} has ended")


async def main(site, has_trouble):
    # The first primary stands in the other region than the promoter.
    database = databases.Database("quemadores", standins.free_ports(3), list(ZONES)[::-1],
                                  SLOTS, MAX_CONNS, site.record, WORK_S)
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
    polls = Polls(site, site.gateways[0])
    acks = {}
    tasks += [asyncio.create_task(write_on(site, site.gateways[n % 3], n, acks))
              for n in range(CALLERS)]
    await asyncio.sleep(3.0)
    lost = []
    for n in range(6):
        before = len(database.promotions)
        await replace(site, database, polls, has_trouble)
        if len(database.promotions) == before:
            site.record.say("nobody was promoted")
        await asyncio.sleep(3.0)
        kept = {item for _, item, _ in database.leader().log}
        lost = [r for r in acks if f"k{r}" not in kept]
        site.record.say(f"round {n}: {len(acks)} writes acknowledged, {len(lost)} of them "
                        f"are not in the log of {database.leader().id}: {lost[:5]}")
        if lost:
            break
    site.stopped.set()
    await asyncio.gather(*tasks, return_exceptions=True)
    if len(acks) < 200:
        raise standins.CannotRun("too little was served")
    site.record.say("LOST: broken" if lost else "LOST: held")
    return bool(lost)


standins.run_case(main, FOLDER)
