import math
import types
import unittest

import anyio
from wagtailtide_gateway import ports
from wagtailtide_gateway.control import config
from wagtailtide_gateway.control import servers
from wagtailtide_gateway.control import store as stores
from wagtailtide_gateway.control import sync
from wagtailtide_gateway.decisions import pace
from wagtailtide_testing import virtual_time

from tests import builders

# Seconds from a report to its update, on a link that is in use.
EXCHANGE_S = 0.1


class FakeStoreClient:
    """Client of a store that leaves some calls without an answer.

    Attributes:
        silent_calls: Number of the next calls that time out.
        answer_after_s: Seconds until a call is answered.
        refuses: Whether calls are refused.
        listed_at: Times at which the servers were listed.
        watches: Number of calls that list or watch the configuration.
    """

    def __init__(self):
        self.silent_calls = 0
        self.answer_after_s = 0.0
        self.refuses = False
        self.listed_at = []
        self.watches = 0

    async def list_all(self, kind, timeout_s=stores.CALL_TIMEOUT_S):
        """Return an empty list, time out or raise NotApplied."""
        self.watches += kind == 'config'
        if self.refuses:
            raise stores.NotApplied('status 429')
        if self.silent_calls:
            self.silent_calls -= 1
            await anyio.sleep(timeout_s)
            raise stores.Unanswered('no answer')
        await anyio.sleep(self.answer_after_s)
        self.listed_at.append(anyio.current_time())
        return [], 1

    async def watch(self, kind, revision, wait_s):
        """Return no changes after the wait, or raise NotApplied."""
        self.watches += 1
        if self.refuses:
            raise stores.NotApplied('status 429')
        await anyio.sleep(wait_s)
        return [], revision


class FakeConfigClient:
    """Client of a store that holds the configuration.

    Attributes:
        reads: Number of reads.
    """

    def __init__(self):
        self.reads = 0

    async def get(self, kind, name):
        """Return the configuration."""
        self.reads += 1
        await anyio.sleep(0.01)
        value = types.SimpleNamespace(version=1)
        return ports.StoredObject(name, 1, value)


