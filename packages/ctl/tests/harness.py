"""Shared parts of command tests: document files and a served platform."""

import contextlib
import dataclasses
import pathlib
import tempfile
import unittest

from wagtailtide_ctl import main
from wagtailtide_testing import serving
from wagtailtide_testing.standins import platform

DOCUMENT = """{ // a comment
  "service": "lahore",
  "models": [
    {"name": "m", "version": "1", "weights_bytes": 40,
     "kv_reserve_bytes": 10, "priority": %d},
  ],
  "organisations": [
    {"name": "o", "rate_tokens_per_s": %d, "burst_tokens": 9, "keys": [
      {"id": "k-1", "salt": "00000000000000aa", "hash": "%s"},
    ]},
  ],
  "backend_servers": [
    {"name": "e", "kind": "engine", "group": "g", "address": "10.0.0.1:1",
     "zone": "z", "memory_bytes": 100, "accelerators": 1},
  ],
}
"""


def render_document(priority=0, rate=5):
    """Return a valid document as text."""
    return DOCUMENT % (priority, rate, '0' * 64)


@dataclasses.dataclass
class ServedPlatform:
    """State and URL of a stand-in platform that is being served."""

    url: str
    state: platform.Platform

    @property
    def stored(self):
        """Text of the stored document, or None."""
        entry = self.state.objects.get('documents/lahore')
        return entry.value.decode() if entry else None


@contextlib.asynccontextmanager
async def serve_platform():
    """Serve a stand-in platform."""
    state = platform.Platform()
    async with serving.serve(platform.make_app(state)) as url:
        yield ServedPlatform(url, state)


async def run(*argv):
    """Run a command line and return its result."""
    return await main.run(main.parse([str(arg) for arg in argv]))


class CommandTestCase(unittest.TestCase):
    """Base class of tests with files in a temporary directory."""

    def setUp(self):
        temporary = tempfile.TemporaryDirectory()
        self.addCleanup(temporary.cleanup)
        self.directory = pathlib.Path(temporary.name)

    def file(self, text, name='lahore.jsonc'):
        """Write a file and return its path."""
        path = self.directory / name
        path.write_text(text, encoding='utf-8')
        return path
