import dataclasses
import unittest

import hypothesis
from hypothesis import strategies
from wagtailtide_core.keys import trust

LIMITS = trust.TrustLimits()
NOW = 10_000.0
OUTAGE = trust.Evidence(
    confirmed_at=NOW - 3600,
    store_answered_at=NOW - 3600,
    peer_message_at=NOW - 1,
    newer_exists=False,
    no_contact_reports={'gulberg': NOW - 1, 'anarkali': NOW - 2},
)


def is_trusted(**changes):
    evidence = dataclasses.replace(OUTAGE, **changes)
    return trust.may_trust_keys(evidence, NOW, LIMITS).trusted


class TrustTest(unittest.TestCase):
    """Guards against accepting a key that was withdrawn unnoticed."""

    def test_keys_stay_trusted_while_no_zone_reaches_the_store(self):
        self.assertTrue(is_trusted())

    def test_each_rule_ends_at_its_limit(self):
        silent = {'gulberg': NOW - 1, 'anarkali': None}
        late = {'gulberg': NOW - 1, 'anarkali': NOW - 5.1}
        for trusted, changes in (
            (True, {'newer_exists': True, 'confirmed_at': NOW - 5}),
            (False, {'newer_exists': True, 'confirmed_at': NOW - 5.1}),
            (True, {'peer_message_at': None, 'confirmed_at': NOW - 10}),
            (False, {'peer_message_at': NOW - 6, 'confirmed_at': NOW - 10.1}),
            (True, {'no_contact_reports': silent, 'confirmed_at': NOW - 300}),
            (False, {'no_contact_reports': silent, 'confirmed_at': NOW - 301}),
            (False, {'no_contact_reports': late, 'confirmed_at': NOW - 301}),
            (False, {'store_answered_at': NOW - 1}),
            (False, {'no_contact_reports': {}}),
            (False, {'confirmed_at': None}),
        ):
            with self.subTest(**changes):
                self.assertEqual(is_trusted(**changes), trusted)

    @hypothesis.given(
        strategies.floats(0, 1000),
        strategies.floats(0, 20),
        strategies.floats(0, 20),
        strategies.lists(
            strategies.one_of(strategies.none(), strategies.floats(0, 20)),
            max_size=4,
        ),
        strategies.booleans(),
    )
    @hypothesis.settings(derandomize=True)
    def test_trust_past_the_partial_limit_needs_every_zones_report(
        self, age, peer_age, answer_age, reports, newer
    ):
        by_zone = {
            f'zone{i}': None if report is None else NOW - report
            for i, report in enumerate(reports)
        }
        trusted = is_trusted(
            confirmed_at=NOW - age,
            peer_message_at=NOW - peer_age,
            store_answered_at=NOW - answer_age,
            newer_exists=newer,
            no_contact_reports=by_zone,
        )
        if trusted and age > LIMITS.partial_s:
            self.assertFalse(newer)
            self.assertTrue(reports)
            self.assertNotIn(None, reports)
            self.assertLessEqual(max(reports), LIMITS.report_s)
            self.assertLessEqual(peer_age, LIMITS.peer_silence_s)
            self.assertGreater(answer_age, LIMITS.no_contact_s)
