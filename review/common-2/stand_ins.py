"""Stand-ins of the platform, the engines and the clients, and the start of real nodes, for the scripts of this review.

Everything runs on loopback addresses. The nodes are started with the run line of deploy/system.toml, each as a process of
its own with a settings file of its own. Needs only Python's standard library."""

import asyncio
import base64
import itertools
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
HELD, BROKEN, NOT_RUN = 0, 1, 2
HEARTBEAT_S = 1.2
CASE_LIMIT_S = 110
DRAIN_S = 3.0
# A run draws its ports from a range of its own, so that cases that run at once hardly meet.
PORTS_OF_A_RUN = 300
FIRST_PORT = 12000 + PORTS_OF_A_RUN * (os.getpid() % 60)


def with_trouble():
    return os.environ.get("TROUBLE", "1") != "0"


handed_out = set()


def free_port(ip="127.0.0.1"):
    """A port below the ephemeral range that nothing listens at and that wasn't given out before."""
    while True:
        port = FIRST_PORT + random.randrange(PORTS_OF_A_RUN)
        if port in handed_out:
            continue
        with socket.socket() as probe:
            try:
                probe.bind((ip, port))
                handed_out.add(port)
                return port
            except OSError:
                continue


class Record:
    """Writes record.txt of a case: one line an event, with the seconds since the start."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def line(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


# --- HTTP/1.1


async def read_head(reader):
    """Returns the first line and the headers (lower-case names, in order); None at the end of the channel."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = raw[:-4].decode("latin-1").split("\r\n")
    headers = []
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers.append((name.strip().lower(), value.strip()))
    return lines[0], headers


def header(headers, name, default=""):
    return next((value for key, value in headers if key == name), default)


async def read_body(reader, headers, until_end=False):
    if header(headers, "transfer-encoding").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            piece = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += piece[:-2]
    if header(headers, "content-length"):
        return await reader.readexactly(int(header(headers, "content-length")))
    return await reader.read(-1) if until_end else b""


