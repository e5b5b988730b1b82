"""Fault: the program does not start when a bound in its settings is a fraction."""

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


class World(kit.World):
    def entry_ended(self, entry, status):
        self.record.write(f"{entry.name} ended with {status}")
        if not entry.asked_to_end:
            self.ends[entry.name] = self.ends.get(entry.name, 0) + 1
            if self.ends[entry.name] == 3:
                self.breach("Fault", f"{entry.name} ended by itself three times, at last with {status}")


async def client(world, host, numbers):
    while True:
        await asyncio.sleep(random.uniform(0.1, 0.4))
        flow = kit.ClientFlow(host, FEED)
        if await flow.open():
            answer = await flow.request(f"r{next(numbers)}", answer=1000, deadline=1.0)
            flow.close()
        else:
            answer = None
        world.count("requests answered" if answer else "requests not answered")
        world.record.write(f"request from {flow.src}: {'200' if answer else flow.state}")


async def case(world):
    world.ends = {}
    await world.start_store()
    world.store.put_json("op/config", {
        "version": 7,
        "routes": [
            {"name": "feed", "host": FEED[0], "prefix": "/8443/", "type": "idempotent",
             "timeoutMs": 1000, "goalMs": 100, "priority": 2, "service": "dispatch", "attempts": 2},
        ],
        "services": [{"name": "dispatch", "healthPath": "/health", "maxConns": 2000}],
        "limits": {"idleTimeoutMs": 15000},
    })
    for number in range(1, 5):
        server = await world.add_server(number, "dispatch", ZONE)
        world.spawn(server.heartbeat())
    await world.start_entries(3, ZONE)
    numbers = iter(range(1, 10_000_000))
    for number in range(1, 6):
        host = await world.add_host(number)
        world.spawn(client(world, host, numbers))
    await asyncio.sleep(4)
    if kit.TROUBLE:
        # The settings change: the grace time is now six and a half seconds.
        world.bounds["graceS"] = 6.5
        for entry in world.entries:
            entry.write_settings()
            entry.signal(kit.signal.SIGHUP)
        world.record.write("platform: the settings of all entries have changed, graceS = 6.5; SIGHUP")
    await asyncio.sleep(4)
    for entry in world.entries:
        await entry.stop()
        end = time.monotonic() + 6
        while not entry.is_in_rotation and time.monotonic() < end:
            await asyncio.sleep(0.05)
        await asyncio.sleep(1.0)
    await asyncio.sleep(6)


kit.main(FOLDER, World, case)
