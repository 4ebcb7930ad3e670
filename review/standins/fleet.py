"""Stand-ins of a small deployment: store, runners, clients, and the hosts' processes.

Uses the Python standard library only. All addresses are loopback addresses.
"""

import asyncio
import base64
import json
import os
import random
import secrets
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
FRONT_PORT = 8221
READY_PORT = 8224
CONTROL_PORT = 8229
INTERNAL_PORTS = [7600, 7615]
RUNNER_PORT = 8400
STORE_PORT = 8225
HEARTBEAT_S = 1.2
ZONES = ["gh-south-a", "gh-south-b", "gh-south-c"]

# The bounds of the sheet of hpl-accra (SYSTEM.md).
BOUNDS = {
    "seed-lag-s": 3, "reuse-after-s": 2, "contact-ms": 3000, "ack-ms": 4000, "catch-up-s": 4,
    "drain-ms": 2000, "grace-s": 8, "loss-slack-ms": 200, "config-apply-ms": 2000,
    "downgrade-slack-ms": 250, "outer-bound-ms": 5000, "strict-revoke": True, "revoke-ms": 5000,
    "retry-budget-ratio": 0.2, "budget-window-s": 10, "budget-slack": 56, "quota-window-s": 8,
    "quota-overage": 0.25, "quota-slack": 140000, "recovery-s": 12, "pass-ms": 120,
    "reuse-window-s": 10,
}


def choose_subnet():
    """Returns the prefix of a loopback subnet; the ports of this module are free there."""
    ports = [FRONT_PORT, READY_PORT, CONTROL_PORT, INTERNAL_PORTS[0], RUNNER_PORT, STORE_PORT]
    for _ in range(100):
        prefix = "127.%d.%d" % (random.randrange(40, 240), random.randrange(1, 250))
        try:
            for last in [1, *range(10, 18), *range(101, 113)]:
                for port in ports:
                    with socket.socket() as probe:
                        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                        probe.bind(("%s.%d" % (prefix, last), port))
            return prefix
        except OSError:
            continue
    raise RuntimeError("no loopback subnet has free ports")


