"""ASGI application for administration."""

import json
import urllib.parse

from wagtailtide_server import dump
from wagtailtide_server import metrics
from wagtailtide_server.http import app as callers_app


def make_app(inst):
    """Return the ASGI application for the administration address.

    Args:
        inst: The Instance.
    """

    async def app(scope, receive, send):
        if scope['type'] == 'lifespan':
            await callers_app.serve_lifespan(receive, send)
            return
        if scope['type'] != 'http':
            return
        status, content_type, body = _make_response(inst, scope)
        await send(
            {
                'type': 'http.response.start',
                'status': status,
                'headers': [
                    (b'content-type', content_type.encode()),
                    (b'content-length', str(len(body)).encode()),
                ],
            }
        )
        await send({'type': 'http.response.body', 'body': body})

    return app


def _make_response(inst, scope):
    if scope['method'] not in ('GET', 'HEAD'):
        return _json_response(405, {'error': 'expected GET'})
    path = scope['path']
    if path == '/healthz':
        return _json_response(200, {'status': 'ok'})
    if path == '/readyz':
        reason = inst.not_ready_reason()
        ready = reason is None
        return _json_response(
            200 if ready else 503, {'ready': ready, 'reason': reason}
        )
    if path == '/metrics':
        return 200, metrics.CONTENT_TYPE, inst.metrics.expose()
    if path == '/status':
        return _json_response(200, dump.make_status(inst))
    if path == '/dump':
        query = dict(urllib.parse.parse_qsl(scope['query_string'].decode()))
        return _json_response(200, dump.make_dump(inst, query))
    return _json_response(
        404,
        {
            'error': 'expected /healthz, /readyz, /metrics, /status or /dump',
        },
    )


def _json_response(status, value):
    body = json.dumps(value, default=str, indent=1).encode()
    return status, 'application/json', body
