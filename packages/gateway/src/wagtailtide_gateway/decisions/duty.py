"""Who holds the duty to order, to share rates and to pass news on.

One object of the store names the holder. The holder renews it; the others
take it over when they have seen it unchanged for the lease.
"""

import dataclasses

RENEW_EVERY_S = 1.0

# A holder acts for this much less than the lease after its last renewal.
SAFETY_S = 0.5

# Where the holder's address refuses connections its process has ended. The
# object must have missed a renewal as well, because a path between two
# instances can refuse while the holder is well.
ENDED_AFTER_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class DutyRecord:
    """Value of the duty's object.

    Attributes:
        holder: Name of the holder, empty if the duty was given up.
        host: Address of the holder for its peers.
        port: Port of the holder for its peers.
        fence: Number that grows with each holder.
        renewals: Counter of the renewals.
        instances: Number of instances that the holder knows.
    """

    holder: str
    host: str
    port: int
    fence: int
    renewals: int
    instances: int


class DutyWatch:
    """The duty's object as this instance has read it."""

    def __init__(self):
        self._seen = None
        self._first_seen_at = None
        self._last_seen_at = None

    def observe(self, record, sent_at, received_at):
        """Note one read of the object.

        Args:
            record: The DutyRecord, None if there is none.
            sent_at: Time in seconds at which the read was sent.
            received_at: Time in seconds at which its answer came.
        """
        if record != self._seen or self._first_seen_at is None:
            self._seen = record
            self._first_seen_at = received_at
        self._last_seen_at = sent_at

    def may_take(self, lease_s, holder_refuses, own_name):
        """Return whether the duty may be taken over.

        Args:
            lease_s: Time in seconds for which an unchanged object binds.
            holder_refuses: Whether the holder's address takes no connection.
            own_name: Name of this instance.
        """
        if self._first_seen_at is None:
            return False
        record = self._seen
        if record is None or record.holder in ('', own_name):
            return True
        unchanged_s = self._last_seen_at - self._first_seen_at
        if holder_refuses and unchanged_s >= ENDED_AFTER_S:
            return True
        return unchanged_s >= lease_s


def may_act(now, renewal_sent_at, lease_s):
    """Return whether the holder may still act.

    Args:
        now: Time in seconds, suspended time included.
        renewal_sent_at: Time at which the last renewal that took effect was
            sent.
        lease_s: The lease in seconds.
    """
    return now - renewal_sent_at < lease_s - SAFETY_S
