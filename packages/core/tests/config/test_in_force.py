import unittest

import hypothesis
from hypothesis import strategies
from wagtailtide_core.config import in_force
from wagtailtide_core.document import schema
from wagtailtide_core.invariants import checks

OFFERS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(['tiles', 'motors']),
        strategies.integers(1, 30),
        strategies.sampled_from(['valid', 'deleted', 'invalid']),
    ),
    max_size=30,
)


def document(service, version):
    """Return a document with an organisation named after its version."""
    org = schema.Organisation(f'v{version}', 1.0, 1)
    return schema.Document(service, organisations=(org,))


class InForceTest(unittest.TestCase):
    """Guards against putting an older document in force again."""

    @hypothesis.given(OFFERS)
    @hypothesis.settings(derandomize=True)
    def test_any_order_of_arrival_ends_with_the_newest_valid_version(
        self, offers
    ):
        # A version of a service always has the same content.
        kinds = {}
        for service, version, kind in offers:
            kinds.setdefault((service, version), kind)
        state = in_force.ConfigState(checks.Invariants())
        for service, version, _ in offers:
            before = state.version_of(service)
            kind = kinds[service, version]
            if kind == 'invalid':
                state.report_invalid(service, version, ['line 1'])
            else:
                valid = kind == 'valid'
                doc = document(service, version) if valid else None
                state.offer(service, version, doc)
            self.assertGreaterEqual(state.version_of(service), before)
        for service in ('tiles', 'motors'):
            usable = [
                v
                for (name, v), kind in kinds.items()
                if name == service and kind != 'invalid'
            ]
            newest = max(usable, default=0)
            self.assertEqual(state.version_of(service), newest)
            deleted = kinds.get((service, newest)) != 'valid'
            self.assertEqual(state.document_of(service) is None, deleted)
            if not deleted:
                self.assertIn(f'v{newest}', state.catalog.organisations)

    def test_applying_an_older_version_violates_the_invariant(self):
        invariants = checks.Invariants()
        state = in_force.ConfigState(invariants)
        state.offer('tiles', 7, document('tiles', 7))
        with self.assertRaises(checks.InvariantError):
            state._apply('tiles', 6, document('tiles', 6))
        self.assertEqual(invariants.violated['config_never_reverts'], 1)
        self.assertIn('v7', state.catalog.organisations)
