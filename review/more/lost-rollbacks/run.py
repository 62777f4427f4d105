"""Connections whose answer to a rollback was lost are never used again, and never closed."""

import asyncio
import pathlib
import sys
import time

sys.dont_write_bytecode = True
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "standin"))

import site_standin
from site_standin import Caller, Group, Server, run_case

# Share of the answers that the primary loses, how long, and how often.
LOST_SHARE = 0.2
LOST_S = 4.0
TIMES = 6
# How long the callers go on afterwards.
AFTER_S = 28


class LossyWriter:
    """Writes nothing for an answer that is lost; the connection goes on."""

    def __init__(self, writer):
        self.writer = writer
        self.transport = writer.transport

    def write(self, data):
        if not data.startswith(b"LOST"):
            self.writer.write(data)

    async def drain(self):
        await self.writer.drain()

    def close(self):
        self.writer.close()


class LossyServer(Server):
    async def _serve(self, reader, writer):
        await super()._serve(reader, LossyWriter(writer))

    async def _run(self, connection, statement_id, query):
        answer = await super()._run(connection, statement_id, query)
        loses = self.site.lossy and self.primary and query != "STATUS"
        if loses and self.site.random.random() < LOST_SHARE:
            self.site.lost.append(query.split(" ")[0])
            self.site.record.note(f"server {self.name}: loses the answer to '{query}' of {statement_id}")
            return "LOST"
        return answer


class LossyGroup(Group):
    def __init__(self, site, name):
        super().__init__(site, name)
        self.servers = [LossyServer(site, self, n, s.zone) for n, s in enumerate(self.servers)]
        self.servers[0].primary = True


class Roller(Caller):
    """Begins, writes and rolls back."""

    async def operate(self, reader, writer):
        while True:
            answers = []
            for text in ("BEGIN", "WRITE item data", "ROLLBACK"):
                statement = f"{self.site.random.getrandbits(64):016x}"
                answers.append(await self.query(reader, writer, statement, text))
            if answers[1].startswith("COMPLETE "):
                self.served += 1
                self.site.served.append(time.monotonic())
            await asyncio.sleep(0.02)


async def scenario(site, trouble):
    site.lossy, site.lost, site.served = False, [], []
    callers = [Roller(site, name, site.groups[0]) for name in site.gateways for _ in range(4)]
    await site.until("all callers are served", lambda: all(c.served > 5 for c in callers), 30)
    await asyncio.sleep(2.0)
    for _ in range(TIMES):
        site.lossy = trouble
        await asyncio.sleep(LOST_S)
        site.lossy = False
        await asyncio.sleep(1.0)
    end = time.monotonic()
    await asyncio.sleep(AFTER_S)
    late = sum(1 for at in site.served if at > end + AFTER_S / 2)
    lost = {word: site.lost.count(word) for word in sorted(set(site.lost))}
    held = len(site.groups[0].servers[0].connections)
    site.record.note(f"lost answers {lost}, connections at the primary {held}, served in the last {AFTER_S / 2} s: {late}")
    if late == 0:
        site.broken.append(f"nothing is served from {AFTER_S / 2} to {AFTER_S} s after the last lost answer")


site_standin.Group = LossyGroup
run_case(sys.argv[1], scenario)
