import logging
import os
import unittest

from wagtailtide_gateway import logs

# What an instance writes at most: lines in a second, and characters of a line
# with one long value.
MAX_LINES_PER_S = 500
MAX_LINE_CHARS = 1_000


class BoundedLogTest(unittest.TestCase):
    """Guards against callers that fill the disk behind the log."""

    def setUp(self):
        self._read_fd, fd = os.pipe()
        self.addCleanup(os.close, self._read_fd)
        self.addCleanup(os.close, fd)
        root = logging.getLogger()
        previous = root.handlers[:], root.level
        self.addCleanup(self._restore, root, *previous)
        self.handler = logs.set_up('i1', fd=fd, clock=lambda: 0.0)

    def _restore(self, root, handlers, level):
        root.handlers[:] = handlers
        root.setLevel(level)

    def lines(self):
        os.set_blocking(self._read_fd, False)
        return os.read(self._read_fd, 10_000_000).decode().splitlines()

    def test_long_values_are_cut(self):
        logging.info('request', extra={'request': 'x' * 16_000, 'total_ms': 5})
        (line,) = self.lines()
        self.assertLess(len(line), MAX_LINE_CHARS)
        self.assertIn('total_ms=5', line)

    def test_errors_in_one_second_are_limited(self):
        for _ in range(2 * MAX_LINES_PER_S):
            logging.error('e')
        written = len(self.lines())
        self.assertLessEqual(written, MAX_LINES_PER_S)
        self.assertEqual(self.handler.dropped, 2 * MAX_LINES_PER_S - written)

    def test_errors_are_written_beside_many_other_lines(self):
        for _ in range(2 * MAX_LINES_PER_S):
            logging.info('i')
        logging.error('e')
        self.assertIn('level=ERROR', self.lines()[-1])
