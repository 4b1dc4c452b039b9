"""Objects, listings and errors of the platform's object API."""

import base64
import dataclasses


class StoreError(Exception):
    """Base class of the errors of the platform client."""


class Conflict(StoreError):
    """The condition of a write does not hold; nothing was written."""


class Unavailable(StoreError):
    """A write certainly took no effect, or a read got no response."""


class RateLimited(Unavailable):
    """The call exceeds a rate limit; nothing was written."""


class WriteUnknown(StoreError):
    """A write was sent, but only reading can show whether it took effect."""


class ValueTooLarge(StoreError):
    """The value exceeds the platform's 1 MB limit; it was not written."""


class RevisionTooOld(StoreError):
    """The changes since a revision are no longer kept; list instead."""


@dataclasses.dataclass(frozen=True)
class StoredObject:
    """An object at one version.

    Attributes:
        key: Key of the object.
        version: Version, from one increasing counter for all objects.
        value: Value; empty if deleted.
        deleted: Whether this is the deletion of the object.
    """

    key: str
    version: int
    value: bytes
    deleted: bool = False


@dataclasses.dataclass(frozen=True)
class Listing:
    """Response to a list or watch call.

    Attributes:
        items: Objects; for a watch, those changed after its revision.
        revision: Revision up to which the response is complete.
        sent_at: Time at which the request was sent, in seconds of the
            event loop's clock.
    """

    items: tuple[StoredObject, ...]
    revision: int
    sent_at: float


@dataclasses.dataclass(frozen=True)
class WriteOutcome:
    """What a read shows about a write whose response was lost.

    Attributes:
        written: Whether the object holds the caller's write.
        current: The object as read, or None if there is none.
        may_still_apply: Whether the write may still take effect, because its
            condition still holds. Repeating the same conditional write
            resolves this.
    """

    written: bool
    current: StoredObject | None
    may_still_apply: bool


def parse_item(item):
    """Return the object of a decoded item."""
    if item.get('deleted'):
        return StoredObject(str(item['key']), int(item['version']), b'', True)
    value = base64.b64decode(item['value'], validate=True)
    return StoredObject(str(item['key']), int(item['version']), value)


def parse_listing(body, sent_at):
    """Return the Listing of a decoded body."""
    items = tuple(parse_item(item) for item in body['items'])
    return Listing(items, int(body['revision']), sent_at)
