"""Stand-ins of the platform, the backend servers and the callers, for the
cases of the second review. They speak what PROTOCOL.md says, on loopback
addresses, and do nothing that the pages do not allow.

Python's standard library only. The gateways are separate processes, started
with the command of deploy/system.toml.
"""
import asyncio
import base64
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import traceback

HOST = "127.0.0.1"
ROOT = pathlib.Path(__file__).resolve().parents[2]
PROGRAM = ROOT / "target" / "Source" / "App" / "camphorstep"
MAX_MESSAGE = 1 << 20
HEARTBEAT_S = 1.2


class CannotRun(Exception):
    """The case could not run; says nothing about the rule."""


# Below the ports that the system gives to outgoing connections.
PORTS = range(15_000, 30_000)
taken_ports = set()


def free_ports(count):
    """Ports that nobody listens on at the moment."""
    ports = []
    while len(ports) < count:
        port = random.choice(PORTS)
        with socket.socket() as sock:
            try:
                sock.bind((HOST, port))
            except OSError:
                continue
        if port not in taken_ports:
            taken_ports.add(port)
            ports.append(port)
    return ports


class Record:
    """record.txt: what was sent, answered and run, with the time."""

    def __init__(self, folder):
        self.start = time.monotonic()
        self.file = open(pathlib.Path(folder) / "record.txt", "w", encoding="ascii")

    def write(self, text):
        line = f"{time.monotonic() - self.start:8.3f} {text}"
        self.file.write(line + "\n")
        self.file.flush()

    def say(self, text):
        self.write(text)
        print(text, flush=True)


class Store:
    """The platform's metadata store: rows, a feed and transactions."""

    def __init__(self, port):
        self.port = port
        self.rows = {}  # (table, key) -> (value or None, version)
        self.version = 100
        self.changed = asyncio.Condition()
        self.server = None
        self.is_down = False
        # Called with the path, the fields and the connection of each call that
        # is answered.
        self.on_call = None

    @property
    def address(self):
        return f"{HOST}:{self.port}"

    async def start(self):
        self.server = await asyncio.start_server(self.serve, HOST, self.port)

    async def put(self, table, key, value):
        """What the operator and the servers write."""
        self.version += 1
        text = None if value is None else json.dumps(value)
        self.rows[(table, key)] = (text, self.version)
        async with self.changed:
            self.changed.notify_all()
        return self.version

    async def serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                method, target, _ = head.split("\r\n")[0].split(" ")
                length = 0
                for line in head.split("\r\n")[1:]:
                    name, _, value = line.partition(":")
                    if name.lower() == "content-length":
                        length = int(value)
                body = await reader.readexactly(length) if length else b""
                status, answer = await self.answer(target, body, writer)
                text = json.dumps(answer).encode()
                writer.write(
                    f"HTTP/1.1 {status} x\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(text)}\r\n\r\n".encode() + text)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    def now_ms(self):
        return int(time.monotonic() * 1000)

    def row(self, place):
        value, version = self.rows[place]
        row = {"Table": place[0], "part": "", "Key": place[1], "Ver": version}
        if value is None:
            row["Deleted"] = True
        else:
            row["Value"] = base64.b64encode(value.encode()).decode()
        return row

    async def answer(self, target, body, writer):
        path, _, query = target.partition("?")
        fields = {}
        for item in query.split("&"):
            name, _, value = item.partition("=")
            fields[name] = value.replace("%2F", "/").replace("%2D", "-")
        if self.is_down:
            return 503, {}
        await asyncio.sleep(0.004)
        if self.on_call is not None:
            self.on_call(path, fields, writer)
        if path == "/rows-get":
            rows = [self.row(p) for p in sorted(self.rows)
                    if p[0] == fields["Table"] and self.rows[p][0] is not None
                    and p[1] >= fields.get("From", "")]
            return 200, {"rows": rows, "MorePages": False, "Ver": self.version,
                         "NowMs": self.now_ms()}
        if path == "/rows-feed":
            return 200, await self.feed(fields)
        if path == "/rows-tx":
            return await self.transact(json.loads(body))
        return 404, {}

    async def feed(self, fields):
        after = int(fields["after"])
        end = time.monotonic() + int(fields["WaitMs"]) / 1000
        while True:
            places = [p for p in self.rows
                      if p[0] == fields["Table"] and self.rows[p][1] > after]
            left = end - time.monotonic()
            if places or left <= 0:
                places.sort(key=lambda p: self.rows[p][1])
                return {"rows": [self.row(p) for p in places],
                        "Ver": self.version, "NowMs": self.now_ms()}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass

    async def transact(self, call):
        current = []
        holds = True
        for item in call.get("Precondition", []):
            place = (item["Table"], item["Key"])
            value, version = self.rows.get(place, (None, 0))
            version = 0 if value is None else version
            holds = holds and version == item["Ver"]
            if value is not None:
                current.append(self.row(place))
        if not holds:
            return 412, {"rows": current, "Ver": self.version,
                         "NowMs": self.now_ms()}
        self.version += 1
        for item in call.get("Puts", []):
            value = base64.b64decode(item["Value"]).decode()
            self.rows[(item["Table"], item["Key"])] = (value, self.version)
        for item in call.get("Deletes", []):
            place = (item["Table"], item["Key"])
            if place in self.rows:
                self.rows[place] = (None, self.version)
        async with self.changed:
            self.changed.notify_all()
        return 200, {"Ver": self.version, "NowMs": self.now_ms()}


