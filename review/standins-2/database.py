"""A stand-in of a replicated database: a primary and its replicas, with terms,
pauses and promotions as PROTOCOL.md says, and what may happen to them."""
import asyncio
import json
import os
import pathlib
import time

import site_standins as standins

PROMOTE_S = 0.3
STEP_S = 0.004
# One way, as in sites/smq-mvd.toml.
BETWEEN_ZONES_S = 0.0014
BETWEEN_REGIONS_S = 0.012
CHECK_IN_LIMIT_S = 3 * standins.HEARTBEAT_S


def process_of(port, server_port, gateways):
    """The gateway whose process has the connection from a port, by what the
    system says of the processes that this case has started."""
    inode = None
    for line in pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        ports = [int(text.split(":")[1], 16) for text in fields[1:3]]
        if ports == [port, server_port]:
            inode = f"socket:[{fields[9]}]"
    for gateway in (g for g in gateways if g.process is not None):
        folder = f"/proc/{gateway.process.pid}/fd"
        try:
            for name in os.listdir(folder):
                if os.readlink(f"{folder}/{name}") == inode:
                    return gateway
        except OSError:
            continue
    return None


class Database:
    """The servers of one service, and the platform's call to promote one."""

    def __init__(self, name, ports, zones, slots, max_conns, record,
                 work_s=0.003, promote_s=PROMOTE_S):
        self.name = name
        self.promote_s = promote_s
        self.on_order = None
        self.record = record
        self.work_s = work_s
        self.gateways = []
        self.slots = slots
        self.max_conns = max_conns
        self.promotions = []  # (time of the effect, term, server)
        self.commits = []  # (request, server, term, time)
        self.servers = [DatabaseServer(self, n, port, zones[n % len(zones)])
                        for n, port in enumerate(ports)]
        self.servers[0].primary = True
        self.count = len(self.servers)
        self.newest_term = 1

    async def start(self):
        for server in self.servers:
            await server.listen()

    async def add(self, port, zone):
        """A new server, which receives the log from its start on."""
        self.count += 1
        server = DatabaseServer(self, self.count - 1, port, zone)
        server.term = self.newest_term
        await server.listen()
        self.servers.append(server)
        return server

    def reaches(self, one, other):
        return not (one.alone or one.down or other.alone or other.down)

    def lead(self, server):
        self.newest_term += 1
        server.primary = True
        server.term = self.newest_term
        for other in self.servers:
            if not other.alone and not other.down:
                other.pause_term = 0
        self.promotions.append((time.monotonic(), server.term, server.id))
        self.record.say(f"{server.id} leads term {server.term}")

    def leader(self):
        leaders = [s for s in self.servers if s.primary and not s.down]
        return max(leaders, key=lambda s: s.term, default=None)

    async def run(self, stopped):
        """Replication, and old primaries that find a new one."""
        while not stopped.is_set():
            primaries = sorted((s for s in self.servers if s.primary and not s.down),
                               key=lambda s: -s.term)
            for primary in primaries:
                newer = [p for p in primaries
                         if p.term > primary.term and self.reaches(p, primary)]
                if newer and primary.deposed_at is None:
                    primary.deposed_at = time.monotonic() + 1.0
                if primary.deposed_at and time.monotonic() > primary.deposed_at:
                    primary.primary = False
                    primary.deposed_at = None
                    continue
                for replica in self.servers:
                    if (replica is not primary and not replica.primary
                            and self.reaches(primary, replica) and not replica.deaf
                            and replica.pause_term == 0
                            and replica.term <= primary.term):
                        replica.term = primary.term
                        if replica.log != primary.log:
                            replica.log = list(primary.log)
                        primary.synced = max(primary.synced, len(primary.log))
            await asyncio.sleep(STEP_S)

    async def promote(self, server_id):
        """Returns the status of the answer to POST /failover."""
        server = next((s for s in self.servers if s.id == server_id), None)
        if server is None or server.down:
            return 409
        self.record.say(f"the platform is asked to promote {server_id}")
        if self.on_order is not None:
            self.on_order(server)
        if not server.primary:
            asyncio.get_running_loop().call_later(
                self.promote_s, lambda: None if server.down else self.lead(server))
        return 200


