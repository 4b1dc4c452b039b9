"""Responses of an engine to completions and chat completions."""

import contextlib
import dataclasses
import json

import anyio

from wagtailtide_testing.standins import accelerator
from wagtailtide_testing.standins import asgi
from wagtailtide_testing.standins import engine_settings
from wagtailtide_testing.standins import tokens

KEEP_ALIVE_INTERVAL_S = 1.0
DEFAULT_MAX_TOKENS = 16

_OTHER_REQUEST_ID = 'request-of-another-caller'


@dataclasses.dataclass
class Job:
    """Completion request that an engine handles.

    Attributes:
        request_id: Id chosen by the sender, or a random one.
        response_id: Id sent in the response. Differs from `request_id` if the
            response is crossed with that of another request.
        model: ``name@version``.
        adapter: Adapter name or None.
        prompt: Prompt text.
        chat: Whether it is a chat completion.
        stream: Whether the response is streamed.
        priority: Priority as received.
        offset: Index of the first token to send.
        length: Number of tokens of the whole response, counted from index 0.
        finish_reason: ``finish_reason`` of the response.
        scope: Cancels the response.
        cut_at: Index of the token before which the connection is reset, or
            None.
    """

    request_id: str
    response_id: str
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
        """Return the usage of the whole response, even if it was resumed."""
        prompt = tokens.count_prompt_tokens(self.prompt)
        return {
            'prompt_tokens': prompt,
            'completion_tokens': self.length,
            'total_tokens': prompt + self.length,
        }


async def respond(engine, req, chat):
    """Respond to a completion request.

    Args:
        engine: `engine.Engine` that runs it.
        req: `asgi.Request`.
        chat: Whether it is a chat completion.
    """
    job = _make_job(engine, req, chat)
    if engine.faults.late_answers_s:
        await anyio.sleep(engine.faults.late_answers_s)
        engine.advance(anyio.current_time())
    try:
        async with _admit(engine, job) as fetch_s:
            await _run_cancellable(engine, req, job, fetch_s)
    except engine_settings.Refusal as exc:
        await req.reply(exc.status, exc.as_value(), _headers(engine, job))


def _make_job(engine, req, chat):
    body = req.json()
    model = body.get('model', '')
    if not isinstance(model, str) or '@' not in model:
        raise asgi.BadRequest('expected a model as name@version')
    adapter, prompt = body.get('adapter'), tokens.prompt_text(body)
    request_id = req.header('x-request-id') or f'{engine.rng.random()}'
    response_id = request_id
    if asgi.consume_fault(engine.faults, 'crossed_answers'):
        response_id, prompt = _OTHER_REQUEST_ID, prompt + _OTHER_REQUEST_ID
    max_tokens = body.get('max_tokens')
    if max_tokens is None:
        max_tokens = body.get('max_completion_tokens', DEFAULT_MAX_TOKENS)
    length = tokens.response_length(model, adapter, prompt, int(max_tokens))
    return Job(
        request_id=request_id,
        response_id=response_id,
        model=model,
        adapter=adapter,
        prompt=prompt,
        chat=chat,
        stream=bool(body.get('stream', False)),
        priority=body.get('priority'),
        offset=int(body.get('resume_offset') or 0),
        length=length,
        finish_reason='length' if length == max_tokens else 'stop',
        scope=anyio.CancelScope(),
    )


@contextlib.asynccontextmanager
async def _admit(engine, job):
    """Reserve the resident models and adapters that a request needs.

    Yields:
        Seconds until its adapter has been fetched.

    Raises:
        Refusal: The request cannot run.
    """
    if engine.faults.draining:
        raise engine_settings.Refusal(503, 'draining', 'engine is draining')
    batch = engine.batch
    if (
        not batch.has_free_slot()
        and batch.waiting >= engine.settings.max_waiting
    ):
        raise engine_settings.Refusal(503, 'over_capacity', 'queue is full')
    memory, now = engine.accelerator, anyio.current_time()
    fetch_s = _fetch_adapter(engine, job, now)
    residents = memory.check_ready(job.model, job.adapter)
    for resident in residents:
        resident.active_requests += 1
        resident.last_used_at = now
    jobs = engine.jobs
    jobs[job.request_id] = job
    try:
        yield fetch_s
    finally:
        if jobs.get(job.request_id) is job:
            del jobs[job.request_id]
        for resident in residents:
            resident.active_requests -= 1
        if engine.accelerator is memory:
            now = anyio.current_time()
            freed = memory.free_unused(now)
            engine.record_change(now, counts_only=not freed)


