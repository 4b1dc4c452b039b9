"""Token bucket whose charges are estimates that are corrected later.

A charge is made with an estimate and settled with the true count, which is at
most the estimate. Until it is settled the charge is open.

Every event of a bucket is a level change, which maps the level ``x`` to
``min(x + add, cap)``. A charge of ``n`` has ``add = -n`` and no cap. A refill
has the refilled tokens and the capacity. A reduction of the capacity has only
a cap. Two level changes in sequence are again a level change, and the level is
the composition of all level changes applied to the initial level.

A settlement replaces ``add`` of the charge's own level change by the true
count and computes the composition again. The level is then exactly what it
would be if the true count had been charged at admission. In particular, tokens
that would have overflowed the capacity at some time since then are lost, even
if several charges that were open at the same time are settled in any order.
Because a true count is at most its estimate and every level change is
monotonic, no earlier level decreases, so earlier admissions remain valid.

The level changes since the oldest open charge are the leaves of a binary tree
whose inner nodes hold compositions. Appending and settling update one path, in
logarithmic time. Level changes between two open charges are merged into one.
When the tree is full it is rebuilt with at least twice as many leaves as
remain in use. At least half of its leaves are thus appended before the next
rebuild, so that rebuilding takes amortised constant time for each event.
Memory is linear in the number of open charges.
"""

import dataclasses
import heapq
import math

# Largest factor by which the speeds of two clocks may differ. Refills divide
# the elapsed time by this factor, so that a fast clock does not add extra
# tokens.
MAX_CLOCK_SPEED_RATIO = 1.01

_MIN_LEAVES = 8


@dataclasses.dataclass(frozen=True, slots=True)
class _LevelChange:
    """Change of a level ``x`` to ``min(x + add, cap)``."""

    add: float
    cap: float

    def apply(self, level):
        return min(level + self.add, self.cap)

    def then(self, other):
        return _LevelChange(
            self.add + other.add, min(self.cap + other.add, other.cap)
        )


_IDENTITY = _LevelChange(0.0, math.inf)


class _History:
    """Level changes since the oldest open charge, with their composition."""

    def __init__(self):
        self._base = 0.0
        self._leaf_count = _MIN_LEAVES
        self._tree = [_IDENTITY] * (2 * _MIN_LEAVES)
        self._charge_ids = []
        self._positions = {}

    @property
    def level(self):
        return self._tree[1].apply(self._base)

    @property
    def open_count(self):
        return len(self._positions)

    def append(self, change):
        """Append a level change that is final."""
        if not self._positions:
            self._base = change.apply(self._base)
        elif self._charge_ids[-1] is None:
            last = len(self._charge_ids) - 1
            self._set_leaf(
                last, self._tree[self._leaf_count + last].then(change)
            )
        else:
            self._push_leaf(change, None)

    def append_charge(self, charge_id, tokens):
        """Append an open charge, to be settled later."""
        self._push_leaf(_LevelChange(-tokens, math.inf), charge_id)

    def settle(self, charge_id, tokens):
        """Replace the tokens of a charge; return whether it was open."""
        position = self._positions.pop(charge_id, None)
        if position is None:
            return False
        self._charge_ids[position] = None
        self._set_leaf(position, _LevelChange(-tokens, math.inf))
        if not self._positions:
            self._rebuild()
        return True

    def _push_leaf(self, change, charge_id):
        if len(self._charge_ids) == self._leaf_count:
            self._rebuild()
        if charge_id is not None:
            self._positions[charge_id] = len(self._charge_ids)
        self._charge_ids.append(charge_id)
        self._set_leaf(len(self._charge_ids) - 1, change)

    def _set_leaf(self, position, change):
        tree, node = self._tree, self._leaf_count + position
        tree[node] = change
        while node > 1:
            node >>= 1
            tree[node] = tree[2 * node].then(tree[2 * node + 1])

    def _rebuild(self):
        """Merge settled leaves and resize the tree for the remaining ones."""
        base, changes, charge_ids = self._base, [], []
        for position, charge_id in enumerate(self._charge_ids):
            change = self._tree[self._leaf_count + position]
            if charge_id is None and not charge_ids:
                base = change.apply(base)
            elif charge_id is None and charge_ids[-1] is None:
                changes[-1] = changes[-1].then(change)
            else:
                changes.append(change)
                charge_ids.append(charge_id)
        leaf_count = _MIN_LEAVES
        while leaf_count < 2 * len(changes):
            leaf_count *= 2
        self._base, self._charge_ids, self._leaf_count = (
            base,
            charge_ids,
            leaf_count,
        )
        self._positions = {
            charge_id: position
            for position, charge_id in enumerate(charge_ids)
            if charge_id is not None
        }
        padding = [_IDENTITY] * (leaf_count - len(changes))
        self._tree = [_IDENTITY] * leaf_count + changes + padding
        for node in range(leaf_count - 1, 0, -1):
            self._tree[node] = self._tree[2 * node].then(
                self._tree[2 * node + 1]
            )


