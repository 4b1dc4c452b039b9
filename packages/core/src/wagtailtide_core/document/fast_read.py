"""Read JSON with comments and trailing commas with the standard library."""

import json
import re

# An unterminated string or comment matches to the end of the text. Searching
# for its end again at each later quote would take quadratic time.
_STRING = r'"[^"\\]*+(?:\\.[^"\\]*+)*+"?+'
# Each match is a comment or as much other text as possible. One match for each
# string takes four times as long. The last alternative matches any other
# character, so that malformed text stays malformed.
_COMMENTS = re.compile(
    rf'(?:[^"/]++|{_STRING}|/(?![/*]))++|//[^\n]*+|/\*(?:.*?\*/|.*+)|.',
    re.DOTALL,
)
_TRAILING_COMMAS = re.compile(
    rf'(?:[^",]++|{_STRING}|,(?!\s*+[}}\]]))++|.', re.DOTALL
)


class FastReadError(Exception):
    """The text is malformed or needs a parser for all of JSON5."""


def read(text):
    """Return the value of a text.

    Args:
        text: JSON with comments.

    Raises:
        FastReadError: If the text is malformed, has a field twice, or uses
            other features of JSON5.
    """
    parts = _COMMENTS.findall(text)
    plain = ''.join(part for part in parts if not _is_comment(part))
    parts = _TRAILING_COMMAS.findall(plain)
    plain = ''.join(part for part in parts if part != ',')
    try:
        return json.loads(plain, object_pairs_hook=_object_without_duplicates)
    except (ValueError, RecursionError) as exc:
        raise FastReadError from exc


def _is_comment(part):
    if part.startswith('/*'):
        if len(part) < len('/**/') or not part.endswith('*/'):
            raise FastReadError('expected the end of a comment')
        return True
    return part.startswith('//')


def _object_without_duplicates(pairs):
    value = dict(pairs)
    if len(value) < len(pairs):
        raise FastReadError('expected each field once')
    return value
