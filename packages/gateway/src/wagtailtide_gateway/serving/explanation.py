"""Explains where a request would be sent now, and why, without sending it.

The verdict comes from `Finder.preview`. The servers are sorted by the
functions of `Availability` that the Finder calls, one after another: a server
that a step leaves out gets the reason of that step.
"""

import json
import math
import random

import anyio
from wagtailtide_core.errors import kinds

from wagtailtide_gateway.control import engine_memory
from wagtailtide_gateway.decisions import admission
from wagtailtide_gateway.decisions import server_choice
from wagtailtide_gateway.serving import access as accesses
from wagtailtide_gateway.serving import availability as availabilities
from wagtailtide_gateway.serving import explained_request
from wagtailtide_gateway.serving import finder as finders

PATH = b'/explain'


def answer(explain, target):
    """Return status and body of the response to an operator's question.

    Args:
        explain: Function that `make_explain` returns.
        target: Path and query of the question.
    """
    query = target.partition(b'?')[2].decode('latin-1')
    try:
        status, value = 200, explain(explained_request.parse(query))
    except explained_request.BadQuery as exc:
        status, value = 400, {'error': str(exc)}
    return status, json.dumps(value).encode()


def make_explain(cfg, shared_state, exchange, access, finder, check_stopping):
    """Return the function that explains what would become of a request.

    Args:
        cfg: The Settings.
        shared_state: The SharedState of the instance.
        exchange: Exchange with the leader.
        access: The Access of the instance.
        finder: Its Finder.
        check_stopping: Function that raises a ServingError if no new request
            is accepted, because the instance stops.

    Returns:
        A function from a Query to a value that JSON can represent. It raises
        BadQuery.
    """
    servers = _Servers(cfg, shared_state, exchange)

    def explain(query):
        head = {'instance': cfg.instance, 'zone': cfg.zone}
        inputs = _inputs(shared_state, exchange, servers)
        deployment = shared_state.config.deployment
        if deployment is None:
            preview = _rejected(accesses.no_config_error())
            return head | _outcome(preview) | {'inputs': inputs}
        job = explained_request.make_job(query, deployment)
        # A draw does not change what the next requests draw.
        random_state = random.getstate()
        try:
            preview = _preview(job, access, finder, check_stopping)
            candidates, excluded = servers.rows(job)
        finally:
            random.setstate(random_state)
        return {
            **head,
            **_outcome(preview),
            'reason': _reason(cfg, preview, candidates),
            'request': _request(job),
            'candidates': candidates,
            'excluded': excluded,
            'inputs': inputs,
        }

    return explain


def _preview(job, access, finder, check_stopping):
    try:
        check_stopping()
        preview = finder.preview(job)
        if preview.state is not None and job.organisation is not None:
            access.require_confirmed_keys()
    except kinds.ServingError as exc:
        return _rejected(exc)
    return preview


def _rejected(exc):
    return finders.Preview(None, None, exc, None)


def _outcome(preview):
    exc, decision = preview.error, preview.decision
    verdict = 'reject'
    if exc is None:
        verdict = decision.verdict.value
    return {
        'verdict': verdict,
        'server': preview.state and preview.state.server.id,
        'error': exc
        and {
            'kind': exc.kind.value,
            'status': exc.answer.status,
            'message': exc.message,
        },
        'predicted_wait_s': decision and _rounded(decision.wait_s),
        'retry_after_s': exc and _rounded(exc.retry_after_s),
        'pool': preview.pool and _pool(preview.pool),
    }


def _pool(pool):
    return {
        'slots': _rounded(pool.slots),
        'load': _rounded(pool.load),
        'waiting_ahead': pool.waiting_ahead,
        'others_ahead': _rounded(pool.others_ahead),
        'service_s': _rounded(pool.service_s),
        'ready_in_s': _rounded(pool.ready_in_s),
        'limited_per_s': _rounded(pool.limited_per_s),
        'limited_waiting': pool.limited_waiting,
    }


def _reason(cfg, preview, candidates):
    """Return in a sentence why the verdict is what it is."""
    if preview.error is not None:
        return preview.error.message
    count = len(candidates)
    if preview.decision.verdict is admission.Verdict.WAIT:
        if count:
            return 'requests that wait go first, or the cheapest one is full'
        return 'no server can take it now; the wait fits its deadline'
    if count == 1:
        return 'it is the only candidate'
    if cfg.learns_capacity:
        return f'drawn among {count} candidates, the cheaper the likelier'
    return (
        f'it has the lowest cost of {count} candidates; up to '
        f'{server_choice.MAX_RANDOM_COST} of it is drawn'
    )


def _request(job):
    return {
        'service': job.service.name,
        'model': job.req.model,
        'adapter': job.req.adapter,
        'route': job.route.name,
        'organisation': job.organisation and job.organisation.name,
        'priority': job.priority,
        'tokens': job.req.tokens,
        'latency_target_s': job.route.latency_target_s,
        'deadline_s': _rounded(job.time_left_s),
        'longest_wait_s': _rounded(job.wait_left_s),
    }


def _inputs(shared_state, exchange, servers):
    now = anyio.current_time()
    evacuations = shared_state.evacuations
    return {
        'servers': {
            'age_s': _rounded(shared_state.servers.age_s(now)),
            'is_outdated': servers.is_list_outdated(now),
        },
        'leader': {
            'is_this_instance': exchange.is_leader,
            'answers': exchange.hears_leader,
            'update_age_s': _rounded(exchange.silent_s),
            'instances': exchange.instances,
        },
        'config': {
            'version': shared_state.config.version,
            'age_s': _rounded(shared_state.config.age_s),
        },
        'evacuations': {
            'age_s': _rounded(evacuations.age_s(now)),
            'is_known': evacuations.is_known,
        }
        if evacuations.is_enabled
        else None,
    }


class _Servers:
    """Sorts the servers of a service into candidates and excluded ones."""

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

    def rows(self, job):
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
        costs = dict(zip(names, map(_rounded, parts), strict=True))
        return {
            'server': candidate.id,
            'zone': candidate.zone,
            'slots': _rounded(candidate.slots),
            'load': candidate.load,
            'own_load': state.own_load,
            'slowdown': _rounded(candidate.slowdown),
            'failure_rate': _rounded(candidate.failure_rate),
            'is_forwarded': self._is_unreachable(state),
            'cost': costs | {'total': _rounded(sum(parts))},
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
                detail = f'it is loaded, ready in {loading_s:.2f} s'
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
    return 'limited', f'{per_s:.2f} requests a second; no permit now'


def _why_full(state):
    return 'full', f'load {state.load} with {state.sustained_slots:g} slots'


def _rounded(number):
    """Return a number with three decimals, None if there is none."""
    if number is None or not math.isfinite(number):
        return None
    return round(number, 3)
