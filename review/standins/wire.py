"""A small HTTP/1.1 server and client for the stand-ins."""

import asyncio
import contextlib
import dataclasses
import json
import socket

REASONS = {
    200: 'OK',
    201: 'Created',
    202: 'Accepted',
    404: 'Not Found',
    409: 'Conflict',
    410: 'Gone',
    412: 'Precondition Failed',
    421: 'Misdirected Request',
    500: 'Internal Server Error',
    503: 'Service Unavailable',
}


_chosen = set()


def free_port(host):
    """Return a port of a loopback address that is free, each time another."""
    while True:
        with socket.socket() as sock:
            sock.bind((host, 0))
            address = sock.getsockname()
        if address not in _chosen:
            _chosen.add(address)
            return address[1]


@dataclasses.dataclass
class Request:
    """A received request; header names are in lower case."""

    method: str
    target: str
    headers: dict
    body: bytes


async def read_headers(reader):
    """Return the headers of a message, names in lower case."""
    headers = {}
    while (line := (await reader.readline()).strip()) != b'':
        name, _, value = line.partition(b':')
        headers[name.decode().strip().lower()] = value.decode().strip()
    return headers


async def read_body_parts(reader, headers):
    """Yield the parts of a body; raises EOFError if it is broken off."""
    if 'chunked' not in headers.get('transfer-encoding', ''):
        yield await reader.readexactly(int(headers.get('content-length', 0)))
        return
    while True:
        # The end of the channel is no end of the chunks.
        size = int((await reader.readline()).split(b';')[0], 16)
        data = await reader.readexactly(size)
        await reader.readline()
        if not size:
            return
        yield data


async def _read_body(reader, headers):
    parts = [part async for part in read_body_parts(reader, headers)]
    return b''.join(parts)


async def _read_request(reader):
    line = await reader.readline()
    if not line.endswith(b'\n'):
        return None
    method, target, _ = line.decode().split()
    headers = await read_headers(reader)
    return Request(method, target, headers, await _read_body(reader, headers))


class Reply:
    """Writes the response to one request."""

    def __init__(self, writer):
        self._writer = writer

    async def send(self, status, body=b'', headers=()):
        """Send a whole response; a body that is no bytes is sent as JSON."""
        if not isinstance(body, bytes):
            body = json.dumps(body).encode()
        lines = [f'HTTP/1.1 {status} {REASONS[status]}']
        lines += [f'{name}: {value}' for name, value in headers]
        lines += [f'Content-Length: {len(body)}', '', '']
        await self.write('\r\n'.join(lines).encode() + body)

    async def write(self, data):
        """Send raw bytes."""
        self._writer.write(data)
        await self._writer.drain()

    def end(self):
        """End the channel after what has been sent."""
        self._writer.close()

    def reset(self):
        """Reset the connection without an answer."""
        self._writer.transport.abort()


class Server:
    """Serves a handler, a coroutine function from Request and Reply.

    A handler is cancelled when the other side closes its connection.
    """

    def __init__(self, host, port, handle):
        self.address = f'{host}:{port}'
        self._host = host
        self._port = port
        self._handle = handle
        self._server = None
        self._writers = set()

    async def start(self):
        """Listen."""
        self._server = await asyncio.start_server(
            self._serve, self._host, self._port, backlog=256
        )

    async def stop(self):
        """Stop listening and close all connections, as the end of a process."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while (request := await _read_request(reader)) is not None:
                await self._handle(request, Reply(writer))
                if request.headers.get('connection') == 'close':
                    break
        except (OSError, EOFError, ValueError):
            pass  # The other side ended the connection.
        finally:
            self._writers.discard(writer)
            writer.close()


@dataclasses.dataclass
class Answer:
    """What a client received; status 0 if no whole answer came."""

    status: int
    headers: dict
    body: bytes


async def call(host, port, method, target, headers, body=b'', timeout_s=10.0):
    """Send one request on a new connection and return the Answer."""
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, port)
            lines = [f'{method} {target} HTTP/1.1']
            lines += [f'{name}: {value}' for name, value in headers]
            lines += [f'Content-Length: {len(body)}', '', '']
            writer.write('\r\n'.join(lines).encode() + body)
            status = int((await reader.readline()).split()[1])
            found = await read_headers(reader)
            return Answer(status, found, await _read_body(reader, found))
    except (OSError, EOFError, ValueError, IndexError, TimeoutError):
        return Answer(0, {}, b'')
    finally:
        if writer is not None:
            with contextlib.suppress(OSError):
                writer.close()
