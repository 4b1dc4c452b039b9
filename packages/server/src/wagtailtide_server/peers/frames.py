"""Typed messages between instances, each encoded as one CBOR map."""

from collections.abc import Mapping
import dataclasses
import io

import cbor2
from wagtailtide_core.gossip import records

VERSION = 1
MAX_FRAME_BYTES = 256 * 1024
MAX_DEPTH = 12
MAX_NAME_CHARS = 255

# Reasons for which a frame closes its connection; bounded, used as labels.
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
    """A frame that closes its connection.

    Attributes:
        reason: One of the reasons above.
    """

    def __init__(self, reason, detail=''):
        super().__init__(f'{reason}: {detail}' if detail else reason)
        self.reason = reason


@dataclasses.dataclass(frozen=True)
class Hello:
    """First frame of the instance that opened the connection.

    Attributes:
        name: Its name.
        boot: Random number of its process.
        incarnation: Its incarnation.
        zone: Its availability zone.
        region: Its region.
        address: ``ip:port`` on which it accepts peers.
        purpose: ``link`` or ``call``.
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
    """Answer to Hello, with the same fields of the other side."""

    name: str
    boot: int
    incarnation: int
    zone: str
    region: str
    address: str


@dataclasses.dataclass(frozen=True)
class Refused:
    """Last frame before a connection is closed, with the reason."""

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
        confirmation_age_ms: Upper bound of the age of the confirmation of
            the configuration, or None for none.
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
        last_of: Number of the Want of which this is the last part, or 0.
    """

    items: tuple[records.Record, ...]
    last_of: int = 0


@dataclasses.dataclass(frozen=True)
class Digest:
    """Hashes of the sender's records by bucket, under a number."""

    n: int
    hashes: Mapping[str, int]


@dataclasses.dataclass(frozen=True)
class Want:
    """Answer to Digest ``n``: the buckets to send; may be empty."""

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
    """Answer to Call ``id``; without ``ok`` the body is the reason."""

    id: int
    ok: bool
    body: object


def _is_int(value):
    return type(value) is int and 0 <= value < 2**64


def _is_text(value):
    return isinstance(value, str) and len(value) <= MAX_NAME_CHARS


def _is_texts(value):
    return isinstance(value, list) and all(map(_is_text, value))


def _is_hashes(value):
    return isinstance(value, dict) and all(
        _is_text(key) and _is_int(item) for key, item in value.items()
    )


def _is_age(value):
    return value is None or _is_int(value)


def _is_plain(value, depth=0):
    """Return whether a value has only the plain types of CBOR."""
    if depth > MAX_DEPTH:
        return False
    if isinstance(value, list):
        return all(_is_plain(item, depth + 1) for item in value)
    if isinstance(value, dict):
        return all(
            isinstance(key, str) and _is_plain(item, depth + 1)
            for key, item in value.items()
        )
    return value is None or type(value) in (bool, int, float, str, bytes)


_IDENTITY = {
    'name': _is_text,
    'boot': _is_int,
    'incarnation': _is_int,
    'zone': _is_text,
    'region': _is_text,
    'address': _is_text,
}
_FIELDS = {
    Hello: {**_IDENTITY, 'purpose': lambda v: v in ('link', 'call')},
    Welcome: _IDENTITY,
    Refused: {'reason': _is_text},
    Ping: {'n': _is_int},
    Pong: {
        'n': _is_int,
        'confirmation_age_ms': _is_age,
        'revision': _is_int,
        'incarnation': _is_int,
    },
    Records: {'items': _is_plain, 'last_of': _is_int},
    Digest: {'n': _is_int, 'hashes': _is_hashes},
    Want: {'n': _is_int, 'buckets': _is_texts},
    Call: {'id': _is_int, 'op': _is_text, 'body': _is_plain},
    Reply: {
        'id': _is_int,
        'ok': lambda v: isinstance(v, bool),
        'body': _is_plain,
    },
}
_TYPES = {cls.__name__.lower(): cls for cls in _FIELDS}


def encode(frame):
    """Return the bytes of a frame.

    Raises:
        FrameError: If it is larger than MAX_FRAME_BYTES.
    """
    data = {'t': type(frame).__name__.lower(), 'v': VERSION}
    for field in _FIELDS[type(frame)]:
        data[field] = getattr(frame, field)
    if isinstance(frame, Records):
        data['items'] = [record.to_wire() for record in frame.items]
    encoded = cbor2.dumps(data)
    if len(encoded) > MAX_FRAME_BYTES:
        raise FrameError(TOO_BIG, f'{len(encoded)} bytes')
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
        raise FrameError(TOO_BIG, f'{len(data)} bytes')
    fields = _load(data)
    if not isinstance(fields, dict):
        raise FrameError(NOT_A_MAP)
    version = fields.pop('v', None)
    if type(version) is not int or version != VERSION:
        raise FrameError(WRONG_VERSION, f'expected {VERSION}')
    name = fields.pop('t', None)
    cls = _TYPES.get(name) if isinstance(name, str) else None
    if cls is None:
        raise FrameError(UNKNOWN_TYPE)
    return _build(cls, fields)


def _load(data):
    source = io.BytesIO(data)
    try:
        # A read size of 1 leaves the position at the end of the first item.
        value = cbor2.CBORDecoder(source, read_size=1).decode()
    except (cbor2.CBORError, ValueError, TypeError, RecursionError) as exc:
        raise FrameError(NOT_CBOR, repr(exc)) from exc
    if source.tell() != len(data):
        raise FrameError(NOT_CBOR, 'more than one item')
    return value


def _build(cls, fields):
    checks = _FIELDS[cls]
    if fields.keys() != checks.keys():
        found = sorted(map(str, fields))
        raise FrameError(BAD_FIELDS, f'{cls.__name__}: {found}')
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
    # A kind that only a newer version knows is skipped.
    return tuple(record for record in found if record is not None)
