"""Compare two tables by digests and select the records that differ."""

import xxhash

from wagtailtide_core.gossip import records

# One differing record causes about a 16th of its kind to be sent.
BUCKETS_PER_KIND = 16


def bucket_of(kind, name):
    """Return the name of the bucket that a record belongs to."""
    return f'{kind}/{xxhash.xxh32_intdigest(name.encode()) % BUCKETS_PER_KIND}'


def digest(table, now):
    """Return the hash of each bucket that is not empty.

    Args:
        table: Table of records.
        now: Current time in seconds.

    Returns:
        Hash by name of the bucket. Ages of records do not change it.
    """
    buckets = {}
    for kind, spec in records.KINDS.items():
        if not spec.resync:
            continue
        for record in table.of_kind(kind, now):
            content = repr((record.id, record.stamp, _union_value(record)))
            value = xxhash.xxh64_intdigest(content.encode())
            name = bucket_of(kind, record.id)
            # A sum does not depend on the order of the records, and unlike
            # XOR it does not cancel out equal hashes.
            buckets[name] = (buckets.get(name, 0) + value) % 2**64
    return buckets


def differing_buckets(local, remote):
    """Return the buckets of a peer's digest that differ from the own ones.

    Args:
        local: Digest of the own table.
        remote: Digest of the peer's table.

    Returns:
        Sorted names. Buckets that are empty at the peer are not included.
    """
    return sorted(
        name for name, value in remote.items() if local.get(name) != value
    )


def records_in_buckets(table, buckets, now):
    """Return the records of a table that belong to the named buckets."""
    wanted = frozenset(buckets)
    return [
        record
        for kind, spec in records.KINDS.items()
        if spec.resync
        for record in table.of_kind(kind, now)
        if bucket_of(kind, record.id) in wanted
    ]


def _union_value(record):
    return record.value if record.spec.union else None
