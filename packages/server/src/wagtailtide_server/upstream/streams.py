"""Streams from model engines that are resumed when they break."""

import dataclasses
import json

import anyio
from wagtailtide_core.errors import kinds
from wagtailtide_core.routing import choose

from wagtailtide_server.upstream import calls
from wagtailtide_server.upstream import client
from wagtailtide_server.upstream import failures
from wagtailtide_server.upstream import headers
from wagtailtide_server.upstream import sse
from wagtailtide_server.upstream import verdicts

# Engines send a comment each second, so three missed ones mean silence.
SILENCE_S = 3.0
RESUME_LIMIT = 5
ATTEMPT_LIMIT = 6

# A server that is restarting or a model that is being moved is usually back
# within this time; a started stream is worth waiting for.
WAIT_FOR_SERVER_S = 10.0
POLL_S = 0.1

# Wait before servers that failed are tried again, doubled each time.
FIRST_BACKOFF_S = 0.05
MAX_BACKOFF_S = 1.0


@dataclasses.dataclass(frozen=True)
class ModelCall:
    """A request to a model.

    Attributes:
        call: What all attempts have in common.
        target: Path at the engine.
        received: The caller's headers.
        body: JSON object for the engine, without resume_offset.
        deadline_at: Monotonic time at which the answer must be whole.
    """

    call: calls.Call
    target: bytes
    received: list[tuple[bytes, bytes]]
    body: dict
    deadline_at: float = float('inf')


