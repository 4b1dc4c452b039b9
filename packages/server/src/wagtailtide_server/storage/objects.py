"""Objects, listings and errors of the platform's object API."""

import base64
import dataclasses


class StoreError(Exception):
    """Base class of the errors of the platform client."""


class Conflict(StoreError):
    """The condition of a write does not hold; nothing was written."""


class Unavailable(StoreError):
    """The call was certainly not carried out, or a read got no answer."""


class RateLimited(Unavailable):
    """The platform answered 429; nothing was written."""


class WriteUnknown(StoreError):
    """A write was sent and its outcome is unknown; settle it by reading."""


class ValueTooLarge(StoreError):
    """The value exceeds the platform's limit of 1 MB; not written."""


class RevisionTooOld(StoreError):
    """The platform no longer has the changes since the revision; list."""


@dataclasses.dataclass(frozen=True)
class Versioned:
    """An object as read.

    Attributes:
        key: Key of the object.
        version: Version, one global increasing integer.
        value: Value; empty if deleted.
        deleted: Whether this is the deletion of the object.
    """

    key: str
    version: int
    value: bytes
    deleted: bool = False


@dataclasses.dataclass(frozen=True)
class Listing:
    """Answer to a list or watch call.

    Attributes:
        items: Objects; for a watch those changed since its revision.
        revision: Revision up to which the answer is complete.
        sent_at: Time at which the request was sent, in seconds of the
            runtime's clock.
    """

    items: tuple[Versioned, ...]
    revision: int
    sent_at: float


@dataclasses.dataclass(frozen=True)
class Settled:
    """What reading shows of a write whose response was lost.

    Attributes:
        written: Whether the object holds the caller's write.
        current: The object as read, or None if there is none.
        still_possible: Whether the write may still take effect, because its
            condition still holds. Repeating the same conditional write
            settles it.
    """

    written: bool
    current: Versioned | None
    still_possible: bool


def parse_item(item):
    """Return the Versioned of a decoded item."""
    if item.get('deleted'):
        return Versioned(str(item['key']), int(item['version']), b'', True)
    value = base64.b64decode(item['value'], validate=True)
    return Versioned(str(item['key']), int(item['version']), value)


def parse_listing(body, sent_at):
    """Return the Listing of a decoded body."""
    items = tuple(parse_item(item) for item in body['items'])
    return Listing(items, int(body['revision']), sent_at)
