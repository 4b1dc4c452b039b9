"""Typed messages between instances, each encoded as one CBOR map."""

from collections.abc import Mapping
import dataclasses
import io

import cbor2
from wagtailtide_core.gossip import records

PROTOCOL_VERSION = 1
MAX_FRAME_BYTES = 256 * 1024
MAX_NESTING_DEPTH = 12
MAX_TEXT_CHARS = 255

# Reasons for closing a connection because of a frame; a closed set, as they
# are the keys of a counter in the process.
NOT_CBOR = 'not_cbor'
NOT_A_MAP = 'not_a_map'
WRONG_VERSION = 'wrong_version'
UNKNOWN_TYPE = 'unknown_type'
BAD_FIELDS = 'bad_fields'
TOO_BIG = 'too_big'
NOT_BINARY = 'not_binary'
NON_MEMBER = 'non_member'
UNEXPECTED = 'unexpected'


class FrameError(Exception):
    """A frame is invalid or not allowed, and its connection is closed.

    Attributes:
        reason: One of the constants above.
    """

    def __init__(self, reason, detail=''):
        super().__init__(f'{reason}: {detail}' if detail else reason)
        self.reason = reason


@dataclasses.dataclass(frozen=True)
class Hello:
    """First frame of the instance that opens a connection.

    Attributes:
        name: Its name.
        boot: Random number that identifies its process.
        incarnation: Number that it raises to refute a suspicion of failure.
        zone: Its availability zone.
        region: Its region.
        address: ``ip:port`` on which it accepts peers.
        purpose: ``link``, or ``call`` for a connection that carries calls
            only.
    """

    name: str
    boot: int
    incarnation: int
    zone: str
    region: str
    address: str
    purpose: str


@dataclasses.dataclass(frozen=True)
class Welcome:
    """Answer to Hello, with the fields of the accepting instance."""

    name: str
    boot: int
    incarnation: int
    zone: str
    region: str
    address: str


@dataclasses.dataclass(frozen=True)
class Refused:
    """Last frame before a connection is closed for the given reason."""

    reason: str


@dataclasses.dataclass(frozen=True)
class Ping:
    """Heartbeat number ``n``."""

    n: int


@dataclasses.dataclass(frozen=True)
class Pong:
    """Answer to Ping ``n``.

    Attributes:
        n: Number of the ping.
        confirmation_age_ms: Upper bound of the time in milliseconds since the
            sender's configuration was confirmed, or None if unknown.
        revision: Highest document version seen.
        incarnation: Incarnation of the sender.
    """

    n: int
    confirmation_age_ms: int | None
    revision: int
    incarnation: int


@dataclasses.dataclass(frozen=True)
class Records:
    """Gossip records.

    Attributes:
        items: Records.
        last_of: Number of the Want whose answer ends with this frame, or 0.
    """

    items: tuple[records.Record, ...]
    last_of: int = 0


@dataclasses.dataclass(frozen=True)
class Digest:
    """Hashes of the sender's records by bucket; ``n`` numbers the digest."""

    n: int
    hashes: Mapping[str, int]


@dataclasses.dataclass(frozen=True)
class Want:
    """Answer to Digest ``n``: the buckets whose records to send, if any."""

    n: int
    buckets: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class Call:
    """Request ``id`` to carry out an operation."""

    id: int
    op: str
    body: object


@dataclasses.dataclass(frozen=True)
class Reply:
    """Answer to Call ``id``; if not ``ok``, the body is the reason."""

    id: int
    ok: bool
    body: object


def _is_int(value):
    return type(value) is int and 0 <= value < 2**64


def _is_text(value):
    return isinstance(value, str) and len(value) <= MAX_TEXT_CHARS


def _is_text_list(value):
    return isinstance(value, list) and all(map(_is_text, value))


def _is_hash_map(value):
    return isinstance(value, dict) and all(
        _is_text(key) and _is_int(item) for key, item in value.items()
    )


def _is_optional_int(value):
    return value is None or _is_int(value)


def _is_plain_cbor(value, depth=0):
    """Return whether a value consists of the basic types of CBOR."""
    if depth > MAX_NESTING_DEPTH:
        return False
    if isinstance(value, list):
        return all(_is_plain_cbor(item, depth + 1) for item in value)
    if isinstance(value, dict):
        return all(
            isinstance(key, str) and _is_plain_cbor(item, depth + 1)
            for key, item in value.items()
        )
    return value is None or type(value) in (bool, int, float, str, bytes)


