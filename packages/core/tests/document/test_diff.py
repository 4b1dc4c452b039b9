import dataclasses
import unittest

from wagtailtide_core.document import diff
from wagtailtide_core.document import schema

ONE = schema.Model('one', '1', 10, 10)
TWO = schema.Model('two', '1', 10, 10)


def lines(before, after):
    return [str(change) for change in diff.diff(before, after)]


class DiffTest(unittest.TestCase):
    def test_items_are_matched_by_name_and_not_by_position(self):
        before = schema.Document('s', models=(ONE, TWO))
        moved = schema.Document('s', models=(TWO, ONE))
        self.assertEqual(lines(before, moved), [])

    def test_every_changed_field_is_named(self):
        before = schema.Document(
            's',
            models=(ONE, TWO),
            adapters=(schema.Adapter('a', 'one', 1),),
        )
        more = dataclasses.replace(TWO, min_replicas=3)
        after = schema.Document(
            's',
            models=(more,),
            adapters=(schema.Adapter('a', 'two', 1),),
            limits=schema.Limits(rate_horizon_s=60.0),
        )
        self.assertEqual(
            lines(before, after),
            [
                '- models[one]',
                '~ models[two].min_replicas: 1 -> 3',
                '- adapters[one:a]',
                '+ adapters[two:a]',
                '~ limits.rate_horizon_s: 14400.0 -> 60.0',
            ],
        )

    def test_a_new_document_is_one_addition(self):
        self.assertEqual(lines(None, schema.Document('s')), ['+ document s'])
