import contextlib
import unittest

import cbor2
import hypothesis
from hypothesis import strategies
from wagtailtide_core.gossip import records
from wagtailtide_server.peers import frames

PING = {'t': 'ping', 'v': 1, 'n': 4}
RECORD = ['config', 'tiles', 7, 0, [], 12]

# One entry for each way in which a frame can be invalid.
BAD_FRAMES = {
    'text': ('{"t": "ping"}', frames.NOT_BINARY),
    'empty': (b'', frames.NOT_CBOR),
    'truncated': (cbor2.dumps(PING)[:-1], frames.NOT_CBOR),
    'two items': (cbor2.dumps(PING) * 2, frames.NOT_CBOR),
    'nested too deep for the decoder': (b'\x81' * 5000, frames.NOT_CBOR),
    'no map': (cbor2.dumps([1]), frames.NOT_A_MAP),
    'too big': (bytes(frames.MAX_FRAME_BYTES + 1), frames.TOO_BIG),
    'other version': (cbor2.dumps({**PING, 'v': 2}), frames.WRONG_VERSION),
    'version of another type': (
        cbor2.dumps({**PING, 'v': True}),
        frames.WRONG_VERSION,
    ),
    'no version': (cbor2.dumps({'t': 'ping', 'n': 4}), frames.WRONG_VERSION),
    'unknown type': (cbor2.dumps({**PING, 't': 'x'}), frames.UNKNOWN_TYPE),
    'type not text': (cbor2.dumps({**PING, 't': [1]}), frames.UNKNOWN_TYPE),
    'field missing': (cbor2.dumps({'t': 'ping', 'v': 1}), frames.BAD_FIELDS),
    'field too many': (cbor2.dumps({**PING, 'x': 1}), frames.BAD_FIELDS),
    'field of another type': (
        cbor2.dumps({**PING, 'n': 'four'}),
        frames.BAD_FIELDS,
    ),
    'negative number': (cbor2.dumps({**PING, 'n': -1}), frames.BAD_FIELDS),
    'key not text': (cbor2.dumps({**PING, 5: 1}), frames.BAD_FIELDS),
    'record of another form': (
        cbor2.dumps({'t': 'records', 'v': 1, 'items': [[1]], 'last_of': 0}),
        frames.BAD_FIELDS,
    ),
    'record with a negative stamp': (
        cbor2.dumps(
            {
                't': 'records',
                'v': 1,
                'items': [['config', 'tiles', -7, 0, [], 12]],
                'last_of': 0,
            }
        ),
        frames.BAD_FIELDS,
    ),
    'value that is not plain': (
        cbor2.dumps({'t': 'call', 'v': 1, 'id': 1, 'op': 'x', 'body': {1, 2}}),
        frames.BAD_FIELDS,
    ),
}

GOOD_FRAMES = (
    frames.Hello('a', 5, 1, 'gulberg', 'lahore', '127.0.0.1:1', 'link'),
    frames.Welcome('a', 5, 1, 'gulberg', 'lahore', '127.0.0.1:1'),
    frames.Refused('non_member'),
    frames.Ping(1),
    frames.Pong(1, None, 3, 4),
    frames.Records((records.from_wire(RECORD),), 9),
    frames.Digest(2, {'config/1': 2**63}),
    frames.Want(2, ('config/1',)),
    frames.Call(1, 'document', {'service': 'tiles', 'data': b'x'}),
    frames.Reply(1, False, 'no such document'),
)


class FramesTest(unittest.TestCase):
    """Guards against accepting frames that are only partly valid."""

    def test_each_bad_frame_is_refused_with_its_reason(self):
        for name, (data, reason) in BAD_FRAMES.items():
            with self.subTest(name):
                with self.assertRaises(frames.FrameError) as caught:
                    frames.decode(data)
                self.assertEqual(caught.exception.reason, reason)

    def test_each_frame_is_unchanged_by_encoding_and_decoding(self):
        for frame in GOOD_FRAMES:
            with self.subTest(type(frame).__name__):
                self.assertEqual(frames.decode(frames.encode(frame)), frame)

    def test_a_record_of_a_newer_version_is_skipped(self):
        fields = {'t': 'records', 'v': 1, 'last_of': 0}
        fields['items'] = [['unknown_kind', 'x', 1, 1, [], 0], RECORD]
        frame = frames.decode(cbor2.dumps(fields))
        self.assertEqual([r.id for r in frame.items], ['tiles'])

    @hypothesis.given(
        strategies.sampled_from(GOOD_FRAMES),
        strategies.integers(0, 200),
        strategies.binary(max_size=8),
    )
    @hypothesis.settings(derandomize=True, max_examples=500)
    def test_damaged_bytes_give_a_frame_or_a_frame_error(
        self, frame, at, damage
    ):
        data = frames.encode(frame)
        data = data[:at] + damage + data[at + len(damage) :]
        with contextlib.suppress(frames.FrameError):
            frames.decode(data)
