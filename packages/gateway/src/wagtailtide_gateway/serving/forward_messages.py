"""Requests that an instance asks another one to forward to a server.

The request is a CBOR list, with the protocol version first. The response has
the status, headers and body of the server's response, and a header of its own.
"""

import dataclasses
import enum

import cbor2

from wagtailtide_gateway.control import messages
from wagtailtide_gateway.serving import server_call

FORWARD_TARGET = b'/forward'

PROTOCOL_VERSION = 1

# Header of a server's response with the Framing that it had.
FRAMING_HEADER = b'forwarded-framing'

# Header of the response to a request that was not forwarded, or not answered,
# with the Refusal.
REFUSAL_HEADER = b'forward-refused'


class Refusal(enum.Enum):
    """Why an instance has no response of the server.

    Attributes:
        NOT_SENT: It does not use the server now; nothing was sent to it.
        UNREACHABLE: The server accepted no connection.
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
    fields = messages.decode_fields(data, 12, PROTOCOL_VERSION)
    try:
        return ForwardRequest(
            sender=str(fields[1]),
            server_id=str(fields[2]),
            process_start_ms=int(fields[3]),
            fingerprint=str(fields[4]),
            part_fingerprints=tuple(str(part) for part in fields[5]),
            request=server_call.ServerRequest(
                attempt_id=str(fields[6]),
                method=bytes(fields[7]),
                target=bytes(fields[8]),
                headers=tuple((bytes(n), bytes(v)) for n, v in fields[9]),
                body=bytes(fields[10]),
                max_idle_s=float(fields[11]),
            ),
        )
    except (TypeError, ValueError) as exc:
        raise messages.BadMessage(
            f'expected the fields of a request to forward: {exc}'
        ) from exc
