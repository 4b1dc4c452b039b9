"""Finds a backend server for a request, or decides that it must wait."""

import random

import anyio
from wagtailtide_core.errors import kinds

from wagtailtide_gateway.control import messages
from wagtailtide_gateway.decisions import admission
from wagtailtide_gateway.decisions import choose
from wagtailtide_gateway.decisions import returns

# Time in a slot that is assumed before any request was observed.
DEFAULT_STREAM_S = 1.5
DEFAULT_PLAIN_S = 0.1

# Slots that are assumed while no server of a service is listed.
DEFAULT_SLOTS = 8

# Time in which an adapter is fetched and the news of it arrives.
ADAPTER_S = 0.08

# Added to the load time of a model that has not been ordered yet: its engine
# may have to unload another one first.
UNORDERED_S = 1.0

# Waiting requests look again at least this often.
LOOK_AGAIN_S = 0.25

# Wait while an adapter is asked for.
ADAPTER_LOOK_S = 0.03

# A request that has waited for this factor of the first prediction and this
# many seconds more is given up: the prediction has failed.
PATIENCE_FACTOR = 2.0
PATIENCE_S = 1.0

# Retry-After of requests that have to go to another instance.
ELSEWHERE_S = 0.1

# A server that took no connection is gone or comes back within seconds.
UNREACHABLE_SERVICE_S = 1.0


