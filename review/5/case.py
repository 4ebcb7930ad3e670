"""A revoked key keeps its account at a host that is cut off, on a route that needs no key."""

import asyncio
import os
import random
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))
from standins import *

ROUTES = [route("/look/", "idempotent", "desk"), route("/open/", "idempotent", "desk", public=True)]
SERVICES = [{"name": "desk"}]
BEFORE = [{"name": "north", "api-keys": ["key-a", "key-b"]}, {"name": "south", "api-keys": ["key-c"]}]
AFTER = [{"name": "north", "api-keys": ["key-b"]}, {"name": "south", "api-keys": ["key-c"]}]
# The longest silence of the store towards some machines in the site file.
CUT_S = 9


async def play(trouble, record):
    site = Site(2, record)
    runners = [Runner("r-%d" % number, "desk", record) for number in range(3)]
    gate = Gate()

    async def behind_gate(address):
        return await gate.start(address)

    try:
        if not await site.start(config(5, ROUTES, SERVICES, BEFORE), runners, [None, behind_gate]):
            return 2
        await asyncio.sleep(2)
        lone = site.hosts[1]
        channel = Channel(lone.front)
        await channel.open()

        async def ask(path):
            attempt = new_attempt()
            sent = now()
            record("sent", attempt, at=sent, path=path, key="key-a", host=lone.name)
            await channel.send("GET", path, attempt, "key-a", deadline_ms=1500)
            answer = await channel.receive(3)
            record("answered", attempt, status=status_of(answer))
            runs = [row for row in record.of("arrived") if row[2][1] == attempt]
            return sent, [row[3]["tenant"] for row in runs]

        # Both requests run for the account that holds the key.
        for path in ("/look/", "/open/"):
            if (await ask(path))[1] != ["north"]:
                return 2
        if trouble:
            # The second machine is cut off from the store, and the only other one is lost.
            record("cut", lone.name)
            gate.open = False
            site.hosts[0].signal(signal.SIGKILL)
        cut_at = now()
        await asyncio.sleep(0.3)
        acknowledged = await site.store.write("op/config", config(9, ROUTES, SERVICES, AFTER))
        record("acknowledged", "key-a is taken away", at=acknowledged)
        bound = BOUNDS["revoke-ms"] / 1000
        broken = 0
        while now() < cut_at + CUT_S - 0.5:
            await asyncio.sleep(0.5)
            for path in ("/look/", "/open/"):
                sent, accounts = await ask(path)
                if sent > acknowledged + bound and any(name is not None for name in accounts):
                    broken += 1
        record("broken", broken)
        gate.open = True
        return 1 if broken else 0
    finally:
        site.stop()


run_case(play)
