"""Stand-ins for the platform, its store, its routers, the servers and the clients.

They follow PROTOCOL.md and DEPLOY.md. Everything runs in one process and on loopback
addresses; only the project's own program runs in processes of its own.
"""

import asyncio
import base64
import bisect
import gc
import json
import os
import random
import re
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import urllib.parse
import zlib

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

SYN, ACK, RST, FIN = 2, 4, 32, 64
HEAD = 34
MSS = 1200
KEY = b"known to clients and servers only"
CLIENT_DELAY = 0.003


class CannotRun(Exception):
    """The case could not be carried out."""


class Record:
    """What was sent, answered and run, for record.txt."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.began = time.monotonic()

    def write(self, text):
        if self.file.closed:
            return
        self.file.write(f"{time.monotonic() - self.began:9.4f} {text}\n")

    def close(self):
        self.file.close()


# ---- packets ---------------------------------------------------------------------------


def checksum(packet):
    covered = packet[0:2] + bytes([packet[2] & ~8]) + packet[10:30] + packet[HEAD:]
    return zlib.crc32(covered, zlib.crc32(KEY))


def encode(src, dst, flags, echo, seq, ack, data=b""):
    head = struct.pack(
        ">HB3sIIIH4sH4sI",
        len(data), flags, b"\0\0\0", echo, seq & 0xFFFFFFFF, ack & 0xFFFFFFFF,
        src[1], socket.inet_aton(src[0]), dst[1], socket.inet_aton(dst[0]), 0,
    )
    packet = bytearray(head + data)
    packet[30:34] = struct.pack(">I", checksum(packet))
    return bytes(packet)


class Segment:
    __slots__ = ("flags", "echo", "seq", "ack", "src", "dst", "sum", "data", "is_intact")

    def __init__(self, packet):
        length, self.flags, _, self.echo, self.seq, self.ack, sport, src, dport, dst, self.sum = (
            struct.unpack(">HB3sIIIH4sH4sI", packet[:HEAD])
        )
        self.src = (socket.inet_ntoa(src), sport)
        self.dst = (socket.inet_ntoa(dst), dport)
        self.data = packet[HEAD:]
        self.is_intact = len(self.data) == length and self.sum == checksum(packet)


def after(a, b):
    """a - b modulo 2^32, as a signed number."""
    return ((a - b + 0x80000000) & 0xFFFFFFFF) - 0x80000000


# ---- the platform's store --------------------------------------------------------------


class Store:
    """The metadata store: linearizable, loses nothing."""

    def __init__(self):
        self.rev = 100
        self.items = {}
        self.history = []
        self.leases = {}
        self.next_lease = 70_000
        self.changed = asyncio.Event()

    def put(self, key, value, lease=0):
        """Writes raw bytes; the return is the acknowledgement."""
        self.rev += 1
        created = self.items[key]["created"] if key in self.items else self.rev
        item = {
            "key": key, "value": base64.b64encode(value).decode(), "rev": self.rev,
            "created": created, "lease": lease,
        }
        self.items[key] = item
        self._log(item)
        return self.rev

    def put_json(self, key, value):
        return self.put(key, json.dumps(value).encode())

    def delete(self, key):
        if self.items.pop(key, None) is not None:
            self.rev += 1
            self._log({"key": key, "rev": self.rev, "deleted": True})

    def _log(self, event):
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, address):
        self.server = await asyncio.start_server(self._connection, *address)

    async def expire(self):
        while True:
            await asyncio.sleep(0.1)
            now = time.monotonic()
            for lease in [n for n, (_, end) in self.leases.items() if end <= now]:
                self._end(lease)

    def _end(self, lease):
        self.leases.pop(lease, None)
        for key in [k for k, item in self.items.items() if item["lease"] == lease]:
            self.delete(key)

    async def _connection(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode().split("\r\n")
                method, target, _ = lines[0].split(" ")
                length = 0
                for line in lines[1:]:
                    name, _, text = line.partition(":")
                    if name.lower() == "content-length":
                        length = int(text)
                body = await reader.readexactly(length) if length else b""
                await asyncio.sleep(0.004)
                status, answer = await self._call(method, target, body)
                text = json.dumps(answer).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(text)}\r\n\r\n".encode() + text
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _call(self, method, target, body):
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        path = url.path
        if path == "/kv-key":
            item = self.items.get(query["key"])
            return (404, {}) if item is None else (200, {**item, "currentRev": self.rev})
        if path == "/kv-range":
            keys = sorted(k for k in self.items if k.startswith(query.get("prefix", "")))
            begin = bisect.bisect_right(keys, query["after"]) if "after" in query else 0
            page = keys[begin:begin + 50]
            more = begin + 50 < len(keys)
            items = [self.items[k] for k in page]
            return 200, {"items": items, "hasMore": more, "currentRev": self.rev}
        if path == "/kv-watch":
            return await self._watch(query)
        if path == "/kv-lease":
            self.next_lease += 1
            ttl = json.loads(body)["ttlMs"]
            self.leases[self.next_lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"lease": self.next_lease, "ttlMs": ttl}
        if path.startswith("/kv-keep/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][0]
            self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"ttlMs": ttl}
        if path.startswith("/kv-lease-end/"):
            self._end(int(path.rsplit("/", 1)[1]))
            return 200, {}
        if path == "/kv-txn":
            return self._transaction(json.loads(body))
        return 404, {}

    def _transaction(self, body):
        rows = body.get("expectRev") or []
        current = {row["key"]: self.items.get(row["key"]) for row in rows}
        if any((current[r["key"]] or {"rev": 0})["rev"] != r["rev"] for r in rows):
            return 412, {"items": [item for item in current.values() if item]}
        puts = body.get("puts") or []
        names = [put["key"] for put in puts] + list(body.get("delete") or [])
        if any(name.startswith(("op/", "servers/")) for name in names):
            return 403, {}
        if any(put.get("lease") and put["lease"] not in self.leases for put in puts):
            return 404, {}
        for put in puts:
            self.put(put["key"], base64.b64decode(put["value"]), put.get("lease", 0))
        for key in body.get("delete") or []:
            self.delete(key)
        return 200, {"rev": self.rev}

    async def _watch(self, query):
        prefix, revision = query.get("prefix", ""), int(query["after"])
        end = time.monotonic() + int(query.get("waitMs", "0")) / 1000
        while True:
            changed = self.changed
            events = []
            for event in reversed(self.history):
                if event["rev"] <= revision:
                    break
                if event["key"].startswith(prefix):
                    events.append(event)
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events[::-1], "currentRev": self.rev}
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass


# ---- servers ---------------------------------------------------------------------------


class ServerFlow:
    def __init__(self, segment):
        self.client_seq = segment.seq
        self.own_seq = random.getrandbits(32)
        self.receive_next = (segment.seq + 1) & 0xFFFFFFFF
        self.send_next = (self.own_seq + 1) & 0xFFFFFFFF
        self.echo = segment.echo
        self.is_open = False
        self.buffer = b""
        self.unsent = b""
        self.sent = []
        self.unacknowledged = 0
        self.timer = None
        self.pause = 0.2
        self.tries = 0
        self.is_busy = False
        self.has_fin = False


class Server(asyncio.DatagramProtocol):
    """One server: answers openings, runs each request once, answers the client directly."""

    def __init__(self, world, name, service, address, zone, slots=2, work=(0.010, 0.020)):
        self.world, self.name, self.service = world, name, service
        self.address, self.zone, self.slots, self.work = address, zone, slots, work
        self.id = int(name.rsplit("-", 1)[1], 16)
        self.flows = {}
        self.half_open = {}
        self.seq = 0
        self.state = "ready"
        self.slot = asyncio.Semaphore(slots)
        self.opened_at = {}
        self.born = int(time.time() * 1000)
        self.is_alive = True
        self.has_born = False

    def connection_made(self, transport):
        self.transport = transport

    def entry(self):
        entry = {
            "service": self.service, "addr": f"{self.address[0]}:{self.address[1]}",
            "zone": self.zone, "version": "v1", "slots": self.slots, "state": self.state,
            "coldLeftMs": 0, "seq": self.seq,
        }
        if self.has_born:
            entry["born"] = self.born
        return entry

    def register(self):
        self.seq += 1
        self.world.store.put_json(f"servers/{self.name}", self.entry())

    async def heartbeat(self):
        while self.is_alive:
            self.register()
            await asyncio.sleep(self.world.heartbeat)

    def datagram_received(self, datagram, source):
        if len(datagram) < 8 + HEAD or not self.is_alive:
            return
        intended = struct.unpack(">Q", datagram[:8])[0]
        if intended not in (0, self.id):
            return
        segment = Segment(datagram[8:])
        if not segment.is_intact:
            self.world.breach("UNASKED", f"{self.name} got a packet that its sender did not write")
            return
        key = (segment.src, segment.dst)
        if segment.flags & SYN:
            if not segment.flags & ACK:
                self.opening(key, segment, source)
            return
        flow = self.flows.get(key)
        if flow is None:
            flow = self.half_open.get(key)
            if flow is not None and segment.flags & ACK and not segment.flags & RST:
                if segment.ack == (flow.own_seq + 1) & 0xFFFFFFFF:
                    flow.is_open = True
                    self.flows[key] = self.half_open.pop(key)
                    self.world.flow_opened(self, key, segment, source)
                else:
                    # The client has accepted another server's answer: not a flow of this one.
                    flow = None
            else:
                flow = None
        if flow is None:
            if not segment.flags & RST:
                self.world.record.write(
                    f"server {self.name} does not hold {key[0]}>{key[1]}: RST"
                )
                reply = encode(key[1], key[0], RST, segment.echo, segment.ack, segment.seq)
                self.world.to_client(self, key, reply)
            return
        flow.echo = segment.echo
        if segment.flags & RST:
            self.forget(key, flow)
            return
        self.segment(key, flow, segment, source)

    def opening(self, key, segment, source):
        held = self.flows.get(key) or self.half_open.get(key)
        if held is None or held.client_seq != segment.seq:
            held = ServerFlow(segment)
            self.half_open[key] = held
            loop = asyncio.get_running_loop()
            # The client's attempt ends 1.4 s after its first packet.
            loop.call_later(1.5, self.half_open.pop, key, None)
        held.echo = segment.echo
        self.world.opening_arrived(self, key, segment, source)
        reply = encode(key[1], key[0], SYN | ACK, held.echo, held.own_seq, held.receive_next)
        self.world.to_client(self, key, reply)

    def forget(self, key, flow):
        if flow.timer:
            flow.timer.cancel()
        self.flows.pop(key, None)

    def segment(self, key, flow, segment, source):
        if segment.flags & ACK:
            before = len(flow.sent)
            flow.sent = [part for part in flow.sent if after(part[0] + len(part[1]), segment.ack) > 0]
            if len(flow.sent) < before:
                flow.tries, flow.pause = 0, 0.2
                self.rearm(key, flow)
            self.push(key, flow)
        if segment.data:
            if segment.seq == flow.receive_next:
                flow.receive_next = (flow.receive_next + len(segment.data)) & 0xFFFFFFFF
                flow.buffer += segment.data
                flow.unacknowledged += 1
                self.take_request(key, flow)
                if flow.unacknowledged >= 2:
                    self.acknowledge(key, flow)
            else:
                self.acknowledge(key, flow)
        if segment.flags & FIN and (segment.seq + len(segment.data)) & 0xFFFFFFFF == flow.receive_next:
            flow.receive_next = (flow.receive_next + 1) & 0xFFFFFFFF
            reply = encode(key[1], key[0], FIN | ACK, flow.echo, flow.send_next, flow.receive_next)
            self.world.to_client(self, key, reply)
            self.forget(key, flow)

    def acknowledge(self, key, flow):
        flow.unacknowledged = 0
        reply = encode(key[1], key[0], ACK, flow.echo, flow.send_next, flow.receive_next)
        self.world.to_client(self, key, reply)

    def take_request(self, key, flow):
        head, separator, rest = flow.buffer.partition(b"\r\n\r\n")
        if not separator or flow.is_busy:
            return
        headers = dict(
            line.split(": ", 1) for line in head.decode().split("\r\n")[1:] if ": " in line
        )
        length = int(headers.get("Content-Length", "0"))
        if len(rest) < length:
            return
        flow.buffer = rest[length:]
        flow.is_busy = True
        asyncio.get_running_loop().create_task(
            self.run(key, flow, headers["X-Request-Id"], int(headers.get("X-Answer", "4000")))
        )

    async def run(self, key, flow, request, size):
        async with self.slot:
            self.world.request_run(self, key, request)
            await asyncio.sleep(random.uniform(*self.work))
        if not self.is_alive:
            return
        body = f"{self.service} {self.name} {request} ".encode().ljust(size, b".")
        answer = (
            f"HTTP/1.1 200 OK\r\nX-Response-Stamp: {self.name}\r\nX-Request-Id: {request}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n".encode() + body
        )
        flow.is_busy = False
        flow.unsent += answer
        self.push(key, flow)

    def push(self, key, flow):
        while flow.unsent and len(flow.sent) < 16:
            data, flow.unsent = flow.unsent[:MSS], flow.unsent[MSS:]
            part = (flow.send_next, data)
            flow.send_next = (flow.send_next + len(data)) & 0xFFFFFFFF
            flow.sent.append(part)
            self.transmit(key, flow, part)
            if flow.timer is None:
                self.rearm(key, flow)

    def transmit(self, key, flow, part):
        reply = encode(key[1], key[0], ACK, flow.echo, part[0], flow.receive_next, part[1])
        flow.unacknowledged = 0
        self.world.to_client(self, key, reply)

    def rearm(self, key, flow):
        if flow.timer:
            flow.timer.cancel()
            flow.timer = None
        if flow.sent:
            loop = asyncio.get_running_loop()
            flow.timer = loop.call_later(flow.pause, self.retransmit, key, flow)

    def retransmit(self, key, flow):
        flow.timer = None
        flow.tries += 1
        if flow.tries > 8 or not self.is_alive:
            self.forget(key, flow)
            return
        flow.pause = min(flow.pause * 2, 1.6)
        for part in flow.sent:
            self.transmit(key, flow, part)
        self.rearm(key, flow)


# ---- clients ---------------------------------------------------------------------------


class ClientFlow:
    """One flow of a client, with at most one request in progress."""

    def __init__(self, host, route):
        self.host, self.route = host, route
        host.next_port += 1
        if host.next_port > 60_000:
            host.next_port = 1_025
        self.src = (host.address[0], host.next_port)
        self.key = (self.src, route)
        host.flows[self.src[1]] = self
        self.seq = random.getrandbits(32)
        self.send_next = (self.seq + 1) & 0xFFFFFFFF
        self.receive_next = 0
        self.echo = 0
        self.state = "opening"
        self.server = None
        self.sent = []
        self.unsent = b""
        self.unacknowledged = 0
        self.buffer = b""
        self.timer = None
        self.pause = 0.2
        self.event = asyncio.Event()
        self.reset_by = None

    def send(self, flags, seq, ack, data=b""):
        packet = encode(self.src, self.route, flags, self.echo, seq, ack, data)
        self.host.world.to_entry(self, packet)

    async def open(self):
        for copy, pause in enumerate((0.2, 0.4, 0.8)):
            self.send(SYN, self.seq, copy)
            try:
                await asyncio.wait_for(self.event.wait(), pause)
                break
            except asyncio.TimeoutError:
                pass
        if self.state == "opening":
            self.close()
        return self.state == "open"

    def received(self, segment, source):
        # "The last echo that they received on a flow."
        if segment.sum != 0 or segment.flags != RST:
            self.echo = segment.echo
        if segment.flags & RST:
            self.reset_by = "system" if segment.sum == 0 else source
            self.host.world.client_reset(self, segment, source)
            self.state = "reset"
            self.end()
            self.event.set()
            return
        if segment.flags & SYN:
            if self.state == "opening":
                self.state = "open"
                self.server = source
                self.receive_next = (segment.seq + 1) & 0xFFFFFFFF
                self.send(ACK, self.send_next, self.receive_next)
                self.event.set()
            elif source != self.server:
                self.host.world.stray_answer(self, source)
            return
        if self.state != "open":
            return
        if segment.flags & ACK:
            before = len(self.sent)
            self.sent = [p for p in self.sent if after(p[0] + len(p[1]), segment.ack) > 0]
            if len(self.sent) < before:
                self.pause = 0.2
                self.rearm()
            self.push()
        if segment.data:
            if segment.seq == self.receive_next:
                self.receive_next = (self.receive_next + len(segment.data)) & 0xFFFFFFFF
                self.buffer += segment.data
                self.unacknowledged += 1
                is_complete = self.is_complete()
                if self.unacknowledged >= 2 or is_complete:
                    self.acknowledge()
                if is_complete:
                    self.event.set()
            else:
                self.acknowledge()
        if segment.flags & FIN:
            self.close()

    def is_complete(self):
        head, separator, rest = self.buffer.partition(b"\r\n\r\n")
        if not separator:
            return False
        found = re.search(rb"Content-Length: (\d+)", head)
        return len(rest) >= int(found.group(1))

    def acknowledge(self):
        self.unacknowledged = 0
        self.send(ACK, self.send_next, self.receive_next)

    async def request(self, number, upload=0, answer=4000, deadline=5.0):
        """Sends a request; returns the answer's bytes, or None."""
        self.event.clear()
        self.buffer = b""
        method = "POST" if upload else "GET"
        head = (
            f"{method} / HTTP/1.1\r\nHost: {self.route[0]}\r\nX-Request-Id: {number}\r\n"
            f"X-Answer: {answer}\r\nContent-Length: {upload}\r\n\r\n"
        )
        self.unsent = head.encode() + b"u" * upload
        self.push()
        try:
            await asyncio.wait_for(self.event.wait(), deadline)
        except asyncio.TimeoutError:
            return None
        return self.buffer if self.state == "open" and self.is_complete() else None

    def push(self):
        while self.unsent and len(self.sent) < 16 and self.state == "open":
            data, self.unsent = self.unsent[:MSS], self.unsent[MSS:]
            part = (self.send_next, data)
            self.send_next = (self.send_next + len(data)) & 0xFFFFFFFF
            self.sent.append(part)
            self.send(ACK, part[0], self.receive_next, data)
            if self.timer is None:
                self.rearm()

    def rearm(self):
        if self.timer:
            self.timer.cancel()
            self.timer = None
        if self.sent:
            loop = asyncio.get_running_loop()
            self.timer = loop.call_later(self.pause, self.retransmit)

    def retransmit(self):
        self.timer = None
        if self.state != "open":
            return
        self.pause = min(self.pause * 2, 1.6)
        for seq, data in self.sent:
            self.send(ACK, seq, self.receive_next, data)
        self.rearm()

    def close(self):
        if self.state == "open":
            self.send(FIN | ACK, self.send_next, self.receive_next)
            self.state = "closed"
        elif self.state == "opening":
            self.state = "failed"
        self.end()

    def end(self):
        if self.timer:
            self.timer.cancel()
            self.timer = None
        # Late packets of a closed flow find no one.
        asyncio.get_running_loop().call_later(0.5, self.host.flows.pop, self.src[1], None)


