"""Guard of the last ready replica of a model before an unload."""

import logging

from wagtailtide_core.placement import orders

from wagtailtide_server.engines import reports

LOG = logging.getLogger(__name__)


class ReplicaGuard:
    """Takes servers off the lists of ready replicas before unloads."""

    def __init__(self, listing, fleet, http):
        """Create it.

        Args:
            listing: Listing.
            fleet: News of all engines.
            http: HTTP client that opens a new connection for each call.
        """
        self._listing = listing
        self._fleet = fleet
        self._http = http

    async def take_off(self, unload, declared):
        """Take a server off a model's list.

        Args:
            unload: The decided Unload.
            declared: Declared engines by name.

        Returns:
            The other servers that have the model, or None if it must stay.

        Raises:
            StoreError: If it is not certain that it was taken off.
        """
        closed = frozenset(
            name
            for name in self._fleet.names()
            if not self._fleet.get(name).is_open
        )
        others = await self._listing.remove(
            unload.key,
            unload.server,
            closed,
            lambda shard: _gone(shard, declared),
            unload.may_be_last,
        )
        if others is None:
            LOG.info(
                'last listed replica kept',
                extra={'model': unload.key, 'backend_server': unload.server},
            )
            return None
        if unload.may_be_last:
            return others
        # A server may have crashed since it was listed.
        for name in sorted(others):
            if name in declared and await self._is_ready(
                declared[name], unload.key
            ):
                return others
        await self._listing.add(unload.key, unload.server)
        return None

    async def _is_ready(self, declared, model):
        try:
            report = await reports.fetch(self._http, declared)
        except reports.NoReport:
            return False
        return not report.draining and any(
            r.model == model and r.state is orders.ResidencyState.READY
            for r in report.memory.residencies
        )


def _gone(shard, declared):
    listed = frozenset().union(*shard.replicas.values())
    return listed - declared.keys()