class Service:
    """The servers of a database: a primary and its replicas, which receive and
    apply each commit at once."""

    def __init__(self, name, ports, zones, slots, max_conns, record, work_s=0.01):
        self.name = name
        self.term = 1
        self.log = []
        self.data = {}
        self.record = record
        self.slots = slots
        self.max_conns = max_conns
        self.work_s = work_s
        self.runs = []  # (id, tenant, text, time)
        self.servers = [Server(self, n, port, zones[n % len(zones)])
                        for n, port in enumerate(ports)]

    async def start(self):
        for server in self.servers:
            await server.start()


class Server:
    def __init__(self, service, number, port, zone):
        self.service = service
        self.id = f"i-{service.name}{number}"
        self.port = port
        self.zone = zone
        self.primary = number == 0
        self.pause_term = 0
        self.conns = 0
        self.slot = asyncio.Semaphore(service.slots)
        self.waiting = 0

    def entry(self, born, seq):
        return {"Service": self.service.name, "Address": f"{HOST}:{self.port}",
                "Zone": self.zone, "Version": "v1",
                "Capacity": self.service.slots, "State": "ready",
                "WarmupLeftMs": 0, "Seq": seq, "born": born,
                "DbRole": "primary" if self.primary else "replica"}

    async def start(self):
        await asyncio.start_server(self.serve, HOST, self.port, limit=2 * MAX_MESSAGE)

    def position(self):
        return f"{self.service.term}.{len(self.service.log)}"

    def status_row(self):
        role = "primary" if self.primary else "replica"
        return (f"ROW {role} {self.service.term} {self.position()} "
                f"{self.pause_term} 0 {self.waiting} {self.conns}\r\n")

    async def serve(self, reader, writer):
        state = {"tx": "I", "writes": [], "values": {}, "names": {}, "tenant": ""}
        self.conns += 1
        try:
            line = await reader.readuntil(b"\r\n")
            fields = line[:-2].decode("latin-1").split(" ")
            state["tenant"] = fields[2] if len(fields) > 2 else ""
            if fields[0] != "STARTUP" or fields[1] != self.service.name or (
                    len(fields) > 3 and fields[3] != self.id):
                writer.write(b"ERROR MISROUTED x\r\n")
                return
            if self.conns > self.service.max_conns:
                writer.write(b"ERROR TOOMANY x\r\n")
                return
            async with self.slot:
                await asyncio.sleep(0.004)
            writer.write(f"READY I {self.position()}\r\n".encode())
            while True:
                line = (await reader.readuntil(b"\r\n"))[:-2].decode("latin-1")
                if not line.startswith("QUERY "):
                    return
                _, request, text = line.split(" ", 2)
                answer = await self.run(state, request, text)
                writer.write((answer + f"READY {state['tx']} {self.position()}\r\n")
                             .encode("latin-1"))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError,
                asyncio.LimitOverrunError):
            pass
        finally:
            self.conns -= 1
            writer.close()

    async def run(self, state, request, text):
        word, _, rest = text.partition(" ")
        if word == "AFTER":
            _, _, text = rest.partition(" ")
            word, _, rest = text.partition(" ")
        if word == "STATUS":
            return self.status_row() + "COMPLETE -\r\n"
        if word == "RESET":
            state["values"].clear()
            state["names"].clear()
        elif word == "SET":
            name, _, value = rest.partition(" ")
            state["values"][name] = value
        elif word == "PREPARE":
            name, _, shape = rest.partition(" ")
            state["names"][name] = shape
        elif word == "BEGIN":
            if rest != "READ" and not self.primary:
                return f"ERROR READONLY {self.id}\r\n"
            state["tx"] = "T"
            state["writes"] = []
        elif word == "ROLLBACK":
            state["tx"] = "I"
            state["writes"] = []
        elif word in ("READ", "WRITE", "COMMIT", "EXECUTE"):
            return await self.work(state, request, word, rest, text)
        return "COMPLETE -\r\n"

    async def work(self, state, request, word, rest, text):
        service = self.service
        writes = word == "WRITE"
        if word == "EXECUTE":
            name, _, rest = rest.partition(" ")
            if name not in state["names"]:
                return "ERROR NOSUCHSTMT x\r\n"
            writes = state["names"][name].startswith("WRITE")
        if writes and not self.primary:
            return f"ERROR READONLY {self.id}\r\n"
        self.waiting += 1
        try:
            async with self.slot:
                await asyncio.sleep(service.work_s)
        finally:
            self.waiting -= 1
        if request != "-":
            service.runs.append((request, state["tenant"], text[:60], time.monotonic()))
            service.record.write(
                f"ran at {service.name} {self.id}: {request} {text[:60]}")
        rows = ""
        if word == "COMMIT":
            self.commit(state["writes"])
            state["tx"] = "I"
            state["writes"] = []
        elif writes:
            item, _, value = rest.partition(" ")
            state["writes"].append((item, value))
            if state["tx"] == "I":
                self.commit(state["writes"])
                state["writes"] = []
        else:
            rows = f"ROW {service.name}.{service.data.get(rest, '')[:100]}\r\n"
        return rows + f"COMPLETE d.{request}\r\n"

    def commit(self, writes):
        if writes:
            self.service.log.append([item for item, _ in writes])
            for item, value in writes:
                self.service.data[item] = value[:100]


