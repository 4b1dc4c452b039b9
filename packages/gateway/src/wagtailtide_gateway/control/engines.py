"""Orders of the duty holder to the engines: models and adapters."""

import collections
import dataclasses
import logging
import math

import anyio

from wagtailtide_gateway.decisions import placement
from wagtailtide_gateway.http import outgoing
from wagtailtide_gateway.model import backend

LOG = logging.getLogger(__name__)

PLAN_EVERY_S = 0.1

ORDER_TIMEOUT_S = 1.0
REPORT_TIMEOUT_S = 0.6

# An adapter is in place this long after the order was accepted.
ADAPTER_READY_S = 0.012

# Pause between reports while an order is carried out or its fate is unknown.
REPORT_EVERY_S = 0.12

# Time that an unload of a model takes that few requests run on.
UNLOAD_S = 0.8

# Time in which news reaches all instances of a small fleet.
NEWS_TRAVEL_S = 0.3

# Reports are some hundred milliseconds old; one that is read this long after
# an order shows it if the engine took it.
REPORT_LAG_S = 0.4

# An engine whose order is not done after this factor of the expected time,
# and this many seconds more, is read again and planned anew.
OVERDUE_FACTOR = 3.0
OVERDUE_S = 5.0

# Wishes older than this are void: their requests have been answered.
WISH_VALID_S = 0.5

# Pause after an engine refused or did not answer an order.
BACK_OFF_S = 0.5

# Part of the weight store's rate that is used. What may be open at once is
# bounded by the same number: beyond it every load takes longer.
STORE_RATE_SHARE = 1.0

# Loads that the weight store allows beyond its rate in any window.
SPARE_LOADS = 3


@dataclasses.dataclass
class _Engine:
    """An engine as the duty holder keeps it.

    Attributes:
        residency: What it holds as far as is known, orders included.
        busy: Whether a model order is in progress.
        not_before: Time before which no order is given.
        loaded_at: Time at which each model was loaded.
        adapter_used_at: Time at which each adapter was last asked for.
        lock: Held while an order is given, so that counts follow.
        loading: Model that is to be loaded, or None.
        victims: Models that are being unloaded for it.
        from_store: Whether its weights come from the weight store.
    """

    residency: backend.Residency
    busy: bool = False
    not_before: float = 0.0
    loaded_at: dict = dataclasses.field(default_factory=dict)
    adapter_used_at: dict = dataclasses.field(default_factory=dict)
    lock: anyio.Lock = dataclasses.field(default_factory=anyio.Lock)
    loading: str | None = None
    victims: frozenset[str] = frozenset()
    from_store: bool = False


