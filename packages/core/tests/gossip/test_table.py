import dataclasses
import random
import unittest

import hypothesis
from hypothesis import strategies
from wagtailtide_core.gossip import records
from wagtailtide_core.gossip import resync
from wagtailtide_core.gossip import table

REGION = 'lahore'


class Fleet:
    """Tables that exchange records over links on which frames may be lost."""

    def __init__(self, size, seed):
        self.rng = random.Random(seed)
        self.now = 0.0
        self.tables = [table.Table(REGION, 0.0) for _ in range(size)]
        self.links = set()
        self.loss = 0.0

    def connect(self, a, b):
        self.links.add((min(a, b), max(a, b)))
        for mine, other in ((a, b), (b, a)):
            self.tables[mine].attach(other, REGION, self.now)
        for mine, other in ((a, b), (b, a)):
            theirs = resync.digest(self.tables[other], self.now)
            own = resync.digest(self.tables[mine], self.now)
            wanted = resync.differing_buckets(own, theirs)
            sent = resync.records_in_buckets(
                self.tables[other], wanted, self.now
            )
            self.tables[mine].merge(sent, other, self.now)

    def cut(self, a, b):
        self.links.discard((min(a, b), max(a, b)))
        self.tables[a].detach(b)
        self.tables[b].detach(a)

    def step(self, seconds=0.2):
        self.now += seconds
        for a, b in sorted(self.links):
            for mine, other in ((a, b), (b, a)):
                sent = self.tables[mine].take(other, self.now)
                if self.rng.random() >= self.loss:
                    self.tables[other].merge(sent, mine, self.now)

    def act(self, seq, action, a, b, newest):
        if action == 'put':
            self.tables[a].put('config', f's{b}', (seq, 0), [], self.now)
            newest[f's{b}'] = (seq, 0)
        elif action == 'crash':
            self.tables[a].put('crash', 'f', (0, 0), (f'{a}{b}',), self.now)
        elif action == 'cut' and a != b:
            self.cut(a, b)
        elif action == 'join' and a != b:
            self.connect(a, b)
        else:
            self.step()

    def contents(self):
        return [
            sorted(
                (r.key, r.stamp, r.value)
                for kind in records.KINDS
                for r in held.of_kind(kind, self.now)
            )
            for held in self.tables
        ]


ACTIONS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(['put', 'crash', 'cut', 'join', 'step']),
        strategies.integers(0, 5),
        strategies.integers(0, 5),
    ),
    max_size=40,
)


class ConvergenceTest(unittest.TestCase):
    """Guards against records that stay lost or revert to older values."""

    @hypothesis.given(ACTIONS)
    @hypothesis.settings(derandomize=True, deadline=None)
    def test_all_agree_after_lost_frames_and_partitions(self, actions):
        fleet = Fleet(6, seed=1)
        for i in range(6):
            fleet.connect(i, (i + 1) % 6)
        fleet.loss = 0.5
        newest = {}
        for seq, action in enumerate(actions, start=1):
            fleet.act(seq, *action, newest)
        # A frame is lost only with its connection; a new one resynchronises.
        fleet.loss = 0.0
        for _ in range(6):
            for i in range(6):
                fleet.connect(i, (i + 1) % 6)
        contents = fleet.contents()
        self.assertTrue(all(held == contents[0] for held in contents))
        for name, stamp in newest.items():
            found = fleet.tables[0].get('config', name, fleet.now)
            self.assertEqual(found.stamp, stamp)
        parts = {f'{a}{b}' for action, a, b in actions if action == 'crash'}
        if parts:
            found = fleet.tables[5].get('crash', 'f', fleet.now)
            self.assertEqual(set(found.value), parts)

    @hypothesis.given(
        strategies.lists(strategies.integers(1, 9), min_size=1, max_size=6),
        strategies.integers(0, 5),
    )
    @hypothesis.settings(derandomize=True)
    def test_a_paused_or_restarted_member_restores_no_older_record(
        self, stamps, pause_at
    ):
        # A paused member holds the records from before its pause, and sends
        # all of them when it resumes; a restarted one holds none.
        fleet = Fleet(3, seed=2)
        fleet.connect(0, 1)
        fleet.connect(1, 2)
        for i, stamp in enumerate(stamps):
            if i == pause_at:
                fleet.cut(1, 2)
            fleet.tables[0].put('server', 'x', (1, stamp), [], fleet.now)
            fleet.step()
        outdated = fleet.tables[2].of_kind('server', fleet.now)
        fleet.tables[1].merge(outdated, 2, fleet.now)
        fleet.cut(1, 2)
        fleet.connect(1, 2)
        fleet.step()
        for held in fleet.tables:
            found = held.get('server', 'x', fleet.now)
            self.assertEqual(found.stamp, (1, max(stamps)))

    def test_an_expired_record_is_not_restored(self):
        fleet = Fleet(2, seed=3)
        fleet.tables[1].put('zone_contact', 'gulberg', (1, 1), [], 0.0)
        [old] = fleet.tables[1].of_kind('zone_contact', 10.0)
        self.assertEqual(fleet.tables[0].merge([old], 1, 10.0), [])


class SendingTest(unittest.TestCase):
    """Guards against gossip that exceeds its byte budget."""

    def setUp(self):
        self.table = table.Table(REGION, 0.0)
        self.table.attach('peer', REGION, 0.0)

    def test_urgent_records_are_sent_first_and_within_the_byte_budget(self):
        for i in range(2000):
            self.table.put('load', f'server{i}', (1, i), [i] * 10, 0.0)
        self.table.put('config', 'tiles', (7, 0), [], 0.0)
        sent, now = 0, 0.0
        first = self.table.take('peer', now)
        self.assertEqual(first[0].kind, 'config')
        sent += sum(r.encoded_bytes() for r in first)
        while now < 5.0:
            now += 0.2
            taken = self.table.take('peer', now)
            sent += sum(r.encoded_bytes() for r in taken)
        bound = table.LINK_BYTES_PER_S * (5.0 + table.BURST_S) + 200
        self.assertLessEqual(sent, bound)
        self.assertGreater(sent, bound / 2)

    def test_a_newer_record_replaces_a_queued_one(self):
        for seq in range(100):
            self.table.put('load', 'server', (1, seq), [seq], 0.0)
        [sent] = self.table.take('peer', 1.0)
        self.assertEqual(sent.stamp, (1, 99))

    def test_loads_stay_within_the_region(self):
        self.table.attach('far', 'elsewhere', 0.0)
        self.table.put('load', 'server', (1, 1), [], 0.0)
        self.table.put('server', 'server', (1, 1), [], 0.0)
        kinds = [record.kind for record in self.table.take('far', 1.0)]
        self.assertEqual(kinds, ['server'])

    def test_age_grows_with_the_time_a_record_is_held(self):
        received = records.Record('server', 'x', (1, 1), [], age_s=2.0)
        self.table.merge([received], None, 10.0)
        [sent] = self.table.take('peer', 13.0)
        self.assertAlmostEqual(sent.age_s, 5.0)
        wire = records.from_wire(sent.to_wire())
        self.assertEqual(dataclasses.replace(wire), sent)
