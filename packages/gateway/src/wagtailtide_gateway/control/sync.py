"""Synchronisation of configuration and server list with the store."""

import logging
import random

import anyio

from wagtailtide_gateway.control import store as stores
from wagtailtide_gateway.decisions import trust

LOG = logging.getLogger(__name__)

# Longest wait of the configuration watch, in seconds. A watch counts as one
# call however long it waits. Separate reads confirm the configuration, and TCP
# keepalive probes detect a silent connection.
WATCH_WAIT_S = 25.0

# Seconds until a failed call is repeated. The value is small because a
# withdrawn key must be rejected within seconds of the store's recovery.
RETRY_DELAY_S = 0.25

# Longest delay before a failed call is repeated. The delay doubles with each
# failure in a row, because refused calls count and cost like others.
MAX_RETRY_DELAY_S = 2.0

# Number of failures in a row after which the delay no longer doubles.
MAX_DOUBLINGS = 5

# Longest delay before a failed list of servers or configuration that is too
# old to use is repeated. All requests may wait for it.
MAX_URGENT_RETRY_DELAY_S = 0.5

# Interval at which the leader lists the servers. It lists instead of watching,
# because a watch does not show that it has stopped reporting changes.
LEADER_LIST_INTERVAL_S = 0.4

MIN_SLEEP_S = 0.01

# Share of the server drain time after which the leader's list is too old, so
# that an instance lists the servers itself. A leaving server may get requests
# only within the drain time.
MAX_LIST_AGE_SHARE = 0.55

# Time after which a second call lists the servers beside one that has not been
# answered, as a share of the server drain time. An answer may be lost, or late
# because the link is full.
LIST_REPEAT_SHARE = 0.18

# Age of the list, as a share of the server drain time, at which a store that
# does not answer counts as down. Until then the own link may be full, as that
# of a new leader to which all instances report.
SILENT_STORE_AGE_SHARE = 1.5

# Interval in seconds between checks of the configuration's age, and between
# checks for servers whose entries are missing.
CHECK_INTERVAL_S = 0.25


