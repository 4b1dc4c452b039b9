"""Exchange of the tokens that instances hold in engines."""

import collections

import anyio
from wagtailtide_core.errors import kinds

from wagtailtide_gateway.control import fields
from wagtailtide_gateway.control import sections
from wagtailtide_gateway.decisions import engine_memory

# Reports count for this many seconds, as instances do.
REPORT_TTL_S = engine_memory.MAX_AGE_S

# Least time for which a request keeps its chances at the engines, in seconds.
MIN_WINDOW_S = 0.5

_decode = fields.row(
    lambda *row: row,
    fields.mapping(fields.text, fields.integer),
    fields.sequence(
        fields.row(lambda *row: row, fields.text, fields.text, fields.number)
    ),
)


class EngineMemory:
    """Tells which engines have memory for a request.

    Args:
        servers: ServerView of the instance.
        is_enabled: Whether the memory of engines limits requests.
    """

    def __init__(self, servers, is_enabled=True):
        self._servers = servers
        self._is_enabled = is_enabled
        self._held = engine_memory.HeldTokens()
        self._others = None
        self._others_at = float('-inf')
        self._interval_s = 0.0
        self._wanted = collections.Counter()
        self._wanted_since = None
        self._own_rates = {}
        self._other_rates = {}
        self._start_term()

    def section(self):
        """Return the Section for the exchange."""
        return sections.Section(
            sections.Number.ENGINE_MEMORY,
            make_report=self._make_report,
            receive=self._receive,
            make_update=self._make_update,
            apply=self._apply,
            start_term=self._start_term,
        )

    def require_possible(self, job):
        """Check that a request fits into an empty engine of its service.

        Raises:
            ServingError: It needs more tokens than an engine has memory for.
        """
        capacity, tokens = self._capacity(job), job.req.tokens
        if capacity and tokens is not None and tokens > capacity:
            raise kinds.ServingError(
                kinds.ErrorKind.REQUEST_TOO_LARGE,
                f'the request needs {tokens} tokens and engines of service '
                f'{job.service.name} have memory for {capacity}; send a '
                'shorter prompt or allow less output',
            )

    def skip_demand(self, job):
        """Let `fitting` not count the tokens of a request as wanted.

        For a request that is only explained. It holds until the end of the
        present window of time.
        """
        job.memory_window = self._window()
        job.memory_chances = {}

    def fitting(self, job, states, instances, service_s):
        """Return the ids of the servers that have memory for a request.

        Args:
            job: The Job.
            states: ServerState of each server that can run it.
            instances: Number of instances.
            service_s: Seconds that a request of the service takes.
        """
        ids = {state.server.id for state in states}
        if not self._capacity(job) or not ids:
            return ids
        window = self._window()
        if job.memory_window != window:
            # A request that waits is wanted again in each window.
            job.memory_window = window
            job.memory_chances = {}
            self._wanted[job.demand_key] += self._needed(job)
        if job.memory_chances.keys() != ids:
            job.memory_chances = engine_memory.chances(
                job.req.attempt_id, ids, window
            )
        chances = job.memory_chances
        fitting = set()
        for state in states:
            server_id = state.server.id
            others = self._others_in(state, instances, service_s)
            if self._fits(job, state, others, chances[server_id]):
                fitting.add(server_id)
        return fitting

    def _fits(self, job, state, others, chance):
        return engine_memory.fits(
            self._needed(job),
            self._held.own(_process(state)),
            others,
            self._held.sizes(job.service.name, job.service.engine),
            self._capacity(job),
            chance,
        )

    def _capacity(self, job):
        """Return the tokens that an engine has memory for, 0 for no limit."""
        if not self._is_enabled or job.service.engine is None:
            return 0
        return job.service.engine.kv_capacity_tokens

    def _window(self):
        window_s = max(2.0 * self._interval_s, MIN_WINDOW_S)
        return int(anyio.current_time() / window_s)

    def held(self, state):
        """Return the tokens in a server, for the state dump."""
        others = self._others
        return {
            'own_tokens': self._held.own(_process(state)),
            'others_tokens': (
                None if others is None else others.get(state.server.id, 0)
            ),
        }

    def record_start(self, job, state):
        """Count a request that is sent; return the tokens to release."""
        if not self._capacity(job):
            return 0
        if job.req.tokens is not None:
            self._held.record_size(
                job.service.name, job.service.engine, job.req.tokens
            )
        tokens = self._needed(job)
        self._held.add(_process(state), tokens)
        return tokens

    def record_end(self, state, tokens):
        """Release the tokens of a request that has ended."""
        if tokens:
            self._held.add(_process(state), -tokens)

    def _needed(self, job):
        if job.req.tokens is not None:
            return job.req.tokens
        sizes = self._held.sizes(job.service.name, job.service.engine)
        return min(round(sizes.mean), self._capacity(job))

    def _others_in(self, state, instances, service_s):
        now = anyio.current_time()
        tokens = None
        if self._others is not None:
            tokens = self._others.get(state.server.id, 0)
        # The reports of the others were up to an interval old at the leader.
        age_s = now - self._others_at + self._interval_s
        others = max(0, instances - 1)
        return engine_memory.Others(
            tokens,
            state.others_load,
            min(age_s, engine_memory.MAX_AGE_S + MIN_WINDOW_S),
            others,
            self._wanted_by_others(state, others),
            service_s,
        )

    def _wanted_by_others(self, state, others):
        """Return the tokens a second that others want of a server's models.

        Without a leader, as many for each other instance as for this one.
        """
        service = state.server.service
        keys = [(service, model) for model in state.residency.models]
        if self._others is None:
            return others * sum(self._own_rates.get(key, 0) for key in keys)
        return sum(self._other_rates.get(key, 0.0) for key in keys)

    def _make_report(self):
        now = anyio.current_time()
        since = self._wanted_since
        if since is None or now - since >= MIN_WINDOW_S / 2:
            self._wanted_since = now
            elapsed_s = now - (now - MIN_WINDOW_S if since is None else since)
            self._own_rates = {
                key: tokens / elapsed_s for key, tokens in self._wanted.items()
            }
            self._wanted.clear()
        return [self._own_tokens(), _rows(self._own_rates)]

    def _own_tokens(self):
        own = {}
        for (server_id, start_ms), tokens in self._held.by_process().items():
            state = self._servers.states.get(server_id)
            if state is not None and _process(state)[1] == start_ms:
                own[server_id] = tokens
        return own

    def _receive(self, instance, value, now):
        tokens, rows = _decode(value)
        rates = {(service, model): rate for service, model, rate in rows}
        if any(number < 0 for number in (*tokens.values(), *rates.values())):
            raise ValueError('expected tokens of at least 0')
        self._drop(instance)
        self._reports[instance] = (now, tokens, rates)
        self._total.update(tokens)
        self._total_rates.update(rates)
        for name, (reported_at, _, _) in list(self._reports.items()):
            if now - reported_at > REPORT_TTL_S:
                self._drop(name)

    def _drop(self, instance):
        _, tokens, rates = self._reports.pop(instance, (0.0, {}, {}))
        self._total.subtract(tokens)
        self._total_rates.subtract(rates)

    def _make_update(self, instance, now):
        _, tokens, rates = self._reports.get(instance, (now, {}, {}))
        others = {s: n - tokens.get(s, 0) for s, n in self._total.items()}
        wanted = {
            key: rate - rates.get(key, 0.0)
            for key, rate in self._total_rates.items()
        }
        return [{s: n for s, n in others.items() if n}, _rows(wanted)]

    def _apply(self, value, now):
        if value is None:
            self._others = None
            return
        self._others, rows = _decode(value)
        self._other_rates = {
            (service, model): rate for service, model, rate in rows
        }
        if self._others_at > float('-inf'):
            self._interval_s = min(now - self._others_at, REPORT_TTL_S)
        self._others_at = now

    def _start_term(self):
        self._reports = {}
        self._total = collections.Counter()
        self._total_rates = collections.Counter()


def _rows(rates):
    """Return rates as rows; sums of floats that should be 0 may differ."""
    return [[*key, rate] for key, rate in rates.items() if rate > 0.001]


def _process(state):
    return state.server.id, state.server.residency.process_start_ms
