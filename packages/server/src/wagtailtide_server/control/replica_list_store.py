"""Reads and updates the lists of ready replicas in the store."""

import itertools
import logging

from wagtailtide_core.placement import replica_lists

from wagtailtide_server.storage import budget as budgets
from wagtailtide_server.storage import client
from wagtailtide_server.storage import write_outcome

LOG = logging.getLogger(__name__)

KEY_PREFIX = 'placement/'
# Attempts at an update that conflicts with writes of other owners to the same
# shard.
MAX_ATTEMPTS = 5
RESOLVE_TIMEOUT_S = 5.0


class ReplicaListStore:
    """Reads the lists and changes them for one instance.

    Attributes:
        listed: Pairs ``(model, server)`` that this instance last saw listed.
        loaded: Whether all lists have been read.
    """

    def __init__(self, store, writer, invariants):
        """Create it without reading the lists.

        Args:
            store: StoreClient.
            writer: Text that is unique to this process.
            invariants: Invariants.
        """
        self.listed = set()
        self.loaded = False
        self._store = store
        self._writer = writer
        self._invariants = invariants
        self._numbers = itertools.count(1)

    async def read_all(self):
        """Read all lists; raises StoreError."""
        found = await self._store.list(
            KEY_PREFIX, activity=budgets.Activity.PLACEMENT
        )
        self.listed = {
            (model, server)
            for item in found.items
            for model, servers in _decode(item).replicas.items()
            for server in servers
        }
        self.loaded = True

    async def add(self, model, server):
        """Add a server to the list of a model; raises StoreError."""
        await self._change(
            model, lambda shard: replica_lists.add(shard, model, server)
        )
        self.listed.add((model, server))

    async def withdraw(self, model, server):
        """Remove a server that has lost a model; raises StoreError."""
        await self._change(
            model, lambda shard: replica_lists.withdraw(shard, model, server)
        )
        self.listed.discard((model, server))

    async def remove(
        self, model, server, unusable, find_undeclared, may_be_last
    ):
        """Remove a server from the list of a model before an unload.

        Args:
            model: Model, as ``name@version``.
            server: Server that is to unload it.
            unusable: Servers that do not count as another replica.
            find_undeclared: Function from a shard to the servers listed in it
                that are no longer declared.
            may_be_last: Whether the last replica may be removed.

        Returns:
            The other servers listed, or None if the server stays listed
            because no other replica would be left.

        Raises:
            StoreError: If it is not certain that it was removed.
            InvariantError: If it was removed and no other replica is left.
        """

        def change(shard):
            return replica_lists.remove(
                replica_lists.drop_servers(shard, find_undeclared(shard)),
                model,
                server,
                unusable=unusable,
                may_be_last=may_be_last,
            )

        shard = await self._change(model, change)
        if shard is None:
            return None
        self.listed.discard((model, server))
        left = shard.listed(model)
        self._invariants.check(
            'unload_leaves_a_replica',
            may_be_last or bool(left - {server} - unusable),
            model=model,
            server=server,
            left=sorted(left),
        )
        return left

    async def _change(self, model, change):
        key = replica_lists.shard_key(replica_lists.shard_number(model))
        for _ in range(MAX_ATTEMPTS):
            found = await self._store.get(
                key, activity=budgets.Activity.PLACEMENT
            )
            current = _decode(found) if found else replica_lists.EMPTY
            changed = change(current)
            if changed is None or changed == current:
                return changed
            tag = f'{self._writer}/{next(self._numbers)}'
            changed = replica_lists.Shard(changed.replicas, tag)
            try:
                await write_outcome.put_and_resolve(
                    self._store,
                    key,
                    replica_lists.encode(changed),
                    found.version if found else None,
                    timeout_s=RESOLVE_TIMEOUT_S,
                    activity=budgets.Activity.PLACEMENT,
                )
            except client.Conflict:
                continue
            return changed
        raise client.Conflict(f'{key}: other writes came first each time')


def _decode(item):
    try:
        return replica_lists.decode(item.value)
    except ValueError as exc:
        raise client.Unavailable(f'{item.key}: {exc}') from exc
