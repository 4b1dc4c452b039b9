"""Control variant that uses the decision code of wagtailtide_core."""

from wagtailtide_core.admission import capacity
from wagtailtide_core.admission import queue
from wagtailtide_core.document import schema
from wagtailtide_core.rates import grants
from wagtailtide_core.rates import limiter
from wagtailtide_core.routing import choose
from wagtailtide_core.routing import load

from wagtailtide_bench import instance_state
from wagtailtide_bench import placement_controller
from wagtailtide_bench import workload

DISPATCH_INTERVAL_S = 0.05
RESIDENCY_LAG_S = 0.5
SLOT_ACTIVATION_S = 5.0


class CoreVariant:
    """Routing, admission, rate limits and placement of wagtailtide_core.

    Instances learn of engine loads, residency and cached prefixes with a
    delay.
    """

    def __init__(self, sim):
        self._sim = sim
        self._org_rates = workload.rates(sim.deployment, sim.cfg)
        total = sum(self._org_rates.values())
        self._orgs = {
            name: schema.Organisation(
                name=name,
                rate_tokens_per_s=rate,
                burst_tokens=int(rate * sim.cfg.burst_s),
                weight=rate / total * len(self._org_rates),
            )
            for name, rate in self._org_rates.items()
        }
        self._instances = [
            instance_state.make_state(sim, i, instance, self._orgs)
            for i, instance in enumerate(sim.entry_instances)
        ]
        self._placement = placement_controller.PlacementController(sim)
        sim.on_residency_change = self._publish_residency
        for engine in sim.engines.values():
            engine.on_prefix = self._publish_prefix
            sim.loop.after(
                sim.rng.random() * sim.cfg.report_interval_s,
                self._publish_report,
                engine,
            )
        for index in range(len(self._instances)):
            sim.loop.after(
                sim.scenario.warm_up_s
                + sim.rng.random() * DISPATCH_INTERVAL_S,
                self._tick,
                index,
            )
            # The limiter counts a slot from the first call after its
            # activation delay; in the server, renewals of the session make
            # such calls.
            sim.loop.after(SLOT_ACTIVATION_S, self._activate_slots, index)

    def _activate_slots(self, index):
        now = self._sim.loop.now
        for name in self._orgs:
            self._instances[index].limiter.level(name, now)

    # State that reaches the instances with a delay.

    def _publish_report(self, engine):
        sim = self._sim
        if not engine.alive:
            return
        as_of = sim.loop.now
        report = load.LoadReport(engine.running, engine.waiting, as_of)
        adapters = tuple(engine.adapters)
        for inst in self._instances:
            lag_s = sim.rng.uniform(*sim.cfg.report_lag_s)
            sim.loop.after(
                lag_s, self._apply_report, inst, engine, report, adapters
            )
        sim.loop.after(sim.cfg.report_interval_s, self._publish_report, engine)

    def _apply_report(self, inst, engine, report, adapters):
        state = inst.table.servers[engine.name]
        state.estimate.record_report(report)
        state.adapters = frozenset(adapters)

    def _publish_residency(self, engine):
        models = frozenset(engine.models)
        if not engine.alive:
            self._placement.remove_engine(engine.name)
        for inst in self._instances:
            self._sim.loop.after(
                RESIDENCY_LAG_S, self._set_resident, inst, engine, models
            )

    def _set_resident(self, inst, engine, models):
        state = inst.table.servers[engine.name]
        state.leaving = not engine.alive
        inst.table.set_resident(engine.name, models, state.adapters)

    def _publish_prefix(self, engine, prefix):
        sim = self._sim
        if sim.rng.random() >= sim.cfg.event_loss_rate:
            sim.loop.after(
                sim.cfg.event_lag_s, self._apply_prefix, engine.name, prefix
            )

    def _apply_prefix(self, name, prefix):
        for inst in self._instances:
            known = inst.prefixes.get(prefix, frozenset())
            inst.prefixes[prefix] = known | {name}

    # Handling of requests.

    def instance_crashed(self, index):
        """End the waiting requests of an instance that crashed."""
        for waiting in self._instances[index].waiting_requests.values():
            waiting.req.refusal = 'cut'

    def handle(self, index, req):
        """Handle a request that arrives at an instance.

        Args:
            index: Index of the instance.
            req: The Request.
        """
        self._placement.record(index, req)
        charge = self._charge_tokens(index, req)
        if charge is None:
            req.refusal = 'rate_exceeded'
            return
        self._enqueue(index, req, charge)

    def _charge_tokens(self, index, req):
        now = self._sim.loop.now
        inst = self._instances[index]
        result = inst.limiter.admit(req.organisation, req.cost, now)
        if isinstance(result, limiter.Charge):
            return result
        peers = sorted(
            (other.name, other.zone)
            for i, other in enumerate(self._instances)
            if i != index and self._sim.entry_instances[i].alive
        )
        by_name = {other.name: other for other in self._instances}
        levels = {
            name: by_name[name].limiter.level(req.organisation, now)
            for name in grants.choose_donors(
                peers, inst.zone, next(inst.call_numbers)
            )
        }
        received = []
        for name, requested in grants.split_shortfall(levels, result.tokens):
            tokens = by_name[name].limiter.grant(
                req.organisation, requested, now, grants.GRANT_VALIDITY_S
            )
            key = (name, next(inst.call_numbers))
            received.append(grants.receive(key, tokens, now))
        result = inst.limiter.admit_with_grants(
            req.organisation, req.cost, received, now
        )
        charged = isinstance(result, limiter.Charge)
        used = result.granted if charged else 0
        inst.limiter.credit_unused_grants(
            req.organisation, received, used, now
        )
        return result if charged else None

    def _enqueue(self, index, req, charge):
        inst, now = self._instances[index], self._sim.loop.now
        cfg = self._sim.cfg
        running = cfg.slots / 2
        ticket = queue.Ticket(
            ticket_id=f'{req.number}/{req.attempts}',
            organisation=req.organisation,
            priority_class=req.priority_class,
            pool=req.model[0],
            tokens=req.cost,
            deadline=req.deadline,
            service_s=(req.tokens - req.generated) * cfg.token_time_s(running),
            weight=self._orgs[req.organisation].weight,
        )
        refusal = inst.queue.offer(ticket, now)
        if refusal is not None:
            self._refuse(inst, req, charge, refusal)
            return
        inst.waiting_requests[ticket.ticket_id] = (
            instance_state.WaitingRequest(req, ticket, charge)
        )
        self._dispatch_waiting(index)

    def _refuse(self, inst, req, charge, refusal):
        req.refusal = refusal.kind.value
        inst.limiter.settle(charge, 0, self._sim.loop.now)

    def _tick(self, index):
        if self._sim.entry_instances[index].alive:
            self._dispatch_waiting(index)
            self._sim.loop.after(DISPATCH_INTERVAL_S, self._tick, index)

    def _dispatch_waiting(self, index):
        inst, now = self._instances[index], self._sim.loop.now
        for expired in inst.queue.expire(now):
            waiting = inst.waiting_requests.pop(expired.ticket.ticket_id)
            self._refuse(inst, waiting.req, waiting.charge, expired.refusal)
        if not len(inst.queue):
            return

        def has_capacity(ticket):
            return self._has_capacity(inst, ticket)

        while True:
            ticket = inst.queue.next(has_capacity, now)
            if ticket is None:
                return
            self._dispatch(index, inst.waiting_requests.pop(ticket.ticket_id))

    def _has_capacity(self, inst, ticket):
        now = self._sim.loop.now
        model = (ticket.pool, 'v1')
        route = choose.RouteRequest(model=model, zone=inst.zone)
        if not any(
            choose.exclusion_reason(route, state, now) is None
            for state in inst.table.with_model(model)
        ):
            self._placement.request_model(model)
        return capacity.has_capacity(
            route, inst.table, ticket.priority_class, now
        )

    def _dispatch(self, index, waiting, tried=frozenset()):
        inst, req = self._instances[index], waiting.req
        now = self._sim.loop.now
        route = choose.RouteRequest(
            model=req.model,
            adapter=req.adapter,
            zone=inst.zone,
            near_zones=frozenset(self._sim.deployment.zones),
            exclude=tried,
            prefix_servers=inst.prefixes.get(req.prefix, frozenset()),
        )
        choice = choose.choose_server(route, inst.table, now, inst.rng)
        if isinstance(choice, choose.NoServer):
            self._end_attempt(index, waiting, 'no_backend_server')
            return
        state = inst.table.servers[choice.server]
        engine = self._sim.engines[choice.server]
        state.estimate.record_sent()
        state.breaker.record_attempt(now)

        def handle_first_token():
            # Every response carries the load of its engine.
            state.breaker.record_success()
            state.estimate.record_report(
                load.LoadReport(
                    engine.running, engine.waiting, self._sim.loop.now
                )
            )

        def handle_end(failure):
            state.estimate.record_finished()
            if failure in ('down', 'broken'):
                state.breaker.record_failure(self._sim.loop.now)
            if failure and inst.budget.try_spend():
                self._dispatch(index, waiting, tried | {choice.server})
                return
            self._end_attempt(index, waiting, failure)

        self._sim.send(index, req, engine, handle_first_token, handle_end)

    def _end_attempt(self, index, waiting, failure):
        inst, req, now = (
            self._instances[index],
            waiting.req,
            self._sim.loop.now,
        )
        inst.queue.finish(waiting.ticket, req.tokens + req.prompt_tokens, now)
        if failure == 'no_backend_server' and now < req.deadline:
            # No engine serves the model now: wait until one has loaded it.
            req.attempts += 1
            self._enqueue(index, req, waiting.charge)
            return
        if failure:
            req.refusal = failure
        else:
            inst.budget.record_success()
        inst.limiter.settle(
            waiting.charge, req.prompt_tokens + req.tokens, now
        )
        self._dispatch_waiting(index)
