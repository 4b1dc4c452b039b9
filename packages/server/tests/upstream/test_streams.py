import json
import types
import unittest

from wagtailtide_server.upstream import failures
from wagtailtide_server.upstream import streams
from wagtailtide_testing import virtual_time


class Response:
    def __init__(self, *values):
        self._chunks = [f'data: {value}\n\n'.encode() for value in values]

    async def read_chunk(self):
        return self._chunks.pop(0) if self._chunks else None


def event(offset, request_id='r1'):
    return json.dumps({'id': request_id, 'offset': offset, 'choices': []})


class ReadEventsTest(unittest.TestCase):
    """Guards against foreign events, gaps and unnoticed truncation."""

    async def read(self, *values):
        passed_on = []

        async def emit(value):
            passed_on.append(value['offset'])

        call = types.SimpleNamespace(route=types.SimpleNamespace(adapter=None))
        model_call = streams.ModelCall(call, b'/', [], {})
        stream = streams.ModelStream(None, model_call, emit, None)
        with self.assertRaises(failures.AttemptError) as caught:
            await stream._read_events(Response(*values), 'r1')
        self.assertFalse(stream.complete)
        return passed_on, caught.exception.kind

    @virtual_time.run_without_io
    async def test_only_own_events_in_order_are_passed_on(self):
        wrong = failures.FailureKind.WRONG_RESPONSE
        for second in (event(1, 'r2'), event(0), event(2), '[]', '{'):
            self.assertEqual(
                await self.read(event(0), second), ([0], wrong), second
            )

    @virtual_time.run_without_io
    async def test_an_end_without_the_marker_is_a_failure(self):
        self.assertEqual(
            await self.read(event(0)), ([0], failures.FailureKind.BROKEN)
        )
        self.assertEqual(
            await self.read('[DONE]'),
            ([], failures.FailureKind.WRONG_RESPONSE),
        )
