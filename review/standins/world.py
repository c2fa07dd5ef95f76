"""Small stand-ins for the platform's store, servers and clients.

They use the standard library alone and speak what PROTOCOL.md says. All of them
live in the process of the script; the daemons are processes of their own,
started with the command of `deploy/system.toml`.
"""

import asyncio
import base64
import json
import os
import pathlib
import shlex
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]


class Record:
    """Writes what was sent, answered and run, one line an event."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._began = time.monotonic()

    def now(self):
        return time.monotonic() - self._began

    def write(self, *words):
        self._file.write(f"{self.now():8.3f} " + " ".join(map(str, words)) + "\n")

    def close(self):
        self._file.close()


class Head:
    """Start line and headers of a message."""

    def __init__(self, first, headers):
        self.first = first
        self.headers = headers

    def get(self, name, default=None):
        return self.headers.get(name, default)


async def read_head(reader):
    """Returns the next head; None at the end of the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return Head(lines[0], headers)


async def read_body(reader, head):
    """Returns a body that has a length or comes in chunks."""
    if "chunked" in head.get("transfer-encoding", "").lower():
        parts = []
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            if size == 0:
                await reader.readuntil(b"\r\n")
                return b"".join(parts)
            parts.append(await reader.readexactly(size))
            await reader.readexactly(2)
    return await reader.readexactly(int(head.get("content-length", "0")))


def answer(status, headers=(), body=b""):
    """Encodes an answer with a length."""
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def free_port(host):
    """Returns a port that is free on a loopback address."""
    with socket.socket() as sock:
        sock.bind((host, 0))
        return sock.getsockname()[1]


