"""Stand-ins for the users' platform: store, servers, clients and routers, on loopback addresses.

They follow PROTOCOL.md and DEPLOY.md. Everything runs in one asyncio loop; the program under
test runs as separate processes, started with the command of the deploy file.
"""

import asyncio
import base64
import json
import os
import random
import re
import signal
import socket
import struct
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target", "release", "godwitreel-entry")
TEMPLATE = os.path.join(ROOT, "deploy", "entry.jsonc.template")

SYN, ACK, RST, FIN = 2, 4, 32, 64
HEAD = struct.Struct(">HB3sIIIH4sH4sI")
NAMES = {SYN: "SYN", ACK: "ACK", RST: "RST", FIN: "FIN", SYN | ACK: "SYN+ACK", ACK | FIN: "FIN+ACK"}


class Record:
    """The record of a run: what was sent, answered and run."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.begin = time.monotonic()

    def now(self):
        return time.monotonic() - self.begin

    def __call__(self, text):
        print(f"{self.now():8.3f} {text}", file=self.file, flush=True)


class Place:
    """Addresses and ports of one run: a random block of the loopback range."""

    def __init__(self):
        while True:
            self.block = random.randrange(20, 250)
            self.packet_port, self.ready_port, self.control_port, self.store_port = (
                random.sample(range(20000, 32000), 4)
            )
            if self._is_free():
                return

    def _is_free(self):
        probe = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            probe.bind((self.instance(1), self.packet_port))
            return True
        except OSError:
            return False
        finally:
            probe.close()

    def instance(self, number):
        return f"127.{self.block}.1.{number}"

    def client(self, number):
        return f"127.{self.block}.2.{number}"

    def server(self, number):
        return f"127.{self.block}.3.{number}"

    def store(self, number):
        return f"127.{self.block}.4.{number}"

    def route(self, number):
        return f"127.{self.block}.5.{number}"


# ---- packets ----


def checksum(head, data):
    """Keyed sum over all fields except echo, pad and BOUNCED; never 0."""
    covered = head[:3] + head[10:30] + data
    value = 0x811C9DC5
    for byte in covered:
        value = ((value ^ byte) * 0x01000193) & 0xFFFFFFFF
    return value or 1


def encode(src, dst, flags, echo, seq, ack, data=b""):
    fields = [
        len(data), flags, b"\0\0\0", echo, seq & 0xFFFFFFFF, ack & 0xFFFFFFFF,
        src[1], socket.inet_aton(src[0]), dst[1], socket.inet_aton(dst[0]),
    ]
    head = HEAD.pack(*fields, 0)
    return HEAD.pack(*fields, checksum(head, data)) + data


class Packet:
    def __init__(self, raw):
        (self.len, self.flags, _, self.echo, self.seq, self.ack,
         sport, src, dport, dst, self.sum) = HEAD.unpack(raw[:34])
        self.data = raw[34:]
        self.src = (socket.inet_ntoa(src), sport)
        self.dst = (socket.inet_ntoa(dst), dport)
        self.is_intact = self.sum == checksum(raw[:34], self.data)

    def __str__(self):
        name = NAMES.get(self.flags, f"flags {self.flags}")
        author = "the system" if self.sum == 0 else "its sender" if self.is_intact else "ALTERED"
        return f"{name} seq={self.seq} ack={self.ack} len={self.len} by {author}"


class Datagrams(asyncio.DatagramProtocol):
    def __init__(self, receive):
        self.receive = receive

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, data, addr):
        self.receive(data, addr)

    def error_received(self, exc):
        pass


async def bind_udp(address, receive):
    loop = asyncio.get_running_loop()
    transport, _ = await loop.create_datagram_endpoint(lambda: Datagrams(receive), local_addr=address)
    return transport


# ---- the platform's store ----


class Store:
    """The platform's store. Each instance has an address of its own to it, which can be cut."""

    def __init__(self, record):
        self.record = record
        self.rev = 1
        self.items = {}
        self.events = []
        self.leases = {}
        self.changed = asyncio.Condition()
        self.next_lease = 100
        self.is_down = False
        self.outages = 0
        self.last_call, self.calls = {}, {}
        self.cut = set()
        self.never = asyncio.Event()
        self.listeners = []

    async def listen(self, address, name):
        async def serve(reader, writer):
            try:
                await self.serve(reader, writer, name)
            except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
                pass
            finally:
                writer.close()

        self.listeners.append(await asyncio.start_server(serve, *address))

    async def serve(self, reader, writer, name):
        while True:
            line = await reader.readline()
            if not line:
                return
            method, target, _ = line.decode().split()
            length = 0
            while (header := (await reader.readline()).decode().strip()):
                key, _, value = header.partition(":")
                if key.lower() == "content-length":
                    length = int(value)
            body = json.loads(await reader.readexactly(length) or b"{}") if length else {}
            await self.hold_while_cut(name)
            self.record(f"store: {name} calls {method} {target[:90]}{' (down: 503)' if self.is_down else ''}")
            self.last_call[name] = target
            self.calls[name] = self.calls.get(name, 0) + 1
            outages = self.outages
            status, answer = await self.answer(method, target, body)
            await self.hold_while_cut(name)
            if outages != self.outages and status == 200:
                # The store has gone down while the call was waiting: its answer is lost.
                await self.never.wait()
            text = json.dumps(answer).encode()
            writer.write(
                f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                f"Content-Length: {len(text)}\r\n\r\n".encode() + text
            )
            await writer.drain()

    def go_down(self):
        self.is_down = True
        self.outages += 1
        self.record("the platform's store is down")

    def come_back(self):
        self.is_down = False
        self.record("the platform's store is back")

    async def next_poll(self, name):
        """Waits until an instance has just begun a poll that waits for a second."""
        before = self.calls.get(name, 0)
        is_begun = lambda: self.calls.get(name, 0) > before and "waitMs=1000" in self.last_call[name]
        await wait_until(self.record, f"no poll of {name}", is_begun, 5)

    async def hold_while_cut(self, name):
        """A call on a connection that is cut never gets its answer."""
        if name in self.cut:
            await self.never.wait()

    async def answer(self, method, target, body):
        if self.is_down:
            return 503, {"error": "down"}
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        if url.path == "/kv-key":
            item = self.items.get(query["key"])
            return (200, {**item, "currentRev": self.rev}) if item else (404, {"error": "no such key"})
        if url.path == "/kv-range":
            after = query.get("after", "")
            keys = sorted(k for k in self.items if k.startswith(query["prefix"]) and k > after)
            page = [self.items[k] for k in keys[:500]]
            return 200, {"items": page, "hasMore": len(keys) > 500, "currentRev": self.rev}
        if url.path == "/kv-watch":
            return await self.watch(query["prefix"], int(query["after"]), int(query["waitMs"]) / 1000)
        if url.path == "/kv-lease":
            self.next_lease += 1
            return 200, {"lease": self.next_lease, "ttlMs": body["ttlMs"]}
        if url.path.startswith("/kv-keep/"):
            return 200, {"ttlMs": 30000}
        if url.path.startswith("/kv-lease-end/"):
            return 200, {}
        if url.path == "/kv-txn":
            for row in body.get("expectRev", []):
                if self.items.get(row["key"], {"rev": 0})["rev"] != row["rev"]:
                    return 412, {"items": []}
            for put in body.get("puts", []):
                await self.put_raw(put["key"], put["value"], put.get("lease", 0))
            for key in body.get("delete", []):
                await self.delete(key)
            return 200, {"rev": self.rev}
        return 404, {"error": "no such call"}

    async def watch(self, prefix, after, wait):
        deadline = time.monotonic() + wait
        while True:
            events = [e for e in self.events if e["rev"] > after and e["key"].startswith(prefix)]
            if events:
                return 200, {"events": events, "currentRev": self.rev}
            left = deadline - time.monotonic()
            if left <= 0:
                return 200, {"events": [], "currentRev": self.rev}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass

    async def put_raw(self, key, value, lease=0):
        self.rev += 1
        created = self.items.get(key, {"created": self.rev})["created"]
        item = {"key": key, "value": value, "rev": self.rev, "created": created, "lease": lease}
        self.items[key] = item
        self.events.append(item)
        async with self.changed:
            self.changed.notify_all()

    async def put(self, key, value):
        """A write of the operator, a server or another writer; its answer is the acknowledgement."""
        await self.put_raw(key, base64.b64encode(json.dumps(value).encode()).decode())
        self.record(f"store: {key} = {json.dumps(value)[:400]} acknowledged, rev {self.rev}")

    async def delete(self, key):
        if self.items.pop(key, None):
            self.rev += 1
            self.events.append({"key": key, "rev": self.rev, "deleted": True})
            self.record(f"store: {key} removed, rev {self.rev}")
            async with self.changed:
                self.changed.notify_all()


