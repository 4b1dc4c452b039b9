"""Batch the claims of one partition into conditional updates of its head."""

import dataclasses

import anyio
from wagtailtide_core.claims import codec
from wagtailtide_core.claims import model
from wagtailtide_core.claims import partition

from wagtailtide_server.claims import objects
from wagtailtide_server.storage import client

# Claims that arrive within this time share a write.
BATCH_WINDOW_S = 0.02
# At most four writes a second for each partition bound the store's load.
WRITE_INTERVAL_S = 0.25
# A caller that waits for a claim is refused after this time.
FLUSH_TIMEOUT_S = 3.0
RETRY_DELAY_S = 0.05


class ClaimsUnavailable(Exception):
    """The store did not confirm the claims; they may have been written."""


@dataclasses.dataclass(eq=False)
class _Batch:
    requests: list
    records: list
    done: anyio.Event
    results: dict = dataclasses.field(default_factory=dict)
    error: Exception | None = None


class PartitionWriter:
    """Writer of one partition; any instance may run one at any time."""

    def __init__(self, store, number, invariants):
        self.objects = objects.PartitionObjects(store, number)
        self._invariants = invariants
        self._pending = None
        self._turn = anyio.Lock()
        self._next_write_at = 0.0

    async def submit(self, requests=(), records=()):
        """Add claims and records to the next write and wait for it.

        The first submitter of a batch writes it for all; it is shielded from
        cancellation, so that a caller that leaves does not fail the others.

        Args:
            requests: Claims to ask for.
            records: Changes of state.

        Returns:
            Results by claim id.

        Raises:
            ClaimsUnavailable: If the store did not confirm the write.
        """
        batch = self._pending
        leads = batch is None
        if leads:
            batch = self._pending = _Batch([], [], anyio.Event())
        batch.requests.extend(requests)
        batch.records.extend(records)
        if leads:
            with anyio.CancelScope(shield=True):
                await self._lead(batch)
        await batch.done.wait()
        if batch.error is not None:
            raise ClaimsUnavailable(str(batch.error)) from batch.error
        return batch.results

    async def _lead(self, batch):
        await anyio.sleep(BATCH_WINDOW_S)
        async with self._turn:
            await anyio.sleep_until(self._next_write_at)
            self._pending = None
            self._next_write_at = anyio.current_time() + WRITE_INTERVAL_S
            try:
                with anyio.fail_after(FLUSH_TIMEOUT_S):
                    batch.results = await self._flush(batch)
            except (client.StoreError, TimeoutError) as exc:
                batch.error = exc
            except codec.ClaimsFormatError as exc:
                batch.error = exc
            finally:
                batch.done.set()

    async def _flush(self, batch):
        fresh = False
        while True:
            try:
                if not self.objects.loaded or fresh:
                    await self.objects.read()
                head, results = await self._apply(batch)
                if head.entries == self.objects.head.entries:
                    if fresh:
                        return results
                    # Nothing to write by a head that may be stale: another
                    # writer may have added what this batch refers to.
                    fresh = True
                    continue
                await self._write(head)
                self._check_granted(results)
                return results
            except (client.Conflict, client.WriteUnknown):
                fresh = True
            except client.Unavailable:
                fresh = True
                await anyio.sleep(RETRY_DELAY_S)

    async def _apply(self, batch):
        keys = {r.key_hash for r in (*batch.requests, *batch.records)}
        sealed = await self.objects.load_sealed(keys)
        head, results = partition.claim(
            self.objects.head, sealed.get, tuple(batch.requests)
        )
        head = partition.record(head, sealed.get, tuple(batch.records))
        by_id = {
            wanted.claim_id: result
            for wanted, result in zip(batch.requests, results, strict=True)
        }
        return head, by_id

    async def _write(self, head):
        if len(codec.encode_head(head)) > partition.HEAD_LIMIT_BYTES:
            sealed_head, entries = partition.seal(head, 0)
            number = head.next_segment
            if not await self.objects.write_segment(number, entries):
                skipped = dataclasses.replace(head, next_segment=number + 1)
                await self._write(skipped)
                return
            head = sealed_head
        await self.objects.write(head)

    def _check_granted(self, results):
        for claim_id, result in results.items():
            if result.kind is not model.ClaimResultKind.GRANTED:
                continue
            self._invariants.check(
                'granted_claim_is_own',
                result.claim.claim_id == claim_id,
                claim_id=claim_id.hex(),
            )

    def cached(self, key_hash):
        """Return the claim as last seen in the head, or None."""
        return self.objects.head.entries.get(key_hash)
