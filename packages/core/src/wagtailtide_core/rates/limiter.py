"""Rate limiter of one instance over all organisations."""

import dataclasses
import math

from wagtailtide_core.rates import bucket
from wagtailtide_core.rates import grants as grants_
from wagtailtide_core.rates import shares

# A slot counts only after grants of its previous holder have expired.
SLOT_WAIT_S = grants_.VALID_S * bucket.CLOCK_DRIFT**2 + 2 * grants_.MARGIN_S
# An instance without news of the document refuses keys after 300 s, so after
# this time no instance uses an earlier number of slots.
DIVISION_WAIT_S = 320.0


@dataclasses.dataclass(frozen=True, slots=True)
class Charge:
    """An admitted request's tokens, settled once with the true count.

    Attributes:
        org: Name of the organisation.
        id: Number of the charge on this instance.
        tokens: Tokens charged in all.
        granted: Part of them that came from grants.
    """

    org: str
    id: int
    tokens: int
    granted: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Shortfall:
    """A request that the own bucket cannot admit.

    Attributes:
        tokens: Tokens missing.
        retry_after_s: Time after which the organisation's rate has refilled
            them.
    """

    tokens: int
    retry_after_s: float


@dataclasses.dataclass
class _Tenant:
    rate: float
    burst: float
    divisions: list
    bucket: bucket.Bucket


