"""The machines of a small deployment are stopped with SIGTERM and started again, one after the other."""

import asyncio
import os
import random
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))

from common.clients import Client  # noqa: E402
from common.engines import Engine  # noqa: E402
from common.world import BOUNDS, ZONES, http1, manifest, plain_service, route, run_case  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
GAP_S = 1.0
WORK_S = 0.06
BUDGET_MS = 2500
RATE = 68.0
ROLLS = 5
PAUSE_S = 6.0
RESTART_DELAY_S = 1.0


class Ledger(Engine):
    async def run(self, request, writer):
        await asyncio.sleep(random.uniform(0.5, 1.5) * WORK_S)
        writer.write(http1.response_bytes(200, self.head(request), b"done"))
        await writer.drain()
        return True


async def traffic(clients, end):
    pending = set()
    while time.monotonic() < end:
        client = random.choice(clients)
        pending.add(asyncio.ensure_future(client.request("POST", "release", BUDGET_MS, body=b"crate")))
        await asyncio.sleep(random.expovariate(RATE))
    await asyncio.gather(*pending)


async def restart(world, node, stops):
    stopped = time.monotonic()
    stops.setdefault(node.front, []).append(stopped)
    node.signal(signal.SIGTERM)
    limit = time.monotonic() + BOUNDS["graceS"]
    while node.is_running() and time.monotonic() < limit:
        await asyncio.sleep(0.01)
    if node.is_running():
        node.signal(signal.SIGKILL)
    node.process.wait()
    world.note(f"node {node.name} has ended {time.monotonic() - stopped:.2f} s after SIGTERM")
    await asyncio.sleep(RESTART_DELAY_S)
    node.start()


async def roll(world, stops):
    tasks = []
    for node in world.nodes:
        tasks.append(asyncio.ensure_future(restart(world, node, stops)))
        await asyncio.sleep(GAP_S)
    await asyncio.gather(*tasks)


def last_stop(attempt, stops):
    """Returns when the machine that took the request last got SIGTERM before."""
    return max((at for at in stops.get(attempt.node, []) if at <= attempt.sent), default=None)


def is_lost(attempt, arrived, stops):
    """LOST around planned work, with its excuses."""
    stopped = last_stop(attempt, stops)
    if not attempt.is_cut or stopped is None or attempt.sent > stopped + BOUNDS["graceS"] + 1:
        return False
    # What hasn't reached an engine may not have been read, which only the node knows.
    if attempt.id not in arrived:
        return False
    # The time limit, which is the route's timeout as well, was reached.
    if attempt.ended - attempt.sent >= BUDGET_MS / 1000 - 0.05:
        return False
    was_at_work_at_the_end = attempt.ended - stopped > BOUNDS["graceS"] * 5 / 6
    return not (was_at_work_at_the_end and attempt.sent <= stopped + 3)


async def play(world):
    world.engines = [Ledger(world, f"i-ledger-{n}", "returns-ledger", ZONES[n], world.new_address()) for n in range(3)]
    await world.start(manifest([route("release", "unsafe", "returns-ledger", 2500, 400)], [plain_service("returns-ledger")]))
    clients = [Client(world, ZONES[n % 3], is_patient=n % 3 == 0) for n in range(36)]
    stops = {}
    work = asyncio.ensure_future(traffic(clients, time.monotonic() + 10 + ROLLS * (PAUSE_S + 11)))
    await asyncio.sleep(5)
    for _ in range(ROLLS if TROUBLE else 0):
        await roll(world, stops)
        await asyncio.sleep(PAUSE_S + random.uniform(0, 1))
    await work
    attempts = [attempt for client in clients for attempt in client.attempts]
    arrived = {item for engine in world.engines for _, item in engine.arrivals}
    lost = [attempt for attempt in attempts if is_lost(attempt, arrived, stops)]
    for attempt in lost:
        after = attempt.sent - last_stop(attempt, stops)
        world.note(f"LOST {attempt.id}: sent {after:.3f} s after SIGTERM, reached an engine: {attempt.id in arrived}, cut after {attempt.ended - attempt.sent:.3f} s")
    served = sum(attempt.status == 200 for attempt in attempts)
    summary = f"{len(attempts)} attempts, {served} served, {len(lost)} lost"
    world.note(summary)
    print(summary)
    return bool(lost)


run_case(os.path.dirname(os.path.abspath(__file__)), play)
