"""A request that crashes runners comes again after all machines lost power."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))
from standins import *

ROUTES = [route("/look/", "idempotent", "desk")]
SERVICES = [{"name": "desk"}]
TENANTS = [{"name": "north", "api-keys": ["key-a"], "unit": "tokens", "plain-tokens": 200,
            "rate-per-s": 103377, "burst": 103377}]
SITE_BOUNDS = {"budget-slack": 52, "quota-slack": 190000}
CONTACT_S = 3
MACHINES, RUNNERS = 6, 12
CRASHING = b"this question crashes the runner that begins it"
# The power of all machines goes so often, each time for DOWN_S.
LOSSES = 4
DOWN_S = 1.0
# Between two losses, the machines run for so long, and the request comes at these times.
LIFE_S = 13.0
COMES_S = (4.5, 7.0, 9.5)
BACK_S = 3.0


class Crashing(Runner):
    def __init__(self, site, *words, **more):
        super().__init__(*words, **more)
        self.site = site
        self.behave = self.work

    async def work(self, runner, line, fields, body, reader, writer, attempt):
        if body == CRASHING:
            self.log("crash", self.name, attempt)
            await asyncio.sleep(0.01)
            self.crash()
            return False
        await asyncio.sleep(self.work_s)
        self.log("done", self.name, attempt)
        signature = "X-Response-Signature: %s.%s\r\n" % (self.name, attempt)
        await self.answer(writer, 200, attempt, b"answer to " + attempt.encode(), signature)
        return True

    def crash(self):
        """Ends the runner: its channels are reset, and it is back as a new one after a while."""
        self.server.close()
        for writer in list(self.writers):
            reset(writer)
        asyncio.ensure_future(self.come_back())

    async def come_back(self):
        await asyncio.sleep(BACK_S)
        await self.site.store.write("servers/" + self.name, None)
        number = int(self.name.split("-")[1]) + 100
        again = Crashing(self.site, "r-%d" % number, "desk", self.log, work_s=self.work_s)
        await again.start()
        await self.site.store.write("servers/" + again.name, again.entry())
        self.log("back", again.name)


async def play(trouble, record):
    site = Site(MACHINES, record, bounds=SITE_BOUNDS)
    runners = [Crashing(site, "r-%d" % number, "desk", record) for number in range(RUNNERS)]
    try:
        if not await site.start(config(5, ROUTES, SERVICES, TENANTS), runners):
            return 2
        since = [now()]
        end = now() + (LOSSES + 1) * LIFE_S + LOSSES * DOWN_S

        async def request(host, body):
            attempt = new_attempt()
            channel = Channel(host.front)
            try:
                await channel.open()
            except (OSError, asyncio.TimeoutError):
                return
            record("sent", attempt, host=host.name, crashing=body == CRASHING)
            try:
                await channel.send("POST", "/look/x", attempt, "key-a", body, deadline_ms=2000)
                record("answered", attempt, status=status_of(await channel.receive(3)))
            except OSError:
                record("answered", attempt, status="closed")
            channel.close()

        async def load():
            number = 0
            while now() < end:
                number += 1
                asyncio.ensure_future(request(site.hosts[number % MACHINES], b"sound %d" % number))
                await asyncio.sleep(0.05)

        load = asyncio.create_task(load())
        number = 0
        for life in range(LOSSES + 1):
            begin = now()
            for at in COMES_S:
                await asyncio.sleep(max(0, begin + at - now()))
                await request(site.hosts[number % MACHINES], CRASHING)
                number += 1
            await asyncio.sleep(max(0, begin + LIFE_S - now()))
            if life < LOSSES:
                if trouble:
                    record("power", "off")
                    for host in site.hosts:
                        host.signal(signal.SIGKILL)
                await asyncio.sleep(DOWN_S)
                if trouble:
                    for host in site.hosts:
                        host.stop()
                        host.settings["bootstrap"] = False
                        host.start()
                    if not all(await asyncio.gather(*[host.wait_ready() for host in site.hosts])):
                        return 2
                    record("power", "on")
                    since.append(now())
        await load
        crashes = [at for at, _, _, _ in record.of("crash")]
        late = [at for at in crashes[3:] if at > crashes[2] + CONTACT_S
                and not any(0 <= at - one <= CONTACT_S for one in since)]
        record("crashes", len(crashes), "later than contact-ms after the third", len(late))
        return 1 if len(late) > 3 else 0
    finally:
        site.stop()


run_case(play)
