"""Tells which engines have memory for a request of this instance."""

import collections

import anyio
from wagtailtide_core.errors import kinds

from wagtailtide_gateway.control import memory_reports
from wagtailtide_gateway.control import memory_reservations
from wagtailtide_gateway.control import others_tokens
from wagtailtide_gateway.control import sections
from wagtailtide_gateway.decisions import engine_memory
from wagtailtide_gateway.decisions import large_requests
from wagtailtide_gateway.decisions import (
    memory_reservations as reservation_decisions,
)
from wagtailtide_gateway.decisions import pace
from wagtailtide_gateway.decisions import scheduling

# Time constant in seconds of the rates that all others are taken to have while
# no leader answers. Within a shorter time an instance has few requests for a
# model, and each of them would count for all.
ASSUMED_RATE_PERIOD_S = 10.0

# Least time for which a request keeps its chances at the engines, in seconds.
MIN_WINDOW_S = 0.5


class EngineMemory:
    """Tells which engines have memory for a request.

    Args:
        servers: ServerView of the instance.
        is_enabled: Whether the memory of engines limits requests.
        wake: Function that makes the waiting requests of a service check
            again for a server.
    """

    def __init__(self, servers, is_enabled=True, wake=lambda service: None):
        self._servers = servers
        self._is_enabled = is_enabled
        self._held = engine_memory.HeldTokens()
        self._large = large_requests.LargeDemand()
        self._others = others_tokens.OthersTokens(self._process_of)
        self._wanted = collections.Counter()
        self._wanted_reserved = collections.Counter()
        self._wanted_since = None
        self._wanted_of_late = scheduling.DecayingSums(ASSUMED_RATE_PERIOD_S)
        self._rates_of_late = {}
        self._own_rates = {}
        self._own_reserved_rates = {}
        self._reservations = memory_reservations.Reservations(
            self._held, self._process_of, wake
        )
        self._reports = memory_reports.MemoryReports()
        self._leader_reservations = memory_reservations.LeaderReservations(
            servers, self._reports, lambda: self._others.reporting
        )

    def section(self):
        """Return the Section for the exchange of tokens."""
        return sections.Section(
            sections.Number.ENGINE_MEMORY,
            make_report=self._make_report,
            receive=self._receive,
            make_update=self._reports.make_update,
            apply=self._others.apply,
            start_term=self._reports.start_term,
        )

    def reservations_section(self):
        """Return the Section for the exchange of reservations."""
        return sections.Section(
            sections.Number.MEMORY_RESERVATIONS,
            make_report=self._reservations.make_report,
            receive=self._leader_reservations.receive,
            make_update=self._leader_reservations.make_update,
            apply=self._reservations.apply,
            start_term=self._leader_reservations.start_term,
            is_urgent=True,
        )

    def _receive(self, instance, value, now):
        self._reports.receive(instance, value, now)
        self._leader_reservations.record_report(instance)

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
        fitting, shares = self._find_fitting(job, states, instances, service_s)
        full = sum(share == 0.0 for share in shares.values())
        job.memory_exclusions = engine_memory.Exclusions(
            full, len(ids) - full - len(fitting)
        )
        return fitting

    def _find_fitting(self, job, states, instances, service_s):
        """Return the ids of the fitting servers, and all shares by id."""
        # A new leader states only those that have reported to it yet.
        instances = max(instances, self._others.reporting)
        period_s = self._period_s(instances)
        window = self._note_wanted(job)
        others = self._describe_others(max(0, instances - 1), service_s)
        if self.needs_reservation(job, instances):
            shares = self._shares(job, states, others, period_s, False)
            reserved = self._reservations.server_id(job)
            if reserved in shares:
                # Its own tokens are among those held there.
                shares[reserved] = 1.0
            return {id_ for id_, share in shares.items() if share}, shares
        shares = self._shares(job, states, others, period_s)
        possible = {id_ for id_, share in shares.items() if share > 0.0}
        if all(shares[id_] == 1.0 for id_ in possible):
            return possible, shares
        # Servers with and those without a limit are asked for in turn.
        key = frozenset(shares)
        chances = job.memory_chances.get(key)
        if chances is None:
            chances = job.memory_chances[key] = engine_memory.chances(
                job.req.attempt_id, shares, window
            )
        fitting = {id_ for id_ in possible if chances[id_] < shares[id_]}
        return fitting, shares

    def _note_wanted(self, job):
        """Count a request as wanted; return the number of the window."""
        window = self._window()
        if job.memory_window != window:
            if job.memory_window is None and self._is_large(job):
                self._large.record(
                    job.demand_key, self._needed(job), anyio.current_time()
                )
            # A request that waits is wanted again in each window.
            job.memory_window = window
            job.memory_chances = {}
            tokens = self._needed(job)
            self._wanted[job.demand_key] += tokens
            self._wanted_of_late.add(
                job.demand_key, tokens, anyio.current_time()
            )
            if self._is_reserved(job):
                self._wanted_reserved[job.demand_key] += tokens
        return window

    def needs_reservation(self, job, instances):
        """Return whether a request may be sent with a reservation only.

        Args:
            job: The Job.
            instances: Number of instances.
        """
        return (
            bool(self._capacity(job))
            and max(instances, self._others.reporting) > 1
            and self._is_reserved(job)
            and self._reservations.are_available(anyio.current_time())
        )

    def reserved_server(self, job):
        """Return the id of the server with a reservation, or None."""
        return self._reservations.server_id(job)

    @property
    def awaited_reservations(self):
        """Number of requests that wait for a reservation."""
        return self._reservations.awaited

    def awaits_reservation(self, job):
        """Return whether a request waits for a reservation."""
        return self._reservations.is_awaited(job)

    def reserve(self, job, server_ids):
        """Ask the leader for a reservation in one of some servers.

        Args:
            job: The Job.
            server_ids: Ids of the servers, the best one first.
        """
        job.memory_exclusions = engine_memory.Exclusions(
            job.memory_exclusions.full, len(server_ids)
        )
        sizes = self._held.sizes(job.service.name, job.service.engine)
        self._reservations.ask(
            job,
            lambda number: reservation_decisions.Request(
                number,
                job.service.name,
                self._needed(job),
                self._capacity(job),
                sizes.root_mean_square,
                tuple(server_ids[: memory_reservations.MAX_SERVERS]),
            ),
        )

    def withdraw_reservation(self, job):
        """Give back the reservation of a request, and ask for no more."""
        self._reservations.withdraw(job)

    def _is_reserved(self, job):
        return _is_reserved_size(job, self._needed(job))

    def _is_large(self, job):
        return large_requests.is_large(
            self._needed(job), self._capacity(job), job.service.engine.slots
        )

    def _period_s(self, instances):
        """Return the seconds until the others know of a request."""
        interval_s = pace.exchange_interval_s(instances)
        return memory_reservations.INTERVALS_UNTIL_KNOWN * max(
            self._others.interval_s, interval_s
        )

    def _shares(self, job, states, others, period_s, assumes_rise=True):
        """Return the share of requests that may use each server, by id.

        Args:
            job: The Job.
            states: ServerState of each server.
            others: Others.
            period_s: Seconds until the others know of a request.
            assumes_rise: Whether the demand of the others for large requests
                is taken to have risen as that of this instance.
        """
        assumed = 0.0
        if assumes_rise and self._is_large(job):
            assumed = others.instances * self._rise(job, others, period_s)
        share = engine_memory.make_share_function(
            self._needed(job),
            others,
            self._held.sizes(job.service.name, job.service.engine),
            self._capacity(job),
            assumed,
            # Long without a leader, large requests would not be sent at all.
            assumes_rise and self._is_large(job) and not others.are_unknown,
            engine_memory.KEPT_PART
            if others.instances and not self._is_reserved(job)
            else 0.0,
        )
        known = self._others.tokens(others.service_s, anyio.current_time())
        own = self._held.by_process()
        wanted = self._make_wanted_function(job.service.name, others)
        shares = {}
        for state in states:
            process = _process(state)
            shares[state.server.id] = share(
                own.get(process, 0),
                known.get(process, 0),
                state.others_load,
                wanted(state.residency.models),
            )
        return shares

    def _rise(self, job, others, period_s):
        """Return the rise in large requests that each other may have, too."""
        rise = self._large.rise(job.demand_key, period_s, anyio.current_time())
        # What is not known does not become known with time.
        return max(rise, self._needed(job)) if others.are_unknown else rise

    def _capacity(self, job):
        """Return the tokens that an engine has memory for, 0 for no limit."""
        if not self._is_enabled or job.service.engine is None:
            return 0
        return job.service.engine.kv_capacity_tokens

    def _window(self):
        window_s = max(2.0 * self._others.interval_s, MIN_WINDOW_S)
        return int(anyio.current_time() / window_s)

    def held(self, state):
        """Return the tokens in a server, for the state dump."""
        others, process = self._others, _process(state)
        known = others.tokens(None, anyio.current_time())
        return {
            'own_tokens': self._held.own(process),
            'others_tokens': known.get(process, 0)
            if others.is_known
            else None,
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
        self._reservations.withdraw(job)
        self._held.add(_process(state), tokens, _is_reserved_size(job, tokens))
        return tokens

    def record_end(self, job, state, tokens):
        """Release the tokens of a request that has ended."""
        if tokens:
            self._held.add(
                _process(state), -tokens, _is_reserved_size(job, tokens)
            )

    def _needed(self, job):
        if job.req.tokens is not None:
            return job.req.tokens
        sizes = self._held.sizes(job.service.name, job.service.engine)
        return min(round(sizes.mean), self._capacity(job))

    def _describe_others(self, others, service_s):
        # The reports of the others were up to an interval old at the leader.
        age_s = (
            anyio.current_time() - self._others.at + self._others.interval_s
        )
        return engine_memory.Others(
            self._others.is_known,
            min(age_s, engine_memory.MAX_AGE_S + MIN_WINDOW_S),
            others,
            service_s,
        )

    def _make_wanted_function(self, service, others):
        """Return a function that tells what others want of some models.

        It returns tokens a second. Without a leader, as many for each other
        instance as for this one, but not less than was last known.

        Args:
            service: Name of the service.
            others: Others.
        """
        rates = self._others.rates
        if others.are_unknown:
            assumed = {
                key: others.instances * rate
                for key, rate in self._rates_of_late.items()
            }
            rates = others_tokens.larger(rates, assumed)
        by_model = {
            model: rate
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
            self._own_rates = _take_rates(self._wanted, elapsed_s)
            self._own_reserved_rates = _take_rates(
                self._wanted_reserved, elapsed_s
            )
            self._rates_of_late = {
                key: tokens / ASSUMED_RATE_PERIOD_S
                for key, tokens in self._wanted_of_late.values(now).items()
            }
        return [
            self._by_server(self._held.by_process()),
            memory_reports.rows(self._own_rates),
            [
                self._by_server(self._held.reserved_by_process()),
                memory_reports.rows(self._own_reserved_rates),
            ],
        ]

    def _by_server(self, by_process):
        """Return the tokens in the present processes of servers."""
        own = {}
        for process, tokens in by_process.items():
            server_id, _ = process
            if self._process_of(server_id) == process:
                own[server_id] = tokens
        return own

    def _process_of(self, server_id):
        state = self._servers.states.get(server_id)
        return None if state is None else _process(state)


def _is_reserved_size(job, tokens):
    engine = job.service.engine
    return reservation_decisions.needs_reservation(
        tokens, engine.kv_capacity_tokens, engine.slots
    )


def _take_rates(wanted, elapsed_s):
    """Return the rates of counted tokens, and count anew."""
    rates = {key: tokens / elapsed_s for key, tokens in wanted.items()}
    wanted.clear()
    return rates


def _process(state):
    return state.server.id, state.server.residency.process_start_ms