class EngineOrders:
    """Plans and orders of the duty holder for all services."""

    def __init__(self, parts, hub, duty, cfg, port, pool, metrics):
        self._config = parts.config
        self._servers = parts.servers
        self._hub = hub
        self._duty = duty
        self._cfg = cfg
        self._port = port
        self._pool = pool
        self._metrics = metrics
        self._engines = {}
        self._store_loads = collections.deque()
        self._fence = None

    async def run(self):
        """Plan and order while the duty is held, until cancelled."""
        last_at = anyio.current_time()
        async with anyio.create_task_group() as tg:
            while True:
                await self._hub.next_wish(PLAN_EVERY_S)
                if not self._duty.is_held or self._config.deployment is None:
                    continue
                self._begin_duty()
                now = anyio.current_time()
                self._follow_list(tg)
                if now - last_at >= PLAN_EVERY_S:
                    self._hub.advance_rates(now - last_at)
                    last_at = now
                    self._plan_models(tg, now)
                self._order_adapters(tg, now)

    def _begin_duty(self):
        if self._fence == self._duty.fence:
            return
        self._fence = self._duty.fence
        self._hub.follow_duty()
        self._engines.clear()
        # What the holder before loaded in this window is unknown; the rule
        # allows a few loads beyond the rate.
        now = anyio.current_time()
        self._store_loads.clear()
        if self._fence > 1:
            used = self._allowed_loads(1) - SPARE_LOADS
            self._store_loads.extend([now] * used)

    def _allowed_loads(self, minimum):
        rates = [
            service.engine.loads_per_s
            for service in self._config.deployment.services.values()
            if service.engine is not None
        ]
        allowed = sum(rates) * self._cfg.load_window_s * STORE_RATE_SHARE
        return max(minimum, math.floor(allowed))

    def _follow_list(self, tg):
        states = self._servers.states
        for server_id in self._engines.keys() - states.keys():
            self._forget(server_id)
        for server_id, state in states.items():
            service = self._service_of(state)
            if service is None or service.engine is None:
                continue
            listed = state.server.residency
            engine = self._engines.get(server_id)
            if engine is None or (listed.born_ms != engine.residency.born_ms):
                # Its orders are counted only in its report.
                engine = self._engines[server_id] = _Engine(listed, busy=True)
                tg.start_soon(self._learn, server_id, engine)

    async def _learn(self, server_id, engine):
        """Read an engine until it has no order in progress."""
        while self._engines.get(server_id) is engine:
            report = await self._refresh(server_id, engine)
            if report is not None and not report.busy:
                engine.busy = False
                return
            await anyio.sleep(REPORT_EVERY_S)

    def _forget(self, server_id):
        engine = self._engines.pop(server_id)
        engine.busy = True

    def _adopt(self, server_id, engine, residency):
        engine.residency = residency
        self._hub.publish(server_id, residency)

    def _service_of(self, state):
        return self._config.deployment.services.get(state.server.service)

    # Models

    def _plan_models(self, tg, now):
        for service in self._config.deployment.services.values():
            if service.engine is None:
                continue
            situation = self._situation(service, now)
            for step in placement.plan(situation, service.engine.models):
                self._start_step(tg, service, step, now)

    def _situation(self, service, now):
        copies = collections.Counter()
        views = []
        for server_id, engine in self._members(service):
            held = set(engine.residency.models) - engine.victims
            if engine.loading:
                held.add(engine.loading)
            copies.update(held)
            if not engine.busy and now >= engine.not_before:
                views.append(self._view(service, server_id, engine))
        return placement.Situation(
            engines=tuple(views),
            engine_count=len(self._members(service)),
            copies=copies,
            fills=self._fills(service),
            demand=self._demand(service, now),
            slots=service.engine.slots,
            store_loads_left=self._store_loads_left(now),
            patient_loads=sum(
                engine.from_store and self._is_patient(service, engine.loading)
                for _, engine in self._members(service)
            ),
            cached=self._cached(service),
            observed_s=self._hub.observed_s(service.name, now),
            now=now,
        )

    def _fills(self, service):
        loads = collections.defaultdict(list)
        for server_id, engine in self._members(service):
            for name in engine.residency.models:
                loads[name].append(self._hub.load_of(server_id))
        return {
            name: sum(of_model) / len(of_model) / service.engine.slots
            for name, of_model in loads.items()
        }

    def _is_patient(self, service, model):
        target_s = self._hub.target_s(service.name, model)
        return target_s is not None and target_s >= placement.SWAP_S

    def _cached(self, service):
        """Return the models of which some engine has or gets a copy."""
        found = set()
        for _, engine in self._members(service):
            residency = engine.residency
            found |= residency.in_memory | residency.on_disk
            found |= residency.models.keys()
            if engine.loading:
                found.add(engine.loading)
        return frozenset(found)

    def _members(self, service):
        return [
            (server_id, self._engines[server_id])
            for server_id, state in self._servers.states.items()
            if state.server.service == service.name
            and server_id in self._engines
            and state.takes_work
            and not self._hub.is_down(server_id)
        ]

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
            load=self._hub.load_of(server_id),
            loaded_at=engine.loaded_at,
        )

    def _demand(self, service, now):
        rows = self._hub.demand_of(service.name, now)
        rate = sum(row.rate_per_s for row in rows.values())
        running = sum(row.running for row in rows.values())
        slot_s = self._servers.service_time_s(service.name, 1.5)
        if rate > 1.0 and running:
            slot_s = max(0.2, min(running / rate, 4.0))
        return {
            model: placement.Demand(
                model=model,
                busy_slots=max(
                    row.running + row.waiting, row.rate_per_s * slot_s
                ),
                waiting=row.waiting,
                idle=placement.is_idle(row.idle_s, row.last_rate_per_s),
                patient=row.target_s >= placement.SWAP_S,
            )
            for model, row in rows.items()
        }

    def _store_loads_left(self, now):
        while self._store_loads and (
            self._store_loads[0] <= now - self._cfg.load_window_s
        ):
            self._store_loads.popleft()
        allowed = self._allowed_loads(1)
        open_loads = sum(e.from_store for e in self._engines.values())
        return min(allowed - len(self._store_loads), allowed - open_loads)

    def _start_step(self, tg, service, step, now):
        engine = self._engines[step.engine]
        model = service.engine.models[step.model]
        engine.busy = True
        engine.loading = step.model
        engine.victims = frozenset(step.victims)
        engine.from_store = step.from_store
        if step.from_store:
            self._store_loads.append(now)
        view = self._view(service, step.engine, engine)
        load_s = placement.load_time_s(model, view)
        expected_s = load_s + UNLOAD_S * len(step.victims)
        self._hub.set_loading(service.name, step.model, now + expected_s)
        LOG.info(
            'model step',
            extra={
                'server': step.engine,
                'model': step.model,
                'victims': ','.join(step.victims),
                'from_store': step.from_store,
                'expected_s': round(expected_s, 2),
                'demand': self._hub.demand_of(service.name, now).get(
                    step.model
                ),
                'fence': self._fence,
            },
        )
        tg.start_soon(self._carry_out, service, step, engine, load_s)

    async def _carry_out(self, service, step, engine, load_s):
        try:
            if step.victims:
                self._publish_without(step.engine, engine, step.victims)
                await anyio.sleep(NEWS_TRAVEL_S)
            for victim in step.victims:
                if not await self._order_model(
                    step.engine, engine, False, victim, 0.1
                ):
                    return
            if await self._order_model(
                step.engine, engine, True, step.model, load_s
            ):
                engine.loaded_at[step.model] = anyio.current_time()
        finally:
            engine.busy = engine.from_store = False
            engine.loading, engine.victims = None, frozenset()
            self._hub.publish(step.engine, engine.residency)
            self._hub.set_loading(service.name, step.model, None)

    def _publish_without(self, server_id, engine, victims):
        """Let the instances stop using models before they are unloaded."""
        models = {
            name: resident
            for name, resident in engine.residency.models.items()
            if name not in victims
        }
        residency = dataclasses.replace(engine.residency, models=models)
        self._hub.publish(server_id, residency)

    async def _order_model(self, server_id, engine, load, name, expected_s):
        """Order a load or unload; return whether it was carried out."""
        async with engine.lock:
            order = self._make_order(engine, load, name, None)
            status = await self._give(server_id, order)
            if status == 202:
                engine.residency = dataclasses.replace(
                    engine.residency, order_count=order.order_count + 1
                )
        if status == 202:
            return await self._await_done(
                server_id, engine, load, name, expected_s
            )
        await anyio.sleep(REPORT_LAG_S)
        await self._refresh(server_id, engine)
        engine.not_before = anyio.current_time() + BACK_OFF_S
        return (name in engine.residency.models) == load

    async def _await_done(self, server_id, engine, load, name, expected_s):
        started_at = anyio.current_time()
        await anyio.sleep(expected_s)
        limit_s = expected_s * OVERDUE_FACTOR + OVERDUE_S
        while anyio.current_time() - started_at < limit_s:
            report = await self._refresh(server_id, engine)
            if report is not None and not report.busy:
                return (name in engine.residency.models) == load
            await anyio.sleep(REPORT_EVERY_S)
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

    # Adapters

    def _order_adapters(self, tg, now):
        wishes = self._hub.adapter_wishes
        for wish, at in list(wishes.items()):
            if now - at > WISH_VALID_S:
                del wishes[wish]
                continue
            service = self._config.deployment.services.get(wish.service)
            if service is None or service.engine is None:
                del wishes[wish]
                continue
            if self._start_adapter(tg, service, wish, now):
                del wishes[wish]

    def _start_adapter(self, tg, service, wish, now):
        """Order an adapter where it fits best; return whether it is done."""
        options = []
        for server_id, engine in self._members(service):
            resident = engine.residency.models.get(wish.model)
            if resident is None or engine.busy or now < engine.not_before:
                continue
            if wish.adapter in resident.adapters:
                self._hub.publish(server_id, engine.residency)
                engine.adapter_used_at[(wish.model, wish.adapter)] = now
                return True
            options.append((self._hub.load_of(server_id), server_id, engine))
        if not options:
            return False
        _, server_id, engine = min(options, key=lambda row: row[0])
        engine.adapter_used_at[(wish.model, wish.adapter)] = now
        tg.start_soon(self._place_adapter, service, server_id, engine, wish)
        return True

    async def _place_adapter(self, service, server_id, engine, wish):
        async with engine.lock:
            resident = engine.residency.models.get(wish.model)
            if resident is None or wish.adapter in resident.adapters:
                return
            held = [
                (engine.adapter_used_at.get((m.name, a), 0.0), m.name, a)
                for m in engine.residency.models.values()
                for a in m.adapters
            ]
            if len(held) >= service.engine.adapter_slots:
                _, model, adapter = min(held)
                if not await self._order_adapter(
                    server_id, engine, False, model, adapter
                ):
                    return
            await self._order_adapter(
                server_id, engine, True, wish.model, wish.adapter
            )

    async def _order_adapter(self, server_id, engine, load, model, adapter):
        order = self._make_order(engine, load, model, adapter)
        status = await self._give(server_id, order)
        if status not in (200, 202):
            engine.not_before = anyio.current_time() + REPORT_LAG_S
            await anyio.sleep(REPORT_LAG_S)
            await self._refresh(server_id, engine)
            return False
        if load:
            await anyio.sleep(ADAPTER_READY_S)
        models = dict(engine.residency.models)
        resident = models.get(model)
        if resident is None:
            return False
        changed = (
            resident.adapters | {adapter}
            if load
            else resident.adapters - {adapter}
        )
        models[model] = dataclasses.replace(resident, adapters=changed)
        residency = dataclasses.replace(
            engine.residency,
            order_count=order.order_count + 1,
            models=models,
        )
        self._adopt(server_id, engine, residency)
        return True

    # Calls

    def _make_order(self, engine, load, model, adapter):
        return backend.Order(
            load=load,
            model=model,
            adapter=adapter,
            order_count=engine.residency.order_count,
            holder=self._cfg.instance,
            fence=self._fence,
        )

    async def _give(self, server_id, order):
        """Give an order and return the status, None without an answer."""
        state = self._servers.states.get(server_id)
        if state is None or not self._duty.is_held:
            return None
        if order.fence != self._duty.fence:
            return None
        self._metrics.orders += 1
        call = self._port.order(order, server_id)
        head, _ = await self._call(state, call, ORDER_TIMEOUT_S)
        status = head.status if head else None
        LOG.info(
            'order answered',
            extra={
                'server': server_id,
                'load': order.load,
                'model': order.model,
                'adapter': order.adapter,
                'order_count': order.order_count,
                'fence': order.fence,
                'status': status,
            },
        )
        if status == 412:
            self._duty.superseded('an engine has seen a newer holder')
        return status

    async def _refresh(self, server_id, engine):
        """Read an engine's report and adopt it if it is no older."""
        state = self._servers.states.get(server_id)
        if state is None:
            return None
        head, body = await self._call(
            state, self._port.report, REPORT_TIMEOUT_S
        )
        if head is None or head.status != 200:
            return None
        try:
            report = self._port.decode_report(body)
        except (ValueError, KeyError, TypeError) as exc:
            LOG.warning(
                'engine report ignored',
                extra={'server': server_id, 'reason': repr(exc)},
            )
            return None
        found, known = report.residency, engine.residency
        if found.born_ms != known.born_ms:
            return None
        if known.order_count is not None and (
            found.order_count < known.order_count
        ):
            return None
        if report.busy:
            # Not yet what it will hold; models that are being unloaded were
            # withdrawn from the news before.
            engine.residency = dataclasses.replace(
                known, order_count=found.order_count
            )
            return report
        if not found.in_memory and not found.on_disk:
            found = dataclasses.replace(
                found, in_memory=known.in_memory, on_disk=known.on_disk
            )
        self._adopt(server_id, engine, found)
        return report

    async def _call(self, state, call, timeout_s):
        conn = None
        try:
            with anyio.fail_after(timeout_s):
                conn = await self._pool.acquire(state.server.address)
                head = await conn.request(
                    call.method, call.target, call.headers, call.body
                )
                body = await conn.read_body()
        except (outgoing.ConnectionBroken, TimeoutError) as exc:
            LOG.info(
                'engine call failed',
                extra={
                    'server': state.server.id,
                    'target': call.target.decode(),
                    'reason': str(exc) or 'timeout',
                },
            )
            return None, b''
        else:
            await self._pool.release(conn)
            conn = None
            return head, body
        finally:
            if conn is not None:
                await conn.close()
