"""Small stand-ins for a deployment on loopback addresses: store, servers, VMs.

The daemons are real processes, started with the command of `deploy/system.toml`.
The store, the servers and the clients run in the process of the test. They use
the standard library only, and follow PROTOCOL.md and DEPLOY.md.
"""

import asyncio
import base64
import bisect
import contextlib
import itertools
import json
import os
import pathlib
import random
import secrets
import shutil
import signal
import socket
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
HEARTBEAT_MS = 1500
BOUNDS = {
    "SeedLagS": 3,
    "AddrReuseS": 2,
    "ContactMs": 3000,
    "AckMs": 4000,
    "CatchUpS": 4,
    "DrainMs": 2000,
    "GraceS": 6,
    "LossSlackMs": 200,
    "ConfigApplyMs": 2000,
    "RollbackSlackMs": 250,
    "MaxStretchMs": 5000,
    "RetryBudgetRatio": 0.2,
    "RetryWindowS": 10,
    "RetrySlack": 62,
    "RecoverS": 15,
    "HoldMaxMs": 10000,
    "ThawMs": 300,
}
ZONES = {"khulna-a": "khulna", "ctg-a": "chattogram"}
HOST = "labels.example"
LIMITS = {
    "MaxHeaderBytes": 16384,
    "MaxBodyBytes": 1 << 20,
    "HeaderTimeoutMs": 3000,
    "IdleTimeoutMs": 15000,
}


class Record:
    """Writes what happened to `record.txt`, with seconds since the start."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._began = time.monotonic()

    def __call__(self, *words):
        self.at(time.monotonic(), *words)

    def at(self, moment, *words):
        """Records what happened at an earlier moment of the steady clock."""
        seconds = moment - self._began
        self._file.write(f"{seconds:8.3f} " + " ".join(map(str, words)) + "\n")

    def close(self):
        self._file.close()


async def read_message(reader):
    """Reads one HTTP message; returns first line, headers and body.

    Raises EOFError if the connection ends before a first byte, and
    IncompleteReadError if it ends within the message.
    """
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if not error.partial:
            raise EOFError from None
        raise
    first, *lines = head[:-4].split(b"\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(b":")
        headers[name.strip().lower().decode()] = value.strip().decode("latin-1")
    body = b""
    if "chunked" in headers.get("transfer-encoding", ""):
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            piece = await reader.readexactly(size + 2)
            if not size:
                break
            body += piece[:-2]
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return first.decode("latin-1"), headers, body


def encode(first, headers, body=b""):
    """Encodes an HTTP message with a length."""
    lines = [first, *(f"{n}: {v}" for n, v in headers)]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class HttpServer:
    """Serves one request at a time on each connection."""

    def __init__(self):
        self._server = None
        self._writers = set()
        self.address = ""

    async def listen(self, host="127.0.0.1", port=0):
        self._server = await asyncio.start_server(
            self._serve, host, port, limit=1 << 20
        )
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    def crash(self):
        """Ends at once: no listener, and all connections are reset."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, path, _ = first.split(" ")
                answer = await self.handle(method, path, headers, body, writer)
                if answer is None:
                    return
                writer.write(answer)
                await writer.drain()
        except (EOFError, asyncio.IncompleteReadError, ConnectionError):
            pass
        except asyncio.CancelledError:
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def handle(self, method, path, headers, body, writer):
        raise NotImplementedError


