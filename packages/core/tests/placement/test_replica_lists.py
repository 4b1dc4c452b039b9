import random
import unittest

import hypothesis
from hypothesis import strategies as st
from wagtailtide_core.placement import replica_lists

MODELS = ('a@1', 'b@1')
SERVERS = ('s1', 's2', 's3')


class Schedule:
    """Interleaves reads, writes and unloads; each server has its own owner.

    Guards against two owners that unload the last two replicas at the same
    time, and against a write that is repeated after a lost response.
    """

    def __init__(self, rng):
        self.rng = rng
        self.value = replica_lists.encode(replica_lists.EMPTY)
        self.version = 1
        self.ready = {model: set(SERVERS) for model in MODELS}
        for model in MODELS:
            for server in SERVERS:
                self._write(replica_lists.add, model, server)
        self.read = {}

    def _write(self, change, model, server, expected=None):
        if expected not in (None, self.version):
            return False
        changed = change(replica_lists.decode(self.value), model, server)
        self.value = replica_lists.encode(changed)
        self.version += 1
        return True

    def read_before_removal(self):
        model = self.rng.choice(MODELS)
        server = self.rng.choice(sorted(self.ready[model]))
        shard = replica_lists.decode(self.value)
        self.read[model, server] = (self.version, shard)

    def remove_and_unload(self):
        if not self.read:
            return
        model, server = key = self.rng.choice(sorted(self.read))
        version, shard = self.read.pop(key)
        changed = replica_lists.remove(shard, model, server)
        if changed is None or version != self.version:
            return
        self.value = replica_lists.encode(changed)
        self.version += 1
        self.ready[model].discard(server)

    def load(self):
        model = self.rng.choice(MODELS)
        server = self.rng.choice(SERVERS)
        if server not in self.ready[model]:
            self.ready[model].add(server)
            self._write(replica_lists.add, model, server)

    def check(self):
        listed = replica_lists.decode(self.value).replicas
        for model in MODELS:
            assert self.ready[model], f'{model} has no replica'
            assert listed[model] <= self.ready[model]


class ReplicaListsTest(unittest.TestCase):
    @hypothesis.settings(derandomize=True, max_examples=60, deadline=None)
    @hypothesis.given(st.integers(0, 2**32))
    def test_unloads_leave_a_replica_of_each_model(self, seed):
        schedule = Schedule(random.Random(seed))
        steps = (
            *(schedule.read_before_removal,) * 3,
            *(schedule.remove_and_unload,) * 3,
            schedule.load,
        )
        for _ in range(300):
            schedule.rng.choice(steps)()
            schedule.check()

    def test_a_server_that_is_unusable_is_no_other_replica(self):
        shard = replica_lists.add(replica_lists.EMPTY, 'a@1', 's1')
        shard = replica_lists.add(shard, 'a@1', 's2')
        refused = replica_lists.remove(shard, 'a@1', 's1', unusable={'s2'})
        self.assertIsNone(refused)

    def test_servers_that_have_gone_are_dropped_from_all_lists(self):
        shard = replica_lists.add(replica_lists.EMPTY, 'a@1', 's1')
        shard = replica_lists.add(shard, 'b@1', 's1')
        shard = replica_lists.add(shard, 'b@1', 's2')
        left = replica_lists.drop_servers(shard, frozenset({'s1'}))
        self.assertEqual(left.replicas, {'b@1': frozenset({'s2'})})

    def test_malformed_values_are_refused(self):
        for value in (b'[]', b'{}', b'{"writer":1,"replicas":[]}', b'{'):
            with self.assertRaises(ValueError):
                replica_lists.decode(value)


if __name__ == '__main__':
    unittest.main()
