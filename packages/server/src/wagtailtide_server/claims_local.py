"""Claims of idempotency keys in the memory of one instance.

To be replaced by claims in the store; it has the same interface.
"""

import dataclasses
import enum

from wagtailtide_core.claims import model


class ClaimResultKind(enum.StrEnum):
    """What a claim of an idempotency key led to."""

    GRANTED = 'granted'
    REPLAY = 'replay'
    STILL_RUNNING = 'still_running'
    OUTCOME_UNKNOWN = 'outcome_unknown'
    BODY_MISMATCH = 'body_mismatch'


@dataclasses.dataclass(frozen=True)
class ClaimResult:
    """Result of a claim.

    Attributes:
        kind: What the claim led to.
        claim: The claim, if granted; to be given to record or release.
        outcome: The outcome to replay.
    """

    kind: ClaimResultKind
    claim: object = None
    outcome: model.Outcome | None = None


@dataclasses.dataclass
class _Entry:
    body_hash: bytes
    state: ClaimResultKind = ClaimResultKind.STILL_RUNNING
    outcome: model.Outcome | None = None


class LocalClaims:
    """Claims that only this instance knows."""

    def __init__(self):
        self._entries = {}

    async def claim(self, org, route, idempotency_key, body_hash):
        """Claim a key.

        Args:
            org: Name of the organisation.
            route: Path of the route.
            idempotency_key: The caller's key.
            body_hash: Hash of method, target and body.

        Returns:
            The ClaimResult.
        """
        place = (org, route, idempotency_key)
        entry = self._entries.get(place)
        if entry is None:
            self._entries[place] = _Entry(body_hash)
            return ClaimResult(ClaimResultKind.GRANTED, claim=place)
        if entry.body_hash != body_hash:
            return ClaimResult(ClaimResultKind.BODY_MISMATCH)
        return ClaimResult(entry.state, outcome=entry.outcome)

    async def record(self, claim, outcome):
        """Record the outcome of a granted claim; None means unknown."""
        entry = self._entries[claim]
        if outcome is None:
            entry.state = ClaimResultKind.OUTCOME_UNKNOWN
        else:
            entry.state = ClaimResultKind.REPLAY
            entry.outcome = outcome

    async def release(self, claim):
        """Give up a granted claim whose request did not run."""
        self._entries.pop(claim, None)
