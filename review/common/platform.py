"""Stand-ins of the users' platform: its metadata store and its API for duties."""

import asyncio
import base64
import json
import time
from urllib.parse import parse_qs, urlsplit

from . import http1


class Store:
    """The metadata store. It loses nothing that it has acknowledged, unless it is restored from a copy."""

    def __init__(self, address):
        self.address = address
        self.rows = {}  # (table, part, key) -> (value, version, is_removed)
        self.version = 1
        self.era = None  # The header Store-Era is sent when this is set.
        self.is_down = False
        self.log = []  # (time, node address, path, body)
        self._changed = asyncio.Event()
        self._server = None

    async def start(self):
        self._server = await http1.serve(self.address, self._connection)

    # --- What the operator and the engines write

    def put(self, table, key, value):
        self.version += 1
        self.rows[(table, "", key)] = (json.dumps(value).encode(), self.version, False)
        self._announce()

    def remove(self, table, key):
        if (table, "", key) not in self.rows:
            return
        self.version += 1
        self.rows[(table, "", key)] = (b"", self.version, True)
        self._announce()

    def get(self, table, key):
        row = self.rows.get((table, "", key))
        return None if row is None or row[2] else json.loads(row[0])

    def set_down(self, is_down):
        """While the store is down it answers 503 and has done nothing; waiting calls end as well."""
        self.is_down = is_down
        self._announce()

    # --- Restore from a copy

    def copy(self):
        return dict(self.rows), self.version

    def restore(self, copied):
        rows, version = copied
        self.rows = dict(rows)
        self.version = version
        self.era += 1
        self._announce()

    # --- The protocol

    def _announce(self):
        self._changed.set()
        self._changed = asyncio.Event()

    async def _connection(self, reader, writer):
        while True:
            request = await http1.read_request(reader)
            if request is None:
                return
            status, body = await self._answer(request)
            headers = [("Content-Type", "application/json")]
            if self.era is not None:
                headers.append(("Store-Era", str(self.era)))
            writer.write(http1.response_bytes(status, headers, json.dumps(body).encode()))
            await writer.drain()

    async def _answer(self, request):
        await asyncio.sleep(0.004)
        if self.is_down:
            return 503, {}
        url = urlsplit(request.target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        if url.path == "/v1/rows-tx":
            return self._transact(json.loads(request.body))
        if url.path == "/v1/rows-get":
            return 200, self._stamp(self._get(query))
        if url.path == "/v1/rows-feed":
            return await self._feed(query)
        return 404, {}

    def _stamp(self, body):
        body["ver"] = self.version
        body["nowMs"] = int(time.monotonic() * 1000)
        return body

    def _row(self, name):
        value, version, is_removed = self.rows[name]
        row = {"table": name[0], "part": name[1], "key": name[2], "ver": version, "value": base64.b64encode(value).decode()}
        if is_removed:
            row["tombstone"] = True
        return row

    def _current_version(self, name):
        row = self.rows.get(name)
        return 0 if row is None or row[2] else row[1]

    def _transact(self, body):
        conditions = [((c["table"], c["part"], c["key"]), c["ver"]) for c in body["expectedRev"]]
        if any(entry["table"] in ("op", "servers") for entry in body["writes"] + body["remove"]):
            return 403, {}
        if any(self._current_version(name) != version for name, version in conditions):
            rows = [self._row(name) for name, _ in conditions if self._current_version(name)]
            return 412, self._stamp({"rows": rows})
        self.version += 1
        for entry in body["writes"]:
            name = (entry["table"], entry["part"], entry["key"])
            self.rows[name] = (base64.b64decode(entry["value"]), self.version, False)
        for entry in body["remove"]:
            name = (entry["table"], entry["part"], entry["key"])
            if name in self.rows:
                self.rows[name] = (b"", self.version, True)
        self._announce()
        return 200, self._stamp({})

    def _get(self, query):
        table, part = query["table"], query.get("part", "")
        first, last = query.get("from", ""), query.get("to")
        names = sorted(n for n in self.rows if n[0] == table and n[1] == part and n[2] >= first)
        names = [n for n in names if (last is None or n[2] < last) and not self.rows[n][2]]
        limit = min(int(query.get("limit", "500")), 500)
        return {"rows": [self._row(n) for n in names[:limit]], "hasMore": len(names) > limit}

    async def _feed(self, query):
        table, since = query["table"], int(query["sinceRev"])
        end = time.monotonic() + int(query.get("waitMs", "0")) / 1000
        while True:
            if self.is_down:
                return 503, {}
            if since > self.version:
                return 410, {}
            names = [n for n in self.rows if n[0] == table and self.rows[n][1] > since]
            left = end - time.monotonic()
            if names or left <= 0:
                rows = [self._row(n) for n in sorted(names, key=lambda n: self.rows[n][1])]
                return 200, self._stamp({"rows": rows})
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Cloud:
    """The platform's API for duties. It checks fence numbers for each duty and subject."""

    def __init__(self, address):
        self.address = address
        self.fences = {}
        self.calls = []  # (time, path, holder, fence, body, status)

    async def start(self):
        await http1.serve(self.address, self._connection)

    async def _connection(self, reader, writer):
        while True:
            request = await http1.read_request(reader)
            if request is None:
                return
            body = json.loads(request.body)
            fence = int(request.header("X-Filbertreel-Fence-Token"))
            subject = (request.target, body.get("service"), body.get("zone"))
            status = 409 if fence < self.fences.get(subject, 0) else 200
            self.fences[subject] = max(fence, self.fences.get(subject, 0))
            holder = request.header("X-Filbertreel-Duty-Holder")
            self.calls.append((time.monotonic(), request.target, holder, fence, body, status))
            answer = b'{"error":"a higher fence was seen"}' if status == 409 else b"{}"
            writer.write(http1.response_bytes(status, [("Content-Type", "application/json")], answer))
            await writer.drain()
