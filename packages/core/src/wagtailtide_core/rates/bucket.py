"""Token bucket whose charges are settled later with a smaller true count.

Every event of a bucket maps the level ``x`` to ``min(x + add, top)``: a charge
of ``n`` has ``add = -n`` and no top, a refill has the refilled tokens and the
capacity, a lower capacity has only a top. Two such maps in sequence are again
such a map. The level is the composition of all maps applied to the starting
level.

A settlement replaces ``add`` of the charge's own map by the true count and
composes again. The level is then exactly what it would have been had the true
count been charged at admission: tokens that would have overflowed the capacity
at any peak of the level since then are lost, also when several charges that
were open at the same time are settled in any order. Because a true count is at
most its estimate and every map is monotonic, no earlier level becomes smaller,
so no admission that was right becomes wrong.

The maps since the oldest open charge are leaves of a binary tree whose nodes
hold compositions. Appending and settling change one path, in logarithmic time.
Maps between two open charges are merged into one. The tree is rebuilt when it
is full, at twice the leaves that are left or more, so at least half of its
leaves are appended before the next rebuild, which is thus amortised constant
time for each event. Memory is linear in the number of open charges.
"""

import dataclasses
import heapq
import math

# Largest factor by which two clocks may differ in speed. A refill counts own
# seconds as shorter by this factor, so that a fast clock adds no tokens.
CLOCK_DRIFT = 1.01

_MIN_LEAVES = 8


@dataclasses.dataclass(frozen=True, slots=True)
class _Map:
    """The map from a level ``x`` to ``min(x + add, top)``."""

    add: float
    top: float

    def apply(self, level):
        return min(level + self.add, self.top)

    def then(self, other):
        return _Map(self.add + other.add, min(self.top + other.add, other.top))


_IDENTITY = _Map(0.0, math.inf)


class _History:
    """Maps since the oldest open charge, with their composition."""

    def __init__(self):
        self._base = 0.0
        self._leaves = _MIN_LEAVES
        self._tree = [_IDENTITY] * (2 * _MIN_LEAVES)
        self._owners = []
        self._positions = {}

    @property
    def level(self):
        return self._tree[1].apply(self._base)

    @property
    def open_count(self):
        return len(self._positions)

    def append(self, step):
        """Append a map that will not change."""
        if not self._positions:
            self._base = step.apply(self._base)
        elif self._owners[-1] is None:
            last = len(self._owners) - 1
            self._set(last, self._tree[self._leaves + last].then(step))
        else:
            self._push(step, None)

    def open(self, charge_id, tokens):
        """Append a charge that may be settled later."""
        self._push(_Map(-tokens, math.inf), charge_id)

    def settle(self, charge_id, tokens):
        """Replace an open charge's tokens; return whether it was open."""
        position = self._positions.pop(charge_id, None)
        if position is None:
            return False
        self._owners[position] = None
        self._set(position, _Map(-tokens, math.inf))
        if not self._positions:
            self._rebuild()
        return True

    def _push(self, step, owner):
        if len(self._owners) == self._leaves:
            self._rebuild()
        if owner is not None:
            self._positions[owner] = len(self._owners)
        self._owners.append(owner)
        self._set(len(self._owners) - 1, step)

    def _set(self, position, step):
        tree, node = self._tree, self._leaves + position
        tree[node] = step
        while node > 1:
            node >>= 1
            tree[node] = tree[2 * node].then(tree[2 * node + 1])

    def _rebuild(self):
        """Fold settled leaves together and size the tree for the rest."""
        base, steps, owners = self._base, [], []
        for position, owner in enumerate(self._owners):
            step = self._tree[self._leaves + position]
            if owner is None and not owners:
                base = step.apply(base)
            elif owner is None and owners[-1] is None:
                steps[-1] = steps[-1].then(step)
            else:
                steps.append(step)
                owners.append(owner)
        leaves = _MIN_LEAVES
        while leaves < 2 * len(steps):
            leaves *= 2
        self._base, self._owners, self._leaves = base, owners, leaves
        self._positions = {
            owner: position
            for position, owner in enumerate(owners)
            if owner is not None
        }
        padding = [_IDENTITY] * (leaves - len(steps))
        self._tree = [_IDENTITY] * leaves + steps + padding
        for node in range(leaves - 1, 0, -1):
            self._tree[node] = self._tree[2 * node].then(
                self._tree[2 * node + 1]
            )


class Bucket:
    """Tokens of one organisation on one instance.

    A bucket starts empty: the previous holder of its share may have admitted
    a whole burst just before.

    Attributes:
        rate: Tokens a second by a clock without drift.
        capacity: Largest level when nothing is lent.
    """

    def __init__(self, now):
        self.rate = 0.0
        self.capacity = 0.0
        self._now = now
        self._history = _History()
        self._loans = []
        self._lent = 0.0

    @property
    def level(self):
        """Tokens available at the last event."""
        return self._history.level

    @property
    def open_count(self):
        """Number of charges that are not settled."""
        return self._history.open_count

    def advance(self, now):
        """Refill up to a time in seconds of the own clock."""
        while self._loans and self._loans[0][0] <= now:
            until, tokens = heapq.heappop(self._loans)
            self._refill(until)
            self._lent -= tokens
        if not self._loans:
            self._lent = 0.0
        self._refill(now)

    def resize(self, rate, capacity, now):
        """Change rate and capacity; a larger capacity adds no tokens."""
        self.advance(now)
        self.rate, self.capacity = rate, capacity
        self._history.append(_Map(0.0, self._top()))

    def charge(self, charge_id, tokens, now):
        """Take an estimate; return whether the level allowed it."""
        self.advance(now)
        if tokens > max(0.0, self.level):
            return False
        self._history.open(charge_id, tokens)
        return True

    def settle(self, charge_id, true_tokens, now):
        """Correct a charge; return whether it was still open."""
        self.advance(now)
        return self._history.settle(charge_id, true_tokens)

    def credit(self, tokens, now):
        """Add tokens that a donor gave up; those above the top are lost."""
        self.advance(now)
        self._history.append(_Map(tokens, self._top()))

    def lend(self, tokens, until, now):
        """Lower level and capacity by what can be given, until a time.

        Returns:
            The whole tokens lent, at most the level.
        """
        self.advance(now)
        given = max(0, min(int(tokens), int(self.level)))
        if given:
            self._lent += given
            heapq.heappush(self._loans, (until, given))
            self._history.append(_Map(-given, self._top()))
        return given

    def _top(self):
        return max(0.0, self.capacity - self._lent)

    def _refill(self, now):
        elapsed = now - self._now
        if elapsed > 0:
            self._now = now
            added = self.rate * elapsed / CLOCK_DRIFT
            self._history.append(_Map(added, self._top()))
