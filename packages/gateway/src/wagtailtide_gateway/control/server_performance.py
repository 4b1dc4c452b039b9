"""Section by which instances learn together what each server sustains."""

import logging
import math

import anyio

from wagtailtide_gateway.control import fields
from wagtailtide_gateway.control import sections
from wagtailtide_gateway.decisions import pace_baselines
from wagtailtide_gateway.decisions import server_capacity

LOG = logging.getLogger(__name__)

# The leader's last estimates are used for this long without a newer one. Then
# an instance uses what it observes itself.
HOLD_S = 5.0

# Time constant in seconds of an instance's own estimates. One of 12 instances
# has no stream in some servers for 2 s at a time.
OWN_WINDOW_S = 4.0

# Shortest interval in seconds between two evaluations.
EVALUATION_INTERVAL_S = 0.25

# Changes of an estimate that are logged.
LOGGED_STEP = 0.25

# Fields of an observation on the wire.
_WIDTH = 6

# Largest value of a number on the wire, far beyond what one report can hold.
_MAX_NUMBER = 1_000_000_000


class ServerPerformance:
    """Exchanges observations and estimates; sets ServerState.capacity.

    Args:
        servers: ServerView of the instance.
        take: Function that removes and returns the instance's Observation
            objects by server id.
        take_batches: Function that removes and returns the seconds of the
            instance's running requests by server id and model.
    """

    def __init__(self, servers, take, take_batches=dict):
        self._servers = servers
        self._take = take
        self._take_batches = take_batches
        self._batches = {}
        self._reported_at = None
        self._own = server_capacity.Estimator(OWN_WINDOW_S)
        self._shared = server_capacity.Estimator()
        self._evaluated_at = -math.inf
        self._estimates = {}
        self._applied_at = -math.inf
        self._process_starts = {}

    def section(self):
        """Return the Section."""
        return sections.Section(
            number=sections.Number.SERVER_PERFORMANCE,
            make_report=self.make_report,
            receive=self.receive,
            make_update=self.make_update,
            apply=self.apply,
            start_term=self.start_term,
        )

    def batch_section(self):
        """Return the Section with what the servers' batches consist of."""
        return sections.Section(
            number=sections.Number.SERVER_BATCHES,
            make_report=self.make_batch_report,
            receive=self.receive_batches,
        )

    def make_report(self):
        """Return what this instance has observed, by server."""
        now = anyio.current_time()
        observed = self._take()
        self._forget_ended()
        for server_id, observations in observed.items():
            state = self._servers.states.get(server_id)
            if state is not None:
                for observation in observations:
                    self._own.add(server_id, state.server.service, observation)
        self._add_own_batches(now)
        own = self._own.evaluate(now)
        if now - self._applied_at > HOLD_S:
            self._set(own, 'own')
        return {
            server_id: [
                number for row in observations for number in _encode(row)
            ]
            for server_id, observations in observed.items()
        } or None

    def _add_own_batches(self, now):
        """Count this instance's requests; those of others are unknown."""
        self._batches = self._take_batches()
        last, self._reported_at = self._reported_at, now
        if last is None:
            return
        for server_id, batch in self._batches.items():
            state = self._servers.states.get(server_id)
            if state is not None:
                others_s = state.others_load * (now - last)
                self._own.add_batch(
                    server_id, state.server.service, {**batch, None: others_s}
                )

    def make_batch_report(self):
        """Return the running requests since the last report, by server.

        They are those up to the last `make_report`.
        """
        return {
            server_id: row
            for server_id, batch in self._batches.items()
            if (row := _encode_batch(batch))
        } or None

    def receive_batches(self, instance, value, now):
        """Add the running requests of an instance; called on the leader."""
        del instance, now
        decoded = [
            (self._servers.states[server_id].server, _decode_batch(row))
            for server_id, row in value.items()
            if server_id in self._servers.states
        ]
        for server, batch in decoded:
            self._shared.add_batch(server.id, server.service, batch)

    def receive(self, instance, value, now):
        """Add the observations of an instance; called on the leader."""
        del instance, now
        decoded = [
            (self._servers.states[server_id], _decode(row))
            for server_id, row in value.items()
            if server_id in self._servers.states
        ]
        self._forget_ended()
        for state, observations in decoded:
            server = state.server
            for observation in observations:
                self._shared.add(server.id, server.service, observation)

    def _forget_ended(self):
        """Drop the estimates of processes that have ended."""
        starts = {
            server_id: state.server.residency.process_start_ms
            for server_id, state in self._servers.states.items()
        }
        if starts != self._process_starts:
            running = {
                server_id
                for server_id, start in starts.items()
                if self._process_starts.get(server_id, start) == start
            }
            self._shared.retain(running)
            self._own.retain(running)
            self._process_starts = starts

    def make_update(self, instance, now):
        """Return the estimates that differ from the nominal one."""
        del instance
        if now - self._evaluated_at >= EVALUATION_INTERVAL_S:
            self._evaluated_at = now
            self._estimates = self._shared.evaluate(now)
        return {
            server_id: [
                round(100 * capacity.slots_share),
                round(100 * capacity.slowdown),
            ]
            for server_id, capacity in self._estimates.items()
        }

    def apply(self, value, now):
        """Apply the estimates of the leader."""
        del now
        if value is None:
            return
        estimates = {
            server_id: server_capacity.Capacity(
                _in_range(share, 1, 100) / 100,
                _in_range(
                    slowdown,
                    100 * server_capacity.MIN_SLOWDOWN,
                    100 * server_capacity.MAX_SLOWDOWN,
                )
                / 100,
            )
            for server_id, (share, slowdown) in value.items()
        }
        self._applied_at = anyio.current_time()
        self._set(estimates, 'leader')

    def start_term(self):
        """Start with the estimates in force, and collect anew."""
        self._shared = server_capacity.Estimator()
        self._evaluated_at = -math.inf
        for server_id, state in self._servers.states.items():
            if state.capacity != server_capacity.NOMINAL:
                self._shared.seed(
                    server_id, state.server.service, state.capacity
                )

    def _set(self, estimates, source):
        for server_id, state in self._servers.states.items():
            capacity = estimates.get(server_id, server_capacity.NOMINAL)
            known, state.capacity = state.capacity, capacity
            logged = state.logged_capacity
            if capacity == known or not _differs(capacity, logged):
                continue
            state.logged_capacity = capacity
            LOG.info(
                'server capacity changed',
                extra={
                    'server': server_id,
                    'slots_share': capacity.slots_share,
                    'slowdown': capacity.slowdown,
                    'slots_share_before': logged.slots_share,
                    'slowdown_before': logged.slowdown,
                    'source': source,
                },
            )


