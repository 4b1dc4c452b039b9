"""Structured logging that never blocks the process."""

import logging
import os
import sys
import time

import logfmter

# Lines beyond this number in one second are dropped and counted. The limit is
# about twice the peak request rate of one instance.
MAX_LINES_PER_S = 400

# Warnings and errors beyond the lines of that second are written up to this
# number, because callers can cause errors, too.
MAX_WARNINGS_PER_S = 100

# Longer values are cut. Ids and names come from callers, whose heads may have
# many kilobytes.
MAX_VALUE_CHARS = 500

_KEYS = ('at', 'level', 'logger', 'event')
_MAPPING = {
    'at': 'created',
    'level': 'levelname',
    'logger': 'name',
    'event': 'msg',
}


class NonBlockingHandler(logging.Handler):
    """Writes lines to a file descriptor and drops those that would block.

    Attributes:
        dropped: Number of lines dropped so far.
    """

    def __init__(self, fd, clock):
        super().__init__()
        self._fd = fd
        self._clock = clock
        self._second = None
        self._written = 0
        self.dropped = 0
        os.set_blocking(fd, False)

    def emit(self, record):
        """Write one record unless the rate is exceeded or it would block."""
        second = int(self._clock())
        if second != self._second:
            self._second, self._written = second, 0
        limit = MAX_LINES_PER_S
        if record.levelno >= logging.WARNING:
            limit += MAX_WARNINGS_PER_S
        if self._written >= limit:
            self.dropped += 1
            return
        self._written += 1
        _cut_long_values(record)
        line = (self.format(record) + '\n').encode()
        try:
            os.write(self._fd, line)
        except BlockingIOError:
            self.dropped += 1
        except OSError:
            # The reader closed the pipe; continue to serve without logs.
            self.dropped += 1


def _cut_long_values(record):
    for name, value in tuple(vars(record).items()):
        if isinstance(value, str) and len(value) > MAX_VALUE_CHARS:
            setattr(record, name, value[:MAX_VALUE_CHARS] + '...')


def set_up(instance, level=logging.INFO, fd=None, clock=time.monotonic):
    """Configure the root logger to write key=value lines.

    Args:
        instance: Name of the instance, added to each line.
        level: Lowest level that is written.
        fd: File descriptor to write to, standard output if None.
        clock: Function that returns seconds, for the rate limit.

    Returns:
        The NonBlockingHandler.
    """
    handler = NonBlockingHandler(
        sys.stdout.fileno() if fd is None else fd, clock
    )
    handler.setFormatter(logfmter.Logfmter(keys=_KEYS, mapping=_MAPPING))

    def add_instance(record):
        record.instance = instance
        return True

    handler.addFilter(add_instance)
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
    return handler
