import dataclasses
import random
import unittest

import hypothesis
from hypothesis import strategies
from wagtailtide_core.config import catalog
from wagtailtide_core.document import schema
from wagtailtide_core.keys import keys


def catalog_with(*entries):
    org = schema.Organisation('clerks', 10.0, 100, keys=entries)
    return catalog.build({'a': schema.Document('a', organisations=(org,))}, {})


class AuthenticateTest(unittest.TestCase):
    def setUp(self):
        self.presented, self.entry = keys.make_key('k-1', random.Random(1))

    def test_a_new_key_authenticates_its_organisation(self):
        found = keys.authenticate(catalog_with(self.entry), self.presented)
        self.assertEqual(found.organisation.name, 'clerks')

    def test_a_withdrawn_key_is_refused(self):
        withdrawn = dataclasses.replace(self.entry, withdrawn=True)
        self.assertIsNone(
            keys.authenticate(catalog_with(withdrawn), self.presented)
        )

    def test_the_secret_of_another_key_is_refused(self):
        other, _ = keys.make_key('k-2', random.Random(2))
        swapped = other.replace('k-2', 'k-1')
        self.assertIsNone(keys.authenticate(catalog_with(self.entry), swapped))

    def test_the_document_entry_does_not_contain_the_secret(self):
        secret = self.presented.rsplit('_', 1)[1]
        self.assertNotIn(secret, repr(self.entry))
        self.assertGreaterEqual(len(bytes.fromhex(secret)) * 8, 128)

    @hypothesis.settings(derandomize=True, max_examples=200)
    @hypothesis.given(strategies.text(), strategies.integers(0, 80))
    def test_no_altered_key_is_accepted(self, text, at):
        altered = self.presented[:at] + text + self.presented[at + 1 :]
        hypothesis.assume(altered != self.presented)
        self.assertIsNone(keys.authenticate(catalog_with(self.entry), altered))

    def test_a_key_id_with_an_underscore_is_refused(self):
        # The underscore separates the parts of a key.
        with self.assertRaisesRegex(ValueError, 'expected a key id'):
            keys.make_key('a_b', random.Random(1))
