import unittest

from wagtailtide_gateway.decisions import connections

from tests import builders

NOW = 100.0
Phase = connections.Phase


def closed(states, **excess):
    """Return the names of the connections that are closed, in order."""
    names = list(states)
    chosen = connections.choose_to_close(list(states.values()), NOW, **excess)
    return [names[position] for position in chosen]


class ChooseToCloseTest(unittest.TestCase):
    def setUp(self):
        self.states = {
            'served': builders.make_connection(Phase.SERVING, since=0.0),
            'new': builders.make_connection(Phase.IDLE, since=NOW - 0.1),
            'reads nothing': builders.make_connection(
                Phase.BLOCKED, since=90.0, was_served=True
            ),
            'kept open': builders.make_connection(
                Phase.IDLE, since=80.0, was_served=True
            ),
            'slow head': builders.make_connection(Phase.RECEIVING, since=95.0),
            'rejected before': builders.make_connection(
                Phase.IDLE, since=90.0
            ),
            'answered': builders.make_connection(Phase.CLOSING, since=99.9),
        }

    def test_those_without_a_whole_request_go_before_those_served(self):
        self.assertEqual(
            closed(self.states, count=7),
            [
                'answered',
                'rejected before',
                'slow head',
                'kept open',
                'reads nothing',
                'new',
            ],
        )

    def test_no_more_are_closed_than_needed(self):
        self.assertEqual(
            closed(self.states, count=2), ['answered', 'rejected before']
        )
        self.assertEqual(closed(self.states), [])

    def test_those_that_hold_most_go_first_if_memory_is_short(self):
        states = {
            name: builders.make_connection(
                Phase.RECEIVING, since=0.0, held_bytes=size
            )
            for name, size in {'a': 10, 'b': 30, 'c': 20}.items()
        }
        self.assertEqual(closed(states, held_bytes=31), ['b', 'c'])

    def test_connections_of_other_instances_stay(self):
        # Guards against an instance that loses its leader because its callers
        # take the memory.
        states = {
            'instance': builders.make_connection(
                Phase.IDLE, since=0.0, was_served=True, is_instance=True
            ),
            'stranger': builders.make_connection(
                Phase.IDLE, since=0.0, is_instance=True
            ),
        }
        self.assertEqual(closed(states, count=2), ['stranger'])

    def test_new_caller_beside_a_crowd_that_waits(self):
        # The load: a crowd takes all descriptors, and an ordinary caller
        # connects.
        states = {
            f'crowd {number}': builders.make_connection(
                Phase.RECEIVING, since=NOW - 2.0
            )
            for number in range(100)
        }
        states['caller'] = builders.make_connection(Phase.IDLE, since=NOW)
        self.assertNotIn('caller', closed(states, count=100))

    def test_new_connection_is_closed_if_all_others_are_served(self):
        states = {
            'served': builders.make_connection(Phase.SERVING, since=0.0),
            'new': builders.make_connection(Phase.IDLE, since=NOW),
        }
        self.assertEqual(closed(states, count=1), ['new'])


class DeriveLimitsTest(unittest.TestCase):
    def test_all_together_fit_into_the_memory(self):
        for megabytes in (80, 152, 222, 552):
            with self.subTest(megabytes):
                memory = megabytes * 1_000_000
                limits = connections.derive_limits(memory, 8_000)
                total = connections.PROCESS_BYTES + limits.memory_bytes
                # While a body is sent to a server there is a second copy.
                total += 2 * limits.bodies_bytes
                self.assertLessEqual(total, memory)
                self.assertLessEqual(
                    limits.callers * connections.CONNECTION_BYTES,
                    limits.memory_bytes,
                )

    def test_sockets_are_left_for_servers_and_other_instances(self):
        limits = connections.derive_limits(10**9, 1_370)
        used = limits.callers + 2 * limits.platform
        self.assertLessEqual(used, 0.75 * 1_370)

    def test_leader_has_connections_of_all_instances(self):
        # Guards against a leader that does not hear some instances. Each may
        # need a second connection to forward a request.
        rows = {1_335: 133, 3_900: 390}
        for sockets, instances in rows.items():
            with self.subTest(instances):
                limits = connections.derive_limits(152_000_000, sockets)
                self.assertGreaterEqual(limits.instances, 2 * instances)

    def test_smallest_deployment_keeps_its_callers(self):
        # Its servers run 240 requests at once; all of them, and three times
        # as many that wait, may be at the only instance that is left.
        limits = connections.derive_limits(222_000_000, 1_370)
        self.assertGreaterEqual(limits.callers, 3.5 * 240)

    def test_limits_without_settings_are_those_of_the_smallest_instance(self):
        self.assertEqual(
            connections.derive_limits(),
            connections.derive_limits(
                connections.DEFAULT_MEMORY_BYTES, connections.DEFAULT_SOCKETS
            ),
        )
