"""Lease of the leader, which places models, shares rates and sends updates.

One object in the store names the leader. The leader renews it; another
instance takes over once it has seen the object unchanged for the lease's
duration.
"""

import dataclasses

RENEW_INTERVAL_S = 1.0

# The leader stops acting this long before its lease expires.
LEASE_MARGIN_S = 0.5

# If the leader's address refuses connections, its process has probably ended,
# and a takeover needs only this long without a renewal. It still spans a
# missed renewal, because connections between two instances can be refused
# while the leader works.
REFUSED_TAKEOVER_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class DutyRecord:
    """Value of the lease object in the store; its repr is in /dump.

    Attributes:
        holder: Name of the leader, empty after a release.
        host: Host at which other instances reach the leader.
        port: Port at which other instances reach the leader.
        fence: Fencing token, larger for each new leader.
        renewals: Number of renewals by this leader.
        instances: Number of instances that report to the leader.
    """

    holder: str
    host: str
    port: int
    fence: int
    renewals: int
    instances: int


class LeaseObserver:
    """The lease object as this instance has read it."""

    def __init__(self):
        self._record = None
        self._unchanged_since = None
        self._last_read_at = None

    def observe(self, record, sent_at, received_at):
        """Record one read of the lease object.

        Args:
            record: The DutyRecord, or None if the object does not exist.
            sent_at: Time in seconds at which the read was sent.
            received_at: Time in seconds at which its answer arrived.
        """
        if record != self._record or self._unchanged_since is None:
            self._record = record
            self._unchanged_since = received_at
        self._last_read_at = sent_at

    @property
    def unchanged_s(self):
        """Seconds for which the object was seen unchanged."""
        if self._unchanged_since is None:
            return 0.0
        return max(0.0, self._last_read_at - self._unchanged_since)

    def may_take_over(self, lease_s, connection_refused, own_name):
        """Return whether this instance may take over the leadership.

        Args:
            lease_s: Seconds without a change after which a lease has expired.
            connection_refused: Whether the leader's address refuses
                connections.
            own_name: Name of this instance.
        """
        if self._unchanged_since is None:
            return False
        record = self._record
        if record is None or record.holder in ('', own_name):
            return True
        unchanged_s = self._last_read_at - self._unchanged_since
        if connection_refused and unchanged_s >= REFUSED_TAKEOVER_S:
            return True
        return unchanged_s >= lease_s


def is_lease_valid(now, renewal_sent_at, lease_s):
    """Return whether the lease of the leader is still valid.

    Args:
        now: Time in seconds on a clock that includes suspended time.
        renewal_sent_at: Time in seconds at which the last successful renewal
            was sent.
        lease_s: Duration of the lease in seconds.
    """
    return now - renewal_sent_at < lease_s - LEASE_MARGIN_S
