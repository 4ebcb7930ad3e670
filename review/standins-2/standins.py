"""Stand-ins of the platform, of runners and of clients, for the scripts of this review.

Standard library only. Everything listens on loopback addresses, on free ports.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import urllib.parse


ROOT = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..")
# As in deploy/system.toml, started in the root of the repository.
PROGRAM = ["target/release/cardamomgw", "edge"]


def now():
    return time.monotonic()


def new_attempt():
    return "%016x" % random.getrandbits(64)


def free_ports(ip, count):
    """Returns ports that are free at an address."""
    held = []
    for _ in range(count):
        held.append(socket.socket())
        held[-1].setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        held[-1].bind((ip, 0))
    ports = [one.getsockname()[1] for one in held]
    for one in held:
        one.close()
    return ports


async def read_head(reader):
    """Reads the head of an HTTP/1.1 message; None at the end of the channel."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_body(reader, fields):
    """Reads a body with a length or in chunks."""
    if "chunked" in fields.get("transfer-encoding", ""):
        body = b""
        while True:
            line = await reader.readline()
            if not line.endswith(b"\n"):
                raise asyncio.IncompleteReadError(line, None)
            size = int(line.split(b";")[0].strip(), 16)
            if size == 0:
                while line != b"\r\n":
                    line = await reader.readline()
                    if not line:
                        raise asyncio.IncompleteReadError(line, None)
                return body
            body += await reader.readexactly(size)
            await reader.readexactly(2)
    return await reader.readexactly(int(fields.get("content-length", "0")))


def reset(writer):
    """Breaks a channel off by a reset."""
    one = writer.get_extra_info("socket")
    one.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Store:
    """The platform's store: items with revisions, ranges and watches."""

    def __init__(self):
        self.revision = 10
        self.items = {}
        self.changes = []
        self.changed = asyncio.Condition()
        self.servers = []
        self.calls = 0

    async def start(self, ip="127.0.0.1"):
        server = await asyncio.start_server(self.serve, ip, 0)
        self.servers.append(server)
        return "%s:%d" % server.sockets[0].getsockname()[:2]

    async def write(self, key, value):
        """Writes an item, or removes it; returns the time of the acknowledgement."""
        async with self.changed:
            self.revision += 1
            if value is None:
                self.items.pop(key, None)
                event = {"key": key, "revision": self.revision, "tombstone": True}
            else:
                text = base64.b64encode(json.dumps(value).encode()).decode()
                held = self.items.get(key)
                created = held["created"] if held else self.revision
                event = {"key": key, "value": text, "revision": self.revision,
                         "created": created, "lease-id": 0}
                self.items[key] = event
            self.changes.append(event)
            self.changed.notify_all()
        return now()

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                path = head[0].split(" ")[1]
                status, body = await self.answer(path)
                text = json.dumps(body).encode()
                writer.write(b"HTTP/1.1 %d Answer\r\nContent-Type: application/json\r\n"
                             b"Content-Length: %d\r\n\r\n" % (status, len(text)) + text)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, path):
        self.calls += 1
        call, _, query = path.partition("?")
        fields = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        if call == "/kv-key":
            item = self.items.get(fields["key"])
            if item is None:
                return 404, {}
            return 200, dict(item, **{"store-revision": self.revision})
        if call == "/kv-range":
            after = fields.get("after", "")
            keys = sorted(key for key in self.items
                          if key.startswith(fields["prefix"]) and key > after)
            return 200, {"items": [self.items[key] for key in keys[:500]],
                         "more-pages": len(keys) > 500, "store-revision": self.revision}
        if call == "/kv-watch":
            after = int(fields["after"])
            end = now() + min(int(fields.get("wait-ms", "0")), 30000) / 1000
            async with self.changed:
                while self.revision <= after and now() < end:
                    try:
                        await asyncio.wait_for(self.changed.wait(), end - now())
                    except asyncio.TimeoutError:
                        break
                events = [one for one in self.changes if one["revision"] > after
                          and one["key"].startswith(fields["prefix"])]
                return 200, {"events": events, "store-revision": self.revision}
        return 404, {}


