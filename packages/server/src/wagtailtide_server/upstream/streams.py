"""Streams from model engines that are resumed after a failure."""

import dataclasses
import json

import anyio
from wagtailtide_core.errors import kinds
from wagtailtide_core.routing import choose

from wagtailtide_server.upstream import calls
from wagtailtide_server.upstream import client
from wagtailtide_server.upstream import error_mapping
from wagtailtide_server.upstream import failures
from wagtailtide_server.upstream import headers
from wagtailtide_server.upstream import sse

# Engines send an SSE comment each second; three missed ones count as silence.
READ_TIMEOUT_S = 3.0
MAX_RESUMES = 5
MAX_ATTEMPTS = 6

# A server that restarts or a model that moves to another server is usually
# available again within this time. Only requests that were attempted before
# wait for it, because a started stream is worth the wait.
SERVER_WAIT_S = 10.0
POLL_INTERVAL_S = 0.1

# Upper bounds of the random delay before failed servers are tried again; the
# bound doubles with each attempt.
INITIAL_BACKOFF_S = 0.05
MAX_BACKOFF_S = 1.0


@dataclasses.dataclass(frozen=True)
class ModelCall:
    """A request to a model engine.

    Attributes:
        call: Data shared by all attempts.
        target: Path on the engine.
        caller_headers: The caller's headers.
        body: JSON object for the engine, without resume_offset.
        deadline_at: Monotonic time in seconds by which the response must be
            complete.
    """

    call: calls.Call
    target: bytes
    caller_headers: list[tuple[bytes, bytes]]
    body: dict
    deadline_at: float = float('inf')


