"""A request that crashes each runner that begins to run it, beside sound streams."""

import asyncio

import fleet as standins

SERVICE = "brief-llm"
ROUTE_HOST = "brief.example"
PATH = "/manifest/1"
KEY = "key-of-harmattan"
CONTACT_S = 3.0
MAX_RETRIES = 3
CRASHING = b"this briefing crashes the runner that begins it"
DEADLINE_MS = 15000
INTERVAL_S = 2.5
STREAMS_PER_S = 15
EVENTS = 60
EVENT_GAP_S = 0.04

CONFIG = {
    "version": 11,
    "routes": [{"name": "manifest-brief", "host": ROUTE_HOST, "prefix": "/manifest/",
                "service": SERVICE, "kind": "streaming", "max-attempts": 1, "timeout-ms": 15000,
                "target-latency-ms": 600, "gap-target-ms": 300, "priority": 0,
                "session-affinity": True, "stream-resume": False, "public": False}],
    "services": [{"name": SERVICE, "health-check": "/healthz", "max-connections": 370,
                  "engine": {}}],
    "tenants": [{"name": "harmattan", "api-keys": [KEY]}],
    "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 5000,
               "idle-timeout-ms": 10000},
}


async def work(runner, attempt, headers, body, writer):
    """A stream of some two and a half seconds."""
    await asyncio.sleep(0.06)
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Attempt-Id: %s\r\n"
                 b"X-Response-Signature: %s\r\nTransfer-Encoding: chunked\r\n\r\n"
                 % (attempt.encode(), attempt.encode()))
    for number in range(1, EVENTS + 1):
        event = b"id: %d\ndata: %s %d\n\n" % (number, attempt.encode(), number)
        writer.write(b"%x\r\n%s\r\n" % (len(event), event))
        await writer.drain()
        await asyncio.sleep(EVENT_GAP_S)
    writer.write(b"0\r\n\r\n")
    await writer.drain()
    return True


async def start_runners(fleet):
    await fleet.store.start()
    await fleet.store.write("op/config", CONFIG)
    await fleet.start_runners(101, 12, SERVICE, 12, work, lambda body: body == CRASHING)


async def play(fleet, record, hosts, sends):
    """Sends the crashing request `sends` times, at one of `hosts` after the other, beside sound
    streams; returns whether BUDGET was broken."""
    outcomes = {}
    tasks = set()

    async def send_sound(host, number):
        body = b"briefing %d" % number
        attempt, status, answer = await standins.call(host, PATH, ROUTE_HOST, KEY, body,
                                                      DEADLINE_MS, (600, 360))
        whole = answer is not None and answer.count(b"\n\n") == EVENTS
        key = "%d%s" % (status, "" if whole or status != 200 else ", broken off")
        outcomes[key] = outcomes.get(key, 0) + 1
        if key != "200":
            record.write("sound stream %s at %s: %s" % (attempt, host.name, key))

    async def feed():
        number = 0
        while True:
            task = asyncio.ensure_future(send_sound(hosts[number % len(hosts)], number))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            number += 1
            await asyncio.sleep(1 / STREAMS_PER_S)

    feeding = asyncio.ensure_future(feed())
    await asyncio.sleep(3)
    for number in range(sends):
        host = hosts[number % len(hosts)]
        attempt, status, _ = await standins.call(host, PATH, ROUTE_HOST, KEY, CRASHING,
                                                 DEADLINE_MS, (600, 360))
        record.write("the crashing request comes to %s as %s: %s" % (host.name, attempt, status))
        await asyncio.sleep(INTERVAL_S)
    feeding.cancel()
    await asyncio.gather(feeding, *tasks, return_exceptions=True)

    runs = sorted(arrival[0] for runner in fleet.runners for arrival in runner.arrivals
                  if arrival[3] == CRASHING)
    late = [at for at in runs[3:] if at > runs[2] + CONTACT_S]
    record.write("sound streams by status: %s" % dict(sorted(outcomes.items())))
    record.write("the crashing request reached runners %d times" % len(runs))
    record.write("later than contact-ms after the third crash: %d (allowed: %d)"
                 % (len(late), MAX_RETRIES))
    return len(late) > MAX_RETRIES
