"""A request that crashes its servers is never held back while load is low."""

import asyncio
import pathlib
import random
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-2"))

import standin  # noqa: E402

DAEMONS = 4
SERVERS = 11
PER_SECOND = 20
DOWN_S = 4.0
"""Seconds after a crash until the server is back, as a new incarnation."""
BEGIN_S = 5.0
END_S = 45.0
PAUSE_S = 2.0
"""Seconds between an answer to the bad request and its next attempt."""
CONTACT_S = standin.BOUNDS["ContactMs"] / 1000
DEADLINE_MS = 2500
BAD_PATH = "/label/bad"
BODY = b"the same body each time"
MOST_RETRIES = 3


async def case(record, rig, trouble):
    """Returns whether the bad request went on to reach servers."""
    await rig.start(
        standin.configuration(
            [standin.route("labels", "/label/", "non_idempotent", "tagmint")],
            {"tagmint": {}},
        ),
        DAEMONS,
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

    end = time.monotonic() + END_S

    async def send_bad():
        await asyncio.sleep(BEGIN_S)
        number = 0
        while time.monotonic() < end - BEGIN_S:
            number += 1
            await send(f"bad{number:013x}", BAD_PATH)
            await asyncio.sleep(PAUSE_S)

    if trouble:
        rig.spawn(send_bad())
    number = 0
    while time.monotonic() < end:
        number += 1
        rig.spawn(send(f"{number:016x}", f"/label/{number}"))
        await asyncio.sleep(random.expovariate(PER_SECOND))
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


if __name__ == "__main__":
    standin.run(case, HERE)
