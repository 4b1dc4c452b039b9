"""Prompt prefix cache of an engine, and its late events with gaps."""

import base64
import collections
import json

import xxhash

BLOCK_CHARS = 64
KEPT_EVENTS = 10_000


def block_ids(model, adapter, prompt):
    """Return the chained hashes of the whole blocks of a prompt."""
    digest = f'{model}\0{adapter or ""}'
    ids = []
    for end in range(BLOCK_CHARS, len(prompt) + 1, BLOCK_CHARS):
        digest += '\0' + prompt[end - BLOCK_CHARS : end]
        digest = xxhash.xxh64_hexdigest(digest.encode())
        ids.append(digest)
    return ids


class PrefixCache:
    """Least recently used blocks of prompts.

    Args:
        capacity: Number of blocks.
        lag_s: Time before an event is published.
        gap_rate: Share of events that are never published.
        rng: Random source for the gaps.
    """

    def __init__(self, capacity, lag_s, gap_rate, rng):
        self._capacity = capacity
        self._lag_s = lag_s
        self._gap_rate = gap_rate
        self._rng = rng
        self._blocks = collections.OrderedDict()
        self._events = collections.deque(maxlen=KEPT_EVENTS)
        self._seq = 0

    def use(self, model, adapter, prompt, now):
        """Look a prompt up and keep its blocks.

        Returns:
            The share of the prompt that was cached, 0 to 1.
        """
        ids = block_ids(model, adapter, prompt)
        hits = 0
        while hits < len(ids) and ids[hits] in self._blocks:
            self._blocks.move_to_end(ids[hits])
            hits += 1
        for block in ids[hits:]:
            self._store(block, model, adapter, now)
        return hits * BLOCK_CHARS / len(prompt) if hits else 0.0

    def export(self, model, adapter, prompt):
        """Return the cached blocks of a prompt as an opaque text."""
        ids = block_ids(model, adapter, prompt)
        held = [block for block in ids if block in self._blocks]
        data = json.dumps([model, adapter, held]).encode()
        return base64.b64encode(data).decode()

    def import_(self, blob, now):
        """Keep the blocks of an exported text; return their number.

        Raises:
            ValueError: The text was not made by `export`.
        """
        model, adapter, ids = json.loads(base64.b64decode(blob))
        for block in ids:
            self._store(block, model, adapter, now)
        return len(ids)

    def events(self, since, now):
        """Return the published events after a sequence number."""
        return [
            event
            for at, event in self._events
            if event['seq'] > since and at + self._lag_s <= now
        ]

    def _store(self, block, model, adapter, now):
        self._blocks[block] = (model, adapter)
        self._blocks.move_to_end(block)
        self._note('stored', block, model, adapter, now)
        while len(self._blocks) > self._capacity:
            old, owner = self._blocks.popitem(last=False)
            self._note('evicted', old, *owner, now)

    def _note(self, kind, block, model, adapter, now):
        # A gap shows as a missing sequence number.
        self._seq += 1
        if self._rng.random() < self._gap_rate:
            return
        event = {
            'seq': self._seq,
            'kind': kind,
            'model': model,
            'adapter': adapter,
            'block': block,
        }
        self._events.append((now, event))
