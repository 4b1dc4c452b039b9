"""The roster of 1,024 rate slots and the decisions to change it.

Each slot has at most one holder, because the roster maps a slot to one name.
Taking over a lapsed holder's slots is safe in this order: read the roster,
read the session, write the roster if it has not changed. A holder whose lease
ended renews its session first and then writes the roster again before it acts,
which makes the taker's write fail or the taker's read show the renewal.
"""

import dataclasses
import heapq
import itertools
import json

import xxhash

from wagtailtide_core.rates import shares

KEY = 'roster'
# Members that observe a session which is not live.
OBSERVERS = 3


@dataclasses.dataclass(frozen=True)
class Roster:
    """Holder of each slot.

    Attributes:
        holders: Names of sessions with their boot, ``name:boot``; None if
            the slot is free.
    """

    holders: tuple[str | None, ...] = (None,) * shares.SLOTS

    def slots_of(self, holder):
        """Return the slots of a holder."""
        return frozenset(s for s, h in enumerate(self.holders) if h == holder)

    def counts(self):
        """Return the number of slots of each holder."""
        counts = {}
        for holder in self.holders:
            if holder is not None:
                counts[holder] = counts.get(holder, 0) + 1
        return counts

    def assign(self, slots, holder):
        """Return the roster with some slots given to a holder or freed."""
        holders = list(self.holders)
        for slot in slots:
            holders[slot] = holder
        return Roster(tuple(holders))

    def encode(self):
        """Return the run-length encoded value of the object."""
        names = sorted({h for h in self.holders if h is not None})
        index = {name: i for i, name in enumerate(names)}
        runs = [
            [index.get(holder, -1), len(list(group))]
            for holder, group in itertools.groupby(self.holders)
        ]
        value = {'holders': names, 'runs': runs}
        return json.dumps(value, separators=(',', ':')).encode()

    @classmethod
    def decode(cls, value):
        """Return the roster; raises ValueError if it cannot be read."""
        try:
            decoded = json.loads(value)
            names, holders = decoded['holders'], []
            for index, count in decoded['runs']:
                name = names[index] if index >= 0 else None
                holders += [name] * count
        except (KeyError, TypeError, IndexError) as exc:
            raise ValueError(f'expected a roster: {exc!r}') from exc
        if len(holders) != shares.SLOTS:
            raise ValueError(
                f'expected {shares.SLOTS} slots, got {len(holders)}'
            )
        return cls(tuple(holders))


@dataclasses.dataclass(frozen=True)
class Plan:
    """Change that one instance makes.

    Attributes:
        take: Slots to take.
        give_up: Own slots to free.
        lapsed: Holders whose slots are freed.
    """

    take: frozenset[int] = frozenset()
    give_up: frozenset[int] = frozenset()
    lapsed: frozenset[str] = frozenset()

    @property
    def is_empty(self):
        """Whether nothing is to be written."""
        return not (self.take or self.give_up or self.lapsed)

    def apply(self, roster, me):
        """Return the roster after the change."""
        for holder in self.lapsed:
            roster = roster.assign(roster.slots_of(holder), None)
        return roster.assign(self.give_up, None).assign(self.take, me)


def session_name(holder):
    """Return the name of the instance in a holder's name."""
    return holder.rpartition(':')[0]


def holder_name(name, boot):
    """Return how the roster names a session."""
    return f'{name}:{boot}'


def plan(roster, me, live, lapsed=frozenset()):
    """Decide what one instance changes.

    Every instance that reads the same roster and members decides on
    different slots, and only as many holders give up slots as are needed.

    Args:
        roster: Roster as read.
        me: Own holder name.
        live: Names of live instances, without those that are leaving.
        lapsed: Holders that this instance has seen lapse.

    Returns:
        Plan.
    """
    own = session_name(me)
    live = sorted({*live, own})
    # The predecessor has ended, because it bound the same port.
    old = {h for h in roster.counts() if session_name(h) == own and h != me}
    lapsed = (frozenset(lapsed) & roster.counts().keys()) | old
    freed = Plan(lapsed=lapsed).apply(roster, me)
    counts = dict.fromkeys(live, 0)
    for holder, count in freed.counts().items():
        name = session_name(holder)
        if name in counts:
            counts[name] += count
    free = [s for s, holder in enumerate(freed.holders) if holder is None]
    take = _share_out(free, counts, own)
    give_up = _give_up(freed, me, counts, len(free))
    return Plan(frozenset(take), frozenset(give_up), lapsed)


def observers(holder, live):
    """Return the live instances that observe a holder's session."""

    def weight(name):
        return xxhash.xxh64_intdigest(f'{holder}|{name}'.encode())

    return sorted(live, key=weight, reverse=True)[:OBSERVERS]


def _share_out(free, counts, own):
    """Give free slots to the instances with the fewest, one by one."""
    heap = [(count, name) for name, count in counts.items()]
    heapq.heapify(heap)
    taken = []
    for slot in free:
        count, name = heap[0]
        heapq.heapreplace(heap, (count + 1, name))
        if name == own:
            taken.append(slot)
    return taken


def _give_up(roster, me, counts, free):
    """Return own slots that instances below the even split are missing."""
    held = sum(counts.values()) + free
    floor = held // len(counts)
    missing = sum(max(0, floor - count) for count in counts.values()) - free
    heap = [(-count, name) for name, count in counts.items()]
    heapq.heapify(heap)
    surplus, own = 0, session_name(me)
    for _ in range(missing):
        count, name = heap[0]
        if -count <= floor:
            break
        heapq.heapreplace(heap, (count + 1, name))
        surplus += name == own
    # The last slots of the range keep runs long.
    return sorted(roster.slots_of(me), reverse=True)[:surplus]
