import unittest

import anyio
from wagtailtide_testing import virtual_time

from tests.control import election_fixture


async def request_exchanges(member, seconds):
    """Ask for an exchange whenever one ends, as waiting requests do."""
    with anyio.move_on_after(seconds):
        while True:
            await member.exchange.wait_for_exchange(1.0)


class ServerListTest(unittest.TestCase):
    @virtual_time.run_without_io
    async def test_server_that_an_own_list_lacked_comes_back(self):
        # Guards against an instance that does without servers whose entries
        # had lapsed when it listed them itself.
        fake_store = election_fixture.FakeStore()
        network = election_fixture.FakeNetwork()
        leader = election_fixture.Member('leader', fake_store, network)
        member = election_fixture.Member('other', fake_store, network)
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


class PacingTest(unittest.TestCase):
    @virtual_time.run_without_io
    async def test_dead_leader_is_not_called_without_pause(self):
        # Guards against hundreds of connection attempts a second from each
        # instance while requests wait for their rate.
        fake_store = election_fixture.FakeStore()
        network = election_fixture.FakeNetwork()
        leader = election_fixture.Member('leader', fake_store, network)
        member = election_fixture.Member('other', fake_store, network)
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
        fake_store = election_fixture.FakeStore()
        network = election_fixture.FakeNetwork()
        leader = election_fixture.Member('leader', fake_store, network)
        member = election_fixture.Member('other', fake_store, network)
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