class TokenBucket:
    """Token bucket of one organisation on one instance.

    A bucket starts empty, because the previous holder of its share may have
    admitted a whole burst just before.

    Attributes:
        rate: Tokens a second, by a clock without drift.
        capacity: Maximum level while no tokens are lent.
    """

    def __init__(self, now):
        self.rate = 0.0
        self.capacity = 0.0
        self._now = now
        self._history = _History()
        self._loans = []
        self._lent_tokens = 0.0

    @property
    def level(self):
        """Available tokens after the last event."""
        return self._history.level

    @property
    def open_count(self):
        """Number of charges that are not settled."""
        return self._history.open_count

    def advance(self, now):
        """Refill the bucket up to a time in seconds of the local clock."""
        while self._loans and self._loans[0][0] <= now:
            until, tokens = heapq.heappop(self._loans)
            self._refill(until)
            self._lent_tokens -= tokens
        if not self._loans:
            self._lent_tokens = 0.0
        self._refill(now)

    def resize(self, rate, capacity, now):
        """Set the rate and the capacity; a larger capacity adds no tokens."""
        self.advance(now)
        self.rate, self.capacity = rate, capacity
        self._history.append(_LevelChange(0.0, self._cap()))

    def charge(self, charge_id, tokens, now):
        """Charge an estimate if the level covers it; return whether it did."""
        self.advance(now)
        if tokens > max(0.0, self.level):
            return False
        self._history.append_charge(charge_id, tokens)
        return True

    def settle(self, charge_id, true_tokens, now):
        """Settle a charge with the true count; return whether it was open."""
        self.advance(now)
        return self._history.settle(charge_id, true_tokens)

    def credit(self, tokens, now):
        """Add tokens lent by a donor, up to the capacity that is not lent."""
        self.advance(now)
        self._history.append(_LevelChange(tokens, self._cap()))

    def lend(self, tokens, until, now):
        """Lend tokens by lowering the level and, temporarily, the capacity.

        Args:
            tokens: Tokens asked for.
            until: Local time in seconds at which the capacity is restored.
            now: Local time in seconds.

        Returns:
            The number of whole tokens lent, at most the level.
        """
        self.advance(now)
        given = max(0, min(int(tokens), int(self.level)))
        if given:
            self._lent_tokens += given
            heapq.heappush(self._loans, (until, given))
            self._history.append(_LevelChange(-given, self._cap()))
        return given

    def _cap(self):
        return max(0.0, self.capacity - self._lent_tokens)

    def _refill(self, now):
        elapsed_s = now - self._now
        if elapsed_s > 0:
            self._now = now
            added_tokens = self.rate * elapsed_s / MAX_CLOCK_SPEED_RATIO
            self._history.append(_LevelChange(added_tokens, self._cap()))
