import dataclasses
import unittest

import cbor2
from wagtailtide_gateway.control import messages
from wagtailtide_gateway.serving import forward_messages
from wagtailtide_gateway.serving import server_call

REQUEST = forward_messages.ForwardRequest(
    sender='front-1',
    server_id='s1',
    process_start_ms=17,
    request=server_call.ServerRequest(
        attempt_id='9c41',
        method=b'POST',
        target=b'/letters/1?a=b',
        headers=((b'Host', b'desk.example'), (b'X-Kept', b'\xff')),
        body=b'\x00body',
        max_idle_s=0.8,
    ),
    fingerprint='f1',
    part_fingerprints=('part:1', 'part:2'),
)


class ForwardMessagesTest(unittest.TestCase):
    def test_request_round_trips(self):
        data = forward_messages.encode_request(REQUEST)
        self.assertEqual(forward_messages.decode_request(data), REQUEST)

    def test_invalid_requests_are_refused(self):
        data = forward_messages.encode_request(REQUEST)
        fields = cbor2.loads(data)
        rows = {
            'not CBOR': b'\xff\x00\x13',
            'cut': data[:-3],
            'too few fields': cbor2.dumps(fields[:-1]),
            'other version': cbor2.dumps([99, *fields[1:]]),
            'wrong type': cbor2.dumps([*fields[:9], 7, *fields[10:]]),
            'no method': cbor2.dumps([*fields[:7], 'GET', *fields[8:]]),
        }
        for name, bad in rows.items():
            with self.subTest(name), self.assertRaises(messages.BadMessage):
                forward_messages.decode_request(bad)

    def test_headers_keep_their_order_and_repetitions(self):
        headers = ((b'A', b'1'), (b'B', b'2'), (b'A', b'3'))
        request = dataclasses.replace(REQUEST.request, headers=headers)
        forward = dataclasses.replace(REQUEST, request=request)
        data = forward_messages.encode_request(forward)
        self.assertEqual(forward_messages.decode_request(data), forward)
