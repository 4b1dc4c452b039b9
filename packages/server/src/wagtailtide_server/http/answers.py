"""Answers of models to callers: streamed or whole."""

import json

import anyio

from wagtailtide_server.http import errors
from wagtailtide_server.upstream import sse

KEEP_ALIVE_S = 5.0


class StreamedAnswer:
    """Pass events on as they come."""

    def __init__(self, exchange, named):
        """Create the answer.

        Args:
            exchange: The Exchange.
            named: Model as the caller named it.
        """
        self._exchange = exchange
        self._named = named
        self._written_at = anyio.current_time()

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
        """Pass one event on under the caller's request id."""
        value = {**value, 'id': self._exchange.request_id}
        value['model'] = self._named
        await self._write(sse.write_event(value))

    async def _write(self, data):
        self._written_at = anyio.current_time()
        await self._start()
        await self._exchange.write(data)

    async def keep_alive(self):
        """Write a comment whenever nothing was written for a while."""
        while True:
            due = self._written_at + KEEP_ALIVE_S
            await anyio.sleep_until(due)
            if self._written_at + KEEP_ALIVE_S <= anyio.current_time():
                await self._write(sse.KEEP_ALIVE)

    async def finish(self):
        """End a whole answer."""
        await self._start()
        await self._exchange.end(sse.DONE_EVENT)

    async def fail(self, error):
        """End with an error; as an event once the response has started."""
        if not self._exchange.started:
            raise error
        self._exchange.outcome = error.kind.value
        body = errors.error_body(error, self._exchange.request_id)
        await self._exchange.end(sse.write_event(body, 'error'))


class WholeAnswer:
    """Collect events into one JSON object."""

    def __init__(self, exchange, named):
        """Create the answer; see StreamedAnswer."""
        self._exchange = exchange
        self._named = named
        self._value = {}
        self._choices = {}

    async def add(self, value):
        """Add one event."""
        plain = {k: v for k, v in value.items() if k not in _PER_EVENT}
        self._value.update(plain)
        for choice in value.get('choices', ()):
            index = choice.get('index', 0)
            _merge(self._choices.setdefault(index, {}), choice)

    async def keep_alive(self):
        """Do nothing: a response with a length cannot carry comments."""

    async def finish(self):
        """Send the answer."""
        value = {
            'id': self._exchange.request_id,
            **self._value,
            'model': self._named,
            'choices': [
                _whole_choice(choice)
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
        """Raise the error; nothing was sent."""
        raise error


_PER_EVENT = frozenset({'id', 'offset', 'choices', 'model'})
_REPLACED = frozenset({'index', 'finish_reason', 'role', 'id', 'type'})


def _merge(into, part):
    """Merge an event's part: texts are joined, lists go by index."""
    for name, value in part.items():
        old = into.get(name)
        if old is None or name in _REPLACED:
            into[name] = value if value is not None else old
        elif isinstance(old, str) and isinstance(value, str):
            into[name] = old + value
        elif isinstance(old, dict) and isinstance(value, dict):
            _merge(old, value)
        elif isinstance(old, list) and isinstance(value, list):
            _merge_lists(old, value)
        elif value is not None:
            into[name] = value


def _merge_lists(old, new):
    by_index = {
        item['index']: item
        for item in old
        if isinstance(item, dict) and 'index' in item
    }
    for item in new:
        known = by_index.get(item.get('index')) if by_index else None
        if known is not None:
            _merge(known, item)
        else:
            old.append(item)


def _whole_choice(choice):
    if 'delta' in choice:
        choice = dict(choice)
        choice['message'] = choice.pop('delta')
    return choice
