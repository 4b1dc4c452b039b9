"""Who may send a request, and on whose account it runs."""

import dataclasses

import anyio
from wagtailtide_core.document import schema
from wagtailtide_core.errors import kinds
from wagtailtide_core.keys import keys

from wagtailtide_server.http import checks


@dataclasses.dataclass(frozen=True)
class Access:
    """An accepted caller.

    Attributes:
        organisation: Its organisation, or None on an open route.
        key_id: Id of its key, or None on an open route.
        presented: The key as it was presented, or None.
    """

    organisation: schema.Organisation | None
    key_id: str | None
    presented: str | None

    @property
    def name(self):
        """Name of the organisation, empty on an open route."""
        return self.organisation.name if self.organisation else ''

    @property
    def secrets(self):
        """Byte strings that no backend server may see."""
        return (self.presented.encode('latin-1'),) if self.presented else ()


def authenticate(plane, head):
    """Return the Access of a request that needs a key.

    Args:
        plane: The control plane.
        head: Head of the request.

    Raises:
        ServingError: If the key is missing, in the wrong place, invalid or
            cannot be confirmed.
    """
    catalog = plane.config.catalog
    presented = checks.read_key(head)
    checks.check_key_places_in_head(head, presented, catalog)
    if presented is None:
        raise kinds.ServingError(
            kinds.ErrorKind.KEY_MISSING,
            'expected "Authorization: Bearer <key>", got no key; add it',
        )
    trust = plane.key_trust(anyio.current_time())
    if not trust.trusted:
        raise kinds.ServingError(
            kinds.ErrorKind.KEYS_UNCONFIRMED,
            'whether the key is still valid cannot be confirmed now '
            f'({trust.reason}); send the request again later',
        )
    entry = keys.authenticate(catalog, presented)
    if entry is None:
        raise kinds.ServingError(
            kinds.ErrorKind.KEY_INVALID,
            'expected a valid key, got an unknown or withdrawn one; use a '
            'current key',
        )
    return Access(entry.organisation, entry.key.id, presented)


def admit_anonymous(plane, head):
    """Return the Access of a request on an open route.

    A key that is presented all the same is neither checked nor used, so that
    open routes go on working while keys cannot be confirmed.
    """
    presented = head.header(b'authorization')
    if presented is not None:
        presented = presented.partition(' ')[2].strip() or presented
    checks.check_key_places_in_head(head, presented, plane.config.catalog)
    return Access(None, None, presented)


def check_allowed(access, organisations, what):
    """Refuse a caller whose organisation may not use something.

    Args:
        access: The Access.
        organisations: Names of those that may; empty means all.
        what: Description of the thing for the message.

    Raises:
        ServingError: If it may not.
    """
    if organisations and access.name not in organisations:
        raise kinds.ServingError(
            kinds.ErrorKind.FORBIDDEN,
            f'{what} is not offered to organisation {access.name}; use '
            'another one or ask its operators',
        )


def key_check(plane, access):
    """Return a function that tells whether the caller's key is valid now."""
    return lambda: not is_withdrawn(plane.config.catalog, access)


def is_withdrawn(catalog, access):
    """Return whether the caller's key has been withdrawn since."""
    if access.key_id is None:
        return False
    entry = catalog.keys.get(access.key_id)
    return (
        entry is None
        or entry.key.withdrawn
        or keys.authenticate(catalog, access.presented) is None
    )
