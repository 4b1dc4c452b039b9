"""ASGI application for callers."""

import contextlib
import json
import logging

import anyio
from wagtailtide_core.errors import kinds
from wagtailtide_core.invariants import checks as invariants

from wagtailtide_server.http import auth
from wagtailtide_server.http import checks
from wagtailtide_server.http import completions
from wagtailtide_server.http import errors
from wagtailtide_server.http import exchange as exchanges
from wagtailtide_server.http import model_requests
from wagtailtide_server.http import passthrough

LOG = logging.getLogger(__name__)

MODELS_PATH = '/v1/models'


def make_app(inst):
    """Return the ASGI application that serves callers.

    Args:
        inst: The Instance.
    """

    async def app(scope, receive, send):
        if scope['type'] == 'lifespan':
            await serve_lifespan(receive, send)
        elif scope['type'] == 'http':
            exchange = exchanges.Exchange(
                scope, receive, send, inst.settings.limits.max_body_bytes
            )
            # Lets the load balancer reconnect to other instances.
            exchange.close_after_response = inst.stopping
            async with anyio.create_task_group() as group:
                group.start_soon(exchange.read_messages)
                await _serve(inst, exchange)
                group.cancel_scope.cancel()
        # Other types are refused by the HTTP server when the app returns.

    return app


async def serve_lifespan(receive, send):
    """Answer the events of the ASGI lifespan protocol."""
    while True:
        message = await receive()
        await send({'type': message['type'] + '.complete'})
        if message['type'] == 'lifespan.shutdown':
            return


async def _serve(inst, exchange):
    started_at = anyio.current_time()
    route_kind = 'refused'
    with inst.count_request():
        try:
            route_kind = await _route(inst, exchange)
        except kinds.ServingError as exc:
            await _respond_with_error(inst, exchange, exc)
        except anyio.get_cancelled_exc_class():
            _record_interruption(inst, exchange)
            raise
        except Exception as exc:
            await _respond_with_internal_error(inst, exchange, exc)
    took_s = anyio.current_time() - started_at
    inst.metrics.requests.labels(route_kind, exchange.outcome).inc()
    inst.metrics.request_seconds.labels(route_kind).observe(took_s)
    LOG.debug(
        'request answered',
        extra={
            'request_id': exchange.request_id,
            'route_kind': route_kind,
            'outcome': exchange.outcome,
            'key_id': exchange.key_id,
            'took_s': round(took_s, 4),
        },
    )


def _record_interruption(inst, exchange):
    """Count a violation if a planned stop interrupts a request."""
    with contextlib.suppress(invariants.InvariantError):
        inst.invariants.check(
            'stop_interrupts_no_request',
            not inst.stopping or exchange.disconnected.is_set(),
            request_id=exchange.request_id,
        )


async def _route(inst, exchange):
    """Serve a request and return the kind of its route for metrics."""
    head = exchange.head
    checks.check_head(head)
    exchange.request_id = checks.read_request_id(head) or exchange.request_id
    inst.check_accepts_requests()
    if head.path in model_requests.PATHS:
        _check_method(head, 'POST')
        await completions.serve(inst, exchange)
        return 'model'
    if head.path == MODELS_PATH:
        _check_method(head, 'GET')
        await _list_models(inst, exchange)
        return 'models'
    route = inst.plane.config.catalog.route_for(head.path)
    if route is None:
        raise kinds.ServingError(
            kinds.ErrorKind.UNKNOWN_ROUTE,
            f'expected a route of the document, got {head.path!r:.100}; '
            'correct the path',
        )
    await passthrough.serve(inst, exchange, route)
    return 'route'


def _check_method(head, method):
    if head.method != method:
        raise kinds.ServingError(
            kinds.ErrorKind.METHOD_NOT_ALLOWED,
            f'expected {method}, got {head.method}; use {method}',
        )


async def _list_models(inst, exchange):
    identity = auth.authenticate(inst.plane, exchange.head)
    exchange.key_id = identity.key_id
    catalog = inst.plane.config.catalog

    def is_offered(item):
        return not item.organisations or identity.name in item.organisations

    names = [m.name for m in catalog.models.values() if is_offered(m)]
    names += [
        f'{adapter.model}:{adapter.name}'
        for adapter in catalog.adapters.values()
        if adapter.model in names and is_offered(adapter)
    ]
    items = [{'id': name, 'object': 'model'} for name in sorted(names)]
    await exchange.respond(
        200,
        [
            (b'content-type', b'application/json'),
            (b'x-request-id', exchange.request_id.encode()),
        ],
        json.dumps({'object': 'list', 'data': items}).encode(),
    )


async def _respond_with_error(inst, exchange, exc):
    exchange.outcome = exc.kind.value
    history = exchange.history
    if exc.fate is kinds.Fate.NOT_RUN and history is not None:
        try:
            inst.invariants.check(
                'not_run_is_true',
                not history.may_have_run,
                request_id=exchange.request_id,
                kind=exc.kind.value,
            )
        except invariants.InvariantError:
            exc.fate = kinds.Fate.UNKNOWN
    inst.refusals.record(exchange, exc)
    if exchange.started or exchange.disconnected.is_set():
        return
    status, headers, body = errors.error_response(exc, exchange.request_id)
    await exchange.respond(status, headers, body)


async def _respond_with_internal_error(inst, exchange, exc):
    LOG.exception('request failed', extra={'request_id': exchange.request_id})
    await _respond_with_error(
        inst,
        exchange,
        kinds.ServingError(
            kinds.ErrorKind.INTERNAL,
            'expected a response, got an internal error '
            f'({type(exc).__name__}); report the request id to the operators',
        ),
    )
