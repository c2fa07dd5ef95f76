"""A client that repeats a request which crashes each server that runs it."""

import asyncio
import random
import time

import standin

SERVERS = 11
DOWN_S = 4.0
"""Seconds after a crash until the server is back, as a new incarnation."""
BEGIN_S = 5.0
CONTACT_S = standin.BOUNDS["ContactMs"] / 1000
DEADLINE_MS = 2500
BAD_PATH = "/label/bad"
BODY = b"the same body each time"
MOST_RETRIES = 3


async def play(record, rig, trouble, *, daemons, per_second, pause_s, end_s):
    """Returns whether the bad request reached servers too often.

    Args:
        record: Where events go.
        rig: The deployment, not started yet.
        trouble: Whether the bad request is sent.
        daemons: Number of daemons.
        per_second: Good requests a second.
        pause_s: Seconds between an answer to the bad request and its next
            attempt.
        end_s: Seconds after which no good request is sent.
    """
    await rig.start(
        standin.configuration(
            [standin.route("labels", "/label/", "non_idempotent", "tagmint")],
            {"tagmint": {}},
        ),
        daemons,
        [
            {"name": f"i-t{n}", "service": "tagmint", "zone": zone}
            for n, zone in zip(range(SERVERS), list(standin.ZONES) * SERVERS)
        ],
    )
    crashed_at = []

    def watch(server):
        def on_run(attempt, path):
            if path == BAD_PATH:
                crashed_at.append(time.monotonic())
                record("server", server.id, "begins", attempt, "and crashes")
                server.crash(back_after=DOWN_S)

        server.on_run = on_run

    for server in rig.servers:
        watch(server)

    async def send(attempt, path):
        daemon = random.choice(rig.daemons)
        record("client sends", attempt, path, "to", daemon.name)
        data = standin.request("POST", path, attempt, DEADLINE_MS, body=BODY)
        status, _ = await standin.ask(daemon.front, data, DEADLINE_MS / 1000)
        record("client gets", status or "no answer", "to", attempt)

    end = time.monotonic() + end_s

    async def send_bad():
        await asyncio.sleep(BEGIN_S)
        number = 0
        while time.monotonic() < end - BEGIN_S:
            number += 1
            await send(f"bad{number:013x}", BAD_PATH)
            await asyncio.sleep(pause_s)

    if trouble:
        rig.spawn(send_bad())
    number = 0
    while time.monotonic() < end:
        number += 1
        rig.spawn(send(f"{number:016x}", f"/label/{number}"))
        await asyncio.sleep(random.expovariate(per_second))
    for at, attempt, server in rig.arrivals:
        if attempt.startswith("bad"):
            record.at(at, "server", server, "was sent", attempt)
    held_from = crashed_at[2] + CONTACT_S if len(crashed_at) > 2 else end
    late = [
        attempt
        for at, attempt, _ in rig.arrivals
        if attempt.startswith("bad") and at > held_from
    ]
    record("crashes:", len(crashed_at))
    record("arrivals over ContactMs after the third crash:", len(late))
    return len(late) > MOST_RETRIES
