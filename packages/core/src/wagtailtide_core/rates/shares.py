"""Share of an organisation's rate that a session holds through its slots.

The roster has 1,024 slots. An organisation whose rate is divided over ``k``
slots uses every (1,024 / k)-th slot. The first one is derived from a hash of
its name, so that small organisations do not all depend on the same sessions.
"""

import dataclasses

import xxhash

SLOT_COUNT = 1024


def slots_of(name, share_slots):
    """Return the slots of an organisation.

    Args:
        name: Name of the organisation.
        share_slots: Number of slots, a power of two up to 1,024.
    """
    stride = SLOT_COUNT // share_slots
    return range(
        xxhash.xxh64_intdigest(name.encode()) % stride, SLOT_COUNT, stride
    )


@dataclasses.dataclass
class Division:
    """Division of an organisation's rate over slots.

    Attributes:
        slots: Slots over which the rate is divided.
        held: Number of these slots that this session holds.
        until: Local time in seconds at which the division ceases to count, or
            None for the current division.
    """

    slots: range
    held: int
    until: float | None = None

    @property
    def share(self):
        """Share of the rate that the session holds, from 0 to 1."""
        return self.held / len(self.slots)


def divide(name, share_slots, held):
    """Return the division of an organisation for a set of held slots."""
    slots = slots_of(name, share_slots)
    return Division(slots, sum(slot in held for slot in slots))


def smallest_share(divisions):
    """Return the smallest share of the divisions that count.

    While some instances still divide a rate over the previous number of slots,
    the shares of all sessions add up to at most 1 only if each session uses
    the smallest of its shares.
    """
    return min(division.share for division in divisions)
