"""Protection of the last ready replica of a model from unloads."""

import logging

from wagtailtide_core.placement import orders

from wagtailtide_server.engines import reports

LOG = logging.getLogger(__name__)


class ReplicaGuard:
    """Removes servers from the lists of ready replicas before unloads."""

    def __init__(self, replica_lists, fleet, http):
        """Create it.

        Args:
            replica_lists: ReplicaListStore.
            fleet: Fleet, the last known state of all engines.
            http: HTTP client that opens a new connection for each call.
        """
        self._replica_lists = replica_lists
        self._fleet = fleet
        self._http = http

    async def unlist(self, unload, declared):
        """Remove a server from a model's list if another replica is ready.

        Args:
            unload: Unload, as decided by the planner.
            declared: Declared engines by name.

        Returns:
            The other servers listed for the model, or None if the replica
            must not be unloaded.

        Raises:
            StoreError: If it is not certain that the server was removed.
        """
        unusable = frozenset(
            name
            for name in self._fleet.names()
            if not self._fleet.get(name).accepts_loads
        )
        others = await self._replica_lists.remove(
            unload.key,
            unload.server,
            unusable,
            lambda shard: _undeclared(shard, declared),
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
        await self._replica_lists.add(unload.key, unload.server)
        return None

    async def _is_ready(self, declared, model):
        try:
            report = await reports.fetch_report(self._http, declared)
        except reports.ReportUnavailable:
            return False
        return not report.draining and any(
            r.model == model and r.state is orders.ResidencyState.READY
            for r in report.model_report.residencies
        )


def _undeclared(shard, declared):
    listed = frozenset().union(*shard.replicas.values())
    return listed - declared.keys()
