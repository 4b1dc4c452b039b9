"""Exchange of the limits that backend servers state, and of permits."""

import collections
import dataclasses
import logging

import anyio

from wagtailtide_gateway.decisions import server_limits

LOG = logging.getLogger(__name__)

# For this many seconds an instance reports that a server has lifted its limit,
# so that the report survives a change of the leader.
LIFTED_REPORT_S = 10.0

# The leader drops the limit of a server that it does not know after this many
# seconds. A new leader may have limits before it has the list of servers.
UNLISTED_TTL_S = 30.0

# Seconds for which a report counts of how many requests wait for permits. An
# instance of a large cluster reports about once a second.
WAITING_TTL_S = 1.5


@dataclasses.dataclass(frozen=True, slots=True)
class ReportedLimit:
    """A limit in a report of an instance.

    Attributes:
        per_s: Requests a second, None if the server has lifted its limit.
        age_s: Seconds since the server stated it.
    """

    per_s: float | None
    age_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class SharedLimit:
    """A limit in an update of the leader.

    Attributes:
        per_s: Requests a second.
        age_s: Seconds since the server stated it.
        others_waiting: Number of requests of the other instances that wait
            for a permit.
    """

    per_s: float
    age_s: float
    others_waiting: int


def record_statement(state, statement, source):
    """Apply a statement to a server and log a change of its limit.

    Args:
        state: ServerState of the server.
        statement: The Statement.
        source: Id of the request whose response contained it, or 'leader'.
    """
    previous = state.limit.statement.per_s
    if state.limit.update(statement):
        LOG.info(
            'server limit changed',
            extra={
                'server': state.server.id,
                'limit_per_s': statement.per_s,
                'previous': previous,
                'age_ms': round((anyio.current_time() - statement.at) * 1000),
                'source': source,
                'load': state.load,
            },
        )


def limits_to_report(states, now):
    """Return the ReportedLimit by server id of the known servers."""
    limits = {}
    for server_id, state in states.items():
        statement = state.limit.statement
        age_s = now - statement.at
        if statement.per_s is not None or age_s < LIFTED_REPORT_S:
            limits[server_id] = ReportedLimit(statement.per_s, age_s)
    return limits


def permits_to_request(states, now):
    """Return the number of permits that waiting requests need, by server."""
    missing = {
        server_id: state.limit.missing_permits(now)
        for server_id, state in states.items()
        if state.limit.waiting
    }
    return {server_id: count for server_id, count in missing.items() if count}


def apply_update(states, update, is_full, reported_at):
    """Apply the limits and permits in an update of the leader.

    Args:
        states: ServerState by server id.
        update: The LeaderUpdate.
        is_full: Whether the update has the limits of all servers. A limit that
            it lacks was lifted, unless it was stated after the report.
        reported_at: Time in seconds at which the report was made.
    """
    for server_id, shared in update.limits.items():
        state = states.get(server_id)
        if state is not None:
            # The age is that at the leader. Counted back from the report, the
            # statement does not seem newer than a later one of this instance.
            statement = server_limits.Statement(
                shared.per_s, reported_at - shared.age_s
            )
            record_statement(state, statement, 'leader')
            state.limit.others_waiting = shared.others_waiting
    if is_full:
        for server_id in states.keys() - update.limits.keys():
            limit = states[server_id].limit
            if limit.per_s is not None and limit.statement.at <= reported_at:
                lifted = server_limits.Statement(None, reported_at)
                record_statement(states[server_id], lifted, 'leader')
    for server_id, count in update.permits.items():
        if server_id in states:
            states[server_id].limit.add_permits(count, reported_at)


