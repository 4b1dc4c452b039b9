"""Which services have brittle servers, and the exchange of their slots."""

import logging

import anyio

from wagtailtide_gateway.control import fields
from wagtailtide_gateway.control import sections
from wagtailtide_gateway.decisions import brittle_servers

LOG = logging.getLogger(__name__)

# Seconds for which it is reported that servers are no longer brittle, so that
# the report survives a change of the leader.
LIFTED_REPORT_S = 10.0

_STATEMENT = (
    fields.optional(fields.number),
    fields.optional(fields.number),
)
_REPORT = fields.mapping(
    fields.text,
    fields.row(
        lambda *row: row,
        *_STATEMENT,
        fields.integer,
        fields.integer,
        fields.integer,
    ),
)
_UPDATE = fields.mapping(
    fields.text,
    fields.row(lambda *row: row, *_STATEMENT, fields.integer, fields.number),
)


class BrittleServers:
    """Keeps the services with brittle servers, and on the leader their slots.

    Args:
        servers: ServerView of the instance.
        cluster: Function that returns the ClusterState of the instance.
        service_time_s: Function from the name of a service to the seconds
            that a request occupies a slot.
    """

    def __init__(self, servers, cluster, service_time_s):
        self._servers = servers
        self._cluster = cluster
        self._service_time_s = service_time_s
        self._last_stated_at = {}
        self._brittle = frozenset()
        self._changed_at = float('-inf')
        self._ledger = None
        self._term_started_at = float('-inf')

    def limit_of(self, server):
        """Return the BrittleLimit of a BackendServer that is newly listed."""
        limit = brittle_servers.BrittleLimit(
            lambda tolerated, at, source: self._note(
                server, tolerated, at, source
            )
        )
        limit.per_s = self._slots_per_s(server)
        return limit

    def _slots_per_s(self, server):
        if server.service not in self._brittle:
            return None
        return server.slots / self._service_time_s(server.service)

    def _note(self, server, tolerated, at, source):
        """Apply a change of what a server states."""
        LOG.info(
            'server brittle' if tolerated is not None else 'server robust',
            extra={
                'server': server.id,
                'service': server.service,
                'tolerated': tolerated,
                'age_ms': round((anyio.current_time() - at) * 1000),
                'source': source,
            },
        )
        self._changed_at = anyio.current_time()
        self._refresh(self._changed_at)

    def _refresh(self, now):
        """Find the services that count as brittle."""
        statements = {}
        for state in self._servers.states.values():
            statement = state.limit.brittle.statement
            if statement is None:
                continue
            service = state.server.service
            statements.setdefault(service, []).append(statement)
            if statement.tolerated is not None:
                self._last_stated_at[service] = max(
                    statement.at,
                    self._last_stated_at.get(service, statement.at),
                )
        brittle = frozenset(
            service
            for service, stated_at in self._last_stated_at.items()
            if brittle_servers.is_brittle(
                statements.get(service, ()), stated_at, now
            )
        )
        for service in sorted(brittle ^ self._brittle):
            LOG.info(
                'service brittle' if service in brittle else 'service robust',
                extra={
                    'service': service,
                    'servers': len(self._servers.of_service(service)),
                },
            )
        previous, self._brittle = self._brittle, brittle
        if brittle or previous:
            for state in self._servers.states.values():
                state.limit.brittle.per_s = self._slots_per_s(state.server)

    def section(self):
        """Return the Section for the exchange."""
        return sections.Section(
            sections.Number.BRITTLE_SERVERS,
            make_report=self._make_report,
            receive=self._receive,
            make_update=self._make_update,
            apply=self._apply,
            start_term=self._start_term,
            is_urgent=True,
        )

    def grant(self, server_id, instance, wanted, now):
        """Return the number of slots granted, None if it is not brittle.

        Args:
            server_id: Id of the server.
            instance: Name of the instance.
            wanted: Number of slots that the waiting requests of each instance
                need, by its name.
            now: Time in seconds.
        """
        state = self._servers.states.get(server_id)
        if state is None or state.server.service not in self._brittle:
            return None
        ledger = self._slots()
        unreported = self._cluster().load_of_others(
            server_id, ledger.reporting(server_id)
        )
        return ledger.grant(
            server_id, instance, state.server.slots, unreported, wanted, now
        )

    def _slots(self):
        """Return the SlotLedger with all servers that are brittle now."""
        if self._ledger is None:
            self._ledger = brittle_servers.SlotLedger(self._term_started_at)
        brittle = [
            state.server
            for state in self._servers.states.values()
            if state.server.service in self._brittle
        ]
        counted = self._ledger.services
        for server in brittle:
            self._ledger.add(server, server.service in counted)
        self._ledger.retain({server.id for server in brittle})
        return self._ledger

    def _start_term(self):
        self._ledger = None
        self._term_started_at = anyio.current_time()

    def _make_report(self):
        if not self._last_stated_at:
            return None
        now = anyio.current_time()
        self._refresh(now)
        if not self._brittle and now - self._changed_at > LIFTED_REPORT_S:
            return None
        rows = {}
        for server_id, state in self._servers.states.items():
            if state.server.service in self._last_stated_at:
                brittle = state.limit.brittle
                rows[server_id] = [
                    *_encode(brittle.statement, now),
                    state.server.residency.process_start_ms,
                    state.limit.slots_in_use(state.requests_sent, now),
                    brittle.take_rejections(),
                ]
        return rows or None

    def _receive(self, instance, value, now):
        rows = _REPORT(value)
        for server_id, (tolerated, age_s, *_) in rows.items():
            self._apply_statement(server_id, tolerated, age_s, now, instance)
        if not self._brittle:
            return
        ledger = self._slots()
        for server_id, (_, _, start_ms, in_use, rejections) in rows.items():
            state = self._servers.states.get(server_id)
            if state is None or start_ms != (
                state.server.residency.process_start_ms
            ):
                # What it says of another process does not count.
                continue
            ledger.note_report(state.server, instance, in_use, rejections, now)
            if rejections:
                self._log_rejections(state, instance, rejections, now)

    def _log_rejections(self, state, instance, rejections, now):
        server_id = state.server.id
        LOG.info(
            'brittle server rejected',
            extra={
                'server': server_id,
                'source': instance,
                'rejections': rejections,
                'load': state.load,
                'slots': state.server.slots,
                'capacity': self._ledger.capacity(
                    server_id, state.server.slots, now
                ),
            },
        )

    def _make_update(self, instance, now):
        if not self._last_stated_at:
            return None
        self._refresh(now)
        if not self._brittle and now - self._changed_at > LIFTED_REPORT_S:
            return None
        ledger, cluster = self._slots(), self._cluster()
        rows = {}
        for server_id, state in self._servers.states.items():
            if state.server.service in self._last_stated_at:
                wanted = cluster.wanted_permits(server_id)
                share = ledger.share(
                    server_id, instance, state.server.slots, wanted, now
                )
                rows[server_id] = [
                    *_encode(state.limit.brittle.statement, now),
                    cluster.others_waiting(server_id, instance),
                    share,
                ]
        return rows or None

    def _apply(self, value, now):
        del now  # The ages count from when the update was made.
        if value is None:
            return
        received_at = anyio.current_time()
        for server_id, row in _UPDATE(value).items():
            tolerated, age_s, waiting, share = row
            self._apply_statement(
                server_id, tolerated, age_s, received_at, 'leader'
            )
            state = self._servers.states.get(server_id)
            if state is not None and state.server.service in self._brittle:
                state.limit.others_waiting = max(0, waiting)
                state.limit.brittle.note_share(share, received_at)

    def _apply_statement(self, server_id, tolerated, age_s, now, source):
        state = self._servers.states.get(server_id)
        if state is not None and age_s is not None:
            state.limit.brittle.update(
                brittle_servers.Statement(tolerated, now - max(0.0, age_s)),
                source,
            )


def _encode(statement, now):
    """Return what a Statement says and its age, None for no statement."""
    if statement is None:
        return None, None
    return statement.tolerated, now - statement.at
