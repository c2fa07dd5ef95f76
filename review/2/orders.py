"""A second copy of an answer to a grant is taken for the answer to a release."""

import asyncio
import collections
import pathlib
import random
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from standins import world  # noqa: E402

SERVICES = ("enroll", "roster", "records", "courses", "cards")
SERVERS = 8  # of each service
DAEMONS = 3
SLOTS = 4
WORK_SECONDS = 0.16
REQUESTS_PER_SECOND = 300
DEADLINE_MS = 2000
REPLACED_SHARE = 0.45  # release, planned: one server a second
REPLACE_GAP_SECONDS = 0.7
GARBLED_SERVERS = 0.6  # garble "extra late", for 5 s
GARBLED_ANSWERS = 0.03
GARBLE_SECONDS = 5.0
PAUSE_SECONDS = 0.0
LOAD_SECONDS = 98.0
SEED = 11


class FaultyServer(world.Server):
    """Some of its answers are followed by a late second copy."""

    chance = random.Random(SEED)
    garbles = False
    extras = collections.Counter()
    servers = []
    broken = []

    async def before_answer(self, writer, connection, head):
        extra = connection.pop("extra", None)
        if extra is None:
            return
        # It arrives where the answer to this call is expected.
        before, reply = extra
        call = " ".join(head.first.split(" ")[:2])
        self.extras[before.split("/")[1].split(" ")[0], call.split("/")[1]] += 1
        self.record.write(
            "extra answer: that to", before, "once more, late, before that to",
            call, "at", self.name,
        )  # fmt: skip
        writer.write(reply)
        await writer.drain()

    def after_answer(self, connection, head, reply):
        if self.garbles and self.chance.random() < GARBLED_ANSWERS:
            connection["extra"] = " ".join(head.first.split(" ")[:2]), reply

    def grant(self, body):
        first, last, fence = body["From"], body["Target"], body["fence"]
        reply = super().grant(body)
        taken = reply.startswith(b"HTTP/1.1 200")
        now = time.monotonic()
        for other in self.servers if taken else ():
            if other is self or other.service != self.service:
                continue
            for run, hold_ends in other.at_work(first, last):
                if now < hold_ends:
                    self.broken.append((run.key, other.name, self.name))
                    self.record.write(
                        "OWNER:", self.name, "is given", f"{first}-{last}",
                        "fence", fence, "while", other.name, "runs",
                        run.attempt, "on key", run.key, "and its hold would",
                        f"last {hold_ends - now:.3f} s more",
                    )  # fmt: skip
        return reply

    def at_work(self, first, last):
        """Returns unfinished runs on keys, and until when each was held."""
        for run in self.active:
            if first <= run.key <= last:
                yield run, self.hold_ends.get(run.attempt) or max(
                    (e for f, l, _, e in self.holds if f <= run.key <= l),
                    default=0.0,
                )

    async def release(self, body):
        first, last = body["From"], body["Target"]
        for run, hold_ends in list(self.at_work(first, last)):
            self.hold_ends[run.attempt] = hold_ends
        self.record.write(
            "release", f"{first}-{last}", "fence", body["fence"], "at", self.name
        )
        return await super().release(body)


async def post(record, daemon, service, attempt, key, answers):
    """Sends one attempt on a new connection and records what comes of it."""
    record.write("sent", attempt, "key", key, "of", service, "to", daemon.name)
    try:
        reader, writer = await world.open_connection(daemon.front)
        writer.write(
            (
                f"POST /{service}/{key} HTTP/1.1\r\nHost: host.example\r\n"
                f"X-Attempt-Id: {attempt}\r\nX-Deadline-Ms: {DEADLINE_MS}\r\n"
                f"X-Shard-Key: {key}\r\nContent-Length: 4\r\n\r\nbody"
            ).encode()
        )
        async with asyncio.timeout(DEADLINE_MS / 1000):
            head = await world.read_head(reader)
            if head is not None:
                await world.read_body(reader, head)
        writer.close()
        answers[attempt] = head.first.split(" ")[1] if head else "closed"
    except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
        answers[attempt] = type(error).__name__
    record.write("answer", attempt, answers[attempt])


