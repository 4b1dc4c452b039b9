"""Which servers a request could be sent to now, and why not to the others.

The functions of `Availability` that the Finder calls are called one after
another: a server that a step leaves out gets the reason of that step.
"""

import math

import anyio

from wagtailtide_gateway.control import engine_memory
from wagtailtide_gateway.decisions import server_choice
from wagtailtide_gateway.serving import availability as availabilities


class ServerRows:
    """Sorts the servers of a service into candidates and excluded ones.

    Args:
        cfg: The Settings.
        shared_state: The SharedState of the instance.
        exchange: Exchange with the leader.
    """

    def __init__(self, cfg, shared_state, exchange):
        self._cfg = cfg
        self._servers = shared_state.servers
        self._exchange = exchange
        self._memory = shared_state.engine_memory

        def make_availability(memory):
            return availabilities.Availability(
                cfg,
                shared_state.servers,
                shared_state.peers,
                exchange,
                memory,
            )

        self._availability = make_availability(self._memory)
        # Tells a full server from one that lacks memory.
        self._without_memory = make_availability(
            engine_memory.EngineMemory(shared_state.servers, is_enabled=False)
        )

    def is_list_outdated(self, now):
        """Return whether the list of servers is too old to send by it."""
        return self._availability.is_list_outdated(now)

    def make(self, job):
        """Return a row for each candidate and for each other server.

        Args:
            job: The Job, for which `skip_demand` of the EngineMemory holds.
        """
        now = anyio.current_time()
        reasons, preferred = self._reasons(job, now)
        candidates, excluded = [], []
        for state in self._servers.of_service(job.service.name):
            row = self._row(job, state, preferred)
            if state.server.id in reasons:
                reason, detail = reasons[state.server.id]
                excluded.append(row | {'reason': reason, 'detail': detail})
            else:
                candidates.append(row)
        candidates.sort(key=lambda row: row['cost']['total'])
        return candidates, excluded

    def _row(self, job, state, preferred):
        (candidate,), _ = self._without_memory.best_free(job, [state])
        parts = server_choice.cost_parts(
            candidate,
            self._cfg.zone,
            job.prefix_hash,
            candidate.id if candidate.id in preferred else None,
        )
        names = ('load', 'failures', 'other_zone', 'prefix')
        costs = dict(zip(names, map(rounded, parts), strict=True))
        return {
            'server': candidate.id,
            'zone': candidate.zone,
            'slots': rounded(candidate.slots),
            'load': candidate.load,
            'own_load': state.own_load,
            'slowdown': rounded(candidate.slowdown),
            'failure_rate': rounded(candidate.failure_rate),
            'is_forwarded': self._is_unreachable(state),
            'process_start_ms': state.server.residency.process_start_ms,
            'cost': costs | {'total': rounded(sum(parts))},
        }

    def _is_unreachable(self, state):
        return self._servers.reachability.is_unreachable(state.server.id)

    def _reasons(self, job, now):
        """Return which servers get no request now, and why.

        Returns:
            Reason and detail by server id, and the ids of the servers that
            are preferred for the prefix of the prompt.
        """
        availability = self._availability
        reasons, preferred = {}, set()

        def exclude(states, kept, explain):
            kept_ids = {state.server.id for state in kept}
            for state in states:
                if state.server.id not in kept_ids:
                    reasons.setdefault(state.server.id, explain(state))

        states = self._servers.of_service(job.service.name)
        usable = availability.usable(job, now)
        exclude(states, usable, lambda s: self._why_unusable(s, now))
        capable = availability.capable(job, now)
        exclude(usable, capable, lambda s: self._why_incapable(job, s, now))
        unlimited, limited = availability.capable_by_limit(job, now)
        free = self._exclude_full(job, unlimited, exclude, preferred)
        permitted = []
        if not free:
            instances = self._exchange.leaderless_instances
            permitted = [s for s in limited if s.limit.allows(instances, now)]
        exclude(limited, permitted, lambda s: _why_limited(s, free, now))
        self._exclude_full(job, permitted, exclude, preferred)
        return reasons, preferred

    def _exclude_full(self, job, states, exclude, preferred):
        """Exclude servers without memory or slots; return the others."""
        fitting = self._memory.fitting(
            job,
            states,
            self._exchange.instances,
            self._availability.service_time_s(job),
        )
        fitting = [s for s in states if s.server.id in fitting]
        exclude(states, fitting, lambda s: self._why_no_memory(job, s))
        free = [
            s
            for s in fitting
            if self._without_memory.best_free(job, [s])[1] is not None
        ]
        exclude(fitting, free, _why_full)
        choice = free if self._cfg.learns_capacity else fitting
        preferred.add(
            server_choice.preferred_server(
                [s.server.id for s in choice], job.prefix_hash
            )
        )
        return free

    def _why_unusable(self, state, now):
        if self.is_list_outdated(now):
            return 'list_outdated', 'the list of servers is too old'
        if state.leaves:
            return 'leaving', 'it takes no new requests'
        if state.missing_since is not None:
            return 'not_listed', 'its entry went missing in a store outage'
        if not state.is_contactable:
            if state.is_evacuated:
                return 'evacuated', f'zone {state.server.zone} is evacuated'
            return 'evacuated', 'it is not known which zones are evacuated'
        if self._is_unreachable(state) and not state.pauses(now):
            return 'unreachable', 'by this instance and by its peers'
        return 'paused', f'for {max(0.0, state.paused_until - now):.2f} s'

    def _why_incapable(self, job, state, now):
        model, adapter = job.req.model, job.req.adapter
        if not job.is_plain and not state.can_serve(model, None, now):
            loading_s = self._exchange.loading_s.get(job.demand_key)
            detail = 'no load of it is known'
            if loading_s is not None:
                detail = f'it is being loaded, ready in {loading_s:.2f} s'
            return 'lacks_model', detail
        if not job.is_plain and not state.can_serve(model, adapter, now):
            return 'lacks_adapter', 'it has the model without it'
        return 'unreachable', 'by this instance; it reaches others'

    def _why_no_memory(self, job, state):
        held = self._memory.held(state)
        others = held['others_tokens']
        return 'memory', (
            f'holds {held["own_tokens"]} tokens of this instance and '
            f'{"an unknown number" if others is None else others} of others, '
            f'memory for {job.service.engine.kv_capacity_tokens}'
        )


def _why_limited(state, free, now):
    if free:
        return 'limited', 'a server without a limit is free'
    per_s = state.limit.present_per_s(now)
    cold = 'cold, ' if state.limit.cold.is_limited(now) else ''
    brittle = 'brittle, ' if state.limit.brittle.per_s is not None else ''
    kind = f'{cold}{brittle}'
    return 'limited', f'{kind}{per_s:.2f} requests a second; no permit now'


def _why_full(state):
    return 'full', f'load {state.load} with {state.sustained_slots:g} slots'


def rounded(number):
    """Return a number with three decimals, None if there is none."""
    if number is None or not math.isfinite(number):
        return None
    return round(number, 3)