_IDENTITY_CHECKS = {
    'name': _is_text,
    'boot': _is_int,
    'incarnation': _is_int,
    'zone': _is_text,
    'region': _is_text,
    'address': _is_text,
}
_FIELD_CHECKS = {
    Hello: {**_IDENTITY_CHECKS, 'purpose': lambda v: v in ('link', 'call')},
    Welcome: _IDENTITY_CHECKS,
    Refused: {'reason': _is_text},
    Ping: {'n': _is_int},
    Pong: {
        'n': _is_int,
        'confirmation_age_ms': _is_optional_int,
        'revision': _is_int,
        'incarnation': _is_int,
    },
    Records: {'items': _is_plain_cbor, 'last_of': _is_int},
    Digest: {'n': _is_int, 'hashes': _is_hash_map},
    Want: {'n': _is_int, 'buckets': _is_text_list},
    Call: {'id': _is_int, 'op': _is_text, 'body': _is_plain_cbor},
    Reply: {
        'id': _is_int,
        'ok': lambda v: isinstance(v, bool),
        'body': _is_plain_cbor,
    },
}
_FRAME_CLASSES = {cls.__name__.lower(): cls for cls in _FIELD_CHECKS}


def encode(frame):
    """Return the bytes of a frame.

    Raises:
        FrameError: If it is larger than MAX_FRAME_BYTES.
    """
    data = {'t': type(frame).__name__.lower(), 'v': PROTOCOL_VERSION}
    for field in _FIELD_CHECKS[type(frame)]:
        data[field] = getattr(frame, field)
    if isinstance(frame, Records):
        data['items'] = [record.to_wire() for record in frame.items]
    encoded = cbor2.dumps(data)
    if len(encoded) > MAX_FRAME_BYTES:
        raise FrameError(
            TOO_BIG, f'expected at most 256 KiB, got {len(encoded)} bytes'
        )
    return encoded


def decode(data):
    """Return the frame of a message.

    Args:
        data: Message as received.

    Raises:
        FrameError: If it is not exactly one frame of this version.
    """
    if not isinstance(data, bytes):
        raise FrameError(NOT_BINARY)
    if len(data) > MAX_FRAME_BYTES:
        raise FrameError(
            TOO_BIG, f'expected at most 256 KiB, got {len(data)} bytes'
        )
    fields = _decode_cbor(data)
    if not isinstance(fields, dict):
        raise FrameError(NOT_A_MAP)
    version = fields.pop('v', None)
    if type(version) is not int or version != PROTOCOL_VERSION:
        raise FrameError(WRONG_VERSION, f'expected version {PROTOCOL_VERSION}')
    name = fields.pop('t', None)
    cls = _FRAME_CLASSES.get(name) if isinstance(name, str) else None
    if cls is None:
        raise FrameError(UNKNOWN_TYPE)
    return _build_frame(cls, fields)


def _decode_cbor(data):
    source = io.BytesIO(data)
    try:
        # With a read size of 1 the position is at the end of the first item
        # afterwards, so that bytes after it are noticed.
        value = cbor2.CBORDecoder(source, read_size=1).decode()
    except (cbor2.CBORError, ValueError, TypeError, RecursionError) as exc:
        raise FrameError(NOT_CBOR, repr(exc)) from exc
    if source.tell() != len(data):
        raise FrameError(NOT_CBOR, 'expected one item, got more bytes')
    return value


def _build_frame(cls, fields):
    checks = _FIELD_CHECKS[cls]
    if fields.keys() != checks.keys():
        found = sorted(map(str, fields))
        raise FrameError(BAD_FIELDS, f'{cls.__name__}: got the fields {found}')
    for field, check in checks.items():
        if not check(fields[field]):
            raise FrameError(BAD_FIELDS, f'{cls.__name__}.{field}')
    if cls is Records:
        fields['items'] = _build_records(fields['items'])
    if cls is Want:
        fields['buckets'] = tuple(fields['buckets'])
    return cls(**fields)


def _build_records(items):
    if not isinstance(items, list):
        raise FrameError(BAD_FIELDS, 'Records.items')
    try:
        found = [records.from_wire(item) for item in items]
    except ValueError as exc:
        raise FrameError(BAD_FIELDS, f'Records.items: {exc}') from exc
    # Records of a kind that only newer versions know are skipped.
    return tuple(record for record in found if record is not None)