class Store:
    """The platform's key-value store."""

    def __init__(self):
        self._revision = 1
        self._items = {}
        self._history = []
        self._leases = {}
        self._next_lease = 1
        self._changed = asyncio.Event()
        self.address = ""

    async def start(self):
        server = await asyncio.start_server(
            self._serve, "127.0.0.1", 0, limit=8 << 20
        )
        self.address = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]

    def put(self, key, value, lease=0):
        raw = value if isinstance(value, bytes) else json.dumps(value).encode()
        self._revision += 1
        created = self._items.get(key, {}).get("CreatedRev", self._revision)
        item = {
            "Key": key,
            "Value": base64.b64encode(raw).decode(),
            "Revision": self._revision,
            "CreatedRev": created,
            "Lease": lease,
        }
        self._items[key] = item
        self._note(item)

    def value(self, key):
        """Returns a value that is JSON, None if there is none."""
        item = self._items.get(key)
        return json.loads(base64.b64decode(item["Value"])) if item else None

    def remove(self, key):
        if self._items.pop(key, None) is not None:
            self._revision += 1
            self._note({"Key": key, "Revision": self._revision, "Removed": True})

    def _note(self, event):
        self._history.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    def _expire(self):
        now = time.monotonic()
        for lease in [n for n, (_, ends) in self._leases.items() if ends < now]:
            self._end(lease)

    def _end(self, lease):
        self._leases.pop(lease, None)
        for key in [k for k, i in self._items.items() if i["Lease"] == lease]:
            self.remove(key)

    async def _serve(self, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                body = await read_body(reader, head)
                method, target, _ = head.first.split(" ")
                path, _, query = target.partition("?")
                fields = dict(urllib.parse.parse_qsl(query))
                self._expire()
                await asyncio.sleep(0.004)
                status, reply = await self._call(
                    path, fields, json.loads(body) if body else {}
                )
                raw = json.dumps(reply).encode()
                kind = (("Content-Type", "application/json"),)
                writer.write(answer(status, kind, raw))
                await writer.drain()
        except (
            ConnectionError,
            asyncio.IncompleteReadError,
            asyncio.CancelledError,  # the end of the script
        ):
            pass
        finally:
            writer.close()

    async def _call(self, path, fields, body):
        name = path.split("/")[1]
        if name == "kv-key":
            item = self._items.get(fields["Key"])
            if item is None:
                return 404, {"StoreRevision": self._revision}
            return 200, {**item, "StoreRevision": self._revision}
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
            ends = time.monotonic() + int(fields["WaitMs"]) / 1000
            while True:
                changed = self._changed
                events = [
                    e
                    for e in self._history
                    if e["Revision"] > int(fields["after"])
                    and e["Key"].startswith(fields["Prefix"])
                ]
                left = ends - time.monotonic()
                if events or left <= 0:
                    reply = {"events": events, "StoreRevision": self._revision}
                    return 200, reply
                try:
                    await asyncio.wait_for(changed.wait(), left)
                except TimeoutError:
                    continue
        if name == "kv-txn":
            for row in body.get("Expected", []):
                item = self._items.get(row["Key"])
                if (item["Revision"] if item else 0) != row["Revision"]:
                    rows = [r["Key"] for r in body["Expected"]]
                    found = [self._items[k] for k in rows if k in self._items]
                    return 412, {"items": found}
            for row in body.get("Writes", []):
                if row.get("Lease", 0) and row["Lease"] not in self._leases:
                    return 404, {}
            for row in body.get("Writes", []):
                value = base64.b64decode(row["Value"])
                self.put(row["Key"], value, row.get("Lease", 0))
            for key in body.get("DeleteKeys", []):
                self.remove(key)
            return 200, {"Revision": self._revision}
        if name == "kv-lease":
            lease, self._next_lease = self._next_lease, self._next_lease + 1
            ttl = body["TtlMs"]
            self._leases[lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"Lease": lease, "TtlMs": ttl}
        lease = int(path.rsplit("/", 1)[1])
        if name == "kv-keep":
            if lease not in self._leases:
                return 404, {}
            ttl = self._leases[lease][0]
            self._leases[lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"TtlMs": ttl}
        self._end(lease)
        return 200, {}


class Run:
    """One run of a request at a server."""

    def __init__(self, server, attempt, key, began):
        self.server = server
        self.attempt = attempt
        self.key = key
        self.began = began
        self.ended = None


class Server:
    """One server of a service, without faults.

    `runs` lists all runs of all servers. A subclass brings faults about.
    """

    def __init__(self, name, service, record, runs, *, keyed, slots, work):
        self.name = name
        self.service = service
        self.record = record
        self.runs = runs
        self.keyed = keyed
        self.slots = slots
        self.work = work
        self.queue = 8
        self.accepted = 0
        self.zone = "a"
        self.address = ""
        self.born = int(time.time() * 1000)
        self.holds = []
        self.fences = []
        self.active = set()
        self._free = asyncio.Semaphore(slots)
        self._tokens = 0

    async def start(self):
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]

    def entry(self):
        return {
            "ServiceName": self.service,
            "Address": self.address,
            "Zone": self.zone,
            "ConfigVersion": "v1",
            "Slots": self.slots,
            "State": "ready",
            "WarmupLeftMs": 0,
            "SeqNo": 1,
            "born": self.born,
        }

    async def _serve(self, reader, writer):
        connection = {}
        try:
            while (head := await read_head(reader)) is not None:
                body = await self.read(reader, head)
                await self.before_answer(writer, connection, head)
                reply = await self.respond(head, body)
                writer.write(reply)
                await writer.drain()
                self.after_answer(connection, head, reply)
        except (
            ConnectionError,
            asyncio.IncompleteReadError,
            asyncio.CancelledError,  # the end of the script
        ):
            pass
        finally:
            writer.close()

    async def read(self, reader, head):
        return await read_body(reader, head)

    async def before_answer(self, writer, connection, head):
        """For faults: called when a request has been read."""

    def after_answer(self, connection, head, reply):
        """For faults: called when an answer has been sent."""

    async def respond(self, head, body):
        method, target, _ = head.first.split(" ")
        attempt = head.get("x-attempt-id")
        echo = (("X-Attempt-Id", attempt),) if attempt else ()
        expected = head.get("x-expect-instance")
        if expected is not None and expected != self.name:
            mark = (("X-Not-Executed", "1"), ("X-Instance-Id", self.name))
            return answer(421, (*echo, *mark))
        if target == "/health":
            return answer(200, (("X-Instance-Id", self.name),))
        if target == "/grant":
            return self.grant(json.loads(body))
        if target == "/release":
            return await self.release(json.loads(body))
        return await self.request(head, echo, attempt)

    async def request(self, head, echo, attempt):
        refused = (*echo, ("X-Not-Executed", "1"))
        key = int(head.get("x-shard-key", "-1"))
        if self.keyed and not self.holds_key(key):
            return answer(421, refused)
        if self.accepted >= self.slots + self.queue:
            return answer(503, refused)
        self.accepted += 1
        try:
            async with self._free:
                if self.keyed and not self.holds_key(key):
                    return answer(421, refused)
                run = Run(self.name, attempt, key, self.record.now())
                self.runs.append(run)
                self.active.add(run)
                self.record.write("run", attempt, "at", self.name, "key", key)
                await asyncio.sleep(self.work)
                run.ended = self.record.now()
                self.active.discard(run)
                seal = (("X-Server-Seal", f"{self.name}.{attempt}"),)
                return answer(200, (*echo, *seal), b"done")
        finally:
            self.accepted -= 1

    def holds_key(self, key):
        now = time.monotonic()
        return any(f <= key <= l and now < e for f, l, _, e in self.holds)

    def grant(self, body):
        first, last, fence = body["From"], body["Target"], body["fence"]
        if any(
            f <= last and first <= l and seen > fence
            for f, l, seen in self.fences
        ):
            return answer(409)
        self._cut(first, last)
        ends = time.monotonic() + body["HoldMs"] / 1000
        self.holds.append((first, last, fence, ends))
        self._see(first, last, fence)
        return answer(200)

    async def release(self, body):
        first, last, fence = body["From"], body["Target"], body["fence"]
        self._cut(first, last)
        self._see(first, last, fence)
        while any(first <= run.key <= last for run in self.active):
            await asyncio.sleep(0.002)
        self._tokens += 1
        token = f"{self.name}-{self._tokens}"
        return answer(200, (("X-Handover", token),))

    def _see(self, first, last, fence):
        if (first, last, fence) not in self.fences:
            self.fences.append((first, last, fence))

    def _cut(self, first, last):
        kept = []
        for f, l, fence, ends in self.holds:
            if l < first or last < f:
                kept.append((f, l, fence, ends))
                continue
            if f < first:
                kept.append((f, first - 1, fence, ends))
            if last < l:
                kept.append((last + 1, l, fence, ends))
        self.holds = kept


