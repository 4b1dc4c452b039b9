"""Splits server-sent event streams at event boundaries."""

import re

_END = re.compile(rb'\r?\n\r?\n')
_ID = re.compile(rb'(?:^|\n)id:[ ]?([^\r\n]*)')
# Fields of an event, and lines that are comments.
_FIELDS = re.compile(rb'(?:[\w-]*:[^\r\n]*|)(?:\r?\n(?:[\w-]*:[^\r\n]*|))*')
_COMMENTS = re.compile(rb'(?::[^\r\n]*|)(?:\r?\n(?::[^\r\n]*|))*')


# Largest event. One that holds all tokens of a long answer fits.
MAX_EVENT_BYTES = 262_144

# Bytes of the longest end of an event, less one.
_END_OVERLAP = 3


class EventSplitter:
    """Splits a stream into complete events and tracks the last event id.

    A stream that may be resumed at another server is forwarded in complete
    events only, because a server may fail in the middle of one, and another
    one may answer with something else.

    Attributes:
        last_id: Id of the last complete event, or None.
        count: Number of complete events so far.
        is_broken: Whether bytes followed that are no event, or one that is
            too large. They and all after them are held back or dropped.
    """

    def __init__(self, last_id=None):
        self._partial = bytearray()
        self.last_id = last_id
        self.count = 0
        self.is_broken = False

    def feed(self, data):
        """Add received bytes; return the events they complete, as bytes."""
        if self.is_broken:
            return b''
        buffer = self._partial
        searched = max(0, len(buffer) - _END_OVERLAP)
        buffer += data
        end = 0
        for match in _END.finditer(buffer, searched):
            if not _is_event(buffer[end : match.start()]):
                self.is_broken = True
                break
            end = match.end()
            self.count += 1
        complete = bytes(buffer[:end])
        del buffer[:end]
        if len(buffer) > MAX_EVENT_BYTES:
            self.is_broken = True
        ids = _ID.findall(complete)
        if ids:
            self.last_id = ids[-1].decode('latin-1')
        return complete

    def take_partial(self):
        """Remove and return the bytes after the last complete event.

        What another server sends is split anew.
        """
        partial, self._partial = self._partial, bytearray()
        self.is_broken = False
        return bytes(partial)


def _is_event(block):
    """Return whether a block has only fields, with an id, or comments."""
    if _FIELDS.fullmatch(block) is None:
        return False
    return (
        _ID.search(block) is not None or _COMMENTS.fullmatch(block) is not None
    )
