"""A statement is sent along with the SET that it needs, and runs although the SET failed."""

import asyncio
import pathlib
import sys

sys.dont_write_bytecode = True
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "standin"))

from site_standin import Caller, Closed, run_case

# Share of the requests that a grey server fails, and for how long.
GREY_SHARE = 0.4
GREY_S = 6.5


class ValueCaller(Caller):
    """Sets a value of its own and writes, in short sessions."""

    async def operate(self, reader, writer):
        values = {"tenant": f"t{self.site.random.getrandbits(32):08x}"}
        statement = f"{self.site.random.getrandbits(64):016x}"
        if not (await self.query(reader, writer, statement, f"SET tenant {values['tenant']}")).startswith("COMPLETE"):
            # A caller closes its session after an error in answer to SET.
            raise Closed()
        for _ in range(5):
            statement = f"{self.site.random.getrandbits(64):016x}"
            self.site.expected[statement] = values
            answer = await self.query(reader, writer, statement, f"WRITE w{statement} d{statement}")
            self.served += answer.startswith("COMPLETE ")
            await asyncio.sleep(0.03)
        raise Closed()


def check(site):
    """PINNED: a statement runs where the session values differ from those acknowledged to its client."""
    for statement, server, values in site.runs:
        expected = site.expected.get(statement)
        if expected is not None and values != expected:
            site.broken.append(f"PINNED: {statement} ran at {server} with the values {values}, its client has {expected}")


async def scenario(site, trouble):
    site.expected = {}
    callers = [ValueCaller(site, name, site.groups[0]) for name in site.gateways for _ in range(3)]
    await site.until("all callers are served", lambda: all(c.served > 5 for c in callers), 30)
    await asyncio.sleep(2.0)
    if trouble:
        for server in site.groups[0].servers:
            server.grey_share = GREY_SHARE if server.primary else 0.0
    await asyncio.sleep(GREY_S)
    for server in site.groups[0].servers:
        server.grey_share = 0.0
    await asyncio.sleep(2.0)
    check(site)


run_case(sys.argv[1], scenario)
