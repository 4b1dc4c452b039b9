import json
import unittest

import anyio
from wagtailtide_core.errors import kinds
from wagtailtide_testing import virtual_time

from tests import harness

KEY = object()
BODY = json.dumps(harness.completion()).encode()


def request(*, path='/v1/completions', method='POST', body=BODY, lines=None):
    if lines is None:
        lines = [KEY, b'Content-Length: %d' % len(body)]
    return method, path, lines, body


def with_fields(**fields):
    return request(body=json.dumps(harness.completion(**fields)).encode())


def with_lines(*lines):
    return request(lines=[KEY, b'Content-Length: %d' % len(BODY), *lines])


# Guards against requests that reach a backend server although they are
# malformed, forbidden or ambiguous. The text KEY stands for the presented key.
REFUSED_BY_INSTANCE = {
    'over_long_body': (
        413,
        'request_too_large',
        request(body=b'x' * 70_000),
    ),
    'over_long_chunked_body': (
        413,
        'request_too_large',
        request(
            body=b'11170\r\n' + b'x' * 70_000 + b'\r\n0\r\n\r\n',
            lines=[KEY, b'Transfer-Encoding: chunked'],
        ),
    ),
    'malformed_json': (400, 'malformed_request', request(body=b'{"model":')),
    'json_of_another_type': (400, 'malformed_request', request(body=b'[1]')),
    'deeply_nested_json': (
        400,
        'malformed_request',
        request(body=b'[' * 60_000),
    ),
    'model_of_another_type': (400, 'malformed_request', with_fields(model=7)),
    'unknown_model': (404, 'unknown_model', with_fields(model='nothing')),
    'unknown_adapter': (404, 'unknown_model', with_fields(model='letters:no')),
    'negative_max_tokens': (
        400,
        'malformed_request',
        with_fields(max_tokens=-1),
    ),
    'boolean_max_tokens': (
        400,
        'malformed_request',
        with_fields(max_tokens=True),
    ),
    'engine_field_in_body': (
        400,
        'malformed_request',
        with_fields(resume_offset=3),
    ),
    'more_tokens_than_burst': (
        413,
        'request_above_burst',
        with_fields(max_tokens=500_000),
    ),
    'no_key': (
        401,
        'key_missing',
        request(lines=[b'Content-Length: %d' % len(BODY)]),
    ),
    'two_authorization_headers': (
        400,
        'malformed_request',
        with_lines(b'Authorization: Bearer wt_x_0'),
    ),
    'another_scheme': (
        401,
        'key_invalid',
        request(
            lines=[
                b'Authorization: Basic eDp5',
                b'Content-Length: %d' % len(BODY),
            ]
        ),
    ),
    'unknown_key': (
        401,
        'key_invalid',
        request(
            lines=[
                b'Authorization: Bearer wt_clerk_' + b'0' * 64,
                b'Content-Length: %d' % len(BODY),
            ]
        ),
    ),
    'key_in_query': (
        400,
        'key_in_wrong_place',
        request(path='/v1/completions?key=KEY'),
    ),
    'key_in_path': (
        400,
        'key_in_wrong_place',
        request(path='/claims/KEY', method='GET', body=b''),
    ),
    'key_in_cookie': (
        400,
        'key_in_wrong_place',
        with_lines(b'Cookie: session=KEY'),
    ),
    'key_in_other_header': (
        400,
        'key_in_wrong_place',
        with_lines(b'Idempotency-Key: KEY'),
    ),
    'key_in_body': (400, 'key_in_wrong_place', with_fields(user='KEY')),
    'key_in_escaped_body': (
        400,
        'key_in_wrong_place',
        request(body=BODY.replace(b'write', b'\\u0077KEYw')),
    ),
    'key_in_query_only': (
        400,
        'key_in_wrong_place',
        request(path='/v1/models?key=KEY', method='GET', body=b'', lines=[]),
    ),
    'length_and_transfer_encoding': (
        400,
        'malformed_request',
        request(
            body=b'0\r\n\r\n',
            lines=[KEY, b'Content-Length: 5', b'Transfer-Encoding: chunked'],
        ),
    ),
    'two_idempotency_keys': (
        400,
        'malformed_request',
        with_lines(b'Idempotency-Key: a', b'Idempotency-Key: b'),
    ),
    'compressed_body': (
        400,
        'malformed_request',
        with_lines(b'Content-Encoding: gzip'),
    ),
    'dot_segments': (
        400,
        'malformed_request',
        request(path='/public/../issue/1', body=b''),
    ),
    'escaped_dot_segments': (
        400,
        'malformed_request',
        request(path='/public/%2e%2E/issue/1', body=b''),
    ),
    'escaped_slash': (
        400,
        'malformed_request',
        request(path='/public%2f..%2fissue', body=b''),
    ),
    'absolute_target': (
        400,
        'malformed_request',
        request(path='http://other/public/1', method='GET', body=b''),
    ),
    'unknown_route': (
        404,
        'unknown_route',
        request(path='/publicity', method='GET', body=b''),
    ),
    'wrong_method': (
        405,
        'method_not_allowed',
        request(path='/issue/1', method='GET', body=b''),
    ),
    'impossible_deadline': (
        400,
        'malformed_request',
        with_lines(b'X-Deadline-Ms: -5'),
    ),
    'deadline_of_another_type': (
        400,
        'malformed_request',
        with_lines(b'X-Deadline-Ms: soon'),
    ),
    'unknown_priority': (
        400,
        'malformed_request',
        with_lines(b'X-Priority: urgent'),
    ),
    'idempotency_key_with_spaces': (
        400,
        'idempotency_key_invalid',
        with_lines(b'Idempotency-Key: a b'),
    ),
}

