"""Minimal HTTP/1.1 server on asyncio, for the stand-ins of review part 3."""

import asyncio
import contextlib


class Request:
    """A request with its body; header names are in lower case."""

    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body


async def read_request(reader):
    """Return the next Request of a connection, None at its end."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode('latin-1').split('\r\n')
    method, target, _ = lines[0].split(' ', 2)
    headers = {}
    for line in lines[1:]:
        name, separator, value = line.partition(':')
        if separator:
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get('content-length', 0))
    try:
        body = await reader.readexactly(length)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Request(method, target, headers, body)


def encode(status, headers, body, reason='Answer'):
    """Return a response with a length as bytes."""
    lines = [f'HTTP/1.1 {status} {reason}']
    lines += [f'{name}: {value}' for name, value in headers]
    lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join(lines).encode('latin-1') + b'\r\n\r\n' + body


class Connection:
    """One accepted connection, as a handler sees it."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer

    async def send(self, data):
        """Send bytes."""
        self.writer.write(data)
        await self.writer.drain()

    def abort(self):
        """Reset the connection."""
        self.writer.transport.abort()

    @property
    def is_closed(self):
        """Whether the peer has closed it."""
        return self.reader.at_eof() or self.writer.is_closing()


async def _serve(handle, reader, writer):
    conn = Connection(reader, writer)
    try:
        while (request := await read_request(reader)) is not None:
            if not await handle(request, conn):
                break
    except (ConnectionError, asyncio.CancelledError):
        pass
    finally:
        with contextlib.suppress(Exception):
            writer.close()


async def start(host, port, handle):
    """Start a server.

    Args:
        host: Address to listen at.
        port: Port to listen at.
        handle: Coroutine function from Request and Connection. It returns
            whether the connection serves further requests.
    """
    return await asyncio.start_server(
        lambda r, w: _serve(handle, r, w), host, port, backlog=512
    )
