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
    """Guards against problems without the right line, path and advice."""

    def assert_found(self, problems, row):
        self.assertTrue(problems, 'no problem was found')
        first = problems[0]
        self.assertEqual((first.line, first.path), (row.line, row.path))
        self.assertIn(row.expected_text, str(first))


def _add_test(row, kind):
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
    _add_test(_row, 'error')
for _row in bad_documents.WARNINGS:
    _add_test(_row, 'warning')


class ValidDocumentTest(unittest.TestCase):
    def test_the_valid_document_of_the_table_has_no_problems(self):
        # Otherwise a row could have a problem that is not its own.
        self.assertEqual(read(bad_documents.render()), ((), ()))

    def test_example_documents_have_the_sizes_of_the_workloads(self):
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

    def test_names_of_other_documents_can_be_used_but_not_declared_again(self):
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
            self.assertIn(row.expected_text, str(caught.exception))

    def test_the_committed_json_schema_is_up_to_date(self):
        committed = EXAMPLES / 'document.schema.json'
        self.assertEqual(
            committed.read_text(encoding='utf-8'),
            json_schema.render(),
            'run "wagtailtidectl schema > docs/examples/document.schema.json"',
        )
