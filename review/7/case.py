"""Machines that are added while their seeds are down use a part of a quota that the others use too."""

import asyncio
import json
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))
from standins import *

ROUTES = [route("/look/", "idempotent", "desk")]
SERVICES = [{"name": "desk"}]
# As a tenant, and the bounds, of the site.
RATE, BURST = 103377, 103377
TENANTS = [{"name": "north", "api-keys": ["key-a"], "unit": "tokens", "plain-tokens": 200,
            "rate-per-s": RATE, "burst": BURST}]
SITE_BOUNDS = {"budget-slack": 52, "quota-slack": 190000}
WINDOW_S = 8
TOKENS = 2000
MACHINES, SPARES = 6, 3
# For so long, the seeds of the added machines are out of date.
SEED_LAG_S = 3


async def play(trouble, record):
    site = Site(MACHINES + SPARES + 3, record, bounds=SITE_BOUNDS)
    runners = [Runner("r-%d" % number, "desk", record, work_s=0.005, slots=100, queue=400)
               for number in range(3)]
    try:
        if not await site.start(config(5, ROUTES, SERVICES, TENANTS), runners, started=MACHINES):
            return 2
        await asyncio.sleep(5)
        sent = {}
        end = now() + 26

        async def load(host):
            channel = None
            while now() < end:
                try:
                    if channel is None:
                        channel = Channel(host.front)
                        await channel.open()
                    attempt = new_attempt()
                    sent[attempt] = now()
                    record("sent", attempt, at=sent[attempt], host=host.name)
                    await channel.send("GET", "/look/x", attempt, "key-a", deadline_ms=1500,
                                       more="X-Token-Usage: %d,%d\r\n" % (TOKENS - 500, 500))
                    status = status_of(await channel.receive(3))
                    record("answered", attempt, status=status)
                    if status not in (200, 429, 503):
                        channel = None
                    # One tenant sends many times its allowance.
                    await asyncio.sleep(0.005 if status == 200 else 0.04)
                except (OSError, asyncio.TimeoutError):
                    channel = None

        loads = [asyncio.create_task(load(host)) for host in site.hosts[:MACHINES] for _ in range(2)]
        await asyncio.sleep(10)
        added = site.hosts[MACHINES:MACHINES + SPARES]
        right = added[0].settings["seed-nodes"]
        # Machines that are down: nothing listens at their addresses.
        down = [host.control for host in site.hosts[MACHINES + SPARES:]]
        for host in added:
            if trouble:
                host.settings["seed-nodes"] = down
            record("added", host.name, seeds=",".join(host.settings["seed-nodes"]))
            host.start()
        started = now()
        if not all(await asyncio.gather(*[host.wait_ready() for host in added])):
            return 2
        loads += [asyncio.create_task(load(host)) for host in added for _ in range(2)]
        await asyncio.sleep(max(0, started + SEED_LAG_S - now()))
        for host in added:
            host.settings["seed-nodes"] = right
            host.write_settings()
            record("seeds", host.name, ",".join(right))
        await asyncio.gather(*loads)
        runs = sorted((sent[row[2][1]], row[0]) for row in record.of("run"))
        limit = (RATE * WINDOW_S + BURST) * 1.25 + SITE_BOUNDS["quota-slack"]
        most = max(sum(TOKENS for at, run in runs[first:]
                       if run <= start + WINDOW_S) for first, (start, _) in enumerate(runs))
        record("most", most, "tokens in", WINDOW_S, "s; limit", limit, "ratio", round(most / limit, 3))
        return 1 if most > limit else 0
    finally:
        site.stop()


run_case(play)
