"""Claim idempotency keys before a non-idempotent request is sent."""

import dataclasses
import enum
import logging

import anyio
from wagtailtide_core.claims import codec
from wagtailtide_core.claims import model
from wagtailtide_core.errors import kinds

from wagtailtide_server.claims import held_claims
from wagtailtide_server.claims import outcomes
from wagtailtide_server.claims import writer

LOG = logging.getLogger(__name__)

OP_SUBMIT = 'claims.submit'
OP_STATE = 'claims.state'
# Longer than the write interval of a coordinator plus one store write.
COORDINATOR_TIMEOUT_S = 0.5
HOLDER_TIMEOUT_S = 1.0
PENDING_WRITE_INTERVAL_S = 1.0
CLAIM_ID_BYTES = 12
# An abandoned claim is released and claimed again, so each further attempt
# needs another abandoned claim.
MAX_CLAIM_ATTEMPTS = 3


class AnswerKind(enum.StrEnum):
    """How to proceed with a request that has an idempotency key."""

    GRANTED = 'granted'
    REPLAY = 'replay'
    STILL_RUNNING = 'still_running'
    OUTCOME_UNKNOWN = 'outcome_unknown'
    BODY_MISMATCH = 'body_mismatch'


@dataclasses.dataclass(frozen=True)
class Answer:
    """Answer of the claim service to a request with an idempotency key.

    Attributes:
        kind: How to proceed with the request.
        held_claim: The granted claim.
        outcome: Recorded response to replay.
    """

    kind: AnswerKind
    held_claim: held_claims.HeldClaim | None = None
    outcome: model.Outcome | None = None


