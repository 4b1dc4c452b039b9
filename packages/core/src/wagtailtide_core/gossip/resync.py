"""Find and send what two tables do not have in common."""

import xxhash

from wagtailtide_core.gossip import records

# Of a kind with one difference, about this part is sent.
BUCKETS = 16


def bucket_of(kind, name):
    """Return the name of the bucket of a record."""
    return f'{kind}/{xxhash.xxh32_intdigest(name.encode()) % BUCKETS}'


def digest(table, now):
    """Return the hash of each bucket that is not empty.

    Args:
        table: Table.
        now: Current time in seconds.

    Returns:
        Hash by bucket; the same for equal sets of records, whatever their
        ages.
    """
    buckets = {}
    for kind, spec in records.KINDS.items():
        if not spec.resync:
            continue
        for record in table.of_kind(kind, now):
            content = repr((record.id, record.stamp, _union_value(record)))
            value = xxhash.xxh64_intdigest(content.encode())
            name = bucket_of(kind, record.id)
            # Addition is independent of the order, unlike a running hash,
            # and unlike XOR does not cancel out equal hashes.
            buckets[name] = (buckets.get(name, 0) + value) % 2**64
    return buckets


def differing(mine, theirs):
    """Return the buckets that the other side has and that differ."""
    return sorted(
        name for name, value in theirs.items() if mine.get(name) != value
    )


def select(table, buckets, now):
    """Return the records of the named buckets."""
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
