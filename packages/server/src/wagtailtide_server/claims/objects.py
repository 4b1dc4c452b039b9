"""Read and write the store objects of one partition of claims."""

import collections

from wagtailtide_core.claims import codec
from wagtailtide_core.claims import model

from wagtailtide_server.storage import budget
from wagtailtide_server.storage import client

# Segments whose claims are kept decoded; the index covers all segments.
CACHED_SEGMENTS = 16


class PartitionObjects:
    """The head and sealed segments of a partition, as last read.

    Attributes:
        head: Head as last read or written.
        version: Store version of the head, or None if it does not exist.
        loaded: Whether the head was read at all.
    """

    def __init__(self, store, partition):
        self.head = model.Head()
        self.version = None
        self.loaded = False
        self._store = store
        self._prefix = f'claims/{partition:02d}'
        self._segment_of = {}
        self._indexed = set()
        self._cache = collections.OrderedDict()

    async def read(self):
        """Read the head; raises Unavailable if there is no answer."""
        found = await self._store.get(
            f'{self._prefix}/head', activity=budget.Activity.CLAIMS
        )
        if found is not None and self._is_older(found.version):
            raise client.Unavailable('answer is older than the known head')
        if found is None and self.version is not None:
            raise client.Unavailable('answer lacks a head that was known')
        if found is not None:
            self.head = codec.decode_head(found.value)
            self.version = found.version
        self.loaded = True

    def _is_older(self, version):
        return self.version is not None and version < self.version

    async def write(self, head):
        """Write the head if it is still the one that was read.

        Raises:
            Conflict, Unavailable, WriteUnknown: As StoreClient.put.
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
            Whether the number was free. A writer that failed between the
            segment and the head leaves an unreferenced segment behind.
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

    async def load_sealed(self, key_hashes):
        """Return the sealed claims of some keys.

        Args:
            key_hashes: Hashes that are asked for.

        Returns:
            The newest sealed claim by key hash, where there is one.
        """
        for segment in self.head.sealed:
            if segment.number not in self._indexed:
                await self._load(segment.number)
        found = {}
        for key_hash in key_hashes:
            number = self._segment_of.get(key_hash)
            if number is not None:
                found[key_hash] = (await self._load(number))[key_hash]
        return found

    async def _load(self, number):
        if number in self._cache:
            self._cache.move_to_end(number)
            return self._cache[number]
        stored = await self._store.get(
            f'{self._prefix}/{number}', activity=budget.Activity.CLAIMS
        )
        if stored is None:
            raise client.Unavailable(f'segment {number} is not readable yet')
        entries = codec.decode_segment(stored.value)
        self._index(number, entries)
        self._cache[number] = entries
        if len(self._cache) > CACHED_SEGMENTS:
            self._cache.popitem(last=False)
        return entries

    def _index(self, number, entries):
        if number in self._indexed:
            return
        self._indexed.add(number)
        for key_hash in entries:
            known = self._segment_of.get(key_hash, -1)
            self._segment_of[key_hash] = max(known, number)
