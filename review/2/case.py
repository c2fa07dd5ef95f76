"""A second copy of a rejection arrives late, after the same attempt was resent."""

import asyncio
import collections
import pathlib
import random
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from standins import world  # noqa: E402

SERVERS = 20
DAEMONS = 3
SLOTS = 4
WORK_SECONDS = 0.16
REQUESTS_PER_SECOND = 120
DEADLINE_MS = 2000
SHED_SHARE = 0.55  # srv_grey "shed all", for 8.5 s
SHED_SECONDS = 8.5
GARBLED_SERVERS = 0.6  # garble "extra late", for 5 s
GARBLED_ANSWERS = 0.03
GARBLE_SECONDS = 5.0
PAUSE_SECONDS = 1.5  # between two disruptions of a kind
LOAD_SECONDS = 95.0
SEED = 7


class FaultyServer(world.Server):
    """Sheds some requests; some answers are followed by a late second copy."""

    chance = random.Random(SEED)
    sheds = False
    garbles = False
    late_copies = 0

    async def request(self, head, echo, attempt):
        if self.sheds and self.chance.random() < SHED_SHARE:
            return world.answer(503, (*echo, ("X-Not-Executed", "1")))
        return await super().request(head, echo, attempt)

    async def before_answer(self, writer, connection, head):
        extra = connection.pop("extra", None)
        if extra is None:
            return
        # It arrives where the answer to this request is expected.
        attempt, reply = extra
        self.late_copies += 1
        status = reply.split(b" ", 2)[1].decode()
        self.record.write(
            "extra answer:", status, "to", attempt, "once more, late, before",
            "that to", head.get("x-attempt-id"), "at", self.name,
        )  # fmt: skip
        writer.write(reply)
        await writer.drain()

    def after_answer(self, connection, head, reply):
        attempt = head.get("x-attempt-id")
        if attempt and self.garbles and self.chance.random() < GARBLED_ANSWERS:
            connection["extra"] = attempt, reply


async def post(record, daemon, attempt, key, answers):
    """Sends one attempt on a new connection and records what comes of it."""
    record.write("sent", attempt, "key", key, "to", daemon.name)
    try:
        reader, writer = await world.open_connection(daemon.front)
        writer.write(
            (
                f"POST /cert/{key} HTTP/1.1\r\nHost: host.example\r\n"
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


async def disrupt(servers, record):
    """Both disruptions again and again, each within its length."""

    async def shed():
        while True:
            record.write("disruption: all servers shed")
            for server in servers:
                server.sheds = True
            await asyncio.sleep(SHED_SECONDS)
            for server in servers:
                server.sheds = False
            await asyncio.sleep(PAUSE_SECONDS)

    async def garble():
        while True:
            count = round(GARBLED_SERVERS * len(servers))
            chosen = FaultyServer.chance.sample(servers, count)
            record.write("disruption: extra answers, late, of", count)
            for server in chosen:
                server.garbles = True
            await asyncio.sleep(GARBLE_SECONDS)
            for server in chosen:
                server.garbles = False
            await asyncio.sleep(PAUSE_SECONDS)

    await asyncio.gather(shed(), garble())


async def main(folder, daemons, trouble):
    record = world.Record(HERE / "record.txt")
    store = world.Store()
    await store.start()
    runs, answers = [], {}
    servers = [
        FaultyServer(
            f"i-{n:02}", "enroll", record, runs,
            keyed=True, slots=SLOTS, work=WORK_SECONDS,
        )
        for n in range(SERVERS)
    ]  # fmt: skip
    for server in servers:
        await server.start()
        store.put(f"servers/{server.name}", server.entry())
    store.put(
        "op/config",
        world.configuration(
            [world.service("enroll", sharded=True)],
            [
                world.rule(
                    "cert", "non_idempotent", "/cert/", "enroll",
                    DEADLINE_MS, 500,
                )
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
    background = asyncio.create_task(disrupt(servers, record)) if trouble else None
    chance = random.Random(SEED + 1)
    sending = []
    began = asyncio.get_running_loop().time()
    count = 0
    while asyncio.get_running_loop().time() - began < LOAD_SECONDS:
        count += 1
        sending.append(
            asyncio.create_task(
                post(
                    record, chance.choice(daemons), f"a{count:06}",
                    chance.randrange(65536), answers,
                )
            )
        )  # fmt: skip
        due = began + count / REQUESTS_PER_SECOND
        await asyncio.sleep(max(0, due - asyncio.get_running_loop().time()))
    if background is not None:
        background.cancel()
    await asyncio.gather(*sending)
    await asyncio.sleep(1)
    times = collections.Counter(run.attempt for run in runs)
    twice = [a for a, n in times.items() if n > 1]
    refused = [
        a for a, s in answers.items() if s in ("429", "503", "408", "421") and times[a]
    ]
    ends = collections.Counter(answers.values())
    copies = sum(server.late_copies for server in servers)
    for attempt in twice:
        record.write("TWICE:", attempt, "ran", times[attempt], "times, answer", answers[attempt])
    for attempt in refused:
        record.write("REFUSED:", attempt, "answered", answers[attempt], "and has run")
    summary = (
        f"{count} attempts, answers {dict(ends)}, {copies} late extra answers; "
        f"run twice: {len(twice)}; refused and run: {len(refused)}"
    )
    record.write(summary)
    record.close()
    print(summary)
    if ends["200"] < count / 10:
        print("too few requests were served")
        return 2
    return 1 if refused or twice else 0


world.run_case(main)
