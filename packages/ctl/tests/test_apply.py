import anyio
from wagtailtide_ctl import results
from wagtailtide_testing import virtual_time

from tests import harness

Code = results.ExitCode
render = harness.render_document


class ApplyTest(harness.CommandTestCase):
    async def apply(self, served, text, *more, name='lahore.jsonc'):
        path = self.file(text, name)
        return await harness.run(
            'apply', path, '--platform', served.url, *more
        )

    @virtual_time.run_in_virtual_time
    async def test_a_document_is_written_with_its_comments(self):
        async with harness.serve_platform() as served:
            result = await self.apply(served, render())
            self.assertEqual(result.exit_code, Code.OK, result.lines)
            self.assertEqual(served.stored, render())
            again = await self.apply(served, render())
            self.assertEqual(again.value['changes'], [])
            self.assertEqual(served.state.calls['put'], 1)

    @virtual_time.run_in_virtual_time
    async def test_an_invalid_document_is_never_written(self):
        async with harness.serve_platform() as served:
            for bad in (render(rate=0), render().replace('100', '49')):
                result = await self.apply(served, bad)
                self.assertEqual(result.exit_code, Code.PROBLEMS)
            self.assertIsNone(served.stored)

    @virtual_time.run_in_virtual_time
    async def test_a_change_since_the_expected_version_is_not_overwritten(
        self,
    ):
        async with harness.serve_platform() as served:
            first = await self.apply(served, render())
            version = first.value['version']
            await self.apply(served, render(rate=7))
            late = await self.apply(
                served, render(priority=3), '--expect-version', version
            )
            self.assertEqual(late.exit_code, Code.CONFLICT)
            self.assertIn('rate_tokens_per_s', '\n'.join(late.lines))
            self.assertEqual(served.stored, render(rate=7))
            create = await self.apply(
                served, render(priority=3), '--expect-version', 0
            )
            self.assertEqual(create.exit_code, Code.CONFLICT)

    @virtual_time.run_in_virtual_time
    async def test_of_two_concurrent_applies_one_wins_and_one_gets_the_diff(
        self,
    ):
        # Both read the same version before either writes.
        async with harness.serve_platform() as served:
            await self.apply(served, render())
            served.state.set_faults(delay_s=0.5)
            found = {}

            async def operate(name, **change):
                found[name] = await self.apply(
                    served, render(**change), name=name
                )

            async with anyio.create_task_group() as group:
                group.start_soon(lambda: operate('a', priority=3))
                group.start_soon(lambda: operate('b', rate=7))
            codes = sorted(r.exit_code for r in found.values())
            self.assertEqual(codes, [Code.OK, Code.CONFLICT])
            winner, loser = sorted(found.values(), key=lambda r: r.exit_code)
            self.assertEqual(loser.value['changes'], winner.value['changes'])
            self.assertIn(
                f'--expect-version {winner.value["version"]}',
                loser.lines[-1],
            )

    @virtual_time.run_in_virtual_time
    async def test_a_write_whose_answer_was_lost_is_confirmed_by_reading(self):
        async with harness.serve_platform() as served:
            served.state.set_faults(lose_answers=1)
            result = await self.apply(served, render())
            self.assertEqual(result.exit_code, Code.OK, result.lines)
            self.assertEqual(served.state.calls['put'], 1)

    @virtual_time.run_in_virtual_time
    async def test_a_write_that_was_not_received_is_sent_again(self):
        async with harness.serve_platform() as served:
            served.state.set_faults(lose_requests=1)
            result = await self.apply(served, render())
            self.assertEqual(result.exit_code, Code.OK, result.lines)
            self.assertEqual(served.stored, render())

    @virtual_time.run_in_virtual_time
    async def test_a_late_write_that_another_replaced_is_a_conflict(self):
        async with harness.serve_platform() as served:
            served.state.set_faults(lose_answers=1)
            objects, write = served.state.objects, None

            def write_and_replace(key, value, expected):
                version = write(key, value, expected)
                other = render(rate=7).encode()
                objects.write = write
                return write(key, other, version)

            write, objects.write = objects.write, write_and_replace
            result = await self.apply(served, render())
            self.assertEqual(result.exit_code, Code.CONFLICT, result.lines)
            self.assertEqual(served.stored, render(rate=7))

    @virtual_time.run_in_virtual_time
    async def test_a_first_attempt_that_arrives_late_is_not_a_conflict(self):
        # The second attempt then conflicts with the first one.
        async with harness.serve_platform() as served:
            served.state.set_faults(lose_requests=1)
            objects, write = served.state.objects, None

            def write_late_first(key, value, expected):
                objects.write = write
                write(key, value, expected)
                return write(key, value, expected)

            write, objects.write = objects.write, write_late_first
            result = await self.apply(served, render())
            self.assertEqual(result.exit_code, Code.OK, result.lines)
            self.assertEqual(result.value['version'], 1)

    @virtual_time.run_in_virtual_time
    async def test_a_write_of_unknown_outcome_is_reported_as_unknown(self):
        # Exit code 4 would claim that nothing was written.
        async with harness.serve_platform() as served:
            objects, write = served.state.objects, None

            def write_then_fail(key, value, expected):
                served.state.set_faults(outage='503', lose_answers=1)
                return write(key, value, expected)

            write, objects.write = objects.write, write_then_fail
            result = await self.apply(served, render())
            self.assertEqual(result.exit_code, Code.UNKNOWN, result.lines)

    @virtual_time.run_in_virtual_time
    async def test_an_outage_is_reported_and_nothing_is_written(self):
        async with harness.serve_platform() as served:
            for outage in ('503', 'hang'):
                served.state.set_faults(outage=outage)
                result = await self.apply(served, render())
                self.assertEqual(result.exit_code, Code.UNREACHABLE)
            served.state.set_faults(outage='')
            self.assertIsNone(served.stored)

    @virtual_time.run_in_virtual_time
    async def test_diff_names_the_version_to_expect(self):
        async with harness.serve_platform() as served:
            path = self.file(render(rate=7))
            await self.apply(served, render())
            path = self.file(render(rate=7))
            result = await harness.run('diff', path, '--platform', served.url)
            self.assertEqual(
                result.lines,
                (
                    'changes against version 1:',
                    '  ~ organisations[o].rate_tokens_per_s: 5.0 -> 7.0',
                ),
            )
