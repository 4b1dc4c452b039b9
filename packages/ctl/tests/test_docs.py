import dataclasses
import pathlib
import re
import unittest

from wagtailtide_core.document import check
from wagtailtide_core.document import schema
from wagtailtide_core.errors import kinds
from wagtailtide_ctl import results
from wagtailtide_server import metrics
from wagtailtide_server import settings

ROOT = pathlib.Path(__file__).parents[3]
DOCS = ROOT / 'docs'
SECTIONS = {
    'Document': schema.Document,
    'Model': schema.Model,
    'Adapter': schema.Adapter,
    'Organisation': schema.Organisation,
    'Key': schema.Key,
    'Route': schema.Route,
    'Backend server': schema.BackendServer,
    'Targets': schema.LatencyTarget,
    'Weight store': schema.WeightStore,
    'Limits': schema.Limits,
}


def read(name):
    return (DOCS / name).read_text(encoding='utf-8')


def rows(text):
    """Return the cells of the table rows whose first cell is code."""
    return [
        [cell.strip() for cell in line.strip('|').split('|')]
        for line in text.splitlines()
        if line.startswith('| `')
    ]


def section(text, title):
    return re.split(rf'^### {title}$', text, flags=re.MULTILINE)[1].split(
        '\n#'
    )[0]


class DocsTest(unittest.TestCase):
    """Checks that the documentation matches the code."""

    def test_the_table_of_errors_matches_the_error_kinds(self):
        text = read('callers.md').split('## Errors')[1].split('\n## ')[0]
        found = {row[0].strip('`'): row[1:5] for row in rows(text)}
        expected = {
            kind.value: [
                str(answer.status),
                f'`{answer.fate}`',
                'yes' if answer.may_retry else 'no',
                {
                    kinds.RetryAfterRule.NONE: '',
                    kinds.RetryAfterRule.FIXED: str(answer.retry_after_s),
                    kinds.RetryAfterRule.COMPUTED: 'computed',
                }[answer.retry_after],
            ]
            for kind, answer in kinds.ANSWERS.items()
        }
        self.assertEqual(found, expected)

    def test_every_field_of_the_document_is_described(self):
        text = read('operators.md')
        for title, kind in SECTIONS.items():
            found = {row[0].strip('`') for row in rows(section(text, title))}
            names = {field.name for field in dataclasses.fields(kind)}
            self.assertEqual(found, names, title)
        for field in dataclasses.fields(schema.Stop):
            self.assertIn(f'`{field.name}`', section(text, 'Backend server'))

    def test_every_setting_is_described(self):
        text = section(read('operators.md'), 'Settings')
        names = {f'limits.{name}' for name in settings.Limits.model_fields}
        names |= set(settings.Settings.model_fields) - {'limits'}
        found = {
            name.strip('` ')
            for row in rows(text)
            for name in row[0].split(',')
        }
        self.assertEqual(found, names)

    def test_described_metrics_exist(self):
        exposed = metrics.Metrics(
            type('Counts', (), {'checked': {}, 'violated': {}})()
        ).expose()
        for name in set(re.findall(r'wagtailtide_\w+', read('operators.md'))):
            if name.startswith('wagtailtide_invariants'):
                name = name.removesuffix('_total')
            self.assertIn(f'# HELP {name}', exposed.decode())

    def test_exit_codes_are_described(self):
        text = read('operators.md')
        for code, meaning in results.EXIT_CODE_MEANINGS.items():
            self.assertIn(f'| {code.value} | {meaning} |', text)

    def test_the_first_document_and_settings_can_be_used(self):
        check.load(read('examples/first.jsonc'))
        settings.load(DOCS / 'examples' / 'settings.jsonc')

    def test_links_between_pages_resolve(self):
        for page in (ROOT / 'README.md', *DOCS.glob('*.md')):
            text = page.read_text(encoding='utf-8')
            for target in re.findall(r'\]\(([\w./-]+)\)', text):
                self.assertTrue((page.parent / target).exists(), target)
