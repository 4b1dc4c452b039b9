"""Adapter fetches within the limit that all instances share."""

import anyio
from wagtailtide_core.placement import adapter_pool
from wagtailtide_core.placement import orders

from wagtailtide_server.control import orders as sending
from wagtailtide_server.engines import reports

# Requests with an adapter that this instance knows of end within this time
# of their start, or use it again.
IN_USE_S = 10.0
# A fetch takes up to 14 ms while the adapter store's limit is kept.
FETCH_S = 0.05


class AdapterFetches:
    """Fetches adapters and evicts the least recently used ones."""

    def __init__(self, permits, is_in_use=lambda server, key: False):
        """Create it.

        Args:
            permits: AdapterPermits of this instance, its share of the
                fetches in flight in the whole deployment.
            is_in_use: Tells whether a request of this instance runs with an
                adapter, given the server and ``name@version:adapter``.
        """
        self._permits = permits
        self._is_in_use = is_in_use
        self._used_at = {}

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
        release = self._permits.try_acquire()
        if release is None:
            return False
        try:
            return await self._fetch(engine, model, adapter, held)
        finally:
            release()

    async def _fetch(self, engine, model, adapter, held):
        key = reports.adapter_key(model, adapter.name)
        account = engine.adapters
        if not account.fits(key, adapter.bytes):
            await self._evict(engine, adapter.bytes, held)
            return False
        answer = await engine.order(
            orders.OrderKind.LOAD_ADAPTER, model, adapter.bytes, adapter.name
        )
        if answer.fate is not sending.Fate.ACCEPTED:
            return False
        # The engine fetches after its answer, and its report comes too late
        # to tell the end.
        await anyio.sleep(FETCH_S)
        return True

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
