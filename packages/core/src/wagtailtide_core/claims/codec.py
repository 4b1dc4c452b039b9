"""CBOR form of heads, segments, claims and changes of their state."""

import cbor2

from wagtailtide_core.claims import model

_STATES = tuple(model.ClaimState)


class ClaimsFormatError(ValueError):
    """Stored bytes are not claims in the expected form."""


def outcome_to_list(outcome):
    """Return the CBOR form of an outcome, or None."""
    if outcome is None:
        return None
    return [outcome.status, [list(h) for h in outcome.headers], outcome.body]


def outcome_from_list(raw):
    """Return the outcome decoded from its CBOR form, or None."""
    if raw is None:
        return None
    status, headers, body = raw
    return model.Outcome(status, tuple((n, v) for n, v in headers), body)


def claim_to_list(claim):
    """Return the CBOR form of a claim."""
    return [
        claim.key_hash,
        claim.body_hash,
        claim.claim_id,
        claim.instance,
        claim.boot,
        _STATES.index(claim.state),
        outcome_to_list(claim.outcome),
    ]


def claim_from_list(raw):
    """Return the claim decoded from its CBOR form."""
    *plain, state, outcome = raw
    return model.Claim(*plain, _STATES[state], outcome_from_list(outcome))


def change_to_list(change):
    """Return the CBOR form of a change of state."""
    return [
        change.key_hash,
        change.claim_id,
        _STATES.index(change.state),
        outcome_to_list(change.outcome),
    ]


def change_from_list(raw):
    """Return the change of state decoded from its CBOR form."""
    key_hash, claim_id, state, outcome = raw
    return model.StateChange(
        key_hash, claim_id, _STATES[state], outcome_from_list(outcome)
    )


def encode_head(head):
    """Return the bytes of a head as stored."""
    return cbor2.dumps(
        {
            'entries': [claim_to_list(c) for c in head.entries.values()],
            'sealed': [[s.number, s.sealed_at_s] for s in head.sealed],
            'next': head.next_segment,
        }
    )


def decode_head(data):
    """Return the head decoded from its stored bytes.

    Raises:
        ClaimsFormatError: If the bytes are not a head.
    """
    try:
        raw = cbor2.loads(data)
        claims = [claim_from_list(item) for item in raw['entries']]
        sealed = tuple(model.SealedSegment(n, at) for n, at in raw['sealed'])
        return model.Head({c.key_hash: c for c in claims}, sealed, raw['next'])
    except (cbor2.CBORDecodeError, KeyError, TypeError, ValueError) as exc:
        raise ClaimsFormatError(
            f'expected a claims head in CBOR, got {exc}; '
            'remove the damaged claims object or restore it'
        ) from exc


def encode_segment(entries):
    """Return the bytes of a sealed segment as stored."""
    return cbor2.dumps([claim_to_list(c) for c in entries.values()])


def decode_segment(data):
    """Return the claims decoded from a sealed segment, by key hash.

    Raises:
        ClaimsFormatError: If the bytes are not a segment.
    """
    try:
        claims = [claim_from_list(item) for item in cbor2.loads(data)]
    except (cbor2.CBORDecodeError, TypeError, ValueError) as exc:
        raise ClaimsFormatError(
            f'expected a claims segment in CBOR, got {exc}; '
            'remove the damaged segment or restore it'
        ) from exc
    return {c.key_hash: c for c in claims}
