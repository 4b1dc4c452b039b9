"""Records that instances gossip: kinds, wire form and merging."""

import dataclasses
import enum

import cbor2


class Priority(enum.IntEnum):
    """Order in which records are sent, lowest value first."""

    URGENT = 0
    STATE = 1
    LOAD = 2


class Kind(enum.StrEnum):
    """Kinds of records; the values are part of the wire form."""

    CONFIG = 'config'
    MEMBER = 'member'
    ZONE_CONTACT = 'zone_contact'
    CRASH = 'crash'
    DRAINING = 'draining'
    SERVER = 'server'
    DEMAND = 'demand'
    LOAD = 'load'


@dataclasses.dataclass(frozen=True)
class KindSpec:
    """How records of a kind are handled.

    Attributes:
        priority: Order of sending.
        ttl_s: Age in seconds at which a record is dropped; None for never.
        union: Whether values with the same epoch, the first part of the
            stamp, are merged by union. Otherwise the higher stamp wins.
        region_only: Whether records are sent only to members of the region.
        resync: Whether records take part in the exchange of digests.
    """

    priority: Priority
    ttl_s: float | None = None
    union: bool = False
    region_only: bool = False
    resync: bool = True


KINDS = {
    Kind.CONFIG: KindSpec(Priority.URGENT),
    Kind.MEMBER: KindSpec(Priority.URGENT),
    Kind.ZONE_CONTACT: KindSpec(Priority.URGENT, ttl_s=10.0, resync=False),
    Kind.CRASH: KindSpec(Priority.URGENT, ttl_s=3600.0, union=True),
    Kind.DRAINING: KindSpec(Priority.URGENT, ttl_s=600.0),
    Kind.SERVER: KindSpec(Priority.STATE, ttl_s=3600.0),
    Kind.DEMAND: KindSpec(Priority.STATE, ttl_s=60.0, resync=False),
    Kind.LOAD: KindSpec(
        Priority.LOAD, ttl_s=30.0, region_only=True, resync=False
    ),
}


@dataclasses.dataclass(frozen=True)
class Record:
    """One gossip record.

    Attributes:
        kind: Kind.
        id: What the record is about, for example a member's name.
        stamp: Pair of integers, of which the highest wins. Depending on the
            kind it is ``(boot, seq)`` of the origin, ``(store version, 0)``,
            ``(fence, seq)``, or ``(incarnation, state)`` of a member.
        value: Value that CBOR can encode; for union kinds a sorted tuple of
            strings.
        age_s: Age in seconds when the record was sent. Each instance adds the
            time that it held the record, so that clocks are not compared.
    """

    kind: Kind
    id: str
    stamp: tuple[int, int]
    value: object
    age_s: float = 0.0

    @property
    def key(self):
        """Kind and id, which newer records of the same subject share."""
        return (self.kind, self.id)

    @property
    def spec(self):
        """The `KindSpec` of its kind."""
        return KINDS[self.kind]

    def to_wire(self):
        """Return the record as a CBOR array."""
        age_ms = round(self.age_s * 1000)
        return [str(self.kind), self.id, *self.stamp, self.value, age_ms]

    def encoded_bytes(self):
        """Return the size of the encoded record in bytes."""
        return len(cbor2.dumps(self.to_wire()))


def from_wire(item):
    """Decode one record of a frame.

    Args:
        item: CBOR array.

    Returns:
        The record, or None if this version does not know its kind.

    Raises:
        ValueError: If it is not a record.
    """
    if not isinstance(item, list | tuple) or len(item) != 6:
        raise ValueError('expected a record as an array of 6 items')
    kind, name, first, second, value, age_ms = item
    if not isinstance(kind, str) or not isinstance(name, str):
        raise ValueError('expected text as kind and id of a record')
    for number in (first, second, age_ms):
        if type(number) is not int or number < 0:
            raise ValueError(
                'expected integers of 0 or more as stamp and age of a record'
            )
    if kind not in KINDS:
        return None
    kind = Kind(kind)
    if KINDS[kind].union:
        if not isinstance(value, list | tuple) or not all(
            isinstance(part, str) for part in value
        ):
            raise ValueError(
                'expected an array of texts as value of a union record'
            )
        value = tuple(sorted(set(value)))
    return Record(kind, name, (first, second), value, age_ms / 1000)


def merge(held, offered):
    """Merge two records with the same key.

    Args:
        held: Record in the table, with its current age.
        offered: Record that was received.

    Returns:
        The merged record; ``held`` itself if nothing changes.
    """
    same_epoch = held.stamp[0] == offered.stamp[0]
    if held.spec.union and same_epoch:
        parts = tuple(sorted({*held.value, *offered.value}))
        if parts == held.value:
            return held
        return dataclasses.replace(
            held,
            stamp=max(held.stamp, offered.stamp),
            value=parts,
            age_s=min(held.age_s, offered.age_s),
        )
    return offered if offered.stamp > held.stamp else held
