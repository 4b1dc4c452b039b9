"""Handler of the document's routes, which plain services serve."""

import dataclasses
import logging

import anyio
from wagtailtide_core.claims import model as claims_model
from wagtailtide_core.errors import kinds
from wagtailtide_core.quarantine import crashes
from wagtailtide_core.routing import choose

from wagtailtide_server.claims import service
from wagtailtide_server.http import auth
from wagtailtide_server.http import checks
from wagtailtide_server.upstream import calls
from wagtailtide_server.upstream import error_mapping
from wagtailtide_server.upstream import headers
from wagtailtide_server.upstream import plain

LOG = logging.getLogger(__name__)

_AnswerKind = service.AnswerKind


async def serve(inst, exchange, route):
    """Serve one request on a route.

    Args:
        inst: The Instance.
        exchange: The Exchange.
        route: The Route.

    Raises:
        ServingError: If it fails.
    """
    head = exchange.head
    if head.method not in route.methods:
        raise kinds.ServingError(
            kinds.ErrorKind.METHOD_NOT_ALLOWED,
            f'expected one of {", ".join(route.methods)}, got {head.method}; '
            'use one of those',
        )
    arrived_at = anyio.current_time()
    identity = _get_identity(inst, head, route)
    exchange.key_id = identity.key_id
    options = checks.read_options(head)
    body = await exchange.read_body()
    catalog = inst.plane.config.catalog
    checks.check_no_key_in_body(head, body, identity.presented_key, catalog)
    call = _make_call(inst, exchange, identity, route, body)
    error_mapping.check_quarantine(inst.dispatcher, call)
    if not route.open:
        inst.check_organisation(identity, route.organisations)
    deadline_ms = options.deadline_ms or route.deadline_ms
    deadline_at = arrived_at + deadline_ms / 1_000
    plain_call = plain.PlainCall(
        call, head.method, head.target, head.headers, body, route.idempotent
    )
    charge = await _admit(inst, identity, route)
    try:
        await _run(
            inst, exchange, identity, route, options, plain_call, deadline_at
        )
    finally:
        is_charged = exchange.history.may_have_run
        if charge is not None:
            inst.rate_admission.settle(
                charge,
                charge.tokens if is_charged else 0,
                anyio.current_time(),
            )


def _get_identity(inst, head, route):
    if route.open:
        return auth.admit_anonymous(inst.plane, head)
    identity = auth.authenticate(inst.plane, head)
    auth.check_allowed(identity, route.organisations, f'route {route.path}')
    return identity


async def _admit(inst, identity, route):
    if identity.organisation is None:
        return None
    return await inst.rate_admission.admit(
        identity.name, route.tokens_per_call, anyio.current_time()
    )


def _make_call(inst, exchange, identity, route, body):
    request = choose.RouteRequest(
        group=route.backend,
        zone=inst.settings.zone,
        near_zones=inst.near_zones,
    )
    head = exchange.head
    # The method and the target distinguish requests without a body.
    fingerprinted = head.method.encode() + b' ' + head.target + b'\n' + body
    fingerprint = crashes.fingerprint(identity.name, route.path, fingerprinted)
    exchange.history = calls.AttemptHistory()
    return calls.Call(
        request,
        fingerprint,
        exchange.history,
        identity.secrets,
        auth.make_key_check(inst.plane, identity),
    )


async def _run(
    inst, exchange, identity, route, options, plain_call, deadline_at
):
    if route.idempotent:
        response = await _run_while_connected(
            inst, exchange, plain_call, deadline_at
        )
    elif options.idempotency_key is None:
        response = await _run_until_deadline(inst, plain_call, deadline_at)
    else:
        response = await _run_claimed(
            inst, exchange, identity, route, options, plain_call, deadline_at
        )
    if response is None:
        exchange.outcome = 'disconnected'
        return
    await exchange.respond(
        response.status,
        headers.for_caller(response.headers, exchange.request_id),
        response.body,
    )


