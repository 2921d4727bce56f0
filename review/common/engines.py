"""A stand-in of an engine: it registers in the store, serves requests and says which ones it has run."""

import asyncio
import time

from . import http1


class Engine:
    """Behaves like a sound engine; a case overrides `run` to change how it works on a request."""

    def __init__(self, world, name, service, zone, address, slots=6, version="v1"):
        self.world = world
        self.id = name
        self.service = service
        self.zone = zone
        self.address = address
        self.slots = slots
        self.version = version
        self.running = 0
        self.arrivals = []  # (time, attempt id)
        self.ran = []  # (time, attempt id) of requests that it began to work on
        self.finished = set()  # attempt ids with a complete answer
        self.dropped = []  # attempt ids whose channel closed during the work
        self.born = int(time.time() * 1000)
        self._server = None
        self._open = set()

    async def start(self):
        self._server = await http1.serve(self.address, self._tracked)
        self.register()

    def register(self, state="ready"):
        self.world.store.put("servers", self.id, {
            "service": self.service, "address": self.address, "zone": self.zone, "version": self.version, "slots": self.slots,
            "state": state, "coldRemainingMs": 0, "sequence": 1, "born": self.born})

    def stop(self):
        """It ends at once: its entry is removed, and its channels are closed."""
        self.world.store.remove("servers", self.id)
        self._server.close()
        for writer in list(self._open):
            writer.transport.abort()

    async def _tracked(self, reader, writer):
        self._open.add(writer)
        try:
            await self._connection(reader, writer)
        finally:
            self._open.discard(writer)

    def head(self, request):
        return [
            ("X-Filbertreel-Attempt-Id", request.header("X-Filbertreel-Attempt-Id")),
            ("X-Filbertreel-Server-Seal", "seal." + self.id),
            ("X-Filbertreel-Engine-Load", f"{self.running},0,{self.slots}"),
            ("Keep-Alive", "timeout=5")]

    async def _connection(self, reader, writer):
        while True:
            request = await http1.read_request(reader)
            if request is None:
                return
            attempt = request.header("X-Filbertreel-Attempt-Id")
            expected = request.header("X-Filbertreel-Expect-Instance")
            if expected and expected != self.id:
                writer.write(http1.response_bytes(421, [("X-Filbertreel-Instance-Id", self.id)]))
                await writer.drain()
                continue
            self.arrivals.append((time.monotonic(), attempt))
            self.world.note(f"engine {self.id} got {attempt}")
            self.running += 1
            self.ran.append((time.monotonic(), attempt))
            work = asyncio.ensure_future(self.run(request, writer))
            closed = asyncio.ensure_future(reader.read(1))
            await asyncio.wait({work, closed}, return_when=asyncio.FIRST_COMPLETED)
            self.running -= 1
            if not work.done():
                # The channel closed: the engine drops the request.
                work.cancel()
                self.dropped.append(attempt)
                self.world.note(f"engine {self.id} dropped {attempt}: channel closed during the work")
                return
            closed.cancel()
            await asyncio.wait({closed})
            if work.exception():
                self.dropped.append(attempt)
                return
            self.finished.add(attempt)
            if not work.result():
                return

    async def run(self, request, writer):
        """Answers a request. Returns whether the channel is kept."""
        await asyncio.sleep(0.03)
        writer.write(http1.response_bytes(200, self.head(request), b"done by " + self.id.encode()))
        await writer.drain()
        return True
