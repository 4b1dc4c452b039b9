"""Structured logs, one key=value line for each event."""

import logging
import sys

import logfmter

FORMAT_KEYS = ('at', 'level', 'logger', 'event')
FIELD_MAPPING = {
    'at': 'asctime',
    'level': 'levelname',
    'logger': 'name',
    'event': 'msg',
}

# At level info these log a line for each request or connection.
QUIET_LOGGERS = (
    'httpcore',
    'httpx',
    'wagtailtide_server.hypercorn',
    'websockets',
)


def set_up(level, instance, stream=None):
    """Send log records to a stream as key=value lines.

    Args:
        level: Level of the logging module; lower ones are not written.
        instance: Name of the instance, added to each line.
        stream: Text stream; standard error if None.
    """
    handler = logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(
        logfmter.Logfmter(
            keys=list(FORMAT_KEYS),
            mapping=FIELD_MAPPING,
            datefmt='%Y-%m-%dT%H:%M:%S%z',
        )
    )

    def add_instance(record):
        record.instance = instance
        return True

    handler.addFilter(add_instance)
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
    for name in QUIET_LOGGERS:
        logging.getLogger(name).setLevel(logging.WARNING)
