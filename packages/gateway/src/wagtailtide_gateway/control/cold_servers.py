"""What servers state of their cold periods, and the exchange of it."""

import logging

import anyio

from wagtailtide_gateway.control import fields
from wagtailtide_gateway.control import sections
from wagtailtide_gateway.decisions import cold_servers

LOG = logging.getLogger(__name__)

_decode = fields.mapping(
    fields.text, fields.row(lambda *row: row, fields.number, fields.integer)
)


def rule_of(cfg, config, service):
    """Return the ColdRule of a service, None if it has no cold servers.

    Args:
        cfg: The Settings.
        config: ConfigView of the instance.
        service: Name of the service.
    """
    deployment = config.deployment
    found = deployment.services.get(service) if deployment else None
    if found is None:
        return None
    return cold_servers.make_rule(
        found.cold_start_s,
        found.cold_per_s,
        cfg.cold_overage,
        cfg.cold_slack,
    )


def record_entry(state, starts, now):
    """Apply a new revision of a server's entry.

    Args:
        state: ServerState of the server.
        starts: Whether the entry is the first one of a process that has
            started since this instance has a list.
        now: Time in seconds.
    """
    cold, remaining_s = state.limit.cold, state.server.cold_remaining_s
    if remaining_s is not None:
        begins = cold.note_stated(remaining_s, now)
    else:
        begins = starts and cold.note_started(now)
    _begin(state, begins, 'entry', now)


def record_response(state, remaining_s, attempt_id, now):
    """Apply what a server states in a response.

    Args:
        state: ServerState of the server.
        remaining_s: Seconds for which it is still cold, or None.
        attempt_id: Id of the attempt that it responds to.
        now: Time in seconds.
    """
    if remaining_s is not None:
        begins = state.limit.cold.note_stated(remaining_s, now)
        _begin(state, begins, attempt_id, now)


def record_suspected(state, source, now):
    """Treat a server as cold whose process may have been replaced.

    Its entry may show the new process only later.

    Args:
        state: ServerState of the server.
        source: Why it is suspected, for the log.
        now: Time in seconds.
    """
    _begin(state, state.limit.cold.note_suspected(now), source, now)


def _begin(state, begins, source, now):
    """Drop the permits of before a cold period that begins, and log it."""
    if not begins:
        return
    state.limit.drop_permits()
    state.limit.others_waiting = 0
    cold = state.limit.cold
    if cold.rule is not None:
        LOG.info(
            'server is cold',
            extra={
                'server': state.server.id,
                'limit_per_s': round(cold.rule.permits_per_s, 2),
                'ends_ms': round((cold.ends_at - now) * 1000),
                'source': source,
                'load': state.load,
            },
        )


class ColdServers:
    """Exchanges with the leader which servers state that they are cold.

    An instance reports only what servers stated to it. What it has from the
    leader it does not report again, as each round trip would prolong it.

    Args:
        servers: ServerView of the instance.
        others_waiting: Function that the leader calls with a server id and the
            name of an instance; returns how many requests of the others wait
            for a permit of the server.
    """

    def __init__(self, servers, others_waiting):
        self._servers = servers
        self._others_waiting = others_waiting
        self._until = {}

    def section(self):
        """Return the Section for the exchange."""
        return sections.Section(
            sections.Number.COLD_SERVERS,
            make_report=self._make_report,
            receive=self._receive,
            make_update=self._make_update,
            apply=self._apply,
            start_term=self._start_term,
        )

    def _start_term(self):
        self._until = {}

    def _make_report(self):
        now = anyio.current_time()
        left = {
            server_id: [state.limit.cold.own_until - now, 0]
            for server_id, state in self._servers.states.items()
            if state.limit.cold.own_until > now
        }
        return left or None

    def _receive(self, instance, value, now):
        for server_id, (left_s, _) in _decode(value).items():
            until = now + min(left_s, cold_servers.MAX_COLD_S)
            self._until[server_id] = max(
                self._until.get(server_id, until), until
            )
            self._note(server_id, until, instance, now)
        self._until = {s: u for s, u in self._until.items() if u > now}

    def _make_update(self, instance, now):
        left = {
            server_id: [until - now, self._others_waiting(server_id, instance)]
            for server_id, until in self._until.items()
            if until > now
        }
        return left or None

    def _apply(self, value, now):
        del now  # The remaining time counts from when the update was made.
        if value is None:
            return
        received_at = anyio.current_time()
        for server_id, (left_s, waiting) in _decode(value).items():
            until = received_at + min(left_s, cold_servers.MAX_COLD_S)
            self._note(server_id, until, 'leader', received_at)
            state = self._servers.states.get(server_id)
            if state is not None and state.limit.per_s is None:
                state.limit.others_waiting = max(0, waiting)

    def _note(self, server_id, until, source, now):
        state = self._servers.states.get(server_id)
        if state is not None:
            begins = state.limit.cold.note_until(until, now)
            _begin(state, begins, source, now)
