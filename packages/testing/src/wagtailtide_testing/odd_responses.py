"""Generator of responses that servers in trouble send.

A response is generated from its framing, its status, where it goes wrong and
how many bytes follow. Tests send each to every reader of responses.
"""

import dataclasses

import anyio

# Bytes of what never ends after which the sender gives up. A reader without a
# bound takes them all.
GIVE_UP_BYTES = 33_554_432

_PIECE_BYTES = 65_536

# What a status line may have in place of a status. None is a final response.
NO_STATUSES = (
    *('000', '001', '099', '600', '999', '1000', '20', '2'),
    *('2x0', '-20', '+200', '', '20O', '\u0662\u0660\u0660'),
)


@dataclasses.dataclass(frozen=True)
class OddResponse:
    """Bytes of a response.

    Attributes:
        name: What is odd about it.
        start: Bytes that are sent once.
        piece: Bytes that are sent without end after them, b'' for none.
    """

    name: str
    start: bytes
    piece: bytes = b''

    async def send(self, write, give_up_bytes=GIVE_UP_BYTES):
        """Send it until the reader closes; return the bytes of the pieces.

        Args:
            write: Coroutine function that sends bytes, and raises an error of
                anyio once the reader has closed.
            give_up_bytes: Bytes after which nothing more is sent.
        """
        sent = 0
        pieces = self.piece * max(1, _PIECE_BYTES // max(1, len(self.piece)))
        try:
            await write(self.start)
            while pieces and sent < give_up_bytes:
                await write(pieces)
                sent += len(pieces)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            pass
        return sent


def encode_head(status, headers, *more):
    """Return a response's head as bytes.

    Args:
        status: Status line after the protocol version, as text.
        headers: Names and values, as bytes.
        more: Further header lines, as bytes.
    """
    lines = [f'HTTP/1.1 {status}'.encode(), *map(b': '.join, headers), *more]
    return b'\r\n'.join([*lines, b'', b''])


def endless_heads(headers=()):
    """Yield the OddResponses of which a part of the head never ends."""
    head = encode_head('200 OK', headers)[:-2]
    yield OddResponse('status line', b'HTTP/1.1 200 ', b'a')
    yield OddResponse('header', head + b'X: ', b'a')
    yield OddResponse('headers', head, b'X: a\r\n')
    yield OddResponse('bytes before the head', b'', b'\r\n')
    yield OddResponse('bytes that are no response', b'', b'\x00a')
    interim = encode_head('100 Continue', ())
    yield OddResponse('interim responses', interim, interim)


def endless_bodies(status='200 OK', headers=()):
    """Yield the OddResponses of which a part of the body never ends.

    Args:
        status: Status line after the protocol version, as text.
        headers: Names and values, as bytes.
    """
    length = b'Content-Length: 1000000000000'
    chunked = b'Transfer-Encoding: chunked'
    rows = {
        'body with a length': (length, b'', b'a'),
        'body until the end': (b'X: a', b'', b'a'),
        'chunk': (chunked, b'ffffffffff\r\n', b'a'),
        'chunks': (chunked, b'', b'400\r\n' + b'a' * 0x400 + b'\r\n'),
        'chunks of a byte': (chunked, b'', b'1\r\na\r\n'),
        'chunk extension': (chunked, b'1;', b'a'),
        'trailers': (chunked, b'0\r\n', b'X: a\r\n'),
    }
    for name, (framing, start, piece) in rows.items():
        head = encode_head(status, headers, framing)
        yield OddResponse(f'{status}: {name}', head + start, piece)


def without_status(headers=(), body=b'ok'):
    """Yield the OddResponses whose status line has no status.

    Args:
        headers: Names and values, as bytes.
        body: Their body.
    """
    length = b'Content-Length: %d' % len(body)
    for status in NO_STATUSES:
        head = encode_head(f'{status} OK', headers, length)
        yield OddResponse(f'status {status!r}', head + body)