class RateLimiter:
    """Buckets of all organisations on one instance.

    Attributes:
        held: Slots that count now.
        valid_until: Own time at which all slots stop counting.
    """

    def __init__(self, invariants=None):
        self.held = frozenset()
        self.valid_until = -math.inf
        self._waiting = {}
        self._tenants = {}
        self._divisions_due = math.inf
        self._invariants = invariants
        self._next_id = 0

    def configure(self, organisations, now):
        """Apply rates, bursts and numbers of slots.

        Args:
            organisations: Mapping from name to the document's entry.
            now: Own time in seconds.
        """
        self._tick(now)
        for name in self._tenants.keys() - organisations.keys():
            del self._tenants[name]
        for name, org in organisations.items():
            new = shares.divide(name, org.share_slots, self.held)
            tenant = self._tenants.get(name)
            if tenant is None:
                tenant = _Tenant(0.0, 0.0, [new], bucket.Bucket(now))
                self._tenants[name] = tenant
            elif tenant.divisions[-1].slots != new.slots:
                until = now + DIVISION_WAIT_S
                tenant.divisions[-1].until = until
                self._divisions_due = min(self._divisions_due, until)
                tenant.divisions.append(new)
            tenant.rate = org.rate_tokens_per_s
            tenant.burst = org.burst_tokens
            self._resize(tenant, now)

    def hold(self, slots, valid_until, now):
        """Set the slots held; new ones count after their previous grants.

        Args:
            slots: Slots that the roster gives to the own session.
            valid_until: Own time at which the lease of the slots ends.
            now: Own time in seconds.
        """
        self._tick(now)
        self.valid_until = valid_until
        if now >= valid_until:
            slots = frozenset()
        slots = frozenset(slots)
        self._waiting = {
            slot: self._waiting.get(slot, now + SLOT_WAIT_S)
            for slot in slots - self.held
        }
        self._change(slots & self.held, now)

    def admit(self, org, tokens, now):
        """Charge an estimate to the own bucket.

        Args:
            org: Name of the organisation.
            tokens: Prompt estimate plus the largest completion.
            now: Own time in seconds.

        Returns:
            A charge, or the shortfall.

        Raises:
            KeyError: If the organisation is not configured.
        """
        return self.admit_with_grants(org, tokens, (), now)

    def admit_with_grants(self, org, tokens, grants, now):
        """Charge an estimate to grants first and then to the own bucket.

        Args:
            org: Name of the organisation.
            tokens: Prompt estimate plus the largest completion.
            grants: Grants received for this request.
            now: Own time in seconds.

        Returns:
            A charge, or what is missing beyond the usable grants.
        """
        self._tick(now)
        tenant = self._tenants[org]
        granted = min(tokens, grants_.usable_tokens(grants, now))
        own = tokens - granted
        self._next_id += 1
        if tenant.bucket.charge(self._next_id, own, now):
            self._check(tenant)
            return Charge(org, self._next_id, tokens, granted)
        missing = math.ceil(own - max(0.0, tenant.bucket.level))
        return Shortfall(missing, missing / tenant.rate)

    def absorb(self, org, grants, used_tokens, now):
        """Add what a request left of its grants to the own bucket.

        The donors have given these tokens up, and the own capacity does not
        grow, so the levels of all instances stay within the burst. Without
        this, refused requests would use up the rate with their grants.

        Args:
            org: Name of the organisation.
            grants: All grants received for the request; not used again.
            used_tokens: Part of them that the request was charged.
            now: Own time in seconds.
        """
        self._tick(now)
        tenant = self._tenants.get(org)
        left = grants_.usable_tokens(grants, now) - used_tokens
        if tenant is not None and left > 0:
            tenant.bucket.credit(left, now)
            self._check(tenant)

    def settle(self, charge, true_tokens, now):
        """Correct a charge to the true count, once.

        Tokens of grants are counted as used first, because they cannot be
        returned to their donor.
        """
        self._tick(now)
        tenant = self._tenants.get(charge.org)
        if tenant is None:
            return
        true_tokens = min(true_tokens, charge.tokens)
        own = max(0, true_tokens - charge.granted)
        tenant.bucket.settle(charge.id, own, now)
        self._check(tenant)

    def grant(self, org, tokens, now, valid_s):
        """Lend tokens to a peer.

        Args:
            org: Name of the organisation.
            tokens: Tokens that the peer is short of.
            now: Own time in seconds.
            valid_s: Time that the peer may use them after sending its call.

        Returns:
            The tokens lent, 0 for an unknown organisation.
        """
        self._tick(now)
        tenant = self._tenants.get(org)
        if tenant is None or tokens <= 0:
            return 0
        until = grants_.lent_until(now, valid_s)
        return tenant.bucket.lend(tokens, until, now)

    def level(self, org, now):
        """Return the tokens that the own bucket could admit now."""
        self._tick(now)
        tenant = self._tenants[org]
        tenant.bucket.advance(now)
        return tenant.bucket.level

    def share(self, org):
        """Return the part of the organisation's rate that counts now."""
        return shares.smallest_share(self._tenants[org].divisions)

    def _tick(self, now):
        """End a lapsed lease and apply changes that have become due."""
        if now >= self.valid_until and (self.held or self._waiting):
            self._waiting = {}
            self._change(frozenset(), now)
        due = [slot for slot, at in self._waiting.items() if at <= now]
        if due:
            for slot in due:
                del self._waiting[slot]
            self._change(self.held.union(due), now)
        if now >= self._divisions_due:
            for tenant in self._tenants.values():
                self._resize(tenant, now)
            self._divisions_due = min(
                (
                    division.until
                    for tenant in self._tenants.values()
                    for division in tenant.divisions
                    if division.until is not None
                ),
                default=math.inf,
            )

    def _change(self, held, now):
        lost, gained = self.held - held, held - self.held
        self.held = held
        if not lost and not gained:
            return
        for tenant in self._tenants.values():
            for division in tenant.divisions:
                slots = division.slots
                division.held += sum(slot in slots for slot in gained)
                division.held -= sum(slot in slots for slot in lost)
            self._resize(tenant, now)

    def _resize(self, tenant, now):
        tenant.divisions = [
            d for d in tenant.divisions if d.until is None or now < d.until
        ]
        share = shares.smallest_share(tenant.divisions)
        tenant.bucket.resize(tenant.rate * share, tenant.burst * share, now)

    def _check(self, tenant):
        if self._invariants is not None:
            level = tenant.bucket.level
            self._invariants.check(
                'rate_bound',
                -1e-6 <= level <= tenant.bucket.capacity + 1e-6,
                level=level,
                capacity=tenant.bucket.capacity,
            )
