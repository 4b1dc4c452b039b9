"""Parse documents in JSON with comments."""

import dataclasses
import difflib
import json
import types
import typing

import json5
import pydantic

from wagtailtide_core.document import fast_read
from wagtailtide_core.document import positions
from wagtailtide_core.document import problems
from wagtailtide_core.document import schema

Problem = problems.Problem

# The object API of the platform refuses larger values.
MAX_DOCUMENT_BYTES = 1_000_000
MAX_SHOWN_CHARS = 60
MAX_PROBLEMS = 100
# The JSON5 library takes about a second for this size, which blocks the event
# loop of an instance.
MAX_JSON5_CHARS = 64_000
DOCUMENT_TYPE = pydantic.TypeAdapter(schema.Document)
# Advice to operators by pydantic's type of error.
ADVICE = {
    'missing': 'add the field',
    'int_type': 'write a whole number without quotes',
    'int_from_float': 'write a whole number',
    'float_type': 'write a number without quotes',
    'finite_number': 'write a finite number',
    'bool_type': 'write true or false without quotes',
    'string_type': 'write text in double quotes',
    'tuple_type': 'write a list in square brackets',
    'dataclass_type': 'write an object in braces',
    'greater_than': 'raise the value',
    'greater_than_equal': 'raise the value',
}


@dataclasses.dataclass(frozen=True)
class Parsed:
    """Result of parsing a document.

    Attributes:
        document: The document, or None if there are problems.
        problems: What is wrong with it.
        positions: Positions of its fields.
    """

    document: schema.Document | None
    problems: tuple[Problem, ...]
    positions: positions.Positions | positions.LazyPositions


def parse(data):
    """Parse a document.

    Args:
        data: JSON with comments, as text or as UTF-8 bytes.

    Returns:
        Parsed, with the document or the problems that were found. Invalid
        input never raises an exception.
    """
    try:
        raw = data.encode() if isinstance(data, str) else data
        text = raw.decode()
    except UnicodeError as exc:
        bad = Problem(1, '', 'UTF-8 text', str(exc), 'save it as UTF-8')
        return Parsed(None, (bad,), positions.locate(''))
    if len(raw) > MAX_DOCUMENT_BYTES:
        field_positions = positions.locate(text)
        return Parsed(
            None,
            (_too_large(text, len(raw), field_positions),),
            field_positions,
        )
    try:
        document = _validate(fast_read.read(text))
        return Parsed(document, (), positions.LazyPositions(text))
    except (fast_read.FastReadError, pydantic.ValidationError):
        return _parse_with_positions(text)


def _validate(value):
    return DOCUMENT_TYPE.validate_json(json.dumps(value), strict=True)


def _parse_with_positions(text):
    """Parse a document that has problems or uses other features of JSON5."""
    field_positions = positions.locate(text)
    if field_positions.too_deep_line is not None:
        return Parsed(
            None, (_too_deep(field_positions.too_deep_line),), field_positions
        )
    value, found = _decode(text, field_positions)
    if found:
        return Parsed(None, tuple(found), field_positions)
    try:
        return Parsed(_validate(value), (), field_positions)
    except pydantic.ValidationError as exc:
        errors = exc.errors()[:MAX_PROBLEMS]
        found = [_field_problem(error, field_positions) for error in errors]
        return Parsed(None, tuple(found), field_positions)


def _decode(text, field_positions):
    """Return the value of a text and the problems of its syntax."""
    try:
        value = json.loads(field_positions.plain)
    except json.JSONDecodeError as exc:
        if len(text) > MAX_JSON5_CHARS:
            return None, [_strict_problem(exc)]
        try:
            value = json5.loads(text)
        except ValueError as exc:
            return None, [_syntax_problem(exc)]
    return value, [
        Problem(
            line,
            problems.format_path(path),
            'each field once',
            'the field a second time',
            'remove one of the two; only one would be used',
        )
        for path, line in field_positions.duplicates
    ]


def _strict_problem(exc):
    return Problem(
        exc.lineno,
        '',
        'JSON with comments',
        f'{exc.msg} at column {exc.colno}',
        f'check the line; above {MAX_JSON5_CHARS:,} characters, names and '
        'text need double quotes',
    )


def _syntax_problem(exc):
    # The JSON5 library reports "<string>:LINE message".
    text = str(exc).removeprefix('<string>:')
    digits, _, message = text.partition(' ')
    line = int(digits) if digits.isdecimal() else 1
    return Problem(
        line,
        '',
        'JSON with comments',
        message if digits.isdecimal() else text,
        'check quotes, commas and brackets at this line and above',
    )


def _too_deep(line):
    return Problem(
        line,
        '',
        f'at most {positions.MAX_DEPTH} levels of brackets',
        'more',
        'remove the brackets that are not in the schema',
    )


def _too_large(text, size, field_positions):
    starts = sorted(
        (offset, name) for name, offset in field_positions.offsets.items()
    )
    ends = [offset for offset, _ in starts[1:]] + [len(text)]
    sizes = {
        name: end - offset
        for (offset, name), end in zip(starts, ends, strict=False)
    }
    listed = ', '.join(
        f'{name} {count:,}'
        for name, count in sorted(sizes.items(), key=lambda item: -item[1])
    )
    largest = max(sizes, key=sizes.get) if sizes else 'the document'
    return Problem(
        field_positions.lines.get((largest,), 1),
        '',
        f'at most {MAX_DOCUMENT_BYTES:,} bytes',
        f'{size:,} bytes (characters by section: {listed})',
        f'move part of {largest} to the document of a second service',
    )


def _field_problem(error, field_positions):
    path = tuple(error['loc'])
    got = error['input']
    kind = error['type']
    if kind == 'unexpected_keyword_argument':
        known = _fields_at(path[:-1])
        return Problem(
            field_positions.line(path),
            problems.format_path(path),
            'a known field',
            f'unknown field {path[-1]!r}',
            suggest_name(str(path[-1]), known),
        )
    expected = error['msg'].removeprefix('Value error, ')
    expected = expected.removeprefix('Input should be ')
    return Problem(
        field_positions.line(path),
        problems.format_path(path),
        expected.removeprefix('expected '),
        'nothing' if kind.startswith('missing') else _format_value(got),
        _advice(kind, got, error.get('ctx', {})),
    )


def _advice(kind, got, ctx):
    if kind == 'enum':
        names = str(ctx['expected']).replace(' or ', ', ').split(', ')
        return suggest_name(str(got), [name.strip("'") for name in names])
    if kind == 'string_pattern_mismatch':
        return f'change it to match {ctx["pattern"]}'
    return ADVICE.get(kind, 'correct the value')


def _format_value(value):
    shown = json.dumps(value, default=str)
    return (
        shown
        if len(shown) <= MAX_SHOWN_CHARS
        else shown[:MAX_SHOWN_CHARS] + '...'
    )


def suggest_name(name, known):
    """Return advice with the known name that is closest to a name."""
    close = difflib.get_close_matches(name, known, n=1)
    if close:
        return f'did you mean {close[0]!r}?'
    return f'known are: {", ".join(sorted(known))}'


def _fields_at(path):
    """Return the field names of the object that the schema has at a path."""
    kind = schema.Document
    for part in path:
        if isinstance(part, int):
            kind = typing.get_args(kind)[0]
        else:
            kind = typing.get_type_hints(kind)[part]
    if isinstance(kind, types.GenericAlias):
        kind = typing.get_args(kind)[0]
    return [field.name for field in dataclasses.fields(kind)]