def _fetch_adapter(engine, job, now):
    memory = engine.accelerator
    if job.adapter is None or not engine.settings.fetches_adapters:
        return 0.0
    if (job.model, job.adapter) in memory.adapters:
        return 0.0
    size_bytes = engine.settings.adapter_bytes
    resident = memory.add_adapter(job.model, job.adapter, size_bytes, now)
    resident.state = accelerator.READY
    engine.counters['adapter_fetches'] += 1
    return engine.adapter_store.fetch(now)


async def _run_cancellable(engine, req, job, fetch_s):
    """Respond until the client disconnects or cancels the request."""
    with job.scope:
        req.cancel_on_disconnect(job.scope)
        await _generate(engine, req, job, fetch_s)
        return
    engine.counters['cancelled'] += 1
    raise asgi.DropConnection


async def _generate(engine, req, job, fetch_s):
    if job.stream:
        output = _StreamedOutput(req, job)
        await req.start(
            200,
            [
                ('content-type', 'text/event-stream'),
                *_headers(engine, job),
            ],
        )
    else:
        output = _BufferedOutput()
    if asgi.consume_fault(engine.faults, 'cut_streams'):
        job.cut_at = job.offset + max(0, engine.faults.cut_after_tokens)
    async with engine.batch.slot(job.priority, output.wait):
        engine.record_change(anyio.current_time(), counts_only=True)
        await output.sleep(fetch_s + _prefill_s(engine, job))
        _crash_on_prompt(engine, req, job)
        await _send_tokens(engine, job, output)
    engine.record_change(anyio.current_time(), counts_only=True)
    if job.stream:
        await output.end()
    else:
        value = _make_completion(job, ''.join(output.parts))
        await req.reply(200, value, _headers(engine, job))


async def _send_tokens(engine, job, output):
    for index in range(job.offset, job.length):
        await output.sleep(_token_s(engine))
        if index == job.cut_at:
            raise asgi.DropConnection
        engine.counters['tokens'] += 1
        await output.token(index, job.token(index))
    if job.cut_at is not None:
        raise asgi.DropConnection


def _prefill_s(engine, job):
    now = anyio.current_time()
    cached = engine.cache.access(job.model, job.adapter, job.prompt, now)
    uncached_tokens = tokens.count_prompt_tokens(job.prompt) * (1 - cached)
    # Tokens before the offset of a resumed response are prefilled too.
    return (uncached_tokens + job.offset) * engine.settings.prefill_token_s


def _token_s(engine):
    cfg = engine.settings
    other_requests = max(0, engine.batch.running - 1)
    return cfg.token_s * (1 + cfg.token_growth * other_requests)


def _crash_on_prompt(engine, req, job):
    crash_on = engine.faults.crash_on
    if crash_on and crash_on in job.prompt:
        engine.crash(anyio.current_time(), keep_conn=req.connection)
        raise asgi.DropConnection


def _headers(engine, job):
    load_header = (
        f'running={engine.batch.running},waiting={engine.batch.waiting}'
    )
    return [('x-request-id', job.response_id), ('x-load', load_header)]


def _make_completion(job, text):
    choice = {'index': 0, 'finish_reason': job.finish_reason}
    if job.chat:
        choice['message'] = {'role': 'assistant', 'content': text}
    else:
        choice['text'] = text
    return {
        'id': job.response_id,
        'object': 'chat.completion' if job.chat else 'text_completion',
        'model': job.model,
        'offset': job.offset,
        'choices': [choice],
        'usage': job.usage(),
    }


class _BufferedOutput:
    """Collects the tokens of a response that is sent when complete."""

    def __init__(self):
        self.parts = []

    async def wait(self, event):
        await event.wait()

    async def sleep(self, delay_s):
        await anyio.sleep(delay_s)

    async def token(self, _index, text):
        self.parts.append(text)


class _StreamedOutput:
    """Sends tokens as events, and keep-alive comments while it waits."""

    def __init__(self, req, job):
        self._req = req
        self._job = job

    async def wait(self, event):
        while not event.is_set():
            with anyio.move_on_after(KEEP_ALIVE_INTERVAL_S):
                await event.wait()
                return
            await self._req.write(b': keep-alive\n\n')

    async def sleep(self, delay_s):
        while delay_s > KEEP_ALIVE_INTERVAL_S:
            await anyio.sleep(KEEP_ALIVE_INTERVAL_S)
            await self._req.write(b': keep-alive\n\n')
            delay_s -= KEEP_ALIVE_INTERVAL_S
        await anyio.sleep(delay_s)

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
        object_type = (
            'chat.completion.chunk' if self._job.chat else 'text_completion'
        )
        value = {
            'id': self._job.response_id,
            'object': object_type,
            'model': self._job.model,
            'offset': offset,
            'choices': [choice],
            **(extra or {}),
        }
        await self._req.write(f'data: {json.dumps(value)}\n\n'.encode())