class ModelStream:
    """Deliver the events of one request, over as many attempts as needed.

    Attributes:
        next_offset: Offset of the token that the caller needs next.
        usage: Token counts that the engine stated, or None.
        attempt_id: Request id of the latest attempt.
        complete: Whether the end marker was received.
    """

    def __init__(self, dispatcher, model_call, emit, metrics):
        """Create the stream.

        Args:
            dispatcher: The Dispatcher.
            model_call: The ModelCall.
            emit: Coroutine function that is given each event's JSON object.
            metrics: The Metrics.
        """
        self._dispatcher = dispatcher
        self._model_call = model_call
        self._emit = emit
        self._metrics = metrics
        self._tried = set()
        self._attempts = 0
        self._resumes = 0
        self._failure = None
        self._serving = None
        self._end_fetch = _nothing
        self._has_permit = False
        self._last = None
        self.next_offset = 0
        self.usage = None
        self.attempt_id = None
        self.complete = False

    async def run(self):
        """Deliver the whole answer.

        Raises:
            ServingError: If it cannot be delivered.
        """
        try:
            await self._run()
        finally:
            self._end_fetch()

    async def _run(self):
        call = self._model_call.call
        while True:
            name = await self._choose()
            before = self.next_offset
            try:
                await self._attempt(name)
            except failures.AttemptError as exc:
                self._tried.add(name)
                if exc.kind is failures.FailureKind.BROKEN:
                    await self._dispatcher.confirm_break(name)
                self._decide(exc, progressed=self.next_offset > before)
            else:
                self._dispatcher.record_completed(call)
                return

    async def _choose(self):
        call = self._model_call.call
        verdicts.check_quarantine(self._dispatcher, call)
        waited_until = anyio.current_time() + WAIT_FOR_SERVER_S
        while True:
            chosen = self._dispatcher.choose(call, self._tried)
            if await self._had_loaded(chosen):
                continue
            if isinstance(chosen, choose.NoServer) and self._tried:
                await self._back_off()
                continue
            if isinstance(chosen, choose.Choice):
                if self._may_fetch(chosen.server):
                    return chosen.server
                # What is known of the servers changes while this waits, so
                # the choice is made again.
                self._end_fetch = await self._dispatcher.permits.acquire()
                self._has_permit = True
                continue
            started = self.next_offset > 0 or self._attempts > 0
            if not started or anyio.current_time() >= waited_until:
                raise self._no_server(chosen)
            await anyio.sleep(POLL_S)

    async def _had_loaded(self, chosen):
        """Have what is missing loaded; return whether it was missing."""
        if isinstance(chosen, choose.Choice):
            return False
        residency = self._dispatcher.residency
        # The servers of a started stream that broke are usually back soon.
        if residency is None or self.next_offset > 0:
            return False
        reasons = {e.reason for e in chosen.excluded}
        if reasons and choose.Reason.ADAPTER_NOT_READY not in reasons:
            return False
        self._tried.clear()
        # The owner that fetches the adapter needs a permit itself.
        self._end_fetch()
        self._has_permit = False
        await residency.wait(
            self._model_call.call,
            frozenset(),
            self._model_call.deadline_at,
        )
        return True

    def _may_fetch(self, name):
        """Return whether a permit to fetch is held or not needed."""
        adapter = self._model_call.call.route.adapter
        state = self._dispatcher.table.servers[name]
        if adapter is None or adapter in state.adapters or self._has_permit:
            return True
        release = self._dispatcher.permits.try_acquire()
        if release is None:
            return False
        self._end_fetch = release
        self._has_permit = True
        return True

    async def _back_off(self):
        """Let the servers that failed be tried again.

        A connection may have been silent or broken although its server
        works. A server that is full stays full for longer than a new request
        should wait.
        """
        full = self._failure.refusal == 'over_capacity'
        if full and self.next_offset == 0:
            raise self._final_error(self._failure)
        self._tried.clear()
        longest_s = min(MAX_BACKOFF_S, FIRST_BACKOFF_S * 2**self._attempts)
        await anyio.sleep(self._dispatcher.jitter(longest_s))

    def _no_server(self, none):
        fate = self._model_call.call.history.fate
        if self.next_offset > 0:
            return kinds.ServingError(
                kinds.ErrorKind.STREAM_BROKEN,
                'the backend server failed and no other one can resume the '
                'stream; send the request again',
            )
        name, version = self._model_call.call.route.model
        if not none.excluded:
            return kinds.ServingError(
                kinds.ErrorKind.MODEL_LOADING,
                f'model {name}@{version} is not resident on any backend '
                'server; send the request again later',
                fate=fate,
                retry_after_s=2,
            )
        reasons = sorted({e.reason.value for e in none.excluded})
        return kinds.ServingError(
            kinds.ErrorKind.NO_BACKEND_SERVER,
            f'no backend server with model {name}@{version} can take the '
            f'request ({", ".join(reasons)}); send it again later',
            fate=fate,
        )

    def _decide(self, exc, progressed):
        """Return if the request goes on after a failure, else raise."""
        self._attempts += 1
        self._failure = exc
        if exc.kind is failures.FailureKind.MOVED:
            return
        if progressed:
            self._resumes += 1
            if self._resumes > RESUME_LIMIT:
                raise self._final_error(exc)
            self._metrics.retries.labels('resume').inc()
            return
        if verdicts.is_callers_fault(exc):
            raise kinds.ServingError(
                kinds.ErrorKind.MALFORMED_REQUEST,
                f'the model engine refused the request: {exc.detail}',
                fate=self._model_call.call.history.fate,
            )
        if self._attempts >= ATTEMPT_LIMIT:
            raise self._final_error(exc)
        # A server that refused before running anything and is no longer a
        # candidate costs the fleet no work, so moving on is not a retry.
        if exc.refusal in (
            'draining',
            'model_not_resident',
            'adapter_not_resident',
        ):
            self._metrics.retries.labels('moved').inc()
            return
        if not self._dispatcher.budget.try_spend():
            raise self._final_error(exc)
        self._metrics.retries.labels('retry').inc()

    def _final_error(self, exc):
        if self.next_offset > 0:
            return kinds.ServingError(
                kinds.ErrorKind.STREAM_BROKEN,
                f'the stream broke ({exc.detail}) and the resume limit is '
                'reached; send the request again',
            )
        fate = self._model_call.call.history.fate
        return verdicts.error_of_failure(exc, fate)

    async def _attempt(self, name):
        request_id = calls.make_request_id()
        body = self._model_call.body
        if self.next_offset:
            body = {**body, 'resume_offset': self.next_offset}
        call = self._model_call.call
        if not call.key_is_current():
            raise verdicts.key_withdrawn(call.history.fate)
        self.attempt_id = request_id
        state = self._dispatcher.table.servers[name]
        if self._dispatcher.residency is not None:
            self._dispatcher.residency.record_use(name, call.route)
        attempt = client.Attempt(
            address=state.declared.address,
            method='POST',
            target=self._model_call.target,
            headers=headers.for_backend_server(
                self._model_call.received, request_id, call.secrets
            ),
            body=json.dumps(body, separators=(',', ':')).encode(),
            request_id=request_id,
            fresh=self._attempts > 0,
            silence_s=SILENCE_S,
        )
        with self._dispatcher.moves.movable(name):
            await self._exchange(name, attempt)

    async def _exchange(self, name, attempt):
        call = self._model_call.call
        async with self._dispatcher.open(name, call, attempt) as response:
            if response.status != 200:
                raise await response.read_refusal()
            self._serving = name
            await self._read_events(response, attempt.request_id)

    async def _read_events(self, response, request_id):
        self._last = None
        parser = sse.Parser()
        while (chunk := await response.read_chunk()) is not None:
            try:
                events = parser.feed(chunk)
            except sse.EventTooLongError as exc:
                raise verdicts.wrong_response(str(exc)) from exc
            for event in events:
                if event.data == '[DONE]' and self._last is not None:
                    await self._emit(self._last)
                    self.complete = True
                    await _finish(response)
                    return
                await self._take(event, request_id)
        raise failures.AttemptError(
            failures.FailureKind.BROKEN,
            kinds.Fate.UNKNOWN,
            'the stream ended without [DONE]',
        )

    async def _take(self, event, request_id):
        try:
            value = json.loads(event.data)
        except ValueError as exc:
            raise verdicts.wrong_response('an event is not JSON') from exc
        if not isinstance(value, dict):
            raise verdicts.wrong_response('an event is not a JSON object')
        if 'error' in value:
            raise verdicts.stated_error(value['error'])
        if value.get('id') != request_id:
            raise verdicts.wrong_response(
                f'expected events of {request_id}, got {value.get("id")!r}'
            )
        if value.get('offset') != self.next_offset:
            raise verdicts.wrong_response(
                f'expected offset {self.next_offset}, '
                f'got {value.get("offset")!r}'
            )
        self._note_adapter()
        if isinstance(value.get('usage'), dict):
            # Held until the end marker: a stream that breaks between the two
            # is resumed, which sends this event again.
            self.usage = value['usage']
            self._last = value
            return
        # Counted after it was passed on: an attempt may be ended while the
        # caller is slow to take the event.
        await self._emit(value)
        self.next_offset += 1

    def _note_adapter(self):
        # A token proves that the adapter is there; reports say so later.
        adapter = self._model_call.call.route.adapter
        if adapter is not None and self._serving is not None:
            self._dispatcher.table.add_adapter(self._serving, adapter)
            self._end_fetch()
            self._has_permit = False
        self._serving = None


def _nothing():
    pass


async def _finish(response):
    # Reading to the end lets the connection be used again; the answer is
    # whole already, so a failure here does not matter.
    try:
        while await response.read_chunk() is not None:
            pass
    except failures.AttemptError:
        return