# ---- servers ----


class Server:
    """A server: holds flows, runs requests, answers the clients directly."""

    def __init__(self, record, place, name, service, address, work_s=0.015, max_flows=2000):
        self.record, self.place, self.name = record, place, name
        self.service, self.address = service, address
        self.serial = int(name.rsplit("-", 1)[-1], 16)
        self.work_s, self.max_flows = work_s, max_flows
        self.flows = {}
        self.is_alive = False
        self.born = int(time.time() * 1000)

    async def start(self):
        self.transport = await bind_udp(self.address, self.receive)
        self.is_alive = True
        self.record(f"server {self.name} ({self.service}) lives at {self.address[0]}:{self.address[1]}")

    def stop(self):
        self.is_alive = False
        self.transport.close()
        self.record(f"server {self.name} has ended")

    def entry(self, zone, **fields):
        return {
            "service": self.service, "addr": f"{self.address[0]}:{self.address[1]}", "zone": zone,
            "version": "v1", "slots": 2, "state": "ready", "coldLeftMs": 0, "seq": 1, **fields,
        }

    def send(self, client, route, flags, echo, seq, ack, data=b""):
        packet = encode(route, client, flags, echo, seq, ack, data)
        self.transport.sendto(packet, (client[0], self.place.packet_port))

    def receive(self, raw, _):
        target = int.from_bytes(raw[:8], "big")
        if target not in (0, self.serial):
            return
        packet = Packet(raw[8:])
        if not packet.is_intact:
            self.record(f"server {self.name}: ALTERED packet")
            return
        key = (packet.src, packet.dst)
        flow = self.flows.get(key)
        if packet.flags == SYN:
            if flow is None:
                if len(self.flows) >= self.max_flows:
                    self.record(f"server {self.name} is full, sends nothing to {packet.src} (copy {packet.ack})")
                    return
                flow = {"seq": random.getrandbits(32), "next": (packet.seq + 1) & 0xFFFFFFFF,
                        "open": False, "sent": None, "copy": packet.ack}
                self.flows[key] = flow
                self.record(f"server {self.name} takes SYN copy {packet.ack} of {packet.src} to {packet.dst}")
            flow["echo"] = packet.echo
            self.send(*key, SYN | ACK, packet.echo, flow["seq"], flow["next"])
            return
        if flow is None or (not flow["open"] and packet.ack != (flow["seq"] + 1) & 0xFFFFFFFF):
            if not packet.flags & RST:
                self.record(f"server {self.name} resets {packet.src}, whose flow it doesn't hold")
                self.send(*key, RST, packet.echo, packet.ack, packet.seq + packet.len)
            return
        flow["echo"] = packet.echo
        if not flow["open"]:
            flow["open"] = True
            flow["mine"] = (flow["seq"] + 1) & 0xFFFFFFFF
            self.record(f"server {self.name}: flow of {packet.src} to {packet.dst} is open")
        if packet.flags & (RST | FIN):
            del self.flows[key]
            return
        if packet.len == 0:
            return
        if packet.seq == flow["next"]:
            flow["next"] = (packet.seq + packet.len) & 0xFFFFFFFF
            flow["sent"] = None
            asyncio.get_running_loop().create_task(self.run(key, packet.data))
        elif flow["sent"]:
            self.send(*key, ACK, flow["echo"], flow["sent"][0], flow["next"], flow["sent"][1])

    async def run(self, key, request):
        number = re.search(rb"X-Request-Id: (\S+)", request).group(1).decode()
        self.record(f"server {self.name} runs request {number}")
        await asyncio.sleep(self.work_s)
        flow = self.flows.get(key)
        if flow is None or not self.is_alive:
            return
        body = f"{number} {self.name}"
        data = (f"HTTP/1.1 200 OK\r\nX-Response-Stamp: {self.name}\r\n"
                f"Content-Length: {len(body)}\r\n\r\n{body}").encode()
        flow["sent"] = (flow["mine"], data)
        flow["mine"] = (flow["mine"] + len(data)) & 0xFFFFFFFF
        self.send(*key, ACK, flow["echo"], flow["sent"][0], flow["next"], data)