class ClusterLimits:
    """Limits of all servers, kept by the leader from the reports.

    Args:
        servers: ServerView of the leader.
        brittle: Its BrittleServers, None if no server is ever brittle.
    """

    def __init__(self, servers, brittle=None):
        self._servers = servers
        self._brittle = brittle
        self._statements = {}
        self._waiting = {}
        self._total_waiting = collections.Counter()
        self._buckets = server_limits.PermitBuckets()

    def receive(self, report, now):
        """Apply the limits and the requested permits in a report."""
        for server_id, reported in report.limits.items():
            statement = server_limits.Statement(
                reported.per_s, now - reported.age_s
            )
            known = self._statements.get(server_id, server_limits.NO_STATEMENT)
            if statement.at > known.at:
                self._statements[server_id] = statement
        self._set_waiting(report.instance, report.permits, now)
        self._drop_old(now)

    def grant(self, report, now):
        """Return the number of permits granted to an instance, by server."""
        granted = {}
        for server_id, wanted in report.permits.items():
            per_s, max_burst = self._permit_rate(server_id, now)
            slots = self._grant_slots(server_id, report.instance, now)
            if per_s is not None:
                wanted = wanted if slots is None else slots
                granted[server_id] = self._buckets.grant(
                    server_id, per_s, wanted, now, max_burst
                )
            elif slots is not None:
                granted[server_id] = slots
        return {s: count for s, count in granted.items() if count}

    def _grant_slots(self, server_id, instance, now):
        """Return the slots granted at a brittle server, None at others."""
        if self._brittle is None:
            return None
        wanted = self.wanted_permits(server_id)
        return self._brittle.grant(server_id, instance, wanted, now)

    def shared_with(self, report, now):
        """Return the SharedLimit by server id for the sender of a report.

        An urgent report gets only those of the servers that it is about.
        """
        server_ids = report.permits if report.urgent else self._statements
        return {
            server_id: SharedLimit(
                self._per_s(server_id),
                now - self._statements[server_id].at,
                self.others_waiting(server_id, report.instance),
            )
            for server_id in server_ids
            if self._per_s(server_id) is not None
        }

    def _per_s(self, server_id):
        statement = self._statements.get(server_id)
        return None if statement is None else statement.per_s

    def _permit_rate(self, server_id, now):
        """Return the permits a second for a server and its largest burst."""
        stated_per_s = self._per_s(server_id)
        state = self._servers.states.get(server_id)
        rule = state.limit.cold.rule if state is not None else None
        if rule is None:
            return stated_per_s, None
        cold_per_s = state.limit.cold.per_s(now)
        if cold_per_s is None:
            if stated_per_s is not None:
                return stated_per_s, None
            # The instance that wants permits takes the server to be cold. It
            # may have learned of it first.
            return rule.permits_per_s, rule.burst
        if stated_per_s is not None:
            cold_per_s = min(cold_per_s, stated_per_s)
        is_ramp = cold_per_s > rule.permits_per_s
        return cold_per_s, None if is_ramp else rule.burst

    def wanted_permits(self, server_id):
        """Return how many permits instances wait for, by their names."""
        if not self._total_waiting[server_id]:
            return {}
        return {
            instance: permits[server_id]
            for instance, (_, permits) in self._waiting.items()
            if permits.get(server_id)
        }

    def others_waiting(self, server_id, instance):
        """Return how many requests wait for a permit at other instances."""
        _, permits = self._waiting.get(instance, (0.0, {}))
        return self._total_waiting[server_id] - permits.get(server_id, 0)

    def _set_waiting(self, instance, permits, now):
        _, previous = self._waiting.get(instance, (now, {}))
        self._total_waiting.subtract(previous)
        self._total_waiting.update(permits)
        self._waiting[instance] = (now, dict(permits))

    def _drop_old(self, now):
        for instance, (reported_at, permits) in list(self._waiting.items()):
            if now - reported_at > WAITING_TTL_S:
                del self._waiting[instance]
                self._total_waiting.subtract(permits)
        for server_id in self._statements.keys() - self._servers.states.keys():
            if now - self._statements[server_id].at > UNLISTED_TTL_S:
                del self._statements[server_id]
        self._buckets.retain(self._statements.keys(), now)