# Requests that the HTTP library rejects itself, without a JSON body.
REFUSED_BY_LIBRARY = {
    'differing_lengths': with_lines(b'Content-Length: 3'),
    'unknown_transfer_encoding': with_lines(b'Transfer-Encoding: gzip'),
    'control_character_in_header': with_lines(b'X-Own: a\x00b'),
    'space_before_colon': with_lines(b'X-Own : a'),
    'bare_newline_in_header': with_lines(b'X-Own: a\rX-Priority: batch'),
}


class BadInputTest(unittest.TestCase):
    @virtual_time.run_in_virtual_time
    async def test_each_malformed_request_is_refused(self):
        deployment = harness.Deployment(engines=1)
        async with deployment.running(max_body_bytes=65_536):
            for name, (status, kind, req) in REFUSED_BY_INSTANCE.items():
                with self.subTest(name):
                    head, body = await _send(deployment, *req)
                    self.assertIn(f' {status} '.encode(), head)
                    error = json.loads(body)['error']
                    self.assertEqual(error['kind'], kind)
                    self.assertEqual(error['fate'], 'not_run')
                    self.assertNotIn(deployment.key.encode(), head + body)
                    answer = kinds.ANSWERS[kinds.ErrorKind(kind)]
                    self.assertEqual(answer.status, status)
            self._check_nothing_ran(deployment)

    @virtual_time.run_in_virtual_time
    async def test_ambiguous_headers_are_refused(self):
        deployment = harness.Deployment(engines=1)
        async with deployment.running():
            for name, req in REFUSED_BY_LIBRARY.items():
                with self.subTest(name):
                    head, _ = await _send(deployment, *req)
                    self.assertRegex(head, rb'^HTTP/1.1 (400|501) ')
            self._check_nothing_ran(deployment)

    @virtual_time.run_in_virtual_time
    async def test_another_organisations_key_is_refused(self):
        deployment = harness.Deployment(engines=1)
        headers = deployment.auth(deployment.other_key)
        async with deployment.running() as caller:
            model = await caller.post(
                '/v1/completions', json=harness.completion(), headers=headers
            )
            route = await caller.post('/issue/1', headers=headers)
            self._check_nothing_ran(deployment)
        for resp in (model, route):
            self.assertEqual(resp.status_code, 403)
            self.assertEqual(resp.json()['error']['kind'], 'forbidden')

    def _check_nothing_ran(self, deployment):
        seen = [
            req
            for req in deployment.seen_by_backend_servers()
            if req['path'] != '/v1/report'
        ]
        self.assertEqual(seen, [])


async def _send(deployment, method, path, lines, body):
    """Send a request exactly as given and return head and body."""
    key = deployment.key.encode()
    lines = [
        b'Authorization: Bearer ' + key
        if line is KEY
        else line.replace(b'KEY', key)
        for line in lines
    ]
    if b'KEY' in body:
        lines = [n for n in lines if not n.startswith(b'Content-Length')]
        escaped = ''.join(f'\\u{c:04x}' for c in key).encode()
        body = body.replace(b'\\u0077KEYw', escaped).replace(b'KEY', key)
        lines.append(b'Content-Length: %d' % len(body))
    head = f'{method} {path} HTTP/1.1'.encode().replace(b'KEY', key)
    data = b'\r\n'.join([head, b'Host: a', *lines, b'', body])
    host, _, port = deployment.inst.callers_address.rpartition(':')
    received = b''
    async with await anyio.connect_tcp(host, int(port)) as stream:
        await stream.send(data)
        with anyio.move_on_after(3):
            while not _is_complete(received):
                try:
                    received += await stream.receive()
                except anyio.EndOfStream:
                    break
    head, _, body = received.partition(b'\r\n\r\n')
    return head, body


def _is_complete(received):
    head, end, body = received.partition(b'\r\n\r\n')
    for line in head.lower().split(b'\r\n'):
        if line.startswith(b'content-length:') and end:
            return len(body) >= int(line.partition(b':')[2])
    return False
