"""Adapter fetches within the limit shared by all instances."""

import anyio
from wagtailtide_core.placement import adapter_pool
from wagtailtide_core.placement import orders

from wagtailtide_server.control import order_client
from wagtailtide_server.engines import reports

# An adapter counts as in use for this long after its last use: requests of
# this instance end within this time of their start, or use it again.
IN_USE_S = 10.0
# A fetch takes up to 14 ms while the limit on parallel fetches is kept.
FETCH_WAIT_S = 0.05


class AdapterFetcher:
    """Fetches adapters and evicts the least recently used ones."""

    def __init__(self, permits, is_in_use=lambda server, key: False):
        """Create the fetcher.

        Args:
            permits: AdapterPermits of this instance, its share of the
                parallel fetches of the whole deployment.
            is_in_use: Returns whether a request of this instance is running
                with an adapter, given the server and
                ``name@version:adapter``.
        """
        self._permits = permits
        self._is_in_use = is_in_use
        self._used_at = {}

    def record_use(self, server, key):
        """Record that a request uses an adapter."""
        self._used_at[server, key] = anyio.current_time()

    async def ensure(self, engine, model, adapter):
        """Order an engine to fetch an adapter that it does not hold.

        Args:
            engine: Engine that this instance owns and has the model ready on.
            model: Model, as ``name@version``.
            adapter: Declaration of the adapter.

        Returns:
            Whether the adapter is ready. If not, the caller asks again later.
        """
        key = reports.adapter_key(model, adapter.name)
        residencies = {
            r.model: r for r in engine.report.adapter_report.residencies
        }
        self.record_use(engine.name, key)
        if key in residencies:
            return residencies[key].state is orders.ResidencyState.READY
        release = self._permits.try_acquire()
        if release is None:
            return False
        try:
            return await self._fetch(engine, model, adapter, residencies)
        finally:
            release()

    async def _fetch(self, engine, model, adapter, residencies):
        key = reports.adapter_key(model, adapter.name)
        account = engine.adapter_memory
        if not account.fits(key, adapter.bytes):
            await self._evict(engine, adapter.bytes, residencies)
            return False
        answer = await engine.send_order(
            orders.OrderKind.LOAD_ADAPTER, model, adapter.bytes, adapter.name
        )
        if answer.fate is not order_client.Fate.ACCEPTED:
            return False
        # The engine responds before it fetches, and its next report comes
        # too late to wait for.
        await anyio.sleep(FETCH_WAIT_S)
        return True

    async def _evict(self, engine, needed, residencies):
        """Unload adapters; the memory is free once a report shows it."""
        if not engine.owned.declared.adapter_pool_bytes:
            return
        account = engine.adapter_memory
        free = account.capacity_bytes - account.used_bytes()
        ready = account.ready_models()
        candidates = [
            adapter_pool.HeldAdapter(
                key,
                residencies[key].size_bytes,
                self._used_at.get((engine.name, key), float('-inf')),
                self._counts_as_in_use(engine.name, key),
            )
            for key in residencies
            if key in ready
        ]
        chosen = adapter_pool.choose_evictions(candidates, free, needed)
        for evicted in chosen or ():
            model, _, name = evicted.key.rpartition(':')
            await engine.send_order(
                orders.OrderKind.UNLOAD_ADAPTER,
                model,
                evicted.size_bytes,
                name,
            )

    def _counts_as_in_use(self, server, key):
        used_at = self._used_at.get((server, key))
        recent = (
            used_at is not None and anyio.current_time() - used_at < IN_USE_S
        )
        return recent or self._is_in_use(server, key)
