"""Batch the claims of one partition into conditional updates of its head."""

import dataclasses

import anyio
from wagtailtide_core.claims import codec
from wagtailtide_core.claims import model
from wagtailtide_core.claims import partition

from wagtailtide_server.claims import objects
from wagtailtide_server.storage import client

# Claims that arrive within this time are written together.
BATCH_WINDOW_S = 0.02
# Bounds the load on the store to four writes per second and partition.
WRITE_INTERVAL_S = 0.25
# A caller that waits longer for its claim is refused.
FLUSH_TIMEOUT_S = 3.0
RETRY_DELAY_S = 0.05


class ClaimsUnavailable(Exception):
    """The store did not confirm the claims; they may have been written."""


@dataclasses.dataclass(eq=False)
class _Batch:
    requests: list
    changes: list
    done: anyio.Event
    results: dict = dataclasses.field(default_factory=dict)
    error: Exception | None = None


class PartitionWriter:
    """Writes one partition; several instances may do so concurrently."""

    def __init__(self, store, number, invariants):
        self.objects = objects.PartitionObjects(store, number)
        self._invariants = invariants
        self._pending = None
        self._write_lock = anyio.Lock()
        self._next_write_at = 0.0

    async def submit(self, requests=(), changes=()):
        """Add claims and changes of state to the next write and await it.

        The first submitter of a batch writes it for all. The write is
        shielded from cancellation, so that a caller that disconnects does not
        fail the others.

        Args:
            requests: Claims to make.
            changes: Changes of state.

        Returns:
            ClaimResult by claim id.

        Raises:
            ClaimsUnavailable: If the store did not confirm the write.
        """
        batch = self._pending
        is_first = batch is None
        if is_first:
            batch = self._pending = _Batch([], [], anyio.Event())
        batch.requests.extend(requests)
        batch.changes.extend(changes)
        if is_first:
            with anyio.CancelScope(shield=True):
                await self._write_batch(batch)
        await batch.done.wait()
        if batch.error is not None:
            raise ClaimsUnavailable(str(batch.error)) from batch.error
        return batch.results

    async def _write_batch(self, batch):
        await anyio.sleep(BATCH_WINDOW_S)
        async with self._write_lock:
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
        reread = False
        while True:
            try:
                if not self.objects.head_is_read or reread:
                    await self.objects.read_head()
                head, results = await self._apply(batch)
                if head.entries == self.objects.head.entries:
                    if reread:
                        return results
                    # The known head needs no change but may be stale:
                    # another writer may have added claims that this batch
                    # refers to.
                    reread = True
                    continue
                await self._write(head)
                self._check_granted(results)
                return results
            except (client.Conflict, client.WriteUnknown):
                reread = True
            except client.Unavailable:
                reread = True
                await anyio.sleep(RETRY_DELAY_S)

    async def _apply(self, batch):
        keys = {r.key_hash for r in (*batch.requests, *batch.changes)}
        sealed = await self.objects.load_sealed_claims(keys)
        head, results = partition.claim(
            self.objects.head, sealed.get, tuple(batch.requests)
        )
        head = partition.apply_changes(head, sealed.get, tuple(batch.changes))
        results_by_id = {
            requested.claim_id: result
            for requested, result in zip(batch.requests, results, strict=True)
        }
        return head, results_by_id

    async def _write(self, head):
        if len(codec.encode_head(head)) > partition.HEAD_LIMIT_BYTES:
            sealed_head, entries = partition.seal(head, 0)
            number = head.next_segment
            if not await self.objects.write_segment(number, entries):
                skipped = dataclasses.replace(head, next_segment=number + 1)
                await self._write(skipped)
                return
            head = sealed_head
        await self.objects.write_head(head)

    def _check_granted(self, results):
        for claim_id, result in results.items():
            if result.kind is not model.ClaimResultKind.GRANTED:
                continue
            self._invariants.check(
                'granted_claim_is_own',
                result.claim.claim_id == claim_id,
                claim_id=claim_id.hex(),
            )

    def cached_claim(self, key_hash):
        """Return the claim in the head as last read, or None."""
        return self.objects.head.entries.get(key_hash)