class Daemon:
    """One process of the system, started with the deploy file's command."""

    def __init__(self, name, host, store, folder, settings=""):
        self.name = name
        self.host = host
        self._log = open(folder / f"{name}.log", "ab")
        self.front = f"{host}:{free_port(host)}"
        self.ready = f"{host}:{free_port(host)}"
        inner = free_port(host)
        self._file = folder / f"{name}.toml"
        self._file.write_text(
            f"""NodeName = "{name}"
Role = "gateway"
MachineClass = "edge"
Serves = ["edge"]
Ip = "{host}"
Zone = "a"
Region = "r"
InternalPortRange = [{inner},{inner + 15}]
SeedNodes = []
Bootstrap = true
Discovery = "platform"
Entry = "vip"
HeartbeatMs = 870
[Zones]
a = "r"
[Listen]
Front = "{self.front}"
Ready = "{self.ready}"
[Limits]
CpuShare = 0.86
CpuCores = 1
MemoryMb = 300
MaxFds = 4100
LinkMbps = 1000.0
DiskMb = 0
[Bounds]
SeedLagS = 3
AddrReuseS = 2
ContactMs = 3000
AckMs = 4000
CatchUpS = 4
DrainMs = 2000
GraceS = 6
LossSlackMs = 200
ConfigApplyMs = 2000
RollbackSlackMs = 250
MaxStretchMs = 5000
RetryBudgetRatio = 0.2
RetryWindowS = 10
RetrySlack = 64
RecoverS = 15
HoldMaxMs = 10000
ThawMs = 300
[Platform]
Address = "{store.address}"
form = "kv"
WritesPerS = 400
ReadsPerS = 2000
HistoryS = 20
ValueBytes = 1048576
TtlMinMs = 1000
{settings}"""
        )
        self.process = None

    def start(self):
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = shlex.split(deploy["roles"]["gateway"]["run"])
        kept = ("PATH", "HOME", "LANG")
        env = {k: os.environ[k] for k in kept if k in os.environ}
        env["MIMOSASTILE_NODE_FILE"] = str(self._file)
        env["PYTHONPATH"] = str(ROOT / "target/deps")
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        self.process = subprocess.Popen(
            command, cwd=ROOT, env=env, stdout=self._log, stderr=self._log
        )

    def peak_kb(self):
        """Returns the peak of the resident memory in KiB, 0 once it ended."""
        return self._status("VmHWM:")

    def memory_kb(self):
        return self._status("VmRSS:")

    def _status(self, field):
        try:
            with open(f"/proc/{self.process.pid}/status") as status:
                for line in status:
                    if line.startswith(field):
                        return int(line.split()[1])
        except OSError:
            pass
        return 0

    def end(self, sign=signal.SIGKILL):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(sign)
        if self.process is not None:
            self.process.wait()

    async def is_ready(self):
        """Asks as the platform does."""
        try:
            reader, writer = await open_connection(self.ready)
            writer.write(b"GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n")
            head = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return head is not None and head.first.split(" ")[1] == "200"
        except (OSError, TimeoutError):
            return False


