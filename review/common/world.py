"""A small deployment on loopback: the platform's stand-ins, and nodes started with the command of the deploy file."""

import asyncio
import itertools
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

from . import http1
from .platform import Cloud, Store

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))

# Bounds of SYSTEM.md's first sheet, in the names of DEPLOY.md.
BOUNDS = {
    "seedLagS": 3, "reuseAfterS": 2, "contactMs": 4000, "ackMs": 5000, "catchUpS": 4, "drainMs": 3000, "graceS": 8,
    "lossSlackMs": 200, "configMs": 3000, "regressSlackMs": 250, "outerMs": 6000, "strictRevoke": "false",
    "revokeMs": 5000, "retryBudgetRatio": 0.2, "budgetWindowS": 10, "retrySlack": 52, "quotaWindowS": 8,
    "quotaOvershoot": 0.1, "quotaSlack": 110000, "requireFence": "true", "leaseMs": 3000, "thawMs": 300, "windowS": 5,
    "usageTolerance": 0.05, "usageLateS": 10, "exposureShare": 0.1, "exposureSlack": 50, "rollbackMs": 5000,
    "recoveryS": 12, "passMs": 400, "reuseWindowS": 9.9, "ttl_max_s": 5}

ZONES = ["derby-depot", "walsall-depot", "buxton-depot"]
REGIONS = {"derby-depot": "east-mids", "walsall-depot": "west-mids", "buxton-depot": "north-mids"}
HOST = "ficu95.example"
KEY = "i9n73hh2b9wu3fexd9dn"
TENANT = "hule930"


class CannotRun(Exception):
    """The case couldn't be played: the script exits with 2."""


def free_ports(hosts, count):
    """Returns ports that are free on all hosts."""
    found = []
    for port in random.sample(range(20000, 32000), 2000):
        probes = []
        try:
            for host in hosts:
                probe = socket.socket()
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                probe.bind((host, port))
                probes.append(probe)
            found.append(port)
        except OSError:
            pass
        finally:
            for probe in probes:
                probe.close()
        if len(found) == count:
            return found
    raise CannotRun("no free ports")


