"""Callers of soak runs, and records of their answers."""

import dataclasses
import json

import anyio
import httpx
from wagtailtide_testing import fleet as fleets
from wagtailtide_testing.standins import tokens

CALL_TIMEOUT_S = 25.0
MAX_PAUSE_S = 0.4
DEFAULT_MAX_TOKENS = 12
MODEL = fleets.MODEL


@dataclasses.dataclass
class Answer:
    """One request of a caller and its answer. Times are in seconds.

    Attributes:
        kind: ``stream``, ``lookup``, ``keyed`` or ``unkeyed``; keyed requests
            carry an idempotency key.
        organisation: Name of the organisation of the API key.
        key: The API key.
        instance: Name of the instance to which the request was sent.
        marker: Unique text in the request; repeats of a keyed request share
            it.
        sent_at: Time at which the request was sent.
        ended_at: Time at which the answer ended, or None.
        status: HTTP status, or None if no answer arrived.
        error: Error object of the answer or of its stream, an object of kind
            ``wrong_answer`` for an unexpected value, or None.
        value: JSON value of the answer, or the text of a stream.
        whole: Whether the stream reached its end marker, or the status of
            another answer is below 400.
        tokens: Tokens that a stream reports as used; 1 for other answers.
        broken: Description of the connection error or timeout, or None.
        broken_at: Time of the connection error or timeout, or None.
    """

    kind: str
    organisation: str
    key: str
    instance: str
    marker: str
    sent_at: float
    ended_at: float | None = None
    status: int | None = None
    error: dict | None = None
    value: object = None
    whole: bool = False
    tokens: int = 0
    broken: str | None = None
    broken_at: float | None = None

    @property
    def fate(self):
        """Fate of the request according to the error, or None."""
        return None if self.error is None else self.error.get('fate')