class StoreSync:
    """Keeps configuration and servers of one instance up to date."""

    def __init__(
        self,
        cfg,
        client,
        port,
        shared_state,
        clock,
        is_leader,
        exchange_interval_s,
    ):
        self._cfg = cfg
        self._client = client
        self._is_leader = is_leader
        self._exchange_interval_s = exchange_interval_s
        self._port = port
        self._config = shared_state.config
        self._servers = shared_state.servers
        self._clock = clock
        # Whether the store shows the configuration in force. One restored from
        # a copy may show an older one, until the operator writes again.
        self._shows_current = False
        self._reachable = True
        self._regained = anyio.Event()

    async def run(self):
        """Synchronise with the store until cancelled."""
        async with anyio.create_task_group() as tg:
            tg.start_soon(self._follow_config)
            tg.start_soon(self._follow_servers)
            tg.start_soon(self._refresh_old_config)
            tg.start_soon(self._drop_missing)

    async def _follow_config(self):
        kind, revision = self._port.config_kind, None
        failures = 0
        while True:
            sent_at = self._clock()
            try:
                if revision is None:
                    objects, revision = await self._client.list_all(kind)
                    self._shows_current = False
                else:
                    changes, revision = await self._client.watch(
                        kind, revision, WATCH_WAIT_S
                    )
                    objects = [c.object for c in changes if not c.deleted]
            except stores.HistoryGone:
                LOG.info('store history gone', extra={'kind': kind})
                revision = None
            except (stores.StoreUnavailable, stores.Conflict) as exc:
                self._note_unavailable(kind, exc)
                await self._pause(retry_delay_s(failures, MAX_RETRY_DELAY_S))
                failures += 1
            else:
                failures = 0
                self._note_available()
                self._apply_config(objects, sent_at)

    async def _follow_servers(self):
        """List the servers whenever the known list has become too old."""
        kind = self._port.servers_kind
        failures = 0
        while True:
            sent_at = anyio.current_time()
            wait_s = self._list_delay_s(sent_at)
            if wait_s > 0:
                # A delay below the clock's resolution would leave the time
                # unchanged, and this loop would spin. The upper limit lets a
                # new leader list the servers without delay.
                wait_s = min(max(wait_s, MIN_SLEEP_S), LEADER_LIST_INTERVAL_S)
                await anyio.sleep(wait_s)
                continue
            try:
                objects, revision, sent_at = await self._list_servers()
            except (stores.StoreUnavailable, stores.Conflict) as exc:
                now = anyio.current_time()
                self._note_unavailable(kind, exc)
                if not isinstance(exc, stores.Unanswered) or (
                    self._servers.age_s(now)
                    >= self._cfg.server_drain_s * SILENT_STORE_AGE_SHARE
                ):
                    self._servers.note_list_failed(now)
                # A call that timed out is repeated at once.
                delay_s = retry_delay_s(failures, MAX_URGENT_RETRY_DELAY_S)
                failures += 1
                await self._pause(max(0.0, sent_at + delay_s - now))
                continue
            failures = 0
            self._note_available()
            self._servers.apply_list(objects, revision, anyio.current_time())
            self._servers.confirm(sent_at)

    def _list_delay_s(self, now):
        age_s = self._servers.age_s(now)
        if self._is_leader():
            return LEADER_LIST_INTERVAL_S - age_s
        return self._cfg.server_drain_s * MAX_LIST_AGE_SHARE - age_s

    async def _list_servers(self):
        """List the servers, with a second call if the first one takes long."""
        drain_s = self._cfg.server_drain_s
        age_s = self._servers.age_s(anyio.current_time())
        return await list_with_repeat(
            self._client,
            self._port.servers_kind,
            drain_s * LIST_REPEAT_SHARE if age_s < drain_s else None,
        )

    def _apply_config(self, objects, sent_at):
        for obj in objects:
            if obj.name == self._port.config_name:
                self._shows_current = self._config.apply_if_newer(
                    obj.value, 'store', obj.revision
                )
        if self._shows_current and self._config.deployment is not None:
            self._config.confirm(sent_at)

    async def _refresh_old_config(self):
        """Read the configuration if it has not been confirmed recently."""
        kind, name = self._port.config_kind, self._port.config_name
        failures = 0
        while True:
            wait_s = self._refresh_age_s() - self._config.age_s
            if wait_s > 0:
                # The age grows with another clock, which may be behind.
                wait_s = min(max(wait_s, MIN_SLEEP_S), CHECK_INTERVAL_S)
                await anyio.sleep(wait_s)
            elif not failures:
                # At the start the list that precedes the watch is on its way.
                await anyio.sleep(CHECK_INTERVAL_S)
            if self._config.age_s < self._refresh_age_s():
                failures = 0
                continue
            sent_at = self._clock()
            try:
                obj = await self._client.get(kind, name)
            except (stores.StoreUnavailable, stores.Conflict) as exc:
                self._note_unavailable('config', exc)
            else:
                self._note_available()
                self._shows_current = False
                self._apply_config([] if obj is None else [obj], sent_at)
                if self._shows_current:
                    failures = 0
                    continue
            await self._pause(
                retry_delay_s(failures, MAX_URGENT_RETRY_DELAY_S)
            )
            failures += 1

    def _refresh_age_s(self):
        return trust.refresh_age_s(
            self._is_leader(), self._exchange_interval_s()
        )

    async def _drop_missing(self):
        while True:
            await anyio.sleep(CHECK_INTERVAL_S)
            self._servers.drop_missing(anyio.current_time())

    def _note_unavailable(self, kind, exc):
        if self._reachable:
            LOG.warning(
                'store lost',
                extra={
                    'kind': kind,
                    'reason': str(exc),
                    'config_age_s': round(self._config.age_s, 2),
                },
            )
        self._reachable = False

    def _note_available(self):
        if not self._reachable:
            LOG.info('store regained')
            self._servers.note_store_recovered(anyio.current_time())
            regained, self._regained = self._regained, anyio.Event()
            regained.set()
        self._reachable = True

    async def _pause(self, delay_s):
        """Wait before a call is repeated, at most until the store answers."""
        with anyio.move_on_after(delay_s):
            await self._regained.wait()


def retry_delay_s(failures, max_delay_s):
    """Return the seconds until a failed call is repeated.

    A random factor spreads the calls of the instances.

    Args:
        failures: Number of failures in a row before this one.
        max_delay_s: Longest delay in seconds.
    """
    doublings = min(failures, MAX_DOUBLINGS)
    delay_s = min(RETRY_DELAY_S * 2**doublings, max_delay_s)
    return delay_s * (0.7 + 0.6 * random.random())


async def list_with_repeat(client, kind, repeat_after_s):
    """List objects, with a second call if the first one takes long.

    Args:
        client: The StoreClient.
        kind: Kind of the objects.
        repeat_after_s: Seconds after which the second call is sent, None for
            no second call.

    Returns:
        The objects, the revision of the list, and the time in seconds at which
        the call was sent.

    Raises:
        StoreUnavailable: The store did not answer usably.
        Conflict: It answered with a conflict.
    """
    found, failures = [], []

    async def call():
        sent_at = anyio.current_time()
        try:
            objects, revision = await client.list_all(kind)
        except (stores.StoreUnavailable, stores.Conflict) as exc:
            failures.append(exc)
        else:
            found.append((objects, revision, sent_at))
        tg.cancel_scope.cancel()

    async with anyio.create_task_group() as tg:
        tg.start_soon(call)
        if repeat_after_s is not None:
            await anyio.sleep(repeat_after_s)
            tg.start_soon(call)
    if not found:
        raise failures[0]
    return found[0]