class Store(HttpServer):
    """The platform's store."""

    def __init__(self):
        super().__init__()
        self._items = {}
        self._revision = 1
        self._history = []
        self._leases = {}
        self._numbers = itertools.count(1)
        self._changed = asyncio.Event()

    def put(self, key, value, lease=0):
        if not isinstance(value, bytes):
            value = json.dumps(value).encode()
        self._revision += 1
        old = self._items.get(key)
        item = {
            "Key": key,
            "Value": base64.b64encode(value).decode(),
            "Revision": self._revision,
            "CreatedRev": old["CreatedRev"] if old else self._revision,
            "Lease": lease,
        }
        self._items[key] = item
        self._note(key, item)

    def remove(self, key):
        if self._items.pop(key, None) is not None:
            self._revision += 1
            self._note(
                key, {"Key": key, "Revision": self._revision, "Removed": True}
            )

    def _note(self, key, event):
        self._history.append((self._revision, key, event))
        self._changed.set()
        self._changed = asyncio.Event()

    def _expire(self):
        now = time.monotonic()
        for lease in [n for n, (at, _) in self._leases.items() if at < now]:
            self._end_lease(lease)

    def _end_lease(self, lease):
        self._leases.pop(lease, None)
        for key in [k for k, i in self._items.items() if i["Lease"] == lease]:
            self.remove(key)

    async def handle(self, method, path, headers, body, writer):
        status, answer = await self._answer(path, body)
        return encode(
            f"HTTP/1.1 {status} X",
            [("Content-Type", "application/json")],
            json.dumps(answer).encode(),
        )

    async def _answer(self, path, body):
        self._expire()
        path, _, query = path.partition("?")
        fields = dict(urllib.parse.parse_qsl(query))
        name, *rest = path.strip("/").split("/")
        if name == "kv-key":
            item = self._items.get(fields["Key"])
            revision = {"StoreRevision": self._revision}
            return (200, item | revision) if item else (404, revision)
        if name == "kv-range":
            after = fields.get("after", "")
            keys = sorted(
                k
                for k in self._items
                if k.startswith(fields["Prefix"]) and k > after
            )
            return 200, {
                "items": [self._items[k] for k in keys[:500]],
                "MorePages": len(keys) > 500,
                "StoreRevision": self._revision,
            }
        if name == "kv-watch":
            return 200, await self._watch(fields)
        data = json.loads(body) if body else {}
        if name == "kv-txn":
            return self._commit(data)
        if name == "kv-lease":
            lease, ttl = next(self._numbers), data["TtlMs"]
            self._leases[lease] = (time.monotonic() + ttl / 1000, ttl)
            return 200, {"Lease": lease, "TtlMs": ttl}
        if name == "kv-keep":
            lease = int(rest[0])
            if lease not in self._leases:
                return 404, {}
            ttl = self._leases[lease][1]
            self._leases[lease] = (time.monotonic() + ttl / 1000, ttl)
            return 200, {"Lease": lease, "TtlMs": ttl}
        if name == "kv-lease-end":
            self._end_lease(int(rest[0]))
            return 200, {}
        return 404, {}

    async def _watch(self, fields):
        deadline = time.monotonic() + int(fields["WaitMs"]) / 1000
        prefix, after = fields["Prefix"], int(fields["after"])
        while True:
            start = bisect.bisect_right(self._history, after, key=lambda c: c[0])
            events = [
                e for _, k, e in self._history[start:] if k.startswith(prefix)
            ]
            left = deadline - time.monotonic()
            if events or left <= 0:
                return {"events": events, "StoreRevision": self._revision}
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left):
                    await self._changed.wait()

    def _commit(self, data):
        expected = data.get("Expected") or []
        for row in expected:
            item = self._items.get(row["Key"])
            if (item["Revision"] if item else 0) != row["Revision"]:
                found = [self._items.get(r["Key"]) for r in expected]
                return 412, {"items": [i for i in found if i]}
        writes = data.get("Writes") or []
        if any(w.get("Lease") and w["Lease"] not in self._leases for w in writes):
            return 404, {}
        for row in writes:
            value = base64.b64decode(row["Value"])
            self.put(row["Key"], value, row.get("Lease", 0))
        for key in data.get("DeleteKeys") or []:
            self.remove(key)
        return 200, {"Revision": self._revision}


