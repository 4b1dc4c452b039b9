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
        window = self._note_wanted(job)
        shares = self._shares(job, states, max(0, instances - 1), service_s)
        possible = {id_ for id_, share in shares.items() if share > 0.0}
        if all(shares[id_] == 1.0 for id_ in possible):
            return possible
        if job.memory_chances.keys() != ids:
            job.memory_chances = engine_memory.chances(
                job.req.attempt_id, ids, window
            )
        chances = job.memory_chances
        return {id_ for id_ in possible if chances[id_] < shares[id_]}

    def _note_wanted(self, job):
        """Count a request as wanted; return the number of the window."""
        window = self._window()
        if job.memory_window != window:
            # A request that waits is wanted again in each window.
            job.memory_window = window
            job.memory_chances = {}
            self._wanted[job.demand_key] += self._needed(job)
        return window

    def _shares(self, job, states, others, service_s):
        """Return the share of requests that may use each server, by id.

        Args:
            job: The Job.
            states: ServerState of each server.
            others: Number of other instances.
            service_s: Seconds that a request of the service takes.
        """
        share = engine_memory.make_share_function(
            self._needed(job),
            self._describe_others(others, service_s),
            self._held.sizes(job.service.name, job.service.engine),
            self._capacity(job),
        )
        known = self._others or {}
        own = self._held.by_process()
        wanted = self._make_wanted_function(job.service.name, others)
        shares = {}
        for state in states:
            server_id = state.server.id
            shares[server_id] = share(
                own.get(_process(state), 0),
                known.get(server_id, 0),
                state.others_load,
                wanted(state.residency.models),
            )
        return shares

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
            'others_tokens': others and others.get(state.server.id, 0),
        }

    def record_start(self, job, state):
        """Count a request that is sent; return the tokens to release."""
        if not self._capacity(job):
            return 0
        sizes = self._held.sizes(job.service.name, job.service.engine)
        if job.req.tokens is not None:
            sizes.record(job.req.tokens)
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

    def _describe_others(self, others, service_s):
        # The reports of the others were up to an interval old at the leader.
        age_s = anyio.current_time() - self._others_at + self._interval_s
        return engine_memory.Others(
            self._others is not None,
            min(age_s, engine_memory.MAX_AGE_S + MIN_WINDOW_S),
            others,
            service_s,
        )

    def _make_wanted_function(self, service, others):
        """Return a function that tells what others want of some models.

        It returns tokens a second. Without a leader, as many for each other
        instance as for this one.

        Args:
            service: Name of the service.
            others: Number of other instances.
        """
        rates, factor = self._other_rates, 1.0
        if self._others is None:
            rates, factor = self._own_rates, others
        by_model = {
            model: factor * rate
            for (name, model), rate in rates.items()
            if name == service
        }
        if not by_model:
            return lambda models: 0.0

        def wanted(models):
            total = 0.0
            for model in models:
                total += by_model.get(model, 0.0)
            return total

        return wanted

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
