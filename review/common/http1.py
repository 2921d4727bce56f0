"""A small HTTP/1.1 reader and server on asyncio, for the stand-ins and the clients of the review's cases."""

import asyncio
from dataclasses import dataclass, field


@dataclass
class Message:
    """A request or a response: first line, header lines in order, body."""

    first_line: str
    headers: list = field(default_factory=list)
    body: bytes = b""
    is_complete: bool = True

    def header(self, name, default=""):
        wanted = name.lower()
        for key, value in self.headers:
            if key.lower() == wanted:
                return value
        return default

    @property
    def method(self):
        return self.first_line.split(" ")[0]

    @property
    def target(self):
        return self.first_line.split(" ")[1]

    @property
    def status(self):
        parts = self.first_line.split(" ")
        return int(parts[1]) if len(parts) > 1 and parts[1].isdigit() else 0


async def read_head(reader):
    """Returns a Message without its body, or None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    message = Message(lines[0])
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            message.headers.append((name, value.strip()))
    return message


async def _read_chunks(reader):
    body = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        if size == 0:
            while (await reader.readuntil(b"\r\n")) != b"\r\n":
                pass
            return body
        body += await reader.readexactly(size)
        await reader.readexactly(2)


async def read_request(reader):
    """Returns the next request with its body, or None."""
    message = await read_head(reader)
    if message is None:
        return None
    try:
        if "chunked" in message.header("Transfer-Encoding").lower():
            message.body = await _read_chunks(reader)
        else:
            message.body = await reader.readexactly(int(message.header("Content-Length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return message


async def read_response(reader, on_bytes=None):
    """Reads a response. `is_complete` is False if the connection ended before the framing says that it is complete."""
    message = await read_head(reader)
    if message is None:
        return None
    body = bytearray()

    def take(data):
        body.extend(data)
        if on_bytes:
            on_bytes(data)

    try:
        if "chunked" in message.header("Transfer-Encoding").lower():
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                if size == 0:
                    await reader.readuntil(b"\r\n")
                    break
                take(await reader.readexactly(size))
                await reader.readexactly(2)
        elif message.header("Content-Length"):
            take(await reader.readexactly(int(message.header("Content-Length"))))
        else:
            while data := await reader.read(65536):
                take(data)
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        message.is_complete = False
    message.body = bytes(body)
    return message


def response_bytes(status, headers, body=b"", reason="X"):
    lines = [f"HTTP/1.1 {status} {reason}"] + [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def serve(address, handle_connection):
    """Starts a server that calls handle_connection(reader, writer) for each connection."""

    async def run(reader, writer):
        try:
            await handle_connection(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    host, port = address.rsplit(":", 1)
    return await asyncio.start_server(run, host, int(port), limit=8 * 1024 * 1024)
