"""Keeps configuration and servers in step with the store."""

import logging

import anyio

from wagtailtide_gateway.control import store as stores
from wagtailtide_gateway.decisions import trust

LOG = logging.getLogger(__name__)

# Longest wait of the watch on the configuration. A waiting watch is one call
# whatever it brings; its age is confirmed by reads, and the kernel's probes
# find a silent connection.
WATCH_S = 25.0

# Pause after a call that the store did not answer. Short, because a withdrawn
# key has to die within seconds of the store's return.
RETRY_S = 0.25

# The duty holder lists the servers this often and passes changes on. Lists
# and not a watch, because a watch does not tell when it has fallen silent.
HOLDER_LISTS_EVERY_S = 0.4

MIN_SLEEP_S = 0.01

# Part of the time in which a leaving server may get work after which the list
# of the duty holder is too old, and an instance lists the servers itself.
LIST_AGE_SHARE = 0.55

# How often the age of the configuration is checked.
CHECK_S = 0.25


class StoreSync:
    """Watches of one instance on the store."""

    def __init__(self, cfg, client, port, parts, clock, holds_duty):
        self._cfg = cfg
        self._client = client
        self._holds_duty = holds_duty
        self._port = port
        self._config = parts.config
        self._servers = parts.servers
        self._clock = clock
        self._reachable = True

    async def run(self):
        """Follow the store until cancelled."""
        async with anyio.create_task_group() as tg:
            tg.start_soon(self._follow_config)
            tg.start_soon(self._follow_servers)
            tg.start_soon(self._confirm_when_old)
            tg.start_soon(self._drop_lapsed)

    async def _follow_config(self):
        kind, revision = self._port.config_kind, None
        while True:
            sent_at = self._clock()
            try:
                if revision is None:
                    objects, revision = await self._client.list_all(kind)
                else:
                    changes, revision = await self._client.watch(
                        kind, revision, WATCH_S
                    )
                    objects = [c.object for c in changes if not c.deleted]
            except stores.HistoryGone:
                LOG.info('store history gone', extra={'kind': kind})
                revision = None
            except (stores.StoreUnavailable, stores.Conflict) as exc:
                self._note_lost(kind, exc)
                await anyio.sleep(RETRY_S)
            else:
                self._note_reached()
                self._take_config(objects, sent_at)

    async def _follow_servers(self):
        """List the servers, unless the duty holder's list is fresh."""
        kind = self._port.servers_kind
        while True:
            sent_at = anyio.current_time()
            wait_s = self._next_list_s(sent_at)
            if wait_s > 0:
                # A remainder below the clock's resolution would never pass.
                await anyio.sleep(max(wait_s, MIN_SLEEP_S))
                continue
            try:
                objects, _ = await self._client.list_all(kind)
            except (stores.StoreUnavailable, stores.Conflict) as exc:
                self._note_lost(kind, exc)
                await anyio.sleep(RETRY_S)
                continue
            self._note_reached()
            self._servers.apply_list(objects, anyio.current_time())
            self._servers.confirm(sent_at)

    def _next_list_s(self, now):
        age_s = self._servers.age_s(now)
        if self._holds_duty():
            return HOLDER_LISTS_EVERY_S - age_s
        return self._cfg.server_drain_s * LIST_AGE_SHARE - age_s

    def _take_config(self, objects, sent_at):
        for obj in objects:
            if obj.name == self._port.config_name:
                self._config.offer(obj.value, 'store', obj.revision)
        if self._config.deployment is not None:
            self._config.confirm(sent_at)

    async def _confirm_when_old(self):
        """Read the configuration when neither watch nor peers confirm it."""
        kind, name = self._port.config_kind, self._port.config_name
        while True:
            await anyio.sleep(CHECK_S)
            if self._config.age_s < self._ask_after_s():
                continue
            sent_at = self._clock()
            try:
                obj = await self._client.get(kind, name)
            except (stores.StoreUnavailable, stores.Conflict) as exc:
                self._note_lost('config', exc)
                continue
            self._note_reached()
            if obj is not None:
                self._config.offer(obj.value, 'store', obj.revision)
                if self._config.deployment is not None:
                    self._config.confirm(sent_at)

    def _ask_after_s(self):
        if self._holds_duty():
            return trust.LEADER_REFRESH_AGE_S
        return trust.FOLLOWER_REFRESH_AGE_S

    async def _drop_lapsed(self):
        while True:
            await anyio.sleep(CHECK_S)
            self._servers.drop_lapsed(anyio.current_time())

    def _note_lost(self, kind, exc):
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

    def _note_reached(self):
        if not self._reachable:
            LOG.info('store regained')
            self._servers.note_store_returned(anyio.current_time())
        self._reachable = True
