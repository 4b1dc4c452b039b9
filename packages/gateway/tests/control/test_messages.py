import dataclasses
import random
import unittest

import cbor2
from wagtailtide_gateway import ports
from wagtailtide_gateway.control import fields
from wagtailtide_gateway.control import messages
from wagtailtide_gateway.control import peers
from wagtailtide_gateway.control import server_limits

from tests import builders
from tests.control import recorded_messages

REPORT = messages.Report(
    'front-1',
    False,
    4,
    0.3,
    7,
    8,
    {'club': 12.5},
    {'s1': 3},
    (messages.ModelDemand('engines', 'm1', 2, 1, 0, 0.4),),
    (messages.AdapterRequest('engines', 'm1', 'a1'),),
    (messages.CrashReport('abc', 's1', '17', 0.0),),
    ('s9',),
    0.36,
    {'s1': 4_000_000_000},
    {'s1': 12},
    2,
    0.25,
    {
        's1': server_limits.ReportedLimit(1.6, 0.3),
        's2': server_limits.ReportedLimit(None, 2.0),
    },
    {'s1': 2},
    {2**64 - 1: 'v1', 17: 'v1.1'},
    (4, 5),
    6,
    ('part:01',),
    {'s1': 1_700_000_000_000},
    '10.1.0.4',
    7_600,
)
UPDATE = messages.LeaderUpdate(
    3,
    12,
    4,
    0.1,
    {'version': 4},
    9,
    {'club': 12.5},
    {},
    {'s1': 5},
    {'s1': builders.make_residency(['m1'], order_count=2)},
    {('engines', 'm2'): 1.5},
    (),
    ('s2',),
    0.2,
    5,
    {'s1': ports.StoredObject('s1', 3, {'state': 'ready'}), 's3': None},
    0.25,
    {'desk': 0.9},
    {'s1': server_limits.SharedLimit(1.6, 0.3, 4)},
    {'s1': 1},
    7,
    {2**64 - 1: 'v1', 5: 'v1.1'},
    ('abc',),
    (peers.Peer('front-2', '10.1.0.5', 7_600, ('s9',)),),
)


class MessagesTest(unittest.TestCase):
    def test_messages_round_trip(self):
        report = messages.decode_report(messages.encode_report(REPORT))
        update = messages.decode_update(messages.encode_update(UPDATE))
        self.assertEqual((report, update), (REPORT, UPDATE))

    def test_refusal_round_trips_and_invalid_ones_are_refused(self):
        data = messages.encode_refusal(7)
        self.assertEqual(messages.decode_refusal(data), 7)
        for bad in (b'', data[:-1], cbor2.dumps([99, 7]), cbor2.dumps([1])):
            with self.subTest(bad), self.assertRaises(fields.BadMessage):
                messages.decode_refusal(bad)

    def test_invalid_messages_are_refused(self):
        # One row for each kind of invalid message from another instance.
        values = cbor2.loads(messages.encode_report(REPORT))
        rows = {
            'not CBOR': b'\xff\x00\x13',
            'cut': messages.encode_report(REPORT)[:-3],
            'no list': cbor2.dumps({'a': 1}),
            'too few fields': cbor2.dumps(values[:-1]),
            'other version': cbor2.dumps([99, *values[1:]]),
            'wrong type': cbor2.dumps([*values[:7], 'x', *values[8:]]),
            'too big': b'\x00' * (fields.MAX_MESSAGE_BYTES + 1),
        }
        for name, data in rows.items():
            with self.subTest(name), self.assertRaises(fields.BadMessage):
                messages.decode_report(data)

    def test_number_that_is_not_finite_is_refused(self):
        # Guards against a bucket that stays at NaN for all instances.
        values = cbor2.loads(messages.encode_report(REPORT))
        for amount in (float('nan'), float('inf')):
            values[7] = {'club': amount}
            with self.assertRaises(fields.BadMessage):
                messages.decode_report(cbor2.dumps(values))


