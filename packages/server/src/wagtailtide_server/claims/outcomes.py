"""Store response bodies that are too large for a partition's head."""

import dataclasses

from wagtailtide_core.claims import model
from wagtailtide_core.errors import kinds

from wagtailtide_server.storage import budget
from wagtailtide_server.storage import client

MAX_INLINE_BODY_BYTES = 4096
# The platform accepts values of up to 1 MB, encoded as base64.
MAX_STORED_BODY_BYTES = 700_000
# Holds the key of the object with the body; never sent to callers.
BODY_REFERENCE_HEADER = ':body-object'


async def store_large_body(store, held_claim, outcome):
    """Write a large body to an object of its own.

    Args:
        store: StoreClient.
        held_claim: HeldClaim of the request.
        outcome: Complete response.

    Returns:
        The outcome to record; its body is None if it was written to its own
        object or could not be stored.
    """
    if outcome.body is None or len(outcome.body) <= MAX_INLINE_BODY_BYTES:
        return outcome
    without_body = dataclasses.replace(outcome, body=None)
    if len(outcome.body) > MAX_STORED_BODY_BYTES:
        return without_body
    key = f'claim-bodies/{held_claim.claim.claim_id.hex()}'
    try:
        await store.put(
            key, outcome.body, None, activity=budget.Activity.CLAIMS
        )
    except client.StoreError:
        return without_body
    headers = (*outcome.headers, (BODY_REFERENCE_HEADER, key))
    return dataclasses.replace(without_body, headers=headers)


async def restore_body(store, outcome):
    """Return a recorded outcome with its body, read if necessary.

    Raises:
        ServingError: OUTCOME_UNKNOWN with fate RAN if the body was not
            stored or cannot be read now.
    """
    headers = dict(outcome.headers)
    reference = headers.pop(BODY_REFERENCE_HEADER, None)
    if outcome.body is not None:
        return outcome
    body = await _read_body(store, reference) if reference else None
    if body is None:
        raise kinds.ServingError(
            kinds.ErrorKind.OUTCOME_UNKNOWN,
            f'the request ran with status {outcome.status}; its response body '
            'is not available, look the result up at the service',
            fate=kinds.Fate.RAN,
        )
    kept = tuple(h for h in outcome.headers if h[0] != BODY_REFERENCE_HEADER)
    return model.Outcome(outcome.status, kept, body)


async def _read_body(store, key):
    try:
        found = await store.get(key, activity=budget.Activity.CLAIMS)
    except client.StoreError:
        return None
    return found.value if found else None