class Server(HttpServer):
    """One server of a service, registered in the store.

    Attributes:
        runs: Shared list of (attempt, server) in order of their begin.
        body: Returns the body of the answer to a path.
        on_run: Called before a request is run; may end the server.
    """

    def __init__(self, rig, name, service, zone, *, slots=2, work=0.12, keyed=False):
        super().__init__()
        self.rig = rig
        self.id = name
        self.service = service
        self.zone = zone
        self.slots = slots
        self.work = work
        self.keyed = keyed
        self.up = False
        self.born = 0
        self.body = lambda path: f"{self.id} {path}".encode()
        self.on_run = lambda attempt, path: None
        self._beats = None
        self._sequence = 0
        self._free = asyncio.Semaphore(slots)
        self._waiting = 0
        self._grants = []
        self._fences = []
        self._active = set()

    async def start(self, port=0):
        await self.listen(self.rig.server_ip, port)
        self.up = True
        self.born = int(time.time() * 1000)
        self._grants, self._fences = [], []
        self._free = asyncio.Semaphore(self.slots)
        self._waiting = 0
        self._register()
        self._beats = asyncio.create_task(self._beat())

    def _register(self, state="ready"):
        self._sequence += 1
        self.rig.store.put(
            f"servers/{self.id}",
            {
                "ServiceName": self.service,
                "Address": self.address,
                "Zone": self.zone,
                "ConfigVersion": "1",
                "Slots": self.slots,
                "State": state,
                "WarmupLeftMs": 0,
                "SeqNo": self._sequence,
                "born": self.born,
            },
        )

    async def _beat(self):
        while True:
            await asyncio.sleep(HEARTBEAT_MS / 1000)
            if self.up:
                self._register()

    def crash(self, back_after=None):
        """Crashes; starts again as a new incarnation after some seconds."""
        if not self.up:
            return
        self.up = False
        self._beats.cancel()
        super().crash()
        self.rig.spawn(self._after_crash(self.id, back_after))

    async def _after_crash(self, name, back_after):
        async def lapse():
            await asyncio.sleep(3 * HEARTBEAT_MS / 1000)
            self.rig.store.remove(f"servers/{name}")

        lapsing = self.rig.spawn(lapse())
        if back_after is None:
            return
        await asyncio.sleep(back_after)
        await lapsing
        self.id = f"i-{secrets.token_hex(4)}"
        await self.start()

    async def handle(self, method, path, headers, body, writer):
        if not self.up:
            return None
        attempt = headers.get("x-attempt-id", "")
        echo = [("X-Attempt-Id", attempt)] if attempt else []
        not_run = [*echo, ("X-Not-Executed", "1"), ("X-Instance-Id", self.id)]
        expected = headers.get("x-expect-instance")
        if expected not in (None, self.id):
            return encode("HTTP/1.1 421 X", not_run)
        if path == "/health":
            return encode("HTTP/1.1 200 OK", [("X-Instance-Id", self.id)])
        if path == "/grant":
            return self._grant(json.loads(body))
        if path == "/release":
            return await self._release(json.loads(body))
        self.rig.arrivals.append((time.monotonic(), attempt, self.id))
        if not attempt:
            return encode("HTTP/1.1 400 X", not_run)
        if self.keyed and not self.holds(int(headers.get("x-shard-key", "-1"))):
            return encode("HTTP/1.1 421 X", not_run)
        if self._waiting >= self.slots + 8:
            return encode("HTTP/1.1 503 X", not_run)
        self._waiting += 1
        try:
            async with self._free:
                self.rig.runs.append((time.monotonic(), attempt, self.id))
                self.on_run(attempt, path)
                if not self.up:
                    return None
                await asyncio.sleep(self.work)
        finally:
            self._waiting -= 1
        seal = f"{self.id}.{attempt}"
        return encode(
            "HTTP/1.1 200 OK", [*echo, ("X-Server-Seal", seal)], self.body(path)
        )

    def holds(self, key):
        now = time.monotonic()
        return any(f <= key <= l and now < end for f, l, _, end in self._grants)

    def _cut(self, first, last):
        kept = []
        for f, l, fence, end in self._grants:
            if f < first:
                kept.append((f, min(l, first - 1), fence, end))
            if l > last:
                kept.append((max(f, last + 1), l, fence, end))
        self._grants = kept

    def _grant(self, data):
        first, last, fence = data["From"], data["Target"], data["fence"]
        if any(f <= last and first <= l and n > fence for f, l, n in self._fences):
            return encode("HTTP/1.1 409 X", [])
        end = time.monotonic() + data["HoldMs"] / 1000
        self._cut(first, last)
        self._grants.append((first, last, fence, end))
        self._fences.append((first, last, fence))
        return encode("HTTP/1.1 200 OK", [])

    async def _release(self, data):
        first, last, fence = data["From"], data["Target"], data["fence"]
        self._cut(first, last)
        self._fences.append((first, last, fence))
        await asyncio.sleep(self.work)
        return encode(
            "HTTP/1.1 200 OK", [("X-Handover", secrets.token_hex(8))]
        )