class Node:
    """A node's machine: its address, its settings file and its process."""

    def __init__(self, world, name, ip, zone, ports):
        self.world = world
        self.name = name
        self.ip = ip
        self.zone = zone
        self.front, self.ready, self.directory = (f"{ip}:{port}" for port in ports[:3])
        self.peer_ports = ports[3], ports[4]
        self.folder = os.path.join(world.folder, name)
        os.mkdir(self.folder)
        self.process = None
        self.starts = 0

    def start(self):
        path = os.path.join(self.folder, "boot.conf")
        with open(path, "w", encoding="ascii") as file:
            file.write(self._settings())
        self.starts += 1
        log = open(os.path.join(self.folder, f"log.{self.starts}"), "wb")
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["FILBERTREEL_NODE_FILE"] = path
        self.process = subprocess.Popen(self.world.command, cwd=ROOT, env=environment, stdout=log, stderr=log)
        log.close()
        self.world.note(f"node {self.name} started at {self.front}")

    def _settings(self):
        lines = [
            f"nodeName={self.name}", "role=node", "machineClass=front", "serves=front,directory", f"ip={self.ip}",
            f"zone={self.zone}", f"region={REGIONS[self.zone]}"]
        lines += [f"zones.{zone}={REGIONS[zone]}" for zone in ZONES]
        lines += [
            f"listen.front={self.front}", f"listen.ready={self.ready}", f"listen.directory={self.directory}",
            f"internalPorts={self.peer_ports[0]},{self.peer_ports[1]}", "seeds=",
            f"bootstrap={'true' if self.starts == 0 else 'false'}", "limits.cpuShare=0.25", "limits.cores=1",
            "limits.memoryMb=260", "limits.fileDescriptors=4100", "limits.linkMbps=1000.0", "discovery=platform",
            "entry=directory", "heartbeatMs=1200"]
        lines += [f"bounds.{name}={value}" for name, value in BOUNDS.items()]
        lines += [
            f"provider.address={self.world.store.address}", "provider.form=table", "provider.writesPerS=400",
            "provider.readsPerS=2000", "provider.txMs=5.0", "provider.historyS=20",
            f"cloud.address={self.world.cloud.address}", "cloud.perS=50.0", "cloud.duties=usage,autoscale", "cloud.dutyPerS=50.0"]
        return "\n".join(lines) + "\n"

    def signal(self, number):
        self.world.note(f"node {self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    async def is_ready(self):
        try:
            answer = await asyncio.wait_for(get(self.ready, "/v1/readyz"), 1)
        except (OSError, asyncio.TimeoutError):
            return False
        return answer is not None and answer.status == 200


async def get(address, target):
    host, port = address.rsplit(":", 1)
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(f"GET {target} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".encode())
        return await http1.read_response(reader)
    finally:
        writer.close()


class World:
    """The deployment of one case, and its record."""

    def __init__(self, record_path, nodes=3, loopbacks=40):
        self.started = time.monotonic()
        self.record = open(record_path, "w", encoding="utf-8")
        self.folder = tempfile.mkdtemp(prefix="filbertreel-review-")
        with open(os.path.join(ROOT, "deploy", "system.toml"), encoding="utf-8") as file:
            self.command = re.search(r'^run = "(.*)"$', file.read(), re.MULTILINE).group(1).split(" ")
        self.command[0] = os.path.join(ROOT, self.command[0])
        if not os.path.exists(self.command[0]):
            raise CannotRun("the deploy file's build has not run")
        network = random.randint(10, 250)
        self.hosts = [f"127.{network}.{random.randint(1, 250)}.{number}" for number in range(1, loopbacks + 1)]
        self.ports = free_ports(self.hosts, 8)
        self._next_host = iter(self.hosts)
        self.store = Store(self.new_address(5))
        self.cloud = Cloud(self.new_address(6))
        self.nodes = [
            Node(self, f"front-{ZONES[n % 3]}-{n // 3 + 1}", next(self._next_host), ZONES[n % 3], self.ports)
            for n in range(nodes)]
        self.engines = []
        self._attempts = itertools.count(random.getrandbits(48) << 12)

    def new_address(self, port=7):
        return f"{next(self._next_host)}:{self.ports[port]}"

    def new_attempt(self):
        return f"{next(self._attempts):016x}"

    def now(self):
        return time.monotonic() - self.started

    def note(self, text):
        self.record.write(f"{self.now():8.3f} {text}\n")

    async def start(self, manifest):
        """Starts the platform, the engines and the nodes, and waits until all nodes are ready."""
        await self.store.start()
        await self.cloud.start()
        self.store.put("op", "config", manifest)
        for engine in self.engines:
            await engine.start()
        for node in self.nodes:
            node.start()
        for _ in range(150):
            if all([await node.is_ready() for node in self.nodes]):
                break
            await asyncio.sleep(0.1)
        else:
            raise CannotRun("not all nodes became ready")
        # Traffic starts 10 s after the machines do.
        await asyncio.sleep(max(0.0, 10 - self.now()))

    def stop(self):
        for node in self.nodes:
            if node.is_running():
                node.process.kill()
            if node.process:
                node.process.wait()
        self.record.close()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def manifest(routes, services, version=1):
    return {
        "version": version, "routes": routes, "services": services,
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
        "tenants": [{"name": TENANT, "apiKeys": [KEY], "priority": 1, "unit": "tokens", "plainTokens": 200, "perS": 1230100, "burst": 1230100}]}


def route(name, kind, service, timeout_ms, target_ms, attempts=1, resumable=False):
    item = {
        "name": name, "hostname": HOST, "prefix": f"/{name}/", "routeType": kind, "timeoutMs": timeout_ms, "targetLatencyMs": target_ms,
        "priority": 1, "service": service, "maxAttempts": attempts, "public": False, "sticky": kind == "streaming", "resumable": resumable}
    if kind == "streaming":
        item["gapTargetMs"] = 1000
    return item


def plain_service(name):
    return {"name": name, "healthPath": "/healthz", "maxConnections": 96, "protocol": "h1", "tls": False}


def run_case(folder, play):
    """Runs play(world) with a time limit and exits with its verdict: 1 broken, 0 held, 2 couldn't run."""

    async def guarded():
        world = None
        try:
            world = World(os.path.join(folder, "record.txt"))
            return await asyncio.wait_for(play(world), 112)
        finally:
            if world:
                world.stop()

    # An end from outside ends the nodes as well.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        broken = asyncio.run(guarded())
    except Exception as error:  # pylint: disable=broad-except
        # Python's own exit code for an exception would read as a broken rule.
        print(f"couldn't run: {error!r}")
        sys.exit(2)
    sys.exit(1 if broken else 0)
