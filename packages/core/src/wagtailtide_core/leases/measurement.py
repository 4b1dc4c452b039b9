"""Measure the roster's size and the steady store calls of leases."""

from wagtailtide_core.leases import roster

RENEWALS_PER_HOUR = 60
ROSTER_READS_PER_HOUR = 60


def roster_bytes(sessions):
    """Return the size of the roster after sessions joined one by one.

    Args:
        sessions: Number of sessions.
    """
    current, live = roster.Roster(), []
    for number in range(sessions):
        name = f'instance-{number:03}'
        live.append(name)
        for _ in range(2):
            for each in live:
                me = roster.holder_name(each, 281474976710656 - number)
                me = _known(current, each) or me
                plan = roster.plan(current, me, live)
                current = plan.apply(current, me)
    return len(current.encode())


def store_calls_per_hour(instances):
    """Return session writes and roster reads an hour when nothing changes."""
    return instances * (RENEWALS_PER_HOUR + ROSTER_READS_PER_HOUR)


def _known(current, name):
    for holder in set(current.holders) - {None}:
        if roster.session_name(holder) == name:
            return holder
    return None
