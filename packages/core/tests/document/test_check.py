import pathlib
import unittest

from wagtailtide_core.document import check
from wagtailtide_core.document import json_schema
from wagtailtide_core.document import parse

from tests.document import bad_documents

EXAMPLES = pathlib.Path(__file__).parents[4] / 'docs' / 'examples'


def read(text, others=()):
    parsed = parse.parse(text)
    if parsed.document is None:
        return parsed.problems, ()
    checked = check.check(parsed.document, parsed.positions, others)
    return checked.errors, checked.warnings


class BadDocumentTest(unittest.TestCase):
    """Each row is refused, or warned of, at its line with useful words."""

    def assert_found(self, problems, row):
        self.assertTrue(problems, 'no problem was found')
        first = problems[0]
        self.assertEqual((first.line, first.path), (row.line, row.path))
        self.assertIn(row.words, str(first))


def _add(row, kind):
    def test(self):
        errors, warnings = read(row.text)
        self.assert_found(errors if kind == 'error' else warnings, row)
        if kind == 'warning':
            self.assertEqual(errors, ())

    setattr(BadDocumentTest, f'test_{kind}_{row.name}', test)


for _row in (
    *bad_documents.SYNTAX,
    *bad_documents.FIELDS,
    *bad_documents.REFERENCES,
    bad_documents.UNKNOWN_ZONE,
):
    _add(_row, 'error')
for _row in bad_documents.WARNINGS:
    _add(_row, 'warning')


class GoodDocumentTest(unittest.TestCase):
    def test_the_document_behind_the_table_has_no_problems(self):
        # Otherwise a row could be refused for another reason than its own.
        self.assertEqual(read(bad_documents.render()), ((), ()))

    def test_worked_documents_have_the_sizes_of_the_workloads(self):
        sizes = {'lahore': (31, 95, 5, 13), 'piedmont': (26, 65, 5, 9)}
        for name, expected in sizes.items():
            text = (EXAMPLES / f'{name}.jsonc').read_text(encoding='utf-8')
            self.assertEqual(read(text), ((), ()))
            doc = check.load(text)
            sections = (
                doc.models, doc.adapters, doc.organisations,
                doc.backend_servers,
            )  # fmt: skip
            self.assertEqual(tuple(map(len, sections)), expected)

    def test_names_of_other_documents_are_known_and_taken(self):
        other = check.load(bad_documents.render())
        text = (
            '{"service": "t", "models": [{"name": "m2", "version": "1",'
            ' "weights_bytes": 1, "kv_reserve_bytes": 1,'
            ' "organisations": ["o"]}]}'
        )
        self.assertEqual(read(text, [other]), ((), ()))
        errors, _ = read(text.replace('m2', 'm'), [other])
        self.assertIn('already in document s', errors[0].got)

    def test_json5_beyond_comments_is_read(self):
        self.assertEqual(check.load("{service: 's',}").service, 's')

    def test_invalid_documents_raise_with_their_problems(self):
        for row in (*bad_documents.FIELDS, *bad_documents.REFERENCES):
            with self.assertRaises(check.InvalidDocument) as caught:
                check.load(row.text)
            self.assertIn(row.words, str(caught.exception))

    def test_the_committed_json_schema_is_up_to_date(self):
        committed = EXAMPLES / 'document.schema.json'
        self.assertEqual(
            committed.read_text(encoding='utf-8'),
            json_schema.render(),
            'run "wagtailtidectl schema > docs/examples/document.schema.json"',
        )
