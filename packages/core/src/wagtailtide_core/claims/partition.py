"""Pure changes of a partition's head.

The store's conditional update of the head makes a claim unique. Every function
is idempotent for the same claim id, so a write whose answer was lost can be
repeated on the head that is read afterwards.
"""

import dataclasses

from wagtailtide_core.claims import model

# A head is rewritten with every batch, so it stays small.
HEAD_LIMIT_BYTES = 64 * 1024
# States that a holder or observer may change to, by current state. A holder
# that was paused may still report DONE after an observer wrote UNKNOWN.
_ALLOWED = {
    model.ClaimState.CLAIMED: frozenset(
        {
            model.ClaimState.DONE,
            model.ClaimState.UNKNOWN,
            model.ClaimState.RELEASED,
        }
    ),
    model.ClaimState.UNKNOWN: frozenset({model.ClaimState.DONE}),
    model.ClaimState.DONE: frozenset(),
    model.ClaimState.RELEASED: frozenset(),
}


def claim(head, find_sealed, requests):
    """Claim keys on a head.

    Args:
        head: Head of the partition.
        find_sealed: Function from key hash to the newest claim in the sealed
            segments, or None.
        requests: Claims in state CLAIMED that are asked for.

    Returns:
        The new head and one result for each request, in order.
    """
    entries = dict(head.entries)
    results = []
    for wanted in requests:
        found = entries.get(wanted.key_hash) or find_sealed(wanted.key_hash)
        result = _claim_one(found, wanted)
        if result.claim is wanted:
            entries[wanted.key_hash] = wanted
        results.append(result)
    return dataclasses.replace(head, entries=entries), tuple(results)


def _claim_one(found, wanted):
    if found is None or found.state is model.ClaimState.RELEASED:
        return model.ClaimResult(model.ClaimResultKind.GRANTED, wanted)
    if found.claim_id == wanted.claim_id:
        return model.ClaimResult(model.ClaimResultKind.GRANTED, found)
    if found.body_hash != wanted.body_hash:
        return model.ClaimResult(model.ClaimResultKind.BODY_MISMATCH, found)
    return model.ClaimResult(model.ClaimResultKind.EXISTS, found)


def record(head, find_sealed, records):
    """Apply changes of state to claims.

    Args:
        head: Head of the partition.
        find_sealed: As for claim().
        records: Changes; one that does not fit the claim's id or state is
            ignored, because it was applied before or the claim has gone.

    Returns:
        The new head.
    """
    entries = dict(head.entries)
    for change in records:
        found = entries.get(change.key_hash) or find_sealed(change.key_hash)
        if found is None or found.claim_id != change.claim_id:
            continue
        if change.state not in _ALLOWED[found.state]:
            continue
        entries[change.key_hash] = dataclasses.replace(
            found, state=change.state, outcome=change.outcome
        )
    return dataclasses.replace(head, entries=entries)


def seal(head, now_s):
    """Move all entries of a head into a new segment.

    Args:
        head: Head of the partition.
        now_s: Time on the store's clock, or 0 if it is not known.

    Returns:
        The new head and the entries of the segment. The segment's object must
        be written before the head.
    """
    segment = model.SealedSegment(head.next_segment, now_s)
    entries = {
        key: entry
        for key, entry in head.entries.items()
        if entry.state is not model.ClaimState.RELEASED
    }
    # Released claims stay in the head: they supersede sealed ones.
    released = {
        key: entry
        for key, entry in head.entries.items()
        if entry.state is model.ClaimState.RELEASED
    }
    new_head = model.Head(
        released, (*head.sealed, segment), head.next_segment + 1
    )
    return new_head, entries


def drop_expired(head, now_s, retention_s):
    """Drop segments that were sealed longer ago than the retention.

    Args:
        head: Head of the partition.
        now_s: Time on the store's clock, or 0 if it is not known.
        retention_s: Time in seconds that outcomes are kept.

    Returns:
        The new head and the numbers of the dropped segments. Nothing is
        dropped while a time is not known.
    """
    if not now_s:
        return head, ()
    expired = tuple(
        segment.number
        for segment in head.sealed
        if segment.sealed_at_s and now_s - segment.sealed_at_s > retention_s
    )
    kept = tuple(s for s in head.sealed if s.number not in expired)
    return dataclasses.replace(head, sealed=kept), expired
