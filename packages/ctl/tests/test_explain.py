import contextlib
import io
import json

from wagtailtide_ctl import main
from wagtailtide_ctl import results
from wagtailtide_testing import serving
from wagtailtide_testing import virtual_time
from wagtailtide_testing.standins import asgi

from tests import harness
from tests import test_main

Code = results.ExitCode

# Nothing listens there.
UNREACHABLE = 'http://127.0.0.1:1'


def make_row(server, **changes):
    row = {
        'server': server,
        'zone': 'gulberg',
        'slots': 12.0,
        'load': 3,
        'own_load': 1,
        'slowdown': 1.25,
        'failure_rate': 0.0,
        'is_forwarded': False,
        'process_start_ms': 1_772_000_000_500,
        'cost': {
            'load': 0.417,
            'failures': 0.0,
            'other_zone': 0.04,
            'prefix': -0.12,
            'total': 0.337,
        },
    }
    return row | changes


def make_explanation(**changes):
    value = {
        'instance': 'i-1',
        'zone': 'gulberg',
        'verdict': 'send',
        'server': 'e1',
        'error': None,
        'predicted_wait_s': 0.0,
        'retry_after_s': None,
        'pool': None,
        'reason': 'it is the only candidate',
        'request': None,
        'candidates': [make_row('e1')],
        'excluded': [
            make_row('e2', reason='paused', detail='for 2.50 s'),
        ],
        'inputs': {
            'servers': {'age_s': 0.2, 'is_outdated': False},
            'leader': {
                'is_this_instance': False,
                'answers': True,
                'update_age_s': 0.15,
                'instances': 12,
            },
            'config': {'version': 7, 'age_s': 0.9},
            'evacuations': None,
        },
    }
    return value | changes


@contextlib.asynccontextmanager
async def serve_instance(status, value, recorder=None):
    async def handle(req):
        await req.reply(status, value)

    app = asgi.make_app(handle, recorder or asgi.Recorder())
    async with serving.serve(app) as url:
        yield url


