"""Requests that an instance asks another one to forward to a server.

The request is a CBOR list, with the protocol version first; `fields` says how
it may grow. The response has the status, headers and body of the server's
response, and a header of its own.
"""

import dataclasses
import enum

import cbor2

from wagtailtide_gateway.control import fields
from wagtailtide_gateway.serving import server_call

FORWARD_TARGET = b'/forward'

PROTOCOL_VERSION = 1

# Number of fields in a request of this version, the version included.
REQUEST_FIELDS = 12

# Header of a server's response with the Framing that it had.
FRAMING_HEADER = b'forwarded-framing'

# Header of the response to a request that was not forwarded, or not answered,
# with the Refusal.
REFUSAL_HEADER = b'forward-refused'


class Refusal(enum.Enum):
    """Why an instance has no response of the server.

    Attributes:
        NOT_SENT: It does not use the server now; nothing was sent to it.
        UNREACHABLE: The server accepted no connection, or its zone is
            evacuated; nothing was sent to it. Other servers may be used.
        BROKEN: The connection broke; the request may have run.
    """

    NOT_SENT = 'not-sent'
    UNREACHABLE = 'unreachable'
    BROKEN = 'broken'


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardRequest:
    """A request to forward.

    Attributes:
        sender: Name of the instance that asks for it.
        server_id: Id of the server.
        process_start_ms: Unix time in milliseconds at which the server's
            process started.
        request: The ServerRequest.
        fingerprint: Hash that identifies repetitions of the same request.
        part_fingerprints: Hashes of the parts of its prompt that other
            requests may share.
    """

    sender: str
    server_id: str
    process_start_ms: int
    request: server_call.ServerRequest
    fingerprint: str
    part_fingerprints: tuple[str, ...]


def encode_request(forward):
    """Return a ForwardRequest as bytes."""
    request = forward.request
    return cbor2.dumps(
        [
            PROTOCOL_VERSION,
            forward.sender,
            forward.server_id,
            forward.process_start_ms,
            forward.fingerprint,
            list(forward.part_fingerprints),
            request.attempt_id,
            request.method,
            request.target,
            [list(header) for header in request.headers],
            request.body,
            request.max_idle_s,
        ]
    )


def decode_request(data):
    """Return the ForwardRequest in a message.

    Raises:
        BadMessage: The message is invalid.
    """
    values = fields.decode(data, REQUEST_FIELDS, PROTOCOL_VERSION)
    try:
        return ForwardRequest(
            sender=fields.text(values[1]),
            server_id=fields.text(values[2]),
            process_start_ms=fields.integer(values[3]),
            fingerprint=fields.text(values[4]),
            part_fingerprints=_TEXTS(values[5]),
            request=server_call.ServerRequest(
                attempt_id=fields.text(values[6]),
                method=_binary(values[7]),
                target=_binary(values[8]),
                headers=_HEADERS(values[9]),
                body=_binary(values[10]),
                max_idle_s=fields.duration(values[11]),
            ),
        )
    except (TypeError, ValueError, OverflowError) as exc:
        raise fields.BadMessage(
            f'expected the fields of a request to forward: {exc}'
        ) from exc


def _binary(value):
    # An integer would pass as the length of a value of zeros.
    if not isinstance(value, bytes):
        raise TypeError(f'expected bytes, got {type(value).__name__}')
    return value


_TEXTS = fields.sequence(fields.text)
_HEADERS = fields.sequence(
    fields.row(lambda name, value: (name, value), _binary, _binary)
)
