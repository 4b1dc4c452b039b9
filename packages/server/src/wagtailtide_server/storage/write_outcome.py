"""Find out by reading whether a write without response took effect."""

from collections.abc import Callable

import anyio

from wagtailtide_server.storage import budget as budgets
from wagtailtide_server.storage import objects

RESOLVE_TIMEOUT_S = 30.0


async def resolve_write(
    store,
    key,
    is_own_write: Callable[[bytes], bool],
    *,
    expected=None,
    timeout_s=RESOLVE_TIMEOUT_S,
    activity=budgets.Activity.OTHER,
):
    """Read an object to find out whether a write to it took effect.

    Args:
        store: StoreClient.
        key: Key that was written.
        is_own_write: Function that tells whether a value holds the caller's
            write.
        expected: Version that the write was conditional on.
        timeout_s: Time in seconds after which to give up.
        activity: Purpose for which the calls are counted.

    Returns:
        WriteOutcome.

    Raises:
        Unavailable: If nothing could be read in time.
    """
    backoff = budgets.Backoff(store.rng)
    deadline = anyio.current_time() + timeout_s
    while True:
        try:
            current = await store.get(key, activity=activity)
        except objects.Unavailable:
            delay = backoff.next_delay_s()
            if anyio.current_time() + delay > deadline:
                raise
            await anyio.sleep(delay)
            continue
        if current is not None and is_own_write(current.value):
            return objects.WriteOutcome(True, current, False)
        return objects.WriteOutcome(
            False, current, _may_still_apply(current, expected)
        )


def _may_still_apply(current, expected):
    if current is None or expected is None:
        return current is None and expected is None
    # A lower version comes from a stale read, after which the write may still
    # have taken effect or take effect.
    return current.version <= expected


def _unresolved(key):
    return objects.WriteUnknown(
        f'put {key}: no read showed in time whether it took effect'
    )


async def put_and_resolve(
    store,
    key,
    value,
    expected,
    is_own_write=None,
    *,
    timeout_s=RESOLVE_TIMEOUT_S,
    activity=budgets.Activity.OTHER,
):
    """Write as `StoreClient.put`, resolving a lost response by reading.

    Args:
        store: StoreClient.
        key: Key of the object.
        value: New value; must differ from every other writer's, unless
            is_own_write tells them apart.
        expected: Version to replace; None means create.
        is_own_write: Function that tells whether a value holds this write;
            if None, equality.
        timeout_s: Time in seconds after which to give up.
        activity: Purpose for which the calls are counted.

    Returns:
        The version of the object that holds the write.

    Raises:
        Conflict: If it was not written and can no longer be.
        Unavailable: If it was certainly not written.
        WriteUnknown: If no read showed in time whether it took effect.
    """
    is_own_write = is_own_write or (lambda found: found == value)
    deadline = anyio.current_time() + timeout_s
    backoff = budgets.Backoff(store.rng)
    outcome_unknown = False
    while True:
        try:
            return await store.put(key, value, expected, activity=activity)
        except objects.WriteUnknown:
            outcome_unknown = True
        except (objects.Conflict, objects.Unavailable):
            if not outcome_unknown:
                raise
        remaining = deadline - anyio.current_time()
        try:
            outcome = await resolve_write(
                store,
                key,
                is_own_write,
                expected=expected,
                timeout_s=remaining,
                activity=activity,
            )
        except objects.Unavailable as exc:
            raise _unresolved(key) from exc
        if outcome.written:
            return outcome.current.version
        if not outcome.may_still_apply:
            raise objects.Conflict(f'put {key}: another write came first')
        delay = backoff.next_delay_s()
        if anyio.current_time() + delay > deadline:
            raise _unresolved(key)
        await anyio.sleep(delay)
