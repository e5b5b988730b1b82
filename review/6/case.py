"""FLOW while the entries are stopped and started in turn."""

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
BOOKING = ("198.18.0.1", 8080)


class World(kit.World):
    def opening_arrived(self, server, key, segment, source):
        first = self.first_server.setdefault((key, segment.seq), server.name)
        if first != server.name:
            self.count("openings sent to a further server")
            self.record.write(
                f"opening {key[0]} of a flow at {first} also at {server.name}, from {source[0]}"
            )

    def stray_answer(self, flow, source):
        self.record.write(f"client {flow.src}: flow is open at {flow.server}, SYN+ACK of {source}")

    def client_reset(self, flow, segment, source):
        if flow.state != "open":
            self.count("openings refused")
            self.record.write(f"opening {flow.src} refused by {source[0]}, sum {segment.sum}")
            return
        server = next(s for s in self.servers if s.address == flow.server)
        opened = flow.key in server.opened_at
        age = time.monotonic() - server.opened_at.get(flow.key, time.monotonic())
        if opened and source != flow.server and age < 60:
            self.breach(
                "FLOW",
                f"client {flow.src} has a flow open at {server.name}, which is alive, for"
                f" {age:.2f} s, and got a reset from {flow.reset_by}",
            )


async def write_counts(world):
    while True:
        await asyncio.sleep(1.0)
        world.record.write(f"so far {world.counts}")


async def feed(world, host, numbers):
    """Keeps a flow open for some requests, with pauses, then opens the next one."""
    await asyncio.sleep(random.random())
    while True:
        flow = kit.ClientFlow(host, FEED)
        if await flow.open():
            for _ in range(5):
                # The first request, too, may come some time after the opening.
                await asyncio.sleep(random.uniform(0.0, 0.35))
                number = next(numbers)
                answer = await flow.request(f"r{number}", answer=1000, deadline=1.0)
                world.count("feed requests answered" if answer else "feed requests not answered")
                if not answer:
                    world.record.write(f"request r{number} from {flow.src}: {flow.state}")
                if flow.state != "open":
                    break
            flow.close()
        await asyncio.sleep(random.uniform(0.02, 0.1))


async def bookings(world, host, numbers):
    while True:
        await asyncio.sleep(random.uniform(0.5, 1.5))
        flow = kit.ClientFlow(host, BOOKING)
        if await flow.open():
            number = next(numbers)
            answer = await flow.request(f"r{number}", upload=900, answer=600, deadline=1.2)
            world.count("bookings answered" if answer else "bookings not answered")
            if not answer:
                world.record.write(f"request r{number} from {flow.src}: {flow.state}")
            flow.close()


async def case(world):
    world.first_server = {}
    await world.start_store()
    routes = [
        {"name": "feed", "host": FEED[0], "prefix": "/8443/", "type": "idempotent",
         "timeoutMs": 1000, "goalMs": 100, "priority": 2, "service": "dispatch", "attempts": 2},
        {"name": "booking", "host": BOOKING[0], "prefix": "/8080/", "type": "non_idempotent",
         "timeoutMs": 1200, "goalMs": 120, "priority": 1, "service": "dispatch", "attempts": 2},
    ]
    services = [{"name": "dispatch", "healthPath": "/health", "maxConns": 2000}]
    world.store.put_json("op/config", {
        "version": 7, "routes": routes, "services": services,
        "limits": {"idleTimeoutMs": 15000},
    })
    for number in range(1, 15):
        server = await world.add_server(number, "dispatch", ZONE)
        world.spawn(server.heartbeat())
    await world.start_entries(3, ZONE)
    world.spawn(write_counts(world))
    numbers = iter(range(1, 10_000_000))
    for number in range(1, 41):
        host = await world.add_host(number)
        for _ in range(5):
            world.spawn(feed(world, host, numbers))
        world.spawn(bookings(world, host, numbers))
    began = time.monotonic()
    await asyncio.sleep(6)
    while time.monotonic() < began + 92:
        for entry in world.entries:
            if time.monotonic() >= began + 92:
                break
            if kit.TROUBLE:
                await entry.stop()
                while not entry.is_in_rotation:
                    await asyncio.sleep(0.05)
            await asyncio.sleep(1.0)
    await asyncio.sleep(3)


kit.main(FOLDER, World, case)
