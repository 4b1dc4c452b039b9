"""Control loop of the leader for models and adapters on the engines."""

import anyio

from wagtailtide_gateway.control import adapter_orders
from wagtailtide_gateway.control import engine_client
from wagtailtide_gateway.control import fleet
from wagtailtide_gateway.control import model_orders

PLAN_INTERVAL_S = 0.1


class EngineController:
    """Plans placements and sends orders for all services while leading."""

    def __init__(
        self, shared_state, cluster, leadership, cfg, port, pool, metrics
    ):
        self._config = shared_state.config
        self._cluster = cluster
        self._leadership = leadership
        self._fleet = fleet.Fleet(
            shared_state.config, shared_state.servers, cluster
        )
        client = engine_client.EngineClient(
            self._fleet,
            shared_state.servers,
            leadership,
            cfg,
            port,
            pool,
            metrics,
        )
        self._models = model_orders.ModelOrders(
            shared_state.config,
            shared_state.servers,
            self._fleet,
            cluster,
            client,
            cfg,
        )
        self._adapters = adapter_orders.AdapterOrders(
            shared_state.config, self._fleet, cluster, client
        )

    async def run(self):
        """Plan and send orders while this instance leads, until cancelled."""
        # After an unexpected error the orders in progress are unknown, so the
        # term starts again with the engines' reports.
        self._fleet.start_term(None)
        last_plan_at = anyio.current_time()
        async with anyio.create_task_group() as tg:
            while True:
                await self._cluster.wait_for_adapter_request(PLAN_INTERVAL_S)
                if (
                    not self._leadership.is_leader
                    or self._config.deployment is None
                ):
                    continue
                now = anyio.current_time()
                self._start_term(now)
                for server_id in self._fleet.sync_with_list():
                    tg.start_soon(self._models.await_idle, server_id)
                if now - last_plan_at >= PLAN_INTERVAL_S:
                    self._cluster.update_rates(now - last_plan_at)
                    last_plan_at = now
                    self._models.plan(tg, now)
                self._adapters.start(tg, now)

    def _start_term(self, now):
        if self._fleet.fence == self._leadership.fence:
            return
        self._cluster.reset_on_new_term()
        self._fleet.start_term(self._leadership.fence)
        self._models.start_term(self._leadership.previous_term_s, now)
