"""Which connections are closed when their number or memory runs short.

The load: callers that open connections and send requests slowly or never, or
send many and read no response, beside callers that send a request and read
its response. The former are closed, so that the latter find a descriptor and
memory. A request that is served is never cut for a new connection.
"""

import dataclasses
import enum

# Connections at one listener, as a share of all sockets. What callers do not
# get is for other instances, backend servers and the store. The leader has a
# connection of each instance, and each may forward requests.
CALLERS_SHARE = 5.0 / 8.0
INSTANCES_SHARE = 3.0 / 8.0

# The same for the listeners of the platform: readiness and metrics.
PLATFORM_SHARE = 1.0 / 16.0
MIN_PLATFORM_CONNECTIONS = 4

# Memory of the process besides what it holds for its callers: 31 MB after its
# start, and state that grows with the deployment.
PROCESS_BYTES = 60_000_000

# Least memory for callers, on instances with less memory than the smallest.
MIN_CALLERS_BYTES = 8_000_000

# Shares of the memory for callers. While a body is sent to a server there is
# a second copy of it, so bodies take twice their share.
BODIES_SHARE = 0.25
CONNECTIONS_SHARE = 0.5

# More is not needed for large bodies, however much memory there is.
MAX_BODIES_BYTES = 25_165_824

# Memory of a connection that sends nothing: its objects, and the buffers of
# the kernel.
CONNECTION_BYTES = 49_152

# Time in which a connection that a caller has just opened, or has just used,
# is left open although it has no request.
PATIENCE_S = 1.0

# Limits where the settings state none: those of the smallest instance.
DEFAULT_MEMORY_BYTES = 152_000_000
DEFAULT_SOCKETS = 1_300


class Phase(enum.Enum):
    """What a connection is doing."""

    IDLE = 'idle'
    RECEIVING = 'receiving'
    SERVING = 'serving'
    # Its caller does not read the response.
    BLOCKED = 'blocked'
    # Its last response is sent, its caller has not closed it yet.
    CLOSING = 'closing'


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """What an instance holds for its callers.

    Attributes:
        callers: Number of callers' connections.
        instances: Number of connections of other instances.
        platform: Number of connections at each listener of the platform.
        memory_bytes: Memory of all connections.
        bodies_bytes: Memory of all large bodies of requests, one copy.
    """

    callers: int
    instances: int
    platform: int
    memory_bytes: int
    bodies_bytes: int


def derive_limits(memory_bytes=None, sockets=None):
    """Return the ConnectionLimits of an instance.

    Args:
        memory_bytes: Memory of its machine, None if it is not stated.
        sockets: Number of sockets that it may open, or None.
    """
    memory_bytes = memory_bytes or DEFAULT_MEMORY_BYTES
    sockets = sockets or DEFAULT_SOCKETS
    for_callers = max(MIN_CALLERS_BYTES, memory_bytes - PROCESS_BYTES)
    for_connections = int(CONNECTIONS_SHARE * for_callers)
    return ConnectionLimits(
        callers=max(
            1,
            min(
                int(CALLERS_SHARE * sockets),
                for_connections // CONNECTION_BYTES,
            ),
        ),
        instances=max(1, int(INSTANCES_SHARE * sockets)),
        platform=max(MIN_PLATFORM_CONNECTIONS, int(PLATFORM_SHARE * sockets)),
        memory_bytes=for_connections,
        bodies_bytes=min(MAX_BODIES_BYTES, int(BODIES_SHARE * for_callers)),
    )


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectionState:
    """One connection, as far as the choice depends on it.

    Attributes:
        phase: Its Phase.
        since: Time in seconds at which its caller opened it, read its last
            response, or stopped reading one. A response that rejected what
            was sent does not count.
        held_bytes: Memory that it takes.
        was_served: Whether it had a response other than a rejection of what
            the caller sent.
        is_instance: Whether another instance may have opened it.
    """

    phase: Phase
    since: float
    held_bytes: int
    was_served: bool
    is_instance: bool = False


def choose_to_close(states, now, count=0, held_bytes=0):
    """Return the positions of the connections to close, in their order.

    First those whose response is sent, then those that have sent no whole
    request for PATIENCE_S: before others those that never sent one that was
    served. Then those that read no response, and last those just opened. If
    memory is short, those that hold most go first among equals, else those
    that have waited longest. Connections of other instances stay, once they
    were served.

    Args:
        states: The ConnectionState objects.
        now: Time in seconds.
        count: Number of connections that are too many.
        held_bytes: Bytes that are held too much.
    """
    ranked = []
    for position, state in enumerate(states):
        rank = _rank(state, now)
        if rank is not None:
            order = -state.held_bytes if held_bytes > 0 else state.since
            ranked.append((rank, order, position))
    chosen = []
    for _, _, position in sorted(ranked):
        if count <= 0 and held_bytes <= 0:
            break
        chosen.append(position)
        count -= 1
        held_bytes -= states[position].held_bytes
    return chosen


def _rank(state, now):
    """Return the rank of a connection, None if it is not closed."""
    if state.phase is Phase.CLOSING:
        return 0
    if state.phase is Phase.SERVING:
        return None
    if state.is_instance and state.was_served:
        return None
    if now - state.since < PATIENCE_S:
        return 4
    if state.phase is Phase.BLOCKED:
        return 3
    return 2 if state.was_served else 1
