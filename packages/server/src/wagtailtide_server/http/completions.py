"""Handler of completions and chat completions."""

import logging

import anyio
from wagtailtide_core.document import schema
from wagtailtide_core.errors import kinds
from wagtailtide_core.quarantine import crashes
from wagtailtide_core.routing import choose

from wagtailtide_server.http import auth
from wagtailtide_server.http import checks
from wagtailtide_server.http import model_requests
from wagtailtide_server.http import model_responses
from wagtailtide_server.upstream import calls
from wagtailtide_server.upstream import error_mapping
from wagtailtide_server.upstream import streams

LOG = logging.getLogger(__name__)

# A withdrawn key must end its streams within seconds.
KEY_CHECK_INTERVAL_S = 0.5

# Streams continue for this long while keys are unconfirmed, because after a
# pause of the process the last confirmation is outdated until the next one.
UNCONFIRMED_GRACE_S = 2.0


async def serve(inst, exchange):
    """Serve one request to a model.

    Args:
        inst: The Instance.
        exchange: The Exchange.

    Raises:
        ServingError: If it fails before the response has started.
    """
    head = exchange.head
    arrived_at = anyio.current_time()
    identity = auth.authenticate(inst.plane, head)
    exchange.key_id = identity.key_id
    options = checks.read_options(head)
    body = await exchange.read_body()
    catalog = inst.plane.config.catalog
    checks.check_no_key_in_body(head, body, identity.presented_key, catalog)
    req = model_requests.parse_request(head.path, body, catalog, identity)
    document = inst.document_of_model(req.model)
    priority = options.priority or schema.PriorityClass.INTERACTIVE
    target = getattr(document.targets, priority.value)
    deadline_ms = options.deadline_ms or target.deadline_ms
    call = _make_call(inst, exchange, identity, req, body)
    error_mapping.check_quarantine(inst.dispatcher, call)
    inst.check_organisation(identity, req.model.organisations)
    charge = await inst.rate_admission.admit(
        identity.name, req.max_total_tokens, anyio.current_time()
    )
    inst.dispatcher.loader.record_demand(req.model, req.max_total_tokens)
    deadline_at = arrived_at + deadline_ms / 1_000
    model_call = streams.ModelCall(
        call,
        head.path.encode(),
        head.headers,
        _engine_body(req, priority),
        deadline_at,
    )
    delivery = _Delivery(inst, exchange, identity, req, priority, arrived_at)
    await delivery.deliver(model_call, charge, deadline_at)


def _make_call(inst, exchange, identity, req, body):
    adapter = req.adapter
    route = choose.RouteRequest(
        model=(req.model.name, req.model.version),
        adapter=(adapter.model, adapter.name) if adapter else None,
        zone=inst.settings.zone,
        near_zones=inst.near_zones,
    )
    fingerprint = crashes.fingerprint(identity.name, exchange.head.path, body)
    exchange.history = calls.AttemptHistory()
    return calls.Call(
        route,
        fingerprint,
        exchange.history,
        identity.secrets,
        auth.make_key_check(inst.plane, identity),
    )


def _engine_body(req, priority):
    body = {k: v for k, v in req.body.items() if k != 'max_completion_tokens'}
    body |= {
        'model': f'{req.model.name}@{req.model.version}',
        'max_tokens': req.max_tokens,
        'priority': priority.value,
        # Always streamed: only a stream can be resumed on another server.
        'stream': True,
    }
    if req.adapter is not None:
        body['adapter'] = req.adapter.name
    return body


class _Delivery:
    """Delivery of one response, which a limit can end early."""

    def __init__(self, inst, exchange, identity, req, priority, arrived_at):
        self._inst = inst
        self._exchange = exchange
        self._identity = identity
        self._priority = priority
        self._arrived_at = arrived_at
        self._prompt_tokens = req.max_total_tokens - req.max_tokens
        self._last_event_at = None
        self._next_offset = 0
        self._stream = None
        self._error = None
        response_type = (
            model_responses.StreamingResponse
            if req.stream
            else model_responses.BufferedResponse
        )
        self._response = response_type(exchange, req.requested_model)

    async def deliver(self, model_call, charge, deadline_at):
        """Deliver the response and settle its charge."""
        stream = self._stream = streams.ModelStream(
            self._inst.dispatcher, model_call, self._emit, self._inst.metrics
        )
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(self._enforce_limits, group, deadline_at)
                group.start_soon(self._response.keep_alive)
                try:
                    await stream.run()
                except kinds.ServingError as exc:
                    self._error = exc
                group.cancel_scope.cancel()
        finally:
            self._settle(stream, charge)
        if self._exchange.disconnected.is_set():
            self._exchange.outcome = 'disconnected'
        elif self._error is not None:
            await self._response.fail(self._error)
        else:
            self._check_response(stream.complete)
            await self._response.finish()

    def _check_response(self, holds):
        self._inst.invariants.check(
            'answer_is_own_and_whole',
            holds,
            request_id=self._exchange.request_id,
            attempt_id=self._stream.attempt_id,
            next_offset=self._next_offset,
        )

    def _settle(self, stream, charge):
        used_tokens = 0
        if stream.usage is not None:
            used_tokens = stream.usage.get('total_tokens', 0)
        elif self._exchange.history.may_have_run:
            used_tokens = self._prompt_tokens + stream.next_offset
        self._inst.rate_admission.settle(
            charge, used_tokens, anyio.current_time()
        )

    async def _emit(self, value):
        self._check_response(
            value.get('id') == self._stream.attempt_id
            and value.get('offset') == self._next_offset
        )
        now = anyio.current_time()
        metrics = self._inst.metrics
        if self._last_event_at is None:
            metrics.first_token_seconds.labels(self._priority).observe(
                now - self._arrived_at
            )
        else:
            metrics.between_tokens_seconds.labels(self._priority).observe(
                now - self._last_event_at
            )
        self._last_event_at = now
        await self._response.add(value)
        self._next_offset += 1

    async def _enforce_limits(self, group, deadline_at):
        """Cancel at the deadline and when the caller or its key is gone."""
        while True:
            now = anyio.current_time()
            catalog = self._inst.plane.config.catalog
            if auth.is_withdrawn(catalog, self._identity):
                self._error = error_mapping.key_withdrawn_error(
                    self._exchange.history.fate
                )
            elif self._inst.plane.keys_untrusted_s(now) > UNCONFIRMED_GRACE_S:
                self._error = kinds.ServingError(
                    kinds.ErrorKind.KEYS_UNCONFIRMED,
                    'the validity of the key can no longer be confirmed; send '
                    'the request again later',
                    fate=self._exchange.history.fate,
                )
            elif now >= deadline_at:
                self._error = kinds.ServingError(
                    kinds.ErrorKind.DEADLINE_UNREACHABLE,
                    'the deadline passed before the response was complete; '
                    'request fewer tokens or allow more time',
                    fate=self._exchange.history.fate,
                )
            if self._error is not None:
                # Cancelled at once, because the fate in the error may become
                # wrong later.
                break
            with anyio.move_on_after(
                min(KEY_CHECK_INTERVAL_S, deadline_at - now)
            ):
                await self._exchange.disconnected.wait()
                break
        group.cancel_scope.cancel()
