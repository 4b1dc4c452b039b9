"""Create API keys and authenticate the ones that callers send.

A key has the form ``wt_<key id>_<secret>``. The key id is public and appears
in logs. Documents hold the salted hash of the secret and never the secret.
"""

import hashlib
import hmac
import re

from wagtailtide_core.document import schema

PREFIX = 'wt'
SECRET_BYTES = 32
SALT_BYTES = 16
KEY_ID_PATTERN = re.compile(r'[a-z0-9][a-z0-9.-]{0,62}')
KEY_PATTERN = re.compile(
    rf'{PREFIX}_({KEY_ID_PATTERN.pattern})_([0-9a-f]{{{2 * SECRET_BYTES}}})'
)


def hash_secret(salt, secret):
    """Return the hexadecimal salted hash of a secret.

    A fast hash is enough because secrets are 256 random bits, which cannot be
    guessed. A slow hash would take time on each request.

    Args:
        salt: Hexadecimal salt.
        secret: Secret part of a key.
    """
    # The salt is not decoded, because the schema allows an odd number of
    # digits.
    return hmac.new(salt.encode(), secret.encode(), hashlib.sha256).hexdigest()


def make_key(key_id, rng):
    """Create a key.

    Args:
        key_id: Public part: lower-case letters, digits, ``.`` and ``-``.
        rng: Random generator with ``randbytes``; ``random.SystemRandom()``
            for real keys.

    Returns:
        The key as callers send it, and its entry for the document.

    Raises:
        ValueError: If the key id is malformed.
    """
    if not KEY_ID_PATTERN.fullmatch(key_id):
        raise ValueError(
            f'expected a key id of 1 to 63 lower-case letters, digits, '
            f'"." and "-" that starts with a letter or digit, got {key_id!r}'
        )
    secret = rng.randbytes(SECRET_BYTES).hex()
    salt = rng.randbytes(SALT_BYTES).hex()
    entry = schema.Key(id=key_id, salt=salt, hash=hash_secret(salt, secret))
    return f'{PREFIX}_{key_id}_{secret}', entry


def authenticate(catalog, presented):
    """Return the entry of a key that a caller sent.

    Args:
        catalog: `catalog.Catalog` of the documents in force.
        presented: Key as the caller sent it.

    Returns:
        The key's entry, or None if the key is malformed, unknown, withdrawn or
        its secret is wrong.
    """
    match = KEY_PATTERN.fullmatch(presented)
    if match is None:
        return None
    key_id, secret = match.groups()
    entry = catalog.keys.get(key_id)
    if entry is None or entry.key.withdrawn:
        return None
    # Compared in constant time, so that the response time does not reveal
    # how much of a guessed hash is right.
    expected = hash_secret(entry.key.salt, secret)
    return entry if hmac.compare_digest(expected, entry.key.hash) else None