class Gate:
    """A proxy that passes nothing on while it is closed."""

    def __init__(self):
        self.open = True

    async def start(self, target):
        self.target = target
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        return "%s:%d" % self.server.sockets[0].getsockname()[:2]

    async def serve(self, reader, writer):
        try:
            host, port = self.target.split(":")
            behind = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.close()
            return
        await asyncio.gather(self.pump(reader, behind[1]), self.pump(behind[0], writer))

    async def pump(self, reader, writer):
        try:
            while True:
                data = await reader.read(65536)
                if not data:
                    return
                while not self.open:
                    await asyncio.sleep(0.02)
                writer.write(data)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


class Runner:
    """A server of a plain service, or of streams. It records each request that it runs."""

    def __init__(self, name, service, log, work_s=0.015, slots=6, queue=24, events=8, gap_s=0.05):
        self.name, self.service, self.log = name, service, log
        self.work_s, self.slots, self.queue = work_s, slots, queue
        self.events, self.gap_s = events, gap_s
        self.running = 0
        self.waiting = 0
        self.free = asyncio.Semaphore(slots)
        self.born = int(time.time() * 1000)
        self.behave = None
        self.writers = set()

    async def start(self, ip="127.0.0.1"):
        self.server = await asyncio.start_server(self.serve, ip, 0, limit=1 << 22)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]
        return self.address

    def entry(self, state="ready", **more):
        return dict({"service": self.service, "address": self.address, "zone": "za",
                     "version": "v1", "slot-count": self.slots, "state": state,
                     "cold-remaining-ms": 0, "sequence": 1, "born": self.born}, **more)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                line, fields = head
                body = await read_body(reader, fields)
                if not await self.handle(line, fields, body, reader, writer):
                    return
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, writer, status, attempt, body=b"", more=""):
        writer.write(("HTTP/1.1 %d Answer\r\nX-Attempt-Id: %s\r\n%sContent-Length: %d\r\n\r\n"
                      % (status, attempt, more, len(body))).encode() + body)
        await writer.drain()

    async def handle(self, line, fields, body, reader, writer):
        method, path = line.split(" ")[:2]
        attempt = fields.get("x-attempt-id", "")
        arrived = now()
        if fields.get("x-target-instance") not in (None, self.name):
            await self.answer(writer, 421, attempt)
            return True
        if path == "/kv-list":
            await self.answer(writer, 200, "", json.dumps(
                {"epoch": 1, "next": 0, "held": [], "born": self.born}).encode())
            return True
        if not attempt:
            await self.answer(writer, 400, "", more="X-Not-Executed: 1\r\n")
            return True
        self.log("arrived", self.name, attempt, at=arrived, path=path, bytes=len(body),
                 tenant=fields.get("x-tenant"))
        if self.waiting >= self.queue:
            self.log("rejected", self.name, attempt)
            await self.answer(writer, 503, attempt, more="X-Not-Executed: 1\r\n")
            return True
        self.waiting += 1
        try:
            await self.free.acquire()
        finally:
            self.waiting -= 1
        try:
            self.log("run", self.name, attempt, at=now(), path=path)
            if self.behave:
                return await self.behave(self, line, fields, body, reader, writer, attempt)
            if path.startswith("/stream"):
                return await self.stream(fields, writer, attempt)
            await asyncio.sleep(self.work_s)
            self.log("done", self.name, attempt)
            signature = "X-Response-Signature: %s.%s\r\n" % (self.name, attempt)
            await self.answer(writer, 200, attempt, b"answer to " + attempt.encode(), signature)
            return True
        finally:
            self.free.release()

    async def stream(self, fields, writer, attempt):
        first = int(fields.get("last-event-id", "0")) + 1
        writer.write(("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Signature: %s.%s\r\n"
                      "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
                      % (attempt, self.name, attempt)).encode())
        for number in range(first, self.events + 1):
            event = b"id: %d\ndata: %d of %s\n\n" % (number, number, attempt.encode())
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(self.gap_s)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        self.log("done", self.name, attempt)
        return True


