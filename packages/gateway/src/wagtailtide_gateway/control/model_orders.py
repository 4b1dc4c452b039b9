"""Orders by which the leader loads and unloads models."""

import collections
import dataclasses
import logging

import anyio

from wagtailtide_gateway.control import engine_client
from wagtailtide_gateway.control import store_loads
from wagtailtide_gateway.decisions import placement

LOG = logging.getLogger(__name__)

# Seconds that an unload takes if few requests run on the model.
UNLOAD_S = 0.8

# Seconds in which an update reaches all instances of a small cluster.
UPDATE_PROPAGATION_S = 0.3

# An order is overdue after the expected time times this factor, plus the
# margin. The engine is then included in plans again.
OVERDUE_FACTOR = 3.0
OVERDUE_MARGIN_S = 5.0

# Seconds without further orders after an engine refused an order or did not
# answer it.
BACK_OFF_S = 0.5


class ModelOrders:
    """Plans the placement of models on engines and sends the orders.

    Attributes:
        store_load_limiter: StoreLoadLimiter of all services.
    """

    def __init__(self, config, servers, fleet, cluster, client, cfg):
        self._config = config
        self._servers = servers
        self._fleet = fleet
        self._cluster = cluster
        self._client = client
        self.store_load_limiter = store_loads.StoreLoadLimiter(
            cfg.load_window_s
        )

    def start_term(self, previous_term_s, now):
        """Start a leadership term.

        Args:
            previous_term_s: Duration of the previous term in seconds, at
                least.
            now: Time in seconds.
        """
        self.store_load_limiter.start_term(
            self._config.deployment, self._fleet.fence, previous_term_s, now
        )

    async def await_idle(self, server_id):
        """Read a new engine's report until it has no order in progress."""
        engine = self._fleet.engines.get(server_id)
        if engine is not None and await self._client.await_idle(
            server_id, engine
        ):
            engine.busy = False

    def plan(self, tg, now):
        """Plan for all services and start the planned steps."""
        self._withdraw_evacuated_loads()
        for service in self._config.deployment.services.values():
            if service.engine is None:
                continue
            # Sums over the reports of all instances, so made once.
            usage = self._cluster.usage_by_model(service.name, now)
            snapshot = self._snapshot(service, usage, now)
            for step in placement.plan(snapshot, service.engine.models):
                self._start_step(tg, service, step, usage, now)

    def _withdraw_evacuated_loads(self):
        """Tell the instances not to wait for loads in evacuated zones.

        Their results are unknown until the zones return.
        """
        for server_id, engine in self._fleet.engines.items():
            model = engine.loading
            if model is None or not self._fleet.is_evacuated(server_id):
                continue
            engine.loading = None
            name = self._servers.states[server_id].server.service
            service = self._config.deployment.services.get(name)
            if service is None or not any(
                other.loading == model
                for _, other in self._fleet.available_engines(service)
            ):
                self._cluster.set_loading(name, model, None)

    def _snapshot(self, service, usage, now):
        copies, serving = collections.Counter(), collections.Counter()
        views, demand = [], self._demand(service, usage)
        engines = self._fleet.available_engines(service)
        limits = self._fleet.placement_limits(service)
        for server_id, engine in engines:
            per_s = limits.get(server_id)
            for counts, models in (
                (copies, engine.planned_models),
                (serving, engine.serving_models),
            ):
                counts.update(placement.within_limit(models, demand, per_s))
            if self._fleet.takes_orders(server_id, engine, now):
                view = self._view(service, server_id, engine)
                views.append(placement.with_limit(view, demand, per_s))
        self._cluster.note_serving(service.name, serving)
        return placement.Snapshot(
            engines=tuple(views),
            engine_count=len(engines),
            copies=copies,
            serving_copies=serving,
            utilisation=self._utilisation(service, limits),
            demand=demand,
            slots=service.engine.slots,
            store_loads_left=self._store_loads_left(now),
            deferrable_loads=sum(
                engine.from_store
                and self._is_deferrable(service, engine.loading)
                for _, engine in self._fleet.available_engines(service)
            ),
            cached=self._cached(service, limits),
            since_first_request_s=self._cluster.since_first_request_s(
                service.name, now
            ),
            now=now,
        )

    def _utilisation(self, service, limits):
        loads = collections.defaultdict(list)
        for server_id, engine in self._fleet.available_engines(service):
            if server_id in limits:
                continue
            for name in engine.residency.models:
                loads[name].append(
                    self._cluster.load_of(server_id)
                    / self._servers.sustained_share(server_id)
                )
        return {
            name: sum(model_loads) / len(model_loads) / service.engine.slots
            for name, model_loads in loads.items()
        }

    def _is_deferrable(self, service, model):
        target_s = self._cluster.target_s(service.name, model)
        return (
            target_s is not None and target_s >= placement.DEFERRABLE_TARGET_S
        )

    def _cached(self, service, limits):
        """Return the models that an engine has a copy of or is loading.

        Engines with a limit do not count, because they load only models that
        they can serve.
        """
        found = set()
        for server_id, engine in self._fleet.available_engines(service):
            if server_id in limits:
                continue
            residency = engine.residency
            found |= residency.in_memory | residency.on_disk
            found |= residency.models.keys()
            if engine.loading:
                found.add(engine.loading)
        return frozenset(found)

    def _view(self, service, server_id, engine):
        spec, residency = service.engine, engine.residency
        adapter_mb = max(
            (m.adapter_mb for m in spec.models.values()), default=0
        )
        used_mb = spec.adapter_slots * adapter_mb
        for name in residency.models:
            known = spec.models.get(name)
            used_mb += known.weights_mb if known else spec.weights_mb
        return placement.EngineView(
            id=server_id,
            free_mb=spec.weights_mb - used_mb,
            models=frozenset(residency.models),
            in_memory=residency.in_memory,
            on_disk=residency.on_disk,
            load=self._cluster.load_of(server_id),
            loaded_at=engine.loaded_at,
        )

    def _demand(self, service, usage):
        rate = sum(row.rate_per_s for row in usage.values())
        running = sum(row.running for row in usage.values())
        service_s = self._servers.service_time_s(service.name, 1.5)
        if rate > 1.0 and running:
            service_s = max(0.2, min(running / rate, 4.0))
        return {
            model: placement.Demand(
                model=model,
                busy_slots=max(
                    row.running + row.waiting, row.rate_per_s * service_s
                ),
                running=row.running,
                waiting=row.waiting,
                idle=placement.is_idle(row.idle_s, row.last_rate_per_s),
                deferrable=row.target_s >= placement.DEFERRABLE_TARGET_S,
                unserved=row.unserved,
                unserved_s=row.unserved_s,
                adapter_misses_per_s=row.adapter_misses_per_s,
                rate_per_s=row.rate_per_s,
            )
            for model, row in usage.items()
        }

    def _store_loads_left(self, now):
        open_loads = sum(e.from_store for e in self._fleet.engines.values())
        return self.store_load_limiter.remaining(
            self._config.deployment, open_loads, now
        )

    def _start_step(self, tg, service, step, usage, now):
        engine = self._fleet.engines[step.engine]
        model = service.engine.models[step.model]
        engine.busy = True
        engine.loading = step.model
        engine.victims = frozenset(step.victims)
        engine.from_store = step.from_store
        if step.from_store:
            self.store_load_limiter.record_plan(now)
        view = self._view(service, step.engine, engine)
        load_s = placement.load_time_s(model, view)
        expected_s = load_s + UNLOAD_S * len(step.victims)
        self._cluster.set_loading(service.name, step.model, now + expected_s)
        LOG.info(
            'model step',
            extra={
                'server': step.engine,
                'model': step.model,
                'victims': ','.join(step.victims),
                'from_store': step.from_store,
                'expected_s': round(expected_s, 2),
                'demand': usage.get(step.model),
                'fence': self._fleet.fence,
            },
        )
        tg.start_soon(self._run_step, service, step, engine, load_s)

    async def _run_step(self, service, step, engine, load_s):
        fence = self._fleet.fence
        try:
            if await self._send_orders(service, step, engine, load_s):
                engine.loaded_at[step.model] = anyio.current_time()
            else:
                if self._fleet.is_evacuated(step.engine):
                    # The load should have ended, and the engine's report is
                    # not read before its zone returns.
                    engine.from_store = False
                # An order that was not answered or is overdue may be in
                # progress. A further load might not fit beside its model.
                await self._client.await_idle(step.engine, engine)
        finally:
            is_announced = engine.loading is not None
            engine.busy = engine.from_store = False
            engine.loading, engine.victims = None, frozenset()
            self._fleet.publish(step.engine, engine, engine.residency)
            if self._fleet.fence == fence and is_announced:
                self._cluster.set_loading(service.name, step.model, None)

    async def _send_orders(self, service, step, engine, load_s):
        """Send the orders of a step; return whether all were carried out."""
        if step.victims:
            self._withdraw_models(step.engine, engine, step.victims)
            await anyio.sleep(UPDATE_PROPAGATION_S)
        for victim in step.victims:
            if not await self._order_model(
                service, step.engine, engine, False, victim, 0.1
            ):
                return False
        if step.from_store:
            await self._wait_to_start_load(step)
        return await self._order_model(
            service, step.engine, engine, True, step.model, load_s
        )

    async def _wait_to_start_load(self, step):
        """Wait until the weight store allows a planned load to start."""
        delay_s = self.store_load_limiter.reserve_start(
            self._config.deployment, anyio.current_time()
        )
        if delay_s > 0.0:
            LOG.info(
                'load from the weight store delayed',
                extra={
                    'server': step.engine,
                    'model': step.model,
                    'delay_s': round(delay_s, 2),
                    'fence': self._fleet.fence,
                },
            )
            await anyio.sleep(delay_s)

    def _withdraw_models(self, server_id, engine, victims):
        """Tell the instances to stop using models that will be unloaded."""
        models = {
            name: resident
            for name, resident in engine.residency.models.items()
            if name not in victims
        }
        residency = dataclasses.replace(engine.residency, models=models)
        self._fleet.publish(server_id, engine, residency)

    def _has_room(self, service, server_id, engine, name):
        """Return whether a model fits beside what an engine holds now.

        That can be more than the step was planned with: meanwhile the engine
        may have carried out an order of another leader, or one that it did
        not answer. The order count in the order makes the engine refuse it if
        that happens later.
        """
        if name in engine.residency.models:
            return True
        model = service.engine.models[name]
        view = self._view(service, server_id, engine)
        return model.weights_mb <= view.free_mb

    async def _order_model(
        self, service, server_id, engine, load, name, expected_s
    ):
        """Order a load or unload; return whether it was carried out."""
        async with engine.lock:
            if load and not self._has_room(service, server_id, engine, name):
                LOG.info(
                    'load without room dropped',
                    extra={
                        'server': server_id,
                        'model': name,
                        'resident': ','.join(sorted(engine.residency.models)),
                        'order_count': engine.residency.order_count,
                        'fence': self._fleet.fence,
                    },
                )
                return False
            order_count = engine.residency.order_count
            status = await self._client.send_order(
                server_id, engine, load, name
            )
            if status == 202:
                engine.count_order(order_count)
        if status == 202:
            return await self._await_completion(
                server_id, engine, load, name, expected_s
            )
        await anyio.sleep(engine_client.REPORT_LAG_S)
        await self._client.refresh(server_id, engine)
        engine.not_before = anyio.current_time() + BACK_OFF_S
        return (name in engine.residency.models) == load

    async def _await_completion(
        self, server_id, engine, load, name, expected_s
    ):
        started_at = anyio.current_time()
        await anyio.sleep(expected_s)
        limit_s = expected_s * OVERDUE_FACTOR + OVERDUE_MARGIN_S
        while anyio.current_time() - started_at < limit_s:
            if self._fleet.engines.get(server_id) is not engine or (
                self._fleet.is_evacuated(server_id)
            ):
                return False
            report = await self._client.refresh(server_id, engine)
            if report is not None and not report.busy:
                return (name in engine.residency.models) == load
            await anyio.sleep(engine_client.REPORT_POLL_INTERVAL_S)
        LOG.warning(
            'model order overdue',
            extra={
                'server': server_id,
                'load': load,
                'model': name,
                'waited_s': round(limit_s, 1),
            },
        )
        return False
