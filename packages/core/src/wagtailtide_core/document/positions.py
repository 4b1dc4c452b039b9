"""Find the line of each field in JSON with comments.

The JSON5 library does not report positions, so this scanner records them. It
also replaces comments and trailing commas by spaces, so that the standard
library can parse the text and report the line of an error.
"""

import dataclasses
import functools
import json
import re

# Unterminated comments and strings match to the end of the text. Searching for
# the end again at each of them would take quadratic time.
TOKEN = re.compile(
    r'(?P<comment>//[^\n]*|/\*(?:.*?\*/|.*))'
    r'|(?P<string>"(?:\\.|[^"\\])*"?|\'(?:\\.|[^\'\\])*\'?)'
    r'|(?P<punct>[{}\[\]:,])'
    r'|(?P<space>\s+)'
    r'|(?P<word>[^\s{}\[\]:,"\'/]+|.)',
    re.DOTALL,
)
# A path is as long as its depth, so deep nesting would take quadratic memory.
# The deepest field of the schema is at depth 6.
MAX_DEPTH = 16


@dataclasses.dataclass(frozen=True)
class Positions:
    """Positions of the fields of a document.

    Attributes:
        lines: Line, from 1, by path of field names and indexes.
        duplicates: Path and line of each repeated occurrence of a field.
        offsets: Offset in characters by name of the top-level field.
        plain: The text with spaces for comments and trailing commas.
        too_deep_line: Line at which nesting exceeds ``MAX_DEPTH`` and the
            scan stopped, or None.
    """

    lines: dict[tuple, int]
    duplicates: tuple[tuple[tuple, int], ...]
    offsets: dict[str, int]
    plain: str
    too_deep_line: int | None = None

    def line(self, path):
        """Return the line of a path, or of its nearest parent in the file."""
        path = tuple(path)
        while path and path not in self.lines:
            path = path[:-1]
        return self.lines.get(path, 1)


@dataclasses.dataclass
class _Frame:
    is_object: bool
    path: tuple
    key: str | int | None = None
    expects_key: bool = True
    seen: set = dataclasses.field(default_factory=set)


class _Scanner:
    def __init__(self):
        self.lines = {(): 1}
        self.duplicates = []
        self.offsets = {}
        self.stack = []

    def value_path(self):
        if not self.stack:
            return ()
        frame = self.stack[-1]
        return (*frame.path, frame.key)

    def start_value(self, line):
        if self.stack and not self.stack[-1].is_object:
            self.lines.setdefault(self.value_path(), line)

    def scalar(self, token, line, offset):
        frame = self.stack[-1] if self.stack else None
        if frame is None or not frame.is_object or not frame.expects_key:
            self.start_value(line)
            return
        frame.key = _decode_key(token)
        frame.expects_key = False
        path = self.value_path()
        if frame.key in frame.seen:
            self.duplicates.append((path, line))
        frame.seen.add(frame.key)
        self.lines.setdefault(path, line)
        if len(path) == 1:
            self.offsets.setdefault(frame.key, offset)

    def punctuation(self, char, line):
        if char in '{[':
            self.start_value(line)
            is_object = char == '{'
            frame = _Frame(is_object, self.value_path())
            frame.key = None if is_object else 0
            self.stack.append(frame)
        elif char in '}]' and self.stack:
            self.stack.pop()
        elif char == ',' and self.stack:
            frame = self.stack[-1]
            frame.expects_key = True
            if not frame.is_object:
                frame.key += 1


def _decode_key(token):
    if token.startswith('"'):
        try:
            return json.loads(token)
        except ValueError:
            return token[1:-1]
    return token[1:-1] if token.startswith("'") else token


def _blank_comment(text):
    if text.startswith('/*') and not (len(text) > 3 and text.endswith('*/')):
        return text
    return re.sub(r'[^\n]', ' ', text)


def locate(text):
    """Find the positions of the fields of a document.

    Malformed text is scanned as far as possible and never raises an exception.

    Args:
        text: JSON with comments.

    Returns:
        The positions.
    """
    scanner = _Scanner()
    parts, comma_at, line = [], None, 1
    for match in TOKEN.finditer(text):
        token, kind = match.group(), match.lastgroup
        parts.append(_blank_comment(token) if kind == 'comment' else token)
        if kind == 'punct':
            if token in '}]' and comma_at is not None:
                parts[comma_at] = ' '
            scanner.punctuation(token, line)
        elif kind in ('string', 'word'):
            scanner.scalar(token, line, match.start())
        if kind not in ('comment', 'space'):
            comma_at = len(parts) - 1 if token == ',' else None
        line += token.count('\n')
        if len(scanner.stack) > MAX_DEPTH:
            break
    return Positions(
        scanner.lines,
        tuple(scanner.duplicates),
        scanner.offsets,
        ''.join(parts),
        line if len(scanner.stack) > MAX_DEPTH else None,
    )


class LazyPositions:
    """Positions that are computed only when one is needed.

    A document without problems needs none, and the scan takes longer than
    parsing the document.
    """

    def __init__(self, text):
        self._text = text

    @functools.cached_property
    def located(self):
        """The `Positions`."""
        return locate(self._text)

    @property
    def lines(self):
        """Line of each path."""
        return self.located.lines

    def line(self, path):
        """Return the line of a path, or of its nearest parent."""
        return self.located.line(path)
