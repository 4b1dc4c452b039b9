"""Explains where a request would be sent now, and why, without sending it.

The verdict comes from `Finder.preview`, the rows of the servers from
`server_rows`.
"""

import json
import random

import anyio
from wagtailtide_core.errors import kinds

from wagtailtide_gateway.decisions import admission
from wagtailtide_gateway.decisions import server_choice
from wagtailtide_gateway.serving import access as accesses
from wagtailtide_gateway.serving import explained_request
from wagtailtide_gateway.serving import finder as finders
from wagtailtide_gateway.serving import server_rows

PATH = b'/explain'


def answer(explain, target):
    """Return status and body of the response to an operator's question.

    Args:
        explain: Function that `make_explain` returns.
        target: Path and query of the question.
    """
    query = target.partition(b'?')[2].decode('latin-1')
    try:
        status, value = 200, explain(explained_request.parse(query))
    except explained_request.BadQuery as exc:
        status, value = 400, {'error': str(exc)}
    return status, json.dumps(value).encode()


def make_explain(cfg, shared_state, exchange, access, finder, check_stopping):
    """Return the function that explains what would become of a request.

    Args:
        cfg: The Settings.
        shared_state: The SharedState of the instance.
        exchange: Exchange with the leader.
        access: The Access of the instance.
        finder: Its Finder.
        check_stopping: Function that raises a ServingError if no new request
            is accepted, because the instance stops.

    Returns:
        A function from a Query to a value that JSON can represent. It raises
        BadQuery.
    """
    rows = server_rows.ServerRows(cfg, shared_state, exchange)

    def explain(query):
        head = {'instance': cfg.instance, 'zone': cfg.zone}
        inputs = _inputs(shared_state, exchange, rows)
        deployment = shared_state.config.deployment
        if deployment is None:
            preview = _rejected(accesses.no_config_error())
            return head | _outcome(preview) | {'inputs': inputs}
        job = explained_request.make_job(query, deployment)
        # A draw does not change what the next requests draw.
        random_state = random.getstate()
        try:
            preview = _preview(job, access, finder, check_stopping)
            candidates, excluded = rows.make(job)
        finally:
            random.setstate(random_state)
        return {
            **head,
            **_outcome(preview),
            'reason': _reason(cfg, preview, candidates),
            'request': _request(job),
            'candidates': candidates,
            'excluded': excluded,
            'inputs': inputs,
        }

    return explain


def _preview(job, access, finder, check_stopping):
    try:
        check_stopping()
        preview = finder.preview(job)
        if preview.state is not None and job.organisation is not None:
            access.require_confirmed_keys()
    except kinds.ServingError as exc:
        return _rejected(exc)
    return preview


def _rejected(exc):
    return finders.Preview(None, None, exc, None)


def _outcome(preview):
    exc, decision = preview.error, preview.decision
    verdict = 'reject'
    if exc is None:
        verdict = decision.verdict.value
    return {
        'verdict': verdict,
        'server': preview.state and preview.state.server.id,
        'error': exc
        and {
            'kind': exc.kind.value,
            'status': exc.answer.status,
            'message': exc.message,
        },
        'predicted_wait_s': decision and server_rows.rounded(decision.wait_s),
        'retry_after_s': exc and server_rows.rounded(exc.retry_after_s),
        'pool': preview.pool and _pool(preview.pool),
    }


def _pool(pool):
    return {
        'slots': server_rows.rounded(pool.slots),
        'load': server_rows.rounded(pool.load),
        'waiting_ahead': pool.waiting_ahead,
        'others_ahead': server_rows.rounded(pool.others_ahead),
        'service_s': server_rows.rounded(pool.service_s),
        'ready_in_s': server_rows.rounded(pool.ready_in_s),
        'limited_per_s': server_rows.rounded(pool.limited_per_s),
        'limited_waiting': pool.limited_waiting,
    }


def _reason(cfg, preview, candidates):
    """Return in a sentence why the verdict is what it is."""
    if preview.error is not None:
        return preview.error.message
    count = len(candidates)
    if preview.decision.verdict is admission.Verdict.WAIT:
        if count:
            return 'requests that wait go first, or the cheapest one is full'
        return 'no server can take it now; the wait fits its deadline'
    if count == 1:
        return 'it is the only candidate'
    if cfg.learns_capacity:
        return f'drawn among {count} candidates, the cheaper the likelier'
    return (
        f'it has the lowest cost of {count} candidates; up to '
        f'{server_choice.MAX_RANDOM_COST} of it is drawn'
    )


def _request(job):
    return {
        'service': job.service.name,
        'model': job.req.model,
        'adapter': job.req.adapter,
        'route': job.route.name,
        'organisation': job.organisation and job.organisation.name,
        'priority': job.priority,
        'tokens': job.req.tokens,
        'latency_target_s': job.route.latency_target_s,
        'deadline_s': server_rows.rounded(job.time_left_s),
        'longest_wait_s': server_rows.rounded(job.wait_left_s),
    }


def _inputs(shared_state, exchange, rows):
    now = anyio.current_time()
    evacuations = shared_state.evacuations
    return {
        'servers': {
            'age_s': server_rows.rounded(shared_state.servers.age_s(now)),
            'is_outdated': rows.is_list_outdated(now),
        },
        'leader': {
            'is_this_instance': exchange.is_leader,
            'answers': exchange.hears_leader,
            'update_age_s': server_rows.rounded(exchange.silent_s),
            'instances': exchange.instances,
        },
        'config': {
            'version': shared_state.config.version,
            'age_s': server_rows.rounded(shared_state.config.age_s),
        },
        'evacuations': {
            'age_s': server_rows.rounded(evacuations.age_s(now)),
            'is_known': evacuations.is_known,
        }
        if evacuations.is_enabled
        else None,
    }
