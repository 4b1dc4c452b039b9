"""Duty of the engines: what the holder orders of models and adapters."""

import anyio

from wagtailtide_gateway.control import adapter_orders
from wagtailtide_gateway.control import engine_calls
from wagtailtide_gateway.control import fleet
from wagtailtide_gateway.control import model_orders

PLAN_EVERY_S = 0.1


class EngineOrders:
    """Plans and orders of the duty holder for all services."""

    def __init__(self, parts, hub, duty, cfg, port, pool, metrics):
        self._config = parts.config
        self._hub = hub
        self._duty = duty
        self._fleet = fleet.Fleet(parts.config, parts.servers, hub)
        calls = engine_calls.EngineCalls(
            self._fleet, parts.servers, duty, cfg, port, pool, metrics
        )
        self._models = model_orders.ModelOrders(
            parts.config, parts.servers, self._fleet, hub, calls, cfg
        )
        self._adapters = adapter_orders.AdapterOrders(
            parts.config, self._fleet, hub, calls
        )

    async def run(self):
        """Plan and order while the duty is held, until cancelled."""
        last_at = anyio.current_time()
        async with anyio.create_task_group() as tg:
            while True:
                await self._hub.next_wish(PLAN_EVERY_S)
                if not self._duty.is_held or self._config.deployment is None:
                    continue
                now = anyio.current_time()
                self._begin_duty(now)
                for server_id in self._fleet.follow_list():
                    tg.start_soon(self._models.learn, server_id)
                if now - last_at >= PLAN_EVERY_S:
                    self._hub.advance_rates(now - last_at)
                    last_at = now
                    self._models.plan(tg, now)
                self._adapters.start(tg, now)

    def _begin_duty(self, now):
        if self._fleet.fence == self._duty.fence:
            return
        self._hub.follow_duty()
        self._fleet.begin_duty(self._duty.fence)
        self._models.begin_duty(now)
