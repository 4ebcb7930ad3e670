"""Channels that were kept over a change of the limits refuse what the configuration allows."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))
from standins import *

ROUTES = [route("/look/", "idempotent", "desk")]
SERVICES = [{"name": "desk"}]
TENANTS = [{"name": "north", "api-keys": ["key-a"]}]
SMALL, LARGE = 65536, 4194304
CHANNELS = 60
# Clients reuse channels that were idle for up to four fifths of this.
IDLE_MS = 15000


def limits(body_bytes):
    return {"max-body-bytes": body_bytes, "idle-timeout-ms": IDLE_MS}


async def play(trouble, record):
    site = Site(3, record)
    runners = [Runner("r-%d" % number, "desk", record, queue=200) for number in range(3)]
    first = SMALL if trouble else LARGE
    try:
        if not await site.start(config(5, ROUTES, SERVICES, TENANTS, limits(first)), runners):
            return 2
        await asyncio.sleep(2)
        channels = [Channel(site.hosts[number % 3].front) for number in range(CHANNELS)]
        for channel in channels:
            await channel.open()
        statuses = []

        async def ask(channel, size):
            attempt = new_attempt()
            record("sent", attempt, bytes=size, host=channel.address)
            await channel.send("POST", "/look/x", attempt, "key-a", b"x" * size, deadline_ms=2000)
            status = status_of(await channel.receive(4))
            record("answered", attempt, status=status)
            statuses.append(status)
            return status

        for _ in range(5):
            answers = await asyncio.gather(*[ask(channel, 500) for channel in channels])
            if answers.count(200) < CHANNELS * 0.9:
                return 2
            await asyncio.sleep(0.2)
        if trouble:
            changed = config(9, ROUTES, SERVICES, TENANTS, limits(LARGE))
            acknowledged = await site.store.write("op/config", changed)
            record("acknowledged", "max-body-bytes is", LARGE, at=acknowledged)
        # Longer than config-apply-ms, and well within the idle time of the channels.
        await asyncio.sleep(5)
        # On new channels, all hosts take the larger bodies.
        for host in site.hosts:
            fresh = Channel(host.front)
            await fresh.open()
            if await ask(fresh, 100000) != 200:
                return 2
            fresh.close()
        await asyncio.gather(*[ask(channel, 100000) for channel in channels])
        refused = statuses.count(413)
        allowed = 5 + len(statuses) / 500
        record("refused", refused, "of", len(statuses), "allowed", allowed)
        return 1 if refused > allowed else 0
    finally:
        site.stop()


run_case(play)
