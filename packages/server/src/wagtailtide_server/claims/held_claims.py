"""The claims that this instance holds, with their states."""

import dataclasses
import enum

from wagtailtide_core.claims import model


class HeldClaimState(enum.StrEnum):
    """State of a claim as its holder knows it."""

    CLAIMING = 'claiming'
    RUNNING = 'running'
    ABANDONED = 'abandoned'
    FINISHED = 'finished'
    NOT_KNOWN = 'not_known'


@dataclasses.dataclass(eq=False)
class HeldClaim:
    """A claim of this instance.

    Attributes:
        claim: The claim as requested from the store.
        state: State as this instance knows it.
        may_have_run: Whether the request may have reached a backend server.
        pending_change: Change of state that is not in the store yet.
    """

    claim: model.Claim
    state: HeldClaimState = HeldClaimState.CLAIMING
    may_have_run: bool = False
    pending_change: model.StateChange | None = None


class HeldClaims:
    """Claims of this instance, with the invariant checks on their use."""

    def __init__(self, invariants):
        self._invariants = invariants
        self._by_id = {}
        self._ended_by_key = {}

    def add(self, claim):
        """Add a claim that is about to be requested from the store."""
        held_claim = HeldClaim(claim)
        self._by_id[claim.claim_id] = held_claim
        return held_claim

    def remove(self, held_claim):
        """Remove a claim."""
        self._by_id.pop(held_claim.claim.claim_id, None)
        self._ended_by_key.pop(held_claim.claim.key_hash, None)

    def begin_attempt(self, held_claim):
        """Record that the request is about to be sent.

        Raises:
            InvariantError: If the request may have run before, or its claim
                is not granted.
        """
        self._invariants.check(
            'non_idempotent_at_most_once',
            held_claim.state is HeldClaimState.RUNNING
            and not held_claim.may_have_run,
            claim_id=held_claim.claim.claim_id.hex(),
            state=held_claim.state,
        )
        held_claim.may_have_run = True

    def record_not_run(self, held_claim):
        """Record that the attempt certainly did not run."""
        held_claim.may_have_run = False

    def finish(self, held_claim, state, outcome):
        """Set the final state of a claim and its change for the store.

        Raises:
            InvariantError: If a claim that may have run is to be released.
        """
        if state is model.ClaimState.RELEASED:
            self._invariants.check(
                'released_claim_never_ran',
                not held_claim.may_have_run,
                claim_id=held_claim.claim.claim_id.hex(),
            )
            held_claim.state = HeldClaimState.ABANDONED
        else:
            held_claim.state = HeldClaimState.FINISHED
        claim = held_claim.claim
        held_claim.pending_change = model.StateChange(
            claim.key_hash, claim.claim_id, state, outcome
        )
        self._ended_by_key[claim.key_hash] = held_claim

    def with_pending_change(self):
        """Return the claims with a change that is not in the store yet."""
        return [
            h for h in self._by_id.values() if h.pending_change is not None
        ]

    def state_and_outcome(self, claim_id):
        """Return a claim's state and the outcome not yet in the store."""
        held_claim = self._by_id.get(claim_id)
        if held_claim is None:
            return HeldClaimState.NOT_KNOWN, None
        outcome = (
            held_claim.pending_change.outcome
            if held_claim.pending_change
            else None
        )
        return held_claim.state, outcome

    def finished_claim(self, key_hash):
        """Return the finished claim of a key if it is still held, or None."""
        held_claim = self._ended_by_key.get(key_hash)
        if (
            held_claim is None
            or held_claim.state is not HeldClaimState.FINISHED
        ):
            return None
        return held_claim

    def count_by_state(self):
        """Return the number of claims by state, for the dump."""
        counts = dict.fromkeys(HeldClaimState, 0)
        for held_claim in self._by_id.values():
            counts[held_claim.state] += 1
        return counts