class Host(asyncio.DatagramProtocol):
    """A client's address; its flows differ in the port within the packets."""

    def __init__(self, world, address):
        self.world, self.address = world, address
        self.flows = {}
        self.next_port = random.randrange(2_000, 30_000)

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, packet, source):
        if len(packet) < HEAD:
            return
        segment = Segment(packet)
        is_reset = segment.flags == RST and segment.sum == 0 and not segment.data
        if not segment.is_intact and not is_reset:
            self.world.breach("MIXED", f"client {self.address[0]} got an altered packet")
            return
        flow = self.flows.get(segment.dst[1])
        if flow is not None and flow.route == segment.src and flow.state in ("opening", "open"):
            flow.received(segment, source)


# ---- entries and routers ---------------------------------------------------------------


def render(template, values):
    """Fills in the placeholders that the project's template uses."""

    def lookup(path):
        value = values
        for part in path.split("."):
            value = value.get(part) if isinstance(value, dict) else None
        return value

    def section(found):
        value = lookup(found.group(1))
        return found.group(2).replace("{{.}}", str(value)) if value else ""

    def single(found):
        path, _, form = found.group(1).partition("|")
        value = lookup(path)
        if form == "json":
            return json.dumps(value)
        return "" if value is None else str(value)

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.|]+)\}\}", single, text)


