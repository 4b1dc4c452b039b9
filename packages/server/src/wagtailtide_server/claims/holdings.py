"""The claims that this instance holds and what became of them."""

import dataclasses
import enum

from wagtailtide_core.claims import model


class HoldingState(enum.StrEnum):
    """What the holder knows of its claim."""

    CLAIMING = 'claiming'
    RUNNING = 'running'
    ABANDONED = 'abandoned'
    FINISHED = 'finished'
    NOT_KNOWN = 'not_known'


@dataclasses.dataclass(eq=False)
class Holding:
    """One claim of this instance.

    Attributes:
        claim: The claim as asked for.
        state: What is known of it.
        may_have_run: Whether a request may have reached a backend server.
        change: Change of state that is not yet recorded in the store.
    """

    claim: model.Claim
    state: HoldingState = HoldingState.CLAIMING
    may_have_run: bool = False
    change: model.Record | None = None


class Holdings:
    """Holdings by claim id, with the assertions on their use."""

    def __init__(self, invariants):
        self._invariants = invariants
        self._by_id = {}
        self._by_key = {}

    def add(self, claim):
        """Add a claim that is about to be asked for."""
        holding = Holding(claim)
        self._by_id[claim.claim_id] = holding
        return holding

    def remove(self, holding):
        """Forget a holding."""
        self._by_id.pop(holding.claim.claim_id, None)
        self._by_key.pop(holding.claim.key_hash, None)

    def begin_attempt(self, holding):
        """Check and note that the request is about to be sent.

        Raises:
            InvariantError: If it may have run before, or is not granted.
        """
        self._invariants.check(
            'non_idempotent_at_most_once',
            holding.state is HoldingState.RUNNING and not holding.may_have_run,
            claim_id=holding.claim.claim_id.hex(),
            state=holding.state,
        )
        holding.may_have_run = True

    def attempt_not_run(self, holding):
        """Note that the attempt is known not to have run."""
        holding.may_have_run = False

    def finish(self, holding, state, outcome):
        """Note the end of a claim and the change to record for it.

        Raises:
            InvariantError: If a claim that may have run is to be released.
        """
        if state is model.ClaimState.RELEASED:
            self._invariants.check(
                'released_claim_never_ran',
                not holding.may_have_run,
                claim_id=holding.claim.claim_id.hex(),
            )
            holding.state = HoldingState.ABANDONED
        else:
            holding.state = HoldingState.FINISHED
        claim = holding.claim
        holding.change = model.Record(
            claim.key_hash, claim.claim_id, state, outcome
        )
        self._by_key[claim.key_hash] = holding

    def unrecorded(self):
        """Return the holdings whose end is not yet in the store."""
        return [h for h in self._by_id.values() if h.change is not None]

    def state_of(self, claim_id):
        """Return the state and the unrecorded outcome of a claim."""
        holding = self._by_id.get(claim_id)
        if holding is None:
            return HoldingState.NOT_KNOWN, None
        outcome = holding.change.outcome if holding.change else None
        return holding.state, outcome

    def outcome_of(self, key_hash):
        """Return the finished holding of a key that is not yet recorded."""
        holding = self._by_key.get(key_hash)
        if holding is None or holding.state is not HoldingState.FINISHED:
            return None
        return holding

    def counts(self):
        """Return the number of holdings by state, for the dump."""
        counts = dict.fromkeys(HoldingState, 0)
        for holding in self._by_id.values():
            counts[holding.state] += 1
        return counts
