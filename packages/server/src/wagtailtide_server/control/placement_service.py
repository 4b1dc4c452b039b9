"""Placement of one instance, put together for its other parts."""

import anyio

from wagtailtide_server.control import adapters
from wagtailtide_server.control import ensure
from wagtailtide_server.control import placement


class PlacementService:
    """Placement, adapter fetches and the operation ``ensure``.

    Attributes:
        placement: Placement.
        adapters: AdapterFetches.
        ensurer: Ensurer.
    """

    def __init__(self, plane, store, session, permits, invariants, rng):
        """Create it; it is also found as ``plane.ensurer``.

        Args:
            plane: Control plane.
            store: StoreClient.
            session: Session of this instance.
            permits: AdapterPermits of this instance.
            invariants: Invariants.
            rng: Random source.
        """
        self._plane = plane
        self.placement = placement.Placement(
            plane, store, session.ownership, invariants, rng
        )
        self.adapters = adapters.AdapterFetches(permits)
        self.ensurer = ensure.Ensurer(plane, self.placement, self.adapters)
        plane.ensurer = self.ensurer

    async def run(self):
        """Plan until cancelled."""
        await self.placement.run()

    def record_demand(self, key, tokens):
        """Count a request for a model, ``name@version``, when it arrives."""
        self.placement.news.meter.record(key, tokens, anyio.current_time())

    async def leave(self):
        """Give up all engines, before the session is deleted."""
        await self.placement.leave()
