"""Rate limiter of one instance for all organisations."""

import dataclasses
import math

from wagtailtide_core.rates import bucket
from wagtailtide_core.rates import grants as grants_
from wagtailtide_core.rates import shares

# A new slot counts only after this time, when all grants of its previous
# holder have expired.
SLOT_ACTIVATION_DELAY_S = (
    grants_.GRANT_VALIDITY_S * bucket.MAX_CLOCK_SPEED_RATIO**2
    + 2 * grants_.EXPIRY_MARGIN_S
)
# An instance refuses keys after 300 s without confirmation of its document, so
# after this time no instance uses the previous number of slots.
DIVISION_OVERLAP_S = 320.0


@dataclasses.dataclass(frozen=True, slots=True)
class Charge:
    """Tokens charged for an admitted request, to be settled once.

    Attributes:
        org: Name of the organisation.
        id: Number of the charge, unique on this instance.
        tokens: Total number of tokens charged.
        granted: Number of these tokens that came from grants.
    """

    org: str
    id: int
    tokens: int
    granted: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Shortfall:
    """Tokens that are missing to admit a request.

    Attributes:
        tokens: Number of missing tokens.
        retry_after_s: Seconds in which the organisation's rate refills them.
    """

    tokens: int
    retry_after_s: float


@dataclasses.dataclass
class _OrgState:
    rate: float
    burst: float
    divisions: list
    bucket: bucket.TokenBucket


