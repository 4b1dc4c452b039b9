"""Changes of a partition's head, as functions without side effects.

The head is written with the store's conditional update, which makes a claim
unique. The functions are idempotent for the same claim id, so a write whose
answer was lost can be repeated on the head that is read afterwards.
"""

import dataclasses

from wagtailtide_core.claims import model

# The whole head is written with each batch, so it has to stay small.
HEAD_LIMIT_BYTES = 64 * 1024
# States that a claim may change to, by current state. A holder that was paused
# may still report DONE after another instance has recorded UNKNOWN.
_ALLOWED_CHANGES = {
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
    """Claim keys in a head.

    Args:
        head: Head of the partition.
        find_sealed: Function that returns the newest claim of a key hash in
            the sealed segments, or None.
        requests: Requested claims, in state CLAIMED.

    Returns:
        The new head and one `model.ClaimResult` for each request, in order.
    """
    entries = dict(head.entries)
    results = []
    for requested in requests:
        found = entries.get(requested.key_hash) or find_sealed(
            requested.key_hash
        )
        result = _claim_one(found, requested)
        if result.claim is requested:
            entries[requested.key_hash] = requested
        results.append(result)
    return dataclasses.replace(head, entries=entries), tuple(results)


def _claim_one(found, requested):
    if found is None or found.state is model.ClaimState.RELEASED:
        return model.ClaimResult(model.ClaimResultKind.GRANTED, requested)
    if found.claim_id == requested.claim_id:
        return model.ClaimResult(model.ClaimResultKind.GRANTED, found)
    if found.body_hash != requested.body_hash:
        return model.ClaimResult(model.ClaimResultKind.BODY_MISMATCH, found)
    return model.ClaimResult(model.ClaimResultKind.EXISTS, found)


def apply_changes(head, find_sealed, changes):
    """Apply changes of state to claims.

    Args:
        head: Head of the partition.
        find_sealed: As for `claim`.
        changes: Changes as `model.StateChange`. One that does not match the
            id of the claim, or is not allowed in its state, is ignored: it
            was applied before or the claim no longer exists.

    Returns:
        The new head.
    """
    entries = dict(head.entries)
    for change in changes:
        found = entries.get(change.key_hash) or find_sealed(change.key_hash)
        if found is None or found.claim_id != change.claim_id:
            continue
        if change.state not in _ALLOWED_CHANGES[found.state]:
            continue
        entries[change.key_hash] = dataclasses.replace(
            found, state=change.state, outcome=change.outcome
        )
    return dataclasses.replace(head, entries=entries)


def seal(head, now_s):
    """Move all entries of a head into a new segment.

    Args:
        head: Head of the partition.
        now_s: Time in seconds of the store's clock, 0 if it is not known.

    Returns:
        The new head and the entries of the segment. The segment must be
        written to the store before the head.
    """
    segment = model.SealedSegment(head.next_segment, now_s)
    entries = {
        key: entry
        for key, entry in head.entries.items()
        if entry.state is not model.ClaimState.RELEASED
    }
    # Released claims stay in the head to override sealed ones.
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
    """Drop segments that were sealed longer ago than the retention time.

    Args:
        head: Head of the partition.
        now_s: Time in seconds of the store's clock, 0 if it is not known.
        retention_s: Time in seconds for which outcomes are kept.

    Returns:
        The new head and the numbers of the dropped segments. Nothing is
        dropped if ``now_s`` is not known, and no segment is dropped whose
        time of sealing is not known.
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
