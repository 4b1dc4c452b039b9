"""Keep response bodies that are too large for a partition's head."""

import dataclasses

from wagtailtide_core.claims import model
from wagtailtide_core.errors import kinds

from wagtailtide_server.storage import budget
from wagtailtide_server.storage import client

INLINE_BODY_BYTES = 4096
# The platform holds values up to 1 MB, which travel as base64 text.
STORED_BODY_BYTES = 700_000
# Header that refers to the object that holds the body; never sent to callers.
BODY_REFERENCE = ':body-object'


async def store_large(store, holding, outcome):
    """Move a large body to an object of its own.

    Args:
        store: StoreClient.
        holding: Holding of the request that the outcome belongs to.
        outcome: Whole response.

    Returns:
        The outcome as it is recorded; its body is None if it was moved or
        could not be kept.
    """
    if outcome.body is None or len(outcome.body) <= INLINE_BODY_BYTES:
        return outcome
    without_body = dataclasses.replace(outcome, body=None)
    if len(outcome.body) > STORED_BODY_BYTES:
        return without_body
    key = f'claim-bodies/{holding.claim.claim_id.hex()}'
    try:
        await store.put(
            key, outcome.body, None, activity=budget.Activity.CLAIMS
        )
    except client.StoreError:
        return without_body
    headers = (*outcome.headers, (BODY_REFERENCE, key))
    return dataclasses.replace(without_body, headers=headers)


async def complete(store, outcome):
    """Return a recorded outcome with its body.

    Raises:
        ServingError: OUTCOME_UNKNOWN with fate RAN if the body was not kept
            or cannot be read now.
    """
    headers = dict(outcome.headers)
    reference = headers.pop(BODY_REFERENCE, None)
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
    kept = tuple(h for h in outcome.headers if h[0] != BODY_REFERENCE)
    return model.Outcome(outcome.status, kept, body)


async def _read_body(store, key):
    try:
        found = await store.get(key, activity=budget.Activity.CLAIMS)
    except client.StoreError:
        return None
    return found.value if found else None
