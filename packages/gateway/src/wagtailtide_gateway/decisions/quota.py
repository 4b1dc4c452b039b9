"""An organisation's rate over all instances: one bucket, small advances.

The duty holder keeps one bucket for each organisation. The instances draw
advances from it and charge their requests to these. No instance can charge
what was not drawn, so the sum over all instances stays within the bucket.
"""

import dataclasses
import math

# Advance that an instance holds, in seconds of its recent use. It covers the
# time between two exchanges with the duty holder.
ADVANCE_S = 0.6

# An advance of this many times what is wanted is given back to that point.
RETURN_ABOVE = 3.0

# Time in seconds over which the use of an organisation is averaged.
USE_OVER_S = 1.5

# Longest time in seconds for which an instance that has lost the duty holder
# saves up its even share.
ALONE_SAVING_S = 1.0


@dataclasses.dataclass
class _Account:
    level: float
    updated_at: float


class Buckets:
    """Buckets of all organisations, kept by the duty holder.

    A bucket is empty at the begin of a duty: the holder before may have just
    given out a whole burst.

    Args:
        begun_at: Begin of the duty, a time in seconds; minus infinity if
            nobody held it before.
    """

    def __init__(self, begun_at):
        self._begun_at = begun_at
        self._accounts = {}

    def draw(self, org, amount, now):
        """Take up to an amount out of a bucket.

        Args:
            org: The Organisation.
            amount: What is wanted; negative gives back.
            now: Time in seconds.

        Returns:
            What was taken.
        """
        account = self._advance(org, now)
        taken = min(amount, max(account.level, 0.0))
        account.level = min(account.level - taken, org.burst)
        return taken

    def shortfall_s(self, org, amount, now):
        """Return the seconds until an amount will be there."""
        account = self._advance(org, now)
        return max(0.0, amount - account.level) / org.rate_per_s

    def _advance(self, org, now):
        account = self._accounts.get(org.name)
        if account is None:
            account = self._accounts[org.name] = _Account(0.0, self._begun_at)
        added = (now - account.updated_at) * org.rate_per_s
        account.level = min(account.level + added, org.burst)
        account.updated_at = now
        return account


class Advances:
    """What this instance may charge to each organisation."""

    def __init__(self):
        self._balance = {}
        self._use_per_s = {}
        self._used = {}
        self._awaited = {}
        self._alone_since = {}

    def charge(self, org, cost):
        """Charge a request; return whether the advance covers it."""
        if not org.rate_per_s:
            return True
        self._used[org.name] = self._used.get(org.name, 0.0) + cost
        return self.charge_again(org, cost)

    def charge_again(self, org, cost):
        """Charge a request that was counted as use before."""
        balance = self._balance.get(org.name, 0.0)
        if balance < cost:
            return False
        self._balance[org.name] = balance - cost
        return True

    def refund(self, org, cost):
        """Return the charge of a request that did not run."""
        if org.rate_per_s:
            self._balance[org.name] = self._balance.get(org.name, 0.0) + cost

    def await_cover(self, org, cost):
        """Note that a request waits for a larger advance."""
        self._awaited[org.name] = self._awaited.get(org.name, 0.0) + cost

    def await_no_longer(self, org, cost):
        """Note that a request has its charge, or has given up."""
        self._awaited[org.name] -= cost

    def wants(self, elapsed_s):
        """Return what to draw for each organisation, negative to return.

        Args:
            elapsed_s: Seconds since the last call.
        """
        weight = 1.0 - math.exp(-elapsed_s / USE_OVER_S)
        wants = {}
        for name in self._used.keys() | self._use_per_s.keys():
            used = self._used.get(name, 0.0) / max(elapsed_s, 0.001)
            known = self._use_per_s.get(name, 0.0)
            use = self._use_per_s[name] = known + weight * (used - known)
            balance = self._balance.get(name, 0.0)
            target = use * ADVANCE_S + self._awaited.get(name, 0.0)
            if balance < target:
                wants[name] = target - balance
            elif balance > target * RETURN_ABOVE:
                wants[name] = target - balance
                self._balance[name] = target
        self._used.clear()
        return wants

    def grant(self, name, amount):
        """Add what was drawn."""
        if amount > 0:
            self._balance[name] = self._balance.get(name, 0.0) + amount

    def save_alone(self, org, instances, now):
        """Add an even share of the rate while there is no duty holder.

        Args:
            org: The Organisation.
            instances: Number of instances that may do the same.
            now: Time in seconds.
        """
        since = self._alone_since.get(org.name, now)
        elapsed_s = min(now - since, ALONE_SAVING_S)
        self.grant(org.name, elapsed_s * org.rate_per_s / instances)
        self._alone_since[org.name] = now

    def end_alone(self):
        """Forget since when shares were saved."""
        self._alone_since.clear()