async def read_head(reader):
    """Returns the first line and the headers (lower case) of a message, or None at the end."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, found, value = line.partition(":")
        if found:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


class Record:
    """What was sent, answered and run, by time since the start."""

    def __init__(self, path):
        self.began = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.began

    def write(self, text):
        self.file.write("%8.3f  %s\n" % (self.now(), text))

    def close(self):
        self.file.close()


class Store:
    """The platform's store: keys with revisions, range reads and watches."""

    def __init__(self, address):
        self.address = address
        self.revision = 1000
        self.items = {}
        self.events = []
        self.changed = asyncio.Condition()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.address, STORE_PORT)

    async def write(self, key, value):
        """Writes a key, or removes it if `value` is None."""
        async with self.changed:
            self.revision += 1
            if value is None:
                if self.items.pop(key, None) is None:
                    return
                event = {"key": key, "revision": self.revision, "tombstone": True}
            else:
                text = base64.b64encode(json.dumps(value).encode()).decode()
                created = self.items.get(key, {}).get("created", self.revision)
                event = {"key": key, "value": text, "revision": self.revision,
                         "created": created, "lease-id": 0}
                self.items[key] = event
            self.events.append(event)
            self.changed.notify_all()

    async def answer(self, target):
        path, _, query = target.partition("?")
        query = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        if path == "/kv-key":
            item = self.items.get(query.get("key", ""))
            if item is None:
                return 404, {"store-revision": self.revision}
            return 200, dict(item, **{"store-revision": self.revision})
        if path == "/kv-range":
            prefix, after = query.get("prefix", ""), query.get("after", "")
            keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
            return 200, {"items": [self.items[key] for key in keys[:500]],
                         "more-pages": len(keys) > 500, "store-revision": self.revision}
        if path == "/kv-watch":
            prefix, after = query.get("prefix", ""), int(query["after"])
            wait = min(int(query.get("wait-ms", "0")), 30000) / 1000
            found = lambda: [event for event in self.events
                             if event["revision"] > after and event["key"].startswith(prefix)]
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait_for(lambda: bool(found())), wait)
                except asyncio.TimeoutError:
                    pass
                return 200, {"events": found(), "store-revision": self.revision}
        return 404, {}

    async def serve(self, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                status, body = await self.answer(head[0].split(" ")[1])
                body = json.dumps(body).encode()
                writer.write(b"HTTP/1.1 %d Answer\r\nContent-Type: application/json\r\n"
                             b"Content-Length: %d\r\n\r\n" % (status, len(body)) + body)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


class Runner:
    """A runner of a service; `crashes(body)` tells whether a request ends it."""

    def __init__(self, store, record, address, service, zone, slots, work, crashes=None):
        self.store, self.record = store, record
        self.address, self.service, self.zone = address, service, zone
        self.slots, self.work = slots, work
        self.crashes = crashes or (lambda body: False)
        self.writers = set()
        self.arrivals = []
        self.id = None

    def entry(self, state="ready"):
        return {"service": self.service, "address": "%s:%d" % (self.address, RUNNER_PORT),
                "zone": self.zone, "version": "v1", "slot-count": self.slots, "state": state,
                "cold-remaining-ms": 0, "sequence": 1, "born": int(time.time() * 1000)}

    async def start(self):
        self.id = "i-" + secrets.token_hex(5)
        self.server = await asyncio.start_server(self.serve, self.address, RUNNER_PORT,
                                                 reuse_address=True)
        await self.store.write("servers/" + self.id, self.entry())

    def crash(self, down_s):
        """Ends the process: its channels are reset, and it is back as a new one after a while."""
        former = self.id
        self.id = None
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        asyncio.ensure_future(self.expire(former))
        asyncio.ensure_future(self.restart(down_s))

    async def expire(self, former):
        await asyncio.sleep(3 * HEARTBEAT_S)
        await self.store.write("servers/" + former, None)

    async def restart(self, down_s):
        await asyncio.sleep(down_s)
        await self.start()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                line, headers = head
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                if not await self.respond(line, headers, body, writer):
                    return
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def respond(self, line, headers, body, writer):
        method, path, _ = line.split(" ")
        if path == "/healthz":
            writer.write(b"HTTP/1.1 200 OK\r\nX-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n"
                         % self.id.encode())
            return True
        attempt = headers.get("x-attempt-id", "")
        wanted = headers.get("x-target-instance")
        if wanted is not None and wanted != self.id:
            writer.write(b"HTTP/1.1 421 Misdirected Request\r\nX-Not-Executed: 1\r\n"
                         b"X-Attempt-Id: %s\r\nContent-Length: 0\r\n\r\n" % attempt.encode())
            return True
        self.arrivals.append((self.record.now(), attempt, headers, body))
        if self.crashes(body):
            self.record.write("runner %s runs %s and crashes" % (self.id, attempt))
            self.crash(3.0)
            return False
        return await self.work(self, attempt, headers, body, writer)


class Host:
    """One process of the deploy file's role, on its own loopback address."""

    def __init__(self, folder, number, address, zone, seeds, store_address):
        self.name = "edge-%s-%d" % (zone, number)
        self.address = address
        self.folder = folder
        self.settings = os.path.join(folder, self.name + ".json")
        self.process = None
        self.document = {
            "node-name": self.name, "role": "gateway", "machine-class": "edge",
            "serves": ["edge", "control_plane"], "bind-ip": address, "zone": zone,
            "region": "gh-south", "zones": {name: "gh-south" for name in ZONES},
            "listen": {"front": "%s:%d" % (address, FRONT_PORT),
                       "ready": "%s:%d" % (address, READY_PORT),
                       "control": "%s:%d" % (address, CONTROL_PORT)},
            "internal-ports": INTERNAL_PORTS,
            "bootstrap": False, "tolerance-member": False,
            "limits": {"cpu-share": 0.25, "cpu-cores": 1, "memory-mb": 260, "max-fds": 4100,
                       "link-mbps": 1000.0, "disk-mb": 0},
            "data-dir": None, "discovery": "platform", "entry": "vip", "heartbeat-ms": 1200,
            "contracts": ["base", "drain", "config", "cost", "retry", "recover", "engine",
                          "stream", "tenants", "quota", "platform"],
            "fault-tolerance": {"machines": 2, "zones": 0, "regions": 0}, "bounds": BOUNDS,
            "platform": {"address": "%s:%d" % (store_address, STORE_PORT), "form": "read",
                         "writes-per-s": 400, "reads-per-s": 2000, "history-window-s": 20,
                         "value-bytes": 1048576, "min-ttl-ms": 1000},
        }
        self.write_settings(seeds)

    def write_settings(self, seeds):
        """Writes the settings file with these seeds, as a whole."""
        self.document["seed-nodes"] = ["%s:%d" % (seed, CONTROL_PORT) for seed in seeds]
        with open(self.settings + ".new", "w", encoding="utf-8") as file:
            json.dump(self.document, file, indent=1)
        os.replace(self.settings + ".new", self.settings)

    def start(self):
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG")
                       if name in os.environ}
        environment["CARDAMOMGW_BOOT"] = self.settings
        with open(os.path.join(self.folder, self.name + ".log"), "ab") as log:
            self.process = subprocess.Popen(
                ["target/release/cardamomgw", "edge"], cwd=ROOT, env=environment,
                stdin=subprocess.DEVNULL, stdout=log, stderr=log)

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    def send(self, number):
        if self.is_running():
            self.process.send_signal(number)

    def kill(self):
        """Ends the process at once, as a loss of power does."""
        self.send(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.address, READY_PORT)
            writer.write(b"GET /readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
            head = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return head is not None and head[0].split(" ")[1] == "200"
        except (OSError, asyncio.TimeoutError):
            return False

    async def wait_ready(self, limit=10):
        end = time.monotonic() + limit
        while not await self.is_ready():
            if time.monotonic() > end:
                raise RuntimeError(self.name + " is not ready")
            await asyncio.sleep(0.05)


async def call(host, path, name, key, body, deadline_ms, usage=None, method="POST", attempt=None):
    """Sends one request on a new channel; returns its id, the status (0 without one), and the
    body, or None if the answer is not complete."""
    attempt = attempt or secrets.token_hex(8)
    lines = ["%s %s HTTP/1.1" % (method, path), "Host: " + name, "X-Attempt-Id: " + attempt,
             "X-Request-Deadline-Ms: %d" % deadline_ms, "Authorization: Token " + key,
             "Connection: close", "Content-Length: %d" % len(body)]
    if usage:
        lines.append("X-Token-Usage: %d,%d" % usage)
    status = 0
    writer = None
    try:
        async with asyncio.timeout(deadline_ms / 1000):
            reader, writer = await asyncio.open_connection(host.address, FRONT_PORT)
            writer.write("\r\n".join(lines + ["", ""]).encode() + body)
            head = await read_head(reader)
            if head is None:
                return attempt, 0, None
            status = int(head[0].split(" ")[1])
            if head[1].get("transfer-encoding") == "chunked":
                answer = b""
                while True:
                    size = int((await reader.readuntil(b"\r\n")).strip(), 16)
                    chunk = await reader.readexactly(size + 2)
                    if size == 0:
                        return attempt, status, answer
                    answer += chunk[:-2]
            length = head[1].get("content-length")
            answer = await (reader.readexactly(int(length)) if length else reader.read())
            return attempt, status, answer
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return attempt, status, None
    finally:
        if writer is not None:
            writer.close()


class Deployment:
    """Eight hosts in three zones, as the sheet of hpl-accra has them; three of them are seeds."""

    def __init__(self, record):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="cardamomgw-review-")
        self.prefix = choose_subnet()
        self.store = Store(self.prefix + ".1")
        zones = [ZONES[0]] * 3 + [ZONES[1]] * 3 + [ZONES[2]] * 2
        addresses = ["%s.%d" % (self.prefix, 10 + number) for number in range(8)]
        seeds = [addresses[0], addresses[3], addresses[6]]
        self.hosts = [Host(self.folder, number, addresses[number], zones[number], seeds,
                           self.store.address) for number in range(8)]
        self.seeds = [self.hosts[0], self.hosts[3], self.hosts[6]]
        self.others = [host for host in self.hosts if host not in self.seeds]
        self.runners = []

    async def start_runners(self, first, count, service, slots, work, crashes=None):
        for number in range(count):
            runner = Runner(self.store, self.record, "%s.%d" % (self.prefix, first + number),
                            service, ZONES[number % 3], slots, work, crashes)
            self.runners.append(runner)
            await runner.start()

    def start_hosts(self, hosts):
        for host in hosts:
            host.start()

    async def wait_ready(self, hosts):
        await asyncio.gather(*(host.wait_ready() for host in hosts))

    def stop(self):
        for host in self.hosts:
            host.kill()
        if os.environ.get("KEEP"):
            print("logs:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def run(main, record_path):
    """Runs a script and exits as the review asks: 1 broken, 0 held, 2 could not run."""
    record = Record(record_path)

    async def guarded():
        fleet = Deployment(record)
        try:
            async with asyncio.timeout(115):
                return await main(fleet, record)
        finally:
            fleet.stop()

    try:
        broken = asyncio.run(guarded())
        code = 1 if broken else 0
    except Exception as error:
        record.write("could not run: %r" % error)
        code = 2
    record.write("exit %d" % code)
    record.close()
    raise SystemExit(code)