class Callers:
    """Sends requests to a fleet and records the answers.

    Attributes:
        answers: All Answers.
        client: HTTP client, an asynchronous context manager that must be
            entered before the first request.
    """

    def __init__(self, fleet, faults, api_keys):
        self.fleet, self.faults = fleet, faults
        self.answers = []
        self._api_keys = api_keys
        self._marker_count = 0
        self._keyed_posts = []
        self.client = httpx.AsyncClient(
            trust_env=False,
            timeout=CALL_TIMEOUT_S,
            limits=httpx.Limits(max_keepalive_connections=0),
        )

    async def run(self, org, rng, until):
        """Send random requests of one organisation.

        Args:
            org: Name of the organisation.
            rng: Source of random numbers.
            until: Time in seconds at which to stop.
        """
        actions = (self._stream, self._look_up, self._post, self._post_keyed)
        while anyio.current_time() < until:
            key = rng.choice(self._api_keys[org])
            action = rng.choice(actions)
            await action(org, key, rng)
            await anyio.sleep(rng.uniform(0, MAX_PAUSE_S))

    async def send_poison_prompts(self, org, rng, until):
        """Send each poison prompt, which crashes engines, once a second.

        Args:
            org: Name of the organisation.
            rng: Source of random numbers.
            until: Time in seconds at which to stop.
        """
        while anyio.current_time() < until:
            for prompt in sorted(self.faults.poison_prompts):
                key = self._api_keys[org][0]
                await self._send_stream(org, key, rng, prompt)
            await anyio.sleep(1.0)

    async def repeat_all(self, rng):
        """Send every keyed POST once more and yield the Answers."""
        for org, key, marker in list(self._keyed_posts):
            yield await self._send_keyed(org, key, rng, marker)

    async def probe(self, org):
        """Send requests of each kind to each instance; yield the Answers."""
        for name in self.fleet.nodes:
            key = self._api_keys[org][0]
            self._marker_count += 1
            marker = f'probe-{self._marker_count}'
            yield await self._look_up(org, key, None, name)
            yield await self._send_stream(
                org, key, None, marker, instance=name
            )
            yield await self._send_keyed(org, key, None, marker, name)

    def _next_marker(self, kind):
        self._marker_count += 1
        return f'{kind}-{self._marker_count}-'

    async def _stream(self, org, key, rng):
        prompt = self._next_marker('prompt') * rng.randint(1, 3)
        # Long streams are in flight when faults begin. The burst of the second
        # organisation is too small for them.
        max_tokens = rng.choice((5, 20, 60, 200 if org == 'tiles' else 60))
        await self._send_stream(org, key, rng, prompt, max_tokens)

    async def _send_stream(
        self,
        org,
        key,
        rng,
        prompt,
        max_tokens=DEFAULT_MAX_TOKENS,
        instance=None,
    ):
        body = {
            'model': f'{MODEL.name}:clerk',
            'prompt': prompt,
            'max_tokens': max_tokens,
            'stream': True,
        }
        answer = self._begin('stream', org, key, prompt, rng, instance)
        await self._send(answer, 'POST', '/v1/completions', body, {})
        name = f'{MODEL.name}@{MODEL.version}'
        if answer.whole:
            expected = tokens.expected_text(name, 'clerk', prompt, max_tokens)
            answer.error = _find_mismatch(expected, answer.value)
        return answer

    async def _look_up(self, org, key, rng, instance=None):
        marker = self._next_marker('claim')
        answer = self._begin('lookup', org, key, marker, rng, instance)
        await self._send(answer, 'GET', f'/claims/{marker}', None, {})
        if answer.whole:
            answer.error = _find_mismatch(marker, answer.value.get('id'))
        return answer

    async def _post(self, org, key, rng):
        marker = self._next_marker('post')
        answer = self._begin('unkeyed', org, key, marker, rng)
        await self._send(answer, 'POST', '/issues', {'n': marker}, {})

    async def _post_keyed(self, org, key, rng):
        marker = self._next_marker('keyed')
        self._keyed_posts.append((org, key, marker))
        async with anyio.create_task_group() as group:
            for _ in range(rng.choice((1, 1, 2, 3))):
                group.start_soon(self._send_keyed, org, key, rng, marker)
        if rng.random() < 0.5:
            repeated = rng.choice(self._keyed_posts)
            await self._send_keyed(repeated[0], repeated[1], rng, repeated[2])

    async def _send_keyed(self, org, key, rng, marker, instance=None):
        answer = self._begin('keyed', org, key, marker, rng, instance)
        headers = {'Idempotency-Key': f'key-{marker}'}
        await self._send(answer, 'POST', '/issues', {'n': marker}, headers)
        return answer

    def _begin(self, kind, org, key, marker, rng, instance=None):
        if instance is None:
            nodes = self.fleet.running_nodes('running', 'paused', 'stopping')
            instance = rng.choice(sorted(n.name for n in nodes))
        now = anyio.current_time()
        answer = Answer(kind, org, key, instance, marker, now)
        self.answers.append(answer)
        return answer

    async def _send(self, answer, method, path, body, headers):
        address = self.fleet.nodes[answer.instance].addresses['callers']
        headers = {**headers, 'Authorization': f'Bearer {answer.key}'}
        try:
            with anyio.fail_after(CALL_TIMEOUT_S):
                response = await self.client.request(
                    method,
                    f'http://{address}{path}',
                    json=body,
                    headers=headers,
                )
        except (httpx.HTTPError, TimeoutError) as exc:
            answer.broken = repr(exc)
            answer.broken_at = anyio.current_time()
            return
        answer.ended_at = anyio.current_time()
        answer.status = response.status_code
        if 'event-stream' in response.headers.get('content-type', ''):
            _read_stream(answer, response.text)
        else:
            _read_value(answer, response)


def _find_mismatch(expected, actual):
    if expected == actual:
        return None
    return {'kind': 'wrong_answer', 'expected': expected, 'got': actual}


def _read_value(answer, response):
    answer.value = response.json()
    if response.status_code < 400:
        answer.whole, answer.tokens = True, 1
    else:
        answer.error = answer.value['error']


def _read_stream(answer, text):
    texts = []
    for line in text.splitlines():
        if line == 'data: [DONE]':
            answer.whole = True
        elif line.startswith('data: '):
            value = json.loads(line.removeprefix('data: '))
            if 'error' in value:
                answer.error = value['error']
            texts += [c['text'] for c in value.get('choices', ())]
            usage = value.get('usage') or {}
            answer.tokens = usage.get('total_tokens', answer.tokens)
    answer.value = ''.join(texts)
