"""Read JSON with comments and trailing commas by the standard library."""

import json
import re

# A string without end goes to the end of the text, as does a comment: to look
# for the end again at each later quote would take quadratic time.
_STRING = r'"[^"\\]*+(?:\\.[^"\\]*+)*+"?+'
# Each match is a comment, or as much other text as possible: replacing string
# by string took four times as long. The last alternative keeps what does not
# fit, so that malformed text stays malformed.
_COMMENTS = re.compile(
    rf'(?:[^"/]++|{_STRING}|/(?![/*]))++|//[^\n]*+|/\*(?:.*?\*/|.*+)|.',
    re.DOTALL,
)
_TRAILING_COMMAS = re.compile(
    rf'(?:[^",]++|{_STRING}|,(?!\s*+[}}\]]))++|.', re.DOTALL
)


class NotRead(Exception):
    """The text is malformed, or needs a reader for all of JSON5."""


def read(text):
    """Return the value of a text.

    Args:
        text: JSON with comments.

    Raises:
        NotRead: If it has other features of JSON5, is malformed, or has a
            field twice.
    """
    parts = _COMMENTS.findall(text)
    plain = ''.join(part for part in parts if not _is_comment(part))
    parts = _TRAILING_COMMAS.findall(plain)
    plain = ''.join(part for part in parts if part != ',')
    try:
        return json.loads(plain, object_pairs_hook=_make_object)
    except (ValueError, RecursionError) as exc:
        raise NotRead from exc


def _is_comment(part):
    if part.startswith('/*'):
        if len(part) < len('/**/') or not part.endswith('*/'):
            raise NotRead('a comment without end')
        return True
    return part.startswith('//')


def _make_object(pairs):
    value = dict(pairs)
    if len(value) < len(pairs):
        raise NotRead('a field twice')
    return value
