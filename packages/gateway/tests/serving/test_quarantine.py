import types
import unittest

import anyio
from wagtailtide_core.errors import kinds
from wagtailtide_core.quarantine import prompt_parts
from wagtailtide_gateway import shared_state
from wagtailtide_gateway.control import messages
from wagtailtide_gateway.serving import quarantine
from wagtailtide_testing import virtual_time

PARTS = (
    prompt_parts.fingerprint('shared'),
    prompt_parts.fingerprint('bad1'),
)


def make_job(parts=PARTS, fingerprint='abc'):
    return types.SimpleNamespace(
        fingerprint=fingerprint,
        part_fingerprints=parts,
        has_proved_parts=False,
        req=types.SimpleNamespace(attempt_id='1', shared_parts=parts),
    )


def make_quarantine(is_leader=False):
    """Return a Quarantine that blames the second of PARTS, and its state."""
    port = types.SimpleNamespace(decode_config=None, decode_server=None)
    state = shared_state.SharedState(port, lambda: 0.0)
    state.learn_crashes(
        messages.CrashReport(PARTS[1], f's{number}', '17', float(number))
        for number in range(prompt_parts.MOMENTS_TO_BLAME)
    )
    return quarantine.Quarantine(state, lambda: is_leader), state


class QuarantineTest(unittest.TestCase):
    def assert_refused(self, found, job):
        with self.assertRaises(kinds.ServingError) as caught:
            found.check(job)
        self.assertIs(
            caught.exception.kind, kinds.ErrorKind.REQUEST_QUARANTINED
        )

    @virtual_time.run_without_io
    async def test_only_requests_with_a_blamed_part_are_refused(self):
        found, _ = make_quarantine()
        self.assert_refused(found, make_job())
        found.check(make_job(PARTS[:1]))
        found.check(make_job(()))

    @virtual_time.run_without_io
    async def test_only_the_leader_tries_a_blamed_part_and_once(self):
        found, _ = make_quarantine()
        leader, state = make_quarantine(is_leader=True)
        self.assert_refused(leader, make_job())
        await anyio.sleep(prompt_parts.FIRST_TRIAL_AFTER_S)
        self.assert_refused(found, make_job())
        # Two requests wait for a server; the first to get one is the trial.
        first, second = make_job(), make_job()
        leader.check(first)
        leader.check(second)
        leader.admit(first)
        with self.assertRaises(kinds.ServingError):
            leader.admit(second)
        (report,) = state.make_report(
            'front-1', 0.7, (0, 0, 0), 0.25, False, 1, None
        ).crashes
        self.assertEqual(report.server, prompt_parts.TRIAL)
        leader.record_completed(first)
        leader.check(second)

    @virtual_time.run_without_io
    async def test_stream_that_runs_for_a_while_proves_its_parts(self):
        found, state = make_quarantine()
        job = make_job((PARTS[1],))
        found.record_started(job, 's9')
        found.record_events(job, 's9', 0.9)
        self.assert_refused(found, job)
        found.record_events(job, 's9', quarantine.PROOF_AFTER_S)
        found.check(job)
        self.assertEqual(state.part_crashes.record_crash('s9', '1', 2.0), ())
        found.record_ended(job, 's9', 2.0)
        self.assertEqual(state.part_crashes.record_crash('s9', '2', 2.0), ())

    @virtual_time.run_without_io
    async def test_stream_that_breaks_as_it_begins_proves_nothing(self):
        found, state = make_quarantine()
        job = make_job()
        found.record_started(job, 's9')
        found.record_events(job, 's9', 0.0)
        found.record_ended(job, 's9', 0.1)
        suspects = state.part_crashes.record_crash('s9', '1', 0.1)
        self.assertEqual(set(suspects), set(PARTS))