class ExplainTest(harness.CommandTestCase):
    async def explain(self, status, value, *argv):
        async with serve_instance(status, value) as url:
            return await harness.run(
                'explain', f'--admin={url}', '--service=engines', *argv
            )

    @virtual_time.run_in_virtual_time
    async def test_candidates_and_excluded_servers_are_tables(self):
        value = make_explanation()
        found = await self.explain(200, value)
        self.assertEqual(found.exit_code, Code.OK)
        self.assertEqual(found.value, value)
        self.assertEqual(
            found.lines,
            (
                'instance i-1, zone gulberg: send to e1',
                'reason: it is the only candidate',
                'candidates: 1',
                '  server  zone     load  slots  slowdown  cost   of load  '
                'of failures  of zone  of prefix  process since',
                '  e1      gulberg  3     12     1.25      0.337  0.417    '
                '0.000        0.040    -0.120     2026-02-25T06:13:20Z',
                'excluded: 1',
                '  server  zone     load  slots  process since         '
                'reason  detail',
                '  e2      gulberg  3     12     2026-02-25T06:13:20Z  '
                'paused  for 2.50 s',
                'list of servers: 0.20 s old',
                'leader: answers; last update: 0.15 s old, 12 instances',
                'configuration: version 7, 0.90 s old',
            ),
        )

    @virtual_time.run_in_virtual_time
    async def test_rejection_shows_the_error_and_retry_after(self):
        value = make_explanation(
            verdict='reject',
            server=None,
            error={'kind': 'overloaded', 'status': 503, 'message': 'full'},
            predicted_wait_s=3.2,
            retry_after_s=3.7,
            reason='full',
            candidates=[],
        )
        found = await self.explain(200, value)
        self.assertEqual(found.exit_code, Code.OK)
        self.assertEqual(
            found.lines[:4],
            (
                'instance i-1, zone gulberg: reject with 503 overloaded',
                'reason: full',
                'predicted wait: 3.2 s',
                'Retry-After: 3.7 s',
            ),
        )

    @virtual_time.run_in_virtual_time
    async def test_missing_and_old_inputs_are_named(self):
        inputs = make_explanation()['inputs'] | {
            'servers': {'age_s': 4.0, 'is_outdated': True},
            'leader': {
                'is_this_instance': False,
                'answers': False,
                'update_age_s': None,
                'instances': 0,
            },
            'evacuations': {'age_s': 1.5, 'is_known': True},
        }
        found = await self.explain(200, make_explanation(inputs=inputs))
        self.assertEqual(
            found.lines[-4:-1],
            (
                'list of servers: 4.00 s old, too old to send by',
                'list of evacuated zones: 1.50 s old',
                'leader: no leader answers; last update: never received, '
                '0 instances',
            ),
        )

    @virtual_time.run_in_virtual_time
    async def test_question_that_the_instance_refuses_is_wrong_usage(self):
        found = await self.explain(400, {'error': 'no service "x"; it has: y'})
        self.assertEqual(found.exit_code, Code.USAGE)
        self.assertEqual(found.lines, ('no service "x"; it has: y',))

    @virtual_time.run_in_virtual_time
    async def test_older_build_is_named_as_the_cause(self):
        found = await self.explain(404, {})
        self.assertEqual(found.exit_code, Code.UNREACHABLE)
        self.assertIn('does not know explain', found.lines[0])

    @virtual_time.run_in_virtual_time
    async def test_answer_that_is_no_explanation_is_not_taken_for_one(self):
        found = await self.explain(500, {'error': 'unexpected'})
        self.assertEqual(found.exit_code, Code.UNREACHABLE)
        self.assertIn('status 500', found.lines[0])

    @virtual_time.run_in_virtual_time
    async def test_unreachable_instance_exits_as_in_other_commands(self):
        for url in (UNREACHABLE, 'not-a-url'):
            found = await harness.run(
                'explain', f'--admin={url}', '--service=engines'
            )
            other = await harness.run('dump', f'--admin={url}')
            self.assertEqual(found.exit_code, Code.UNREACHABLE)
            self.assertEqual(found.exit_code, other.exit_code)
            self.assertIn(url, found.lines[0])

    def test_malformed_arguments_exit_with_2_and_say_what_is_expected(self):
        # The form is checked before the instance is asked.
        cases = (
            ('--tokens=5', '--tokens as IN,OUT'),
            ('--tokens=5,x', '--tokens as IN,OUT'),
            ('--tokens=5,-1', '--tokens as IN,OUT'),
            ('--prefix=abc', '--prefix as ID:TOKENS'),
            ('--prefix=:7', '--prefix as ID:TOKENS'),
            ('--prefix=', "'prefix' requires an argument"),
            ('--deadline-ms=0', '--deadline-ms as a positive number'),
            ('--deadline-ms=nan', '--deadline-ms as a positive number'),
            ('--deadline-ms=soon', 'deadline'),
        )
        for argument, message in cases:
            with self.subTest(argument):
                code, text = test_main.call(
                    'explain',
                    f'--admin={UNREACHABLE}',
                    '--service=engines',
                    argument,
                )
                self.assertEqual(code, Code.USAGE, text)
                self.assertIn(message, text)

    def test_errors_are_on_standard_error(self):
        out, err = io.StringIO(), io.StringIO()
        with (
            contextlib.redirect_stdout(out),
            contextlib.redirect_stderr(err),
            self.assertRaises(SystemExit) as caught,
        ):
            main.main(
                [
                    'explain',
                    f'--admin={UNREACHABLE}',
                    '--service=engines',
                    '--tokens=5',
                ]
            )
        self.assertEqual(caught.exception.code, Code.USAGE)
        self.assertEqual(out.getvalue(), '')
        self.assertIn('--tokens', err.getvalue())

    def test_missing_arguments_exit_with_2(self):
        for argv in (
            ['--service=engines'],
            [f'--admin={UNREACHABLE}'],
            [f'--admin={UNREACHABLE}', '--service=e', '--modle=m1'],
        ):
            with self.subTest(argv):
                self.assertEqual(
                    test_main.call('explain', *argv)[0], Code.USAGE
                )

    def test_error_as_json_can_be_read(self):
        code, text = test_main.call(
            'explain',
            f'--admin={UNREACHABLE}',
            '--service=engines',
            '--tokens=5',
            '--json',
        )
        self.assertEqual(code, Code.USAGE)
        self.assertIn('--tokens', json.loads(text)['error'])
