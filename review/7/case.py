"""All processes are killed right after a roll-out was reported as completed, and the store comes back from a copy that is
some seconds old, so that the report is gone.

Counts what is served later than recoveryS after the machines are back (rule RECOVER). With TROUBLE=0 the processes are killed
in the same way, and the store keeps what it has."""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common-2"))
from stand_ins import *  # noqa: E402, F403

ZONES = {"derby-depot": "east-mids", "walsall-depot": "west-mids", "buxton-depot": "north-mids"}
HOST, KEY, TENANT = "ficu95.example", "i9n73hh2b9wu3fexd9dn", "hule930"
RECOVERY_S, LEAST_SHARE = 12.0, 0.25
FINISH_S = 20
DOWN_S = 1.4  # Of the processes.
AWAY_S = 1.0  # Of the store.
COPY_EVERY_S = 3.0
REQUESTS_PER_S = 60.0
JUDGED_S = 12.0
DRAIN_AFTER_S = 5.0  # From "reverted" until the new engines drain.


def manifest():
    route = {"name": "r-release", "hostname": HOST, "prefix": "/release/", "routeType": "unsafe", "timeoutMs": 1200, "targetLatencyMs": 200,
             "priority": 0, "service": "ledger", "maxAttempts": 1, "public": False}
    return {"version": 7, "routes": [route], "services": [{"name": "ledger", "healthPath": "/healthz", "maxConnections": 96}],
            "tenants": [{"name": TENANT, "apiKeys": [KEY], "priority": 1}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}


class Clients:
    def __init__(self, world, record):
        self.world, self.record = world, record
        self.answers = []  # Time of sending and status; zero without an answer.
        self.addresses = {}

    async def send(self, zone):
        at = time.monotonic()
        fetched, known = self.addresses.get(zone, (0, []))
        if at - fetched > 1:
            known = await resolve(self.world, HOST, zone) or known
            self.addresses[zone] = (time.monotonic(), known)
        status, attempt = 0, new_id()
        if known:
            ip, port = random.choice(known).split(":")
            headers = [("Host", HOST), ("X-Filbertreel-Attempt-Id", attempt), ("X-Filbertreel-Time-Budget", "1200"), ("Authorization", f"Bearer {KEY}")]
            answer = await call(ip, int(port), "POST", "/release/2f", headers, b"{}", timeout=2)
            status = answer["status"] if answer else 0
        self.answers.append((at, status))
        self.record.line(f"client in {zone}: {attempt} sent at {at - self.record.start:.3f} answered {status}")

    async def traffic(self, zone):
        while True:
            asyncio.create_task(self.send(zone))
            await asyncio.sleep(random.expovariate(REQUESTS_PER_S / len(ZONES)))

    def served(self, first, last):
        asked = [status for at, status in self.answers if first <= at <= last]
        return sum(status == 200 for status in asked), len(asked)


async def keep_copies(store):
    while True:
        store.back_up()
        await asyncio.sleep(COPY_EVERY_S)


async def final_fault(world, record):
    """Kills all processes and starts them again; with the trouble the store is restored meanwhile."""
    record.line("all processes of the system are killed")
    for node in world.nodes:
        node.kill()
    if with_trouble():
        world.store.go_away()
        record.line("the store is away")
        await asyncio.sleep(AWAY_S)
        record.line(f"the store is back from a copy that is {world.store.restore():.1f} s old")
        await asyncio.sleep(DOWN_S - AWAY_S)
    else:
        await asyncio.sleep(DOWN_S)
    for node in world.nodes:
        node.start()
    record.line("the processes are started again")


async def play(record):
    world = World(record, ZONES)
    try:
        await world.open()
        world.store.put("op", "config", manifest())
        old = [await Engine(world.store, "ledger", zone, slots=6, queue=6, work_s=0.02, version="v1").start() for zone in ZONES]
        world.start_nodes()
        if not await world.wait_ready():
            record.line("the nodes did not become ready")
            return NOT_RUN
        clients = Clients(world, record)
        tasks = [asyncio.create_task(clients.traffic(zone)) for zone in ZONES] + [asyncio.create_task(keep_copies(world.store))]
        await asyncio.sleep(6)
        begun = time.monotonic()
        world.store.put("op", "rollout/ledger", {"service": "ledger", "to": "v2", "finishByS": FINISH_S})
        record.line("operator: order to v2")
        new = [await Engine(world.store, "ledger", zone, slots=6, queue=6, work_s=0.02, version="v2").start() for zone in ZONES]

        def state():
            return (world.store.get("status", "rollout/ledger") or {}).get("state")

        while state() != "completed":
            if time.monotonic() > begun + FINISH_S + 5 or state() == "reverted":
                record.line(f"the roll-out was not completed: {state()}")
                return NOT_RUN
            await asyncio.sleep(0.02)
        record.line("status completed; platform: the engines of v1 stop")
        for engine in old:
            engine.stop()
        await asyncio.sleep(0.5)  # Between the acknowledgement and the fault.
        fault_at = time.monotonic()
        await final_fault(world, record)
        back_at = time.monotonic()
        known, drain_at = "completed", None
        while time.monotonic() < back_at + RECOVERY_S + JUDGED_S:
            if state() != known:
                known = state()
                record.line(f"status {known}")
                if known == "reverted":
                    drain_at = time.monotonic() + DRAIN_AFTER_S
            if drain_at and time.monotonic() > drain_at and new[0].state == "ready":
                record.line("platform: the engines of v2 drain")
                for engine in new:
                    engine.drain()
            await asyncio.sleep(0.05)
        for task in tasks:
            task.cancel()
        await asyncio.sleep(2.2)
        before, asked_before = clients.served(begun, fault_at)
        after, asked_after = clients.served(back_at + RECOVERY_S, back_at + RECOVERY_S + JUDGED_S)
        text = (f"served before the fault {before} of {asked_before}; later than {RECOVERY_S:.0f} s after the machines were back "
                f"{after} of {asked_after}, {LEAST_SHARE:.0%} is the least")
        record.line(text)
        print(text)
        if before < LEAST_SHARE * asked_before:
            return NOT_RUN
        return BROKEN if after < LEAST_SHARE * asked_after else HELD
    finally:
        world.close()


main(play, pathlib.Path(__file__).parent)
