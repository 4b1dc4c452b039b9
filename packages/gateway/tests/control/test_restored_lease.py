"""Elections while the store is restored from a copy."""

import collections
import contextlib
import random
import unittest

import anyio
from wagtailtide_testing import virtual_time

from tests.control import election_fixture


def leaders_of(members):
    return [m.name for m in members if m.leadership.is_leader]


class RestoredStoreTest(unittest.TestCase):
    """The store comes back from a copy, with an earlier lease or none."""

    def note_leaders(self):
        leaders = [m for m in self.members if m.leadership.is_leader]
        self.assertLessEqual(len(leaders), 1, [m.name for m in leaders])
        for member in leaders:
            term = (member.leadership.fence, member.name)
            if not self.terms or self.terms[-1] != term:
                self.terms.append(term)

    async def watch(self):
        while True:
            self.note_leaders()
            await anyio.sleep(0.01)

    def check_terms(self):
        holders = collections.defaultdict(set)
        for fence, name in self.terms:
            holders[fence].add(name)
        shared = {f: names for f, names in holders.items() if len(names) > 1}
        self.assertEqual(shared, {})
        fences = [fence for fence, _ in self.terms]
        self.assertEqual(fences, sorted(fences))

    @contextlib.asynccontextmanager
    async def running(self, *names):
        """Run some of four members, and check the leaders."""
        self.fake_store = election_fixture.FakeStore()
        self.network = election_fixture.FakeNetwork()
        self.members = [
            election_fixture.Member(name, self.fake_store, self.network)
            for name in 'abcd'
        ]
        random.seed(1)
        # Fencing token and name, of all that could give orders.
        self.terms = []
        async with anyio.create_task_group() as tg:
            tg.start_soon(self.watch)
            for member in self.members:
                if member.name in names:
                    tg.start_soon(member.run)
            await election_fixture.wait_until(lambda: leaders_of(self.members))
            yield tg
            tg.cancel_scope.cancel()
        self.check_terms()

    def leader(self):
        (found,) = (m for m in self.members if m.leadership.is_leader)
        return found

    async def start_next_term(self):
        """Let the leader lose its lease, and wait for the next term."""
        member = self.leader()
        fence = member.leadership.fence
        member.leadership.step_down('test')
        await election_fixture.wait_until(
            lambda: any(
                m.leadership.is_leader and m.leadership.fence > fence
                for m in self.members
            )
        )

    @virtual_time.run_without_io
    async def test_leader_wins_the_lease_again_at_once(self):
        # Guards against some seconds without a leader after each restore.
        async with self.running('a', 'b'):
            saved = self.fake_store.obj
            await self.start_next_term()
            leader = self.leader()
            self.fake_store.restore(saved)
            with anyio.fail_after(1.5):
                await election_fixture.wait_until(
                    lambda: (
                        self.fake_store.holders[-1] == leader.name
                        and leader.leadership.fence > 2
                    )
                )
            await anyio.sleep(5.0)
            self.assertEqual(self.leader(), leader)

    @virtual_time.run_without_io
    async def test_released_lease_of_the_copy_is_not_free(self):
        # Guards against a second leader beside one whose later lease was
        # lost, and that the store does not answer.
        async with self.running('a') as tg:
            await self.members[0].leadership.release_lease()
            saved = self.fake_store.obj
            tg.start_soon(self.members[1].run)
            await election_fixture.wait_until(
                lambda: leaders_of(self.members) == ['b']
            )
            self.fake_store.down.add('b')
            self.fake_store.restore(saved)
            # One that runs already, and one that starts later.
            tg.start_soon(self.members[2].run)
            await anyio.sleep(0.5)
            tg.start_soon(self.members[3].run)
            await election_fixture.wait_until(
                lambda: leaders_of(self.members) in (['c'], ['d'])
            )

    @virtual_time.run_without_io
    async def test_copy_without_a_lease_is_not_a_first_start(self):
        # Guards against a leader that fails without a lease, and against a
        # second one that starts meanwhile.
        async with self.running('a', 'b') as tg:
            leader = self.leader()
            self.fake_store.down.add(leader.name)
            self.fake_store.restore(None)
            tg.start_soon(self.members[2].run)
            await election_fixture.wait_until(
                lambda: leaders_of(self.members) not in ([], [leader.name])
            )
            self.assertGreater(self.leader().leadership.fence, 1_000_000)

    @virtual_time.run_without_io
    async def test_lease_is_lost_while_no_leader_is_left(self):
        # Guards against a token that nobody remembers.
        async with self.running('a') as tg:
            saved = self.fake_store.obj
            self.members[0].leadership.step_down('test')
            self.network.instances.pop(self.members[0].address)
            self.fake_store.down.add('a')
            self.fake_store.restore(saved)
            tg.start_soon(self.members[1].run)
            await election_fixture.wait_until(
                lambda: leaders_of(self.members) == ['b']
            )
            self.assertGreater(self.leader().leadership.fence, 1_000_000)

    def test_restores_overlap_with_other_faults(self):
        for seed in range(20):
            with self.subTest(seed=seed):
                self.play_faults(random.Random(seed))

    @virtual_time.run_without_io
    async def play_faults(self, rng):
        async with self.running('a', 'b', 'c') as tg:
            copies = [None]
            for _ in range(12):
                copies.append(self.fake_store.obj)
                await anyio.sleep(rng.uniform(0.05, 2.5))
                self.fault(rng, rng.choice(copies[-4:]))
            self.fake_store.down.clear()
            tg.start_soon(self.members[3].run)
            await election_fixture.wait_until(lambda: leaders_of(self.members))

    def fault(self, rng, saved):
        """Restore the store, cut an instance off, or end a lease."""
        self.fake_store.down.clear()
        fault = rng.randrange(4)
        if fault < 2:
            self.fake_store.restore(saved)
        leaders = [m for m in self.members if m.leadership.is_leader]
        if fault in (1, 2) and leaders:
            self.fake_store.down.add(leaders[0].name)
        elif fault == 3 and leaders:
            leaders[0].leadership.step_down('test')
