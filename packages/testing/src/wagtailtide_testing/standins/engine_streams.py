"""Answers of an engine to completions and chat completions."""

import contextlib
import dataclasses
import json

import anyio

from wagtailtide_testing.standins import accelerator
from wagtailtide_testing.standins import asgi
from wagtailtide_testing.standins import engine_settings
from wagtailtide_testing.standins import tokens

KEEP_ALIVE_S = 1.0
DEFAULT_MAX_TOKENS = 16

_OTHER_ID = 'request-of-another-caller'


@dataclasses.dataclass
class Job:
    """One request being answered.

    Attributes:
        request_id: Id that the sender gave.
        answer_id: Id in the answer; another one when answers are crossed.
        model: ``name@version``.
        adapter: Adapter name or None.
        prompt: Prompt text.
        chat: Whether it is a chat completion.
        stream: Whether the answer is streamed.
        priority: Priority as received.
        offset: First token to send.
        length: Number of tokens of the whole answer, from 0.
        finish_reason: Why the answer ends at its length.
        scope: Cancels the answer.
        cut_at: Token at which the stream is cut, or None.
    """

    request_id: str
    answer_id: str
    model: str
    adapter: str | None
    prompt: str
    chat: bool
    stream: bool
    priority: object
    offset: int
    length: int
    finish_reason: str
    scope: anyio.CancelScope
    cut_at: int | None = None

    def token(self, index):
        """Return the text of one token."""
        return tokens.token_at(self.model, self.adapter, self.prompt, index)

    def usage(self):
        """Return the usage of the whole answer, also after a resume."""
        prompt = tokens.count_prompt_tokens(self.prompt)
        return {
            'prompt_tokens': prompt,
            'completion_tokens': self.length,
            'total_tokens': prompt + self.length,
        }


async def answer(engine, req, chat):
    """Answer one request of an engine."""
    job = _make_job(engine, req, chat)
    if engine.faults.late_answers_s:
        await anyio.sleep(engine.faults.late_answers_s)
        engine.advance(anyio.current_time())
    try:
        async with _admitted(engine, job) as fetch_s:
            await _run(engine, req, job, fetch_s)
    except engine_settings.Refusal as exc:
        await req.reply(exc.status, exc.as_value(), _headers(engine, job))


def _make_job(engine, req, chat):
    body = req.json()
    model = body.get('model', '')
    if not isinstance(model, str) or '@' not in model:
        raise asgi.BadRequest('expected a model as name@version')
    adapter, prompt = body.get('adapter'), tokens.prompt_text(body)
    request_id = req.header('x-request-id') or f'{engine.rng.random()}'
    answer_id = request_id
    if asgi.take_one(engine.faults, 'crossed_answers'):
        answer_id, prompt = _OTHER_ID, prompt + _OTHER_ID
    limit = body.get('max_tokens')
    if limit is None:
        limit = body.get('max_completion_tokens', DEFAULT_MAX_TOKENS)
    length = tokens.answer_length(model, adapter, prompt, int(limit))
    return Job(
        request_id=request_id,
        answer_id=answer_id,
        model=model,
        adapter=adapter,
        prompt=prompt,
        chat=chat,
        stream=bool(body.get('stream', False)),
        priority=body.get('priority'),
        offset=int(body.get('resume_offset') or 0),
        length=length,
        finish_reason='length' if length == limit else 'stop',
        scope=anyio.CancelScope(),
    )


@contextlib.asynccontextmanager
async def _admitted(engine, job):
    """Hold what a request needs; yield the time its adapter takes."""
    if engine.faults.draining:
        raise engine_settings.Refusal(503, 'draining', 'being stopped')
    batch = engine.batch
    if not batch.is_free() and batch.waiting >= engine.settings.max_waiting:
        raise engine_settings.Refusal(503, 'over_capacity', 'queue is full')
    memory, now = engine.accelerator, anyio.current_time()
    fetch_s = _fetch_adapter(engine, job, now)
    held = memory.check_ready(job.model, job.adapter)
    for item in held:
        item.users += 1
        item.used_at = now
    jobs = engine.jobs
    jobs[job.request_id] = job
    try:
        yield fetch_s
    finally:
        if jobs.get(job.request_id) is job:
            del jobs[job.request_id]
        for item in held:
            item.users -= 1
        if engine.accelerator is memory:
            now = anyio.current_time()
            freed = memory.free_unused(now)
            engine.changed(now, load_only=not freed)


def _fetch_adapter(engine, job, now):
    memory = engine.accelerator
    if job.adapter is None or not engine.settings.fetches_adapters:
        return 0.0
    if (job.model, job.adapter) in memory.adapters:
        return 0.0
    size = engine.settings.adapter_bytes
    held = memory.add_adapter(job.model, job.adapter, size, now)
    held.state = accelerator.READY
    engine.record['adapter_fetches'] += 1
    return engine.adapters.fetch(now)


