"""Splits server-sent event streams at event boundaries."""

import re

_END = re.compile(rb'\r?\n\r?\n')
_ID = re.compile(rb'(?:^|\n)id:[ ]?([^\r\n]*)')


class EventSplitter:
    """Splits a stream into complete events and tracks the last event id.

    A stream that may be resumed at another server is forwarded in complete
    events only, because a server may fail in the middle of one.

    Attributes:
        last_id: Id of the last complete event, or None.
        count: Number of complete events so far.
    """

    def __init__(self, last_id=None):
        self._partial = b''
        self.last_id = last_id
        self.count = 0

    def feed(self, data):
        """Add received bytes; return the events they complete, as bytes."""
        buffer = self._partial + data
        end = 0
        for match in _END.finditer(buffer):
            end = match.end()
            self.count += 1
        complete, self._partial = buffer[:end], buffer[end:]
        ids = _ID.findall(complete)
        if ids:
            self.last_id = ids[-1].decode('latin-1')
        return complete

    def take_partial(self):
        """Remove and return the bytes after the last complete event."""
        partial, self._partial = self._partial, b''
        return partial
