"""A stand-in of the users' clients: they ask the directory where to connect and send requests to nodes."""

import asyncio
import json
import random
import time
from dataclasses import dataclass
from typing import Optional

from . import http1
from .world import HOST, KEY, REGIONS, get


@dataclass
class Attempt:
    """One client attempt, as the client saw it."""

    id: str
    route: str
    node: str
    sent: float = 0.0  # When its last byte was sent; zero if no channel could be opened.
    ended: float = 0.0
    response: Optional[http1.Message] = None
    gave_up: bool = False  # The client's own time was over.

    @property
    def status(self):
        return self.response.status if self.response else 0

    @property
    def is_cut(self):
        """The channel ended without a complete answer."""
        return self.sent > 0 and not self.gave_up and (self.response is None or not self.response.is_complete)


def request_bytes(method, target, attempt, budget_ms, headers=(), body=b"", key=KEY):
    lines = [f"{method} {target} HTTP/1.1", f"Host: {HOST}", f"X-Filbertreel-Attempt-Id: {attempt}"]
    lines += [f"X-Filbertreel-Time-Budget: {budget_ms}", f"Authorization: Bearer {key}"]
    lines += [f"{name}: {value}" for name, value in headers]
    if method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Channel:
    """A channel to a node that may carry one request after the other."""

    def __init__(self, world, address):
        self.world = world
        self.address = address
        self.reader = None
        self.writer = None

    async def open(self):
        host, port = self.address.rsplit(":", 1)
        self.reader, self.writer = await asyncio.wait_for(asyncio.open_connection(host, int(port), limit=8 * 1024 * 1024), 1)

    async def send(self, method, route, budget_ms, headers=(), body=b"", target=None, on_bytes=None):
        """Sends a request and reads its answer. Raises OSError or TimeoutError if no channel can be opened."""
        if self.writer is None:
            await self.open()
        attempt = Attempt(self.world.new_attempt(), route, self.address)
        self.writer.write(request_bytes(method, target or f"/{route}/x", attempt.id, budget_ms, headers, body))
        attempt.sent = time.monotonic()
        self.world.note(f"sent {attempt.id} {route} to {self.address}")
        try:
            attempt.response = await asyncio.wait_for(http1.read_response(self.reader, on_bytes), budget_ms / 1000)
        except asyncio.TimeoutError:
            attempt.gave_up = True
        attempt.ended = time.monotonic()
        outcome = "client's time is over" if attempt.gave_up else "channel ended" if attempt.is_cut else str(attempt.status)
        self.world.note(f"answered {attempt.id}: {outcome} after {(attempt.ended - attempt.sent) * 1000:.0f} ms")
        return attempt

    def must_close(self, attempt):
        return attempt.response is None or not attempt.response.is_complete or "close" in attempt.response.header("Connection").lower()

    def close(self):
        if self.writer:
            self.writer.close()
            self.writer = None


class Client:
    """Keeps an answer of the directory for its time, three times as long if patient, and longer while it gets no new one."""

    def __init__(self, world, zone, is_patient=False):
        self.world = world
        self.zone = zone
        self.factor = 3 if is_patient else 1
        self.addresses = []
        self.valid_until = 0.0
        self.attempts = []

    async def resolve(self):
        if time.monotonic() < self.valid_until:
            return
        nearest = sorted(self.world.nodes, key=lambda node: node.zone != self.zone)
        for node in nearest[:3]:
            target = f"/v1/resolve?name={HOST}&region={REGIONS[self.zone]}&zone={self.zone}"
            try:
                answer = await asyncio.wait_for(get(node.directory, target), 1)
                if answer is None or answer.status != 200:
                    continue
                body = json.loads(answer.body)
            except (OSError, asyncio.TimeoutError, ValueError):
                continue
            if body.get("addresses"):
                if body["addresses"] != self.addresses:
                    self.world.note(f"directory of {node.name}: {body['addresses']}")
                self.addresses = body["addresses"]
                self.valid_until = time.monotonic() + self.factor * body["ttlS"]
                return

    async def request(self, method, route, budget_ms, headers=(), body=b"", retries=1):
        """Sends a request on a new channel; a promise that it has not run is followed by a retry."""
        failed = set()
        for _ in range(retries + 1):
            await self.resolve()
            choices = [address for address in self.addresses if address not in failed] or self.addresses
            if not choices:
                return
            address = random.choice(choices)
            channel = Channel(self.world, address)
            try:
                attempt = await channel.send(method, route, budget_ms, headers, body)
            except (OSError, asyncio.TimeoutError):
                failed.add(address)
                continue
            finally:
                channel.close()
            self.attempts.append(attempt)
            if attempt.status not in (429, 503):
                return
            failed.add(address)
            await asyncio.sleep(min(float(attempt.response.header("Retry-After", "0") or 0), budget_ms / 3000))