class ClaimService:
    """Claims keys for one instance and writes claims to partitions.

    Attributes:
        held_claims: Claims that this instance holds.
    """

    def __init__(
        self, *, store, peers, coordinator_of, instance, boot, invariants, rng
    ):
        """Create the service and register the operations for its peers.

        Args:
            store: StoreClient.
            peers: Object with ``call(name, op, body, timeout_s)`` and
                ``register(op, handler)``.
            coordinator_of: Function from partition number to the name of the
                instance that should write it, or None.
            instance: Name of this instance.
            boot: Function that returns the boot number of this instance.
            invariants: Invariants to check against.
            rng: Random generator for claim ids.
        """
        self.held_claims = held_claims.HeldClaims(invariants)
        self._store = store
        self._peers = peers
        self._coordinator_of = coordinator_of
        self._instance = instance
        self._boot = boot
        self._invariants = invariants
        self._rng = rng
        self._writers = {}
        peers.register(OP_SUBMIT, self._on_submit)
        peers.register(OP_STATE, self._on_state)

    async def run(self):
        """Write pending changes of state to the store until cancelled."""
        while True:
            await anyio.sleep(PENDING_WRITE_INTERVAL_S)
            await self.write_pending_changes()

    async def claim(self, org, route, idempotency_key, body_hash):
        """Claim an idempotency key for one request.

        Args:
            org: Name of the organisation.
            route: Path of the route.
            idempotency_key: Key as sent by the caller.
            body_hash: Hash of method, target and body.

        Returns:
            Answer.

        Raises:
            ServingError: CLAIMS_UNAVAILABLE if the store did not confirm the
                claim; OUTCOME_UNKNOWN if a recorded response body cannot be
                read.
        """
        key_hash = model.hash_key(org, route, idempotency_key)
        for _ in range(MAX_CLAIM_ATTEMPTS):
            requested = model.Claim(
                key_hash,
                body_hash,
                self._rng.randbytes(CLAIM_ID_BYTES),
                self._instance,
                self._boot(),
            )
            answer = await self._claim_once(requested)
            if answer is not None:
                return answer
        return Answer(AnswerKind.STILL_RUNNING)

    async def _claim_once(self, requested):
        held_claim = self.held_claims.add(requested)
        try:
            result = await self._submit_claim(requested)
        except BaseException as exc:
            # The claim may be in the store, so it is released there later.
            self.held_claims.finish(
                held_claim, model.ClaimState.RELEASED, None
            )
            if not isinstance(exc, writer.ClaimsUnavailable):
                raise
            return await self._resolve_without_store(requested, exc)
        if result.kind is model.ClaimResultKind.GRANTED:
            held_claim.state = held_claims.HeldClaimState.RUNNING
            return Answer(AnswerKind.GRANTED, held_claim)
        self.held_claims.remove(held_claim)
        if result.kind is model.ClaimResultKind.BODY_MISMATCH:
            return Answer(AnswerKind.BODY_MISMATCH)
        return await self._resolve_existing(result.claim)

    async def _resolve_without_store(self, requested, exc):
        finished = self.held_claims.finished_claim(requested.key_hash)
        cached_claim = self._writer_for_key(requested.key_hash).cached_claim(
            requested.key_hash
        )
        if finished is not None:
            known = dataclasses.replace(
                finished.claim,
                state=finished.pending_change.state,
                outcome=finished.pending_change.outcome,
            )
        else:
            known = cached_claim
        if known is None or known.state is model.ClaimState.RELEASED:
            raise kinds.ServingError(
                kinds.ErrorKind.CLAIMS_UNAVAILABLE,
                'expected the platform to record the Idempotency-Key, got no '
                'confirmation; send the request again with the same key',
            ) from exc
        if known.body_hash != requested.body_hash:
            return Answer(AnswerKind.BODY_MISMATCH)
        return await self._resolve_existing(known)

    async def _resolve_existing(self, claim):
        if claim.state is model.ClaimState.DONE:
            return await self._replay(claim.outcome)
        if claim.state is model.ClaimState.UNKNOWN:
            return Answer(AnswerKind.OUTCOME_UNKNOWN)
        state, outcome = await self._ask_holder(claim)
        if outcome is not None:
            return await self._replay(outcome)
        if state in (
            held_claims.HeldClaimState.CLAIMING,
            held_claims.HeldClaimState.RUNNING,
        ):
            return Answer(AnswerKind.STILL_RUNNING)
        if state is held_claims.HeldClaimState.ABANDONED:
            return await self._change_state(claim, model.ClaimState.RELEASED)
        if state is not None:
            # The holder removes a claim once its outcome is recorded, which
            # may have been after the claim was read here. In that case the
            # change has no effect, and the next attempt finds the outcome.
            return await self._change_state(claim, model.ClaimState.UNKNOWN)
        return Answer(AnswerKind.OUTCOME_UNKNOWN)

    async def _change_state(self, claim, state):
        change = model.StateChange(claim.key_hash, claim.claim_id, state)
        try:
            await self._submit((), (change,))
        except writer.ClaimsUnavailable:
            return Answer(AnswerKind.OUTCOME_UNKNOWN)
        return None

    async def _replay(self, outcome):
        restored = await outcomes.restore_body(self._store, outcome)
        return Answer(AnswerKind.REPLAY, outcome=restored)

    async def _ask_holder(self, claim):
        if claim.instance == self._instance:
            if claim.boot != self._boot():
                return held_claims.HeldClaimState.NOT_KNOWN, None
            return self.held_claims.state_and_outcome(claim.claim_id)
        body = {'claim_id': claim.claim_id, 'boot': claim.boot}
        try:
            reply = await self._peers.call(
                claim.instance, OP_STATE, body, HOLDER_TIMEOUT_S
            )
        except Exception as exc:
            LOG.info(
                'claim holder did not respond',
                extra={'holder': claim.instance, 'exc': repr(exc)},
            )
            return None, None
        outcome = codec.outcome_from_list(reply['outcome'])
        return held_claims.HeldClaimState(reply['state']), outcome

    async def record_outcome(self, held_claim, outcome):
        """Set a complete response as the outcome; it is written later."""
        stored = await outcomes.store_large_body(
            self._store, held_claim, outcome
        )
        self.held_claims.finish(held_claim, model.ClaimState.DONE, stored)

    def record_unknown(self, held_claim):
        """Set the outcome as unknown: the request may have run."""
        self.held_claims.finish(held_claim, model.ClaimState.UNKNOWN, None)

    def release(self, held_claim):
        """Release the claim of a request that certainly did not run."""
        self.held_claims.finish(held_claim, model.ClaimState.RELEASED, None)

    async def write_pending_changes(self):
        """Write pending changes of state, as far as the store confirms."""
        async with anyio.create_task_group() as group:
            for held_claim in self.held_claims.with_pending_change():
                group.start_soon(self._write_pending_change, held_claim)

    async def _write_pending_change(self, held_claim):
        try:
            await self._submit((), (held_claim.pending_change,))
        except writer.ClaimsUnavailable:
            return
        self.held_claims.remove(held_claim)

    async def _submit_claim(self, requested):
        results = await self._submit((requested,), ())
        return results[requested.claim_id]

    async def _submit(self, requests, changes):
        first = (*requests, *changes)[0]
        number = model.partition_of(first.key_hash)
        name = self._coordinator_of(number)
        if name is not None and name != self._instance:
            try:
                return await self._submit_to(name, number, requests, changes)
            except Exception as exc:
                # Repeating a write with the same claim id has no effect.
                LOG.info(
                    'claims coordinator did not respond; writing directly',
                    extra={'coordinator': name, 'exc': repr(exc)},
                )
        return await self._writer_for_partition(number).submit(
            requests, changes
        )

    async def _submit_to(self, name, number, requests, changes):
        body = {
            'partition': number,
            'requests': [codec.claim_to_list(c) for c in requests],
            'records': [codec.change_to_list(r) for r in changes],
        }
        reply = await self._peers.call(
            name, OP_SUBMIT, body, COORDINATOR_TIMEOUT_S
        )
        return {
            claim_id: model.ClaimResult(
                model.ClaimResultKind(kind), codec.claim_from_list(claim)
            )
            for claim_id, kind, claim in reply['results']
        }

    async def _on_submit(self, sender, body):
        requests = [codec.claim_from_list(raw) for raw in body['requests']]
        changes = [codec.change_from_list(raw) for raw in body['records']]
        results = await self._writer_for_partition(body['partition']).submit(
            requests, changes
        )
        return {
            'results': [
                [claim_id, str(r.kind), codec.claim_to_list(r.claim)]
                for claim_id, r in results.items()
            ]
        }

    async def _on_state(self, sender, body):
        if body['boot'] != self._boot():
            return {'state': 'not_known', 'outcome': None}
        state, outcome = self.held_claims.state_and_outcome(body['claim_id'])
        return {'state': str(state), 'outcome': codec.outcome_to_list(outcome)}

    def _writer_for_key(self, key_hash):
        return self._writer_for_partition(model.partition_of(key_hash))

    def _writer_for_partition(self, number):
        if number not in self._writers:
            self._writers[number] = writer.PartitionWriter(
                self._store, number, self._invariants
            )
        return self._writers[number]