class ModelStream:
    """Delivers the events of one request, over as many attempts as needed.

    Attributes:
        next_offset: Offset of the next token to pass on to the caller.
        usage: Token counts that the engine reported, or None.
        attempt_id: Request id of the latest attempt.
        complete: Whether the end marker [DONE] was received.
    """

    def __init__(self, dispatcher, model_call, emit, metrics):
        """Create the stream.

        Args:
            dispatcher: The Dispatcher.
            model_call: The ModelCall.
            emit: Coroutine function called with each event's JSON object.
            metrics: The Metrics.
        """
        self._dispatcher = dispatcher
        self._model_call = model_call
        self._emit = emit
        self._metrics = metrics
        self._tried = set()
        self._attempts = 0
        self._resumes = 0
        self._last_error = None
        self._serving_server = None
        self._release_permit = _noop
        self._has_permit = False
        self._final_event = None
        self.next_offset = 0
        self.usage = None
        self.attempt_id = None
        self.complete = False

    async def run(self):
        """Deliver the whole response.

        Raises:
            ServingError: If it cannot be delivered.
        """
        try:
            await self._run()
        finally:
            self._release_permit()

    async def _run(self):
        call = self._model_call.call
        while True:
            name = await self._choose()
            offset_before = self.next_offset
            try:
                await self._attempt(name)
            except failures.AttemptError as exc:
                self._tried.add(name)
                if exc.kind is failures.FailureKind.BROKEN:
                    await self._dispatcher.confirm_crash(name)
                self._handle_failure(
                    exc, progressed=self.next_offset > offset_before
                )
            else:
                self._dispatcher.record_completed(call)
                return

    async def _choose(self):
        call = self._model_call.call
        error_mapping.check_quarantine(self._dispatcher, call)
        give_up_at = anyio.current_time() + SERVER_WAIT_S
        while True:
            chosen = self._dispatcher.choose(call, self._tried)
            if await self._load_if_missing(chosen):
                continue
            if isinstance(chosen, choose.NoServer) and self._tried:
                await self._back_off()
                continue
            if isinstance(chosen, choose.Choice):
                if self._ensure_fetch_permit(chosen.server):
                    return chosen.server
                # The state of the servers may change during this wait, so
                # choose again.
                self._release_permit = (
                    await self._dispatcher.adapter_permits.acquire()
                )
                self._has_permit = True
                continue
            started = self.next_offset > 0 or self._attempts > 0
            if not started or anyio.current_time() >= give_up_at:
                raise self._no_server_error(chosen)
            await anyio.sleep(POLL_INTERVAL_S)

    async def _load_if_missing(self, chosen):
        """Wait for a missing model or adapter; return whether it waited."""
        if isinstance(chosen, choose.Choice):
            return False
        loader = self._dispatcher.loader
        # If the servers of a started stream failed, they are usually available
        # again soon.
        if loader is None or self.next_offset > 0:
            return False
        reasons = {e.reason for e in chosen.excluded}
        if reasons and choose.ExclusionReason.ADAPTER_NOT_READY not in reasons:
            return False
        self._tried.clear()
        # Released, because the owner of the engine, which may be this
        # instance, takes a permit for the fetch.
        self._release_permit()
        self._has_permit = False
        await loader.wait(
            self._model_call.call,
            frozenset(),
            self._model_call.deadline_at,
        )
        return True

    def _ensure_fetch_permit(self, name):
        """Return whether an adapter fetch permit is held or not needed.

        A permit that is needed is acquired if one is free.
        """
        adapter = self._model_call.call.route.adapter
        state = self._dispatcher.table.servers[name]
        if adapter is None or adapter in state.adapters or self._has_permit:
            return True
        release = self._dispatcher.adapter_permits.try_acquire()
        if release is None:
            return False
        self._release_permit = release
        self._has_permit = True
        return True

    async def _back_off(self):
        """Allow servers that failed to be tried again, after a random delay.

        A connection may have been silent or broken although its server
        works. A server at capacity stays there for longer than a new request
        should wait, so such a request fails instead.
        """
        full = self._last_error.error_kind == 'over_capacity'
        if full and self.next_offset == 0:
            raise self._final_error(self._last_error)
        self._tried.clear()
        max_delay_s = min(MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2**self._attempts)
        await anyio.sleep(self._dispatcher.jitter(max_delay_s))

    def _no_server_error(self, no_server):
        fate = self._model_call.call.history.fate
        if self.next_offset > 0:
            return kinds.ServingError(
                kinds.ErrorKind.STREAM_BROKEN,
                'the backend server failed and no other one can resume the '
                'stream; send the request again',
            )
        name, version = self._model_call.call.route.model
        if not no_server.excluded:
            return kinds.ServingError(
                kinds.ErrorKind.MODEL_LOADING,
                f'model {name}@{version} is not resident on any backend '
                'server; send the request again later',
                fate=fate,
                retry_after_s=2,
            )
        reasons = sorted({e.reason.value for e in no_server.excluded})
        return kinds.ServingError(
            kinds.ErrorKind.NO_BACKEND_SERVER,
            f'no backend server with model {name}@{version} can take the '
            f'request ({", ".join(reasons)}); send it again later',
            fate=fate,
        )

    def _handle_failure(self, exc, progressed):
        """Return if another attempt follows a failed one, else raise.

        Raises:
            ServingError: If the request must not be attempted again.
        """
        self._attempts += 1
        self._last_error = exc
        if exc.kind is failures.FailureKind.MOVED:
            return
        if progressed:
            self._resumes += 1
            if self._resumes > MAX_RESUMES:
                raise self._final_error(exc)
            self._metrics.retries.labels('resume').inc()
            return
        if error_mapping.is_client_error(exc):
            raise kinds.ServingError(
                kinds.ErrorKind.MALFORMED_REQUEST,
                f'the model engine refused the request: {exc.detail}',
                fate=self._model_call.call.history.fate,
            )
        if self._attempts >= MAX_ATTEMPTS:
            raise self._final_error(exc)
        # These servers did no work for the request and are no longer
        # candidates, so the next attempt does not count against the budget.
        if exc.error_kind in (
            'draining',
            'model_not_resident',
            'adapter_not_resident',
        ):
            self._metrics.retries.labels('moved').inc()
            return
        if not self._dispatcher.retry_budget.try_spend():
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
        return error_mapping.error_for_caller(exc, fate)

    async def _attempt(self, name):
        request_id = calls.make_request_id()
        body = self._model_call.body
        if self.next_offset:
            body = {**body, 'resume_offset': self.next_offset}
        call = self._model_call.call
        if not call.key_is_current():
            raise error_mapping.key_withdrawn_error(call.history.fate)
        self.attempt_id = request_id
        state = self._dispatcher.table.servers[name]
        if self._dispatcher.loader is not None:
            self._dispatcher.loader.record_use(name, call.route)
        attempt = client.Attempt(
            address=state.declared.address,
            method='POST',
            target=self._model_call.target,
            headers=headers.for_backend_server(
                self._model_call.caller_headers, request_id, call.secrets
            ),
            body=json.dumps(body, separators=(',', ':')).encode(),
            request_id=request_id,
            new_connection=self._attempts > 0,
            read_timeout_s=READ_TIMEOUT_S,
        )
        with self._dispatcher.stream_scopes.cancellable(name):
            await self._exchange(name, attempt)

    async def _exchange(self, name, attempt):
        call = self._model_call.call
        async with self._dispatcher.open(name, call, attempt) as response:
            if response.status != 200:
                raise await response.read_error()
            self._serving_server = name
            await self._read_events(response, attempt.request_id)

    async def _read_events(self, response, request_id):
        self._final_event = None
        parser = sse.Parser()
        while (chunk := await response.read_chunk()) is not None:
            try:
                events = parser.feed(chunk)
            except sse.EventTooLongError as exc:
                raise error_mapping.wrong_response(str(exc)) from exc
            for event in events:
                if event.data == '[DONE]' and self._final_event is not None:
                    await self._emit(self._final_event)
                    self.complete = True
                    await _drain(response)
                    return
                await self._handle_event(event, request_id)
        raise failures.AttemptError(
            failures.FailureKind.BROKEN,
            kinds.Fate.UNKNOWN,
            'expected [DONE] at the end of the stream, got none',
        )

    async def _handle_event(self, event, request_id):
        try:
            value = json.loads(event.data)
        except ValueError as exc:
            raise error_mapping.wrong_response(
                'expected events in JSON, got other data'
            ) from exc
        if not isinstance(value, dict):
            raise error_mapping.wrong_response(
                'expected events to be JSON objects, got another type'
            )
        if 'error' in value:
            raise error_mapping.engine_error(value['error'])
        if value.get('id') != request_id:
            raise error_mapping.wrong_response(
                f'expected events of {request_id}, got {value.get("id")!r}'
            )
        if value.get('offset') != self.next_offset:
            raise error_mapping.wrong_response(
                f'expected offset {self.next_offset}, '
                f'got {value.get("offset")!r}'
            )
        self._record_adapter()
        if isinstance(value.get('usage'), dict):
            # Held back until the end marker: a stream that breaks between the
            # two is resumed, which sends this event again.
            self.usage = value['usage']
            self._final_event = value
            return
        # Counted only after it is passed on: the attempt may be cancelled
        # while a slow caller blocks the write.
        await self._emit(value)
        self.next_offset += 1

    def _record_adapter(self):
        # A token proves that the adapter is resident, before a report does.
        adapter = self._model_call.call.route.adapter
        if adapter is not None and self._serving_server is not None:
            self._dispatcher.table.add_adapter(self._serving_server, adapter)
            self._release_permit()
            self._has_permit = False
        self._serving_server = None


def _noop():
    pass


async def _drain(response):
    # Reading to the end lets the connection be reused; the response is already
    # complete, so a failure here does not matter.
    try:
        while await response.read_chunk() is not None:
            pass
    except failures.AttemptError:
        return
