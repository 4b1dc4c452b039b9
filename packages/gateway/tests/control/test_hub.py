import unittest

import anyio
from wagtailtide_gateway.control import hub
from wagtailtide_gateway.control import messages
from wagtailtide_testing import virtual_time

from tests import builders


class FakeDuty:
    fence = 1


class FakeServers:
    entry_number = 0

    def __init__(self):
        self.states = {}

    def age_s(self, now):
        return 0.0

    def entries_after(self, number):
        return {}


class FakeConfig:
    deployment = None
    version = 0
    age_s = 0.0
    value = None


def make_report(instance='front-1', **changes):
    fields = {
        'instance': instance,
        'urgent': False,
        'config_version': 0,
        'config_age_s': 0.0,
        'seen_news': 0,
        'seen_entries': 0,
        'draws': {},
        'loads': {},
        'demand': (),
        'adapters': (),
        'crashes': (),
        'unreachable': (),
    }
    return messages.Report(**fields | changes)


def make_hub(config=None):
    return hub.Hub(config or FakeConfig(), FakeServers(), FakeDuty())


class HubTest(unittest.TestCase):
    @virtual_time.run_without_io
    async def test_instance_hears_the_load_of_the_others_only(self):
        found = make_hub()
        found.answer(make_report('front-1', loads={'s1': 3}))
        news = found.answer(make_report('front-2', loads={'s1': 5}))
        self.assertEqual((news.loads, news.instances), ({'s1': 3}, 2))

    @virtual_time.run_without_io
    async def test_silent_instance_is_forgotten_with_its_load(self):
        # Guards against the load of a killed instance that stays for ever.
        found = make_hub()
        found.answer(make_report('front-1', loads={'s1': 3}))
        await anyio.sleep(hub.INSTANCE_GONE_S + 0.1)
        news = found.answer(make_report('front-2'))
        self.assertEqual((news.loads, news.instances), ({}, 1))

    @virtual_time.run_without_io
    async def test_news_are_sent_once_to_each_instance(self):
        found = make_hub()
        first = found.answer(make_report())
        found.publish('s1', builders.make_residency(['m1']))
        second = found.answer(make_report(seen_news=first.news_number))
        third = found.answer(make_report(seen_news=second.news_number))
        self.assertEqual(list(second.residencies), ['s1'])
        self.assertEqual(third.residencies, {})

    @virtual_time.run_without_io
    async def test_server_that_only_one_instance_cannot_reach_is_not_down(
        self,
    ):
        # Guards against loads everywhere because one instance is cut off.
        found = make_hub()
        found.answer(make_report('front-1', unreachable=('s1',)))
        found.answer(make_report('front-2', loads={'s1': 4}))
        self.assertFalse(found.is_down('s1'))
        found.answer(make_report('front-3', unreachable=('s1',)))
        self.assertTrue(found.is_down('s1'))

    @virtual_time.run_without_io
    async def test_demand_counts_what_was_refused_at_once(self):
        # Guards against a model that is never loaded because its requests
        # do not wait.
        found = make_hub()
        row = messages.ModelDemand('engines', 'm1', 6, 0, 0, 0.4)
        for _ in range(20):
            found.answer(make_report(demand=(row,)))
            await anyio.sleep(0.25)
            found.advance_rates(0.25)
        now = anyio.current_time()
        use = found.demand_of('engines', now)['m1']
        self.assertAlmostEqual(use.rate_per_s, 24.0, delta=3.0)

    @virtual_time.run_without_io
    async def test_new_duty_forgets_what_the_one_before_gave(self):
        found = make_hub()
        found.answer(make_report(loads={'s1': 3}))
        found._duty.fence = 2
        news = found.answer(make_report('front-2'))
        self.assertEqual(news.loads, {})

    @virtual_time.run_without_io
    async def test_urgent_report_does_not_erase_the_load(self):
        # Guards against loads that vanish whenever an instance draws.
        found = make_hub()
        found.answer(make_report('front-1', loads={'s1': 3}))
        found.answer(make_report('front-1', urgent=True))
        self.assertEqual(found.load_of('s1'), 3)
