"""Measure the size of the roster and the store calls that leases need."""

from wagtailtide_core.leases import roster

RENEWALS_PER_HOUR = 60
ROSTER_READS_PER_HOUR = 60


def roster_bytes(sessions):
    """Return the size of the roster after instances joined one by one.

    Args:
        sessions: Number of instances, each with one session.

    Returns:
        Size of the encoded roster in bytes.
    """
    current, live = roster.Roster(), []
    for number in range(sessions):
        joined = f'instance-{number:03}'
        live.append(joined)
        for _ in range(2):
            for name in live:
                # Boot numbers are random with 48 bits; here of full length.
                holder = roster.holder_name(name, 281474976710656 - number)
                holder = _holder_of(current, name) or holder
                plan = roster.plan(current, holder, live)
                current = plan.apply(current, holder)
    return len(current.encode())


def store_calls_per_hour(instances):
    """Return the store calls an hour of leases while nothing changes.

    Each instance renews its session and reads the roster.

    Args:
        instances: Number of instances.
    """
    return instances * (RENEWALS_PER_HOUR + ROSTER_READS_PER_HOUR)


def _holder_of(current, name):
    for holder in set(current.holders) - {None}:
        if roster.session_name(holder) == name:
            return holder
    return None
