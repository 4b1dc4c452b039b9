"""Authentication and authorization of callers."""

import dataclasses

import anyio
from wagtailtide_core.document import schema
from wagtailtide_core.errors import kinds
from wagtailtide_core.keys import keys

from wagtailtide_server.http import checks


@dataclasses.dataclass(frozen=True)
class Identity:
    """Identity of an authenticated or anonymous caller.

    Attributes:
        organisation: The caller's organisation, or None on an open route.
        key_id: Id of the caller's key, or None on an open route.
        presented_key: The key as it was presented, or None.
    """

    organisation: schema.Organisation | None
    key_id: str | None
    presented_key: str | None

    @property
    def name(self):
        """Name of the organisation, empty on an open route."""
        return self.organisation.name if self.organisation else ''

    @property
    def secrets(self):
        """Byte strings that no backend server may see."""
        return (
            (self.presented_key.encode('latin-1'),)
            if self.presented_key
            else ()
        )


def authenticate(plane, head):
    """Return the Identity of the caller of a request that needs a key.

    Args:
        plane: The control plane.
        head: Head of the request.

    Raises:
        ServingError: If the key is missing, in the wrong place, invalid or
            cannot be confirmed.
    """
    catalog = plane.config.catalog
    presented_key = checks.read_key(head)
    checks.check_no_key_in_head(head, presented_key, catalog)
    if presented_key is None:
        raise kinds.ServingError(
            kinds.ErrorKind.KEY_MISSING,
            'expected "Authorization: Bearer <key>", got no key; add it',
        )
    trust = plane.key_trust(anyio.current_time())
    if not trust.trusted:
        raise kinds.ServingError(
            kinds.ErrorKind.KEYS_UNCONFIRMED,
            'the validity of the key cannot be confirmed now '
            f'({trust.reason}); send the request again later',
        )
    entry = keys.authenticate(catalog, presented_key)
    if entry is None:
        raise kinds.ServingError(
            kinds.ErrorKind.KEY_INVALID,
            'expected a valid key, got an unknown or withdrawn one; use a '
            'current key',
        )
    return Identity(entry.organisation, entry.key.id, presented_key)


def admit_anonymous(plane, head):
    """Return the Identity of the caller of a request on an open route.

    A key that is presented anyway is neither verified nor used, so that open
    routes keep working while keys cannot be confirmed.

    Raises:
        ServingError: If the key is found outside the Authorization header.
    """
    presented_key = head.header(b'authorization')
    if presented_key is not None:
        presented_key = (
            presented_key.partition(' ')[2].strip() or presented_key
        )
    checks.check_no_key_in_head(head, presented_key, plane.config.catalog)
    return Identity(None, None, presented_key)


def check_allowed(identity, organisations, resource):
    """Refuse a caller whose organisation may not use a resource.

    Args:
        identity: The caller's Identity.
        organisations: Names of the organisations that may use it; empty for
            all.
        resource: Description of the resource for the error message.

    Raises:
        ServingError: If the organisation may not use it.
    """
    if organisations and identity.name not in organisations:
        raise kinds.ServingError(
            kinds.ErrorKind.FORBIDDEN,
            f'{resource} is not offered to organisation {identity.name}; use '
            'another one or ask its operators',
        )


def make_key_check(plane, identity):
    """Return a function that returns whether the caller's key is valid now."""
    return lambda: not is_withdrawn(plane.config.catalog, identity)


def is_withdrawn(catalog, identity):
    """Return whether the caller's key is withdrawn, removed or replaced."""
    if identity.key_id is None:
        return False
    entry = catalog.keys.get(identity.key_id)
    return (
        entry is None
        or entry.key.withdrawn
        or keys.authenticate(catalog, identity.presented_key) is None
    )