class SyncTest(unittest.TestCase):
    def make_sync(self, client, **changes):
        self.is_leader = False
        self.exchange_interval_s = pace.EXCHANGE_INTERVAL_S
        self.servers = servers.ServerView(lambda obj: obj, lambda: None)
        shared_state = types.SimpleNamespace(
            servers=self.servers,
            config=types.SimpleNamespace(age_s=0.0, deployment=None),
        )
        return sync.StoreSync(
            builders.make_settings(**changes),
            client,
            types.SimpleNamespace(
                servers_kind='servers',
                config_kind='config',
                config_name='main',
            ),
            shared_state,
            anyio.current_time,
            lambda: self.is_leader,
            lambda: self.exchange_interval_s,
        )

    @virtual_time.run_without_io
    async def test_list_is_renewed_in_time_after_a_lost_answer(self):
        # Guards against requests to a server that has left: the leader did
        # not answer either, and one lost answer made the list too old.
        client = FakeStoreClient()
        store_sync = self.make_sync(client, server_drain_s=3.0)
        async with anyio.create_task_group() as tg:
            tg.start_soon(store_sync._follow_servers)
            await anyio.sleep(0.1)
            client.silent_calls = 1
            oldest_s = 0.0
            for _ in range(500):
                await anyio.sleep(0.01)
                age_s = self.servers.age_s(anyio.current_time())
                oldest_s = max(oldest_s, age_s)
            tg.cancel_scope.cancel()
        self.assertLess(oldest_s, 2.5)

    @virtual_time.run_without_io
    async def test_new_leader_lists_the_servers_soon(self):
        # Guards against instances that take an old list from a new leader.
        client = FakeStoreClient()
        store_sync = self.make_sync(client, server_drain_s=3.0)
        async with anyio.create_task_group() as tg:
            tg.start_soon(store_sync._follow_servers)
            await anyio.sleep(0.1)
            self.is_leader = True
            await anyio.sleep(2 * sync.LEADER_LIST_INTERVAL_S)
            tg.cancel_scope.cancel()
        self.assertGreaterEqual(len(client.listed_at), 2)

    async def outdated_s(self, client, store_sync):
        """Return for how many of 10 s requests wait for a list."""
        outdated_s = 0.0
        async with anyio.create_task_group() as tg:
            tg.start_soon(store_sync._follow_servers)
            for _ in range(1_000):
                await anyio.sleep(0.01)
                now = anyio.current_time()
                outdated_s += 0.01 * self.servers.is_outdated(2.7, now)
            tg.cancel_scope.cancel()
        return outdated_s

    @virtual_time.run_without_io
    async def test_list_stays_in_use_while_the_store_refuses_calls(self):
        client = FakeStoreClient()
        store_sync = self.make_sync(client, server_drain_s=3.0)
        self.servers.confirm(anyio.current_time())
        client.refuses = True
        self.assertLess(await self.outdated_s(client, store_sync), 0.7)

    @virtual_time.run_without_io
    async def test_list_is_not_used_after_a_short_silence_of_the_store(self):
        # Guards against requests to a server that has left: the link of a new
        # leader was full of the reports of all instances, so that its lists
        # timed out.
        client = FakeStoreClient()
        store_sync = self.make_sync(client, server_drain_s=3.0)
        self.servers.confirm(anyio.current_time())
        client.silent_calls = math.inf
        outdated_s = await self.outdated_s(client, store_sync)
        self.assertGreater(outdated_s, 1.7)
        self.assertLess(outdated_s, 4.0)

    @virtual_time.run_without_io
    async def test_late_answer_with_a_list_is_used(self):
        # Guards against calls that are cancelled and sent again without end
        # while the link is full.
        client = FakeStoreClient()
        client.answer_after_s = 1.0
        store_sync = self.make_sync(client, server_drain_s=3.0)
        async with anyio.create_task_group() as tg:
            tg.start_soon(store_sync._follow_servers)
            await anyio.sleep(4.0)
            tg.cancel_scope.cancel()
        self.assertEqual(2, len(client.listed_at))

    @virtual_time.run_without_io
    async def test_confirmations_of_the_leader_spare_reads_in_any_fleet(self):
        # Guards against a read of the configuration by each instance between
        # any two exchanges, which are further apart in a larger fleet.
        for instances in (12, 133, 195):
            with self.subTest(instances=instances):
                reads = await self.reads_of_a_follower(instances)
                self.assertEqual(reads, 0)

    async def reads_of_a_follower(self, instances):
        """Return how often a follower reads the configuration in 20 s."""
        leader, follower = FakeConfigClient(), FakeConfigClient()
        sync_of_leader = self.make_sync(leader)
        sync_of_leader._is_leader = lambda: True
        sync_of_follower = self.make_sync(follower)
        self.exchange_interval_s = pace.exchange_interval_s(instances)
        views = [
            config.ConfigView(
                lambda value: value, anyio.current_time, lambda: None
            )
            for _ in range(2)
        ]
        for view, store_sync in zip(
            views, (sync_of_leader, sync_of_follower), strict=True
        ):
            view.deployment = types.SimpleNamespace(version=1)
            view.confirm(anyio.current_time())
            store_sync._config = view
        async with anyio.create_task_group() as tg:
            tg.start_soon(sync_of_leader._refresh_old_config)
            tg.start_soon(sync_of_follower._refresh_old_config)
            ends_at = anyio.current_time() + 20.0
            while anyio.current_time() < ends_at:
                sent_at = anyio.current_time()
                await anyio.sleep(EXCHANGE_S)
                views[1].confirm(sent_at - views[0].age_s)
                await anyio.sleep(self.exchange_interval_s - EXCHANGE_S)
            tg.cancel_scope.cancel()
        self.assertGreater(leader.reads, 0)
        return follower.reads

    @virtual_time.run_without_io
    async def test_refused_watch_is_repeated_less_and_less_often(self):
        # Guards against hundreds of refused calls, which cost like others,
        # while the leader confirms the configuration.
        client = FakeStoreClient()
        client.refuses = True
        store_sync = self.make_sync(client)
        async with anyio.create_task_group() as tg:
            tg.start_soon(store_sync._follow_config)
            await anyio.sleep(10.0)
            tg.cancel_scope.cancel()
        self.assertLess(client.watches, 12)

    @virtual_time.run_without_io
    async def test_refused_watch_is_repeated_once_the_store_answers(self):
        # Guards against a withdrawn key that stays valid until the delay ends.
        client = FakeStoreClient()
        client.refuses = True
        store_sync = self.make_sync(client)
        async with anyio.create_task_group() as tg:
            tg.start_soon(store_sync._follow_config)
            await anyio.sleep(10.0)
            client.refuses, refused = False, client.watches
            tg.start_soon(store_sync._follow_servers)
            await anyio.sleep(0.1)
            tg.cancel_scope.cancel()
        self.assertGreater(client.watches, refused)


class ShownConfigClient:
    """Client of a store that shows one version of the configuration.

    Attributes:
        version: The version, None if the store has none.
        watch_s: Seconds until a watch ends without a change.
    """

    def __init__(self, version):
        self.version = version
        self.watch_s = 0.5

    async def get(self, kind, name):
        """Return the configuration, None without one."""
        await anyio.sleep(0.01)
        if self.version is None:
            return None
        value = types.SimpleNamespace(version=self.version, routes=())
        return ports.StoredObject('main', 1, value)

    async def list_all(self, kind):
        """Return the configuration and the revision of the list."""
        found = await self.get(kind, 'main')
        return [] if found is None else [found], 1

    async def watch(self, kind, revision, wait_s):
        """Return no changes."""
        await anyio.sleep(self.watch_s)
        return [], revision


class ConfirmationTest(unittest.TestCase):
    """A configuration is only confirmed by a store that shows it."""

    async def age_s(self, task_name, client):
        """Return the age of version 5 after 4 s with a store."""
        store_sync = SyncTest.make_sync(self, client)
        view = config.ConfigView(
            lambda value: value, anyio.current_time, lambda: None
        )
        view.deployment = types.SimpleNamespace(version=5, routes=())
        view.confirm(anyio.current_time())
        store_sync._config = view
        with anyio.move_on_after(4.0):
            await getattr(store_sync, task_name)()
        self.assertGreaterEqual(view.version, 5)
        return view.age_s

    @virtual_time.run_without_io
    async def test_older_configuration_of_a_restored_store(self):
        # Guards against a withdrawn key that stays valid: an instance that
        # lacks the last version took its own for the newest one, as the store
        # came back with an older one.
        for task_name in ('_follow_config', '_refresh_old_config'):
            for version, is_confirmed in (
                (4, False),
                (None, False),
                (5, True),
                (6, True),
            ):
                with self.subTest(task_name, version=version):
                    client = ShownConfigClient(version)
                    age_s = await self.age_s(task_name, client)
                    self.assertEqual(age_s < 3.0, is_confirmed, age_s)