class Entry:
    """One instance of the project's program, run as the deploy file says."""

    def __init__(self, world, number, zone):
        self.world, self.number, self.zone = world, number, zone
        self.name = f"edge-{zone}-{number}"
        self.ip = world.entry_ip(number)
        self.settings = os.path.join(world.folder, f"{self.name}.settings")
        self.process = None
        self.misses = 2
        self.is_ended = False
        self.is_down = False

    @property
    def is_in_rotation(self):
        return self.misses < 2

    def values(self):
        world = self.world
        at = lambda port: f"{self.ip}:{port}"
        return {
            "nodeName": self.name, "zone": self.zone, "ip": self.ip, "region": "addis",
            "seeds": [f"{world.entry_ip(n)}:{world.port + 2}" for n in (1, 2, 3)],
            "listen": {
                "packetAddr": at(world.port), "ready": at(world.port + 1),
                "control": at(world.port + 2),
            },
            "limits": {"linkMbps": 1000.0},
            "bounds": dict(world.bounds),
            "platform": {"addr": f"{world.store_address[0]}:{world.store_address[1]}"},
        }

    def write_settings(self):
        path = os.path.join(ROOT, "deploy", "entry.jsonc.template")
        with open(path, encoding="utf-8") as file:
            text = render(file.read(), self.values())
        with open(self.settings + ".new", "w", encoding="utf-8") as file:
            file.write(text)
        os.replace(self.settings + ".new", self.settings)

    def start(self):
        self.write_settings()
        with open(os.path.join(ROOT, "deploy", "system.toml"), encoding="utf-8") as file:
            run = re.search(r'^run = "(.*)"', file.read(), re.M).group(1)
        program, *arguments = run.split(" ")
        program = os.path.join(ROOT, program)
        if not os.path.exists(program):
            raise CannotRun(f"{run} is not built")
        kept = {k: v for k, v in os.environ.items() if k in ("PATH", "HOME", "LANG")}
        self.log = open(os.path.join(self.world.folder, f"{self.name}.log"), "ab")
        self.process = subprocess.Popen(
            [program, *arguments], cwd=ROOT, stdin=subprocess.DEVNULL, stdout=self.log,
            stderr=subprocess.STDOUT, env={**kept, "GODWITREEL_NODE_FILE": self.settings},
        )
        self.started_at = time.monotonic()
        self.asked_to_end = False

    def signal(self, number):
        if self.process.poll() is None:
            self.asked_to_end |= number in (signal.SIGTERM, signal.SIGKILL)
            self.process.send_signal(number)

    async def supervise(self):
        """Starts the process again after it has ended, as the platform does."""
        while not self.is_ended:
            await asyncio.sleep(0.05)
            status = self.process.poll()
            if status is None or self.is_down:
                continue
            self.world.entry_ended(self, status)
            await asyncio.sleep(0.3)
            if not self.is_ended and not self.is_down:
                self.start()
                self.world.record.write(f"platform starts {self.name}")

    async def probe(self):
        while not self.is_ended:
            begin = time.monotonic()
            is_ready = await self.ask()
            was = self.is_in_rotation
            self.misses = 0 if is_ready else self.misses + 1
            if was != self.is_in_rotation:
                what = "in" if self.is_in_rotation else "out of"
                self.world.record.write(f"router: {self.name} {what} rotation")
            await asyncio.sleep(max(0.0, begin + 0.5 - time.monotonic()))

    async def ask(self):
        async def exchange():
            reader, writer = await asyncio.open_connection(self.ip, self.world.port + 1)
            try:
                writer.write(f"GET /ready HTTP/1.1\r\nHost: {self.ip}\r\nConnection: close\r\n\r\n".encode())
                line = await reader.readline()
                return b" 200 " in line
            finally:
                writer.close()

        try:
            return await asyncio.wait_for(exchange(), 0.45)
        except (OSError, asyncio.TimeoutError):
            return False

    async def stop(self, grace=6.0):
        """A planned stop: SIGTERM, and SIGKILL after the grace time."""
        self.world.record.write(f"platform: SIGTERM to {self.name}")
        process = self.process
        self.signal(signal.SIGTERM)
        end = time.monotonic() + grace
        while process.poll() is None:
            if time.monotonic() >= end:
                process.kill()
            await asyncio.sleep(0.05)

    def end(self):
        self.is_ended = True
        if self.process and self.process.poll() is None:
            self.process.kill()
        if self.process:
            self.process.wait()


