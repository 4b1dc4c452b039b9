import unittest

import anyio
from wagtailtide_gateway.decisions import pace
from wagtailtide_testing import virtual_time

from tests import builders
from tests.control import election_fixture


async def request_exchanges(member, seconds):
    """Ask for an exchange whenever one ends, as waiting requests do."""
    with anyio.move_on_after(seconds):
        while True:
            await member.exchange.wait_for_exchange(1.0)


def make_pair():
    """Return store, network, and two members of which the first may lead."""
    fake_store = election_fixture.FakeStore()
    network = election_fixture.FakeNetwork()
    return (
        fake_store,
        network,
        election_fixture.Member('leader', fake_store, network),
        election_fixture.Member('other', fake_store, network),
    )


class ServerListTest(unittest.TestCase):
    @virtual_time.run_without_io
    async def test_server_that_an_own_list_lacked_comes_back(self):
        # Guards against an instance that does without servers whose entries
        # had lapsed when it listed them itself.
        _, _, leader, member = make_pair()
        async with anyio.create_task_group() as tg:
            tg.start_soon(leader.run)
            await anyio.sleep(1.0)
            leader.list_servers(3)
            tg.start_soon(member.run)
            await anyio.sleep(1.0)
            member.list_servers(1)
            await anyio.sleep(1.0)
            tg.cancel_scope.cancel()
        self.assertEqual(len(member.shared_state.servers.states), 3)

    @virtual_time.run_without_io
    async def test_models_are_known_during_a_store_outage(self):
        # Guards against routing by the models that were listed long before,
        # because no leader answers and the store has no newer list.
        fake_store, _, leader, member = make_pair()
        async with anyio.create_task_group() as tg:
            leader.apply_list({'s1': ['old']}, 1)
            tg.start_soon(leader.run)
            await anyio.sleep(1.0)
            tg.start_soon(member.run)
            await anyio.sleep(1.0)
            leader.cluster.publish('s1', builders.make_residency(['new']))
            await anyio.sleep(1.0)
            fake_store.down = {'leader', 'other'}
            await anyio.sleep(12.0)
            self.assertEqual(member.models_of('s1'), {'new'})
            member.apply_list({'s1': ['newest']}, 2)
            await anyio.sleep(2.0)
            tg.cancel_scope.cancel()
        self.assertEqual(member.models_of('s1'), {'newest'})

    @virtual_time.run_without_io
    async def test_models_of_a_server_that_was_unknown_are_learned(self):
        # Guards against an instance that does not use a new engine, because
        # its models were published before its entry was known.
        _, _, leader, member = make_pair()
        async with anyio.create_task_group() as tg:
            leader.apply_list({'s1': ['old']}, 1)
            tg.start_soon(leader.run)
            await anyio.sleep(1.0)
            leader.cluster.publish('s1', builders.make_residency(['new']))
            tg.start_soon(member.run)
            await anyio.sleep(2.0)
            self.assertEqual(member.models_of('s1'), {'new'})
            leader.cluster.publish('s2', builders.make_residency(['m1']))
            await request_exchanges(member, 1.0)
            leader.apply_list({'s1': ['new'], 's2': []}, 2)
            await anyio.sleep(2.0)
            tg.cancel_scope.cancel()
        self.assertEqual(member.models_of('s2'), {'m1'})


class PacingTest(unittest.TestCase):
    @virtual_time.run_without_io
    async def test_dead_leader_is_not_called_without_pause(self):
        # Guards against hundreds of connection attempts a second from each
        # instance while requests wait for their rate.
        _, network, leader, member = make_pair()
        async with anyio.create_task_group() as tg:
            tg.start_soon(leader.run)
            await anyio.sleep(1.0)
            tg.start_soon(member.run)
            await anyio.sleep(1.0)
            del network.instances[leader.address]
            before = network.attempts[leader.address]
            await request_exchanges(member, 1.0)
            attempts = network.attempts[leader.address] - before
            tg.cancel_scope.cancel()
        self.assertLessEqual(attempts, 11)

    @virtual_time.run_without_io
    async def test_busy_leader_gets_half_of_the_exchanges_at_most(self):
        # Guards against instances that keep a leader busy by themselves.
        _, network, leader, member = make_pair()
        async with anyio.create_task_group() as tg:
            tg.start_soon(leader.run)
            await anyio.sleep(1.0)
            tg.start_soon(member.run)
            await anyio.sleep(1.0)

            async def answer_slowly():
                await anyio.sleep(0.1)

            network.before_answer[leader.address] = answer_slowly
            before = network.attempts[leader.address]
            await request_exchanges(member, 2.0)
            attempts = network.attempts[leader.address] - before
            tg.cancel_scope.cancel()
        self.assertLessEqual(attempts, 11)

    @virtual_time.run_without_io
    async def test_exchanges_of_a_large_fleet_are_bounded(self):
        # Guards against a leader that is kept busy by waiting requests, which
        # start an exchange each.
        fake_store, network, leader, _ = make_pair()
        others = [
            election_fixture.Member(f'other-{number}', fake_store, network)
            for number in range(100)
        ]
        async with anyio.create_task_group() as tg:
            tg.start_soon(leader.run)
            await anyio.sleep(1.0)
            for member in others:
                tg.start_soon(member.run)
            await anyio.sleep(3.0)
            before = network.attempts[leader.address]
            async with anyio.create_task_group() as waiting:
                for member in others:
                    waiting.start_soon(request_exchanges, member, 2.0)
            attempts = network.attempts[leader.address] - before
            tg.cancel_scope.cancel()
        self.assertLess(attempts / 2.0, 1.1 * pace.MAX_EXCHANGES_PER_S)
