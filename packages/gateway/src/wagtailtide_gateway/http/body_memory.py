"""Memory for the bodies of callers' requests.

A body is held from its first byte to the end of its request. Bodies that
arrive slowly, and those that servers read slowly, would otherwise fill the
memory of the instance: each may have up to `max_body_bytes`.
"""

import contextlib
import logging

import anyio

from wagtailtide_gateway.decisions import connections

LOG = logging.getLogger(__name__)

# The first bytes of a body never wait, so that large bodies delay no request
# of the usual size.
FREE_BYTES = 65_536

# A body of which less than this has arrived in the last seconds is ended when
# another one needs its memory.
SLOW_BYTES_PER_S = 20_000
SLOW_AFTER_S = 1.0

# A body that gets no memory for this long is refused.
MAX_WAIT_S = 2.0


class OutOfMemory(Exception):
    """A body gets no memory, or another one needs it.

    Attributes:
        is_slow: Whether it had memory and arrived too slowly.
    """

    def __init__(self, message, is_slow):
        super().__init__(message)
        self.is_slow = is_slow


class Claim:
    """Memory of one body.

    Attributes:
        size: Bytes that have arrived.
        reserved: Bytes that count for it, those that it is to have included.
        scope: CancelScope in which it arrives; None before and after, and
            while it waits for memory.
        is_ended: Whether another body needs its memory.
    """

    def __init__(self):
        self.size = 0
        self.reserved = 0
        self.scope = None
        self.is_ended = False
        self._since = anyio.current_time()
        self._size_then = 0
        self._bytes_per_s = float('inf')

    def is_slow(self, now):
        """Return whether little of it has arrived lately."""
        elapsed_s = now - self._since
        if elapsed_s >= SLOW_AFTER_S:
            self._bytes_per_s = (self.size - self._size_then) / elapsed_s
            self._since, self._size_then = now, self.size
        return self._bytes_per_s < SLOW_BYTES_PER_S

    def restart(self):
        """Measure how fast it arrives from now on."""
        self._since, self._size_then = anyio.current_time(), self.size
        self._bytes_per_s = float('inf')


class BodyMemory:
    """Bytes that an instance holds for the bodies of requests.

    Args:
        max_bytes: Bytes of all bodies that are larger than FREE_BYTES.

    Attributes:
        held: Bytes that are reserved now.
        ended_count: Number of bodies that were ended or refused.
    """

    def __init__(self, max_bytes=connections.MAX_BODIES_BYTES):
        self._max_bytes = max_bytes
        self._claims = set()
        self._released = anyio.Event()
        self.held = 0
        self.ended_count = 0

    @contextlib.contextmanager
    def claim(self):
        """Yield a Claim, whose memory is released at the end."""
        claim = Claim()
        self._claims.add(claim)
        try:
            yield claim
        finally:
            self._claims.remove(claim)
            self._release(claim)

    @contextlib.contextmanager
    def arriving(self, claim):
        """Run a block that receives a body; ends it if need be.

        Raises:
            OutOfMemory: Another body needs its memory.
        """
        claim.restart()
        with anyio.CancelScope() as claim.scope:
            try:
                yield
            finally:
                claim.scope = None
        if claim.is_ended:
            raise OutOfMemory(
                'the body arrived too slowly while others needed its memory',
                is_slow=True,
            )

    async def grow(self, claim, size, expected=0):
        """Count further bytes of a body; waits until there is memory.

        A body that is not small reserves the memory for all that is expected
        at once, so that bodies do not wait for each other's rest.

        Args:
            claim: Its Claim.
            size: Number of further bytes.
            expected: Bytes of the whole body, 0 if that is not known.

        Raises:
            OutOfMemory: There was none for MAX_WAIT_S.
        """
        total = claim.size + size
        if total > FREE_BYTES:
            total = max(total, expected)
        more = total - claim.reserved
        if more > 0:
            if total > FREE_BYTES and not self._has_room(claim, more):
                await self._wait_for_room(claim, more)
            self.held += more
            claim.reserved = total
        claim.size += size

    def _has_room(self, claim, more):
        # A body alone may exceed the bound, else it could never be sent.
        return (
            self.held + more <= self._max_bytes or self.held == claim.reserved
        )

    async def _wait_for_room(self, claim, more):
        scope, claim.scope = claim.scope, None
        with anyio.move_on_after(MAX_WAIT_S):
            while not self._has_room(claim, more):
                if not self._end_slow():
                    await self._wait()
            claim.scope = scope
            claim.restart()
            return
        self._record_end(claim, 'refused')
        raise OutOfMemory(
            'the memory for bodies is used by other requests', is_slow=False
        )

    def _end_slow(self):
        """End a body that arrives slowly; return whether there is one."""
        now = anyio.current_time()
        slow = [
            claim
            for claim in self._claims
            if claim.scope is not None
            and claim.size > FREE_BYTES
            and claim.is_slow(now)
        ]
        if not slow:
            return False
        largest = max(slow, key=lambda claim: claim.reserved)
        largest.is_ended = True
        largest.scope.cancel()
        largest.scope = None
        self._record_end(largest, 'slow')
        # Its bytes are discarded as it is ended.
        self._release(largest)
        return True

    def _record_end(self, claim, reason):
        self.ended_count += 1
        LOG.info(
            'body ended',
            extra={
                'reason': reason,
                'bytes': claim.size,
                'reserved': claim.reserved,
                'held': self.held,
            },
        )

    async def _wait(self):
        # Bodies become slow with time, too.
        with anyio.move_on_after(SLOW_AFTER_S / 4.0):
            await self._released.wait()

    def _release(self, claim):
        self.held -= claim.reserved
        claim.size = claim.reserved = 0
        self._released.set()
        self._released = anyio.Event()
