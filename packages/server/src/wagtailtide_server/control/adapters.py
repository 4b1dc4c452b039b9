"""Adapter fetches within the limit that all instances share."""

import anyio
from wagtailtide_core.placement import adapter_pool
from wagtailtide_core.placement import orders

from wagtailtide_server.control import orders as sending
from wagtailtide_server.engines import reports

# Requests with an adapter that this instance knows of end within this time
# of their start, or use it again.
IN_USE_S = 10.0


class AdapterFetches:
    """Fetches adapters and evicts the least recently used ones.

    At most ``knee / live instances`` fetches are under way at once, and at
    least one.
    """

    def __init__(self, plane, is_in_use=lambda server, key: False):
        """Create it.

        Args:
            plane: Control plane.
            is_in_use: Tells whether a request of this instance runs with an
                adapter, given the server and ``name@version:adapter``.
        """
        self._plane = plane
        self._is_in_use = is_in_use
        self._under_way = 0
        self._used_at = {}

    def share(self):
        """Return the number of fetches that may be under way here."""
        documents = self._plane.config.catalog.documents.values()
        knee = min(
            (d.weight_store.parallel_adapter_fetches for d in documents),
            default=1,
        )
        return max(1, knee // max(1, len(self._plane.view.live())))

    def record_use(self, server, key):
        """Note that a request uses an adapter."""
        self._used_at[server, key] = anyio.current_time()

    async def ensure(self, engine, model, adapter):
        """Have an adapter fetched into an engine.

        Args:
            engine: Own Engine on which the model is ready.
            model: Model, as ``name@version``.
            adapter: Declaration of the adapter.

        Returns:
            Whether it is there; otherwise to be asked for again.
        """
        key = reports.adapter_key(model, adapter.name)
        held = {r.model: r for r in engine.report.adapters.residencies}
        self.record_use(engine.name, key)
        if key in held:
            return held[key].state is orders.ResidencyState.READY
        if self._under_way >= self.share():
            return False
        self._under_way += 1
        try:
            return await self._fetch(engine, model, adapter, held)
        finally:
            self._under_way -= 1

    async def _fetch(self, engine, model, adapter, held):
        key = reports.adapter_key(model, adapter.name)
        account = engine.adapters
        if not account.fits(key, adapter.bytes):
            await self._evict(engine, adapter.bytes, held)
            return False
        answer = await engine.order(
            orders.OrderKind.LOAD_ADAPTER, model, adapter.bytes, adapter.name
        )
        return answer.fate is sending.Fate.ACCEPTED

    async def _evict(self, engine, needed, held):
        """Make room; it is free once a report shows it."""
        if not engine.own.declared.adapter_pool_bytes:
            return
        account = engine.adapters
        free = account.capacity_bytes - account.used_bytes()
        ready = account.ready_models()
        candidates = [
            adapter_pool.HeldAdapter(
                key,
                held[key].size_bytes,
                self._used_at.get((engine.name, key), float('-inf')),
                self._in_use(engine.name, key),
            )
            for key in held
            if key in ready
        ]
        chosen = adapter_pool.choose_evictions(candidates, free, needed)
        for evicted in chosen or ():
            model, _, name = evicted.key.rpartition(':')
            await engine.order(
                orders.OrderKind.UNLOAD_ADAPTER,
                model,
                evicted.size_bytes,
                name,
            )

    def _in_use(self, server, key):
        used_at = self._used_at.get((server, key))
        recent = (
            used_at is not None and anyio.current_time() - used_at < IN_USE_S
        )
        return recent or self._is_in_use(server, key)
