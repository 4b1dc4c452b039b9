"""Conversion between members and gossip records."""

from wagtailtide_core.gossip import records
from wagtailtide_core.membership import view


def to_record(member):
    """Return the gossip record of a member."""
    return records.Record(
        records.Kind.MEMBER,
        member.name,
        member.order,
        [member.address, member.zone, member.region],
    )


def from_record(record):
    """Return the member of a record.

    Raises:
        ValueError: If the record is not that of a member.
    """
    value = record.value
    if not isinstance(value, list | tuple) or len(value) != 3:
        raise ValueError(
            'expected a list of address, zone and region of a member'
        )
    if not all(isinstance(part, str) for part in value):
        raise ValueError(
            'expected text as address, zone and region of a member'
        )
    incarnation, state = record.stamp
    return view.Member(record.id, *value, incarnation, view.State(state))
