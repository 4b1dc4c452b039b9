"""Lists the evacuations in the store when what is known of them is too old."""

import logging

import anyio

from wagtailtide_gateway.control import evacuations
from wagtailtide_gateway.control import store as stores
from wagtailtide_gateway.control import sync

LOG = logging.getLogger(__name__)

# Age of what is known, as a share of the bound, at which the leader lists the
# evacuations again, and at which another instance does so itself because the
# leader has not told it anything newer.
LEADER_AGE_SHARE = 0.2
OWN_AGE_SHARE = 0.5

# Time after which a second call is sent beside one that has not been answered,
# as a share of the bound.
REPEAT_SHARE = 0.1

# Longest delay before a failed call is repeated, as a share of the bound.
MAX_RETRY_SHARE = 0.2

# Shortest time in seconds between two calls, however small the bound is.
MIN_AGE_S = 0.1

# Interval in seconds at which the states of the zones are updated, and longest
# time until a new leader notices that it has to list the evacuations.
CHECK_INTERVAL_S = 0.25


class EvacuationSync:
    """Keeps the EvacuationView of one instance up to date.

    Args:
        client: The StoreClient.
        port: The StorePort.
        shared_state: The SharedState of the instance.
        is_leader: Function that returns whether this instance leads.
    """

    def __init__(self, client, port, shared_state, is_leader):
        self._client = client
        self._kind = port.evacuations_kind
        self._view = shared_state.evacuations
        self._servers = shared_state.servers
        self._is_leader = is_leader
        self._failures = 0

    async def run(self):
        """List evacuations and observe the zones until cancelled.

        Returns at once if zones cannot be evacuated.
        """
        if not self._view.is_enabled:
            return
        async with anyio.create_task_group() as tg:
            tg.start_soon(self._follow)
            tg.start_soon(self._observe)

    async def _observe(self):
        while True:
            self._view.observe(self._servers, anyio.current_time())
            await anyio.sleep(CHECK_INTERVAL_S)

    async def _follow(self):
        while True:
            wait_s = self._max_age_s() - self._view.age_s(anyio.current_time())
            if wait_s > 0:
                # See StoreSync: a shorter delay may not advance the clock.
                wait_s = max(wait_s, sync.MIN_SLEEP_S)
                await anyio.sleep(min(wait_s, CHECK_INTERVAL_S))
                continue
            await self._list()

    def _max_age_s(self):
        share = LEADER_AGE_SHARE if self._is_leader() else OWN_AGE_SHARE
        return max(MIN_AGE_S, self._view.bound_s * share)

    async def _list(self):
        """List the evacuations, or wait before the next try."""
        bound_s, started_at = self._view.bound_s, anyio.current_time()
        # Calls are not doubled while the store has been away for long.
        is_urgent = self._view.age_s(started_at) < bound_s
        repeat_s = bound_s * REPEAT_SHARE
        try:
            objects, revision, sent_at = await sync.list_with_repeat(
                self._client,
                self._kind,
                repeat_s if is_urgent or not self._view.is_known else None,
            )
        except (stores.StoreUnavailable, stores.Conflict) as exc:
            self._log_failure(exc)
            delay_s = sync.retry_delay_s(
                self._failures, bound_s * MAX_RETRY_SHARE
            )
            self._failures += 1
            # A call that timed out is repeated at once.
            elapsed_s = anyio.current_time() - started_at
            await anyio.sleep(max(sync.MIN_SLEEP_S, delay_s - elapsed_s))
            return
        if self._failures:
            LOG.info('evacuations listed again')
        self._failures = 0
        self._view.apply_list(objects, revision, sent_at)

    def _log_failure(self, exc):
        if self._failures:
            return
        LOG.warning(
            'evacuations not listed',
            extra={
                'reason': str(exc),
                'age_s': evacuations.rounded_age_s(
                    self._view, anyio.current_time()
                ),
            },
        )
