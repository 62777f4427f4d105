"""A line feed inside a field is taken for the end of the message."""

import asyncio
import pathlib
import sys

sys.dont_write_bytecode = True
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "standin"))

from site_standin import Caller, Closed, run_case

# How many messages each of the callers sends.
MESSAGES = 10


class TextCaller(Caller):
    """Writes a text of two lines, the second of which looks like a message."""

    async def operate(self, reader, writer):
        while self.sent < MESSAGES:
            self.sent += 1
            statement = f"{self.site.random.getrandbits(64):016x}"
            other = f"{self.site.random.getrandbits(64):016x}"
            between = "\n" if self.site.line_feeds else " "
            text = f"WRITE w{statement} first{between}QUERY {other} WRITE w{other} second"
            self.site.sent[statement] = text
            if (await self.query(reader, writer, statement, text)).startswith("COMPLETE "):
                self.served += 1
                self.site.acknowledged[statement] = self.group
            await asyncio.sleep(0.05)
            if self.site.line_feeds:
                # The gateway's answer to the second half counts as a response to nothing.
                raise Closed()
        self.done = True
        await asyncio.sleep(3600)


def check(site):
    """UNASKED: a server runs a statement that no client sent, or with changed text."""
    for statement, server, text in site.texts:
        sent = site.sent.get(statement)
        if sent is None:
            site.broken.append(f"UNASKED: {server} ran {statement} '{text}', which no client sent as a request")
        elif text != sent:
            site.broken.append(f"UNASKED: {server} ran {statement} as {text!r}, its client sent {sent!r}")


async def scenario(site, trouble):
    site.sent = {}
    site.line_feeds = trouble
    callers = []
    for name in site.gateways:
        caller = TextCaller(site, name, site.groups[0])
        caller.sent, caller.done = 0, False
        callers.append(caller)
    await site.until("all callers have sent their messages", lambda: all(c.done for c in callers), 60)
    await asyncio.sleep(1.0)
    check(site)


run_case(sys.argv[1], scenario)