# ---- clients ----


class Reset(Exception):
    """The flow was reset; `by_system` tells whether a server or the system wrote the reset."""

    def __init__(self, by_system):
        super().__init__("reset by the system" if by_system else "reset by a server")
        self.by_system = by_system


class Unanswered(Exception):
    pass


class Client:
    """One client address, which opens flows to routes through instances."""

    def __init__(self, record, place, number):
        self.record, self.place = record, place
        self.ip = place.client(number)
        self.flows = {}
        self.next_port = 10000
        self.next_request = 0

    async def start(self):
        self.transport = await bind_udp((self.ip, self.place.packet_port), self.receive)

    def receive(self, raw, addr):
        packet = Packet(raw)
        flow = self.flows.get((packet.dst[1], packet.src))
        if flow:
            flow.receive(packet, addr)

    async def open(self, route, instance):
        self.next_port += 1
        flow = Flow(self, route, instance, self.next_port)
        self.flows[(flow.port, route)] = flow
        await flow.open()
        return flow


class Flow:
    SYN_DELAYS = (0.2, 0.4, 0.8)
    FIRST_DELAY, MAX_DELAY = 0.2, 1.6

    def __init__(self, client, route, instance, port):
        self.client, self.route, self.instance, self.port = client, route, instance, port
        self.record = client.record
        self.name = f"{client.ip}:{port}>{route[0]}:{route[1]}"
        self.seq = random.getrandbits(32)
        self.ack = 0
        self.echo = 0
        self.is_open = False
        self.inbox = asyncio.Queue()

    def send(self, flags, seq, ack, data=b"", echo=None):
        raw = encode((self.client.ip, self.port), self.route, flags,
                     self.echo if echo is None else echo, seq, ack, data)
        self.client.transport.sendto(raw, (self.instance, self.client.place.packet_port))

    def receive(self, packet, addr):
        if packet.flags & RST:
            is_near = (packet.seq - self.ack + 76800) & 0xFFFFFFFF <= 153600
            if self.is_open and not is_near:
                return
            self.record(f"client {self.name}: gets {packet} from {addr[0]}, flow {'open' if self.is_open else 'not open'}")
            self.inbox.put_nowait(Reset(packet.sum == 0))
            return
        self.echo = packet.echo
        self.inbox.put_nowait(packet)

    async def open(self):
        for copy, delay in enumerate(self.SYN_DELAYS):
            self.record(f"client {self.name}: SYN copy {copy} to {self.instance}")
            self.send(SYN, self.seq, copy, echo=0)
            try:
                packet = await asyncio.wait_for(self.inbox.get(), delay)
            except asyncio.TimeoutError:
                continue
            if isinstance(packet, Reset):
                raise packet
            if packet.flags == SYN | ACK:
                self.seq = (self.seq + 1) & 0xFFFFFFFF
                self.ack = (packet.seq + 1) & 0xFFFFFFFF
                self.is_open = True
                self.send(ACK, self.seq, self.ack)
                return
        raise Unanswered("no SYN+ACK")

    async def request(self, deadline=2.5):
        """Sends a request and returns the name of the server that answered."""
        self.client.next_request += 1
        number = f"{self.client.ip}-{self.client.next_request}"
        data = f"GET / HTTP/1.1\r\nHost: x\r\nX-Request-Id: {number}\r\n\r\n".encode()
        self.record(f"client {self.name}: request {number} to {self.instance}")
        end, delay = time.monotonic() + deadline, self.FIRST_DELAY
        seq = self.seq
        self.seq = (self.seq + len(data)) & 0xFFFFFFFF
        while time.monotonic() < end:
            self.send(ACK, seq, self.ack, data)
            again = min(end, time.monotonic() + delay)
            delay = min(delay * 2, self.MAX_DELAY)
            while (left := again - time.monotonic()) > 0:
                try:
                    packet = await asyncio.wait_for(self.inbox.get(), left)
                except asyncio.TimeoutError:
                    break
                if isinstance(packet, Reset):
                    raise packet
                if packet.len and packet.seq == self.ack:
                    self.ack = (packet.seq + packet.len) & 0xFFFFFFFF
                    self.send(ACK, self.seq, self.ack)
                    who = re.search(rb"X-Response-Stamp: (\S+)", packet.data).group(1).decode()
                    self.record(f"client {self.name}: request {number} answered by {who}")
                    return who
        self.record(f"client {self.name}: request {number} not answered")
        raise Unanswered(number)

    def close(self):
        self.send(FIN | ACK, self.seq, self.ack)
        self.client.flows.pop((self.port, self.route), None)