async def beat(store, services, stopped):
    """The servers' check-ins."""
    born = int(time.time() * 1000)
    seq = 0
    while not stopped.is_set():
        seq += 1
        for service in services:
            for server in service.servers:
                await store.put("servers", server.id, server.entry(born, seq))
        try:
            await asyncio.wait_for(stopped.wait(), HEARTBEAT_S)
        except asyncio.TimeoutError:
            pass


class Gateway:
    """A process of the system, with the settings that
    deploy/gateway.ini.template gives."""

    def __init__(self, name, folder, settings):
        self.name = name
        self.settings = settings
        (self.callers, self.readiness, self.peers,
         self.metrics) = free_ports(4)
        self.path = pathlib.Path(folder) / f"{name}.ini"
        self.log = open(pathlib.Path(folder) / f"{name}.log", "ab")
        self.process = None

    def start(self):
        if self.log.closed:
            return
        s = self.settings
        text = (
            f"[host]\nname = {self.name}\ndata_centre = {s['zone']}\n"
            f"processor_share = {s['cpu_share']}\nmemory_mb = {s['memory_mb']}\n"
            f"descriptors = {s['max_fds']}\n\n"
            f"[listen]\ncallers = {HOST}:{self.callers}\n"
            f"readiness = {HOST}:{self.readiness}\n"
            f"peers = {HOST}:{self.peers}\nmetrics = {HOST}:{self.metrics}\n\n"
            f"[stop]\ngrace_ms = {s['grace_s']}000\n\n")
        if s["revoke_ms"]:
            text += (
                f"[accounts]\nrevoke_ms = {s['revoke_ms']}\n\n"
                "[relay]\nenabled = yes\n\n"
                "[rate_limits]\nwindow_ms = 5000\noverage = 0.1\nslack = 20\n\n")
        text += (
            f"[platform]\nstore = {s['store']}\npromotions = {s['promotions']}\n\n")
        for zone, region in s["zones"].items():
            text += f"[data_centre.{zone}]\nregion = {region}\n\n"
        self.path.write_text(text)
        env = {"PATH": os.environ.get("PATH", ""),
               "CAMPHORSTEP_SETTINGS": str(self.path)}
        self.process = subprocess.Popen(
            [str(PROGRAM), "gateway"], cwd=ROOT, env=env, stdin=subprocess.DEVNULL,
            stdout=self.log, stderr=self.log)

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    def kill(self):
        if self.is_running():
            self.process.kill()
        if self.process is not None:
            self.process.wait()

    def send(self, number):
        if self.is_running():
            self.process.send_signal(number)

    def memory(self):
        """The resident memory in bytes; 0 if the process has ended."""
        try:
            text = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0
        for line in text.splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) * 1024
        return 0

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(HOST, self.readiness)
            writer.write(b"GET /readyz HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
            head = await asyncio.wait_for(reader.readline(), 1.0)
            writer.close()
            return b" 200 " in head
        except (OSError, asyncio.TimeoutError):
            return False

    async def metric(self, name):
        try:
            reader, writer = await asyncio.open_connection(HOST, self.metrics)
            writer.write(b"GET /metrics HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
            head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 2.0)
            length = next(int(line.split(b":")[1]) for line in head.split(b"\r\n")
                          if line.lower().startswith(b"content-length:"))
            text = (await asyncio.wait_for(reader.readexactly(length), 2.0)).decode()
            writer.close()
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError,
                StopIteration):
            return None
        for line in text.splitlines():
            if line.startswith(name + " "):
                return float(line.split()[1])
        return None


