import contextlib

from wagtailtide_ctl import results
from wagtailtide_testing import serving
from wagtailtide_testing import virtual_time
from wagtailtide_testing.standins import asgi

from tests import harness

Code = results.ExitCode


def status(name, version, **more):
    return {
        'instance': name,
        'zone': 'gulberg',
        'ready': True,
        'versions': {'lahore': version},
        'members': ['i-1', 'i-2'],
        **more,
    }


@contextlib.asynccontextmanager
async def serve_instance(value):
    async def handle(req):
        answers = {'/status': value, '/dump': {'status': value, 'rates': {}}}
        await req.reply(200, answers[req.path])

    app = asgi.make_app(handle, asgi.Recorder())
    async with serving.serve(app) as url:
        yield url


class StatusTest(harness.CommandTestCase):
    async def status_of(self, *values, extra=()):
        async with contextlib.AsyncExitStack() as stack:
            urls = [
                await stack.enter_async_context(serve_instance(value))
                for value in values
            ]
            flags = [f'--admin={url}' for url in (*urls, *extra)]
            return await harness.run('status', *flags)

    @virtual_time.run_in_virtual_time
    async def test_instances_that_agree_are_healthy(self):
        result = await self.status_of(status('i-1', 4), status('i-2', 4))
        self.assertEqual(result.exit_code, Code.OK)
        self.assertIn('service lahore: version 4 on i-1, i-2', result.lines)

    @virtual_time.run_in_virtual_time
    async def test_an_instance_with_an_older_version_is_named(self):
        result = await self.status_of(status('i-1', 4), status('i-2', 3))
        self.assertEqual(result.exit_code, Code.PROBLEMS)
        line = 'service lahore: version 4 on i-1; version 3 on i-2'
        self.assertIn(line, result.lines)

    @virtual_time.run_in_virtual_time
    async def test_a_violated_invariant_is_a_problem(self):
        bad = status('i-1', 4, invariants_violated={'rate': 2})
        result = await self.status_of(bad)
        self.assertEqual(result.exit_code, Code.PROBLEMS)

    @virtual_time.run_in_virtual_time
    async def test_an_instance_without_answer_does_not_hide_the_others(self):
        unreachable = 'http://127.0.0.1:1'
        result = await self.status_of(status('i-1', 4), extra=[unreachable])
        self.assertEqual(result.exit_code, Code.UNREACHABLE)
        self.assertTrue(any('i-1' in line for line in result.lines))

    @virtual_time.run_in_virtual_time
    async def test_dump_prints_a_section_and_names_the_known_ones(self):
        async with serve_instance(status('i-1', 4)) as url:
            found = await harness.run('dump', '--admin', url, 'status')
            self.assertEqual(found.value['instance'], 'i-1')
            wrong = await harness.run('dump', '--admin', url, 'nothing')
            self.assertEqual(wrong.exit_code, Code.USAGE)
            self.assertIn('rates, status', wrong.lines[0])