class OtherBuildTest(unittest.TestCase):
    """Messages of other builds of the same protocol version."""

    def test_messages_of_released_builds_are_understood(self):
        for recording in recorded_messages.RECORDINGS:
            with self.subTest(recording.commit):
                self.assertEqual(
                    (
                        messages.decode_report(recording.report),
                        messages.decode_update(recording.update),
                        messages.decode_refusal(recording.refusal),
                    ),
                    (REPORT, UPDATE, 7),
                )

    def test_released_builds_understand_the_messages(self):
        # They accept the fields that they know and no other ones.
        last = recorded_messages.RECORDINGS[-1]
        self.assertEqual(
            (
                messages.encode_report(REPORT),
                messages.encode_update(UPDATE),
                messages.encode_refusal(7),
            ),
            (last.report, last.update, last.refusal),
        )

    def test_fields_of_later_builds_are_ignored(self):
        # Guards against instances without a leader while builds that differ
        # by a field run side by side.
        later = {91: 'x', 92: [1, 2], 93: {'a': None}}
        for encoded, decode, expected in (
            (messages.encode_report(REPORT), messages.decode_report, REPORT),
            (messages.encode_update(UPDATE), messages.decode_update, UPDATE),
        ):
            grown = cbor2.dumps([*cbor2.loads(encoded), later])
            self.assertEqual(
                decode(grown), dataclasses.replace(expected, sections=later)
            )
        grown = cbor2.dumps([*cbor2.loads(messages.encode_refusal(7)), later])
        self.assertEqual(messages.decode_refusal(grown), 7)

    def test_sections_round_trip(self):
        report = dataclasses.replace(REPORT, sections={2: ['a', 1]})
        update = dataclasses.replace(UPDATE, sections={4: {'s1': 0.5}})
        self.assertEqual(
            (
                messages.decode_report(messages.encode_report(report)),
                messages.decode_update(messages.encode_update(update)),
            ),
            (report, update),
        )

    def test_malformed_section_map_counts_as_none(self):
        # Guards against an instance without a leader because of one feature.
        values = cbor2.loads(messages.encode_report(REPORT))
        for bad in (None, 7, 'x', [1, 2], {'x': 1}):
            with self.subTest(bad):
                data = cbor2.dumps([*values, bad])
                self.assertEqual(messages.decode_report(data), REPORT)

    def test_values_of_later_builds_in_rows_are_ignored(self):
        values = cbor2.loads(messages.encode_report(REPORT))
        for rows in (values[9], values[10], values[11]):
            rows[0].append('later')
        values[18]['s1'].append('later')
        self.assertEqual(messages.decode_report(cbor2.dumps(values)), REPORT)
        values = cbor2.loads(messages.encode_update(UPDATE))
        values[10]['s1'].append('later')
        values[16]['s1'].append('later')
        values[19]['s1'].append('later')
        values[24][0].append('later')
        self.assertEqual(messages.decode_update(cbor2.dumps(values)), UPDATE)


class MalformedMessageTest(unittest.TestCase):
    """Seeded mutations of valid messages."""

    REPLACEMENTS = (
        None,
        True,
        -1,
        2**70,
        1.5,
        float('nan'),
        float('inf'),
        'x',
        b'x',
        [],
        [[]],
        ['x', 'y', 'z'],
        {},
        {'x': None},
        {1: [2]},
        cbor2.CBORTag(4000, 'x'),
    )

    def mutate(self, rng, value):
        """Return a decoded message with a random part replaced."""
        if isinstance(value, list) and value and rng.random() < 0.8:
            changed = list(value)
            index = rng.randrange(len(changed))
            changed[index] = self.mutate(rng, changed[index])
            return changed
        if isinstance(value, dict) and value and rng.random() < 0.8:
            key = rng.choice(list(value))
            return value | {key: self.mutate(rng, value[key])}
        return rng.choice(self.REPLACEMENTS)

    def check(self, decode, data):
        """Decode data that may be malformed; return whether it is valid."""
        try:
            decode(data)
        except fields.BadMessage:
            return False
        return True

    def test_other_fields_never_raise_another_error(self):
        # Guards against a message that ends the task that reads it.
        rng = random.Random(1)
        refused = 0
        for encoded, decode in (
            (messages.encode_report(REPORT), messages.decode_report),
            (messages.encode_update(UPDATE), messages.decode_update),
            (messages.encode_refusal(7), messages.decode_refusal),
        ):
            values = cbor2.loads(encoded)
            for _ in range(2000):
                data = cbor2.dumps(self.mutate(rng, values))
                refused += not self.check(decode, data)
        self.assertGreater(refused, 3000)

    def test_other_bytes_never_raise_another_error(self):
        rng = random.Random(2)
        for encoded, decode in (
            (messages.encode_report(REPORT), messages.decode_report),
            (messages.encode_update(UPDATE), messages.decode_update),
        ):
            for _ in range(2000):
                data = bytearray(encoded)
                for _ in range(rng.randint(1, 4)):
                    data[rng.randrange(len(data))] = rng.randrange(256)
                cut = rng.choice((None, rng.randrange(len(data))))
                self.check(decode, bytes(data[:cut]))

    def test_stream_keys_that_no_build_makes_are_refused(self):
        # Guards against a key that the writer of stream origins cannot encode
        # and that it would meet again at each of its next writes.
        for key in (-1, 2**64):
            report = dataclasses.replace(REPORT, begun_streams={key: 'v1'})
            with self.subTest(key=key), self.assertRaises(fields.BadMessage):
                messages.decode_report(messages.encode_report(report))

    def test_deep_nesting_is_refused(self):
        with self.assertRaises(fields.BadMessage):
            messages.decode_report(b'\x81' * 100_000 + b'\x00')
