"""Stand-in for a plain service with lookups and posts.

Lookups are idempotent. Posts are not: each one that arrives is applied and
recorded, and idempotency keys are ignored. Applied posts survive a crash.
"""

import dataclasses
import random

import anyio

from wagtailtide_testing.standins import asgi
from wagtailtide_testing.standins import process


@dataclasses.dataclass(frozen=True)
class LedgerSettings:
    """Settings of a ledger.

    Attributes:
        name: Name of the backend server.
        lookup_s: Duration of a lookup in seconds.
        post_s: Seconds between the arrival of a post and its effect.
    """

    name: str = 'ledger'
    lookup_s: float = 0.0
    post_s: float = 0.0


@dataclasses.dataclass
class LedgerFaults:
    """Active faults of a ledger.

    Attributes:
        crash_after_apply: Number of posts that are applied and then crash the
            ledger.
        crash_before_apply: Number of posts that crash the ledger before they
            are applied.
        crash_on: Crash on a body with this substring; empty for never.
        down: Whether new connections are reset.
        silent: Set to true to make the open connections silent permanently.
        delay_s: Delay of each response in seconds, after a post is applied.
        draining: Whether new requests are refused with fate `not_run`.
        cut_answers: Number of responses to truncate.
        lose_requests: Number of requests to drop before they are run.
        crossed_answers: Number of responses to send with the id of another
            request.
    """

    crash_after_apply: int = 0
    crash_before_apply: int = 0
    crash_on: str = ''
    down: bool = False
    silent: bool = False
    delay_s: float = 0.0
    draining: bool = False
    cut_answers: int = 0
    lose_requests: int = 0
    crossed_answers: int = 0


class Ledger:
    """State of a ledger.

    Attributes:
        boot_id: Random id, replaced by each crash.
        applied: Applied posts in order: number, path, body and request id.
        crashes: Number of crashes.
        faults: Active faults; change them with `set_faults`.
        recorder: Recorded requests.
    """

    def __init__(self, settings=None, rng=None):
        self.settings = settings or LedgerSettings()
        self.rng = rng or random.SystemRandom()
        self.faults = LedgerFaults()
        self.applied = []
        self.crashes = 0
        self.recorder = asgi.Recorder()
        self.boot_id = f'{self.rng.getrandbits(64):016x}'

    def set_faults(self, **values):
        """Change faults; `silent` affects currently open connections."""
        asgi.set_faults(self.faults, values)
        if self.faults.silent:
            self.recorder.silence_all()
            self.faults.silent = False

    def apply(self, req):
        """Apply a post: record it and return its number."""
        record = {
            'number': len(self.applied) + 1,
            'path': req.path,
            'body': req.body.decode('utf-8', 'backslashreplace'),
            'request_id': req.header('x-request-id'),
        }
        self.applied.append(record)
        return record['number']

    def crash(self):
        """Reset all connections and get a new boot id."""
        self.crashes += 1
        self.boot_id = f'{self.rng.getrandbits(64):016x}'
        self.recorder.abort_all()


def make_app(state):
    """Return an ASGI app that serves a `Ledger`."""

    async def handle(req):
        if req.path.startswith('/admin/'):
            await _handle_admin(state, req)
            return
        faults = state.faults
        if faults.down or asgi.consume_fault(faults, 'lose_requests'):
            raise asgi.DropConnection
        if req.path == '/healthz':
            value = {'boot_id': state.boot_id, 'draining': faults.draining}
            await req.reply(200, value)
        elif faults.draining:
            await _refuse_draining(req)
        else:
            await _run(state, req)

    return asgi.make_app(handle, state.recorder)


async def _refuse_draining(req):
    error = {
        'kind': 'draining',
        'message': 'service is draining',
        'fate': 'not_run',
    }
    await req.reply(503, {'error': error}, _request_id_headers(req))


async def _run(state, req):
    faults = state.faults
    if faults.crash_on and faults.crash_on in req.body.decode('latin-1'):
        _crash(state)
    if req.method == 'POST':
        status, value = await _post(state, req)
    elif req.method == 'GET':
        await anyio.sleep(state.settings.lookup_s)
        status, value = 200, _look_up(req)
    else:
        await req.reply(405, None, _request_id_headers(req))
        return
    await anyio.sleep(faults.delay_s)
    headers = _request_id_headers(req)
    if asgi.consume_fault(faults, 'crossed_answers'):
        headers = [('x-request-id', 'request-of-another-caller')]
    if asgi.consume_fault(faults, 'cut_answers'):
        await req.reply_truncated(status, value, headers)
    await req.reply(status, value, headers)


async def _post(state, req):
    await anyio.sleep(state.settings.post_s)
    if asgi.consume_fault(state.faults, 'crash_before_apply'):
        _crash(state)
    number = state.apply(req)
    if asgi.consume_fault(state.faults, 'crash_after_apply'):
        _crash(state)
    return 201, {'number': number, 'path': req.path}


def _look_up(req):
    *_, claim_id = req.path.rsplit('/', 1)
    return {'path': req.path, 'id': claim_id, 'state': f'open:{claim_id}'}


def _crash(state):
    state.crash()
    raise asgi.DropConnection


def _request_id_headers(req):
    request_id = req.header('x-request-id')
    return [] if request_id is None else [('x-request-id', request_id)]


async def _handle_admin(state, req):
    endpoint = (req.method, req.path.removeprefix('/admin/'))
    if endpoint == ('POST', 'faults'):
        state.set_faults(**req.json())
        await req.reply(200, dataclasses.asdict(state.faults))
    elif endpoint == ('GET', 'applied'):
        await req.reply(200, {'items': state.applied})
    elif endpoint == ('GET', 'requests'):
        await req.reply(200, {'items': list(state.recorder.requests)})
    elif endpoint == ('GET', 'record'):
        value = {'boot_id': state.boot_id, 'crashes': state.crashes}
        await req.reply(200, value)
    else:
        await req.reply(404, {'error': {'kind': 'not_found'}})


def _make_process_app(settings):
    return make_app(Ledger(settings))


if __name__ == '__main__':
    process.run(_make_process_app, LedgerSettings, __doc__)
