import contextlib
import io
import json
import pathlib

import anyio
import cappa
from wagtailtide_core.document import json_schema
from wagtailtide_ctl import main
from wagtailtide_ctl import results

from tests import harness

ROOT = pathlib.Path(__file__).parents[3]
COMMANDS = ('check', 'diff', 'apply', 'status', 'dump', 'explain', 'schema')
KEY_COMMANDS = ('key new', 'key withdraw')


def call(*argv):
    """Return the exit code and output of the program."""
    out = io.StringIO()
    with (
        contextlib.redirect_stdout(out),
        contextlib.redirect_stderr(out),
    ):
        try:
            main.main([str(arg) for arg in argv])
        except (SystemExit, cappa.Exit) as exc:
            return exc.code, out.getvalue()


class MainTest(harness.CommandTestCase):
    def test_each_help_has_an_example_and_the_exit_codes(self):
        for name in (*COMMANDS, *KEY_COMMANDS):
            code, text = call(*name.split(), '--help')
            self.assertEqual(code, 0)
            self.assertIn(f'wagtailtidectl {name}', ' '.join(text.split()))
            self.assertIn('Exit codes', text)

    def test_wrong_usage_exits_with_2(self):
        for argv in ([], ['check'], ['chekc'], ['check', 'no-such-file']):
            self.assertEqual(call(*argv)[0], 2, argv)

    def test_json_output_can_be_read(self):
        path = self.file(harness.render_document(rate=0))
        code, text = call('check', path, '--json')
        self.assertEqual(code, results.ExitCode.PROBLEMS)
        problem = json.loads(text)['files'][0]['errors'][0]
        self.assertEqual(problem['line'], 8)

    def test_example_documents_have_no_errors(self):
        for name in ('lahore', 'piedmont'):
            path = ROOT / 'docs' / 'examples' / f'{name}.jsonc'
            self.assertEqual(call('check', path)[0], 0)

    def test_the_schema_is_printed_as_committed(self):
        result = anyio.run(harness.run, 'schema', backend='trio')
        self.assertEqual(result.value, json_schema.render())
