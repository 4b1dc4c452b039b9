"""Orders by which the leader loads and unloads adapters."""

import dataclasses

import anyio

from wagtailtide_gateway.control import engine_client

# Seconds from an accepted order until the adapter can serve.
ADAPTER_LOAD_S = 0.012

# Seconds for which a requested adapter is not unloaded for another. It may be
# on its way, and an unload would not stop it.
MIN_ADAPTER_RESIDENCY_S = 0.5

# Older adapter requests are dropped, because the requests that needed the
# adapter have been answered.
ADAPTER_REQUEST_TTL_S = 0.5


class AdapterOrders:
    """Loads requested adapters on engines that hold their model."""

    def __init__(self, config, fleet, cluster, client):
        self._config = config
        self._fleet = fleet
        self._cluster = cluster
        self._client = client

    def start(self, tg, now):
        """Start orders for the adapters requested recently."""
        requests = self._cluster.adapter_requests
        for request, at in list(requests.items()):
            if now - at > ADAPTER_REQUEST_TTL_S:
                del requests[request]
                continue
            service = self._config.deployment.services.get(request.service)
            if service is None or service.engine is None:
                del requests[request]
                continue
            if self._start_load(tg, service, request, now):
                del requests[request]

    def _start_load(self, tg, service, request, now):
        """Start loading an adapter on the least loaded engine with its model.

        Engines that state a limit are used only if no other one has the model,
        because the requests that need the adapter would wait for permits.

        Returns:
            Whether the adapter request is handled.
        """
        candidates, is_held = [], False
        for server_id, engine in self._fleet.available_engines(
            service, request.software_version
        ):
            resident = engine.residency.models.get(request.model)
            if resident is None or not self._fleet.takes_orders(
                server_id, engine, now
            ):
                continue
            if request.adapter in resident.adapters:
                self._cluster.publish(server_id, engine.residency)
                engine.adapter_used_at[(request.model, request.adapter)] = now
                if not self._fleet.is_limited(server_id):
                    return True
                is_held = True
                continue
            order = (
                self._fleet.is_limited(server_id),
                self._cluster.load_of(server_id),
            )
            candidates.append((order, server_id, engine))
        if not candidates:
            return is_held
        (on_limited, _), server_id, engine = min(
            candidates, key=lambda row: row[0]
        )
        if on_limited and is_held:
            return True
        engine.adapter_used_at[(request.model, request.adapter)] = now
        tg.start_soon(self._load_adapter, service, server_id, engine, request)
        return True

    async def _load_adapter(self, service, server_id, engine, request):
        async with engine.lock:
            if engine.busy:
                return
            resident = engine.residency.models.get(request.model)
            if resident is None or request.adapter in resident.adapters:
                return
            slots = service.engine.adapter_slots
            held = _held_adapters(engine)
            if len(held) >= slots:
                used_at, model, adapter = min(held)
                if anyio.current_time() - used_at < MIN_ADAPTER_RESIDENCY_S:
                    return
                if not await self._order_adapter(
                    server_id, engine, False, model, adapter
                ):
                    return
                if len(_held_adapters(engine)) >= slots:
                    # Requests still use it, and it keeps its place until they
                    # end; the engine is not busy meanwhile.
                    return
            await self._order_adapter(
                server_id, engine, True, request.model, request.adapter
            )

    async def _order_adapter(self, server_id, engine, load, model, adapter):
        order_count = engine.residency.order_count
        status = await self._client.send_order(
            server_id, engine, load, model, adapter
        )
        if status not in (200, 202):
            engine.not_before = (
                anyio.current_time() + engine_client.REPORT_LAG_S
            )
            await anyio.sleep(engine_client.REPORT_LAG_S)
            await self._client.refresh(server_id, engine)
            return False
        engine.count_order(order_count)
        if load:
            engine.adapter_used_at[(model, adapter)] = anyio.current_time()
            await anyio.sleep(ADAPTER_LOAD_S)
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
        residency = dataclasses.replace(engine.residency, models=models)
        self._fleet.update_residency(server_id, engine, residency)
        if status == 202 and not load:
            await self._await_unload(server_id, engine)
        return True

    async def _await_unload(self, server_id, engine):
        """Wait until an adapter that requests use has been unloaded.

        The engine completes these requests first and refuses other orders.
        """
        engine.unloading_adapter = True
        try:
            await self._client.await_idle(server_id, engine)
        finally:
            engine.unloading_adapter = False


def _held_adapters(engine):
    """Return time of the last request, model and name of each adapter."""
    return [
        (
            engine.adapter_used_at.get((model.name, adapter), float('-inf')),
            model.name,
            adapter,
        )
        for model in engine.residency.models.values()
        for adapter in model.adapters
    ]