# ---- instances ----


def render(template, fields):
    """Fills in the platform's placeholders, as far as the template of the settings uses them."""

    def value(path):
        found = fields
        for part in path.split("."):
            found = found.get(part) if isinstance(found, dict) else None
        return found

    def section(match):
        inner = value(match.group(1))
        return "" if inner is None else match.group(2).replace("{{.}}", str(inner))

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    text = re.sub(r"\{\{([\w.]+)\|json\}\}", lambda m: json.dumps(value(m.group(1))), text)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda m: str(value(m.group(1))), text)


class Instance:
    """One machine of the system, which runs the program of the deploy file."""

    def __init__(self, record, place, folder, number, name, zone, seeds, bounds):
        self.record, self.place, self.name, self.zone = record, place, name, zone
        self.ip, self.store_address = place.instance(number), (place.store(number), place.store_port)
        fields = {
            "nodeName": name, "zone": zone, "ip": self.ip, "seeds": seeds,
            "listen": {
                "packetAddr": f"{self.ip}:{place.packet_port}",
                "ready": f"{self.ip}:{place.ready_port}",
                "control": f"{self.ip}:{place.control_port}",
            },
            "platform": {"addr": f"{self.store_address[0]}:{self.store_address[1]}"},
            "limits": {"linkMbps": 1000.0},
            "bounds": bounds,
        }
        self.settings = os.path.join(folder, f"{name}.jsonc")
        with open(TEMPLATE, encoding="utf-8") as source, open(self.settings, "w", encoding="utf-8") as out:
            out.write(render(source.read(), fields))
        self.log_path = os.path.join(folder, f"{name}.log")
        self.process = None

    async def start(self):
        env = {"PATH": os.environ["PATH"], "GODWITREEL_NODE_FILE": self.settings}
        self.process = await asyncio.create_subprocess_exec(
            PROGRAM, cwd=ROOT, env=env, stdout=open(self.log_path, "a"), stderr=asyncio.subprocess.STDOUT)
        self.record(f"instance {self.name} started at {self.ip}")

    async def stop(self):
        if self.process and self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)
            await self.process.wait()

    async def is_ready(self):
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(self.ip, self.place.ready_port), 0.5)
            writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 0.5)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False

    def log_has(self, text):
        with open(self.log_path, encoding="utf-8") as log:
            return text in log.read()