def response(status, headers, body=b"", reason="Status"):
    lines = [f"HTTP/1.1 {status} {reason}"] + [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class HttpServer:
    """Serves one request at a time on each channel."""

    async def listen(self, ip="127.0.0.1"):
        self.server = await asyncio.start_server(self._serve, ip, 0, limit=8 * 1024 * 1024)
        self.ip, self.port = self.server.sockets[0].getsockname()[:2]
        self.address = f"{self.ip}:{self.port}"
        return self

    async def _serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                line, headers = head
                method, target, _ = line.split(" ", 2)
                body = await read_body(reader, headers)
                if not await self.answer(method, target, headers, body, reader, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()


class Store(HttpServer):
    """The platform's store: tables of rows, conditional transactions, the feed of changes."""

    def __init__(self):
        self.rows = {}
        self.version = 0
        self.era = 1
        self.changed = asyncio.Event()
        self.is_away = False
        self.back_up()

    def _bump(self):
        self.version += 1
        self.changed.set()
        self.changed = asyncio.Event()
        return self.version

    def put(self, table, key, value):
        text = json.dumps(value)
        self.rows[(table, key)] = [text, self._bump(), False]

    def drop(self, table, key):
        if (table, key) in self.rows and not self.rows[(table, key)][2]:
            self.rows[(table, key)] = ["", self._bump(), True]

    def get(self, table, key):
        row = self.rows.get((table, key))
        return None if row is None or row[2] else json.loads(row[0])

    def back_up(self):
        """Keeps a copy, as a backup does."""
        self.copied = ({name: list(row) for name, row in self.rows.items()}, self.version, time.monotonic())

    def go_away(self):
        self.is_away = True

    def restore(self):
        """Comes back from the last copy: later versions are given out again, and what the operator and the engines wrote since
        is written again. Returns the age of the copy in seconds."""
        lost, (rows, version, copied_at) = self.rows, self.copied
        self.rows, self.version = {name: list(row) for name, row in rows.items()}, version
        self.era += 1
        for name, (text, written, gone) in sorted(lost.items(), key=lambda entry: entry[1][1]):
            if written > version and name[0] in ("op", "servers"):
                self.rows[name] = [text, self._bump(), gone]
        self.is_away = False
        return time.monotonic() - copied_at

    def _select(self, table, after, dropped, first="", last=""):
        found = []
        for (name, key), (text, version, gone) in sorted(self.rows.items()):
            if name != table or version <= after or (gone and not dropped) or key < first or (last and key >= last):
                continue
            row = {"table": table, "part": "", "key": key, "ver": version, "value": base64.b64encode(text.encode()).decode()}
            if gone:
                row["tombstone"] = True
            found.append(row)
        return found

    def _transact(self, body):
        failed = []
        for item in body.get("expectedRev", []):
            row = self.rows.get((item["table"], item["key"]))
            version = 0 if row is None or row[2] else row[1]
            if version != item["ver"]:
                failed += self._select(item["table"], 0, False, item["key"], item["key"] + "\x01")
                return 412, {"rows": failed}
        version = self._bump()
        for item in body.get("writes", []):
            self.rows[(item["table"], item["key"])] = [base64.b64decode(item["value"]).decode(), version, False]
        for item in body.get("remove", []):
            self.rows[(item["table"], item["key"])] = ["", version, True]
        return 200, {}

    async def answer(self, method, target, headers, body, reader, writer):
        path, _, query = target.partition("?")
        args = dict(urllib.parse.parse_qsl(query))
        await asyncio.sleep(0.004)
        if self.is_away:
            return False
        status, answer = 404, {}
        if path == "/v1/rows-tx":
            status, answer = self._transact(json.loads(body))
        elif path == "/v1/rows-get":
            rows = self._select(args["table"], 0, False, args.get("from", ""), args.get("to", ""))
            limit = min(int(args.get("limit", "500") or 500), 500)
            status, answer = 200, {"rows": rows[:limit], "hasMore": len(rows) > limit}
        elif path == "/v1/rows-feed":
            after, end = int(args.get("sinceRev", "0")), time.monotonic() + int(args.get("waitMs", "0")) / 1000
            while True:
                rows, waiting = self._select(args["table"], after, True), self.changed
                left = end - time.monotonic()
                if rows or left <= 0 or after > self.version:
                    break
                try:
                    await asyncio.wait_for(waiting.wait(), left)
                except asyncio.TimeoutError:
                    pass
            # A version that a restored copy doesn't have.
            status, answer = (410, {}) if after > self.version else (200, {"rows": sorted(rows, key=lambda row: row["ver"])})
        answer.update(ver=self.version, nowMs=int(time.monotonic() * 1000))
        writer.write(response(status, [("Content-Type", "application/json"), ("Store-Era", self.era)], json.dumps(answer).encode()))
        await writer.drain()
        return True


class Cloud(HttpServer):
    """Accepts usage reports and orders of engines; it starts no engines."""

    def __init__(self):
        self.calls = []
        self.fences = {}

    async def answer(self, method, target, headers, body, reader, writer):
        holder, fence = header(headers, "x-filbertreel-duty-holder"), int(header(headers, "x-filbertreel-fence-token", "0"))
        parsed = json.loads(body)
        subject = "usage" if target == "/usage" else f"scale {parsed.get('service')} {parsed.get('zone')}"
        status = 409 if fence < self.fences.get(subject, 0) else 200
        if status == 200:
            self.fences[subject] = fence
        self.calls.append((time.monotonic(), subject, holder, fence, status, parsed))
        writer.write(response(status, [("Content-Type", "application/json")], b"{}" if status == 200 else b'{"error":"fence"}'))
        await writer.drain()
        return True


class Engine(HttpServer):
    """An engine: it registers itself, queues a few requests beyond its slots and rejects the others."""

    numbers = itertools.count(1)

    def __init__(self, store, service, zone, slots=4, queue=4, work_s=0.1, version="v1"):
        self.store, self.service, self.zone, self.version = store, service, zone, version
        self.slots, self.queue, self.work_s = slots, queue, work_s
        self.id = f"i-{next(self.numbers):04x}{random.randrange(1 << 24):06x}"
        self.born = int(time.time() * 1000)
        self.state, self.sequence = "ready", 0
        self.running, self.waiting = 0, 0
        self.arrivals, self.runs = [], []
        self.gate = asyncio.Semaphore(slots)
        self.connections = set()

    async def start(self, ip="127.0.0.1"):
        await self.listen(ip)
        self.task = asyncio.create_task(self._beat())
        return self

    def entry(self):
        return {"service": self.service, "address": self.address, "zone": self.zone, "version": self.version, "slots": self.slots,
                "state": self.state, "coldRemainingMs": 0, "sequence": self.sequence, "born": self.born}

    def write(self):
        """The stored entry changes only when more than `sequence` does."""
        self.sequence += 1
        known = self.store.get("servers", self.id)
        if known is None or {**known, "sequence": 0} != {**self.entry(), "sequence": 0}:
            self.store.put("servers", self.id, self.entry())

    def drain(self):
        """Reports that it leaves, goes on serving for drainMs and a little longer, and ends."""
        self.state = "draining"
        self.write()
        asyncio.get_running_loop().call_later(DRAIN_S + 1, self.stop)

    async def _beat(self):
        while True:
            self.write()
            await asyncio.sleep(HEARTBEAT_S)

    def stop(self):
        """Ends at once; its entry goes."""
        self.task.cancel()
        self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()
        self.store.drop("servers", self.id)

    def load(self):
        return ("X-Filbertreel-Engine-Load", f"{self.running},{self.waiting},{self.slots}")

    def identity(self, headers):
        leaving = [("Server-Leaving", "1"), ("Connection", "close")] if self.state == "draining" else []
        return [("X-Filbertreel-Attempt-Id", header(headers, "x-filbertreel-attempt-id")), self.load()] + leaving

    async def reject(self, writer, headers, status):
        writer.write(response(status, self.identity(headers) + [("X-Filbertreel-Not-Executed", "1")], b"{}"))
        await writer.drain()
        return True

    async def answer(self, method, target, headers, body, reader, writer):
        self.connections.add(writer)
        try:
            if target == "/healthz":
                writer.write(response(200 if self.state == "ready" else 503, [("X-Filbertreel-Instance-Id", self.id), self.load()]))
                await writer.drain()
                return True
            expected = header(headers, "x-filbertreel-expect-instance")
            if expected and expected != self.id:
                return await self.reject(writer, headers, 421)
            if not header(headers, "x-filbertreel-attempt-id"):
                return await self.reject(writer, headers, 400)
            self.arrivals.append((time.monotonic(), header(headers, "x-filbertreel-attempt-id")))
            if self.running + self.waiting >= self.slots + self.queue:
                return await self.reject(writer, headers, 503)
            self.waiting += 1
            await self.gate.acquire()
            self.waiting -= 1
            self.running += 1
            try:
                run = {"at": time.monotonic(), "id": header(headers, "x-filbertreel-attempt-id"), "tenant": header(headers, "x-filbertreel-tenant"),
                       "tokens": header(headers, "x-filbertreel-token-counts"), "target": target, "engine": self.id, "version": self.version}
                self.runs.append(run)
                return await self.run(run, method, target, headers, body, reader, writer)
            finally:
                self.running -= 1
                self.gate.release()
        finally:
            self.connections.discard(writer)

    async def run(self, run, method, target, headers, body, reader, writer):
        await asyncio.sleep(self.work_s)
        seal = ("X-Filbertreel-Server-Seal", f"{self.id}.{run['id']}")
        writer.write(response(200, self.identity(headers) + [seal, ("Content-Type", "text/plain")], b"x" * 800))
        await writer.drain()
        return self.state == "ready"


class StreamEngine(Engine):
    """Answers with a series of events."""

    def __init__(self, *args, events=6, gap_s=0.05, **more):
        super().__init__(*args, **more)
        self.events, self.gap_s = events, gap_s

    async def run(self, run, method, target, headers, body, reader, writer):
        await asyncio.sleep(self.work_s)
        seal = ("X-Filbertreel-Server-Seal", f"{self.id}.{run['id']}")
        head = ["HTTP/1.1 200 OK"] + [f"{name}: {value}" for name, value in self.identity(headers) + [seal, ("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked")]]
        writer.write(("\r\n".join(head) + "\r\n\r\n").encode())
        after = header(headers, "last-event-id")
        for number in range(int(after) + 1 if after else 0, self.events):
            event = f"id: {number}\ndata: {self.id} {number}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
            await asyncio.sleep(self.gap_s)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


# --- Nodes


class Node:
    """A real node: its settings file and its process, which a case starts and ends."""

    def __init__(self, folder, name, ip, ports, zone, zones, store, cloud, settings=None):
        self.folder, self.name, self.ip, self.ports, self.zone, self.zones = folder, name, ip, ports, zone, zones
        self.store, self.cloud, self.settings = store, cloud, settings or {}
        self.path = pathlib.Path(folder) / f"{name}.conf"
        self.log = open(pathlib.Path(folder) / f"{name}.log", "ab")
        self.process = None
        self.front = f"{ip}:{ports['front']}"

    def write_settings(self, first):
        values = {
            "nodeName": self.name, "role": "node", "machineClass": "front", "serves": "front,directory", "ip": self.ip,
            "zone": self.zone, "region": self.zones[self.zone], **{f"zones.{zone}": region for zone, region in self.zones.items()},
            "listen.front": self.front, "listen.ready": f"{self.ip}:{self.ports['ready']}",
            "listen.directory": f"{self.ip}:{self.ports['directory']}", "internalPorts": f"{self.ports['peer']},{self.ports['metrics']}",
            "bootstrap": "true" if first else "false", "inTolerance": "false", "limits.cpuShare": 0.25, "limits.cores": 1,
            "limits.memoryMb": 260, "limits.fileDescriptors": 4100, "limits.linkMbps": 1000.0, "limits.diskMb": 0,
            "discovery": "platform", "entry": "directory", "heartbeatMs": int(HEARTBEAT_S * 1000),
            "contracts": "base,drain,config,cost,retry,recover,engine,stream,tenants,quota,leader,rollout,platform",
            "faultTolerance.machines": 1, "faultTolerance.zones": 0, "faultTolerance.regions": 0, "bounds.seedLagS": 3,
            "bounds.reuseAfterS": 2, "bounds.contactMs": 4000, "bounds.ackMs": 5000, "bounds.catchUpS": 4, "bounds.drainMs": 3000,
            "bounds.graceS": 8, "bounds.lossSlackMs": 200, "bounds.configMs": 3000, "bounds.regressSlackMs": 250,
            "bounds.outerMs": 6000, "bounds.strictRevoke": "false", "bounds.revokeMs": 5000, "bounds.retryBudgetRatio": 0.2,
            "bounds.budgetWindowS": 10, "bounds.retrySlack": 52, "bounds.quotaWindowS": 8, "bounds.quotaOvershoot": 0.1,
            "bounds.quotaSlack": 110000, "bounds.requireFence": "true", "bounds.leaseMs": 3000, "bounds.thawMs": 300,
            "bounds.windowS": 5, "bounds.usageTolerance": 0.05, "bounds.usageLateS": 10, "bounds.exposureShare": 0.1,
            "bounds.exposureSlack": 50, "bounds.rollbackMs": 5000, "bounds.recoveryS": 12, "bounds.passMs": 400,
            "bounds.reuseWindowS": 9.9, "bounds.ttl_max_s": 5, "provider.address": self.store.address, "provider.form": "table",
            "provider.writesPerS": 400, "provider.readsPerS": 2000, "provider.txMs": 5.0, "provider.partitionWritesS": 200,
            "provider.rowBytes": 65536, "provider.across": "false", "provider.historyS": 20, "provider.blobBytes": 8388608,
            "provider.blobMs": 25.0, "provider.blobMbS": 80.0, "cloud.address": self.cloud.address, "cloud.perS": 50.0,
            "cloud.duties": "usage,autoscale", "cloud.dutyPerS": 50.0}
        values.update(self.settings)
        self.path.write_text("".join(f"{key}={value}\n" for key, value in values.items()))

    def start(self, first=False):
        self.write_settings(first)
        command = re.search(r'^run = "(.*)"$', (ROOT / "deploy" / "system.toml").read_text(), re.MULTILINE).group(1).split(" ")
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["FILBERTREEL_NODE_FILE"] = str(self.path)
        self.process = subprocess.Popen(command, cwd=ROOT, env=environment, stdin=subprocess.DEVNULL, stdout=self.log, stderr=self.log)

    def signal(self, number):
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self):
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process:
            self.process.wait()

    def has_ended(self):
        return self.process is not None and self.process.poll() is not None

    def resident_mb(self):
        try:
            for line in open(f"/proc/{self.process.pid}/status"):
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) / 1024
        except (OSError, ProcessLookupError):
            pass
        return 0

    async def is_ready(self):
        answer = await call(self.ip, self.ports["ready"], "GET", "/v1/readyz", [], timeout=1)
        return answer is not None and answer["status"] == 200


