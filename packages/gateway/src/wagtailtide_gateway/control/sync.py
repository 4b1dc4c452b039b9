"""Keeps configuration and servers in step with the store."""

import logging

import anyio

from wagtailtide_gateway.control import store as stores
from wagtailtide_gateway.decisions import trust

LOG = logging.getLogger(__name__)

# Longest wait of a watch. A waiting watch is one call whatever it brings, so
# long ones are cheap; the kernel's probes find a silent connection sooner.
WATCH_S = 10.0

# Pause after a call that the store did not answer. Short, because a withdrawn
# key has to die within seconds of the store's return.
RETRY_S = 0.25

# Pause between two watches of the servers, in which changes gather: each
# answer costs a call. The duty holder looks at once, and tells the others
# what leaves; they have to see it themselves within the time to drain.
HOLDER_GATHERS_S = 0.1
OTHERS_GATHER_S = 1.0

# How often the age of the configuration is checked.
CHECK_S = 0.25


class StoreSync:
    """Watches of one instance on the store."""

    def __init__(self, client, port, config, servers, clock, holds_duty):
        self._client = client
        self._holds_duty = holds_duty
        self._port = port
        self._config = config
        self._servers = servers
        self._clock = clock
        self._reachable = True

    async def run(self):
        """Follow the store until cancelled."""
        async with anyio.create_task_group() as tg:
            tg.start_soon(self._follow, self._port.config_kind, self._config_s)
            tg.start_soon(
                self._follow, self._port.servers_kind, self._servers_s
            )
            tg.start_soon(self._confirm_when_old)
            tg.start_soon(self._drop_lapsed)

    async def _follow(self, kind, sink):
        revision = None
        while True:
            try:
                if revision is None:
                    sent_at = self._clock()
                    objects, revision = await self._client.list_all(kind)
                    sink(None, objects, sent_at)
                else:
                    sent_at = self._clock()
                    changes, revision = await self._client.watch(
                        kind, revision, WATCH_S
                    )
                    sink(changes, None, sent_at)
                    if kind == self._port.servers_kind:
                        await anyio.sleep(self._gather_s())
            except stores.HistoryGone:
                LOG.info('store history gone', extra={'kind': kind})
                revision = None
            except (stores.StoreUnavailable, stores.Conflict) as exc:
                self._note_lost(kind, exc)
                # What was missed meanwhile may be out of the history.
                await anyio.sleep(RETRY_S)
            else:
                self._note_reached()

    def _config_s(self, changes, objects, sent_at):
        values = (
            objects
            if objects is not None
            else [c.object for c in changes if not c.deleted]
        )
        for obj in values:
            if obj.name == self._port.config_name:
                self._config.offer(obj.value, 'store', obj.revision)
        if self._config.deployment is not None:
            self._config.confirm(sent_at)

    def _servers_s(self, changes, objects, sent_at):
        now = anyio.current_time()
        if objects is not None:
            self._servers.apply_list(objects, now)
        else:
            self._servers.apply_changes(changes, now)

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

    def _gather_s(self):
        return HOLDER_GATHERS_S if self._holds_duty() else OTHERS_GATHER_S

    def _ask_after_s(self):
        if self._holds_duty():
            return trust.HOLDER_ASKS_AFTER_S
        return trust.OTHERS_ASK_AFTER_S

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
