import unittest

from wagtailtide_testing import virtual_time
from wagtailtide_testing.standins import tokens

from tests import harness

EXPECTED = tokens.expected_text('letters@1', 'urdu', 'write a letter', 20)


class ServingTest(unittest.TestCase):
    @virtual_time.run_in_virtual_time
    async def test_a_stream_with_an_adapter_arrives_whole(self):
        deployment = harness.Deployment()
        async with deployment.running() as caller:
            resp = await caller.post(
                '/v1/completions',
                json=harness.completion(),
                headers=deployment.auth(),
            )
        self.assertEqual(resp.status_code, 200, resp.text)
        data, text = harness.events_of(resp.text)
        self.assertEqual(data[-1], '[DONE]')
        self.assertEqual(text, EXPECTED)

    @virtual_time.run_in_virtual_time
    async def test_a_whole_answer_equals_the_stream(self):
        deployment = harness.Deployment()
        async with deployment.running() as caller:
            resp = await caller.post(
                '/v1/completions',
                json=harness.completion(stream=False),
                headers=deployment.auth(),
            )
            chat = await caller.post(
                '/v1/chat/completions',
                json={
                    'model': 'letters',
                    'messages': [{'role': 'user', 'content': 'hello'}],
                    'max_tokens': 5,
                },
                headers=deployment.auth(),
            )
        value = resp.json()
        self.assertEqual(value['choices'][0]['text'], EXPECTED)
        self.assertEqual(value['id'], resp.headers['x-request-id'])
        message = chat.json()['choices'][0]['message']
        self.assertEqual(message['role'], 'assistant')
        self.assertEqual(len(message['content'].split()), 5)

    @virtual_time.run_in_virtual_time
    async def test_a_route_is_passed_through_unchanged(self):
        deployment = harness.Deployment()
        async with deployment.running() as caller:
            resp = await caller.post(
                '/issue/blank%20tile?urgent=1&b=%41',
                content=b'{"set": 7}',
                headers=deployment.auth(),
            )
        self.assertEqual(resp.status_code, 201, resp.text)
        self.assertEqual(resp.json()['number'], 1)
        (seen,) = deployment.ledger.recorder.requests
        self.assertEqual(seen['method'], 'POST')
        self.assertEqual(seen['path'], '/issue/blank tile')
        self.assertEqual(seen['query'], 'urgent=1&b=%41')
        self.assertEqual(seen['body'], '{"set": 7}')

    @virtual_time.run_in_virtual_time
    async def test_only_an_open_route_serves_callers_without_a_key(self):
        deployment = harness.Deployment()
        async with deployment.running() as caller:
            refused = await caller.post('/issue/1')
            opened = await caller.get('/public/hours')
        self.assertEqual(refused.status_code, 401)
        error = refused.json()['error']
        self.assertEqual(error['kind'], 'key_missing')
        self.assertEqual(error['fate'], 'not_run')
        self.assertEqual(error['request_id'], refused.headers['x-request-id'])
        self.assertEqual(opened.status_code, 200, opened.text)
        self.assertEqual(deployment.ledger.applied, [])

    @virtual_time.run_in_virtual_time
    async def test_no_backend_server_sees_a_key(self):
        deployment = harness.Deployment()
        headers = {**deployment.auth(), 'Cookie': 'session=1', 'X-Own': 'v'}
        async with deployment.running() as caller:
            for path in ('/claims/1', '/public/hours'):
                resp = await caller.get(path, headers=headers)
                self.assertEqual(resp.status_code, 200)
            await caller.post('/issue/1', headers=headers)
            await caller.post(
                '/v1/completions', json=harness.completion(), headers=headers
            )
        seen = deployment.seen_by_backend_servers()
        self.assertGreaterEqual(len(seen), 4)
        for req in seen:
            self.assertNotIn(deployment.key, str(req))
            names = {name for name, _ in req['headers']}
            self.assertFalse(names & {'authorization', 'cookie', 'x-own'})

    @virtual_time.run_in_virtual_time
    async def test_models_lists_only_what_the_key_may_use(self):
        deployment = harness.Deployment()
        async with deployment.running() as caller:
            own = await caller.get('/v1/models', headers=deployment.auth())
            other = await caller.get(
                '/v1/models', headers=deployment.auth(deployment.other_key)
            )
        names = [item['id'] for item in own.json()['data']]
        self.assertEqual(names, ['absent', 'letters', 'letters:urdu'])
        names = [item['id'] for item in other.json()['data']]
        self.assertEqual(names, ['absent'])