class Daemon:
    """One edge VM: a process of the project."""

    def __init__(self, rig, number):
        self.name = f"edge-{number}"
        self.ip = f"{rig.network}.{number}"
        self.zone = list(ZONES)[number % len(ZONES)]
        self.front = (self.ip, 8548)
        self.ready = (self.ip, 8542)
        self._rig = rig
        self._process = None

    async def start(self):
        rig = self._rig
        settings = rig.folder / f"{self.name}.toml"
        settings.write_text(self._settings(), encoding="utf-8")
        environment = {
            n: os.environ[n] for n in ("PATH", "HOME", "LANG") if n in os.environ
        }
        environment["MIMOSASTILE_NODE_FILE"] = str(settings)
        with open(rig.folder / f"{self.name}.log", "ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                *rig.command,
                cwd=ROOT,
                env=environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def _settings(self):
        ports = {"Front": 8548, "Ready": 8542, "Control": 8544}
        lines = [
            f'NodeName = "{self.name}"',
            'Role = "gateway"',
            'MachineClass = "edge"',
            'Serves = ["edge"]',
            f'Ip = "{self.ip}"',
            f'Zone = "{self.zone}"',
            f'Region = "{ZONES[self.zone]}"',
            "InternalPortRange = [7540, 7555]",
            "SeedNodes = []",
            "Bootstrap = true",
            'Discovery = "platform"',
            'Entry = "vip"',
            f"HeartbeatMs = {HEARTBEAT_MS}",
            'Grants = "call"',
            "[Zones]",
            *(f'{z} = "{r}"' for z, r in ZONES.items()),
            "[Listen]",
            *(f'{n} = "{self.ip}:{p}"' for n, p in ports.items()),
            "[Limits]",
            "CpuShare = 0.86",
            "CpuCores = 1",
            "MemoryMb = 300",
            "MaxFds = 4100",
            "LinkMbps = 1000.0",
            "[FaultTolerance]",
            "Machines = 2",
            "[Bounds]",
            *(f"{n} = {v}" for n, v in BOUNDS.items()),
            "[Platform]",
            f'Address = "{self._rig.store.address}"',
            'form = "kv"',
            "WritesPerS = 400",
            "ReadsPerS = 2000",
            "HistoryS = 20",
            "ValueBytes = 1048576",
            "TtlMinMs = 1000",
        ]
        return "\n".join(lines) + "\n"

    def signal(self, number):
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(number)

    @property
    def running(self):
        return self._process is not None and self._process.returncode is None

    async def wait(self):
        await self._process.wait()

    async def kill(self):
        if self.running:
            self._process.kill()
            await self._process.wait()

    async def is_ready(self):
        try:
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(*self.ready)
                writer.write(b"GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n")
                first, _, _ = await read_message(reader)
                writer.close()
                return " 200 " in first + " "
        except (OSError, EOFError, TimeoutError, asyncio.IncompleteReadError):
            return False


def _free_network():
    """Returns the first three numbers of a loopback network with free ports."""
    for _ in range(100):
        network = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        try:
            for host, port in itertools.product(
                range(1, 12), (8548, 8542, 7540, 9464)
            ):
                with socket.socket() as probe:
                    probe.bind((f"{network}.{host}", port))
        except OSError:
            continue
        return network
    raise OSError("no free loopback network")


class Rig:
    """A store, servers and daemons, with what the servers saw."""

    def __init__(self):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.network = _free_network()
        self.server_ip = f"{self.network}.200"
        self.store = Store()
        self.servers = []
        self.daemons = []
        self.runs = []
        self.arrivals = []
        self._tasks = set()
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self.command = deploy["roles"]["gateway"]["run"].split()

    def spawn(self, work):
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def start(self, configuration, daemons, servers):
        """Starts everything and waits until all daemons are ready."""
        await self.store.listen(f"{self.network}.201")
        self.store.put("op/config", configuration)
        for options in servers:
            server = Server(self, **options)
            self.servers.append(server)
            await server.start()
        for number in range(1, daemons + 1):
            self.daemons.append(Daemon(self, number))
        await asyncio.gather(*(d.start() for d in self.daemons))
        async with asyncio.timeout(30):
            while not all([await d.is_ready() for d in self.daemons]):
                await asyncio.sleep(0.1)

    async def stop(self):
        for task in list(self._tasks):
            task.cancel()
        for daemon in self.daemons:
            await daemon.kill()
        for server in self.servers:
            if server.up:
                server.up = False
                server._beats.cancel()
                HttpServer.crash(server)
        self.store.crash()


def route(name, prefix, kind, service, *, timeout=2000, attempts=2, aim=400):
    """Returns a route as an operator writes it."""
    return {
        "Name": name,
        "RouteKind": kind,
        "TargetLatencyMs": aim,
        "Priority": 1,
        "MatchCriteria": {"Prefix": prefix},
        "RouteAction": {
            "ServiceName": service,
            "TimeoutMs": timeout,
            "MaxAttempts": attempts,
        },
    }


def configuration(routes, services, version=7):
    """Returns a configuration as an operator writes it."""
    return {
        "ConfigVersion": version,
        "Limits": LIMITS,
        "ListenerList": [{"HostName": HOST, "RuleSet": routes}],
        "ClusterList": [
            {"Name": n, "HealthPath": "/health", "MaxConnections": 130, **o}
            for n, o in services.items()
        ],
    }


def request(method, path, attempt, deadline_ms, headers=(), body=b""):
    """Encodes a client's request."""
    return encode(
        f"{method} {path} HTTP/1.1",
        [
            ("Host", HOST),
            ("X-Attempt-Id", attempt),
            ("X-Deadline-Ms", deadline_ms),
            *headers,
        ],
        body,
    )


async def ask(address, data, timeout):
    """Sends a request on a new connection; returns status and headers.

    The status is 0 if there is no whole answer in time.
    """
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(data)
            first, headers, _ = await read_message(reader)
            return int(first.split(" ")[1]), headers
    except (OSError, EOFError, TimeoutError, asyncio.IncompleteReadError):
        return 0, {}
    finally:
        if writer is not None:
            writer.close()


def run(case, folder):
    """Runs a case and ends this process with its exit status.

    The status is 1 if the rule was broken, 0 if it held, and 2 if the case
    could not run.

    Args:
        case: Coroutine function of the record, a rig and whether to disrupt.
        folder: Where `record.txt` goes.
    """

    async def main():
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        record = Record(pathlib.Path(folder) / "record.txt")
        rig = Rig()
        try:
            async with asyncio.timeout(110):
                broken = await case(
                    record, rig, os.environ.get("TROUBLE", "1") != "0"
                )
            record("result:", "rule broken" if broken else "rule held")
            return int(broken)
        except (Exception, asyncio.CancelledError) as error:
            record("could not run:", repr(error))
            return 2
        finally:
            await rig.stop()
            record.close()
            shutil.rmtree(rig.folder, ignore_errors=True)

    status = asyncio.run(main())
    # Without the interpreter's clean-up, which complains of the connections
    # that the test has left open.
    os._exit(status)
