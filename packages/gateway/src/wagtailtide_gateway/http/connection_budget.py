"""What an instance holds for all connections that it has accepted."""

import collections
import contextlib
import logging

import anyio

from wagtailtide_gateway.decisions import connections

LOG = logging.getLogger(__name__)

# Share of the connections of a listener that are closed together when there
# are too many, so that the choice is not made for each new one.
BATCH_SHARE = 1.0 / 32.0


class OutOfMemory(Exception):
    """The connections hold as much memory as they may."""


class Holding:
    """What one connection holds.

    Attributes:
        stream: Its AcceptedStream.
        listener: Name of its listener.
        phase: Its connections.Phase.
        was_served: Whether it had a response that was no rejection.
        held_bytes: Memory that counts for it.
    """

    def __init__(self, budget, stream, listener='', is_instance=False):
        self._budget = budget
        self._is_instance = is_instance
        self._since = anyio.current_time()
        self._request_bytes = 0
        self._response_bytes = 0
        self.stream = stream
        self.listener = listener
        self.phase = connections.Phase.IDLE
        self.was_served = False
        self.held_bytes = connections.CONNECTION_BYTES

    def enter(self, phase):
        """Record what the connection does from now on."""
        is_answered = phase is connections.Phase.IDLE and self.was_served
        if is_answered or phase is connections.Phase.BLOCKED:
            self._since = anyio.current_time()
        self.phase = phase

    def hold_request(self, size):
        """Count the bytes of requests that it holds now.

        Raises:
            OutOfMemory: There is no memory for more; nothing was counted.
        """
        self._budget.change(self, self._response_bytes + size)
        self._request_bytes = size

    def hold_response(self, size):
        """Count the bytes of a response that it holds now.

        Connections may be closed for it, also this one.
        """
        self._budget.change(self, self._request_bytes + size, may_exceed=True)
        self._response_bytes = size

    @property
    def state(self):
        """The connections.ConnectionState."""
        return connections.ConnectionState(
            self.phase,
            self._since,
            self.held_bytes,
            self.was_served,
            self._is_instance,
        )


class ConnectionBudget:
    """Number and memory of all accepted connections of an instance.

    Args:
        limits: The connections.ConnectionLimits.

    Attributes:
        limits: The connections.ConnectionLimits.
        held_bytes: Memory of all connections.
        closed_count: Number of connections that were closed for others.
    """

    def __init__(self, limits=None):
        self.limits = limits or connections.derive_limits()
        self._holdings = set()
        self._counts = collections.Counter()
        self.held_bytes = 0
        self.closed_count = 0

    @contextlib.contextmanager
    def open(self, stream, listener, max_count, is_instance=False):
        """Yield the Holding of a new connection.

        If there are too many, some are closed, which may include this one.

        Args:
            stream: Its AcceptedStream.
            listener: Name of its listener.
            max_count: Number of connections that the listener may have.
            is_instance: Whether other instances connect there.
        """
        holding = Holding(self, stream, listener, is_instance)
        self._holdings.add(holding)
        self._counts[listener] += 1
        self.held_bytes += holding.held_bytes
        self._limit_count(listener, max_count)
        self._limit_memory(0)
        try:
            yield holding
        finally:
            self._release(holding)

    def change(self, holding, size, may_exceed=False):
        """Set the bytes that a connection holds of requests and responses.

        Others may be closed for it, and it for others.

        Args:
            holding: Its Holding.
            size: The bytes.
            may_exceed: Whether they count even if no room can be made, since
                they are held already.

        Raises:
            OutOfMemory: There is no memory for more; nothing was changed.
        """
        more = connections.CONNECTION_BYTES + size - holding.held_bytes
        if more > 0:
            self._limit_memory(more)
        if holding not in self._holdings:
            return
        is_over = self.held_bytes + more > self.limits.memory_bytes
        if more > 0 and is_over and not may_exceed:
            raise OutOfMemory(
                'the memory for connections is used by other requests'
            )
        self.held_bytes += more
        holding.held_bytes += more

    def _limit_count(self, listener, max_count):
        excess = self._counts[listener] - max_count
        if excess > 0:
            holdings = [h for h in self._holdings if h.listener == listener]
            excess = max(excess, int(BATCH_SHARE * max_count))
            self._close(holdings, 'descriptors', count=excess)

    def _limit_memory(self, more):
        excess = self.held_bytes + more - self.limits.memory_bytes
        if excess > 0:
            self._close(tuple(self._holdings), 'memory', held_bytes=excess)

    def _close(self, holdings, scarce, **excess):
        states = [holding.state for holding in holdings]
        chosen = connections.choose_to_close(
            states, anyio.current_time(), **excess
        )
        for position in chosen:
            self._release(holdings[position])
            holdings[position].stream.close()
        if chosen:
            self.closed_count += len(chosen)
            LOG.info(
                'connections closed',
                extra={
                    'scarce': scarce,
                    'closed': len(chosen),
                    'open': len(self._holdings),
                    'held': self.held_bytes,
                },
            )

    def _release(self, holding):
        """Count a connection no more, once."""
        if holding in self._holdings:
            self._holdings.remove(holding)
            self._counts[holding.listener] -= 1
            self.held_bytes -= holding.held_bytes
