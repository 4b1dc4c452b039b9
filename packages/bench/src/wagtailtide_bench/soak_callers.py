"""Callers of soak runs and the record of their answers."""

import dataclasses
import json

import anyio
import httpx
from wagtailtide_testing import fleet as fleets
from wagtailtide_testing.standins import tokens

CALL_TIMEOUT_S = 25.0
PAUSE_S = 0.4
SHORT_TOKENS = 12
MODEL = fleets.MODEL


@dataclasses.dataclass
class Answer:
    """One request of a caller and what came back.

    Attributes:
        kind: stream, lookup, keyed or unkeyed.
        organisation: Organisation of the key.
        key: The key.
        instance: Instance that it was sent to.
        marker: Unique text in the request; keyed repeats share it.
        sent_at: Time of sending.
        ended_at: Time of the end of the answer, or None.
        status: HTTP status, or None if none arrived.
        error: The error object of a refusal, also inside a stream.
        value: JSON value, or the text of a stream.
        whole: Whether the answer ended normally.
        tokens: Tokens of the usage, or of the post.
        broken: What ended the connection, or None.
        broken_at: Time of that.
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
        """The fate that the answer states, or None."""
        return None if self.error is None else self.error.get('fate')


class Callers:
    """Sends requests to a fleet and records the answers.

    Attributes:
        answers: All answers.
    """

    def __init__(self, fleet, faults, presented):
        self.fleet, self.faults = fleet, faults
        self.answers = []
        self._presented = presented
        self._count = 0
        self._posted = []
        self.client = httpx.AsyncClient(
            trust_env=False,
            timeout=CALL_TIMEOUT_S,
            limits=httpx.Limits(max_keepalive_connections=0),
        )

    async def run(self, org, rng, until):
        """Send requests of one organisation until a time in seconds."""
        actions = (self._stream, self._look_up, self._post, self._post_keyed)
        while anyio.current_time() < until:
            key = rng.choice(self._presented[org])
            action = rng.choice(actions)
            await action(org, key, rng)
            await anyio.sleep(rng.uniform(0, PAUSE_S))

    async def repeat_poison(self, org, rng, until):
        """Send each prompt that crashes engines again and again."""
        while anyio.current_time() < until:
            for prompt in sorted(self.faults.poisoned):
                key = self._presented[org][0]
                await self._send_stream(org, key, rng, prompt)
            await anyio.sleep(1.0)

    async def repeat_all(self, rng):
        """Send every keyed post once more and yield the answers."""
        for org, key, marker in list(self._posted):
            yield await self._send_keyed(org, key, rng, marker)

    async def probe(self, org):
        """Send one request of each kind to each instance."""
        for name in self.fleet.nodes:
            key = self._presented[org][0]
            self._count += 1
            marker = f'probe-{self._count}'
            yield await self._look_up(org, key, None, name)
            yield await self._send_stream(
                org, key, None, marker, instance=name
            )
            yield await self._send_keyed(org, key, None, marker, name)

    def _mark(self, kind):
        self._count += 1
        return f'{kind}-{self._count}-'

    async def _stream(self, org, key, rng):
        prompt = self._mark('prompt') * rng.randint(1, 3)
        # Long ones are in flight when faults begin; the second organisation
        # could not pay for them with its burst.
        limit = rng.choice((5, 20, 60, 200 if org == 'tiles' else 60))
        await self._send_stream(org, key, rng, prompt, limit)

    async def _send_stream(
        self, org, key, rng, prompt, limit=SHORT_TOKENS, instance=None
    ):
        body = {
            'model': f'{MODEL.name}:clerk',
            'prompt': prompt,
            'max_tokens': limit,
            'stream': True,
        }
        answer = self._begin('stream', org, key, prompt, rng, instance)
        await self._send(answer, 'POST', '/v1/completions', body, {})
        name = f'{MODEL.name}@{MODEL.version}'
        if answer.whole:
            expected = tokens.expected_text(name, 'clerk', prompt, limit)
            answer.error = _compare(expected, answer.value)
        return answer

    async def _look_up(self, org, key, rng, instance=None):
        marker = self._mark('claim')
        answer = self._begin('lookup', org, key, marker, rng, instance)
        await self._send(answer, 'GET', f'/claims/{marker}', None, {})
        if answer.whole:
            answer.error = _compare(marker, answer.value.get('id'))
        return answer

    async def _post(self, org, key, rng):
        marker = self._mark('post')
        answer = self._begin('unkeyed', org, key, marker, rng)
        await self._send(answer, 'POST', '/issues', {'n': marker}, {})

    async def _post_keyed(self, org, key, rng):
        marker = self._mark('keyed')
        self._posted.append((org, key, marker))
        async with anyio.create_task_group() as group:
            for _ in range(rng.choice((1, 1, 2, 3))):
                group.start_soon(self._send_keyed, org, key, rng, marker)
        if rng.random() < 0.5:
            again = rng.choice(self._posted)
            await self._send_keyed(again[0], again[1], rng, again[2])

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
        address = self.fleet.nodes[answer.instance].ports['callers']
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


def _compare(expected, got):
    if expected == got:
        return None
    return {'kind': 'wrong_answer', 'expected': expected, 'got': got}


def _read_value(answer, response):
    answer.value = response.json()
    if response.status_code < 400:
        answer.whole, answer.tokens = True, 1
    else:
        answer.error = answer.value['error']


def _read_stream(answer, text):
    parts = []
    for line in text.splitlines():
        if line == 'data: [DONE]':
            answer.whole = True
        elif line.startswith('data: '):
            value = json.loads(line.removeprefix('data: '))
            if 'error' in value:
                answer.error = value['error']
            parts += [c['text'] for c in value.get('choices', ())]
            usage = value.get('usage') or {}
            answer.tokens = usage.get('total_tokens', answer.tokens)
    answer.value = ''.join(parts)
