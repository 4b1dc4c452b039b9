"""Parser and serializer of server-sent events."""

import dataclasses
import json

MAX_EVENT_BYTES = 1_048_576
KEEP_ALIVE = b': keep-alive\n\n'
DONE_EVENT = b'data: [DONE]\n\n'


class EventTooLongError(Exception):
    """An event is longer than MAX_EVENT_BYTES."""


@dataclasses.dataclass(frozen=True)
class Event:
    """One event.

    Attributes:
        type: Event type, empty for the default.
        data: Its data lines, joined by newlines.
    """

    type: str
    data: str


class Parser:
    """Incremental parser that turns chunks into events and drops comments."""

    def __init__(self):
        self._buffer = b''
        self._type = ''
        self._data = []

    def feed(self, chunk):
        """Return the events that a chunk completes.

        Raises:
            EventTooLongError: If an event exceeds the limit.
        """
        self._buffer += chunk
        events = []
        # A trailing carriage return may be the first half of a line ending, so
        # it stays in the buffer.
        text = self._buffer.replace(b'\r\n', b'\n')
        *lines, rest = text.split(b'\n')
        self._buffer = rest
        for line in lines:
            event = self._process_line(line)
            if event is not None:
                events.append(event)
        if len(rest) + sum(map(len, self._data)) > MAX_EVENT_BYTES:
            raise EventTooLongError(
                f'expected events of at most {MAX_EVENT_BYTES} bytes, got a '
                'longer one'
            )
        return events

    def _process_line(self, line):
        if not line:
            event = None
            if self._data:
                event = Event(self._type, '\n'.join(self._data))
            self._type, self._data = '', []
            return event
        name, _, value = line.partition(b':')
        text = value.removeprefix(b' ').decode('utf-8', 'replace')
        if name == b'data':
            self._data.append(text)
        elif name == b'event':
            self._type = text
        return None


def write_event(value, event_type=None):
    """Return a serialized event in bytes.

    Args:
        value: JSON value for its data.
        event_type: Its type, or None for the default.
    """
    head = f'event: {event_type}\n' if event_type else ''
    data = json.dumps(value, separators=(',', ':'))
    return f'{head}data: {data}\n\n'.encode()
