import random
import unittest
import unittest.mock

from wagtailtide_core.invariants import checks
from wagtailtide_server.control import replica_list_store
from wagtailtide_testing import memory
from wagtailtide_testing import virtual_time


class ReplicaListStoreTest(unittest.TestCase):
    @virtual_time.run_without_io
    async def test_a_removal_that_leaves_no_replica_is_stopped(self):
        # Guards against an unload of the last replica if the rule in
        # replica_lists.remove is wrong: the invariant stops it.
        invariants = checks.Invariants()
        store = memory.MemoryStore()
        store.rng = random.Random(1)
        lists = replica_list_store.ReplicaListStore(store, 'a', invariants)
        await lists.add('m@1', 'e1')
        none = frozenset()

        async def remove(**fields):
            return await lists.remove(
                'm@1', 'e1', none, lambda shard: none, **fields
            )

        self.assertIsNone(await remove(may_be_last=False))
        rule = replica_list_store.replica_lists.remove
        with (
            unittest.mock.patch.object(
                replica_list_store.replica_lists,
                'remove',
                lambda *args, **_: rule(*args, may_be_last=True),
            ),
            self.assertRaises(checks.InvariantError),
        ):
            await remove(may_be_last=False)
        self.assertEqual(invariants.violated, {'unload_leaves_a_replica': 1})
