"""Rate limits of organisations, shared by all instances.

The leader keeps one token bucket for each organisation. The instances draw
from it into a local quota and charge their requests to that. An instance can
only charge what it has drawn, so that all instances together stay within the
rate and burst of the bucket.

The leader also divides the rates evenly among the instances. While an instance
hears no leader, its local quota accrues its share of each rate. The shares of
all instances add up to one at most, also over changes of the leader: a new
leader adds to its buckets only for the shares that were handed over to it, and
for no instance that may be using its share.
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

# Longest time in seconds for which one call accrues a share of a rate. A
# suspended instance has served nothing meanwhile.
MAX_ACCRUAL_INTERVAL_S = 1.0

# Seconds of the rate, beside the burst, that unused shares add up to at most.
MAX_ACCRUED_S = 0.7

# Part of what is left of a burst that the instances may use by themselves.
RESERVE_PART = 0.3

# An instance that has not reported for this many seconds may be using its
# shares. It spans a report that was lost in a large cluster.
ABSENT_AFTER_S = 1.6

# Renewals of one lease after which an instance that does not hear its holder
# stops using its shares.
MAX_UNHEARD_RENEWALS = 4

# Seconds after which the shares of a silent instance are given to others. It
# covers the time in which the instance reads that many renewals.
SHARE_TTL_S = 6.5

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
    present_share: float


class TokenBuckets:
    """Token buckets of all organisations, kept by the leader.

    A bucket is empty at the start of a leadership term, because the previous
    leader may just have granted a full burst.

    Args:
        leader_since: Start of the term, a time in seconds; minus infinity if
            there was no leader before.
        present_share: Share of each rate that the buckets get until
            `set_present_share` is called.
    """

    def __init__(self, leader_since, present_share=1.0):
        self._leader_since = leader_since
        self._present_share = present_share
        self._buckets = {}

    def set_present_share(self, org, share, now):
        """Set the share of the rate that the bucket gets from now on."""
        self._refill(org, now).present_share = share

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
        rate_per_s = org.rate_per_s * max(bucket.present_share, 0.1)
        return max(0.0, amount - bucket.level) / rate_per_s

    def fill(self, org, now):
        """Return the part of the burst that the bucket holds, 0.0 to 1.0."""
        if not org.burst:
            return 0.0
        return max(0.0, self._refill(org, now).level / org.burst)

    def _refill(self, org, now):
        bucket = self._buckets.get(org.name)
        if bucket is None:
            bucket = self._buckets[org.name] = _Bucket(
                0.0, self._leader_since, self._present_share
            )
        elapsed_s = now - bucket.updated_at
        added = elapsed_s * org.rate_per_s * bucket.present_share
        bucket.level = min(bucket.level + added, org.burst)
        bucket.updated_at = now
        return bucket


class RateShares:
    """Shares of the rates that the instances hold, kept by the leader.

    Args:
        leader_since: Start of the term, a time in seconds; minus infinity if
            there was no leader before.
    """

    def __init__(self, leader_since):
        self._unclaimed = 1.0
        self._unclaimed_until = leader_since + SHARE_TTL_S
        self._handed_over = {}
        self._held = {}
        self._held_total = 0.0
        self._reported_at = {}
        self._absent_since = {}

    def receive(self, instance, in_this_term, share, now):
        """Apply a report of an instance.

        A share of an earlier term is handed over with the first report and
        claimed with the next one. Until then the update that ends its use may
        have been lost.

        Args:
            instance: Name of the instance.
            in_this_term: Whether it has had an update of this term.
            share: Share that it holds.
            now: Time in seconds.

        Returns:
            Time in seconds in which its share was withheld from the buckets,
            multiplied by the share.
        """
        if not in_this_term:
            self._drop(instance)
            self._handed_over[instance] = share
            return 0.0
        handed_over = self._handed_over.pop(instance, 0.0)
        claimed = min(handed_over, self._unclaimed_share(now))
        self._unclaimed -= claimed
        self._hold(instance, self._held.get(instance, 0.0) + claimed)
        self._reported_at[instance] = now
        absent_since = self._absent_since.pop(instance, now)
        return self._held[instance] * (now - absent_since)

    def issue(self, instance, now):
        """Return the new share of an instance, None to keep its old one."""
        if instance not in self._held:
            return None
        others = self._held_total - self._held[instance]
        free = 1.0 - self._unclaimed_share(now) - others
        self._hold(instance, max(0.0, min(1.0 / len(self._held), free)))
        return self._held[instance]

    def expire(self, now):
        """Mark silent instances as absent and drop those silent for long."""
        for instance, reported_at in list(self._reported_at.items()):
            silent_s = now - reported_at
            if silent_s > SHARE_TTL_S:
                self._drop(instance)
            elif silent_s > ABSENT_AFTER_S:
                self._absent_since.setdefault(instance, now)

    def present_share(self, now):
        """Return the share of the rates that no silent instance may use."""
        absent = sum(self._held[instance] for instance in self._absent_since)
        return max(0.0, 1.0 - absent - self._unclaimed_share(now))

    def _unclaimed_share(self, now):
        return self._unclaimed if now < self._unclaimed_until else 0.0

    def _hold(self, instance, share):
        self._held_total += share - self._held.get(instance, 0.0)
        self._held[instance] = share

    def _drop(self, instance):
        self._held_total -= self._held.pop(instance, 0.0)
        for by_instance in (
            self._handed_over,
            self._reported_at,
            self._absent_since,
        ):
            by_instance.pop(instance, None)


class LocalQuota:
    """Local quota of this instance for each organisation.

    Attributes:
        fence: Fencing token of the last leader heard, 0 if there was none.
        share: Share of each rate that it accrues while no leader answers.
    """

    def __init__(self):
        self.fence = 0
        self.share = 0.0
        self._fills = None
        self._accrued = {}
        self._thresholds = {}
        self._lease = None
        self._unheard_renewals = 0
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
        for name in self._charged.keys() | self._balance.keys():
            current = self._charged.get(name, 0.0) / max(elapsed_s, 0.001)
            average = self._usage_per_s.get(name, 0.0)
            usage = self._usage_per_s[name] = average + weight * (
                current - average
            )
            balance = self._balance.get(name, 0.0)
            target = usage * LOCAL_QUOTA_S + self._pending.get(name, 0.0)
            if balance < target:
                draws[name] = target - balance
            elif (
                balance > target * RETURN_FACTOR and name not in self._accrued
            ):
                # What was accrued stays for requests until a leader answers.
                draws[name] = target - balance
                self._balance[name] = target
        self._charged.clear()
        return draws

    def add_granted(self, name, amount):
        """Add an amount to the local quota unless it is negative."""
        if amount > 0:
            self._balance[name] = self._balance.get(name, 0.0) + amount

    def set_first_share(self, instances):
        """Set the share to hand over to the first leader.

        It is not used before, because the number of instances as last
        recorded may be that of a new leader that had heard few of them.
        """
        if not self.fence:
            self.share = 1.0 / instances

    def record_lease(self, fence, renewals):
        """Record a lease as read while its holder does not answer.

        An instance that is cut off from a working leader stops using its
        shares, because the leader gives them to others.
        """
        if self._lease is None or self._lease[0] != fence:
            self._unheard_renewals = 0
        elif self._lease[1] != renewals:
            self._unheard_renewals += 1
        self._lease = fence, renewals

    def accrue(self, org, now):
        """Accrue the share of a rate while no leader answers."""
        last_at = self._accrued_at.get(org.name, now)
        self._accrued_at[org.name] = now
        if not self.fence or self._unheard_renewals >= MAX_UNHEARD_RENEWALS:
            return
        elapsed_s = min(now - last_at, MAX_ACCRUAL_INTERVAL_S)
        reserve = 0.0
        if org.name not in self._accrued and self._fills is not None:
            fill = self._fills.get(org.name, 1.0)
            reserve = RESERVE_PART * org.burst * fill
        capacity = self.share * (org.burst + MAX_ACCRUED_S * org.rate_per_s)
        balance = self._balance.get(org.name, 0.0)
        added = self.share * (reserve + elapsed_s * org.rate_per_s)
        added = max(0.0, min(added, capacity - balance))
        self._balance[org.name] = balance + added
        self._accrued[org.name] = self._accrued.get(org.name, 0.0) + added

    def charge_without_leader(self, org, cost, now):
        """Charge a request while no leader answers.

        Returns:
            Whether the local quota covers the request.
        """
        if not org.rate_per_s:
            return True
        self._charged[org.name] = self._charged.get(org.name, 0.0) + cost
        return self.charge_share_counted(org, cost, now)

    def charge_share_counted(self, org, cost, now):
        """Charge a request to a share; its usage was counted before.

        With many instances, a share may be less than one request. Each
        instance therefore admits its first request at a random part of the
        cost and owes the rest. Over all instances, what is owed and what is
        left over balance out.

        Returns:
            Whether the local quota covers the request.
        """
        self.accrue(org, now)
        threshold = self._thresholds.setdefault(org.name, random.random())
        balance = self._balance.get(org.name, 0.0)
        if balance <= 0.0 or balance < cost * threshold:
            return False
        self._balance[org.name] = balance - cost
        return True

    def apply_share(self, fence, share, fills):
        """Apply the share in an update of a leader.

        A leader that did not answer for a time has added the whole rate to
        its buckets for that time, so what was accrued is drawn from them. A
        new leader has not.

        Args:
            fence: Fencing token of the leader.
            share: Share of each rate, None to keep the present one.
            fills: Part of each burst that is left, for the buckets that are
                not full; None if the update does not state them.
        """
        if fence == self.fence:
            for name, amount in self._accrued.items():
                self._balance[name] -= amount
        if fence != self.fence or fills is not None:
            self._fills = fills
        if share is not None:
            self.share = share
        self.fence = fence
        self._accrued.clear()
        self._accrued_at.clear()
        self._lease = None
        self._unheard_renewals = 0