class World:
    """All parts of one run."""

    heartbeat = 1.2

    def __init__(self, folder):
        self.record = Record(folder)
        self.folder = tempfile.mkdtemp(prefix="godwitreel-review-")
        self.breaches = []
        self.counts = {}
        self.entries, self.servers, self.hosts = [], [], []
        self.bounds = {
            "contactMs": 4000, "drainMs": 3000, "configMs": 3000, "flowTtlS": 60, "graceS": 6,
        }
        self.max_lag = 0.0
        self.tasks = []
        self.choose_block()

    def choose_block(self):
        for _ in range(50):
            self.block = random.randrange(20, 250)
            self.port = random.randrange(15_000, 28_000)
            self.store_address = (f"127.{self.block}.4.1", self.port)
            if self.is_free():
                return
        raise CannotRun("no free loopback addresses")

    def is_free(self):
        for ip in (self.store_address[0], self.entry_ip(1), f"127.{self.block}.2.1"):
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                for port in (self.port, self.port + 1, self.port + 2, 9464):
                    with socket.socket(socket.AF_INET, kind) as probe:
                        try:
                            probe.bind((ip, port))
                        except OSError:
                            return False
        return True

    def entry_ip(self, number):
        return f"127.{self.block}.1.{number}"

    def spawn(self, work):
        self.tasks.append(asyncio.get_running_loop().create_task(work))

    def count(self, what):
        self.counts[what] = self.counts.get(what, 0) + 1

    def breach(self, rule, text):
        self.breaches.append((rule, text))
        self.record.write(f"BROKEN {rule}: {text}")

    async def start_store(self):
        self.store = Store()
        await self.store.serve(self.store_address)
        self.spawn(self.store.expire())

    async def add_server(self, number, service, zone, **options):
        server = Server(
            self, f"i-{0x10000000 + number:x}", service, (f"127.{self.block}.3.{number}", self.port),
            zone, **options,
        )
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: server, local_addr=server.address)
        self.servers.append(server)
        return server

    async def add_host(self, number):
        host = Host(self, (f"127.{self.block}.2.{number}", self.port))
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: host, local_addr=host.address)
        self.hosts.append(host)
        return host

    async def start_entries(self, count, zone):
        for number in range(1, count + 1):
            entry = Entry(self, number, zone)
            self.entries.append(entry)
            entry.start()
            self.spawn(entry.supervise())
            self.spawn(entry.probe())
        end = time.monotonic() + 15
        while not all(entry.is_in_rotation for entry in self.entries):
            if time.monotonic() > end:
                raise CannotRun("the entries did not become ready")
            await asyncio.sleep(0.1)

    async def watch_lag(self):
        """Longest delay of this process's own timers."""
        while True:
            begin = time.monotonic()
            await asyncio.sleep(0.005)
            self.max_lag = max(self.max_lag, time.monotonic() - begin - 0.005)

    # The routers, and the links between clients and the system and back.

    def route_entry(self, flow):
        inside = [entry for entry in self.entries if entry.is_in_rotation]
        if len(inside) * 2 < len(self.entries):
            inside = self.entries
        text = f"{flow.src}{flow.route}".encode()
        return inside[zlib.crc32(text) % len(inside)]

    def to_entry(self, flow, packet):
        asyncio.get_running_loop().call_later(CLIENT_DELAY, self.deliver, flow, packet)

    def deliver(self, flow, packet):
        entry = self.route_entry(flow)
        flow.entry = entry
        try:
            flow.host.transport.sendto(packet, (entry.ip, self.port))
        except OSError:
            pass

    def to_client(self, server, key, packet):
        asyncio.get_running_loop().call_later(
            CLIENT_DELAY, server.transport.sendto, packet, (key[0][0], self.port)
        )

    # What the parts saw; a case overrides what it judges.

    def opening_arrived(self, server, key, segment, source):
        pass

    def flow_opened(self, server, key, segment, source):
        server.opened_at[key] = time.monotonic()

    def request_run(self, server, key, request):
        self.count("run")

    def client_reset(self, flow, segment, source):
        pass

    def stray_answer(self, flow, source):
        pass

    def entry_ended(self, entry, status):
        self.record.write(f"{entry.name} ended with {status}")
        if not entry.asked_to_end:
            self.breach("Fault", f"{entry.name} ended by itself with {status}")

    def finish(self):
        for entry in self.entries:
            entry.end()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def main(folder, world_type, case):
    """Runs a case; exits with 1 if a rule was broken, 0 if none, 2 if it could not run."""
    # A collection would delay all timers of this process.
    gc.disable()

    async def run():
        world = world_type(folder)
        world.spawn(world.watch_lag())
        code = 2
        try:
            await asyncio.wait_for(case(world), 118)
            code = 1 if world.breaches else 0
        except (CannotRun, OSError, asyncio.TimeoutError) as error:
            world.record.write(f"could not run: {error!r}")
            print(f"could not run: {error!r}")
        finally:
            world.finish()
            for task in world.tasks:
                task.cancel()
            world.record.write(f"counts {world.counts}")
            world.record.write(f"longest delay of own timers {world.max_lag * 1000:.1f} ms")
            world.record.write(f"trouble {TROUBLE}, broken {len(world.breaches)}, exit {code}")
            world.record.close()
        print(f"trouble {TROUBLE}, counts {world.counts}, exit {code}")
        for rule, text in world.breaches[:5]:
            print(f"{rule}: {text}")
        return code

    sys.exit(asyncio.run(run()))