def bounds(**more):
    """The bounds of the users' site files, as far as the template uses them."""
    return {"drainMs": 3000, "configMs": 3000, "graceS": 6, "flowTtlS": 60, **more}


def route(name, address, service, kind="idempotent", priority=1):
    return {"name": name, "host": address[0], "prefix": f"/{address[1]}/", "type": kind,
            "timeoutMs": 2500, "goalMs": 500, "priority": priority, "service": service, "attempts": 2}


def configuration(version, routes, services):
    return {
        "version": version, "routes": routes,
        "services": [{"name": s, "healthPath": "/health", "maxConns": 2000, "protocol": "h1", "tls": False}
                     for s in services],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000,
                   "idleTimeoutMs": 15000},
    }


class Blocked(Exception):
    """The case could not run."""


async def wait_until(record, what, condition, limit):
    end = time.monotonic() + limit
    while time.monotonic() < end:
        result = condition()
        if asyncio.iscoroutine(result):
            result = await result
        if result:
            return
        await asyncio.sleep(0.02)
    record(f"CASE COULD NOT RUN: {what}")
    raise Blocked(what)


def main(case, folder, with_trouble):
    """Runs a case: exit code 1 if the rule was broken, 0 if it held, 2 if it could not run."""
    record = Record(folder)
    record(f"disruption: {'yes' if with_trouble else 'no'}")
    instances = []

    async def run():
        with tempfile.TemporaryDirectory() as temporary:
            try:
                return await asyncio.wait_for(case(record, temporary, instances, with_trouble), 115)
            finally:
                for instance in instances:
                    await instance.stop()

    if not os.path.exists(PROGRAM):
        record("CASE COULD NOT RUN: the program is not built")
        sys.exit(2)
    try:
        broken = asyncio.run(run())
    except (Blocked, OSError, asyncio.TimeoutError, Reset, Unanswered) as error:
        record(f"CASE COULD NOT RUN: {type(error).__name__} {error}")
        print(f"could not run: {error}")
        sys.exit(2)
    for line in broken:
        record(f"BROKEN: {line}")
        print(f"broken: {line}")
    record(f"the rule was broken {len(broken)} times")
    sys.exit(1 if broken else 0)
