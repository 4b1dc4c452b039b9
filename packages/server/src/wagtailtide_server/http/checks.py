"""Validation of request heads and of the places where keys may appear."""

import dataclasses
import json
import re
import urllib.parse

from wagtailtide_core.document import schema
from wagtailtide_core.errors import kinds
from wagtailtide_core.keys import keys

MAX_DEADLINE_MS = 86_400_000
MAX_IDEMPOTENCY_KEY_LENGTH = 255

_SINGLE_HEADERS = frozenset(
    {
        b'authorization',
        b'content-length',
        b'content-type',
        b'host',
        b'idempotency-key',
        b'transfer-encoding',
        b'x-deadline-ms',
        b'x-priority',
        b'x-request-id',
    }
)
_INVALID_VALUE = re.compile(rb'[\x00-\x08\x0a-\x1f\x7f]')
_INVALID_NAME = re.compile(rb"[^!#$%&'*+.^_`|~0-9a-z-]")
_INVALID_TARGET = re.compile(rb'[^\x21-\x7e]|[\\#]')
_INVALID_ESCAPE = re.compile(rb'%(?![0-9a-fA-F]{2})|%(?:00|2f|5c|25)', re.I)
_REQUEST_ID = re.compile(r'[A-Za-z0-9._-]{1,64}')
_IDEMPOTENCY_KEY = re.compile(r'[\x21-\x7e]{1,255}')


@dataclasses.dataclass(frozen=True)
class RequestOptions:
    """Options that a caller sets in headers.

    Attributes:
        priority: Priority class of the request, or None.
        deadline_ms: Time limit in milliseconds, or None.
        idempotency_key: Idempotency key, or None.
    """

    priority: schema.PriorityClass | None
    deadline_ms: int | None
    idempotency_key: str | None


def _malformed(expected, got, advice):
    return kinds.ServingError(
        kinds.ErrorKind.MALFORMED_REQUEST,
        f'expected {expected}, got {got}; {advice}',
    )


def check_head(head):
    """Reject heads that two parsers could interpret differently.

    Args:
        head: The Head.

    Raises:
        ServingError: If the request is malformed.
    """
    if head.http_version not in ('1.0', '1.1'):
        raise _malformed(
            'HTTP/1.1', f'HTTP/{head.http_version}', 'use HTTP/1.1'
        )
    _check_headers(head)
    _check_target(head)


def _check_headers(head):
    seen = set()
    for name, value in head.headers:
        if _INVALID_NAME.search(name) or _INVALID_VALUE.search(value):
            raise _malformed(
                'printable characters in headers',
                f'others in {name[:64]!r}',
                'correct the header',
            )
        if name in _SINGLE_HEADERS and name in seen:
            text = name.decode()
            raise _malformed(
                f'one {text} header', 'more than one', 'send it once'
            )
        seen.add(name)
    if {b'content-length', b'transfer-encoding'} <= seen:
        raise _malformed(
            'Content-Length or Transfer-Encoding', 'both', 'send one of them'
        )
    if b'transfer-encoding' in seen and head.http_version == '1.0':
        raise _malformed(
            'no Transfer-Encoding in HTTP/1.0', 'one', 'use HTTP/1.1'
        )
    encoding = head.header(b'content-encoding')
    if encoding not in (None, 'identity'):
        raise _malformed(
            'an uncompressed body',
            f'Content-Encoding {encoding!r:.40}',
            'send it uncompressed',
        )


def _check_target(head):
    if not head.raw_path.startswith(b'/') or head.raw_path.startswith(b'//'):
        raise _malformed(
            'a path that starts with one "/"',
            repr(head.raw_path[:64]),
            'send only the path in the request line',
        )
    if _INVALID_TARGET.search(head.target) or _INVALID_ESCAPE.search(
        head.raw_path
    ):
        raise _malformed(
            'a path and query of printable ASCII characters without spaces, '
            '"#" and backslashes, and a path without incomplete escapes and '
            'without %00, %25, %2F and %5C',
            'other characters or escapes',
            'correct the path or query',
        )
    segments = (s.partition(';')[0] for s in head.path.split('/'))
    if any(s in ('.', '..') for s in segments) or '//' in head.path:
        raise _malformed(
            'a path without ".", ".." and empty segments',
            'a path with one of them',
            'send the resolved path',
        )


