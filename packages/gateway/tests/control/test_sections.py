import unittest

from wagtailtide_gateway.control import sections


class SectionsTest(unittest.TestCase):
    def setUp(self):
        self.calls = []
        self.set = sections.Sections()

    def add(self, **functions):
        section = sections.Section(sections.Number.WAITING_WORK, **functions)
        self.set.add(section)

    def test_values_reach_the_functions_of_their_section(self):
        self.add(
            make_report=lambda: [1],
            receive=lambda *args: self.calls.append(args),
            make_update=lambda instance, now: [instance, now],
            apply=lambda *args: self.calls.append(args),
            start_term=lambda: self.calls.append('term'),
        )
        self.assertEqual(self.set.make_report(), {2: [1]})
        self.assertEqual(
            self.set.make_update('front-1', 5.0), {2: ['front-1', 5.0]}
        )
        self.set.receive('front-1', {2: [1], 9: 'x'}, 3.0)
        self.set.apply({2: [2], 9: 'x'}, 4.0)
        self.set.start_term()
        self.assertEqual(
            self.calls, [('front-1', [1], 3.0), ([2], 4.0), 'term']
        )

    def test_missing_section_is_unknown(self):
        # Guards against taking an older build's silence for a zero.
        self.add(
            receive=lambda *args: self.calls.append(args),
            apply=lambda *args: self.calls.append(args),
        )
        self.set.receive('front-1', {}, 3.0)
        self.set.apply({}, 4.0)
        self.assertEqual(self.calls, [(None, 4.0)])
        self.assertEqual(self.set.make_report(), {})

    def test_malformed_value_is_logged_once_and_ignored(self):
        # Guards against one feature's value ending the exchange task.
        def receive(instance, value, now):
            raise TypeError('expected a list')

        self.add(receive=receive)
        with self.assertLogs(sections.LOG, 'WARNING') as logs:
            self.set.receive('front-1', {2: 7}, 3.0)
            self.set.receive('front-2', {2: 7}, 3.0)
        self.assertEqual(len(logs.records), 1)
