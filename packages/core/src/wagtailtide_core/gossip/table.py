"""Table of the records of an instance and its send queues."""

import dataclasses

from wagtailtide_core.gossip import records

LINK_BYTES_PER_S = 4096
TOTAL_BYTES_PER_S = 12_288
# A link that was idle may send the bytes of this time at once.
BURST_S = 1.0


class ByteBudget:
    """Token bucket that limits the bytes sent.

    Args:
        per_s: Bytes a second.
        now: Current time in seconds.
        burst_s: Time in seconds whose bytes may be sent at once.
    """

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
        """Take bytes out of the bucket, whose level may become negative."""
        self._level -= size


@dataclasses.dataclass(frozen=True)
class _HeldRecord:
    record: records.Record
    created_at: float

    def at(self, now):
        age_s = max(0.0, now - self.created_at)
        return dataclasses.replace(self.record, age_s=age_s)


@dataclasses.dataclass
class _Link:
    region: str
    budget: ByteBudget
    # Keys to send by priority. Only the newest record of a key is sent.
    queues: dict[int, dict[tuple, None]]


class Table:
    """Records by key; merges received records and queues changed ones.

    Attributes:
        sent_bytes: Total size in bytes of the records taken for sending, by
            kind.
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
        self._records = {}
        self._links = {}
        self._link_bytes_per_s = link_bytes_per_s
        self._total_budget = ByteBudget(total_bytes_per_s, now)

    def get(self, kind, name, now):
        """Return a record with its current age, or None."""
        held = self._records.get((kind, name))
        return held.at(now) if held else None

    def of_kind(self, kind, now):
        """Return all records of a kind with their current age."""
        return [
            held.at(now)
            for (held_kind, _), held in self._records.items()
            if held_kind == kind
        ]

    def put(self, kind, name, stamp, value, now):
        """Store a record of this instance.

        Returns:
            Whether the table changed.
        """
        if records.KINDS[kind].union:
            value = tuple(sorted(set(value)))
        record = records.Record(kind, name, tuple(stamp), value)
        return bool(self.merge([record], None, now))

    def merge(self, received, source, now):
        """Merge records and queue the changed ones for the other links.

        Args:
            received: Records.
            source: Link on which they arrived; None for own records.
            now: Current time in seconds.

        Returns:
            The records that changed, as they are now in the table.
        """
        changed = []
        for record in received:
            ttl_s = record.spec.ttl_s
            if ttl_s is not None and record.age_s >= ttl_s:
                continue
            held = self._records.get(record.key)
            if held is None:
                merged = record
            else:
                current = held.at(now)
                merged = records.merge(current, record)
                if merged is current:
                    self._unqueue_for_sender(current, record, source)
                    continue
            self._records[record.key] = _HeldRecord(merged, now - merged.age_s)
            # The union may have parts that the sender does not have.
            self._enqueue(merged, None if merged.spec.union else source)
            changed.append(merged)
        return changed

    def drop_expired(self, now):
        """Drop records past the time to live of their kind."""
        for key, held in list(self._records.items()):
            ttl_s = held.record.spec.ttl_s
            if ttl_s is not None and now - held.created_at >= ttl_s:
                del self._records[key]

    def forget(self, kind, name):
        """Remove one record, for example of a member that was removed."""
        self._records.pop((kind, name), None)

    def attach(self, link, region, now):
        """Start queueing records for a link.

        Args:
            link: Link.
            region: Region of the member at the other end.
            now: Current time in seconds.
        """
        queues = {priority: {} for priority in records.Priority}
        budget = ByteBudget(self._link_bytes_per_s, now)
        self._links[link] = _Link(region, budget, queues)

    def detach(self, link):
        """Stop queueing records for a link."""
        self._links.pop(link, None)

    def queue_again(self, link, sent):
        """Queue records again whose sending failed."""
        state = self._links.get(link)
        for record in sent if state else ():
            state.queues[record.spec.priority][record.key] = None

    def take(self, link, now):
        """Take the records to send that the link's and total budgets allow.

        Returns:
            Records, most urgent first.
        """
        state = self._links.get(link)
        if state is None:
            return []
        allowed = min(
            state.budget.available(now), self._total_budget.available(now)
        )
        taken = []
        for priority in records.Priority:
            queue = state.queues[priority]
            while queue and allowed > 0:
                key = next(iter(queue))
                del queue[key]
                held = self._records.get(key)
                if held is None:
                    continue
                record = held.at(now)
                size = record.encoded_bytes()
                allowed -= size
                self._charge(record, size, state)
                taken.append(record)
        return taken

    def pending(self, link):
        """Return the number of records queued for a link."""
        state = self._links.get(link)
        return sum(map(len, state.queues.values())) if state else 0

    def _charge(self, record, size, state):
        state.budget.spend(size)
        self._total_budget.spend(size)
        kind = record.kind
        self.sent_bytes[kind] = self.sent_bytes.get(kind, 0) + size

    def _enqueue(self, record, source):
        for link, state in self._links.items():
            if link == source:
                continue
            if record.spec.region_only and state.region != self._region:
                continue
            state.queues[record.spec.priority][record.key] = None

    def _unqueue_for_sender(self, held, received, source):
        state = self._links.get(source)
        same = (held.stamp, held.value) == (received.stamp, received.value)
        if state is not None and same:
            state.queues[held.spec.priority].pop(held.key, None)