def read_request_id(head):
    """Return the caller's request id if it has a valid form, else None."""
    value = head.header(b'x-request-id')
    return value if value and _REQUEST_ID.fullmatch(value) else None


def read_options(head):
    """Return the caller's RequestOptions.

    Raises:
        ServingError: If a header has an invalid value.
    """
    return RequestOptions(
        _read_priority(head), _read_deadline(head), _read_idempotency_key(head)
    )


def _read_priority(head):
    value = head.header(b'x-priority')
    if value is None:
        return None
    try:
        return schema.PriorityClass(value)
    except ValueError as exc:
        known = ', '.join(schema.PriorityClass)
        raise _malformed(
            f'X-Priority to be one of {known}',
            repr(value[:40]),
            'correct or leave it out',
        ) from exc


def _read_deadline(head):
    value = head.header(b'x-deadline-ms')
    if value is None:
        return None
    number = int(value) if re.fullmatch(r'[0-9]{1,9}', value) else 0
    if 1 <= number <= MAX_DEADLINE_MS:
        return number
    raise _malformed(
        f'X-Deadline-Ms to be a whole number from 1 to {MAX_DEADLINE_MS}',
        repr(value[:40]),
        'correct or leave it out',
    )


def _read_idempotency_key(head):
    value = head.header(b'idempotency-key')
    if value is None or _IDEMPOTENCY_KEY.fullmatch(value):
        return value
    raise kinds.ServingError(
        kinds.ErrorKind.IDEMPOTENCY_KEY_INVALID,
        'expected an Idempotency-Key of 1 to '
        f'{MAX_IDEMPOTENCY_KEY_LENGTH} printable characters without spaces, '
        'got a different value; correct it',
    )


def read_key(head):
    """Return the presented key, or None if there is none.

    Raises:
        ServingError: If the Authorization header is not a bearer token.
    """
    value = head.header(b'authorization')
    if value is None:
        return None
    scheme, _, presented_key = value.partition(' ')
    if scheme.lower() != 'bearer' or not presented_key.strip():
        raise kinds.ServingError(
            kinds.ErrorKind.KEY_INVALID,
            'expected "Authorization: Bearer <key>", got another form; '
            'correct the header',
        )
    return presented_key.strip()


def _key_in_wrong_place(place):
    return kinds.ServingError(
        kinds.ErrorKind.KEY_IN_WRONG_PLACE,
        f'expected the key only in the Authorization header, got it in the '
        f'{place}; remove it there and have it replaced, because it may have '
        'been logged',
    )


def _contains_key(text, presented_key, catalog):
    if presented_key is not None and presented_key in text:
        return True
    return any(
        match[1] in catalog.keys for match in keys.KEY_PATTERN.finditer(text)
    )


def check_no_key_in_head(head, presented_key, catalog):
    """Reject a key in the path, the query, cookies or other headers.

    Args:
        head: The Head.
        presented_key: The presented key, or None.
        catalog: The Catalog; any key whose id it contains is rejected, too.

    Raises:
        ServingError: If a key is found.
    """
    raw_query = head.query.decode('latin-1')
    places = [
        ('path', head.raw_path.decode('latin-1')),
        ('path', head.path),
        ('query', raw_query),
        ('query', urllib.parse.unquote_plus(raw_query)),
    ]
    for name, value in head.headers:
        if name == b'authorization':
            continue
        place = 'cookie' if name == b'cookie' else 'headers'
        text = value.decode('latin-1')
        places += [(place, text), (place, urllib.parse.unquote(text))]
    for place, text in places:
        if _contains_key(text, presented_key, catalog):
            raise _key_in_wrong_place(place)


def check_no_key_in_body(head, body, presented_key, catalog):
    """Reject a key in the body, also if it is escaped.

    Raises:
        ServingError: If a key is found.
    """
    text = body.decode('latin-1')
    texts = [text]
    content_type = head.header(b'content-type') or ''
    if 'urlencoded' in content_type or '%' in text:
        texts.append(urllib.parse.unquote_plus(text))
    if '\\u' in text:
        try:
            value = json.loads(body)
            texts.append(json.dumps(value, ensure_ascii=False))
        except (ValueError, RecursionError):
            pass
    if any(_contains_key(t, presented_key, catalog) for t in texts):
        raise _key_in_wrong_place('body')
