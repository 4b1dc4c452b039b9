import types
import unittest

import anyio
from wagtailtide_gateway.control import server_state
from wagtailtide_gateway.serving import capacity_recorder
from wagtailtide_testing import virtual_time

from tests import builders

GAP_S = 0.04


def make_job(prompt_tokens=826, adapter=None, is_plain=False):
    return types.SimpleNamespace(
        is_plain=is_plain,
        req=types.SimpleNamespace(
            model='m1', adapter=adapter, prompt_tokens=prompt_tokens
        ),
    )


def make_state(own_load=6, **changes):
    return server_state.ServerState(
        builders.make_server('s1', **changes), own_load=own_load
    )


async def use_before(recorder, job, state):
    """Let the model be in use for long enough that it is not new."""
    for _ in range(2):
        tracker = recorder.start(job, state, None)
        await anyio.sleep(capacity_recorder.FIRST_USE_S)
        tracker.end(anyio.current_time())
    recorder.take()


def of_size(recorder, is_first):
    rows = recorder.take().get('s1', [])
    return [row for row in rows if bool(row.size) == is_first]


class PaceTest(unittest.TestCase):
    def setUp(self):
        self.recorder = capacity_recorder.CapacityRecorder()
        self.state = make_state()

    async def run_stream(self, gaps, before_gap=lambda i, tracker: None):
        """Let a stream have events after these gaps; return its pace."""
        tracker = self.recorder.start(make_job(), self.state, None)
        await anyio.sleep(0.1)
        tracker.note_events(1, anyio.current_time())
        for i, gap_s in enumerate(gaps):
            before_gap(i, tracker)
            await anyio.sleep(gap_s)
            tracker.note_events(i + 2, anyio.current_time())
        tracker.end(anyio.current_time())
        rows = of_size(self.recorder, False)
        seconds = sum(row.seconds for row in rows)
        return seconds / sum(row.units for row in rows), rows

    @virtual_time.run_without_io
    async def test_pace_between_events_is_recorded_with_the_load(self):
        pace, rows = await self.run_stream([GAP_S] * 20)
        self.assertAlmostEqual(pace, GAP_S)
        self.assertEqual(sum(row.units for row in rows), 19)
        self.assertEqual({(row.model, row.band) for row in rows}, {('m1', 1)})
        self.assertAlmostEqual(rows[0].busy, 6 / 24)

    @virtual_time.run_without_io
    async def test_change_shows_before_the_stream_ends(self):
        tracker = self.recorder.start(make_job(), self.state, None)
        for count in range(1, 20):
            tracker.note_events(count, anyio.current_time())
            await anyio.sleep(GAP_S)
        self.assertGreater(len(of_size(self.recorder, False)), 0)

    @virtual_time.run_without_io
    async def test_single_long_gap_does_not_count(self):
        # Guards against taking another request's large prompt for slowness.
        gaps = [GAP_S] * 20
        gaps[7] = gaps[12] = 0.4
        pace, _ = await self.run_stream(gaps)
        self.assertAlmostEqual(pace, GAP_S)

    @virtual_time.run_without_io
    async def test_lasting_slowness_counts(self):
        pace, _ = await self.run_stream([GAP_S] * 2 + [3 * GAP_S] * 30)
        self.assertGreater(pace, 2.8 * GAP_S)

    @virtual_time.run_without_io
    async def test_client_that_reads_slowly_does_not_count(self):
        # Guards against taking a client's pace for that of the server.
        def note_slow_write(i, tracker):
            if i >= 3:
                tracker.note_written(anyio.current_time() + 0.2)

        gaps = [GAP_S] * 3 + [0.25] * 20
        pace, _ = await self.run_stream(gaps, note_slow_write)
        self.assertAlmostEqual(pace, GAP_S)

    @virtual_time.run_without_io
    async def test_hold_up_of_this_process_does_not_count(self):
        def hold_up(i, tracker):
            if 3 <= i < 10:
                self.recorder.held_up_at = anyio.current_time() + 0.001

        gaps = [GAP_S] * 3 + [0.3] * 7 + [GAP_S] * 5
        pace, _ = await self.run_stream(gaps, hold_up)
        self.assertAlmostEqual(pace, GAP_S)

    @virtual_time.run_without_io
    async def test_events_that_arrive_together_share_their_gap(self):
        tracker = self.recorder.start(make_job(), self.state, None)
        for count in (1, 5, 9, 13):
            tracker.note_events(count, anyio.current_time())
            await anyio.sleep(4 * GAP_S)
        tracker.end(anyio.current_time())
        rows = of_size(self.recorder, False)
        pace = sum(r.seconds for r in rows) / sum(r.units for r in rows)
        self.assertAlmostEqual(pace, GAP_S)


