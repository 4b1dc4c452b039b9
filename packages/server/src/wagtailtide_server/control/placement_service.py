"""Interface of placement to the other parts of an instance."""

import anyio

from wagtailtide_server.control import adapter_fetcher
from wagtailtide_server.control import ensure
from wagtailtide_server.control import placement


class PlacementService:
    """Placement, adapter fetches and the operation ``ensure``.

    Attributes:
        placement: Placement.
        adapter_fetcher: AdapterFetcher.
        ensurer: Ensurer.
    """

    def __init__(
        self, plane, store, session, adapter_permits, invariants, rng
    ):
        """Create it and set ``plane.ensurer``.

        Args:
            plane: Control plane.
            store: StoreClient.
            session: Session of this instance.
            adapter_permits: AdapterPermits of this instance.
            invariants: Invariants.
            rng: Random source.
        """
        self._plane = plane
        self.placement = placement.Placement(
            plane, store, session.ownership, invariants, rng
        )
        self.adapter_fetcher = adapter_fetcher.AdapterFetcher(adapter_permits)
        self.ensurer = ensure.Ensurer(
            plane, self.placement, self.adapter_fetcher
        )
        plane.ensurer = self.ensurer

    async def run(self):
        """Plan until cancelled."""
        await self.placement.run()

    def record_demand(self, key, tokens):
        """Count an arriving request.

        Args:
            key: Model, as ``name@version``.
            tokens: Tokens that the request may take.
        """
        self.placement.gossip.meter.record(key, tokens, anyio.current_time())

    async def leave(self):
        """Release all engines; called before the session is deleted."""
        await self.placement.leave()