class RateLimiter:
    """Rate limiter with a bucket for each organisation.

    Attributes:
        held: Slots of this instance that count now.
        valid_until: Local time in seconds at which all slots stop counting.
    """

    def __init__(self, invariants=None):
        self.held = frozenset()
        self.valid_until = -math.inf
        self._pending_slots = {}
        self._states = {}
        self._next_division_end = math.inf
        self._invariants = invariants
        self._next_id = 0

    def configure(self, organisations, now):
        """Apply the rates, bursts and numbers of slots of a document.

        Args:
            organisations: Organisations of the document, by name.
            now: Local time in seconds.
        """
        self._apply_due_changes(now)
        for name in self._states.keys() - organisations.keys():
            del self._states[name]
        for name, org in organisations.items():
            division = shares.divide(name, org.share_slots, self.held)
            state = self._states.get(name)
            if state is None:
                state = _OrgState(
                    0.0, 0.0, [division], bucket.TokenBucket(now)
                )
                self._states[name] = state
            elif state.divisions[-1].slots != division.slots:
                until = now + DIVISION_OVERLAP_S
                state.divisions[-1].until = until
                self._next_division_end = min(self._next_division_end, until)
                state.divisions.append(division)
            state.rate = org.rate_tokens_per_s
            state.burst = org.burst_tokens
            self._resize_bucket(state, now)

    def hold(self, slots, valid_until, now):
        """Set the slots held; new ones count after `SLOT_ACTIVATION_DELAY_S`.

        Args:
            slots: Slots that the roster assigns to this instance's session.
            valid_until: Local time in seconds at which the lease of the slots
                ends.
            now: Local time in seconds.
        """
        self._apply_due_changes(now)
        self.valid_until = valid_until
        if now >= valid_until:
            slots = frozenset()
        slots = frozenset(slots)
        self._pending_slots = {
            slot: self._pending_slots.get(slot, now + SLOT_ACTIVATION_DELAY_S)
            for slot in slots - self.held
        }
        self._set_held_slots(slots & self.held, now)

    def admit(self, org, tokens, now):
        """Charge an estimate to the local bucket.

        Args:
            org: Name of the organisation.
            tokens: Estimated prompt tokens plus the maximum completion tokens.
            now: Local time in seconds.

        Returns:
            A Charge, or a Shortfall if the request cannot be admitted.

        Raises:
            KeyError: If the organisation is not configured.
        """
        return self.admit_with_grants(org, tokens, (), now)

    def admit_with_grants(self, org, tokens, grants, now):
        """Charge an estimate to grants first and then to the local bucket.

        Args:
            org: Name of the organisation.
            tokens: Estimated prompt tokens plus the maximum completion tokens.
            grants: Grants received for this request.
            now: Local time in seconds.

        Returns:
            A Charge, or a Shortfall with the tokens that are missing in
            addition to the usable grants.
        """
        self._apply_due_changes(now)
        state = self._states[org]
        granted = min(tokens, grants_.usable_tokens(grants, now))
        own_tokens = tokens - granted
        self._next_id += 1
        if state.bucket.charge(self._next_id, own_tokens, now):
            self._check_level(state)
            return Charge(org, self._next_id, tokens, granted)
        missing_tokens = math.ceil(own_tokens - max(0.0, state.bucket.level))
        return Shortfall(missing_tokens, missing_tokens / state.rate)

    def credit_unused_grants(self, org, grants, used_tokens, now):
        """Add the unused grants of a request to the local bucket.

        The donors have deducted these tokens, and the capacity of the bucket
        does not grow, so the levels of all instances stay within the burst.
        Otherwise the grants of refused requests would use up the rate.

        Args:
            org: Name of the organisation.
            grants: All grants received for the request; not used again.
            used_tokens: Number of granted tokens that the request was charged.
            now: Local time in seconds.
        """
        self._apply_due_changes(now)
        state = self._states.get(org)
        unused_tokens = grants_.usable_tokens(grants, now) - used_tokens
        if state is not None and unused_tokens > 0:
            state.bucket.credit(unused_tokens, now)
            self._check_level(state)

    def settle(self, charge, true_tokens, now):
        """Settle a charge with the true count, once.

        Granted tokens are counted as used first, because they cannot be
        returned to their donor.

        Args:
            charge: The Charge.
            true_tokens: Number of tokens that the request used.
            now: Local time in seconds.
        """
        self._apply_due_changes(now)
        state = self._states.get(charge.org)
        if state is None:
            return
        true_tokens = min(true_tokens, charge.tokens)
        own_tokens = max(0, true_tokens - charge.granted)
        state.bucket.settle(charge.id, own_tokens, now)
        self._check_level(state)

    def grant(self, org, tokens, now, valid_s):
        """Lend tokens to a peer.

        Args:
            org: Name of the organisation.
            tokens: Number of tokens that the peer is missing.
            now: Local time in seconds.
            valid_s: Seconds for which the peer may use the tokens, counted
                from the sending of its call.

        Returns:
            The number of tokens lent; 0 for an unknown organisation.
        """
        self._apply_due_changes(now)
        state = self._states.get(org)
        if state is None or tokens <= 0:
            return 0
        until = grants_.loan_end(now, valid_s)
        return state.bucket.lend(tokens, until, now)

    def level(self, org, now):
        """Return the tokens that the local bucket could admit now."""
        self._apply_due_changes(now)
        state = self._states[org]
        state.bucket.advance(now)
        return state.bucket.level

    def share(self, org):
        """Return this instance's share of the rate now, from 0 to 1."""
        return shares.smallest_share(self._states[org].divisions)

    def _apply_due_changes(self, now):
        """End an expired lease; apply slots and divisions that became due."""
        if now >= self.valid_until and (self.held or self._pending_slots):
            self._pending_slots = {}
            self._set_held_slots(frozenset(), now)
        due = [
            slot
            for slot, active_at in self._pending_slots.items()
            if active_at <= now
        ]
        if due:
            for slot in due:
                del self._pending_slots[slot]
            self._set_held_slots(self.held.union(due), now)
        if now >= self._next_division_end:
            for state in self._states.values():
                self._resize_bucket(state, now)
            self._next_division_end = min(
                (
                    division.until
                    for state in self._states.values()
                    for division in state.divisions
                    if division.until is not None
                ),
                default=math.inf,
            )

    def _set_held_slots(self, held, now):
        lost, gained = self.held - held, held - self.held
        self.held = held
        if not lost and not gained:
            return
        for state in self._states.values():
            for division in state.divisions:
                slots = division.slots
                division.held += sum(slot in slots for slot in gained)
                division.held -= sum(slot in slots for slot in lost)
            self._resize_bucket(state, now)

    def _resize_bucket(self, state, now):
        state.divisions = [
            d for d in state.divisions if d.until is None or now < d.until
        ]
        share = shares.smallest_share(state.divisions)
        state.bucket.resize(state.rate * share, state.burst * share, now)

    def _check_level(self, state):
        if self._invariants is not None:
            level = state.bucket.level
            self._invariants.check(
                'rate_bound',
                -1e-6 <= level <= state.bucket.capacity + 1e-6,
                level=level,
                capacity=state.bucket.capacity,
            )
