"""Parser and writer of server-sent events."""

import dataclasses
import json

MAX_EVENT_BYTES = 1_048_576
KEEP_ALIVE = b': keep-alive\n\n'
DONE = b'data: [DONE]\n\n'


class EventTooLongError(Exception):
    """An event is longer than MAX_EVENT_BYTES."""


@dataclasses.dataclass(frozen=True)
class Event:
    """One event: its type and its data."""

    type: str
    data: str


class Parser:
    """Turn chunks into events; comments are dropped."""

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
        # A carriage return at the end may be half of a line end.
        text = self._buffer.replace(b'\r\n', b'\n')
        *lines, rest = text.split(b'\n')
        self._buffer = rest
        for line in lines:
            event = self._take_line(line)
            if event is not None:
                events.append(event)
        if len(rest) + sum(map(len, self._data)) > MAX_EVENT_BYTES:
            raise EventTooLongError(
                f'expected events of at most {MAX_EVENT_BYTES} bytes'
            )
        return events

    def _take_line(self, line):
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
    """Return an event in bytes.

    Args:
        value: JSON value of its data.
        event_type: Its type, or None for the default.
    """
    head = f'event: {event_type}\n' if event_type else ''
    data = json.dumps(value, separators=(',', ':'))
    return f'{head}data: {data}\n\n'.encode()
