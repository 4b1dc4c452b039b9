import contextlib
import io
import json
import pathlib
import socket
import tempfile
import unittest

from wagtailtide_server import main
from wagtailtide_server import settings

GOOD = {
    'name': 'a-1',
    'region': 'punjab',
    'zone': 'gulberg',
    'callers': '127.0.0.1:8080',
    'admin': '127.0.0.1:8081',
    'peers': '127.0.0.1:8082',
    'platform': 'http://127.0.0.1:9000',
}

# Guards against settings that are used although they are wrong, and against
# messages that do not say what to do.
ROWS = {
    'missing_field': (
        {k: v for k, v in GOOD.items() if k != 'zone'},
        ['zone', 'expected a value', 'add the field "zone"'],
    ),
    'unknown_field': (
        {**GOOD, 'platfrom': 'x'},
        ['unknown field "platfrom"', 'did you mean "platform"?'],
    ),
    'unknown_limit': (
        {**GOOD, 'limits': {'max_body': 1}},
        ['unknown field "max_body"', 'did you mean "max_body_bytes"?'],
    ),
    'wrong_type': (
        {**GOOD, 'balancer_lag_s': 'soon'},
        ['balancer_lag_s', "got 'soon'"],
    ),
    'number_as_text': (
        {**GOOD, 'limits': {'max_body_bytes': '5'}},
        ['limits.max_body_bytes', "got '5'"],
    ),
    'impossible_value': (
        {**GOOD, 'limits': {'max_open_requests': 0}},
        ['limits.max_open_requests', 'greater than 0', 'got 0'],
    ),
    'address_without_port': (
        {**GOOD, 'callers': '127.0.0.1'},
        ['callers', 'expected ip:port', "got '127.0.0.1'"],
    ),
    'host_name_as_address': (
        {**GOOD, 'seed_peers': ['localhost:1']},
        ['seed_peers', 'expected ip:port'],
    ),
    'platform_without_scheme': (
        {**GOOD, 'platform': '127.0.0.1:9000'},
        ['platform', 'expected a URL'],
    ),
    'equal_addresses': (
        {**GOOD, 'admin': GOOD['callers']},
        ['expected callers, admin and peers to differ'],
    ),
    'unknown_level': ({**GOOD, 'log_level': 'loud'}, ['expected one of']),
    'not_an_object': ([], ['expected an object, got list']),
}


def run_main(*argv):
    """Return the exit status and what was written to standard error."""
    err = io.StringIO()
    with contextlib.redirect_stderr(err):
        try:
            main.main([*argv])
        except SystemExit as exc:
            return exc.code, err.getvalue()
    return None, err.getvalue()


class SettingsTest(unittest.TestCase):
    def setUp(self):
        held = tempfile.TemporaryDirectory()
        self.addCleanup(held.cleanup)
        self.path = pathlib.Path(held.name) / 'settings.json'

    def check(self, text, parts):
        self.path.write_text(text)
        status, err = run_main('--settings', str(self.path))
        self.assertEqual(status, 2)
        self.assertEqual(len(err.strip().splitlines()), 1, err)
        for part in [*parts, str(self.path)]:
            self.assertIn(part, err)

    def test_each_wrong_value_ends_the_program_with_one_message(self):
        for name, (value, parts) in ROWS.items():
            with self.subTest(name):
                self.check(json.dumps(value), parts)

    def test_a_file_that_is_not_json_ends_the_program(self):
        self.check('{"name": ', ['expected JSON with comments'])

    def test_a_missing_file_ends_the_program(self):
        status, err = run_main('--settings', str(self.path))
        self.assertEqual(status, 2)
        self.assertIn('expected a readable settings file', err)

    def test_an_address_in_use_ends_the_program(self):
        with socket.create_server(('127.0.0.1', 0)) as taken:
            address = f'127.0.0.1:{taken.getsockname()[1]}'
            self.path.write_text(json.dumps({**GOOD, 'admin': address}))
            status, err = run_main('--settings', str(self.path))
        self.assertEqual(status, 2)
        self.assertIn(f'{address}: expected an address', err)

    def test_two_problems_give_two_messages(self):
        value = {**GOOD, 'zone': 7, 'log_level': 'loud'}
        self.path.write_text(json.dumps(value))
        status, err = run_main('--settings', str(self.path))
        self.assertEqual(status, 2)
        self.assertEqual(len(err.strip().splitlines()), 2, err)

    def test_comments_are_allowed(self):
        self.path.write_text('// one instance\n' + json.dumps(GOOD))
        loaded = settings.load(self.path)
        self.assertEqual(loaded.limits, settings.Limits())
