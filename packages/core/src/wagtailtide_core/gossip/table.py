"""Records held by an instance and what it still has to send on each link."""

import dataclasses

from wagtailtide_core.gossip import records

LINK_BYTES_PER_S = 4096
TOTAL_BYTES_PER_S = 12_288
# A link that was idle may send this much at once.
BURST_S = 1.0


class ByteBudget:
    """Token bucket of bytes."""

    def __init__(self, per_s, now, burst_s=BURST_S):
        self._per_s = per_s
        self._capacity = per_s * burst_s
        self._level = self._capacity
        self._at = now

    def available(self, now):
        """Return the bytes that may be sent now."""
        earned = (now - self._at) * self._per_s
        self._level = min(self._capacity, self._level + earned)
        self._at = now
        return self._level

    def spend(self, size):
        """Take bytes out; a record above the capacity leaves a debt."""
        self._level -= size


@dataclasses.dataclass(frozen=True)
class _Held:
    record: records.Record
    as_of: float

    def at(self, now):
        age_s = max(0.0, now - self.as_of)
        return dataclasses.replace(self.record, age_s=age_s)


@dataclasses.dataclass
class _Link:
    region: str
    budget: ByteBudget
    # Keys to send by priority; a newer record takes its predecessor's place.
    queues: dict[int, dict[tuple, None]]


class Table:
    """Records by key; merges what is received, queues what is to be sent.

    Attributes:
        sent_bytes: Bytes of records taken for sending, by kind.
    """

    def __init__(
        self,
        region,
        now,
        link_bytes_per_s=LINK_BYTES_PER_S,
        total_bytes_per_s=TOTAL_BYTES_PER_S,
    ):
        self.sent_bytes = {}
        self._region = region
        self._held = {}
        self._links = {}
        self._link_bytes_per_s = link_bytes_per_s
        self._total = ByteBudget(total_bytes_per_s, now)

    def get(self, kind, name, now):
        """Return a record with its current age, or None."""
        held = self._held.get((kind, name))
        return held.at(now) if held else None

    def of_kind(self, kind, now):
        """Return all records of a kind with their current age."""
        return [
            held.at(now)
            for (held_kind, _), held in self._held.items()
            if held_kind == kind
        ]

    def put(self, kind, name, stamp, value, now):
        """Store a record of this instance; return whether it changed."""
        if records.KINDS[kind].union:
            value = tuple(sorted(set(value)))
        record = records.Record(kind, name, tuple(stamp), value)
        return bool(self.merge([record], None, now))

    def merge(self, received, source, now):
        """Merge records and queue what is new for the other links.

        Args:
            received: Records.
            source: Link that they arrived on, or None.
            now: Current time in seconds.

        Returns:
            The records that changed the table, as they are held now.
        """
        changed = []
        for record in received:
            ttl_s = record.spec.ttl_s
            if ttl_s is not None and record.age_s >= ttl_s:
                continue
            held = self._held.get(record.key)
            if held is None:
                merged = record
            else:
                current = held.at(now)
                merged = records.merge(current, record)
                if merged is current:
                    self._sender_has_it(current, record, source)
                    continue
            self._held[record.key] = _Held(merged, now - merged.age_s)
            self._queue(merged, None if merged.spec.union else source)
            changed.append(merged)
        return changed

    def drop_expired(self, now):
        """Drop records past the time to live of their kind."""
        for key, held in list(self._held.items()):
            ttl_s = held.record.spec.ttl_s
            if ttl_s is not None and now - held.as_of >= ttl_s:
                del self._held[key]

    def forget(self, kind, name):
        """Drop one record, for example of a member that was removed."""
        self._held.pop((kind, name), None)

    def attach(self, link, region, now):
        """Start to queue records for a link to a member of a region."""
        queues = {priority: {} for priority in records.Priority}
        budget = ByteBudget(self._link_bytes_per_s, now)
        self._links[link] = _Link(region, budget, queues)

    def detach(self, link):
        """Stop to queue records for a link."""
        self._links.pop(link, None)

    def queue_again(self, link, sent):
        """Queue records whose sending failed."""
        state = self._links.get(link)
        for record in sent if state else ():
            state.queues[record.spec.priority][record.key] = None

    def take(self, link, now):
        """Take the records to send on a link now, within both budgets.

        Returns:
            Records, most urgent first.
        """
        state = self._links.get(link)
        if state is None:
            return []
        allowed = min(state.budget.available(now), self._total.available(now))
        taken = []
        for priority in records.Priority:
            queue = state.queues[priority]
            while queue and allowed > 0:
                key = next(iter(queue))
                del queue[key]
                held = self._held.get(key)
                if held is None:
                    continue
                record = held.at(now)
                size = record.encoded_bytes()
                allowed -= size
                self._count(record, size, state)
                taken.append(record)
        return taken

    def pending(self, link):
        """Return the number of records queued for a link."""
        state = self._links.get(link)
        return sum(map(len, state.queues.values())) if state else 0

    def _count(self, record, size, state):
        state.budget.spend(size)
        self._total.spend(size)
        kind = record.kind
        self.sent_bytes[kind] = self.sent_bytes.get(kind, 0) + size

    def _queue(self, record, source):
        for link, state in self._links.items():
            if link == source:
                continue
            if record.spec.region_only and state.region != self._region:
                continue
            state.queues[record.spec.priority][record.key] = None

    def _sender_has_it(self, held, received, source):
        state = self._links.get(source)
        same = (held.stamp, held.value) == (received.stamp, received.value)
        if state is not None and same:
            state.queues[held.spec.priority].pop(held.key, None)
