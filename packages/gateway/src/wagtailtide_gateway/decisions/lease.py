"""Lease of the leader, which places models, shares rates and sends updates.

One object in the store names the leader. The leader renews it; another
instance takes over once it has seen the object unchanged for the lease's
duration.
"""

import dataclasses
import enum

RENEW_INTERVAL_S = 1.0

# The leader stops acting this long before its lease expires.
LEASE_MARGIN_S = 0.5

# If the leader's address refuses connections, its process has probably ended,
# and a takeover needs only this long without a renewal. It still spans a
# missed renewal, because connections between two instances can be refused
# while the leader works.
REFUSED_TAKEOVER_S = 2.0

# Mbit/s of updates that a core of a leader can encode and send.
LEADER_MBPS_PER_CORE = 100.0

# An instance with less than this share of the largest capacity in the fleet
# leaves the leadership to larger ones.
MIN_CAPACITY_SHARE = 0.5

# Seconds by which smaller instances take over later than larger ones. It spans
# two reads of the lease by a larger one.
DEFERENCE_S = 1.3

# A leader hands over to larger instances after this many seconds of its term.
# Meanwhile all instances have reported to it.
MIN_TERM_S = 2.5


class TakeoverReason(enum.Enum):
    """Why a lease may be taken over, as logged."""

    NO_LEASE = 'no_lease'
    OWN_LEASE = 'own_lease'
    RELEASED = 'released'
    RESIGNED = 'resigned'
    REFUSED = 'refused'
    RESTORED = 'restored'
    EXPIRED = 'expired'


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
        min_capacity: Capacity from which an instance takes over at once;
            smaller ones wait for DEFERENCE_S.
        software_versions: Service and software version of the servers that
            the leader has known lately, None if the writer did not state them.
        crashes: Fingerprint, server, process and age in seconds at the last
            renewal of the crashes of the most suspect requests and parts of
            prompts.
    """

    holder: str
    host: str
    port: int
    fence: int
    renewals: int
    instances: int
    min_capacity: float = 0.0
    software_versions: tuple[tuple[str, str], ...] | None = None
    crashes: tuple[tuple[str, str, str, float], ...] = ()


def leading_capacity(cpu_cores, link_mbps):
    """Return the capacity of an instance to lead, in cores.

    Args:
        cpu_cores: Processor time that it may use, in cores.
        link_mbps: Rate of its network link in Mbit/s.
    """
    return min(cpu_cores, link_mbps / LEADER_MBPS_PER_CORE)


def min_capacity(capacities):
    """Return the capacity from which an instance takes over at once."""
    return MIN_CAPACITY_SHARE * max(capacities)


class LeaseObserver:
    """The lease object as this instance has read it."""

    def __init__(self):
        self._record = None
        self._unchanged_since = None
        self._free_since = None
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
            self._free_since = None
        self._last_read_at = sent_at

    @property
    def unchanged_s(self):
        """Seconds for which the object was seen unchanged."""
        if self._unchanged_since is None:
            return 0.0
        return max(0.0, self._last_read_at - self._unchanged_since)

    def takeover_reason(
        self, lease_s, own_name, *, capacity, refused, resigned, outdated=False
    ):
        """Return why this instance may take over, or None if it may not.

        Called after each read of the lease.

        Args:
            lease_s: Seconds without a change after which a lease has expired.
            own_name: Name of this instance.
            capacity: Its capacity to lead, in cores.
            refused: Whether the leader's address refuses connections.
            resigned: Whether the leader has given the lease up.
            outdated: Whether the store was restored since the record was
                written, or since there was none.

        Returns:
            The TakeoverReason, or None.
        """
        if self._unchanged_since is None:
            return None
        record = self._record
        if outdated:
            # A later holder, of a lease that is lost, may still lead.
            reason = TakeoverReason.EXPIRED
        else:
            reason = self._reason_to_take(own_name, refused, resigned)
        if reason in (TakeoverReason.NO_LEASE, TakeoverReason.OWN_LEASE):
            return reason
        if self.unchanged_s < _required_s(reason, lease_s):
            return None
        if self._free_since is None:
            self._free_since = self._last_read_at
        is_small = record is not None and capacity < record.min_capacity
        if is_small and self._last_read_at - self._free_since < DEFERENCE_S:
            return None
        return reason

    def _reason_to_take(self, own_name, refused, resigned):
        """Return the reason to take over, now or later."""
        record = self._record
        if record is None:
            return TakeoverReason.NO_LEASE
        if record.holder == own_name:
            return TakeoverReason.OWN_LEASE
        if not record.holder:
            return TakeoverReason.RELEASED
        if resigned:
            return TakeoverReason.RESIGNED
        return TakeoverReason.REFUSED if refused else TakeoverReason.EXPIRED


def _required_s(reason, lease_s):
    """Return for how many seconds a lease has to be unchanged."""
    if reason in (TakeoverReason.RELEASED, TakeoverReason.RESIGNED):
        return 0.0
    return REFUSED_TAKEOVER_S if reason is TakeoverReason.REFUSED else lease_s


def is_lease_valid(now, renewal_sent_at, lease_s):
    """Return whether the lease of the leader is still valid.

    Args:
        now: Time in seconds on a clock that includes suspended time.
        renewal_sent_at: Time in seconds at which the last successful renewal
            was sent.
        lease_s: Duration of the lease in seconds.
    """
    return now - renewal_sent_at < lease_s - LEASE_MARGIN_S
