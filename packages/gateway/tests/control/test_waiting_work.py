import unittest

import cbor2
from wagtailtide_gateway.control import cluster_state
from wagtailtide_gateway.control import sections
from wagtailtide_gateway.control import waiting_work
from wagtailtide_gateway.decisions import scheduling

KEY = ('engines', 'm1', 0)


def make_work(waiting=0, priority=0, **changes):
    key = ('engines', 'm1', priority)
    fields = {
        'waiting': {key: waiting},
        'arrivals_per_s': {key: 2.5},
        'usage_s': {'club': 1.5},
        'org_waiting': {('club', priority): waiting},
    }
    return waiting_work.Work(**fields | changes)


class Exchange:
    """A leader and the views of its instances."""

    def __init__(self, names):
        self.leader = waiting_work.LeaderWork()
        self.views = {name: waiting_work.FleetView() for name in names}

    def report(self, name, work, now):
        self.leader.receive(name, waiting_work.encode_work(work), now)

    def update(self, name, now):
        value = cbor2.loads(cbor2.dumps(self.leader.make_update(name, now)))
        self.views[name].apply(value, now)
        return self.views[name]


class FleetViewTest(unittest.TestCase):
    def setUp(self):
        self.names = [f'front-{n}' for n in range(4)]
        self.exchange = Exchange(self.names)
        for number, name in enumerate(self.names):
            self.exchange.report(name, make_work(10 * number), 0.0)

    def test_view_has_what_waits_at_the_other_instances(self):
        # Guards against counting an instance's own requests twice.
        for number, name in enumerate(self.names):
            view = self.exchange.update(name, 0.2)
            self.assertEqual(view.waiting(KEY, 4, 0.2), 60 - 10 * number)
            self.assertAlmostEqual(view.arrivals_per_s(KEY, 0.2), 7.5)

    def test_late_report_counts_until_it_expires(self):
        self.exchange.report('front-0', make_work(0), 2.0)
        view = self.exchange.update('front-0', 2.0)
        self.assertEqual(view.waiting(KEY, 4, 2.0), 60)
        later = waiting_work.WORK_TTL_S + 0.1
        self.exchange.report('front-0', make_work(0), later)
        view = self.exchange.update('front-0', later)
        self.assertIsNone(view.waiting(KEY, 4, later))

    def test_expiry_is_that_of_the_instances(self):
        self.assertEqual(
            waiting_work.WORK_TTL_S, cluster_state.INSTANCE_TIMEOUT_S
        )

    def test_lost_report_leaves_no_trace(self):
        # Guards against sums that drift when an exchange fails: what a report
        # said is replaced by the next one that arrives.
        self.exchange.report('front-3', make_work(4), 1.0)
        view = self.exchange.update('front-0', 1.0)
        self.assertEqual(view.waiting(KEY, 4, 1.0), 34)

    def test_view_expires_without_updates(self):
        view = self.exchange.update('front-0', 0.2)
        view.apply(None, 1.0)
        self.assertIsNotNone(view.waiting(KEY, 4, 1.0))
        self.assertIsNone(view.waiting(KEY, 4, 3.0))

    def test_new_term_starts_without_reports(self):
        self.exchange.leader.start_term()
        self.exchange.report('front-0', make_work(5), 0.1)
        view = self.exchange.update('front-0', 0.2)
        self.assertIsNone(view.waiting(KEY, 4, 0.2))

    def test_older_build_is_taken_to_have_the_mean(self):
        # Guards against taking an older build's silence for a zero.
        view = self.exchange.update('front-0', 0.2)
        self.assertEqual(view.waiting(KEY, 7, 0.2), 120)

    def test_malformed_values_are_refused(self):
        rows = (
            7,
            [],
            [{}, 3],
            [{'engines': {'m1': [0, 1]}}, {}],
            [{'engines': {'m1': [0, -1, 0]}}, {}],
            [{}, {'club': []}],
            [{}, {7: [1]}],
        )
        section = sections.Section(
            sections.Number.WAITING_WORK,
            receive=self.exchange.leader.receive,
        )
        for value in rows:
            with self.subTest(value=value):
                found = sections.Sections()
                found.add(section)
                with self.assertLogs(sections.LOG, 'WARNING'):
                    found.receive('front-0', {2: value}, 0.0)
        self.assertEqual(
            self.exchange.update('front-1', 0.2).waiting(KEY, 4, 0.2), 50
        )


class UsageTest(unittest.TestCase):
    def test_usage_is_known_whatever_the_order_of_reports(self):
        exchange = Exchange(['front-0', 'front-1'])
        exchange.report('front-1', make_work(usage_s={'club': 8.0}), 0.0)
        exchange.report('front-0', make_work(), 1.0)
        view = exchange.update('front-0', 1.0)
        left = scheduling.decay(2.0, scheduling.USAGE_PERIOD_S)
        self.assertAlmostEqual(view.usage_s('club', 2.0), 8.0 * left, 2)


class SizeTest(unittest.TestCase):
    """The leader answers 120 exchanges a second over 5 Mbit/s."""

    def make_exchange(self, waiting_models):
        names = [f'front-{n}' for n in range(124)]
        exchange = Exchange(names)
        for number, name in enumerate(names):
            keys = [
                ('engines', f'model-{(number + step) % 155:03}', priority)
                for step in range(waiting_models)
                for priority in range(3)
            ]
            work = waiting_work.Work(
                waiting=dict.fromkeys(keys, 3),
                arrivals_per_s=dict.fromkeys(keys, 2.5),
                usage_s={f'organisation-{n:02}': 3.0 for n in range(16)},
                org_waiting={
                    (f'organisation-{n:02}', priority): 30
                    for n in range(16)
                    for priority in range(3)
                },
            )
            exchange.report(name, work, 0.0)
        return exchange

    def test_updates_take_less_than_half_of_the_smallest_link(self):
        # 124 instances, 155 models, 16 organisations; requests of three
        # classes wait for each model.
        exchange = self.make_exchange(8)
        sizes = [
            len(cbor2.dumps(exchange.leader.make_update(name, 0.2)))
            for name in exchange.views
        ]
        link_bytes_per_s = 5e6 / 8
        self.assertLess(max(sizes) * 120, link_bytes_per_s / 2)

    def test_models_beyond_the_largest_update_are_unknown_not_idle(self):
        exchange = self.make_exchange(8)
        view = exchange.update('front-0', 0.2)
        counts = [
            view.waiting(('engines', f'model-{n:03}', 0), 124, 0.2)
            for n in range(155)
        ]
        self.assertGreater(counts.count(None), 0)
        self.assertNotIn(0, counts)