async def garble(servers, record):
    while True:
        chosen = FaultyServer.chance.sample(
            servers, round(GARBLED_SERVERS * len(servers))
        )
        record.write("disruption: extra answers, late, of", len(chosen))
        for server in chosen:
            server.garbles = True
        await asyncio.sleep(GARBLE_SECONDS)
        for server in chosen:
            server.garbles = False
        await asyncio.sleep(PAUSE_SECONDS)


async def main(folder, daemons, trouble):
    record = world.Record(HERE / "record-orders.txt")
    store = world.Store()
    await store.start()
    runs, answers = [], {}
    servers = FaultyServer.servers

    async def add(service):
        server = FaultyServer(
            f"i-{len(names):03}", service, record, runs,
            keyed=True, slots=SLOTS, work=WORK_SECONDS,
        )  # fmt: skip
        server.hold_ends = {}
        names.append(server.name)
        servers.append(server)
        await server.start()
        store.put(f"servers/{server.name}", server.entry())

    async def drain(server):
        """A planned end: it goes on serving for some time."""
        record.write("plan:", server.name, "drains")
        store.put(f"servers/{server.name}", {**server.entry(), "State": "draining"})
        await asyncio.sleep(4)
        servers.remove(server)
        store.remove(f"servers/{server.name}")

    async def replace(service):
        while True:
            count = round(REPLACED_SHARE * SERVERS)
            # The oldest first; each release is of this share of the service.
            present = [
                s for s in servers if s.service == service and s not in leaving
            ]
            for server in present[:count]:
                await add(service)
                await asyncio.sleep(REPLACE_GAP_SECONDS)
                leaving.add(server)
                draining.add(asyncio.create_task(drain(server)))

    names, draining, leaving = [], set(), set()
    chance = random.Random(SEED + 1)
    for service in SERVICES:
        for _ in range(SERVERS):
            await add(service)
    store.put(
        "op/config",
        world.configuration(
            [world.service(name, sharded=True) for name in SERVICES],
            [
                world.rule(
                    name, "non_idempotent", f"/{name}/", name, DEADLINE_MS, 500
                )
                for name in SERVICES
            ],
        ),
    )  # fmt: skip
    for n in range(DAEMONS):
        daemon = world.Daemon(f"edge-{n}", f"127.0.0.{n + 2}", store, folder)
        daemons.append(daemon)
        daemon.start()
    if not await world.wait_ready(daemons):
        print("the daemons did not get ready")
        return 2
    await asyncio.sleep(5)
    background = [asyncio.create_task(replace(name)) for name in SERVICES]
    if trouble:
        background.append(asyncio.create_task(garble(servers, record)))
    sending = []

    began = asyncio.get_running_loop().time()
    count = 0
    while asyncio.get_running_loop().time() - began < LOAD_SECONDS:
        count += 1
        sending.append(
            asyncio.create_task(
                post(
                    record, chance.choice(daemons), chance.choice(SERVICES),
                    f"a{count:06}",
                    chance.randrange(65536), answers,
                )
            )
        )  # fmt: skip
        due = began + count / REQUESTS_PER_SECOND
        await asyncio.sleep(max(0, due - asyncio.get_running_loop().time()))
    for task in background:
        task.cancel()
    await asyncio.gather(*sending)
    ends = collections.Counter(answers.values())
    summary = (
        f"{count} attempts, answers {dict(ends)}, extra answers "
        f"{dict(FaultyServer.extras)}; keys given away while at work: "
        f"{len(FaultyServer.broken)}"
    )
    record.write(summary)
    record.close()
    print(summary)
    if ends["200"] < count / 2:
        print("too few requests were served")
        return 2
    return 1 if FaultyServer.broken else 0


world.run_case(main)