class FirstEventTest(unittest.TestCase):
    def setUp(self):
        self.recorder = capacity_recorder.CapacityRecorder()
        self.state = make_state()

    async def first_event(self, job, wait_s=0.2, peer=None):
        tracker = self.recorder.start(job, self.state, peer)
        await anyio.sleep(wait_s)
        if tracker is not None:
            tracker.note_events(1, anyio.current_time())
            tracker.end(anyio.current_time())
        return of_size(self.recorder, True)

    @virtual_time.run_without_io
    async def test_prompts_of_different_size_are_not_compared(self):
        job = make_job()
        await use_before(self.recorder, job, self.state)
        (small,) = await self.first_event(job)
        (large,) = await self.first_event(make_job(prompt_tokens=8_000))
        self.assertNotEqual(small.size, large.size)
        self.assertAlmostEqual(small.seconds, 0.2)
        self.assertEqual(
            small.units, 826 + capacity_recorder.FIRST_EVENT_TOKENS
        )

    @virtual_time.run_without_io
    async def test_loading_of_a_model_or_adapter_does_not_count(self):
        job = make_job()
        self.assertEqual(await self.first_event(job), [])
        await use_before(self.recorder, job, self.state)
        self.assertEqual(len(await self.first_event(job)), 1)
        self.assertEqual(await self.first_event(make_job(adapter='a')), [])
        # The model may have been unloaded and loaded again meanwhile.
        await anyio.sleep(capacity_recorder.UNUSED_S + 1.0)
        self.assertEqual(await self.first_event(job), [])

    @virtual_time.run_without_io
    async def test_new_process_of_a_server_begins_anew(self):
        job = make_job()
        await use_before(self.recorder, job, self.state)
        self.state = make_state(
            residency=builders.make_residency(process_start_ms=2)
        )
        self.assertEqual(await self.first_event(job), [])

    @virtual_time.run_without_io
    async def test_hold_up_of_this_process_does_not_count(self):
        job = make_job()
        await use_before(self.recorder, job, self.state)
        tracker = self.recorder.start(job, self.state, None)
        self.recorder.held_up_at = anyio.current_time() + 0.5
        await anyio.sleep(0.6)
        tracker.note_events(1, anyio.current_time())
        self.assertEqual(of_size(self.recorder, True), [])

    @virtual_time.run_without_io
    async def test_long_wait_without_an_event_counts(self):
        # Guards against seeing only the requests that a server answers.
        job = make_job()
        await use_before(self.recorder, job, self.state)
        for wait_s, expected in ((0.1, 0), (0.7, 1)):
            tracker = self.recorder.start(job, self.state, None)
            await anyio.sleep(wait_s)
            tracker.end(anyio.current_time())
            self.assertEqual(len(of_size(self.recorder, True)), expected)

    @virtual_time.run_without_io
    async def test_forwarded_and_plain_requests_show_nothing(self):
        job = make_job()
        await use_before(self.recorder, job, self.state)
        self.assertEqual(await self.first_event(job, peer='front-2'), [])
        self.assertEqual(await self.first_event(make_job(is_plain=True)), [])


class HoldUpTest(unittest.TestCase):
    @virtual_time.run_without_io
    async def test_process_that_runs_in_time_is_not_held_up(self):
        recorder = capacity_recorder.CapacityRecorder()
        with anyio.move_on_after(5.0):
            await recorder.watch_hold_ups()
        self.assertEqual(recorder.held_up_at, float('-inf'))


class BatchSumsTest(unittest.TestCase):
    @virtual_time.run_without_io
    async def test_running_requests_are_summed_by_model(self):
        recorder = capacity_recorder.CapacityRecorder()
        state = make_state()
        first = recorder.start(make_job(), state, None)
        await anyio.sleep(1.0)
        # One that another instance forwards is in the batch, too.
        forwarded = recorder.start(make_job(), state, 'front-2')
        forwarded.note_events(1, anyio.current_time())
        forwarded.note_written(anyio.current_time())
        await anyio.sleep(0.5)
        self.assertEqual(recorder.batches.take(), {'s1': {'m1': 2.0}})
        first.end(anyio.current_time())
        await anyio.sleep(0.25)
        forwarded.end(anyio.current_time())
        await anyio.sleep(1.0)
        self.assertEqual(recorder.batches.take(), {'s1': {'m1': 0.25}})
        # Guards against rows that stay for ever.
        self.assertEqual(recorder.batches.take(), {})

    def test_plain_requests_are_not_followed(self):
        recorder = capacity_recorder.CapacityRecorder()
        job = make_job(is_plain=True)
        self.assertIsNone(recorder.start(job, make_state(), None))
