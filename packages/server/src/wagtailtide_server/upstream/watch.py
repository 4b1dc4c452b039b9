"""Tasks that keep the state of the backend servers up to date."""

import json
import logging
import random

import anyio
from wagtailtide_core.document import schema

from wagtailtide_server.storage import client as platform_client
from wagtailtide_server.upstream import failures
from wagtailtide_server.upstream import load_gossip
from wagtailtide_server.upstream import reports
from wagtailtide_server.upstream import server_gossip

LOG = logging.getLogger(__name__)

SYNC_INTERVAL_S = 0.1
REPORT_INTERVAL_S = 1.0
LIST_INTERVAL_S = 5.0
PROBE_INTERVAL_S = 2.0

# If the last report of an engine is older than this, its owner is presumed
# lost. The engine is then asked directly, provided that one of its models was
# requested recently.
MAX_REPORT_AGE_S = 20.0
RECENT_REQUEST_S = 60.0


class ServerWatch:
    """Applies the configuration, reports, the platform's list and gossip.

    Attributes:
        has_polled_engines: Whether every engine was asked for a report
            since the instance caught up with the configuration.
    """

    def __init__(self, dispatcher, plane, store, placement, rng=None):
        self._dispatcher = dispatcher
        self._plane = plane
        self._store = store
        self._rng = rng or random.Random()
        self._server_gossip = server_gossip.ServerGossip(dispatcher, plane)
        self._load_gossip = load_gossip.LoadGossip(dispatcher, plane)
        self._placement = placement
        self._last_reads = {}
        self._catalog = None
        self.has_polled_engines = False
        self._config_caught_up = False
        self._leaving = frozenset()
        self._seen_down = set()

    async def run(self):
        """Run the tasks until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._sync)
            group.start_soon(self._read_reports)
            group.start_soon(self._read_server_list)
            group.start_soon(self._probe_draining)

    async def _sync(self):
        while True:
            catalog = self._plane.config.catalog
            if catalog is not self._catalog:
                self._catalog = catalog
                self._dispatcher.table.declare(catalog.backend_servers)
            self._config_caught_up |= self._plane.caught_up
            self._apply_leaving()
            self._server_gossip.apply_records()
            self._dispatcher.adapter_permits.set_share(
                _parallel_fetches(catalog), len(self._plane.view.live())
            )
            self._dispatcher.cancel_overdue_streams()
            await anyio.sleep(SYNC_INTERVAL_S)

    def _apply_leaving(self):
        for name, state in self._dispatcher.table.servers.items():
            if state.leaving != (name in self._leaving):
                self._dispatcher.set_leaving(name, not state.leaving)

    async def _read_server_list(self):
        while True:
            try:
                listed = await self._store.backend_servers()
                self._leaving = frozenset(
                    item.name for item in listed if item.state == 'leaving'
                )
            except platform_client.StoreError as exc:
                LOG.info(
                    'backend server list not read', extra={'error': str(exc)}
                )
            await anyio.sleep(LIST_INTERVAL_S * self._rng.uniform(0.8, 1.2))

    async def _read_reports(self):
        while True:
            config_caught_up = self._config_caught_up
            self._load_gossip.apply_records(self._placement.ownership.owned)
            async with anyio.create_task_group() as group:
                for name, state in self._dispatcher.table.servers.items():
                    is_engine = state.declared.kind is schema.ServerKind.ENGINE
                    if is_engine and self._must_read(name, state):
                        group.start_soon(self._read_report, name, state)
            self.has_polled_engines |= config_caught_up
            await anyio.sleep(
                REPORT_INTERVAL_S
                if self.has_polled_engines
                else SYNC_INTERVAL_S
            )

    def _must_read(self, name, state):
        """Return whether this instance has to read an engine's report.

        The owner of an engine reads its report and publishes it. Other
        instances read it at least once, repeatedly until an owner is known,
        and again when the owner publishes no more reports.
        """
        if (
            name in self._placement.ownership.owned
            or name not in self._placement.gossip.owners
            or self._last_reads.get(name, (None,))[0] is not state
        ):
            return True
        now = anyio.current_time()
        _, read_at = self._last_reads[name]
        if now - max(read_at, state.reported_as_of) < MAX_REPORT_AGE_S:
            return False
        last_requested_at = self._dispatcher.last_requested_at
        return (
            state.boot_id is None
            or state.estimate.own_running > 0
            or any(
                now - last_requested_at.get(m, float('-inf'))
                < RECENT_REQUEST_S
                for m in state.ready
            )
        )

    async def _read_report(self, name, state):
        self._last_reads[name] = (state, anyio.current_time())
        try:
            report = await reports.fetch(
                self._dispatcher.client, state.declared.address
            )
        except failures.AttemptError as exc:
            LOG.debug(
                'engine report not read',
                extra={'backend_server': name, 'error': str(exc)},
            )
            return
        self._dispatcher.record_report(name, report)
        owned_server = self._placement.ownership.owned.get(name)
        if owned_server is not None:
            self._load_gossip.publish(name, owned_server.fence, report)

    async def _probe_draining(self):
        """Detect that a draining plain service has been restarted."""
        while True:
            await anyio.sleep(PROBE_INTERVAL_S)
            servers = dict(self._dispatcher.table.servers)
            for name, state in servers.items():
                is_plain = state.declared.kind is schema.ServerKind.PLAIN
                if is_plain and state.draining:
                    await self._probe(name, state)

    async def _probe(self, name, state):
        try:
            status, body = await self._dispatcher.client.probe(
                state.declared.address
            )
        except failures.AttemptError:
            self._seen_down.add(name)
            return
        restarted = name in self._seen_down or _reports_not_draining(body)
        if status == 200 and restarted:
            self._seen_down.discard(name)
            if self._dispatcher.table.servers.get(name) is state:
                self._dispatcher.set_draining(name, False)


def _reports_not_draining(body):
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
