"""CONFIG: copies of opening packets after their route has moved to another service."""

import asyncio
import os
import random
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standin-2"))

import kit

ZONE = "bole"
FEED = ("198.18.0.1", 8443)
ROLLBACK_SLACK_MS = 250
MAX_CONNS = 40


class World(kit.World):
    def prepare(self):
        # When each copy of an opening packet was sent, by the client's address and its number.
        self.sent = {}
        # The copy that a server took, and the entry that sent it on.
        self.taken = {}
        # When a server first saw the effect of version 8, by entry.
        self.effect = {}
        self.changed_at = None

    def to_entry(self, flow, packet):
        segment = kit.Segment(packet)
        if segment.flags == kit.SYN:
            self.sent[(flow.key, segment.ack)] = time.monotonic()
            if segment.ack == 0:
                self.count("openings sent")
            self.record.write(f"opening {flow.src}, copy {segment.ack}")
        super().to_entry(flow, packet)

    def opening_arrived(self, server, key, segment, source):
        now = time.monotonic()
        self.taken[(server.name, key)] = (segment.ack, source[0])
        self.record.write(f"opening {key[0]}, copy {segment.ack}, taken by {server.name} of {server.service}, from {source[0]}")
        if server.service == "dispatch-new" and source[0] not in self.effect:
            self.effect[source[0]] = now
            self.record.write(f"{server.name} sees the effect of version 8 through {source[0]}")

    def request_run(self, server, key, request):
        self.count(f"requests run by {server.service}")
        copy, entry = self.taken[(server.name, key)]
        self.record.write(f"request {request} from {key[0]} run by {server.name} of {server.service}")
        if server.service != "dispatch" or entry not in self.effect:
            return
        late = (self.sent[(key, copy)] - self.effect[entry]) * 1000
        if late > ROLLBACK_SLACK_MS:
            self.breach(
                "CONFIG",
                f"request {request} of {key[0]}, whose opening was sent {late:.0f} ms after a server had seen"
                f" the effect of version 8 through {entry}, was sent to {server.name} of the old service"
                f" by the same process",
            )


class Server(kit.Server):
    """Sends nothing while it holds as many flows as it may."""

    def opening(self, key, segment, source):
        is_known = key in self.flows or key in self.half_open
        if not is_known and len(self.flows) + len(self.half_open) >= MAX_CONNS:
            self.world.count(f"openings not answered by full servers of {self.service}")
            return
        super().opening(key, segment, source)


def config(version, service):
    route = {
        "name": "feed", "host": FEED[0], "prefix": "/8443/", "type": "idempotent", "timeoutMs": 2000,
        "goalMs": 1000, "priority": 1, "service": service, "attempts": 2,
    }
    services = [
        {"name": name, "healthPath": "/health", "maxConns": MAX_CONNS} for name in ("dispatch", "dispatch-new")
    ]
    return {"version": version, "routes": [route], "services": services, "limits": {"idleTimeoutMs": 15000}}


async def client(world, host, numbers):
    """Keeps each flow open for some requests, with pauses."""
    await asyncio.sleep(random.random())
    while True:
        flow = kit.ClientFlow(host, FEED)
        if await flow.open():
            world.count("flows opened")
            for _ in range(4):
                answer = await flow.request(f"r{next(numbers)}", answer=1000, deadline=2.0)
                world.count("requests answered" if answer else "requests not answered")
                if flow.state != "open":
                    break
                await asyncio.sleep(random.uniform(0.2, 0.6))
            flow.close()
        else:
            world.count("flows not opened")
        await asyncio.sleep(random.uniform(0.05, 0.3))


async def case(world):
    world.prepare()
    await world.start_store()
    world.store.put_json("op/config", config(7, "dispatch"))
    loop = asyncio.get_running_loop()
    for number in range(1, 9):
        service = "dispatch" if number <= 2 else "dispatch-new"
        server = Server(
            world, f"i-{0x10000000 + number:x}", service, (f"127.{world.block}.3.{number}", world.port), ZONE
        )
        await loop.create_datagram_endpoint(lambda: server, local_addr=server.address)
        world.servers.append(server)
        world.spawn(server.heartbeat())
    await world.start_entries(2, ZONE)
    numbers = iter(range(1, 10_000_000))
    hosts = [await world.add_host(number) for number in range(1, 21)]
    # As many flows as the two servers of the service hold.
    for host in hosts[:10]:
        for _ in range(8):
            world.spawn(client(world, host, numbers))
    await asyncio.sleep(8)
    world.record.write("many more users come")
    for host in hosts[10:]:
        for _ in range(8):
            world.spawn(client(world, host, numbers))
    await asyncio.sleep(4)
    if kit.TROUBLE:
        world.store.put_json("op/config", config(8, "dispatch-new"))
        world.changed_at = time.monotonic()
        world.record.write("store acknowledges version 8: the route's new flows go to dispatch-new")
    await asyncio.sleep(8)


kit.main(FOLDER, World, case)
