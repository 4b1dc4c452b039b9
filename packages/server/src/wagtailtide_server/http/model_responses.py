"""Responses of models to callers: streamed or buffered."""

import json

import anyio

from wagtailtide_server.http import errors
from wagtailtide_server.upstream import sse

KEEP_ALIVE_INTERVAL_S = 5.0


class StreamingResponse:
    """Response that passes each event on as it arrives."""

    def __init__(self, exchange, requested_model):
        """Create the response.

        Args:
            exchange: The Exchange.
            requested_model: Name of the model as the caller requested it.
        """
        self._exchange = exchange
        self._requested_model = requested_model
        self._last_write_at = anyio.current_time()

    async def _start(self):
        if not self._exchange.started:
            await self._exchange.start(
                200,
                [
                    (b'content-type', b'text/event-stream'),
                    (b'cache-control', b'no-store'),
                    (b'x-request-id', self._exchange.request_id.encode()),
                ],
            )

    async def add(self, value):
        """Send an event with the caller's request id and model name."""
        value = {**value, 'id': self._exchange.request_id}
        value['model'] = self._requested_model
        await self._write(sse.write_event(value))

    async def _write(self, data):
        self._last_write_at = anyio.current_time()
        await self._start()
        await self._exchange.write(data)

    async def keep_alive(self):
        """Write a comment after each interval in which nothing was written."""
        while True:
            due_at = self._last_write_at + KEEP_ALIVE_INTERVAL_S
            await anyio.sleep_until(due_at)
            if (
                self._last_write_at + KEEP_ALIVE_INTERVAL_S
                <= anyio.current_time()
            ):
                await self._write(sse.KEEP_ALIVE)

    async def finish(self):
        """End a response that is complete."""
        await self._start()
        await self._exchange.end(sse.DONE_EVENT)

    async def fail(self, error):
        """End the response with an error event.

        Raises:
            ServingError: The error itself if the response has not started.
        """
        if not self._exchange.started:
            raise error
        self._exchange.outcome = error.kind.value
        body = errors.error_body(error, self._exchange.request_id)
        await self._exchange.end(sse.write_event(body, 'error'))


class BufferedResponse:
    """Response that collects all events into one JSON object."""

    def __init__(self, exchange, requested_model):
        """Create the response; see StreamingResponse."""
        self._exchange = exchange
        self._requested_model = requested_model
        self._value = {}
        self._choices = {}

    async def add(self, value):
        """Merge an event into the response."""
        shared = {k: v for k, v in value.items() if k not in _PER_EVENT_FIELDS}
        self._value.update(shared)
        for choice in value.get('choices', ()):
            index = choice.get('index', 0)
            _merge(self._choices.setdefault(index, {}), choice)

    async def keep_alive(self):
        """Do nothing: a response with a length cannot carry comments."""

    async def finish(self):
        """Send the response."""
        value = {
            'id': self._exchange.request_id,
            **self._value,
            'model': self._requested_model,
            'choices': [
                _buffered_choice(choice)
                for _, choice in sorted(self._choices.items())
            ],
        }
        kind = value.get('object')
        if isinstance(kind, str):
            value['object'] = kind.removesuffix('.chunk')
        await self._exchange.respond(
            200,
            [
                (b'content-type', b'application/json'),
                (b'x-request-id', self._exchange.request_id.encode()),
            ],
            json.dumps(value).encode(),
        )

    async def fail(self, error):
        """Raise the error, because nothing has been sent yet."""
        raise error


_PER_EVENT_FIELDS = frozenset({'id', 'offset', 'choices', 'model'})
_REPLACED_FIELDS = frozenset({'index', 'finish_reason', 'role', 'id', 'type'})


def _merge(target, part):
    """Merge part of an event: concatenate texts, merge lists by index."""
    for name, value in part.items():
        current = target.get(name)
        if current is None or name in _REPLACED_FIELDS:
            target[name] = value if value is not None else current
        elif isinstance(current, str) and isinstance(value, str):
            target[name] = current + value
        elif isinstance(current, dict) and isinstance(value, dict):
            _merge(current, value)
        elif isinstance(current, list) and isinstance(value, list):
            _merge_lists(current, value)
        elif value is not None:
            target[name] = value


def _merge_lists(current, added):
    by_index = {
        item['index']: item
        for item in current
        if isinstance(item, dict) and 'index' in item
    }
    for item in added:
        existing = by_index.get(item.get('index')) if by_index else None
        if existing is not None:
            _merge(existing, item)
        else:
            current.append(item)


def _buffered_choice(choice):
    if 'delta' in choice:
        choice = dict(choice)
        choice['message'] = choice.pop('delta')
    return choice
