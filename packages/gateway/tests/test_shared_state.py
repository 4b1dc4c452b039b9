import types
import unittest

from wagtailtide_core.quarantine import prompt_parts
from wagtailtide_gateway import shared_state
from wagtailtide_gateway.control import messages
from wagtailtide_testing import virtual_time

PART = prompt_parts.fingerprint('bad1')


def make_state():
    port = types.SimpleNamespace(decode_config=None, decode_server=None)
    return shared_state.SharedState(port, lambda: 0.0)


def make_report(state):
    return state.make_report('front-1', 0.7, (0, 0, 0), 0.25, False, 1, None)


def crash_reports(fingerprint, count):
    return tuple(
        messages.CrashReport(fingerprint, f's{number}', '17', float(number))
        for number in range(count)
    )


class CrashSharingTest(unittest.TestCase):
    @virtual_time.run_without_io
    async def test_crash_is_reported_with_the_parts_in_the_server(self):
        state = make_state()
        state.part_crashes.record_started((PART,), 's1')
        state.crashes.record_started('abc', 's1')
        state.attribute_crash('s1', 17)
        self.assertEqual(
            make_report(state).crashes,
            (
                messages.CrashReport('abc', 's1', '17', 0.0),
                messages.CrashReport(PART, 's1', '17', 0.0),
            ),
        )

    @virtual_time.run_without_io
    async def test_known_crashes_are_reported_again_to_a_new_leader(self):
        # Guards against instances that start under a new leader and learn
        # nothing of what the previous one knew.
        state = make_state()
        known = crash_reports(PART, 2) + crash_reports('abc', 1)
        state.learn_crashes(known)
        self.assertEqual(make_report(state).crashes, ())
        state.report_crashes_again()
        self.assertCountEqual(make_report(state).crashes, known)

    @virtual_time.run_without_io
    async def test_proof_is_reported_and_ends_the_suspicion_elsewhere(self):
        state, other = make_state(), make_state()
        for each in (state, other):
            each.learn_crashes(crash_reports(PART, 3))
        state.record_proof((PART, 'never-suspected'))
        self.assertEqual(make_report(state).proved, (PART,))
        self.assertIsNotNone(other.part_crashes.find_group((PART,), 0.0))
        other.apply_loads(
            types.SimpleNamespace(loads={}, crashes=(), proved=(PART,))
        )
        self.assertIsNone(other.part_crashes.find_group((PART,), 0.0))

    @virtual_time.run_without_io
    async def test_crashes_of_a_part_proved_lately_are_refuted(self):
        state = make_state()
        state.record_proof((PART,))
        state.learn_crashes(crash_reports(PART, 3))
        self.assertIsNone(state.part_crashes.find_group((PART,), 0.0))
        report = make_report(state)
        self.assertEqual(report.proved, (PART,))
        state.restore_report(report)
        self.assertEqual(make_report(state).proved, (PART,))