class DatabaseServer:
    def __init__(self, database, number, port, zone):
        self.database = database
        self.id = f"i-{database.name}{number}"
        self.port = port
        self.zone = zone
        self.primary = False
        self.term = 1
        self.log = []  # (term, item, value)
        self.synced = 0
        self.pause_term = 0
        self.deposed_at = None
        self.alone = False
        self.cut_from = set()
        self.down = False
        self.deaf = False
        self.busy = 0
        self.writers = {}  # connection -> gateway
        self.slot = asyncio.Semaphore(database.slots)
        self.listener = None
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.first_check_in = 0.0

    async def listen(self):
        self.listener = await asyncio.start_server(self.serve, standins.HOST, self.port)

    def drop_connections(self):
        for writer in list(self.writers):
            writer.transport.abort()
        self.writers.clear()

    async def cut(self, seconds, gateways, alone=True):
        """A partition from some gateways, to which the server does not respond,
        and from the other servers. What is sent to it meanwhile is lost, since its
        senders give up and reset."""
        self.alone = alone
        self.cut_from = set(gateways)
        await asyncio.sleep(seconds)
        for writer, gateway in list(self.writers.items()):
            if gateway in self.cut_from:
                writer.transport.abort()
        self.cut_from = set()
        self.alone = False

    async def crash(self, seconds):
        """The process ends, and comes back at its address under a new Id, with its
        log."""
        self.down = True
        self.listener.close()
        self.drop_connections()
        await asyncio.sleep(seconds)
        self.pause_term = 0
        self.primary = self.primary and self.term == self.database.newest_term
        self.born = int(time.time() * 1000)
        self.id += "r"
        self.down = False
        await self.listen()

    def position(self):
        term = self.log[-1][0] if self.log else 1
        return f"{term}.{len(self.log)}"

    def row(self):
        role = "primary" if self.primary else "replica"
        return (f"ROW {role} {self.term} {self.position()} {self.pause_term} 0 "
                f"{self.busy} {len(self.writers)}\r\nCOMPLETE -\r\n")

    def entry(self, seq):
        return {"Service": self.database.name, "Address": f"{standins.HOST}:{self.port}",
                "Zone": self.zone, "Version": "v1", "Capacity": self.database.slots,
                "State": self.state, "WarmupLeftMs": 0, "Seq": seq, "born": self.born,
                "DbRole": "primary" if self.primary else "replica"}

    def way(self, gateway):
        """How long a message takes from or to a gateway, one way."""
        if gateway is None or gateway.settings["zone"] == self.zone:
            return 0.0
        regions = gateway.settings["zones"]
        is_near = regions[gateway.settings["zone"]] == regions[self.zone]
        return BETWEEN_ZONES_S if is_near else BETWEEN_REGIONS_S

    async def pass_link(self, writer):
        """Lets a message take its way, or wait for the end of a partition."""
        gateway = self.writers.get(writer)
        await asyncio.sleep(self.way(gateway))
        while gateway in self.cut_from:
            await asyncio.sleep(0.01)

    async def serve(self, reader, writer):
        self.writers[writer] = process_of(writer.get_extra_info("peername")[1],
                                          self.port, self.database.gateways)
        state = {"tx": "I", "writes": []}
        try:
            line = (await reader.readuntil(b"\r\n"))[:-2].decode()
            await self.pass_link(writer)
            fields = line.split(" ")
            if fields[:2] != ["STARTUP", self.database.name] or fields[3:] not in (
                    [], [self.id]):
                writer.write(b"ERROR MISROUTED x\r\n")
                return
            if len(self.writers) > self.database.max_conns:
                writer.write(b"ERROR TOOMANY x\r\n")
                return
            writer.write(f"READY I {self.position()}\r\n".encode())
            while True:
                line = (await reader.readuntil(b"\r\n"))[:-2].decode()
                await self.pass_link(writer)
                _, request, text = line.split(" ", 2)
                answer = await self.run(state, request, text)
                await self.pass_link(writer)
                writer.write(f"{answer}READY {state['tx']} {self.position()}\r\n".encode())
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.writers.pop(writer, None)
            writer.close()

    async def run(self, state, request, text):
        word, _, rest = text.partition(" ")
        if word == "AFTER":
            after, _, text = rest.partition(" ")
            wanted = tuple(int(n) for n in after.split("."))
            if tuple(int(n) for n in self.position().split(".")) < wanted:
                return f"ERROR LAGGING {self.id}\r\n"
            word, _, rest = text.partition(" ")
        if word in ("STATUS", "PAUSE", "RESUME", "STEPDOWN"):
            async with self.slot:
                await asyncio.sleep(0.0005)
        if word == "STATUS":
            return self.row()
        if word == "PAUSE":
            if not self.primary and int(rest) > self.term:
                self.pause_term = int(rest)
                self.database.record.write(f"{self.id} is paused at {self.position()}")
            return self.row()
        if word == "RESUME":
            self.pause_term = 0
            return self.row()
        if word == "STEPDOWN":
            if self.primary and self.term < int(rest):
                self.primary = False
                self.database.record.say(f"{self.id} steps down from term {self.term}")
            return self.row()
        if word == "BEGIN":
            if rest != "READ" and not self.primary:
                return f"ERROR READONLY {self.id}\r\n"
            state["tx"], state["writes"] = "T", []
        elif word == "ROLLBACK":
            state["tx"], state["writes"] = "I", []
        elif word in ("READ", "WRITE", "COMMIT"):
            return await self.work(state, request, word, rest)
        return "COMPLETE -\r\n"

    async def work(self, state, request, word, rest):
        if word != "READ" and not self.primary:
            return f"ERROR READONLY {self.id}\r\n"
        self.busy += 1
        try:
            async with self.slot:
                await asyncio.sleep(self.database.work_s)
        finally:
            self.busy -= 1
        if word == "READ":
            value = next((v for _, item, v in reversed(self.log) if item == rest), "")
            return f"ROW {value}\r\nCOMPLETE d.{request}\r\n"
        if word == "WRITE":
            state["writes"].append(tuple(rest.split(" ", 1)))
            if state["tx"] == "T":
                return f"COMPLETE d.{request}\r\n"
        if not self.primary:
            return f"ERROR READONLY {self.id}\r\n"
        return await self.commit(state, request)

    async def commit(self, state, request):
        """Adds the writes to the log; done once a replica has received them."""
        term = self.term
        writes, state["writes"], state["tx"] = state["writes"], [], "I"
        for item, value in writes:
            self.log.append((term, item, value))
        index = len(self.log)
        while writes and self.synced < index:
            await asyncio.sleep(STEP_S)
            if self.term != term or not self.primary:
                return f"ERROR FAILED {self.id}\r\n"
        now = time.monotonic()
        self.database.commits.append((request, self.id, term, now))
        self.database.record.write(f"committed at {self.id} in term {term}: {request}")
        return f"COMPLETE d.{request}\r\n"