class Host:
    """One process of the program, started with the command of the deploy file."""

    def __init__(self, folder, number, ip, ports, seeds, store, bounds=None, limits=None):
        self.name = "edge-%d" % number
        self.ip, self.ports = ip, ports
        self.folder = os.path.join(folder, self.name)
        os.makedirs(self.folder, exist_ok=True)
        self.path = os.path.join(self.folder, "boot.json")
        self.front, self.ready, self.control = (
            "%s:%d" % (ip, ports[0]), "%s:%d" % (ip, ports[1]), "%s:%d" % (ip, ports[2]))
        self.settings = {
            "node-name": self.name, "role": "gateway", "machine-class": "edge",
            "serves": ["edge", "control_plane"], "bind-ip": ip, "zone": "za", "region": "ra",
            "zones": {"za": "ra"},
            "listen": {"front": self.front, "ready": self.ready, "control": self.control},
            "internal-ports": [ports[3], ports[3]], "seed-nodes": seeds, "bootstrap": True,
            "tolerance-member": False,
            "limits": dict({"cpu-share": 0.25, "cpu-cores": 1, "memory-mb": 260, "max-fds": 4100,
                            "link-mbps": 1000.0, "disk-mb": 0}, **(limits or {})),
            "data-dir": None, "discovery": "platform", "entry": "vip", "heartbeat-ms": 1200,
            "contracts": ["base", "drain", "config", "cost", "retry", "recover", "engine",
                          "stream", "tenants", "quota", "platform"],
            "fault-tolerance": {"machines": 2, "zones": 0, "regions": 0},
            "bounds": dict(BOUNDS, **(bounds or {})),
            "platform": {"address": store, "form": "read", "writes-per-s": 400,
                         "reads-per-s": 2000, "history-window-s": 20, "value-bytes": 1048576,
                         "min-ttl-ms": 1000}}
        self.process = None

    def write_settings(self):
        with open(self.path + ".new", "w") as file:
            json.dump(self.settings, file)
        os.replace(self.path + ".new", self.path)

    def start(self):
        self.write_settings()
        log = open(os.path.join(self.folder, "log"), "ab")
        env = {"PATH": os.environ.get("PATH", ""), "HOME": self.folder, "LANG": "C.UTF-8",
               "CARDAMOMGW_BOOT": self.path}
        self.process = subprocess.Popen(PROGRAM, cwd=ROOT, env=env, stdout=log, stderr=log,
                                        stdin=subprocess.DEVNULL)
        PROCESSES.append(self.process)
        log.close()

    def signal(self, number):
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)

    def stop(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process:
            self.process.wait()

    async def is_ready(self):
        host, port = self.ready.split(":")
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(host, int(port)), 1)
            writer.write(b"GET /readyz HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False

    async def wait_ready(self, limit=15):
        end = now() + limit
        while now() < end:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.05)
        return False


BOUNDS = {"seed-lag-s": 3, "reuse-after-s": 2, "contact-ms": 3000, "ack-ms": 4000,
          "catch-up-s": 4, "drain-ms": 2000, "grace-s": 8, "loss-slack-ms": 200,
          "config-apply-ms": 2000, "downgrade-slack-ms": 250, "outer-bound-ms": 5000,
          "strict-revoke": True, "revoke-ms": 5000, "retry-budget-ratio": 0.2,
          "budget-window-s": 10, "budget-slack": 56, "quota-window-s": 8,
          "quota-overage": 0.25, "quota-slack": 140000, "recovery-s": 12, "pass-ms": 120,
          "reuse-window-s": 10}


class Channel:
    """A client's channel to a host."""

    def __init__(self, address):
        self.address = address
        self.reader = self.writer = None

    async def open(self):
        host, port = self.address.split(":")
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection(host, int(port), limit=1 << 24), 1)

    async def send(self, method, path, attempt, key, body=b"", deadline_ms=1000, more=""):
        self.writer.write((
            "%s %s HTTP/1.1\r\nHost: site.example\r\nX-Attempt-Id: %s\r\n"
            "X-Request-Deadline-Ms: %d\r\nAuthorization: Token %s\r\n%sContent-Length: %d\r\n\r\n"
            % (method, path, attempt, deadline_ms, key, more, len(body))).encode() + body)

    async def receive(self, limit):
        """Returns status, header fields and body; None if the channel ended before that."""
        async def read():
            head = await read_head(self.reader)
            if head is None:
                return None
            status = int(head[0].split(" ")[1])
            try:
                if "content-length" in head[1] or "transfer-encoding" in head[1]:
                    return status, head[1], await read_body(self.reader, head[1])
                return status, head[1], await self.reader.read()
            except (asyncio.IncompleteReadError, ConnectionError, ValueError):
                return status, head[1], None
        try:
            return await asyncio.wait_for(read(), limit)
        except asyncio.TimeoutError:
            return "timeout"
        except ConnectionError:
            return None

    def close(self):
        if self.writer:
            self.writer.close()