class World:
    """The store, the cloud and the nodes of a small deployment."""

    def __init__(self, record, zones):
        self.record, self.zones = record, zones
        self.folder = tempfile.mkdtemp(prefix="filbertreel-review-")
        self.nodes, self.engines = [], []

    async def open(self, nodes_per_zone=2, settings=None):
        self.store = await Store().listen()
        self.cloud = await Cloud().listen()
        places = [zone for zone in self.zones for _ in range(nodes_per_zone)]
        ports = [{name: free_port() for name in ("front", "ready", "directory", "peer", "metrics")} for _ in places]
        for number, zone in enumerate(places):
            self.nodes.append(Node(self.folder, f"front-{zone}-{number}", "127.0.0.1", ports[number], zone, self.zones, self.store, self.cloud, settings))

    def start_nodes(self):
        for node in self.nodes:
            node.start(first=True)

    async def wait_ready(self, limit_s=20):
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            if all([await node.is_ready() for node in self.nodes]):
                return True
            await asyncio.sleep(0.1)
        return False

    def close(self):
        for node in self.nodes:
            node.kill()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print("kept", self.folder)


# --- Clients


async def call(ip, port, method, target, headers, body=b"", timeout=10.0):
    """Sends one request on a channel of its own. Returns status, headers and body; None without a whole answer."""
    async def exchange():
        reader, writer = await asyncio.open_connection(ip, port, limit=8 * 1024 * 1024)
        try:
            lines = [f"{method} {target} HTTP/1.1"] + [f"{name}: {value}" for name, value in headers]
            if body or method == "POST":
                lines.append(f"Content-Length: {len(body)}")
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            await writer.drain()
            head = await read_head(reader)
            if head is None:
                return None
            return {"status": int(head[0].split(" ")[1]), "headers": head[1], "body": await read_body(reader, head[1], True)}
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
        return None


async def resolve(world, name, zone):
    """Asks the directories, nearest first. Returns addresses; empty without an answer."""
    near = sorted(world.nodes, key=lambda node: (node.zone != zone, world.zones[node.zone] != world.zones[zone], random.random()))
    for node in near[:3]:
        query = urllib.parse.urlencode({"name": name, "region": world.zones[zone], "zone": zone})
        answer = await call(node.ip, node.ports["directory"], "GET", f"/v1/resolve?{query}", [], timeout=1)
        if answer and answer["status"] == 200:
            return json.loads(answer["body"])["addresses"]
    return []


def new_id():
    return f"{random.getrandbits(64):016x}"


def main(play, folder):
    """Runs a case and exits with its result; ends all processes whatever happens."""
    record = Record(folder)
    try:
        result = asyncio.run(asyncio.wait_for(play(record), CASE_LIMIT_S))
    except Exception as error:  # The case could not run.
        record.line(f"could not run: {error!r}")
        print(f"could not run: {error!r}")
        result = NOT_RUN
    record.line(f"result {result}")
    sys.exit(result)