async def check_in(store, database, stopped):
    """The servers' entries: written at each change and each HeartbeatMs, if the
    store accepts them, and gone after three check-ins of silence."""
    seq = 0
    listed = {}
    due = {}
    heard = {}
    while not stopped.is_set():
        now = time.monotonic()
        heard.update((s.id, now) for s in database.servers if not s.down)
        for name in [n for n in listed if now - heard[n] > CHECK_IN_LIMIT_S]:
            del listed[name]
            await store.put("servers", name, None)
        for server in list(database.servers):
            if server.down:
                continue
            shown = (server.primary, server.born, server.state)
            is_due = now >= due.get(server.id, server.first_check_in)
            if not is_due and listed.get(server.id, shown) == shown:
                continue
            due[server.id] = now + standins.HEARTBEAT_S
            if not store.is_down:
                seq += 1
                if listed.get(server.id) != shown:
                    database.record.write(f"the store accepts {server.id} {shown}")
                listed[server.id] = shown
                await store.put("servers", server.id, server.entry(seq))
            elif server.id not in listed:
                database.record.write(f"the store does not accept {server.id}")
        await asyncio.sleep(0.02)


async def serve_promotions(port, databases, record):
    """The platform's call POST /failover. It does not check the fence."""
    async def serve(reader, writer):
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            fields = dict(line.split(": ", 1) for line in head.split("\r\n")[1:] if line)
            body = json.loads(await reader.readexactly(int(fields["Content-Length"])))
            record.write(f"POST /failover {body} holder {fields['Camphorstep-Lease-Holder']} "
                         f"token {fields['Camphorstep-Fencing-Token']}")
            status = await databases[body["Service"]].promote(body["Id"])
            writer.write(f"HTTP/1.1 {status} x\r\nContent-Length: 0\r\n\r\n".encode())
            await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()
    await asyncio.start_server(serve, standins.HOST, port)
