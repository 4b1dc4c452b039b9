"""Claim idempotency keys before a non-idempotent request is sent."""

import dataclasses
import enum
import logging

import anyio
from wagtailtide_core.claims import codec
from wagtailtide_core.claims import model
from wagtailtide_core.errors import kinds

from wagtailtide_server.claims import holdings
from wagtailtide_server.claims import outcomes
from wagtailtide_server.claims import writer

LOG = logging.getLogger(__name__)

OP_SUBMIT = 'claims.submit'
OP_STATE = 'claims.state'
# Longer than a coordinator's write interval plus one store write.
COORDINATOR_TIMEOUT_S = 0.5
HOLDER_TIMEOUT_S = 1.0
RECORD_INTERVAL_S = 1.0
CLAIM_ID_BYTES = 12
# A released claim is claimed anew; each pass needs another abandoned holder.
MAX_PASSES = 3


class AnswerKind(enum.StrEnum):
    """What the caller of a keyed request gets."""

    GRANTED = 'granted'
    REPLAY = 'replay'
    STILL_RUNNING = 'still_running'
    OUTCOME_UNKNOWN = 'outcome_unknown'
    BODY_MISMATCH = 'body_mismatch'


@dataclasses.dataclass(frozen=True)
class Answer:
    """Answer to a submission with an idempotency key.

    Attributes:
        kind: What to do.
        holding: The granted holding.
        outcome: The response to replay.
    """

    kind: AnswerKind
    holding: holdings.Holding | None = None
    outcome: model.Outcome | None = None


