"""Tasks that keep the knowledge of the backend servers current."""

import json
import logging
import random

import anyio
from wagtailtide_core.document import schema

from wagtailtide_server.storage import client as platform_client
from wagtailtide_server.upstream import failures
from wagtailtide_server.upstream import load_news
from wagtailtide_server.upstream import news
from wagtailtide_server.upstream import reports

LOG = logging.getLogger(__name__)

FOLLOW_S = 0.1
REPORT_S = 1.0
LIST_S = 5.0
PROBE_STOPPING_S = 2.0

# News of an engine older than this means that its owner is lost; it is asked
# directly if a request needed one of its models within the given time.
STALE_S = 20.0
NEEDED_S = 60.0


class ServerWatch:
    """Follows the configuration, reports, the platform's list and news.

    Attributes:
        informed: Whether every engine of the configuration that the instance
            had caught up with was asked for a report.
    """

    def __init__(self, dispatcher, plane, store, placement, rng=None):
        self._dispatcher = dispatcher
        self._plane = plane
        self._store = store
        self._rng = rng or random.Random()
        self._news = news.ServerNews(dispatcher, plane)
        self._load_news = load_news.LoadNews(dispatcher, plane)
        self._placement = placement
        self._asked_at = {}
        self._catalog = None
        self.informed = False
        self._declared = False
        self._leaving = frozenset()
        self._seen_down = set()

    async def run(self):
        """Run the tasks until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._follow)
            group.start_soon(self._read_reports)
            group.start_soon(self._read_list)
            group.start_soon(self._probe_stopping)

    async def _follow(self):
        while True:
            catalog = self._plane.config.catalog
            if catalog is not self._catalog:
                self._catalog = catalog
                self._dispatcher.table.declare(catalog.backend_servers)
            self._declared |= self._plane.caught_up
            self._apply_leaving()
            self._news.take()
            self._dispatcher.permits.set_share(
                _parallel_fetches(catalog), len(self._plane.view.live())
            )
            self._dispatcher.move_streams()
            await anyio.sleep(FOLLOW_S)

    def _apply_leaving(self):
        for name, state in self._dispatcher.table.servers.items():
            if state.leaving != (name in self._leaving):
                self._dispatcher.set_leaving(name, not state.leaving)

    async def _read_list(self):
        while True:
            try:
                listed = await self._store.backend_servers()
                self._leaving = frozenset(
                    item.name for item in listed if item.state == 'leaving'
                )
            except platform_client.StoreError as exc:
                LOG.info('list not read', extra={'error': str(exc)})
            await anyio.sleep(LIST_S * self._rng.uniform(0.8, 1.2))

    async def _read_reports(self):
        while True:
            declared = self._declared
            self._load_news.take(self._placement.ownership.owned)
            async with anyio.create_task_group() as group:
                for name, state in self._dispatcher.table.servers.items():
                    engine = state.declared.kind is schema.ServerKind.ENGINE
                    if engine and self._must_read(name, state):
                        group.start_soon(self._read_report, name, state)
            self.informed |= declared
            await anyio.sleep(REPORT_S if self.informed else FOLLOW_S)

    def _must_read(self, name, state):
        """Return whether an engine's report has to be read here.

        Its owner reads it and spreads it. Others read it once to start with,
        until an owner is known, and again when the owner's news stop.
        """
        if (
            name in self._placement.ownership.owned
            or name not in self._placement.news.owners
            or self._asked_at.get(name, (None,))[0] is not state
        ):
            return True
        now = anyio.current_time()
        _, asked_at = self._asked_at[name]
        if now - max(asked_at, state.reported_as_of) < STALE_S:
            return False
        wanted_at = self._dispatcher.wanted_at
        return (
            state.boot_id is None
            or state.estimate.own_running > 0
            or any(
                now - wanted_at.get(m, float('-inf')) < NEEDED_S
                for m in state.ready
            )
        )

    async def _read_report(self, name, state):
        self._asked_at[name] = (state, anyio.current_time())
        try:
            report = await reports.fetch(
                self._dispatcher.client, state.declared.address
            )
        except failures.AttemptError as exc:
            LOG.debug(
                'report not read',
                extra={'backend_server': name, 'error': str(exc)},
            )
            return
        self._dispatcher.record_report(name, report)
        own = self._placement.ownership.owned.get(name)
        if own is not None:
            self._load_news.put(name, own.fence, report)

    async def _probe_stopping(self):
        """Notice when a plain service has been started again."""
        while True:
            await anyio.sleep(PROBE_STOPPING_S)
            servers = dict(self._dispatcher.table.servers)
            for name, state in servers.items():
                plain = state.declared.kind is schema.ServerKind.PLAIN
                if plain and state.draining:
                    await self._probe(name, state)

    async def _probe(self, name, state):
        try:
            status, body = await self._dispatcher.client.probe(
                state.declared.address
            )
        except failures.AttemptError:
            self._seen_down.add(name)
            return
        restarted = name in self._seen_down or _denies_draining(body)
        if status == 200 and restarted:
            self._seen_down.discard(name)
            if self._dispatcher.table.servers.get(name) is state:
                self._dispatcher.set_draining(name, False)


def _denies_draining(body):
    try:
        value = json.loads(body)
    except ValueError:
        return False
    return isinstance(value, dict) and value.get('draining') is False


def _parallel_fetches(catalog):
    limits = [
        document.weight_store.parallel_adapter_fetches
        for document in catalog.documents.values()
    ]
    return min(limits, default=1)
