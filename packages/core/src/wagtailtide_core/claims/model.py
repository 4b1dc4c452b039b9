"""Claims, outcomes and the head of a partition of the key space."""

import dataclasses
import enum
import hashlib
import types

PARTITIONS = 64
KEY_HASH_BYTES = 16


class ClaimState(enum.StrEnum):
    """State of a claim in the store."""

    CLAIMED = 'claimed'
    DONE = 'done'
    UNKNOWN = 'unknown'
    RELEASED = 'released'


class ClaimResultKind(enum.StrEnum):
    """What a request to claim a key led to."""

    GRANTED = 'granted'
    EXISTS = 'exists'
    BODY_MISMATCH = 'body_mismatch'


@dataclasses.dataclass(frozen=True)
class Outcome:
    """A recorded response.

    Attributes:
        status: HTTP status.
        headers: Header pairs that are replayed.
        body: Response body, or None if it was too large to be kept.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes | None


@dataclasses.dataclass(frozen=True)
class Claim:
    """The claim of one idempotency key.

    Attributes:
        key_hash: Hash of organisation, route and idempotency key.
        body_hash: Hash of the request that the key came with.
        claim_id: Random id chosen by the claimant for this submission.
        instance: Name of the claimant.
        boot: Boot number of the claimant.
        state: State in the store.
        outcome: Response once the state is DONE.
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
    """Result of one request to claim a key."""

    kind: ClaimResultKind
    claim: Claim


@dataclasses.dataclass(frozen=True)
class Record:
    """A change of state that a claim's holder or an observer asks for."""

    key_hash: bytes
    claim_id: bytes
    state: ClaimState
    outcome: Outcome | None = None


@dataclasses.dataclass(frozen=True)
class SealedSegment:
    """An immutable segment that a head refers to.

    Attributes:
        number: Number in the partition, part of the object's key.
        sealed_at_s: Time on the store's clock, or 0 if it was not known.
    """

    number: int
    sealed_at_s: float


@dataclasses.dataclass(frozen=True)
class Head:
    """Recent claims of a partition and its sealed segments.

    Attributes:
        entries: Claims by key hash; they supersede those in segments.
        sealed: Segments, oldest first.
        next_segment: Number of the next segment.
    """

    entries: types.MappingProxyType | dict = dataclasses.field(
        default_factory=dict
    )
    sealed: tuple[SealedSegment, ...] = ()
    next_segment: int = 0


def hash_key(organisation, route, idempotency_key):
    """Return the hash that identifies a key within the whole system.

    The organisation is part of it, so that a key of another organisation
    never matches. Lengths are included so that fields cannot run together.
    """
    digest = hashlib.blake2b(digest_size=KEY_HASH_BYTES)
    for part in (organisation, route, idempotency_key):
        raw = part.encode()
        digest.update(len(raw).to_bytes(4, 'big') + raw)
    return digest.digest()


def hash_request(method, target, body):
    """Return the hash of what a key was first used for.

    Args:
        method: HTTP method.
        target: Path with query in bytes, as received.
        body: Body in bytes.
    """
    digest = hashlib.blake2b(digest_size=KEY_HASH_BYTES)
    for raw in (method.encode(), target, body):
        digest.update(len(raw).to_bytes(8, 'big') + raw)
    return digest.digest()


def partition_of(key_hash):
    """Return the number of the partition that holds a key."""
    return key_hash[0] % PARTITIONS
