"""Claims, outcomes and the head of a partition of the key space."""

import dataclasses
import enum
import hashlib
import types

PARTITIONS = 64
KEY_HASH_BYTES = 16


class ClaimState(enum.StrEnum):
    """State of a claim in the store.

    Attributes:
        CLAIMED: The request may run or be running.
        DONE: The request ran and its outcome is recorded.
        UNKNOWN: It is not known whether the request ran.
        RELEASED: The request did not run; the key can be claimed again.
    """

    CLAIMED = 'claimed'
    DONE = 'done'
    UNKNOWN = 'unknown'
    RELEASED = 'released'


class ClaimResultKind(enum.StrEnum):
    """Result of a request to claim a key.

    Attributes:
        GRANTED: The claimant may run the request.
        EXISTS: The key is claimed by another submission of the request.
        BODY_MISMATCH: The key is claimed for another request.
    """

    GRANTED = 'granted'
    EXISTS = 'exists'
    BODY_MISMATCH = 'body_mismatch'


@dataclasses.dataclass(frozen=True)
class Outcome:
    """A recorded response.

    Attributes:
        status: HTTP status.
        headers: Pairs of name and value of the headers to replay.
        body: Response body, None if it was too large to be stored.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes | None


@dataclasses.dataclass(frozen=True)
class Claim:
    """Claim of one idempotency key.

    Attributes:
        key_hash: Hash of organisation, route and idempotency key.
        body_hash: Hash of the request for which the key was sent.
        claim_id: Random id of this submission of the request.
        instance: Name of the claiming instance.
        boot: Boot number of the claiming instance.
        state: State in the store.
        outcome: Recorded response if the state is DONE.
    """

    key_hash: bytes
    body_hash: bytes
    claim_id: bytes
    instance: str
    boot: int
    state: ClaimState = ClaimState.CLAIMED
    outcome: Outcome | None = None


@dataclasses.dataclass(frozen=True)
class ClaimResult:
    """Result of one request to claim a key.

    Attributes:
        kind: Whether the key was claimed, and if not, why.
        claim: Claim of the key after the request.
    """

    kind: ClaimResultKind
    claim: Claim


@dataclasses.dataclass(frozen=True)
class StateChange:
    """Change of a claim's state, by its holder or by another instance."""

    key_hash: bytes
    claim_id: bytes
    state: ClaimState
    outcome: Outcome | None = None


@dataclasses.dataclass(frozen=True)
class SealedSegment:
    """Immutable segment that a head refers to.

    Attributes:
        number: Number within the partition, part of the object's key.
        sealed_at_s: Time of sealing in seconds of the store's clock, 0 if it
            was not known.
    """

    number: int
    sealed_at_s: float


@dataclasses.dataclass(frozen=True)
class Head:
    """Recent claims of a partition and references to its sealed segments.

    Attributes:
        entries: Claims by key hash; they override those in segments.
        sealed: Segments, oldest first.
        next_segment: Number of the next segment.
    """

    entries: types.MappingProxyType | dict = dataclasses.field(
        default_factory=dict
    )
    sealed: tuple[SealedSegment, ...] = ()
    next_segment: int = 0


def hash_key(organisation, route, idempotency_key):
    """Return the hash that identifies an idempotency key in the whole system.

    The organisation is included, so that the key of another organisation never
    matches. Lengths are included, so that different parts never concatenate
    to the same bytes.

    Args:
        organisation: Name of the organisation.
        route: Path of the route.
        idempotency_key: Key that the caller sent.
    """
    digest = hashlib.blake2b(digest_size=KEY_HASH_BYTES)
    for part in (organisation, route, idempotency_key):
        raw = part.encode()
        digest.update(len(raw).to_bytes(4, 'big') + raw)
    return digest.digest()


def hash_request(method, target, body):
    """Return the hash of the request for which a key is used.

    Args:
        method: HTTP method.
        target: Path with query as received, in bytes.
        body: Body in bytes.
    """
    digest = hashlib.blake2b(digest_size=KEY_HASH_BYTES)
    for raw in (method.encode(), target, body):
        digest.update(len(raw).to_bytes(8, 'big') + raw)
    return digest.digest()


def partition_of(key_hash):
    """Return the number of the partition to which a key belongs."""
    return key_hash[0] % PARTITIONS