def _differs(capacity, logged):
    return (
        abs(capacity.slots_share - logged.slots_share) > LOGGED_STEP
        or abs(capacity.slowdown - logged.slowdown) > LOGGED_STEP
    )


def _encode(observation):
    """Return an Observation as numbers, times in milliseconds."""
    return (
        observation.model,
        observation.size,
        observation.band,
        round(observation.units),
        round(1_000 * observation.seconds),
        round(100 * observation.busy),
    )


def _decode(row):
    """Return the Observation objects of a server.

    Raises:
        BadMessage: The row is malformed.
    """
    if len(row) % _WIDTH:
        raise fields.BadMessage(
            f'expected {_WIDTH} values an observation, got {len(row)} values'
        )
    found = []
    for i in range(0, len(row), _WIDTH):
        model, size, band, units, ms, busy = row[i : i + _WIDTH]
        if not isinstance(model, str):
            raise fields.BadMessage(f'expected a model name, got {model!r}')
        found.append(
            server_capacity.Observation(
                model,
                _in_range(size, 0, 64),
                _in_range(band, 0, pace_baselines.BANDS - 1),
                _in_range(units, 0, _MAX_NUMBER),
                _in_range(ms, 0, _MAX_NUMBER) / 1_000,
                _in_range(busy, 0, _MAX_NUMBER) / 100,
            )
        )
    return found


def _encode_batch(batch):
    """Return the running requests of a server, times in milliseconds."""
    return [
        value
        for model, seconds in batch.items()
        if (ms := round(1_000 * seconds)) > 0
        for value in (model, ms)
    ]


def _decode_batch(row):
    """Return the seconds of running requests by model.

    Raises:
        BadMessage: The row is malformed.
    """
    if not isinstance(row, list) or len(row) % 2:
        raise fields.BadMessage(
            f'expected a list of pairs of a model and a time, got {row!r}'
        )
    batch = {}
    for model, ms in zip(row[::2], row[1::2], strict=True):
        if not isinstance(model, str):
            raise fields.BadMessage(f'expected a model name, got {model!r}')
        batch[model] = _in_range(ms, 0, _MAX_NUMBER) / 1_000
    return batch


def _in_range(value, low, high):
    if not isinstance(value, int) or not low <= value <= high:
        raise fields.BadMessage(
            f'expected an integer from {low} to {high}, got {value!r}'
        )
    return value
