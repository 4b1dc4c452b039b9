import json

import anyio
from wagtailtide_core.config import catalog
from wagtailtide_core.document import check
from wagtailtide_core.keys import keys
from wagtailtide_ctl import results

from tests import harness

Code = results.ExitCode


def run(*argv):
    return anyio.run(harness.run, *argv, backend='trio')


def authenticates(path, key_text):
    doc = check.load(path.read_text(encoding='utf-8'))
    found = catalog.build({doc.service: doc}, {})
    return keys.authenticate(found, key_text) is not None


class KeyTest(harness.CommandTestCase):
    def test_a_new_key_works_until_it_is_withdrawn(self):
        made = run('key', 'new', '--organisation', 'o', '--id', 'k-2').value
        entry = json.dumps(made['entry'])
        text = harness.render_document()
        path = self.file(text.replace('"keys": [', f'"keys": [{entry},'))
        self.assertTrue(authenticates(path, made['key']))
        before = path.read_text(encoding='utf-8')
        shown = run('key', 'withdraw', path, 'k-2')
        self.assertEqual(path.read_text(encoding='utf-8'), before)
        self.assertIn('line 8', shown.lines[0])
        edited = run('key', 'withdraw', path, 'k-2', '--edit')
        self.assertEqual(edited.exit_code, Code.OK)
        self.assertFalse(authenticates(path, made['key']))
        self.assertIn('// a comment', path.read_text(encoding='utf-8'))

    def test_a_key_with_withdrawn_false_is_edited_in_place(self):
        # Adding the field a second time would make the document invalid.
        text = harness.render_document()
        key = '"id": "k-1"'
        path = self.file(text.replace(key, f'{key}, "withdrawn": false'))
        run('key', 'withdraw', path, 'k-1', '--edit')
        doc = check.load(path.read_text(encoding='utf-8'))
        self.assertTrue(doc.organisations[0].keys[0].withdrawn)

    def test_a_form_that_cannot_be_edited_leaves_the_file_unchanged(self):
        text = harness.render_document()
        text = text.replace('"k-1"', '"k\\u002d1"')
        path = self.file(text)
        result = run('key', 'withdraw', path, 'k-1', '--edit')
        self.assertEqual(result.exit_code, Code.PROBLEMS)
        self.assertEqual(path.read_text(encoding='utf-8'), text)

    def test_an_unknown_key_is_a_problem(self):
        path = self.file(harness.render_document())
        result = run('key', 'withdraw', path, 'k-9', '--edit')
        self.assertEqual(result.exit_code, Code.PROBLEMS)
