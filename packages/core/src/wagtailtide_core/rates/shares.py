"""Share of an organisation's rate that a session holds by its slots.

The roster has 1,024 slots. An organisation that divides its rate over ``k``
slots uses every (1,024 / k)-th one, starting at an offset from its name, so
that small organisations do not all depend on the same sessions.
"""

import dataclasses

import xxhash

SLOTS = 1024


def slots_of(name, share_slots):
    """Return the slots of an organisation.

    Args:
        name: Name of the organisation.
        share_slots: Number of slots, a power of two up to 1,024.
    """
    stride = SLOTS // share_slots
    return range(xxhash.xxh64_intdigest(name.encode()) % stride, SLOTS, stride)


@dataclasses.dataclass
class Division:
    """One way of dividing an organisation's rate, with the slots held.

    Attributes:
        slots: Slots the rate is divided over.
        held: Number of them that this session holds.
        until: Time from which it no longer counts, or None for the current
            division.
    """

    slots: range
    held: int
    until: float | None = None

    @property
    def share(self):
        """Part of the rate, from 0 to 1."""
        return self.held / len(self.slots)


def divide(name, share_slots, held):
    """Return the division of an organisation for a set of held slots."""
    slots = slots_of(name, share_slots)
    return Division(slots, sum(slot in held for slot in slots))


def smallest_share(divisions):
    """Return the share that no division in force exceeds.

    While some instances divide a rate over an earlier number of slots, the
    shares of all sessions add up to at most one only if each uses the smallest
    of its shares.
    """
    return min(division.share for division in divisions)
