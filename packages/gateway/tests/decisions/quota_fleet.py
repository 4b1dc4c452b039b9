"""Instances and leaders that share rates, driven by a replayed load."""

import random

from wagtailtide_gateway.decisions import quota

from tests import builders

TICK_S = 0.05

# Interval of the exchanges of 133 instances.
INTERVAL_S = 1.1


class Leader:
    """A leader's part of the exchanges.

    Attributes:
        frozen: Whether it answers nothing.
    """

    def __init__(self, orgs, fence, now):
        since = float('-inf') if fence == 1 else now
        self.fence = fence
        self.frozen = False
        self._orgs = {org.name: org for org in orgs}
        self._shares = quota.RateShares(since)
        self._buckets = quota.TokenBuckets(since, float(fence == 1))
        self._updated_at = now - 1.0

    def answer(self, name, local_quota, elapsed_s, full, now):
        """Carry out an exchange with an instance."""
        in_this_term = local_quota.fence == self.fence
        withheld_s = self._shares.receive(
            name, in_this_term, local_quota.share, now
        )
        for org in self._orgs.values():
            self._buckets.draw(org, -withheld_s * org.rate_per_s, now)
        self._update_present_shares(now)
        grants = {}
        for org_name, amount in local_quota.amounts_to_draw(elapsed_s).items():
            org = self._orgs[org_name]
            grants[org_name] = self._buckets.draw(org, amount, now)
        fills = None
        if full:
            fills = {
                org.name: self._buckets.fill(org, now)
                for org in self._orgs.values()
            }
        share = self._shares.issue(name, now)
        local_quota.apply_share(self.fence, share, fills)
        for org_name, amount in grants.items():
            local_quota.add_granted(org_name, amount)

    def _update_present_shares(self, now):
        if now - self._updated_at < 0.25:
            return
        self._updated_at = now
        self._shares.expire(now)
        share = self._shares.present_share(now)
        for org in self._orgs.values():
            self._buckets.set_present_share(org, share, now)


class Instance:
    """An instance that serves requests and exchanges with its leader.

    Attributes:
        leader: The Leader that it reaches, or None.
        unheard: Leader whose lease it reads but which it does not reach.
        frozen: Whether its process is suspended.
        hears_leader: Whether the last exchange was answered.
    """

    def __init__(self, name, instances, rng):
        self.name = name
        self.leader = None
        self.unheard = None
        self.frozen = False
        self.hears_leader = False
        self.quota = quota.LocalQuota()
        self.quota.set_first_share(instances)
        self._next_at = rng.random() * INTERVAL_S
        self._last_at = -INTERVAL_S
        self._repeat = False

    def exchange(self, now, orgs, full=True):
        """Exchange with the leader, as full reports and on demand."""
        elapsed_s, self._last_at = now - self._last_at, now
        if full:
            self._next_at = now + INTERVAL_S
        leader = self.leader
        self.hears_leader = leader is not None and not leader.frozen
        if self.hears_leader:
            if leader.fence != self.quota.fence:
                self._next_at = now
            leader.answer(self.name, self.quota, elapsed_s, full, now)
            return
        if self.unheard is not None:
            self.quota.record_lease(self.unheard.fence, int(now))
        for org in orgs:
            self.quota.accrue(org, now)

    def tick(self, now, orgs):
        """Exchange if it is time."""
        if not self.frozen and now >= self._next_at:
            self.exchange(now, orgs)

    def admit(self, org, cost, now, orgs):
        """Return whether a request is admitted."""
        if not self.hears_leader:
            return self.quota.charge_without_leader(org, cost, now)
        if self.quota.charge(org, cost):
            return True
        self.quota.add_pending(org, cost)
        self.exchange(now, orgs, full=False)
        self.quota.remove_pending(org, cost)
        if not self.hears_leader:
            return self.quota.charge_without_leader(org, cost, now)
        return self.quota.charge_counted(org, cost)


class Fleet:
    """Instances, organisations of unequal size and uneven callers.

    Attributes:
        instances: The Instance objects.
        orgs: The organisations.
        admitted: Time and cost of the admitted requests, by organisation.
        asked: Time and cost of all requests, by organisation.
    """

    def __init__(self, instances=133, orgs=16, seed=1):
        self.rng = random.Random(seed)
        random.seed(seed)
        self.instances = [
            Instance(f'front-{n}', instances, self.rng)
            for n in range(instances)
        ]
        self.orgs = [
            builders.make_organisation(
                name=f'org-{n}',
                rate_per_s=140_000.0 / (n + 1) + 4_200.0,
                burst=140_000.0 / (n + 1) + 4_200.0,
            )
            for n in range(orgs)
        ]
        # Callers reach the instances unevenly.
        self._weights = [
            [self.rng.uniform(0.3, 1.7) for _ in self.instances]
            for _ in self.orgs
        ]
        self.admitted = {org.name: [] for org in self.orgs}
        self.asked = {org.name: [] for org in self.orgs}
        self.now = 0.0
        self.leader = None

    def lead(self, fence, instances=None):
        """Start a leader that some or all instances reach; return it."""
        leader = Leader(self.orgs, fence, self.now)
        for instance in instances or self.instances:
            instance.leader = leader
        return leader

    def lose_leader(self, instances=None):
        """Cut some or all instances off from their leader."""
        for instance in instances or self.instances:
            instance.leader = None

    def run(self, duration_s, load=0.6, loads=None):
        """Run for a time.

        Args:
            duration_s: Time in seconds.
            load: Demand of each organisation, relative to its rate.
            loads: Demand of some organisations by index, instead of `load`.
        """
        for _ in range(round(duration_s / TICK_S)):
            self.now += TICK_S
            for instance in self.instances:
                instance.tick(self.now, self.orgs)
            for index, org in enumerate(self.orgs):
                factor = (loads or {}).get(index, load)
                self._send(index, org, factor * org.rate_per_s * TICK_S)

    def _send(self, index, org, tokens):
        while True:
            cost = self.rng.choice((200, 1_114, 1_114, 1_114, 2_392))
            if self.rng.random() * cost > tokens:
                return
            tokens -= cost
            instance = self.rng.choices(self.instances, self._weights[index])[
                0
            ]
            if instance.frozen:
                continue
            self.asked[org.name].append((self.now, cost))
            if instance.admit(org, cost, self.now, self.orgs):
                self.admitted[org.name].append((self.now, cost))

    def served_share(self, since):
        """Return the part of the tokens asked for that was admitted."""
        asked, admitted = (
            sum(c for rows in log.values() for t, c in rows if t > since)
            for log in (self.asked, self.admitted)
        )
        return admitted / asked

    def excess(self, window_s=8.0):
        """Return how far admissions exceed what the bound allows.

        Returns:
            Largest excess over rate and burst, relative to the rate, with the
            index of its organisation.
        """
        worst = (float('-inf'), None)
        for index, org in enumerate(self.orgs):
            rows = self.admitted[org.name]
            first, total = 0, 0
            for at, cost in rows:
                total += cost
                while rows[first][0] <= at - window_s:
                    total -= rows[first][1]
                    first += 1
                allowed = (org.rate_per_s * window_s + org.burst) * 1.1
                used = (total - allowed - 17_000) / org.rate_per_s
                worst = max(worst, (used, index))
        return worst
