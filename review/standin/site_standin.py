"""Stand-ins of the platform, the backend servers and the callers of a small site.

Everything runs on one event loop and on loopback addresses. The gateways are
the project's own program, started as separate processes with the command of
deploy/system.toml. A server that "crashes" here closes its listener and all of
its connections; it comes back with its log, as the pages say.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.parse

REPOSITORY = pathlib.Path(__file__).resolve().parents[2]

# Figures of the site file smq-mvd.
HEARTBEAT_S = 1.2
STORE_CALL_S = 0.004
STORE_WRITE_S = 0.006
HANDSHAKE_S = 0.012
PROMOTE_S = 0.3
MAX_CONNECTIONS = 32
SLOTS = 5
WORK_S = 0.004
ONE_WAY_S = 0.0014
# A server that was replaced follows its successor a second after it reaches it.
FOLLOW_S = 1.0

ZONES = {"sur-centro": "sur", "sur-este": "sur", "norte-salto": "norte"}


class Record:
    """Writes record.txt: what was sent, answered and run, with the time."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def note(self, text):
        text = text.replace("\r", "\\r").replace("\n", "\\n")
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


class HttpPort:
    """A listening address that serves HTTP/1.1 with kept connections."""

    def __init__(self, handler):
        self.handler = handler
        self.server = None
        self.port = 0
        self.connected = asyncio.Event()
        self.connected.set()

    def cut(self):
        """Holds up all bytes, as a partition does; see heal()."""
        self.connected.clear()

    def heal(self):
        """Delivers what was held up on connections that were open before the cut.

        Bytes are lost if their sender has reset the connection. A connection
        that was opened during the cut comes about now, unless its opener has
        given it up.
        """
        self.connected.set()

    async def open(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        try:
            if not self.connected.is_set():
                await self.connected.wait()
                if reader.at_eof() or reader._eof:
                    return
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                if not self.connected.is_set():
                    await self.connected.wait()
                    if reader.exception() is not None:
                        return
                lines = head.decode("latin-1").split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    if ":" in line:
                        name, value = line.split(":", 1)
                        headers[name.strip().lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                path, _, query = target.partition("?")
                parameters = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
                reply = await self.handler(method, path, parameters, headers, body)
                if reply is None:
                    # No answer: the caller gives up by its own time-out.
                    await asyncio.sleep(3600)
                status, text = reply
                data = text.encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Store-Era: 1\r\nContent-Length: {len(data)}\r\n\r\n".encode() + data
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


class Store:
    """The platform's store: rows, conditional transactions and a feed."""

    def __init__(self, record):
        self.record = record
        self.rows = {}
        self.version = 0
        self.changed = asyncio.Event()
        self.last_renewal = 0.0

    def put(self, table, key, value):
        self.version += 1
        self.rows[(table, key)] = (base64.b64encode(json.dumps(value).encode()).decode(), self.version)
        self._wake()

    def drop(self, table, key):
        if self.rows.get((table, key), (None, 0))[0] is not None:
            self.version += 1
            self.rows[(table, key)] = (None, self.version)
            self._wake()

    def value(self, table, key):
        text = self.rows.get((table, key), (None, 0))[0]
        return None if text is None else json.loads(base64.b64decode(text))

    def _wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def _row(self, key, with_value=True):
        text, version = self.rows[key]
        row = {"Table": key[0], "part": "", "Key": key[1], "Ver": version}
        if text is None:
            row["Deleted"] = True
        elif with_value:
            row["Value"] = text
        return row

    def _answer(self, rows, more=False):
        return 200, json.dumps(
            {"rows": rows, "MorePages": more, "Ver": self.version, "NowMs": int(time.monotonic() * 1000)}
        )

    def port_for(self, host):
        async def handle(method, path, parameters, headers, body):
            return await self._handle(host, path, parameters, body)

        return HttpPort(handle)

    async def _handle(self, host, path, parameters, body):
        await asyncio.sleep(STORE_CALL_S)
        if path == "/rows-get":
            start = parameters.get("From", "")
            keys = sorted(
                k for k, v in self.rows.items() if k[0] == parameters["Table"] and k[1] >= start and v[0] is not None
            )
            return self._answer([self._row(k) for k in keys])
        if path == "/rows-feed":
            after = int(parameters["after"])
            end = time.monotonic() + int(parameters.get("WaitMs", "0")) / 1000
            while True:
                if after > self.version:
                    return 410, "{}"
                keys = [k for k, v in self.rows.items() if k[0] == parameters["Table"] and v[1] > after]
                left = end - time.monotonic()
                if keys or left <= 0:
                    return self._answer([self._row(k) for k in sorted(keys, key=lambda k: self.rows[k][1])])
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        if path == "/rows-tx":
            await asyncio.sleep(STORE_WRITE_S)
            return self._transaction(host, json.loads(body))
        return 404, "{}"

    def _transaction(self, host, call):
        for row in call["Puts"] + call["Deletes"]:
            if row["Table"] in ("op", "servers"):
                return 403, "{}"
        for row in call["Precondition"]:
            text, version = self.rows.get((row["Table"], row["Key"]), (None, 0))
            if (version if text is not None else 0) != row["Ver"]:
                keys = [(r["Table"], r["Key"]) for r in call["Precondition"]]
                return 412, json.dumps({"rows": [self._row(k) for k in keys if k in self.rows]})
        self.version += 1
        for row in call["Puts"]:
            self.rows[(row["Table"], row["Key"])] = (row["Value"], self.version)
            if row["Key"] == "promoter":
                self.last_renewal = time.monotonic()
                self.record.note(f"store: {host} wrote the lease {self.value(row['Table'], row['Key'])}")
        for row in call["Deletes"]:
            self.rows[(row["Table"], row["Key"])] = (None, self.version)
        self._wake()
        return 200, json.dumps({"Ver": self.version, "NowMs": int(time.monotonic() * 1000)})


async def read_message(reader):
    """Reads a message: a line that ends with CR LF, as the pages say."""
    return (await reader.readuntil(b"\r\n"))[:-2].decode()


class Connection:
    """A connection to a server, with its session."""

    def __init__(self, writer):
        self.writer = writer
        self.state = "I"
        self.read_only = False
        self.writes = []
        self.values = {}
        self.prepared = {}
        self.lost = False


class Server:
    """A backend server of a replicated group."""

    def __init__(self, site, group, index, zone):
        self.site = site
        self.group = group
        self.name = f"i-{group.name}{index}"
        self.zone = zone
        self.port = 0
        self.listener = None
        self.up = False
        self.primary = False
        self.deposed_at = None
        self.term = 1
        self.log = []
        self.pause_term = 0
        # Whether it is cut from the primary.
        self.cut_off = False
        self.draining = False
        self.connections = set()
        self.slots = asyncio.Semaphore(SLOTS)
        self.born = 0
        self.sequence = 0
        self.silent_since = None
        # Whether requests other than STATUS fail, and which share of them.
        self.grey_share = 0.0

    async def start(self):
        self.up = True
        self.silent_since = None
        self.pause_term = 0
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.slots = asyncio.Semaphore(SLOTS)
        leader = self.group.leader()
        if self.primary and leader is not None and leader is not self:
            self.primary = False
        self.listener = await asyncio.start_server(
            self._serve, "127.0.0.1", self.port, reuse_address=True, limit=2 * 1024 * 1024
        )
        self.port = self.listener.sockets[0].getsockname()[1]
        self.register()
        self.site.record.note(f"server {self.name}: up as {self.role()} at {self.position()}")

    def crash(self):
        self.up = False
        self.silent_since = time.monotonic()
        self.listener.close()
        for connection in list(self.connections):
            connection.writer.transport.abort()
        self.connections.clear()
        self.site.record.note(f"server {self.name}: crashed as {self.role()} at {self.position()}")

    def drain(self):
        """Reports that it is going to leave; it goes on serving."""
        self.draining = True
        self.register()
        self.site.record.note(f"server {self.name}: is draining as {self.role()} at {self.position()}")

    def leave(self):
        """Ends as planned. Its entry goes at once and its log with it."""
        self.crash()
        self.group.servers.remove(self)
        self.site.store.drop("servers", self.name)

    def role(self):
        return "primary" if self.primary else "replica"

    def position(self):
        return f"{self.term}.{len(self.log)}"

    def register(self):
        self.sequence += 1
        self.site.store.put(
            "servers",
            self.name,
            {
                "Service": self.group.name,
                "Address": f"127.0.0.1:{self.port}",
                "Zone": self.zone,
                "Version": "v1",
                "Capacity": SLOTS,
                "State": "draining" if self.draining else "ready",
                "WarmupLeftMs": 0,
                "DbRole": self.role(),
                "Seq": self.sequence,
                "born": self.born,
            },
        )

    async def _serve(self, reader, writer):
        connection = Connection(writer)
        try:
            line = (await read_message(reader)).split(" ")
            if line[0] != "STARTUP" or line[1] != self.group.name or (len(line) > 3 and line[3] != self.name):
                writer.write(b"ERROR MISROUTED wrong service or server\r\n")
                await writer.drain()
                return
            if len(self.connections) >= MAX_CONNECTIONS:
                writer.write(b"ERROR TOOMANY connections\r\n")
                await writer.drain()
                return
            self.connections.add(connection)
            async with self.slots:
                await asyncio.sleep(HANDSHAKE_S)
            writer.write(f"READY I {self.position()}\r\n".encode())
            while self.up:
                text = await read_message(reader)
                if text == "TERMINATE":
                    return
                _, statement_id, query = text.split(" ", 2)
                answer = await self._run(connection, statement_id, query)
                if not self.up or answer is None:
                    return
                writer.write((answer + f"READY {connection.state} {self.position()}\r\n").encode())
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(connection)
            writer.close()

    def _digest(self, statement_id):
        return f"COMPLETE {self.term}.{self.name}.{statement_id}\r\n"

    async def _run(self, connection, statement_id, query):
        word, _, rest = query.partition(" ")
        if word in ("STATUS", "PAUSE", "RESUME", "STEPDOWN"):
            return self._control(word, rest)
        if self.grey_share > 0 and self.site.random.random() < self.grey_share:
            self.site.record.note(f"server {self.name}: fails '{query}' of {statement_id} (grey)")
            if connection.state == "T":
                connection.state = "E"
            return "ERROR FAILED grey\r\n"
        if word == "AFTER":
            position, _, rest = rest.partition(" ")
            term, number = (int(n) for n in position.split("."))
            if term > self.term or number > len(self.log):
                return f"ERROR LAGGING {self.name}\r\n"
            word, _, rest = rest.partition(" ")
        if connection.state == "E" and word not in ("COMMIT", "ROLLBACK"):
            return "ERROR MALFORMED the transaction failed\r\n"
        if connection.lost and word != "ROLLBACK":
            connection.state = "I" if word == "COMMIT" else "E"
            connection.lost = word != "COMMIT"
            return f"ERROR READONLY {self.name}\r\n"
        if word == "BEGIN":
            if rest != "READ" and not self.primary:
                return f"ERROR READONLY {self.name}\r\n"
            connection.state, connection.read_only, connection.writes = "T", rest == "READ", []
            return "COMPLETE -\r\n"
        if word == "ROLLBACK":
            connection.state, connection.writes, connection.lost = "I", [], False
            return "COMPLETE -\r\n"
        if word == "SET":
            name, _, value = rest.partition(" ")
            connection.values[name] = value
            return "COMPLETE -\r\n"
        if word == "RESET":
            connection.values, connection.prepared = {}, {}
            return "COMPLETE -\r\n"
        if word == "PREPARE":
            name, mode, _ = rest.split(" ", 2)
            connection.prepared[name] = mode
            return "COMPLETE -\r\n"
        if word == "DEALLOCATE":
            connection.prepared.pop(rest, None)
            return "COMPLETE -\r\n"
        # A commit that waits for a replica does not keep others from working.
        async with self.slots:
            await asyncio.sleep(WORK_S)
        return await self._work(connection, statement_id, word, rest)

    async def _work(self, connection, statement_id, word, rest):
        if not self.up:
            return None
        if word == "COMMIT":
            failed, writes = connection.state == "E", connection.writes
            connection.state, connection.writes = "I", []
            if failed:
                return "ERROR MALFORMED the transaction failed\r\n"
            return await self._commit(connection, statement_id, writes)
        if word == "EXECUTE":
            name, _, rest = rest.partition(" ")
            if name not in connection.prepared:
                return "ERROR NOSUCHSTMT no such name\r\n"
            word = connection.prepared[name]
        item, _, data = rest.partition(" ")
        if word == "WRITE" and not self.primary:
            return f"ERROR READONLY {self.name}\r\n"
        self.site.note_run(self, connection, statement_id, word, item, data)
        if word == "READ":
            return f"ROW {self.read(item)}\r\n" + self._digest(statement_id)
        if connection.state == "T":
            connection.writes.append((item, data, statement_id))
            return self._digest(statement_id)
        return await self._commit(connection, statement_id, [(item, data, statement_id)])

    def read(self, item):
        for _, writes in reversed(self.log):
            for name, data, _ in writes:
                if name == item:
                    return data
        return "none"

    async def _commit(self, connection, statement_id, writes):
        if not writes:
            return self._digest(statement_id)
        if not self.primary:
            return f"ERROR READONLY {self.name}\r\n"
        self.log.append((self.term, writes))
        number, term = len(self.log), self.term
        self.site.record.note(f"server {self.name}: {statement_id} is {term}.{number} of its log")
        await asyncio.sleep(2 * ONE_WAY_S)
        while self.up and self.term == term and connection in self.connections:
            self.group.replicate(self)
            if any(s is not self and s.up and s.term == term and len(s.log) >= number for s in self.group.servers):
                return self._digest(statement_id)
            await asyncio.sleep(0.005)
        return None

    def _control(self, word, rest):
        newest = max(s.term for s in self.group.servers)
        if word == "PAUSE" and not self.primary and int(rest) > newest:
            self.pause_term = int(rest)
        elif word == "RESUME":
            self.pause_term = 0
        elif word == "STEPDOWN" and self.primary and int(rest) > self.term:
            self.step_down()
        if word != "STATUS":
            self.site.record.note(f"server {self.name}: {word} {rest} -> {self.role()} held {self.pause_term}")
        return (
            f"ROW {self.role()} {self.term} {self.position()} {self.pause_term} 0 0 {len(self.connections)}\r\n"
            "COMPLETE -\r\n"
        )

    def step_down(self):
        self.primary = False
        self.deposed_at = None
        for connection in self.connections:
            connection.lost = connection.state == "T" and not connection.read_only
            connection.writes = []


class Group:
    """A primary and its replicas."""

    def __init__(self, site, name):
        self.name = name
        self.site = site
        self.servers = [Server(site, self, n, zone) for n, zone in enumerate(ZONES)]
        self.count = len(self.servers)
        self.servers[0].primary = True

    def add(self, zone):
        """Adds a server to the group, which starts without a log."""
        self.count += 1
        server = Server(self.site, self, self.count - 1, zone)
        self.servers.append(server)
        return server

    def leader(self):
        leaders = [s for s in self.servers if s.primary]
        return max(leaders, key=lambda s: s.term) if leaders else None

    def replicate(self, primary):
        """Replicas that can receive take the log of the primary of the newest term."""
        if not primary.up or primary is not self.leader():
            return
        for server in self.servers:
            follows = server.up and not server.primary and not server.cut_off and server.pause_term == 0
            if server is not primary and follows and server.term <= primary.term:
                server.term = primary.term
                server.log = list(primary.log)

    def promote(self, name):
        """Makes a server the primary of the next term, with the log that it has."""
        server = next(s for s in self.servers if s.name == name)
        if not server.up or server.primary:
            return
        for other in self.servers:
            if other.primary:
                other.deposed_at = time.monotonic()
        server.term = max(s.term for s in self.servers) + 1
        server.primary = True
        for other in self.servers:
            other.pause_term = 0
        self.site.record.note(f"server {server.name}: is promoted, leads term {server.term} at {server.position()}")
        self.site.check_promoted(server)
        server.register()

    def tick(self):
        now = time.monotonic()
        for server in self.servers:
            leader = self.leader()
            if server.deposed_at is not None and server.up and leader is not server and leader.up:
                if now - server.deposed_at > FOLLOW_S:
                    server.step_down()
                    server.register()
        leader = self.leader()
        if leader is not None:
            self.replicate(leader)


class Site:
    """The store, the call of the duty, the servers, the gateways and the callers."""

    def __init__(self, record, services, seed=1):
        self.record = Record(record)
        self.random = random.Random(seed)
        self.store = Store(self.record)
        self.groups = [Group(self, f"quemadores{n}") for n in range(services)]
        self.databases = []
        self.orders = []
        self.broken = []
        self.acknowledged = {}
        self.callers = []
        self.gateways = {}
        # What the servers ran: session values, and texts, by statement.
        self.runs = []
        self.texts = []
        self.tasks = []
        # How the call of the duty behaves: answer, refuse, silent.
        self.duty = "answer"
        self.unanswered = 0
        self.promote_s = PROMOTE_S
        self.folder = tempfile.TemporaryDirectory(prefix="review-")

    # The platform.

    def duty_port(self, host):
        async def handle(method, path, parameters, headers, body):
            if self.duty == "silent":
                self.unanswered += 1
                self.record.note(f"duty: call of {host} is left unanswered and not done")
                return None
            await asyncio.sleep(STORE_CALL_S)
            if self.duty == "refuse":
                return 503, "{}"
            order = json.loads(body)
            holder = headers["camphorstep-lease-holder"]
            token = int(headers["camphorstep-fencing-token"])
            highest = max((t for _, _, t in self.orders), default=0)
            self.record.note(f"duty: {holder} with token {token} orders {order['Id']}; highest token so far {highest}")
            if token < highest:
                self.broken.append(f"ONE: {holder} sent token {token} after the platform had seen {highest}")
            if any(t == token and h != holder for _, h, t in self.orders):
                self.broken.append(f"ONE: two holders sent token {token}")
            self.orders.append((time.monotonic(), holder, token))
            group = next(g for g in self.groups if g.name == order["Service"])
            server = next(s for s in group.servers if s.name == order["Id"])
            if not server.up:
                return 409, "{}"
            if not server.primary:
                asyncio.get_running_loop().call_later(self.promote_s, group.promote, server.name)
            return 200, "{}"

        return HttpPort(handle)

    def check_promoted(self, server):
        """LOST: an acknowledged commit isn't in the log of the server that is promoted."""
        kept = {statement for _, writes in server.log for _, _, statement in writes}
        lost = [i for i, g in self.acknowledged.items() if g is server.group and i not in kept]
        if lost:
            self.broken.append(
                f"LOST: {len(lost)} acknowledged commits are not in the log of {server.name}, "
                f"which was promoted; the first ones are {' '.join(lost[:3])}"
            )
            self.record.note(f"BROKEN {self.broken[-1]}")

    def note_run(self, server, connection, statement_id, word, item, data):
        self.runs.append((statement_id, server.name, dict(connection.values)))
        self.texts.append((statement_id, server.name, f"{word} {item} {data}".strip()))

    async def _beat(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for group in self.groups:
                for server in group.servers:
                    if server.up:
                        server.register()
                    elif server.silent_since and time.monotonic() - server.silent_since > 3 * HEARTBEAT_S:
                        self.store.drop("servers", server.name)

    async def _tick(self):
        while True:
            await asyncio.sleep(0.005)
            for group in self.groups:
                group.tick()

    # The deployment.

    async def start(self, gateways=3):
        for n, group in enumerate(self.groups):
            self.databases.append(f"lepu27{n}")
            for server in group.servers:
                await server.start()
        self.publish(7, self.groups)
        self.tasks += [asyncio.create_task(self._beat()), asyncio.create_task(self._tick())]
        for n in range(gateways):
            zone = list(ZONES)[n % len(ZONES)]
            await self.start_gateway(f"frontend-{zone}-{n // len(ZONES) + 1}", zone)

    def publish(self, version, groups):
        """Writes a configuration with the routes of some groups, as the operator does."""
        routes = [
            {"Name": f"r-{g.name}", "Host": self.databases[self.groups.index(g)], "Prefix": "/", "Kind": "primary",
             "TimeoutMs": 1000, "TargetLatencyMs": 500, "Priority": 0, "Service": g.name, "MaxAttempts": 2}
            for g in groups
        ]
        services = [
            {"Name": g.name, "HealthPath": "/healthz", "MaxConns": MAX_CONNECTIONS, "Protocol": "h1", "Tls": False,
             "SyncReplicas": 1}
            for g in self.groups
        ]
        limits = {"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000,
                  "TxIdleMs": 3000}
        self.store.put("op", "config", {"Version": version, "Routes": routes, "Services": services, "Limits": limits})
        self.record.note(f"operator: version {version} is acknowledged, routes {[r['Host'] for r in routes]}")

    async def start_gateway(self, name, zone):
        gateway = self.gateways.get(name)
        if gateway is None:
            store, duty = self.store.port_for(name), self.duty_port(name)
            await store.open()
            await duty.open()
            ports = free_ports(4)
            gateway = {"name": name, "zone": zone, "store": store, "duty": duty, "ports": ports}
            self.gateways[name] = gateway
            settings = pathlib.Path(self.folder.name) / f"{name}.ini"
            settings.write_text(render_settings(gateway))
            gateway["settings"] = settings
        log = open(pathlib.Path(self.folder.name) / f"{name}.log", "ab")
        # The platform collects what the process writes, through a pipe.
        collector = subprocess.Popen(["cat"], stdin=subprocess.PIPE, stdout=log)
        command = tomllib.loads((REPOSITORY / "deploy/system.toml").read_text())["roles"]["proxy"]["run"].split(" ")
        gateway["process"] = subprocess.Popen(
            command,
            cwd=REPOSITORY,
            env={"PATH": os.environ.get("PATH", ""), "CAMPHORSTEP_SETTINGS": str(gateway["settings"])},
            stdout=collector.stdin,
            stderr=collector.stdin,
        )
        collector.stdin.close()
        gateway["collector"] = collector
        self.record.note(f"gateway {name}: started as process {gateway['process'].pid}")

    def signal(self, name, number):
        self.record.note(f"gateway {name}: {signal.Signals(number).name}")
        self.gateways[name]["process"].send_signal(number)

    def holder(self):
        lease = self.store.value("camphorstep", "promoter")
        return lease["holder"] if lease else ""

    async def until(self, what, condition, limit):
        end = time.monotonic() + limit
        while not condition():
            if time.monotonic() > end:
                raise CannotRun(f"'{what}' did not come about within {limit} s")
            await asyncio.sleep(0.005)
        self.record.note(f"-- {what}")

    def start_later(self, server, delay):
        """Has a server that crashed come back after a time."""

        async def start():
            await asyncio.sleep(delay)
            await server.start()

        self.tasks.append(asyncio.create_task(start()))

    def stop(self):
        for gateway in self.gateways.values():
            process = gateway.get("process")
            if process is not None and process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
            collector = gateway.get("collector")
            if collector is not None:
                collector.send_signal(signal.SIGCONT)
                collector.wait()

    def save_logs(self):
        """Keeps the gateways' logs when REVIEW_LOGS names a folder."""
        folder = os.environ.get("REVIEW_LOGS")
        if folder:
            for path in pathlib.Path(self.folder.name).glob("*.log"):
                (pathlib.Path(folder) / path.name).write_bytes(path.read_bytes())


class CannotRun(Exception):
    """The case could not be brought about."""


class Caller:
    """A session that sends one operation after another, to one database."""

    def __init__(self, site, gateway, group):
        self.site = site
        self.gateway = gateway
        self.group = group
        self.served = 0
        self.failed = 0
        self.last_served_at = 0.0
        self.task = asyncio.create_task(self._run())
        site.callers.append(self)

    async def _run(self):
        while True:
            try:
                await self._session()
            except (ConnectionError, asyncio.IncompleteReadError, asyncio.TimeoutError, OSError, Closed):
                await asyncio.sleep(0.1)

    async def _session(self):
        port = self.site.gateways[self.gateway]["ports"][0]
        reader, writer = await asyncio.wait_for(asyncio.open_connection("127.0.0.1", port), 2.0)
        try:
            database = self.site.databases[self.site.groups.index(self.group)]
            writer.write(f"STARTUP {database} u1\r\n".encode())
            line = await asyncio.wait_for(read_message(reader), 2.0)
            if not line.startswith("READY"):
                raise Closed()
            await self.operate(reader, writer)
        finally:
            writer.close()

    async def operate(self, reader, writer):
        """Writes items of its own, each once."""
        while True:
            statement = f"{self.site.random.getrandbits(64):016x}"
            answer = await self.query(reader, writer, statement, f"WRITE w{statement} d{statement}")
            if answer.startswith("COMPLETE "):
                self.site.acknowledged[statement] = self.group
                self.served += 1
                self.last_served_at = time.monotonic()
            else:
                self.failed += 1
            await asyncio.sleep(0.05)

    async def query(self, reader, writer, statement, text):
        self.site.record.note(f"caller of {self.group.name} at {self.gateway}: QUERY {statement} {text}")
        writer.write(f"QUERY {statement} {text}\r\n".encode())
        lines = []
        while True:
            try:
                line = await asyncio.wait_for(read_message(reader), 8.0)
            except asyncio.IncompleteReadError as ex:
                self.site.record.note(f"caller of {self.group.name} at {self.gateway}: {statement} got no answer")
                raise Closed() from ex
            if line.startswith("READY"):
                break
            lines.append(line)
        self.site.record.note(f"caller of {self.group.name} at {self.gateway}: {statement} -> {' / '.join(lines)}")
        return lines[-1]


class Closed(Exception):
    """The session was closed."""


def free_ports(count):
    sockets = [socket.socket() for _ in range(count)]
    for item in sockets:
        item.bind(("127.0.0.1", 0))
    ports = [item.getsockname()[1] for item in sockets]
    for item in sockets:
        item.close()
    return ports


def render_settings(gateway):
    """What the platform fills into deploy/gateway.ini.template."""
    callers, readiness, peers, metrics = gateway["ports"]
    text = (
        f"[host]\nname = {gateway['name']}\ndata_centre = {gateway['zone']}\nprocessor_share = 0.25\n\n"
        f"[listen]\ncallers = 127.0.0.1:{callers}\nreadiness = 127.0.0.1:{readiness}\n"
        f"peers = 127.0.0.1:{peers}\nmetrics = 127.0.0.1:{metrics}\n\n"
        f"[stop]\ngrace_ms = 6000\n\n"
        f"[platform]\nstore = 127.0.0.1:{gateway['store'].port}\npromotions = 127.0.0.1:{gateway['duty'].port}\n"
    )
    for zone, region in ZONES.items():
        text += f"\n[data_centre.{zone}]\nregion = {region}\n"
    return text


def run_case(record, scenario, services=3, gateways=3, limit=110.0):
    """Runs a scenario; exits with 1 if a rule was broken, 0 if not, 2 if it could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def main():
        site = Site(record, services)
        try:
            site.record.note(f"trouble: {'yes' if trouble else 'no'}")
            await site.start(gateways)
            await asyncio.wait_for(scenario(site, trouble), limit)
        except Exception as ex:  # Whatever it is, the case says nothing about the rule.
            site.record.note(f"could not run: {ex!r}")
            print(f"could not run: {ex!r}")
            return 2
        finally:
            site.stop()
            site.save_logs()
            site.folder.cleanup()
        for text in site.broken:
            site.record.note(f"BROKEN {text}")
            print(f"broken: {text}")
        print("the rule was broken" if site.broken else "the rule held")
        return 1 if site.broken else 0

    loop = asyncio.new_event_loop()
    code = loop.run_until_complete(main())
    sys.stdout.flush()
    os._exit(code)
