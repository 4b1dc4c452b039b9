"""Prompt prefix cache of an engine and the events it publishes.

Events are published late, and some are lost.
"""

import base64
import collections
import json

import xxhash

BLOCK_CHARS = 64
MAX_EVENTS = 10_000


def block_ids(model, adapter, prompt):
    """Return the chained hashes of the complete blocks of a prompt."""
    digest = f'{model}\0{adapter or ""}'
    ids = []
    for end in range(BLOCK_CHARS, len(prompt) + 1, BLOCK_CHARS):
        digest += '\0' + prompt[end - BLOCK_CHARS : end]
        digest = xxhash.xxh64_hexdigest(digest.encode())
        ids.append(digest)
    return ids


class PrefixCache:
    """LRU cache of prompt blocks.

    Args:
        capacity: Maximum number of blocks.
        lag_s: Seconds between an event and its publication.
        gap_rate: Fraction of events that are never published, 0 to 1.
        rng: Random number generator that selects the lost events.
    """

    def __init__(self, capacity, lag_s, gap_rate, rng):
        self._capacity = capacity
        self._lag_s = lag_s
        self._gap_rate = gap_rate
        self._rng = rng
        self._blocks = collections.OrderedDict()
        self._events = collections.deque(maxlen=MAX_EVENTS)
        self._last_seq = 0

    def access(self, model, adapter, prompt, now):
        """Look up a prompt and store its missing blocks.

        Returns:
            The fraction of the prompt that was cached, 0 to 1.
        """
        ids = block_ids(model, adapter, prompt)
        hit_count = 0
        while hit_count < len(ids) and ids[hit_count] in self._blocks:
            self._blocks.move_to_end(ids[hit_count])
            hit_count += 1
        for block_id in ids[hit_count:]:
            self._store(block_id, model, adapter, now)
        return hit_count * BLOCK_CHARS / len(prompt) if hit_count else 0.0

    def export(self, model, adapter, prompt):
        """Return the cached blocks of a prompt as an opaque string."""
        ids = block_ids(model, adapter, prompt)
        cached_ids = [block_id for block_id in ids if block_id in self._blocks]
        data = json.dumps([model, adapter, cached_ids]).encode()
        return base64.b64encode(data).decode()

    def import_(self, blob, now):
        """Store the blocks of an exported string; return their number.

        Raises:
            ValueError: The string was not made by `export`.
        """
        model, adapter, ids = json.loads(base64.b64decode(blob))
        for block_id in ids:
            self._store(block_id, model, adapter, now)
        return len(ids)

    def events(self, since, now):
        """Return the published events with a higher sequence number."""
        return [
            event
            for at, event in self._events
            if event['seq'] > since and at + self._lag_s <= now
        ]

    def _store(self, block_id, model, adapter, now):
        self._blocks[block_id] = (model, adapter)
        self._blocks.move_to_end(block_id)
        self._add_event('stored', block_id, model, adapter, now)
        while len(self._blocks) > self._capacity:
            evicted_id, evicted_owner = self._blocks.popitem(last=False)
            self._add_event('evicted', evicted_id, *evicted_owner, now)

    def _add_event(self, kind, block_id, model, adapter, now):
        # A lost event leaves a gap in the sequence numbers.
        self._last_seq += 1
        if self._rng.random() < self._gap_rate:
            return
        event = {
            'seq': self._last_seq,
            'kind': kind,
            'model': model,
            'adapter': adapter,
            'block': block_id,
        }
        self._events.append((now, event))