def route(prefix, kind, service, **more):
    return dict({"name": prefix.strip("/"), "host": "site.example", "prefix": prefix, "kind": kind,
                 "service": service, "timeout-ms": 2000, "target-latency-ms": 300, "priority": 1,
                 "max-attempts": 2, "public": False}, **more)


def config(version, routes, services, tenants, limits=None):
    return {"version": version, "routes": routes, "services": services, "tenants": tenants,
            "limits": dict({"max-header-bytes": 16384, "max-body-bytes": 4194304,
                            "header-timeout-ms": 3000, "idle-timeout-ms": 10000}, **(limits or {}))}


class Record:
    """What was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.start = now()
        self.rows = []

    def __call__(self, kind, *words, at=None, **more):
        at = (now() if at is None else at)
        self.rows.append((at, kind, words, more))
        rest = " ".join("%s=%s" % pair for pair in more.items())
        self.file.write("%9.3f %s %s %s\n" % (at - self.start, kind, " ".join(map(str, words)), rest))

    def of(self, kind):
        return [row for row in self.rows if row[1] == kind]


class Site:
    """A folder, a store, hosts and runners."""

    def __init__(self, hosts, record, **host_options):
        self.folder = tempfile.mkdtemp(prefix="review-2-")
        self.record, self.count = record, hosts
        self.options = host_options
        self.hosts, self.runners = [], []

    async def start(self, first_config, runners, stores=None, started=None):
        """Starts the store, the runners and the hosts, or the first of them; returns whether these
        are ready. `stores` are what stands before the store for each host."""
        self.store = Store()
        for runner in runners:
            await runner.start()
            await self.store.write("servers/" + runner.name, runner.entry())
        self.runners = runners
        await self.store.write("op/config", first_config)
        address = await self.store.start()
        net = random.randrange(1, 250)
        ips = ["127.%d.%d.%d" % (82, net, 10 + number) for number in range(self.count)]
        while True:
            ports = free_ports(ips[0], 4)
            if all(can_bind(ip, ports) for ip in ips):
                break
        seeds = ["%s:%d" % (ip, ports[2]) for ip in ips[:3]]
        for number, ip in enumerate(ips):
            gate = stores[number] if stores else None
            own = await gate(address) if gate else address
            host = Host(self.folder, number + 1, ip, ports, seeds, own, **self.options)
            self.hosts.append(host)
        first = self.hosts[:started]
        for host in first:
            host.start()
        ready = await asyncio.gather(*[host.wait_ready() for host in first])
        return all(ready)

    def stop(self):
        for host in self.hosts:
            host.stop()
        shutil.rmtree(self.folder, ignore_errors=True)


def can_bind(ip, ports):
    try:
        for port in ports:
            one = socket.socket()
            one.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            one.bind((ip, port))
            one.close()
        return True
    except OSError:
        return False


def status_of(answer):
    """Returns the status of an answer; "closed", "timeout" or "cut" if there is no whole one."""
    if answer is None:
        return "closed"
    if answer == "timeout":
        return answer
    return "cut" if answer[2] is None else answer[0]


PROCESSES = []


def end_processes(*_):
    """Ends all processes that the script started."""
    for process in PROCESSES:
        if process.poll() is None:
            process.kill()
    os._exit(2)


def run_case(play):
    """Plays a case: `play` gets whether there is trouble, and the record, and returns the code."""
    signal.signal(signal.SIGTERM, end_processes)
    signal.signal(signal.SIGINT, end_processes)

    async def limited():
        record = Record(sys.argv[2])
        try:
            code = await asyncio.wait_for(play(sys.argv[1] != "0", record), 110)
        except Exception as error:
            record("failed", repr(error))
            code = 2
        record.file.close()
        # Nothing is left to be done by the tasks of the stand-ins.
        os._exit(code)

    asyncio.run(limited())
