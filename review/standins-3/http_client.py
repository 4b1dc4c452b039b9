"""Minimal HTTP/1.1 calls on asyncio, for the stand-ins of review part 3."""

import asyncio


class Answer:
    """A response; status is None if the connection ended without one."""

    def __init__(self, status=None, headers=None, body=b'', complete=False):
        self.status = status
        self.headers = headers or {}
        self.body = body
        self.complete = complete


def encode(method, target, headers, body):
    """Return a request with a length as bytes."""
    lines = [f'{method} {target} HTTP/1.1']
    lines += [f'{name}: {value}' for name, value in headers]
    lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join(lines).encode('latin-1') + b'\r\n\r\n' + body


async def read_answer(reader):
    """Return the Answer on a connection; the response has a length."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, OSError):
        return Answer()
    lines = head.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        name, separator, value = line.partition(':')
        if separator:
            headers[name.strip().lower()] = value.strip()
    answer = Answer(int(lines[0].split(' ')[1]), headers)
    try:
        length = int(headers.get('content-length', 0))
        answer.body = await reader.readexactly(length)
        answer.complete = True
    except (asyncio.IncompleteReadError, OSError):
        pass
    return answer


async def exchange(host, port, method, target, headers=(), body=b''):
    """Send a request on a new connection and return its Answer."""
    try:
        reader, writer = await asyncio.open_connection(host, port)
    except OSError:
        return Answer()
    try:
        fields = [('Host', f'{host}:{port}'), *headers]
        if any(name == 'Host' for name, _ in headers):
            fields = list(headers)
        writer.write(encode(method, target, fields, body))
        return await read_answer(reader)
    except OSError:
        return Answer()
    finally:
        writer.close()


async def call(host, port, method, target, body=b''):
    """Send a JSON call on a new connection and return its status."""
    headers = [('Content-Type', 'application/json')]
    answer = await exchange(host, port, method, target, headers, body)
    if answer.status is None:
        raise OSError('no answer')
    return answer.status


class Stream:
    """What a client got of a stream.

    Attributes:
        status: HTTP status, None without a response.
        headers: Headers of the response.
        events: Number and data of each complete event.
        complete: Whether the response is complete.
        first_at: Time of the first event by the monotonic clock, or None.
    """

    def __init__(self):
        self.status = None
        self.headers = {}
        self.events = []
        self.complete = False
        self.first_at = None


async def read_stream(host, port, target, headers, body, gap_s, ends_at):
    """Send a request for a stream and read it.

    The client leaves after a pause of gap_s, or at the time ends_at.
    """
    loop = asyncio.get_running_loop()
    stream = Stream()
    try:
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(host, port), 1.0
        )
    except (OSError, TimeoutError):
        return stream
    try:
        writer.write(encode('POST', target, headers, body))

        async def read(what):
            left_s = min(gap_s, ends_at - loop.time())
            return await asyncio.wait_for(what, max(0.0, left_s))

        head = (await read(reader.readuntil(b'\r\n\r\n'))).decode('latin-1')
        lines = head.split('\r\n')
        stream.status = int(lines[0].split(' ')[1])
        for line in lines[1:]:
            name, separator, value = line.partition(':')
            if separator:
                stream.headers[name.strip().lower()] = value.strip()
        if stream.status != 200:
            return stream
        text = b''
        while True:
            size = int(await read(reader.readuntil(b'\r\n')), 16)
            text += (await read(reader.readexactly(size + 2)))[:-2]
            if size == 0:
                stream.complete = not text
                return stream
            while b'\n\n' in text:
                event, text = text.split(b'\n\n', 1)
                fields = dict(
                    line.split(': ', 1)
                    for line in event.decode().split('\n')
                    if ': ' in line
                )
                if stream.first_at is None:
                    stream.first_at = loop.time()
                stream.events.append((int(fields['id']), fields['data']))
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return stream
    finally:
        writer.close()