class ClaimService:
    """Claims of one instance, and its writers for partitions.

    Attributes:
        holdings: Claims that this instance holds.
    """

    def __init__(
        self, *, store, peers, coordinator_of, instance, boot, invariants, rng
    ):
        """Create the service and register its peer operations.

        Args:
            store: StoreClient.
            peers: Object with ``call(name, op, body, timeout_s)`` and
                ``register(op, handler)``.
            coordinator_of: Function from partition number to the name of its
                preferred writer.
            instance: Name of this instance.
            boot: Function that returns the boot number of this instance.
            invariants: Invariants to check against.
            rng: Random generator for claim ids.
        """
        self.holdings = holdings.Holdings(invariants)
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
        """Record outcomes that are not yet in the store, for ever."""
        while True:
            await anyio.sleep(RECORD_INTERVAL_S)
            await self.record_pending()

    async def claim(self, org, route, idempotency_key, body_hash):
        """Claim a key for one submission.

        Args:
            org: Name of the organisation.
            route: Path of the route.
            idempotency_key: Key as sent by the caller.
            body_hash: Hash of method, target and body.

        Returns:
            Answer.

        Raises:
            ServingError: CLAIMS_UNAVAILABLE if the store did not confirm.
        """
        key_hash = model.hash_key(org, route, idempotency_key)
        for _ in range(MAX_PASSES):
            wanted = model.Claim(
                key_hash,
                body_hash,
                self._rng.randbytes(CLAIM_ID_BYTES),
                self._instance,
                self._boot(),
            )
            answer = await self._claim_once(wanted)
            if answer is not None:
                return answer
        return Answer(AnswerKind.STILL_RUNNING)

    async def _claim_once(self, wanted):
        holding = self.holdings.add(wanted)
        try:
            result = await self._submit_claim(wanted)
        except BaseException as exc:
            # The claim may be in the store; it is released when possible.
            self.holdings.finish(holding, model.ClaimState.RELEASED, None)
            if not isinstance(exc, writer.ClaimsUnavailable):
                raise
            return await self._answer_without_store(wanted, exc)
        if result.kind is model.ClaimResultKind.GRANTED:
            holding.state = holdings.HoldingState.RUNNING
            return Answer(AnswerKind.GRANTED, holding)
        self.holdings.remove(holding)
        if result.kind is model.ClaimResultKind.BODY_MISMATCH:
            return Answer(AnswerKind.BODY_MISMATCH)
        return await self._answer_existing(result.claim)

    async def _answer_without_store(self, wanted, exc):
        finished = self.holdings.outcome_of(wanted.key_hash)
        cached = self._writer_of(wanted.key_hash).cached(wanted.key_hash)
        if finished is not None:
            known = dataclasses.replace(
                finished.claim,
                state=finished.change.state,
                outcome=finished.change.outcome,
            )
        else:
            known = cached
        if known is None or known.state is model.ClaimState.RELEASED:
            raise kinds.ServingError(
                kinds.ErrorKind.CLAIMS_UNAVAILABLE,
                'expected the platform to record the Idempotency-Key, got no '
                'confirmation; send the request again with the same key',
            ) from exc
        if known.body_hash != wanted.body_hash:
            return Answer(AnswerKind.BODY_MISMATCH)
        return await self._answer_existing(known)

    async def _answer_existing(self, claim):
        if claim.state is model.ClaimState.DONE:
            return await self._replay(claim.outcome)
        if claim.state is model.ClaimState.UNKNOWN:
            return Answer(AnswerKind.OUTCOME_UNKNOWN)
        state, outcome = await self._ask_holder(claim)
        if outcome is not None:
            return await self._replay(outcome)
        if state in (
            holdings.HoldingState.CLAIMING,
            holdings.HoldingState.RUNNING,
        ):
            return Answer(AnswerKind.STILL_RUNNING)
        if state is holdings.HoldingState.ABANDONED:
            return await self._change(claim, model.ClaimState.RELEASED)
        if state is not None:
            # The holder forgets a claim once its outcome is recorded, which
            # may have been after the claim was read here. The change has no
            # effect then, and the next pass finds the outcome.
            return await self._change(claim, model.ClaimState.UNKNOWN)
        return Answer(AnswerKind.OUTCOME_UNKNOWN)

    async def _change(self, claim, state):
        change = model.Record(claim.key_hash, claim.claim_id, state)
        try:
            await self._submit((), (change,))
        except writer.ClaimsUnavailable:
            return Answer(AnswerKind.OUTCOME_UNKNOWN)
        return None

    async def _replay(self, outcome):
        complete = await outcomes.complete(self._store, outcome)
        return Answer(AnswerKind.REPLAY, outcome=complete)

    async def _ask_holder(self, claim):
        if claim.instance == self._instance:
            if claim.boot != self._boot():
                return holdings.HoldingState.NOT_KNOWN, None
            return self.holdings.state_of(claim.claim_id)
        body = {'claim_id': claim.claim_id, 'boot': claim.boot}
        try:
            reply = await self._peers.call(
                claim.instance, OP_STATE, body, HOLDER_TIMEOUT_S
            )
        except Exception as exc:
            LOG.info(
                'holder of claim did not answer',
                extra={'holder': claim.instance, 'exc': repr(exc)},
            )
            return None, None
        outcome = codec.outcome_from_list(reply['outcome'])
        return holdings.HoldingState(reply['state']), outcome

    async def record(self, holding, outcome):
        """Note a whole response; it is recorded in the background."""
        stored = await outcomes.store_large(self._store, holding, outcome)
        self.holdings.finish(holding, model.ClaimState.DONE, stored)

    def record_unknown(self, holding):
        """Note that the request may have run without a whole response."""
        self.holdings.finish(holding, model.ClaimState.UNKNOWN, None)

    def release(self, holding):
        """Give a claim back whose request certainly did not run."""
        self.holdings.finish(holding, model.ClaimState.RELEASED, None)

    async def record_pending(self):
        """Record the ends of claims in the store, as far as it answers."""
        async with anyio.create_task_group() as group:
            for holding in self.holdings.unrecorded():
                group.start_soon(self._record_one, holding)

    async def _record_one(self, holding):
        try:
            await self._submit((), (holding.change,))
        except writer.ClaimsUnavailable:
            return
        self.holdings.remove(holding)

    async def _submit_claim(self, wanted):
        results = await self._submit((wanted,), ())
        return results[wanted.claim_id]

    async def _submit(self, requests, records):
        first = (*requests, *records)[0]
        number = model.partition_of(first.key_hash)
        name = self._coordinator_of(number)
        if name is not None and name != self._instance:
            try:
                return await self._submit_to(name, number, requests, records)
            except Exception as exc:
                # The same claim id makes a second write harmless.
                LOG.info(
                    'coordinator of claims did not answer; writing directly',
                    extra={'coordinator': name, 'exc': repr(exc)},
                )
        return await self._writer(number).submit(requests, records)

    async def _submit_to(self, name, number, requests, records):
        body = {
            'partition': number,
            'requests': [codec.claim_to_list(c) for c in requests],
            'records': [codec.record_to_list(r) for r in records],
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
        records = [codec.record_from_list(raw) for raw in body['records']]
        results = await self._writer(body['partition']).submit(
            requests, records
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
        state, outcome = self.holdings.state_of(body['claim_id'])
        return {'state': str(state), 'outcome': codec.outcome_to_list(outcome)}

    def _writer_of(self, key_hash):
        return self._writer(model.partition_of(key_hash))

    def _writer(self, number):
        if number not in self._writers:
            self._writers[number] = writer.PartitionWriter(
                self._store, number, self._invariants
            )
        return self._writers[number]
