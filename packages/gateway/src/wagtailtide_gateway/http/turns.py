"""Turns at work that a single connection could do without a pause."""

import anyio
from anyio import lowlevel

# Pieces of a request that are handled as they arrive, however small.
FREE_PIECES = 32

# Pieces that are handled in one turn, less than a millisecond of work.
PIECES_PER_TURN = 16

# Input of this size allows for one more piece. A network segment has 1,460
# bytes, so what is not split on purpose needs no turn.
BYTES_PER_PIECE = 256


class Turns:
    """Lets one connection after another go on with its work.

    A body in many small pieces, or many requests that were sent ahead, cost
    the caller little and this process much. All such connections together get
    one turn in each round of the event loop, however many there are, so that
    other requests need not wait for all of them.
    """

    def __init__(self):
        self._lock = anyio.Lock()

    async def wait(self, rounds=1):
        """Wait for a turn.

        Args:
            rounds: Rounds of the event loop that pass before the turn, in
                which others go on. More of them make room for work that
                takes longer.
        """
        async with self._lock:
            for _ in range(rounds):
                await lowlevel.checkpoint()


class Pieces:
    """Pieces of one request that have been handled.

    Args:
        turns: Turns of the instance.
    """

    def __init__(self, turns):
        self._turns = turns
        self._allowed = FREE_PIECES

    def restart(self):
        """Begin another request."""
        self._allowed = FREE_PIECES

    def allow_for(self, size):
        """Allow for the pieces of input.

        Args:
            size: Its bytes.
        """
        self._allowed += size / BYTES_PER_PIECE

    async def take(self):
        """Count one piece; waits for a turn if there were too many."""
        if self._allowed < 1:
            await self._turns.wait()
            self._allowed = PIECES_PER_TURN
        self._allowed -= 1
