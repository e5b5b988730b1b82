"""DRAIN after a server has started again under its id while its clock was set back."""

import asyncio
import os
import random
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standin-2"))

import kit

ZONE = "serra-a"
STATUS = ("198.18.0.1", 8443)
DRAIN_MS = 5_000
CLOCK_STEP_MS = 2_400
FLAP_PERIOD = 1.4


class World(kit.World):
    heartbeat = 1.2

    def opening_arrived(self, server, key, segment, source):
        if server.draining_at is None:
            return
        late = (time.monotonic() - server.draining_at) * 1000 - DRAIN_MS
        self.count("openings at a draining server")
        self.record.write(f"opening {key[0]} at {server.name}, which is draining, from {source[0]}")
        if late > 0:
            self.breach(
                "DRAIN",
                f"opening {key[0]} reached {server.name} {late / 1000 + DRAIN_MS / 1000:.2f} s"
                f" after the store had acknowledged that it is draining, through {source[0]}",
            )

    def request_run(self, server, key, request):
        self.count(f"run by {server.name}")


class Server(kit.Server):
    """A server that can go down and start again under its id."""

    def restart(self, clock_ms):
        self.flows.clear()
        self.half_open.clear()
        self.seq = 0
        self.born = int(time.time() * 1000) + clock_ms
        self.is_alive = True
        self.world.record.write(f"{self.name} starts, born {self.born}")
        self.world.spawn(self.heartbeat())


async def client(world, host, numbers):
    while True:
        await asyncio.sleep(random.uniform(0.1, 0.4))
        flow = kit.ClientFlow(host, STATUS)
        if await flow.open():
            answer = await flow.request(f"r{next(numbers)}", answer=2000, deadline=2.0)
            world.count("requests answered" if answer else "requests not answered")
            flow.close()


async def case(world):
    world.bounds.update(contactMs=5000, drainMs=DRAIN_MS, configMs=5000)
    await world.start_store()
    world.store.put_json("op/config", {
        "version": 7,
        "routes": [
            {"name": "status", "host": STATUS[0], "prefix": "/8443/", "type": "idempotent",
             "timeoutMs": 2000, "goalMs": 400, "priority": 2, "service": "signing", "attempts": 2},
        ],
        "services": [{"name": "signing", "healthPath": "/health", "maxConns": 2000,
                      "coldStartS": 2.0, "coldPerS": 0.0}],
        "limits": {"idleTimeoutMs": 15000},
    })
    loop = asyncio.get_running_loop()
    for number in range(1, 7):
        server = Server(
            world, f"i-{0x10000000 + number:x}", "signing", (f"127.{world.block}.3.{number}", world.port), ZONE
        )
        server.has_born = True
        server.draining_at = None
        await loop.create_datagram_endpoint(lambda: server, local_addr=server.address)
        world.servers.append(server)
        world.spawn(server.heartbeat())
    await world.start_entries(2, ZONE)
    numbers = iter(range(1, 10_000_000))
    for number in range(1, 11):
        host = await world.add_host(number)
        for _ in range(2):
            world.spawn(client(world, host, numbers))
    await asyncio.sleep(6)
    server = world.servers[0]
    if kit.TROUBLE:
        # srv_flap for 6.5 s; in its last period, clock_step sets the clock of the server's
        # machine back for 6 s.
        flap_began = time.monotonic()
        while time.monotonic() < flap_began + 6.5 - FLAP_PERIOD:
            world.record.write(f"{server.name} goes down")
            server.is_alive = False
            await asyncio.sleep(FLAP_PERIOD / 2)
            age = time.monotonic() - flap_began
            is_back = 3 * FLAP_PERIOD < age < 3 * FLAP_PERIOD + 6
            server.restart(-CLOCK_STEP_MS if is_back else 0)
            await asyncio.sleep(FLAP_PERIOD / 2)
    else:
        await asyncio.sleep(6.5)
    # Twice contactMs without any disruption.
    await asyncio.sleep(10)
    server.state = "draining"
    server.register()
    server.draining_at = time.monotonic()
    world.record.write(f"store acknowledges that {server.name} is draining: {server.entry()}")
    await asyncio.sleep(DRAIN_MS / 1000 + 10)
    server.is_alive = False
    world.store.delete(f"servers/{server.name}")


kit.main(FOLDER, World, case)
