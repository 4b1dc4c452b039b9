"""Orders of the duty holder on adapters."""

import dataclasses

import anyio

from wagtailtide_gateway.control import engine_calls

# An adapter is in place this long after the order was accepted.
ADAPTER_READY_S = 0.012

# Wishes older than this are void: their requests have been answered.
WISH_VALID_S = 0.5


class AdapterOrders:
    """Brings adapters that requests wait for to engines with their model."""

    def __init__(self, config, fleet, hub, calls):
        self._config = config
        self._fleet = fleet
        self._hub = hub
        self._calls = calls

    def start(self, tg, now):
        """Start orders for what was asked for lately."""
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
        for server_id, engine in self._fleet.members(service):
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
        status = await self._calls.order(
            server_id, engine, load, model, adapter
        )
        if status not in (200, 202):
            engine.not_before = (
                anyio.current_time() + engine_calls.REPORT_LAG_S
            )
            await anyio.sleep(engine_calls.REPORT_LAG_S)
            await self._calls.refresh(server_id, engine)
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
            order_count=engine.residency.order_count + 1,
            models=models,
        )
        self._fleet.adopt(server_id, engine, residency)
        return True