async def open_connection(address):
    host, _, port = address.rpartition(":")
    return await asyncio.open_connection(host, int(port))


async def wait_ready(daemons, seconds=15):
    """Waits until all daemons are ready; returns whether they are."""
    ends = time.monotonic() + seconds
    while time.monotonic() < ends:
        ready = await asyncio.gather(*(d.is_ready() for d in daemons))
        if all(ready):
            return True
        await asyncio.sleep(0.1)
    return False


def configuration(services, rules):
    """Returns a configuration with one host."""
    return {
        "ConfigVersion": 7,
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 67108864,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        },
        "ListenerList": [{"HostName": "host.example", "RuleSet": rules}],
        "ClusterList": services,
    }


def rule(name, kind, prefix, service, timeout_ms, latency_ms):
    return {
        "Name": name,
        "RouteKind": kind,
        "TargetLatencyMs": latency_ms,
        "Priority": 1,
        "MatchCriteria": {"Prefix": prefix},
        "RouteAction": {
            "ServiceName": service,
            "TimeoutMs": timeout_ms,
            "MaxAttempts": 2,
        },
    }


def service(name, *, sharded):
    return {
        "Name": name,
        "HealthPath": "/health",
        "MaxConnections": 130,
        "Protocol": "h1",
        "TlsEnabled": False,
        "Sharded": sharded,
        "WarmS": 5.0,
        "Grants": "call",
    }


def run_case(main):
    """Runs a case in a temporary folder and exits with its result.

    Args:
        main: Coroutine function of the folder, a list for daemons, which are
            ended in any case, and whether the disruption is on. It returns the
            exit status.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    daemons = []
    folder = tempfile.mkdtemp()

    def interrupted():
        for daemon in daemons:
            daemon.end()
        os._exit(2)

    async def play():
        loop = asyncio.get_running_loop()
        for sign in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(sign, interrupted)
        # The connections that are left at the end need no clean-up.
        try:
            status = await main(pathlib.Path(folder), daemons, trouble)
        except Exception:
            traceback.print_exc()
            status = 2
        for daemon in daemons:
            daemon.end()
        shutil.rmtree(folder)
        sys.stdout.flush()
        os._exit(status)

    asyncio.run(play())
