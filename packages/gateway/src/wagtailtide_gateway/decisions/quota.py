"""Rate limits of organisations, shared by all instances.

The leader keeps one token bucket for each organisation. The instances draw
from it into a local quota and charge their requests to that. An instance can
only charge what it has drawn, so that all instances together stay within the
rate and burst of the bucket.
"""

import dataclasses
import math
import random

# Target size of the local quota, in seconds of recent usage. It lasts until
# the next exchange with the leader.
LOCAL_QUOTA_S = 0.6

# If the local quota exceeds its target by this factor, the surplus is
# returned.
RETURN_FACTOR = 3.0

# Averaging time in seconds for the usage of an organisation.
USAGE_AVERAGE_S = 1.5

# Longest time in seconds for which one call adds an even share while the
# leader does not answer.
MAX_ACCRUAL_INTERVAL_S = 1.0

# Time in seconds from the expiry of a lease until the next leader has answered
# the instances.
TAKEOVER_S = 1.0

# Bounds of the random part of the Retry-After value while the rate is not
# known.
MIN_RETRY_SPREAD_S = 0.3
MAX_RETRY_SPREAD_S = 1.5


def unconfirmed_retry_s(silent_s, lease_s):
    """Return the Retry-After value in seconds while no leader answers.

    Callers return when another instance can lead, spread over a second so
    that the new leader is not met by all of them at once.

    Args:
        silent_s: Seconds since the last update of a leader.
        lease_s: Duration of the leader's lease in seconds.
    """
    spread_s = random.uniform(MIN_RETRY_SPREAD_S, MAX_RETRY_SPREAD_S)
    return max(0.0, lease_s + TAKEOVER_S - silent_s) + spread_s


@dataclasses.dataclass
class _Bucket:
    level: float
    updated_at: float


class TokenBuckets:
    """Token buckets of all organisations, kept by the leader.

    A bucket is empty at the start of a leadership term, because the previous
    leader may just have granted a full burst.

    Args:
        leader_since: Start of the term, a time in seconds; minus infinity if
            there was no leader before.
    """

    def __init__(self, leader_since):
        self._leader_since = leader_since
        self._buckets = {}

    def draw(self, org, amount, now):
        """Draw up to an amount from the bucket of an organisation.

        Args:
            org: The Organisation.
            amount: Amount to draw; a negative amount is returned to the
                bucket.
            now: Time in seconds.

        Returns:
            The amount drawn.
        """
        bucket = self._refill(org, now)
        taken = min(amount, max(bucket.level, 0.0))
        bucket.level = min(bucket.level - taken, org.burst)
        return taken

    def refill_wait_s(self, org, amount, now):
        """Return the seconds until the bucket holds an amount."""
        bucket = self._refill(org, now)
        return max(0.0, amount - bucket.level) / org.rate_per_s

    def _refill(self, org, now):
        bucket = self._buckets.get(org.name)
        if bucket is None:
            bucket = self._buckets[org.name] = _Bucket(0.0, self._leader_since)
        added = (now - bucket.updated_at) * org.rate_per_s
        bucket.level = min(bucket.level + added, org.burst)
        bucket.updated_at = now
        return bucket


class LocalQuota:
    """Local quota of this instance for each organisation."""

    def __init__(self):
        self._balance = {}
        self._usage_per_s = {}
        self._charged = {}
        self._pending = {}
        self._accrued_at = {}

    def charge(self, org, cost):
        """Charge a request; return whether the local quota covers it."""
        if not org.rate_per_s:
            return True
        self._charged[org.name] = self._charged.get(org.name, 0.0) + cost
        return self.charge_counted(org, cost)

    def charge_counted(self, org, cost):
        """Charge a request whose usage was counted before.

        Returns:
            Whether the local quota covers the request.
        """
        balance = self._balance.get(org.name, 0.0)
        if balance < cost:
            return False
        self._balance[org.name] = balance - cost
        return True

    def refund(self, org, cost):
        """Return the charge of a request that did not run."""
        if org.rate_per_s:
            self._balance[org.name] = self._balance.get(org.name, 0.0) + cost

    def add_pending(self, org, cost):
        """Add a waiting request to the amount to be drawn."""
        self._pending[org.name] = self._pending.get(org.name, 0.0) + cost

    def remove_pending(self, org, cost):
        """Remove a request that no longer waits for quota."""
        self._pending[org.name] -= cost

    def amounts_to_draw(self, elapsed_s):
        """Return the amounts to draw by organisation, negative to return.

        Args:
            elapsed_s: Seconds since the last call.
        """
        weight = 1.0 - math.exp(-elapsed_s / USAGE_AVERAGE_S)
        draws = {}
        for name in self._charged.keys() | self._usage_per_s.keys():
            current = self._charged.get(name, 0.0) / max(elapsed_s, 0.001)
            average = self._usage_per_s.get(name, 0.0)
            usage = self._usage_per_s[name] = average + weight * (
                current - average
            )
            balance = self._balance.get(name, 0.0)
            target = usage * LOCAL_QUOTA_S + self._pending.get(name, 0.0)
            if balance < target:
                draws[name] = target - balance
            elif balance > target * RETURN_FACTOR:
                draws[name] = target - balance
                self._balance[name] = target
        self._charged.clear()
        return draws

    def add_granted(self, name, amount):
        """Add an amount to the local quota unless it is negative."""
        if amount > 0:
            self._balance[name] = self._balance.get(name, 0.0) + amount

    def accrue_even_share(self, org, instances, now):
        """Add an even share of the rate while the leader does not answer.

        Args:
            org: The Organisation.
            instances: Number of instances that share the rate.
            now: Time in seconds.
        """
        last_at = self._accrued_at.get(org.name, now)
        elapsed_s = min(now - last_at, MAX_ACCRUAL_INTERVAL_S)
        self.add_granted(org.name, elapsed_s * org.rate_per_s / instances)
        self._accrued_at[org.name] = now

    def reset_accrual(self):
        """Reset the times at which even shares were added."""
        self._accrued_at.clear()
