"""Stand-in for the platform: object API, lists of instances and servers.

The body of a PUT is the value itself or, with content type
``application/json``, an object whose ``value`` is the base64-encoded value.
"""

import base64
import binascii
import dataclasses

import anyio

from wagtailtide_testing.standins import asgi
from wagtailtide_testing.standins import objects
from wagtailtide_testing.standins import platform_state
from wagtailtide_testing.standins import process

MAX_VALUE_BYTES = 1_000_000

_OBJECTS_PATH = '/v1/objects'
_LIST_NAMES = {'instances': 'instances', 'backend-servers': 'backend_servers'}
_WRITES = platform_state.WRITES

Platform = platform_state.Platform
PlatformSettings = platform_state.PlatformSettings


def make_app(state):
    """Return an ASGI app that serves a `Platform`."""

    async def handle(req):
        if req.path.startswith('/admin/'):
            await _handle_admin(state, req)
            return
        kind, call = _find_call(req)
        if call is None:
            await req.reply(404, _error('not_found', req.path))
            return
        if not state.admit(kind, anyio.current_time()):
            await req.reply(
                429, _error('rate', f'rate limit of {kind} calls exceeded')
            )
            return
        if state.faults.delay_s:
            await anyio.sleep(state.faults.delay_s)
        await _check_outage(state, req)
        if kind in _WRITES:
            await _write_with_faults(state, req, call)
        else:
            await call(state, req)

    return asgi.make_app(_respond_to_outage(handle), state.recorder)


class _Outage(Exception):
    pass


def _respond_to_outage(handle):
    async def handle_with_outage(req):
        try:
            await handle(req)
        except _Outage:
            await req.reply(503, _error('outage', 'platform has an outage'))

    return handle_with_outage


async def _check_outage(state, req):
    if state.faults.outage == 'hang':
        await req.disconnected.wait()
        raise asgi.DropConnection
    if state.faults.outage:
        raise _Outage


def _find_call(req):
    if req.path.startswith(_OBJECTS_PATH + '/'):
        calls = {'GET': _get, 'PUT': _put, 'DELETE': _delete}
        return req.method.lower(), calls.get(req.method)
    if req.method != 'GET':
        return '', None
    calls = {
        _OBJECTS_PATH: ('list', _list),
        '/v1/watch': ('watch', _watch),
        '/v1/instances': ('instances', _instances),
        '/v1/backend-servers': ('backend_servers', _backend_servers),
    }
    return calls.get(req.path, ('', None))


async def _write_with_faults(state, req, call):
    if asgi.consume_fault(state.faults, 'lose_requests'):
        raise asgi.DropConnection
    status, value = call(state, req)
    if status < 300 and asgi.consume_fault(state.faults, 'lose_answers'):
        raise asgi.DropConnection
    await req.reply(status, value)


def _put(state, req):
    value = _read_value(req)
    if len(value) > MAX_VALUE_BYTES:
        return 413, _error(
            'too_large', f'expected at most {MAX_VALUE_BYTES} bytes'
        )
    return _write(state, req, value)


def _delete(state, req):
    return _write(state, req, None)


def _write(state, req, value):
    if_match, if_none_match = (
        req.header('if-match'),
        req.header('if-none-match'),
    )
    if if_match is None and if_none_match != '*':
        return 428, _error(
            'unconditional',
            'expected If-Match or If-None-Match: *, got neither',
        )
    try:
        expected = None if if_match is None else int(if_match.strip('"'))
    except ValueError as exc:
        raise asgi.BadRequest('expected a version number in If-Match') from exc
    if value is None and expected is None:
        return 428, _error('unconditional', 'expected If-Match, got none')
    try:
        version = state.objects.write(_key(req), value, expected)
    except objects.Conflict:
        return 412, _error('conflict', 'expected another version')
    state.wake_watches()
    return 200, {'version': version}


def _read_value(req):
    content_type = req.header('content-type', '').partition(';')[0]
    if content_type != 'application/json':
        return req.body
    try:
        return base64.b64decode(req.json()['value'], validate=True)
    except (KeyError, TypeError, binascii.Error) as exc:
        raise asgi.BadRequest(f'expected a base64 value: {exc!r}') from exc


async def _get(state, req):
    entry = state.objects.get(_key(req), state.faults.stale_revisions)
    if entry is None:
        await req.reply(404, _error('not_found', _key(req)))
    else:
        await req.reply(200, _item(entry))


async def _list(state, req):
    prefix = req.query.get('prefix', '')
    found, revision = state.objects.list(prefix, state.faults.stale_revisions)
    await req.reply(200, _listing(found, revision))


async def _watch(state, req):
    prefix, since = req.query.get('prefix', ''), _query_number(req, 'since', 0)
    deadline = anyio.current_time() + _query_number(req, 'timeout_s', 1)
    while True:
        await _check_outage(state, req)
        try:
            found, revision = state.objects.changed_since(
                prefix, since, state.faults.stale_revisions
            )
        except objects.RevisionTooOld:
            await req.reply(
                410, _error('too_old', f'revision {since} was compacted')
            )
            return
        remaining_s = deadline - anyio.current_time()
        if found or remaining_s <= 0:
            await req.reply(200, _listing(found, revision))
            return
        if not await _wait_for_change(state, req, remaining_s):
            return


async def _wait_for_change(state, req, timeout_s):
    """Wait for a change or the timeout.

    Returns:
        Whether the client is still connected.
    """
    with anyio.move_on_after(timeout_s) as scope:
        req.cancel_on_disconnect(scope)
        await state.wait_for_change()
    return not req.disconnected.is_set()


async def _instances(state, req):
    await _reply_list(state, req, 'instances')


async def _backend_servers(state, req):
    await _reply_list(state, req, 'backend_servers')


async def _reply_list(state, req, name):
    items = state.visible_list(name, anyio.current_time())
    await req.reply(200, {'items': items})


async def _handle_admin(state, req):
    endpoint = req.path.removeprefix('/admin/')
    if req.method == 'POST' and endpoint == 'faults':
        state.set_faults(**req.json())
        await req.reply(200, dataclasses.asdict(state.faults))
    elif req.method == 'GET' and endpoint == 'calls':
        await req.reply(200, {'calls': state.calls, 'refused': state.refused})
    elif req.method == 'PUT' and endpoint in _LIST_NAMES:
        items = req.json().get('items', [])
        state.set_list(_LIST_NAMES[endpoint], items, anyio.current_time())
        await req.reply(200, {'items': items})
    else:
        await req.reply(404, _error('not_found', req.path))


def _key(req):
    return req.path.removeprefix(_OBJECTS_PATH + '/')


def _query_number(req, name, default):
    try:
        return float(req.query.get(name, default))
    except ValueError as exc:
        raise asgi.BadRequest(f'expected a number in {name}') from exc


def _item(entry):
    item = {'key': entry.key, 'version': entry.version}
    if entry.deleted:
        return {**item, 'deleted': True}
    return {**item, 'value': base64.b64encode(entry.value).decode()}


def _listing(found, revision):
    return {'items': [_item(entry) for entry in found], 'revision': revision}


def _error(kind, message):
    return {'error': {'kind': kind, 'message': message}}


def _make_process_app(settings):
    return make_app(Platform(settings))


if __name__ == '__main__':
    process.run(_make_process_app, PlatformSettings, __doc__)
