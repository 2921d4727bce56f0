"""A new version has been rolled out. All processes are killed as the store goes away, and once more as the final fault."""

import asyncio
import os
import random
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))

from common.clients import Client  # noqa: E402
from common.engines import Engine  # noqa: E402
from common.world import BOUNDS, CannotRun, ZONES, http1, manifest, plain_service, route, run_case  # noqa: E402

# TROUBLE=0: no fault at all. TROUBLE=fault: the final fault alone.
TROUBLE = os.environ.get("TROUBLE", "1")
SERVICE = "returns-ledger"
FINISH_BY_S = 16
DOWN_S = 1.4
STORE_AWAY_S = 4.5
REVERT_DRAIN_DELAY_S = 3.0
BUDGET_MS = 1200
RATE = 40.0
AFTER_S = 45.0


class Ledger(Engine):
    async def run(self, request, writer):
        await asyncio.sleep(0.015)
        writer.write(http1.response_bytes(200, self.head(request), b"done"))
        await writer.drain()
        return True


def send(client):
    if random.random() < 0.6:
        return client.request("POST", "release", BUDGET_MS, body=b"crate")
    return client.request("GET", "lookup", BUDGET_MS)


async def traffic(clients, end):
    pending = set()
    while time.monotonic() < end["at"]:
        pending.add(asyncio.ensure_future(send(random.choice(clients))))
        await asyncio.sleep(random.expovariate(RATE))
    await asyncio.gather(*pending)


def rollout_state(world):
    status = world.store.get("status", f"rollout/{SERVICE}")
    return status["state"] if status else None


async def platform_follows_rollout(world, old, new):
    """At `completed` the old engines stop at once; at `reverted` the new ones drain some seconds later."""
    state = None
    while True:
        await asyncio.sleep(0.05)
        if rollout_state(world) == state:
            continue
        state = rollout_state(world)
        world.note(f"status/rollout/{SERVICE}: {state}")
        if state == "completed":
            for engine in old:
                engine.stop()
        if state == "reverted":
            await asyncio.sleep(REVERT_DRAIN_DELAY_S)
            for engine in new:
                engine.register("draining")
            await asyncio.sleep(BOUNDS["drainMs"] / 1000 + 1)
            for engine in new:
                engine.stop()


async def roll_out(world):
    world.store.put("op", f"rollout/{SERVICE}", {"service": SERVICE, "to": "v2", "finishByS": FINISH_BY_S})
    for _ in range(10 * FINISH_BY_S):
        if rollout_state(world) == "completed":
            return
        await asyncio.sleep(0.1)
    raise CannotRun("the rollout was not completed in time")


async def kill_all(world, store_away_s):
    """All processes are killed, right after a manifest was acknowledged; the store may be away from then on."""
    world.current["version"] += 1
    world.store.put("op", "config", world.current)
    killed = time.monotonic()
    for node in world.nodes:
        node.signal(signal.SIGKILL)
        node.process.wait()
    world.store.set_down(store_away_s > 0)
    await asyncio.sleep(killed + DOWN_S - time.monotonic())
    for node in world.nodes:
        node.start()
    back = time.monotonic()
    if store_away_s > 0:
        await asyncio.sleep(killed + store_away_s - time.monotonic())
        world.store.set_down(False)
        world.note("the store is back")
    return back


def served_share(attempts, begin, end):
    chosen = [attempt for attempt in attempts if begin <= attempt.sent < end]
    return sum(attempt.status == 200 for attempt in chosen), len(chosen)


async def play(world):
    old = [Ledger(world, f"i-old-{n}", SERVICE, ZONES[n], world.new_address()) for n in range(3)]
    new = [Ledger(world, f"i-new-{n}", SERVICE, ZONES[n], world.new_address(), version="v2") for n in range(3)]
    world.engines = old
    routes = [route("release", "unsafe", SERVICE, 1200, 200), route("lookup", "idempotent", SERVICE, 1200, 200, attempts=2)]
    world.current = manifest(routes, [plain_service(SERVICE)])
    await world.start(world.current)
    clients = [Client(world, ZONES[n % 3]) for n in range(12)]
    began = time.monotonic()
    end = {"at": began + 100}
    work = asyncio.ensure_future(traffic(clients, end))
    platform = asyncio.ensure_future(platform_follows_rollout(world, old, new))
    await asyncio.sleep(3)
    for engine in new:
        await engine.start()
    await roll_out(world)
    await asyncio.sleep(4)
    if TROUBLE == "1":
        await kill_all(world, STORE_AWAY_S)
    await asyncio.sleep(8)
    fault = time.monotonic()
    back = fault if TROUBLE == "0" else await kill_all(world, 0)
    world.note("all machines are back after the final fault")
    end["at"] = back + AFTER_S
    await work
    platform.cancel()
    attempts = [attempt for client in clients for attempt in client.attempts if attempt.sent]
    before, asked_before = served_share(attempts, began, fault)
    after, asked_after = served_share(attempts, back + BOUNDS["recoveryS"], time.monotonic())
    summary = f"served: {before} of {asked_before} before the fault, {after} of {asked_after} from recoveryS after it; the rollout's state: {rollout_state(world)}"
    world.note(summary)
    print(summary)
    return 4 * before >= asked_before and 4 * after < asked_after


run_case(os.path.dirname(os.path.abspath(__file__)), play)
