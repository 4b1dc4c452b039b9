"""Typed fields of the messages between instances.

A message is a CBOR list: its protocol version, a fixed number of fields that
every build knows, and nothing or one map with the fields added since, by
number. A build ignores the numbers that it does not know, and uses a default
for those that are missing. Rows within a message grow in the same way: values
after the known ones are ignored.
"""

from collections.abc import Mapping
import math

import cbor2

MAX_MESSAGE_BYTES = 4_194_304


class BadMessage(Exception):
    """Data that is not a valid message of this protocol."""


def decode(data, count, version):
    """Return the fields of a message that every build knows, and the others.

    The result has one value more than the fields: the map of fields that were
    added since, by number, empty if the message has none.

    Args:
        data: The message.
        count: Number of these fields, the protocol version included.
        version: Expected protocol version.

    Raises:
        BadMessage: The message is no such list.
    """
    if len(data) > MAX_MESSAGE_BYTES:
        raise BadMessage(
            f'expected at most {MAX_MESSAGE_BYTES} bytes, got more'
        )
    try:
        fields = cbor2.loads(data)
    except (cbor2.CBORDecodeError, ValueError, EOFError) as exc:
        raise BadMessage(f'expected CBOR, got {exc}') from exc
    except RecursionError as exc:
        raise BadMessage('expected less nesting') from exc
    if not isinstance(fields, list) or len(fields) < count:
        raise BadMessage(
            f'expected a list of at least {count} fields, got something else'
        )
    if fields[0] != version:
        raise BadMessage(
            f'expected protocol version {version}, got {fields[0]!r}'
        )
    return [*fields[:count], _added_fields(fields[count:])]


def _added_fields(rest):
    if not rest or not isinstance(rest[0], Mapping):
        return {}
    return {k: value for k, value in rest[0].items() if isinstance(k, int)}


def text(value):
    """Return a value that has to be a string."""
    if not isinstance(value, str):
        raise TypeError(f'expected a string, got {value!r}')
    return value


def integer(value):
    """Return a value that has to be an integer."""
    if not isinstance(value, int) or isinstance(value, bool):
        raise TypeError(f'expected an integer, got {value!r}')
    return value


def number(value):
    """Return a value that has to be a finite number, as a float.

    One that is not would spoil every sum that it enters.
    """
    result = duration(value)
    if math.isinf(result):
        raise ValueError(f'expected a finite number, got {value!r}')
    return result


def duration(value):
    """Return a value that has to be a number or infinite, as a float."""
    if not isinstance(value, (int, float)) or isinstance(value, bool):
        raise TypeError(f'expected a number, got {value!r}')
    if math.isnan(value):
        raise ValueError('expected a number, got NaN')
    return float(value)


def boolean(value):
    """Return a value that has to be a boolean."""
    if not isinstance(value, bool):
        raise TypeError(f'expected a boolean, got {value!r}')
    return value


def optional(convert):
    """Return a converter that also accepts None."""
    return lambda value: None if value is None else convert(value)


def sequence(convert):
    """Return a converter of a list to a tuple of converted values."""

    def convert_all(values):
        if not isinstance(values, (list, tuple)):
            raise TypeError(f'expected a list, got {type(values).__name__}')
        return tuple(convert(value) for value in values)

    return convert_all


def mapping(convert_key, convert):
    """Return a converter of a map to a dictionary of converted values."""

    def convert_all(values):
        if not isinstance(values, Mapping):
            raise TypeError(f'expected a map, got {type(values).__name__}')
        return {
            convert_key(key): convert(value) for key, value in values.items()
        }

    return convert_all


def row(make, *converters):
    """Return a converter of a list with one value for each converter.

    Args:
        make: Function that the converted values are passed to.
        converters: Converters of the values that every build knows.
    """

    def convert(values):
        if not isinstance(values, (list, tuple)):
            raise TypeError(f'expected a list, got {type(values).__name__}')
        if len(values) < len(converters):
            raise ValueError(
                f'expected at least {len(converters)} values, '
                f'got {len(values)}'
            )
        return make(
            *(
                convert_one(value)
                for convert_one, value in zip(converters, values, strict=False)
            )
        )

    return convert
