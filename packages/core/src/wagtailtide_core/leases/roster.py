"""Assignment of the 1,024 rate slots to instances, and changes of it.

Each slot has at most one holder, because the roster maps a slot to one name.
To take the slots of a lapsed holder, an instance reads the roster, reads the
holder's session and writes the roster if it has not changed. A holder whose
lease ended renews its session and then writes the roster again before it uses
its slots. So either the other instance's read shows the renewal or its write
fails.
"""

import dataclasses
import heapq
import itertools
import json

import xxhash

from wagtailtide_core.rates import shares

KEY = 'roster'
# Instances that observe the session of a holder that is not live.
OBSERVERS_PER_SESSION = 3


@dataclasses.dataclass(frozen=True)
class Roster:
    """Holder of each slot.

    Attributes:
        holders: Holder name of each slot, ``name:boot`` with the boot number
            of the instance's session; None if the slot is free.
    """

    holders: tuple[str | None, ...] = (None,) * shares.SLOT_COUNT

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
        """Return the roster with slots assigned to a holder, None for free."""
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
        """Return the roster of an object's value.

        Raises:
            ValueError: If the value is not a roster of all slots.
        """
        try:
            decoded = json.loads(value)
            names, holders = decoded['holders'], []
            for index, count in decoded['runs']:
                name = names[index] if index >= 0 else None
                holders += [name] * count
        except (KeyError, TypeError, IndexError) as exc:
            raise ValueError(
                f'expected a roster with holders and runs, got {exc!r}'
            ) from exc
        if len(holders) != shares.SLOT_COUNT:
            raise ValueError(
                f'expected runs of {shares.SLOT_COUNT} slots, '
                f'got {len(holders)}'
            )
        return cls(tuple(holders))


@dataclasses.dataclass(frozen=True)
class Plan:
    """Change of the roster that one instance makes.

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

    def apply(self, roster, own_holder):
        """Return the roster after the change.

        Args:
            roster: Roster before the change.
            own_holder: Holder name of the instance that makes the change.
        """
        for holder in self.lapsed:
            roster = roster.assign(roster.slots_of(holder), None)
        return roster.assign(self.give_up, None).assign(self.take, own_holder)


def session_name(holder):
    """Return the instance name in a holder name."""
    return holder.rpartition(':')[0]


def holder_name(name, boot):
    """Return the holder name of an instance's session."""
    return f'{name}:{boot}'


def plan(roster, own_holder, live, lapsed=frozenset()):
    """Decide how one instance changes the roster.

    Instances that read the same roster and know the same members take
    different slots, and no more slots are given up than others need.

    Args:
        roster: Roster as read.
        own_holder: Holder name of this instance.
        live: Names of the live instances that are not leaving.
        lapsed: Holders whose lapse this instance has observed.

    Returns:
        Plan.
    """
    own = session_name(own_holder)
    live = sorted({*live, own})
    # The instance's earlier process has ended, because both bind one port.
    previous = {
        holder
        for holder in roster.counts()
        if session_name(holder) == own and holder != own_holder
    }
    lapsed = (frozenset(lapsed) & roster.counts().keys()) | previous
    freed = Plan(lapsed=lapsed).apply(roster, own_holder)
    counts = dict.fromkeys(live, 0)
    for holder, count in freed.counts().items():
        name = session_name(holder)
        if name in counts:
            counts[name] += count
    free = [s for s, holder in enumerate(freed.holders) if holder is None]
    take = _slots_to_take(free, counts, own)
    give_up = _slots_to_give_up(freed, own_holder, counts, len(free))
    return Plan(frozenset(take), frozenset(give_up), lapsed)


def observers(holder, live):
    """Return the names of the live instances that observe a holder."""

    def weight(name):
        return xxhash.xxh64_intdigest(f'{holder}|{name}'.encode())

    return sorted(live, key=weight, reverse=True)[:OBSERVERS_PER_SESSION]


def _slots_to_take(free, counts, own):
    """Assign each free slot to the instance with the fewest; return own."""
    heap = [(count, name) for name, count in counts.items()]
    heapq.heapify(heap)
    own_slots = []
    for slot in free:
        count, name = heap[0]
        heapq.heapreplace(heap, (count + 1, name))
        if name == own:
            own_slots.append(slot)
    return own_slots


def _slots_to_give_up(roster, own_holder, counts, free):
    """Return own slots that instances below an even share still need."""
    total = sum(counts.values()) + free
    even_share = total // len(counts)
    missing = (
        sum(max(0, even_share - count) for count in counts.values()) - free
    )
    heap = [(-count, name) for name, count in counts.items()]
    heapq.heapify(heap)
    surplus, own = 0, session_name(own_holder)
    for _ in range(missing):
        count, name = heap[0]
        if -count <= even_share:
            break
        heapq.heapreplace(heap, (count + 1, name))
        surplus += name == own
    # Giving up the highest slots keeps the encoded runs long.
    return sorted(roster.slots_of(own_holder), reverse=True)[:surplus]
