"""The system's own decisions on the fakes."""

from wagtailtide_core.admission import capacity
from wagtailtide_core.admission import queue
from wagtailtide_core.document import schema
from wagtailtide_core.rates import grants
from wagtailtide_core.rates import limiter
from wagtailtide_core.routing import choose
from wagtailtide_core.routing import load

from wagtailtide_bench import instances
from wagtailtide_bench import placing
from wagtailtide_bench import workload

PUMP_S = 0.05
RESIDENCY_LAG_S = 0.5
SLOTS_COUNT_S = 5.0


class Wagtailtide:
    """Routing, admission, rates and placement of wagtailtide_core."""

    def __init__(self, world):
        self._world = world
        self._org_rates = workload.rates(world.deployment, world.cfg)
        total = sum(self._org_rates.values())
        self._orgs = {
            name: schema.Organisation(
                name=name,
                rate_tokens_per_s=rate,
                burst_tokens=int(rate * world.cfg.burst_s),
                weight=rate / total * len(self._org_rates),
            )
            for name, rate in self._org_rates.items()
        }
        self._instances = [
            instances.make_instance(world, i, entry, self._orgs)
            for i, entry in enumerate(world.entries)
        ]
        self._placing = placing.Placing(world)
        world.resident_changed = self._spread_residency
        for engine in world.engines.values():
            engine.on_prefix = self._spread_prefix
            world.loop.after(
                world.rng.random() * world.cfg.report_s, self._report, engine
            )
        for index in range(len(self._instances)):
            world.loop.after(
                world.scene.warm_up_s + world.rng.random() * PUMP_S,
                self._tick,
                index,
            )
            # Slots count from the first call after their waiting time; the
            # session's renewals are such calls in the server.
            world.loop.after(SLOTS_COUNT_S, self._refresh, index)

    def _refresh(self, index):
        now = self._world.loop.now
        for name in self._orgs:
            self._instances[index].limiter.level(name, now)

    # News that reaches the instances late.

    def _report(self, engine):
        world = self._world
        if not engine.alive:
            return
        as_of = world.loop.now
        report = load.LoadReport(engine.running, engine.waiting, as_of)
        adapters = tuple(engine.adapters)
        for inst in self._instances:
            lag_s = world.rng.uniform(*world.cfg.report_lag_s)
            world.loop.after(
                lag_s, self._learn, inst, engine, report, adapters
            )
        world.loop.after(world.cfg.report_s, self._report, engine)

    def _learn(self, inst, engine, report, adapters):
        state = inst.table.servers[engine.name]
        state.estimate.record_report(report)
        state.adapters = frozenset(adapters)

    def _spread_residency(self, engine):
        models = frozenset(engine.models)
        if not engine.alive:
            self._placing.engine_gone(engine.name)
        for inst in self._instances:
            self._world.loop.after(
                RESIDENCY_LAG_S, self._set_resident, inst, engine, models
            )

    def _set_resident(self, inst, engine, models):
        state = inst.table.servers[engine.name]
        state.leaving = not engine.alive
        inst.table.set_resident(engine.name, models, state.adapters)

    def _spread_prefix(self, engine, prefix):
        world = self._world
        if world.rng.random() >= world.cfg.event_gap:
            world.loop.after(
                world.cfg.event_lag_s, self._learn_prefix, engine.name, prefix
            )

    def _learn_prefix(self, name, prefix):
        for inst in self._instances:
            known = inst.prefixes.get(prefix, frozenset())
            inst.prefixes[prefix] = known | {name}

    # Requests.

    def instance_lost(self, index):
        """Cut the callers of an instance that ended."""
        for waiting in self._instances[index].held.values():
            waiting.req.refused = 'cut'

    def arrive(self, index, req):
        """Take a request on an instance."""
        self._placing.record(index, req)
        charge = self._charge(index, req)
        if charge is None:
            req.refused = 'rate_exceeded'
            return
        self._offer(index, req, charge)

    def _charge(self, index, req):
        now = self._world.loop.now
        inst = self._instances[index]
        got = inst.limiter.admit(req.organisation, req.cost, now)
        if isinstance(got, limiter.Charge):
            return got
        peers = sorted(
            (other.name, other.zone)
            for i, other in enumerate(self._instances)
            if i != index and self._world.entries[i].alive
        )
        by_name = {other.name: other for other in self._instances}
        levels = {
            name: by_name[name].limiter.level(req.organisation, now)
            for name in grants.donors(peers, inst.zone, next(inst.calls))
        }
        received = []
        for name, asked in grants.plan(levels, got.tokens):
            tokens = by_name[name].limiter.grant(
                req.organisation, asked, now, grants.VALID_S
            )
            key = (name, next(inst.calls))
            received.append(grants.receive(key, tokens, now))
        got = inst.limiter.admit_with_grants(
            req.organisation, req.cost, received, now
        )
        charged = isinstance(got, limiter.Charge)
        used = got.granted if charged else 0
        inst.limiter.absorb(req.organisation, received, used, now)
        return got if charged else None

    def _offer(self, index, req, charge):
        inst, now = self._instances[index], self._world.loop.now
        cfg = self._world.cfg
        running = cfg.slots / 2
        ticket = queue.Ticket(
            ticket_id=f'{req.number}/{req.attempts}',
            organisation=req.organisation,
            priority_class=req.priority_class,
            pool=req.model[0],
            tokens=req.cost,
            deadline=req.deadline,
            service_s=(req.tokens - req.done) * cfg.token_time_s(running),
            weight=self._orgs[req.organisation].weight,
        )
        refusal = inst.queue.offer(ticket, now)
        if refusal is not None:
            self._refuse(inst, req, charge, refusal)
            return
        inst.held[ticket.ticket_id] = instances.Waiting(req, ticket, charge)
        self._pump(index)

    def _refuse(self, inst, req, charge, refusal):
        req.refused = refusal.kind.value
        inst.limiter.settle(charge, 0, self._world.loop.now)

    def _tick(self, index):
        if self._world.entries[index].alive:
            self._pump(index)
            self._world.loop.after(PUMP_S, self._tick, index)

    def _pump(self, index):
        inst, now = self._instances[index], self._world.loop.now
        for given_up in inst.queue.expire(now):
            waiting = inst.held.pop(given_up.ticket.ticket_id)
            self._refuse(inst, waiting.req, waiting.charge, given_up.refusal)
        if not len(inst.queue):
            return

        def has_capacity(ticket):
            return self._has_capacity(inst, ticket)

        while True:
            ticket = inst.queue.next(has_capacity, now)
            if ticket is None:
                return
            self._dispatch(index, inst.held.pop(ticket.ticket_id))

    def _has_capacity(self, inst, ticket):
        now = self._world.loop.now
        model = (ticket.pool, 'v1')
        route = choose.RouteRequest(model=model, zone=inst.zone)
        if not any(
            choose.exclusion_reason(route, state, now) is None
            for state in inst.table.with_model(model)
        ):
            self._placing.want(model)
        return capacity.has_room(route, inst.table, ticket.priority_class, now)

    def _dispatch(self, index, waiting, tried=frozenset()):
        inst, req = self._instances[index], waiting.req
        now = self._world.loop.now
        route = choose.RouteRequest(
            model=req.model,
            adapter=req.adapter,
            zone=inst.zone,
            near_zones=frozenset(self._world.deployment.zones),
            exclude=tried,
            prefix_servers=inst.prefixes.get(req.prefix, frozenset()),
        )
        choice = choose.choose_server(route, inst.table, now, inst.rng)
        if isinstance(choice, choose.NoServer):
            self._end_attempt(index, waiting, 'no_backend_server')
            return
        state = inst.table.servers[choice.server]
        engine = self._world.engines[choice.server]
        state.estimate.record_sent()
        state.breaker.record_attempt(now)

        def first():
            # Each response carries the load of its engine.
            state.breaker.record_success()
            state.estimate.record_report(
                load.LoadReport(
                    engine.running, engine.waiting, self._world.loop.now
                )
            )

        def end(failed):
            state.estimate.record_finished()
            if failed in ('down', 'broken'):
                state.breaker.record_failure(self._world.loop.now)
            if failed and inst.budget.try_spend():
                self._dispatch(index, waiting, tried | {choice.server})
                return
            self._end_attempt(index, waiting, failed)

        self._world.send(index, req, engine, first, end)

    def _end_attempt(self, index, waiting, failed):
        inst, req, now = (
            self._instances[index],
            waiting.req,
            self._world.loop.now,
        )
        inst.queue.finish(waiting.ticket, req.tokens + req.prompt_tokens, now)
        if failed == 'no_backend_server' and now < req.deadline:
            # The model is loaded elsewhere; the request waits again.
            req.attempts += 1
            self._offer(index, req, waiting.charge)
            return
        if failed:
            req.refused = failed
        else:
            inst.budget.record_success()
        inst.limiter.settle(
            waiting.charge, req.prompt_tokens + req.tokens, now
        )
        self._pump(index)
