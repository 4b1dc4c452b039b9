import contextlib
import io
import json
import pathlib
import socket
import tempfile
import unittest

from wagtailtide_server import main
from wagtailtide_server import settings

VALID_SETTINGS = {
    'name': 'a-1',
    'region': 'punjab',
    'zone': 'gulberg',
    'callers': '127.0.0.1:8080',
    'admin': '127.0.0.1:8081',
    'peers': '127.0.0.1:8082',
    'platform': 'http://127.0.0.1:9000',
}

# Guards against accepting invalid settings, and against error messages that
# do not say what to do. Each row has settings and parts of the message.
REJECTED_SETTINGS = {
    'missing_field': (
        {k: v for k, v in VALID_SETTINGS.items() if k != 'zone'},
        ['zone', 'expected a value', 'add the field "zone"'],
    ),
    'unknown_field': (
        {**VALID_SETTINGS, 'platfrom': 'x'},
        ['unknown field "platfrom"', 'did you mean "platform"?'],
    ),
    'unknown_limit': (
        {**VALID_SETTINGS, 'limits': {'max_body': 1}},
        ['unknown field "max_body"', 'did you mean "max_body_bytes"?'],
    ),
    'wrong_type': (
        {**VALID_SETTINGS, 'balancer_lag_s': 'soon'},
        ['balancer_lag_s', "got 'soon'"],
    ),
    'number_as_text': (
        {**VALID_SETTINGS, 'limits': {'max_body_bytes': '5'}},
        ['limits.max_body_bytes', "got '5'"],
    ),
    'impossible_value': (
        {**VALID_SETTINGS, 'limits': {'max_open_requests': 0}},
        ['limits.max_open_requests', 'greater than 0', 'got 0'],
    ),
    'address_without_port': (
        {**VALID_SETTINGS, 'callers': '127.0.0.1'},
        ['callers', 'expected ip:port', "got '127.0.0.1'"],
    ),
    'host_name_as_address': (
        {**VALID_SETTINGS, 'seed_peers': ['localhost:1']},
        ['seed_peers', 'expected ip:port'],
    ),
    'platform_without_scheme': (
        {**VALID_SETTINGS, 'platform': '127.0.0.1:9000'},
        ['platform', 'expected a URL'],
    ),
    'equal_addresses': (
        {**VALID_SETTINGS, 'admin': VALID_SETTINGS['callers']},
        ['expected callers, admin and peers to differ'],
    ),
    'unknown_level': (
        {**VALID_SETTINGS, 'log_level': 'loud'},
        ['expected one of'],
    ),
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
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.path = pathlib.Path(directory.name) / 'settings.json'

    def check(self, text, expected_parts):
        self.path.write_text(text)
        status, err = run_main('--settings', str(self.path))
        self.assertEqual(status, 2)
        self.assertEqual(len(err.strip().splitlines()), 1, err)
        for part in [*expected_parts, str(self.path)]:
            self.assertIn(part, err)

    def test_each_wrong_value_ends_the_program_with_one_message(self):
        for name, (value, expected_parts) in REJECTED_SETTINGS.items():
            with self.subTest(name):
                self.check(json.dumps(value), expected_parts)

    def test_a_file_that_is_not_json_ends_the_program(self):
        self.check('{"name": ', ['expected JSON with comments'])

    def test_a_missing_file_ends_the_program(self):
        status, err = run_main('--settings', str(self.path))
        self.assertEqual(status, 2)
        self.assertIn('expected a readable settings file', err)

    def test_an_address_in_use_ends_the_program(self):
        with socket.create_server(('127.0.0.1', 0)) as taken:
            address = f'127.0.0.1:{taken.getsockname()[1]}'
            self.path.write_text(
                json.dumps({**VALID_SETTINGS, 'admin': address})
            )
            status, err = run_main('--settings', str(self.path))
        self.assertEqual(status, 2)
        self.assertIn(f'{address}: expected an address', err)

    def test_two_problems_give_two_messages(self):
        value = {**VALID_SETTINGS, 'zone': 7, 'log_level': 'loud'}
        self.path.write_text(json.dumps(value))
        status, err = run_main('--settings', str(self.path))
        self.assertEqual(status, 2)
        self.assertEqual(len(err.strip().splitlines()), 2, err)

    def test_comments_are_allowed(self):
        self.path.write_text('// one instance\n' + json.dumps(VALID_SETTINGS))
        loaded = settings.load(self.path)
        self.assertEqual(loaded.limits, settings.Limits())
