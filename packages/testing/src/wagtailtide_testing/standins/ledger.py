"""Stand-in for a plain service: idempotent lookups, non-idempotent posts.

Every POST is applied once for each arrival and recorded; the service itself
knows no idempotency keys. Applications survive a crash.
"""

import dataclasses
import random

import anyio

from wagtailtide_testing.standins import asgi
from wagtailtide_testing.standins import process


@dataclasses.dataclass(frozen=True)
class LedgerSettings:
    """Settings of the ledger.

    Attributes:
        name: Name of the backend server.
        lookup_s: Time that a lookup takes.
        post_s: Time from the arrival of a post to its application.
    """

    name: str = 'ledger'
    lookup_s: float = 0.0
    post_s: float = 0.0


@dataclasses.dataclass
class LedgerFaults:
    """Faults that are switched on.

    Attributes:
        crash_after_apply: Number of posts to apply and then crash.
        crash_before_apply: Number of posts to crash on, unapplied.
        crash_on: Crash on a body with this substring, unless empty.
        down: Whether new connections are reset.
        silent: Set to true to make the open connections silent for good.
        delay_s: Delay of each answer after the application.
        draining: Whether new requests are refused with fate `not_run`.
        cut_answers: Number of answers to cut half way.
        lose_requests: Number of requests to drop without running them.
        crossed_answers: Number of answers to give under another id.
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
        boot_id: Changes with each crash.
        applied: Applications in order: path, body, request id, number.
        faults: Faults; change them with `set_faults`.
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
        """Change faults; `silent` affects the connections open now."""
        asgi.set_faults(self.faults, values)
        if self.faults.silent:
            self.recorder.silence_all()
            self.faults.silent = False

    def apply(self, req):
        """Record one application and return its number."""
        record = {
            'number': len(self.applied) + 1,
            'path': req.path,
            'body': req.body.decode('utf-8', 'backslashreplace'),
            'request_id': req.header('x-request-id'),
        }
        self.applied.append(record)
        return record['number']

    def crash(self):
        """Reset all connections and start with a new boot id."""
        self.crashes += 1
        self.boot_id = f'{self.rng.getrandbits(64):016x}'
        self.recorder.abort_all()


def make_app(state):
    """Return the ASGI app of a `Ledger`."""

    async def handle(req):
        if req.path.startswith('/admin/'):
            await _handle_admin(state, req)
            return
        faults = state.faults
        if faults.down or asgi.take_one(faults, 'lose_requests'):
            raise asgi.DropConnection
        if req.path == '/healthz':
            value = {'boot_id': state.boot_id, 'draining': faults.draining}
            await req.reply(200, value)
        elif faults.draining:
            await _refuse(req)
        else:
            await _run(state, req)

    return asgi.make_app(handle, state.recorder)


async def _refuse(req):
    error = {
        'kind': 'draining',
        'message': 'the service is being stopped',
        'fate': 'not_run',
    }
    await req.reply(503, {'error': error}, _id_headers(req))


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
        await req.reply(405, None, _id_headers(req))
        return
    await anyio.sleep(faults.delay_s)
    headers = _id_headers(req)
    if asgi.take_one(faults, 'crossed_answers'):
        headers = [('x-request-id', 'request-of-another-caller')]
    if asgi.take_one(faults, 'cut_answers'):
        await req.cut(status, value, headers)
    await req.reply(status, value, headers)


async def _post(state, req):
    await anyio.sleep(state.settings.post_s)
    if asgi.take_one(state.faults, 'crash_before_apply'):
        _crash(state)
    number = state.apply(req)
    if asgi.take_one(state.faults, 'crash_after_apply'):
        _crash(state)
    return 201, {'number': number, 'path': req.path}


def _look_up(req):
    *_, name = req.path.rsplit('/', 1)
    return {'path': req.path, 'id': name, 'state': f'open:{name}'}


def _crash(state):
    state.crash()
    raise asgi.DropConnection


def _id_headers(req):
    sent = req.header('x-request-id')
    return [] if sent is None else [('x-request-id', sent)]


async def _handle_admin(state, req):
    what = (req.method, req.path.removeprefix('/admin/'))
    if what == ('POST', 'faults'):
        state.set_faults(**req.json())
        await req.reply(200, dataclasses.asdict(state.faults))
    elif what == ('GET', 'applied'):
        await req.reply(200, {'items': state.applied})
    elif what == ('GET', 'requests'):
        await req.reply(200, {'items': list(state.recorder.requests)})
    elif what == ('GET', 'record'):
        value = {'boot_id': state.boot_id, 'crashes': state.crashes}
        await req.reply(200, value)
    else:
        await req.reply(404, {'error': {'kind': 'not_found'}})


def _make_process_app(settings):
    return make_app(Ledger(settings))


if __name__ == '__main__':
    process.run(_make_process_app, LedgerSettings, __doc__)
