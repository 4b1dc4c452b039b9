"""Boundaries and identifiers of the events of a stream."""

import re

_END = re.compile(rb'\r?\n\r?\n')
_ID = re.compile(rb'(?:^|\n)id:[ ]?([^\r\n]*)')


class EventSplitter:
    """Splits a stream into whole events and notes the last identifier.

    Only whole events are passed on where a stream may go on at another
    server, because a server may stop in the middle of one.

    Attributes:
        last_id: Identifier of the last whole event, or None.
        count: Whole events so far.
    """

    def __init__(self, last_id=None):
        self._rest = b''
        self.last_id = last_id
        self.count = 0

    def feed(self, data):
        """Return the whole events that the stream has reached, as bytes."""
        buffer = self._rest + data
        end = 0
        for match in _END.finditer(buffer):
            end = match.end()
            self.count += 1
        whole, self._rest = buffer[:end], buffer[end:]
        ids = _ID.findall(whole)
        if ids:
            self.last_id = ids[-1].decode('latin-1')
        return whole

    def take_rest(self):
        """Return the bytes after the last whole event."""
        rest, self._rest = self._rest, b''
        return rest
