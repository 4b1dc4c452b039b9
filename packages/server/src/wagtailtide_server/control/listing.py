"""Lists of ready replicas in the store, as an owner changes them."""

import itertools
import logging

from wagtailtide_core.placement import last_copy

from wagtailtide_server.storage import budget as budgets
from wagtailtide_server.storage import client
from wagtailtide_server.storage import settle

LOG = logging.getLogger(__name__)

PREFIX = 'placement/'
# Other owners write the same shard now and then.
ATTEMPTS = 5
SETTLE_S = 5.0


class Listing:
    """Changes of the lists by one instance.

    Attributes:
        listed: What this instance last saw listed, as ``(model, server)``.
        loaded: Whether all lists have been read.
    """

    def __init__(self, store, writer, invariants):
        """Create it.

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
            PREFIX, activity=budgets.Activity.PLACEMENT
        )
        self.listed = {
            (model, server)
            for item in found.items
            for model, servers in _decode(item).replicas.items()
            for server in servers
        }
        self.loaded = True

    async def add(self, model, server):
        """List a server as ready; raises StoreError."""
        await self._change(
            model, lambda shard: last_copy.add(shard, model, server)
        )
        self.listed.add((model, server))

    async def withdraw(self, model, server):
        """Take a server off that has lost the model; raises StoreError."""
        await self._change(
            model, lambda shard: last_copy.withdraw(shard, model, server)
        )
        self.listed.discard((model, server))

    async def remove(self, model, server, unusable, gone, may_be_last):
        """Take a server off before an unload.

        Args:
            model: Model.
            server: Server that is to unload it.
            unusable: Servers that do not count as another replica.
            gone: Servers that are no longer declared.
            may_be_last: Whether no other replica has to be listed.

        Returns:
            The other servers listed, or None if it was refused.

        Raises:
            StoreError: If it is not certain that it was taken off.
            InvariantError: If no other replica would be left.
        """

        def change(shard):
            return last_copy.remove(
                last_copy.drop_servers(shard, gone(shard)),
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
        key = last_copy.key_of(last_copy.shard_of(model))
        for _ in range(ATTEMPTS):
            found = await self._store.get(
                key, activity=budgets.Activity.PLACEMENT
            )
            held = _decode(found) if found else last_copy.EMPTY
            changed = change(held)
            if changed is None or changed == held:
                return changed
            tag = f'{self._writer}/{next(self._numbers)}'
            changed = last_copy.Shard(changed.replicas, tag)
            try:
                await settle.put_settled(
                    self._store,
                    key,
                    last_copy.encode(changed),
                    found.version if found else None,
                    timeout_s=SETTLE_S,
                    activity=budgets.Activity.PLACEMENT,
                )
            except client.Conflict:
                continue
            return changed
        raise client.Conflict(f'{key}: changed by others each time')


def _decode(item):
    try:
        return last_copy.decode(item.value)
    except ValueError as exc:
        raise client.Unavailable(f'{item.key}: {exc}') from exc
