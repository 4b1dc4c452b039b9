import random
import unittest

import hypothesis
from hypothesis import strategies
from wagtailtide_core.gossip import records
from wagtailtide_core.gossip import table as tables
from wagtailtide_core.quarantine import crashes

SERVERS = ('s1', 's2', 's3', 's4')
CRASHER = 'crasher'


def parse(texts):
    return frozenset(crashes.CrashId(*text.split()) for text in texts)


class Fleet:
    """Servers that one request crashes, and the CrashTracker."""

    def __init__(self, rng):
        self.rng = rng
        self.tracker = crashes.CrashTracker()
        self.running = {name: set() for name in SERVERS}
        self.boots = dict.fromkeys(SERVERS, 0)
        self.crashed = 0
        self.now = 0.0

    def place(self, fingerprint):
        verdict = self.tracker.verdict(fingerprint, self.now)
        if verdict is crashes.Verdict.REFUSED:
            return None
        allowed = set(SERVERS)
        if verdict is crashes.Verdict.ISOLATED:
            allowed -= self.tracker.servers_with_other_suspects(
                fingerprint, self.now
            )
        if not allowed:
            return None
        server = self.rng.choice(sorted(allowed))
        self.running[server].add(fingerprint)
        self.tracker.record_started(fingerprint, server)
        return server

    def crash(self, server, *, late_notice):
        """Crash a server and break the connections of its requests.

        Args:
            server: Name of the server.
            late_notice: Whether the crash is recorded after the broken
                connections instead of before them.
        """
        self.crashed += 1
        boot_id = str(self.boots[server])
        self.boots[server] += 1
        lost, self.running[server] = self.running[server], set()
        if late_notice:
            for fingerprint in lost:
                self.tracker.record_ended(fingerprint, server, self.now)
        self.tracker.record_crash(server, boot_id, self.now)
        # A refused connection and a new boot id both report this crash.
        self.tracker.record_crash(server, boot_id, self.now)
        if not late_notice:
            for fingerprint in lost:
                self.tracker.record_ended(fingerprint, server, self.now)
        return lost

    def finish(self, server, fingerprint):
        self.running[server].discard(fingerprint)
        self.tracker.record_ended(fingerprint, server)
        self.tracker.record_completed(fingerprint)


class CrashTrackerTest(unittest.TestCase):
    @hypothesis.given(strategies.integers(0, 10_000), strategies.booleans())
    def test_a_crashing_request_is_refused_and_others_are_not(
        self, seed, late_notice
    ):
        # Guards against a caller that repeats a crashing request until all
        # servers have crashed, and against refusing requests that ran on the
        # same server.
        rng = random.Random(seed)
        fleet = Fleet(rng)
        waiting = [f'r{n}' for n in range(12)]
        for _ in range(200):
            fleet.now += 0.1
            if waiting and rng.random() < 0.6:
                fingerprint = waiting.pop(rng.randrange(len(waiting)))
                if fleet.place(fingerprint) is None:
                    waiting.append(fingerprint)
            server = fleet.place(CRASHER) if rng.random() < 0.3 else None
            if server is not None:
                lost = fleet.crash(server, late_notice=late_notice)
                waiting += sorted(lost - {CRASHER})
            elif rng.random() < 0.4:
                server = rng.choice(SERVERS)
                for fingerprint in sorted(fleet.running[server])[:1]:
                    fleet.finish(server, fingerprint)
        self.assertLessEqual(fleet.crashed, 3)
        for number in range(12):
            verdict = fleet.tracker.verdict(f'r{number}', fleet.now)
            self.assertIsNot(verdict, crashes.Verdict.REFUSED)

    @hypothesis.given(strategies.integers(1, 6))
    def test_planned_stops_never_count(self, stops):
        tracker = crashes.CrashTracker()
        for number in range(stops):
            tracker.record_started('r', 's')
            tracker.record_stopping('s', True)
            tracker.record_ended('r', 's', float(number))
            tracker.record_crash('s', str(number), float(number))
            tracker.record_stopping('s', False)
        self.assertIs(tracker.verdict('r', 9.0), crashes.Verdict.FREE)

    @hypothesis.given(
        strategies.lists(
            strategies.sets(strategies.integers(0, 5), min_size=1),
            min_size=1,
            max_size=6,
        ),
        strategies.randoms(use_true_random=False),
    )
    def test_merging_in_any_order_counts_each_crash_once(self, sets, rng):
        # Guards against refusing a request for one crash that several
        # instances reported.
        table = tables.Table('region', 0.0)
        texts = [[f's {n}' for n in sorted(part)] for part in sets]
        for part in rng.sample(texts * 2, len(texts) * 2):
            table.put(records.Kind.CRASH, 'r', (0, 0), part, 1.0)
        (record,) = table.of_kind(records.Kind.CRASH, 1.0)
        tracker = crashes.CrashTracker()
        tracker.replace_crashes('r', parse(record.value), 1.0)
        expected = parse({text for part in texts for text in part})
        self.assertEqual(tracker.crashes_of('r', 1.0), expected)

    def test_records_expire_an_hour_after_the_last_crash(self):
        tracker = crashes.CrashTracker()
        tracker.replace_crashes('r', parse(f's {n}' for n in range(3)), 0.0)
        self.assertIs(tracker.verdict('r', 3_600.0), crashes.Verdict.REFUSED)
        self.assertIs(tracker.verdict('r', 3_601.0), crashes.Verdict.FREE)
