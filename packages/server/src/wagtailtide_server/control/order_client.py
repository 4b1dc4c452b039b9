"""Send one order to a model engine."""

import dataclasses
import enum
import json
import socket
import struct

import anyio
import httpx

ORDER_TIMEOUT_S = 2.0

# An order in the send buffer must not be delivered after it was given up:
# close() then resets the connection and discards what was not sent.
_RESET_ON_CLOSE = (
    socket.SOL_SOCKET,
    socket.SO_LINGER,
    struct.pack('ii', 1, 0),
)


class Fate(enum.StrEnum):
    """Outcome of an order, as far as the response tells."""

    ACCEPTED = 'accepted'
    REFUSED = 'refused'
    # It may have been carried out, or may be later.
    UNANSWERED = 'unanswered'
    # No connection was established.
    NOT_SENT = 'not_sent'


@dataclasses.dataclass(frozen=True)
class Answer:
    """Response to an order.

    Attributes:
        fate: Outcome of the order.
        reason: Kind of refusal, or text of the error.
    """

    fate: Fate
    reason: str = ''


@dataclasses.dataclass(frozen=True)
class WireOrder:
    """An order as the engines' API takes it; fields are its JSON keys.

    Attributes:
        order_id: Unique id.
        fence: Fencing token of the owner.
        kind: Kind of order.
        model: Name of the model.
        version: Version of the model.
        adapter: Name of the adapter.
        bytes: Memory in bytes that a load takes.
        role: New role of the engine.
    """

    order_id: str
    fence: int
    kind: str
    model: str = ''
    version: str = ''
    adapter: str = ''
    bytes: int = 0
    role: str = ''


def make_client(transport=None):
    """Return an HTTP client that opens a new connection for each call."""
    return httpx.AsyncClient(
        transport=transport
        or httpx.AsyncHTTPTransport(
            verify=False,
            trust_env=False,
            limits=httpx.Limits(max_keepalive_connections=0),
            socket_options=[_RESET_ON_CLOSE],
        ),
        timeout=ORDER_TIMEOUT_S,
        trust_env=False,
    )


async def send_order(http, address, order, timeout_s=ORDER_TIMEOUT_S):
    """Send an order and return its Answer.

    Args:
        http: Client of `make_client`.
        address: ``ip:port`` of the engine.
        order: WireOrder.
        timeout_s: Time in seconds after which the connection is reset.
    """
    fields = dataclasses.asdict(order)
    try:
        with anyio.fail_after(timeout_s):
            response = await http.post(
                f'http://{address}/v1/orders',
                content=json.dumps(fields),
                headers={'Content-Type': 'application/json'},
            )
    except (httpx.ConnectError, httpx.ConnectTimeout) as exc:
        return Answer(Fate.NOT_SENT, repr(exc))
    except (httpx.HTTPError, TimeoutError) as exc:
        return Answer(Fate.UNANSWERED, repr(exc))
    if response.status_code == 202:
        return Answer(Fate.ACCEPTED)
    try:
        error = response.json()['error']
        if error['fate'] == 'not_run':
            return Answer(Fate.REFUSED, str(error['kind']))
    except (KeyError, TypeError, ValueError):
        pass
    return Answer(Fate.UNANSWERED, f'status {response.status_code}')