async def _run(engine, req, job, fetch_s):
    """Answer within a scope that ends when the client goes or cancels."""
    with job.scope:
        req.cancel_when_gone(job.scope)
        await _generate(engine, req, job, fetch_s)
        return
    engine.record['cancelled'] += 1
    raise asgi.DropConnection


async def _generate(engine, req, job, fetch_s):
    if job.stream:
        output = _Stream(req, job)
        await req.start(
            200,
            [
                ('content-type', 'text/event-stream'),
                *_headers(engine, job),
            ],
        )
    else:
        output = _Whole()
    if asgi.take_one(engine.faults, 'cut_streams'):
        job.cut_at = job.offset + max(0, engine.faults.cut_after_tokens)
    async with engine.batch.slot(job.priority, output.wait):
        engine.changed(anyio.current_time(), load_only=True)
        await output.sleep(fetch_s + _prefill_s(engine, job))
        _crash_if_told(engine, req, job)
        await _send_tokens(engine, job, output)
    engine.changed(anyio.current_time(), load_only=True)
    if job.stream:
        await output.end()
    else:
        value = _whole_answer(job, ''.join(output.parts))
        await req.reply(200, value, _headers(engine, job))


async def _send_tokens(engine, job, output):
    for index in range(job.offset, job.length):
        await output.sleep(_token_s(engine))
        if index == job.cut_at:
            raise asgi.DropConnection
        engine.record['tokens'] += 1
        await output.token(index, job.token(index))
    if job.cut_at is not None:
        raise asgi.DropConnection


def _prefill_s(engine, job):
    now = anyio.current_time()
    cached = engine.cache.use(job.model, job.adapter, job.prompt, now)
    count = tokens.count_prompt_tokens(job.prompt) * (1 - cached)
    # The tokens before the offset are prefilled too.
    return (count + job.offset) * engine.settings.prefill_token_s


def _token_s(engine):
    cfg = engine.settings
    others = max(0, engine.batch.running - 1)
    return cfg.token_s * (1 + cfg.token_growth * others)


def _crash_if_told(engine, req, job):
    crash_on = engine.faults.crash_on
    if crash_on and crash_on in job.prompt:
        engine.crash(anyio.current_time(), keep=req.connection)
        raise asgi.DropConnection


def _headers(engine, job):
    load = f'running={engine.batch.running},waiting={engine.batch.waiting}'
    return [('x-request-id', job.answer_id), ('x-load', load)]


def _whole_answer(job, text):
    choice = {'index': 0, 'finish_reason': job.finish_reason}
    if job.chat:
        choice['message'] = {'role': 'assistant', 'content': text}
    else:
        choice['text'] = text
    return {
        'id': job.answer_id,
        'object': 'chat.completion' if job.chat else 'text_completion',
        'model': job.model,
        'offset': job.offset,
        'choices': [choice],
        'usage': job.usage(),
    }


class _Whole:
    """Collects the tokens of an answer that is sent as one."""

    def __init__(self):
        self.parts = []

    async def wait(self, event):
        await event.wait()

    async def sleep(self, time_s):
        await anyio.sleep(time_s)

    async def token(self, _index, text):
        self.parts.append(text)


class _Stream:
    """Sends events, and comments while there is nothing to send."""

    def __init__(self, req, job):
        self._req = req
        self._job = job

    async def wait(self, event):
        while not event.is_set():
            with anyio.move_on_after(KEEP_ALIVE_S):
                await event.wait()
                return
            await self._req.write(b': keep-alive\n\n')

    async def sleep(self, time_s):
        while time_s > KEEP_ALIVE_S:
            await anyio.sleep(KEEP_ALIVE_S)
            await self._req.write(b': keep-alive\n\n')
            time_s -= KEEP_ALIVE_S
        await anyio.sleep(time_s)

    async def token(self, index, text):
        piece = {'content': text}
        if index == 0:
            piece = {'role': 'assistant', **piece}
        await self._event(index, piece, text, None)

    async def end(self):
        job = self._job
        usage = {'usage': job.usage()}
        await self._event(job.length, {}, '', job.finish_reason, usage)
        await self._req.write(b'data: [DONE]\n\n', more=False)

    async def _event(self, offset, delta, text, finish_reason, extra=None):
        choice = {'index': 0, 'finish_reason': finish_reason}
        if self._job.chat:
            choice['delta'] = delta
        else:
            choice['text'] = text
        kind = 'chat.completion.chunk' if self._job.chat else 'text_completion'
        value = {
            'id': self._job.answer_id,
            'object': kind,
            'model': self._job.model,
            'offset': offset,
            'choices': [choice],
            **(extra or {}),
        }
        await self._req.write(f'data: {json.dumps(value)}\n\n'.encode())