class Finder:
    """Applies the decisions on choice and admission to what is known."""

    def __init__(self, cfg, parts, exchange, stopping):
        self._cfg = cfg
        self._stopping = stopping
        self._servers = parts.servers
        self._room = parts.room
        self._demand = parts.demand
        self._wishes = parts.wishes
        self._parts = parts
        self._exchange = exchange
        self._returns = returns.ReturnSchedule()

    async def find(self, job):
        """Return the ServerState that should run a request.

        A stream that has begun cannot be refused any more: it waits for a
        server that takes it up, until it is given up.

        Raises:
            ServingError: It cannot be run in time; it has not been sent.
        """
        place, started_at = None, anyio.current_time()
        patient_until = None
        try:
            while True:
                state, decision = self._decide(job, place)
                if decision.verdict is admission.Verdict.SEND:
                    return state
                now = anyio.current_time()
                lost_patience = patient_until is not None and (
                    now > patient_until
                )
                if not job.has_begun:
                    if self._stopping():
                        raise _elsewhere()
                    if (
                        decision.verdict is admission.Verdict.REFUSE
                        or lost_patience
                    ):
                        raise self._refusal(job, decision)
                if place is None:
                    place = self._enter(job)
                    patience_s = PATIENCE_FACTOR * decision.wait_s
                    patient_until = now + patience_s + PATIENCE_S
                await self._wait(job, place)
        finally:
            if place is not None:
                self._room.leave(job.service.name, place)
                job.waited_s += anyio.current_time() - started_at
                if job.req.model is not None:
                    self._demand.waits_no_longer(*job.key)

    def _enter(self, job):
        if job.req.model is not None:
            self._demand.waits(*job.key)
            self._exchange.kick()
        return self._room.enter(job.service.name, job.req.model, job.priority)

    async def _wait(self, job, place):
        look_s = LOOK_AGAIN_S
        if self._needs_adapter(job):
            self._ask_for_adapter(job)
            look_s = ADAPTER_LOOK_S
        await place.wait(max(0.0, min(look_s, job.wait_left_s)))

    def _ask_for_adapter(self, job):
        self._parts.wishes.add(
            messages.AdapterWish(
                job.service.name, job.req.model, job.req.adapter
            )
        )
        self._exchange.kick()

    def _needs_adapter(self, job):
        if job.req.adapter is None:
            return False
        now = anyio.current_time()
        states = self._usable(job, now)
        return any(s.holds(job.req.model, None, now) for s in states) and (
            not any(
                s.holds(job.req.model, job.req.adapter, now) for s in states
            )
        )

    def _usable(self, job, now):
        health = self._servers.health
        return [
            state
            for state in self._servers.of_service(job.service.name)
            if state.takes_work
            and state.server.id not in job.tried
            and not health.is_unreachable(state.server.id, now)
        ]

    def _able(self, job, now):
        states = self._usable(job, now)
        if job.is_plain:
            return states
        model, adapter = job.req.model, job.req.adapter
        return [s for s in states if s.holds(model, adapter, now)]

    def _decide(self, job, place):
        now = anyio.current_time()
        able = self._able(job, now)
        candidates = [self._candidate(state, now) for state in able]
        best = choose.choose(
            candidates, self._cfg.zone, job.prefix_hash, random.random
        )
        ahead = self._room.ahead(
            job.service.name, job.req.model, job.priority, place
        )
        service_s = self._service_time_s(job)
        has_room = best is not None and best.load < admission.fill_limit(
            job.priority, best.slots, job.route.latency_target_s, service_s
        )
        pool = admission.Pool(
            slots=sum(c.slots for c in candidates),
            load=sum(c.load for c in candidates),
            waiting_ahead=ahead,
            instances=max(1, self._exchange.instances),
            service_s=service_s,
            ready_in_s=0.0 if able else self._ready_in_s(job, now),
        )
        decision = admission.decide(pool, has_room, job.wait_left_s)
        state = next(
            (s for s in able if best and s.server.id == best.id), None
        )
        return state, decision

    def _candidate(self, state, now):
        server = state.server
        return choose.Candidate(
            id=server.id,
            zone=server.zone,
            slots=server.slots,
            load=state.load,
            failure_rate=self._servers.health.failure_rate(server.id, now),
        )

    def _ready_in_s(self, job, now):
        """Return the seconds until some server can run the request."""
        usable = self._usable(job, now)
        if job.is_plain:
            return UNREACHABLE_SERVICE_S
        if any(s.holds(job.req.model, None, now) for s in usable):
            return ADAPTER_S
        loading_s = self._exchange.loading_s.get(job.key)
        if loading_s is not None:
            return loading_s
        model = job.service.engine.models.get(job.req.model)
        if model is None:
            raise kinds.ServingError(
                kinds.ErrorKind.UNKNOWN_MODEL,
                f'service {job.service.name} has no model {job.req.model}',
            )
        return self._load_s(model, usable) + UNORDERED_S

    def _load_s(self, model, usable):
        times = [model.store_load_s]
        for state in usable:
            residency = state.residency
            if model.name in residency.in_memory:
                times.append(model.memory_load_s)
            elif model.name in residency.on_disk:
                times.append(model.disk_load_s)
        return min(times)

    def _refusal(self, job, decision):
        now = anyio.current_time()
        usable = self._usable(job, now)
        if not usable:
            kind = kinds.ErrorKind.NO_BACKEND_SERVER
        elif not self._able(job, now):
            kind = kinds.ErrorKind.MODEL_LOADING
        else:
            kind = kinds.ErrorKind.OVERLOADED
        slots = max(
            (state.server.slots for state in usable), default=DEFAULT_SLOTS
        )
        service_s = self._service_time_s(job)
        turns_per_s = slots / service_s / max(1, self._exchange.instances)
        return_s = self._returns.assign(
            job.key, now + decision.retry_after_s, turns_per_s, now
        )
        return kinds.ServingError(
            kind,
            f'expected to wait {decision.wait_s:.2f} s, more than the '
            'deadline allows; come back later',
            retry_after_s=return_s,
        )

    def _service_time_s(self, job):
        default_s = DEFAULT_PLAIN_S if job.is_plain else DEFAULT_STREAM_S
        return self._servers.service_time_s(job.service.name, default_s)


def _elsewhere():
    return kinds.ServingError(
        kinds.ErrorKind.SHUTTING_DOWN,
        'this instance stops and cannot wait for a server; come back to '
        'another one',
        retry_after_s=ELSEWHERE_S,
    )
