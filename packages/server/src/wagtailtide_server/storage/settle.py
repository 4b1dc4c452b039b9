"""Settle writes whose response was lost by reading the object."""

from collections.abc import Callable

import anyio

from wagtailtide_server.storage import budget as budgets
from wagtailtide_server.storage import objects

SETTLE_TIMEOUT_S = 30.0


async def settle_write(
    store,
    key,
    is_mine: Callable[[bytes], bool],
    *,
    expected=None,
    timeout_s=SETTLE_TIMEOUT_S,
    activity=budgets.Activity.OTHER,
):
    """Settle a write whose outcome is unknown by reading the object.

    Args:
        store: StoreClient.
        key: Key that was written.
        is_mine: Whether a value holds the caller's write.
        expected: Version that the write was conditional on.
        timeout_s: Time after which to give up.
        activity: What the calls are counted for.

    Returns:
        Settled.

    Raises:
        Unavailable: If nothing could be read in time.
    """
    backoff = budgets.Backoff(store.rng)
    deadline = anyio.current_time() + timeout_s
    while True:
        try:
            current = await store.get(key, activity=activity)
        except objects.Unavailable:
            delay = backoff.delay_s()
            if anyio.current_time() + delay > deadline:
                raise
            await anyio.sleep(delay)
            continue
        if current is not None and is_mine(current.value):
            return objects.Settled(True, current, False)
        return objects.Settled(
            False, current, _still_possible(current, expected)
        )


def _still_possible(current, expected):
    if current is None or expected is None:
        return current is None and expected is None
    # A lower version is an answer from behind, which settles nothing.
    return current.version <= expected


def _unsettled(key):
    return objects.WriteUnknown(f'put {key} could not be settled in time')


async def put_settled(
    store,
    key,
    value,
    expected,
    is_mine=None,
    *,
    timeout_s=SETTLE_TIMEOUT_S,
    activity=budgets.Activity.OTHER,
):
    """Write as `put` does, and settle a lost response.

    Args:
        store: StoreClient.
        key: Key of the object.
        value: New value; must differ from every other writer's, unless
            is_mine tells them apart.
        expected: Version to replace; None means create.
        is_mine: Whether a value holds this write; equality if None.
        timeout_s: Time after which to give up.
        activity: What the calls are counted for.

    Returns:
        The version of the object that holds the write.

    Raises:
        Conflict: If it was not written and can no longer be.
        Unavailable: If it was certainly not written.
        WriteUnknown: If it could not be settled in time.
    """
    is_mine = is_mine or (lambda found: found == value)
    deadline = anyio.current_time() + timeout_s
    backoff = budgets.Backoff(store.rng)
    unknown = False
    while True:
        try:
            return await store.put(key, value, expected, activity=activity)
        except objects.WriteUnknown:
            unknown = True
        except (objects.Conflict, objects.Unavailable):
            if not unknown:
                raise
        remaining = deadline - anyio.current_time()
        try:
            settled = await settle_write(
                store,
                key,
                is_mine,
                expected=expected,
                timeout_s=remaining,
                activity=activity,
            )
        except objects.Unavailable as exc:
            raise _unsettled(key) from exc
        if settled.written:
            return settled.current.version
        if not settled.still_possible:
            raise objects.Conflict(f'put {key}: another write came first')
        delay = backoff.delay_s()
        if anyio.current_time() + delay > deadline:
            raise _unsettled(key)
        await anyio.sleep(delay)