async def _run_while_connected(inst, exchange, plain_call, deadline_at):
    """Run an idempotent call and cancel it when its caller disconnects."""
    result = []

    async def run(group):
        try:
            result.append(
                await _run_until_deadline(inst, plain_call, deadline_at)
            )
        except kinds.ServingError as exc:
            result.append(exc)
        group.cancel_scope.cancel()

    async with anyio.create_task_group() as group:
        group.start_soon(run, group)
        await exchange.disconnected.wait()
        group.cancel_scope.cancel()
    if result and isinstance(result[0], kinds.ServingError):
        raise result[0]
    return result[0] if result else None


async def _run_until_deadline(inst, plain_call, deadline_at):
    request = plain.PlainCallRunner(inst.dispatcher, plain_call, inst.metrics)
    with anyio.move_on_at(deadline_at):
        return await request.run()
    history = plain_call.call.history
    if plain_call.idempotent or not history.may_have_run:
        raise kinds.ServingError(
            kinds.ErrorKind.DEADLINE_UNREACHABLE,
            'the deadline passed before the response was complete; allow more '
            'time',
            fate=history.fate,
        )
    raise kinds.ServingError(
        kinds.ErrorKind.OUTCOME_UNKNOWN,
        'the deadline passed and the call may have taken effect; look up its '
        'effect before sending it again',
    )


async def _run_claimed(
    inst, exchange, identity, route, options, plain_call, deadline_at
):
    """Run a call at most once, by a claim on its idempotency key."""
    body_hash = claims_model.hash_request(
        plain_call.method, plain_call.target, plain_call.body
    )
    result = await inst.claims.claim(
        identity.name, route.path, options.idempotency_key, body_hash
    )
    if result.kind is not _AnswerKind.GRANTED:
        return _respond_to_existing_claim(result)
    held_claims = inst.claims.held_claims
    plain_call = dataclasses.replace(
        plain_call,
        on_attempt_start=lambda: held_claims.begin_attempt(result.held_claim),
        on_attempt_not_run=lambda: held_claims.record_not_run(
            result.held_claim
        ),
    )
    # Even if the caller disconnects, the outcome must be recorded.
    with anyio.CancelScope(shield=True):
        try:
            response = await _run_until_deadline(inst, plain_call, deadline_at)
        except kinds.ServingError as exc:
            if exc.fate is kinds.Fate.NOT_RUN:
                inst.claims.release(result.held_claim)
            else:
                inst.claims.record_unknown(result.held_claim)
            raise
        except BaseException:
            inst.claims.record_unknown(result.held_claim)
            raise
        outcome = claims_model.Outcome(
            response.status,
            tuple(
                (n.decode('latin-1'), v.decode('latin-1'))
                for n, v in headers.for_caller(response.headers, '')
                if n != b'x-request-id'
            ),
            response.body,
        )
        await inst.claims.record_outcome(result.held_claim, outcome)
    return response


def _respond_to_existing_claim(result):
    if result.kind is _AnswerKind.REPLAY:
        outcome = result.outcome
        replayed_headers = [
            (n.encode('latin-1'), v.encode('latin-1'))
            for n, v in outcome.headers
        ]
        replayed_headers.append((b'idempotency-replayed', b'true'))
        return plain.PlainResponse(
            outcome.status, replayed_headers, outcome.body or b''
        )
    kind, message = _EXISTING_CLAIM_ERRORS[result.kind]
    raise kinds.ServingError(kind, message)


_EXISTING_CLAIM_ERRORS = {
    _AnswerKind.STILL_RUNNING: (
        kinds.ErrorKind.STILL_RUNNING,
        'a request with this Idempotency-Key is still running; send it again '
        'later for its outcome',
    ),
    _AnswerKind.OUTCOME_UNKNOWN: (
        kinds.ErrorKind.OUTCOME_UNKNOWN,
        'a request with this Idempotency-Key was sent and its outcome is not '
        'known; look up its effect and use a new key',
    ),
    _AnswerKind.BODY_MISMATCH: (
        kinds.ErrorKind.BODY_MISMATCH,
        'expected the request that this Idempotency-Key was first used for, '
        'got a different one; use a new key',
    ),
}