class Caller:
    """A session of a client."""

    def __init__(self, record=None):
        self.record = record
        self.reader = self.writer = None
        self.count = 0

    async def open(self, gateway, database, key, timeout=2.0):
        """Returns what came instead of READY, or an empty text."""
        self.reader, self.writer = await asyncio.open_connection(
            HOST, gateway.callers, limit=2 * MAX_MESSAGE)
        self.writer.write(f"STARTUP {database} {key}\r\n".encode())
        line = (await asyncio.wait_for(self.reader.readline(), timeout)).decode()
        return "" if line.startswith("READY") else (line.strip() or "closed")

    async def query(self, request, text, timeout=10.0):
        """Returns the lines of the answer up to READY; None if the connection
        ended."""
        self.writer.write(f"QUERY {request} {text}\r\n".encode())
        lines = []
        try:
            while True:
                line = (await asyncio.wait_for(self.reader.readline(), timeout)).decode()
                if not line:
                    return None
                if line.startswith("READY"):
                    return lines
                lines.append(line.strip())
        except (ConnectionError, asyncio.TimeoutError):
            return None

    def close(self):
        if self.writer is not None:
            self.writer.close()


class Site:
    """A deployment: a store, services and gateways."""

    def __init__(self, folder):
        if not PROGRAM.exists():
            raise CannotRun("the program is not built")
        self.folder = tempfile.mkdtemp(prefix="camphorstep-review-")
        self.record = Record(folder)
        store_port, self.promotions_port = free_ports(2)
        self.store = Store(store_port)
        self.services = []
        self.databases = []
        self.gateways = []
        self.stopped = asyncio.Event()
        self.tasks = []

    def add_service(self, name, zones, slots, max_conns, work_s=0.01):
        service = Service(name, free_ports(3), zones, slots, max_conns,
                          self.record, work_s)
        self.services.append(service)
        return service

    def add_gateway(self, name, zone, zones, cpu_share, memory_mb, max_fds,
                    revoke_ms=5000):
        gateway = Gateway(name, self.folder, {
            "zone": zone, "zones": zones, "cpu_share": cpu_share,
            "memory_mb": memory_mb, "max_fds": max_fds, "grace_s": 6,
            "revoke_ms": revoke_ms, "store": self.store.address,
            "promotions": f"{HOST}:{self.promotions_port}"})
        self.gateways.append(gateway)
        return gateway

    async def start(self, config, one_by_one=False):
        """Starts everything. One by one, the first gateway gets the duty."""
        await self.store.start()
        for service in self.services:
            await service.start()
        for database in self.databases:
            await database.start()
        await self.store.put("op", "config", config)
        self.tasks.append(asyncio.create_task(
            beat(self.store, self.services, self.stopped)))
        await asyncio.sleep(0.3)
        end = time.monotonic() + 15
        for gateway in self.gateways:
            gateway.start()
            if one_by_one:
                await asyncio.sleep(1.5)
        for gateway in self.gateways:
            while not await gateway.is_ready():
                if time.monotonic() > end:
                    raise CannotRun(f"{gateway.name} is not ready")
                await asyncio.sleep(0.1)
        await asyncio.sleep(2.0)

    async def stop(self):
        self.stopped.set()
        for gateway in self.gateways:
            gateway.send(signal.SIGCONT)
            gateway.kill()
            gateway.log.close()
        if os.environ.get("KEEP"):
            print("logs:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def config(version, routes, services, max_conns, accounts, public=False):
    """A configuration: routes as database -> (service, kind, time limit in ms),
    and a number of client accounts, account-N with key-N. Public routes need no
    key."""
    result = {
        "Version": version,
        "Routes": [{"Name": f"r-{host}", "Host": host, "Prefix": "/", "Kind": kind,
                    "TimeoutMs": timeout, "TargetLatencyMs": 500, "Priority": 0,
                    "Service": service, "MaxAttempts": 2, "MaxStalenessMs": 1500,
                    "Public": public}
                   for host, (service, kind, timeout) in routes.items()],
        "Services": [{"Name": name, "HealthPath": "/healthz", "MaxConns": max_conns,
                      "Protocol": "h1", "Tls": False, "SyncReplicas": 1}
                     for name in services],
        "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144,
                   "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000, "TxIdleMs": 3000},
    }
    if accounts:
        result["Tenants"] = [
            {"Name": f"account-{n}", "ApiKeys": [f"key-{n}"], "Priority": 1,
             "RatePerS": 1000, "Burst": 1000} for n in range(accounts)]
    return result


def run_case(main, folder):
    """Runs a case and ends with the exit code of run.sh."""
    async def guarded():
        site = Site(folder)
        asyncio.get_running_loop().add_signal_handler(
            signal.SIGTERM, asyncio.current_task().cancel)
        try:
            return await main(site, os.environ.get("TROUBLE", "1") != "0")
        finally:
            await site.stop()
            others = asyncio.all_tasks() - {asyncio.current_task()}
            for task in others:
                task.cancel()
            await asyncio.gather(*others, return_exceptions=True)
    code = 2
    try:
        code = 1 if asyncio.run(guarded()) else 0
    except CannotRun as ex:
        print("could not run:", ex)
    except asyncio.CancelledError:
        print("could not run to its end")
    except Exception:  # Nothing is said about the rule.
        traceback.print_exc()
    sys.stdout.flush()
    sys.stderr.flush()
    # Connections that are left would complain that their loop has ended.
    os._exit(code)
