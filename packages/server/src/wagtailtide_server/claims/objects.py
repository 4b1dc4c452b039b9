"""Read and write the store objects of one partition of claims."""

import collections

from wagtailtide_core.claims import codec
from wagtailtide_core.claims import model

from wagtailtide_server.storage import budget
from wagtailtide_server.storage import client

# Limits the decoded segments in memory; the index covers all segments.
MAX_CACHED_SEGMENTS = 16


class PartitionObjects:
    """The head and sealed segments of a partition, as last read.

    Attributes:
        head: Head as last read or written.
        version: Store version of the head, or None if it does not exist.
        head_is_read: Whether the head was read at least once.
    """

    def __init__(self, store, partition):
        self.head = model.Head()
        self.version = None
        self.head_is_read = False
        self._store = store
        self._prefix = f'claims/{partition:02d}'
        self._segment_by_key = {}
        self._indexed_segments = set()
        self._cached_segments = collections.OrderedDict()

    async def read_head(self):
        """Read the head.

        Raises:
            Unavailable: If the store does not respond, or returns an older
                state than was read or written before.
        """
        found = await self._store.get(
            f'{self._prefix}/head', activity=budget.Activity.CLAIMS
        )
        if found is not None and self._is_older(found.version):
            raise client.Unavailable(
                'expected the known head or a newer one, got an older one'
            )
        if found is None and self.version is not None:
            raise client.Unavailable('expected the known head, got none')
        if found is not None:
            self.head = codec.decode_head(found.value)
            self.version = found.version
        self.head_is_read = True

    def _is_older(self, version):
        return self.version is not None and version < self.version

    async def write_head(self, head):
        """Write the head if it is still the one that was read.

        Raises:
            Conflict, Unavailable, WriteUnknown: See StoreClient.put.
        """
        self.version = await self._store.put(
            f'{self._prefix}/head',
            codec.encode_head(head),
            self.version,
            activity=budget.Activity.CLAIMS,
        )
        self.head = head

    async def write_segment(self, number, entries):
        """Create a sealed segment.

        Returns:
            Whether the number was free. A writer that fails after writing
            the segment and before writing the head leaves a segment that no
            head refers to.
        """
        try:
            await self._store.put(
                f'{self._prefix}/{number}',
                codec.encode_segment(entries),
                None,
                activity=budget.Activity.CLAIMS,
            )
        except client.Conflict:
            return False
        return True

    async def load_sealed_claims(self, key_hashes):
        """Return the claims of keys from the sealed segments.

        Args:
            key_hashes: Hashes of the keys.

        Returns:
            The newest sealed claim by key hash; keys without one are left
            out.

        Raises:
            Unavailable: If a segment cannot be read.
        """
        for segment in self.head.sealed:
            if segment.number not in self._indexed_segments:
                await self._load_segment(segment.number)
        found = {}
        for key_hash in key_hashes:
            number = self._segment_by_key.get(key_hash)
            if number is not None:
                found[key_hash] = (await self._load_segment(number))[key_hash]
        return found

    async def _load_segment(self, number):
        if number in self._cached_segments:
            self._cached_segments.move_to_end(number)
            return self._cached_segments[number]
        stored = await self._store.get(
            f'{self._prefix}/{number}', activity=budget.Activity.CLAIMS
        )
        if stored is None:
            raise client.Unavailable(
                f'expected segment {number}, got none; it is read again'
            )
        entries = codec.decode_segment(stored.value)
        self._index_segment(number, entries)
        self._cached_segments[number] = entries
        if len(self._cached_segments) > MAX_CACHED_SEGMENTS:
            self._cached_segments.popitem(last=False)
        return entries

    def _index_segment(self, number, entries):
        if number in self._indexed_segments:
            return
        self._indexed_segments.add(number)
        for key_hash in entries:
            known = self._segment_by_key.get(key_hash, -1)
            self._segment_by_key[key_hash] = max(known, number)
