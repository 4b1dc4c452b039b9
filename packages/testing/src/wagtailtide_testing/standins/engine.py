"""Stand-in for a model engine.

Report: ``models`` and ``adapters`` are lists of objects with ``model``,
``version``, (``adapter``,) ``state`` (loading, ready, unloading) and
``bytes``; ``orders`` is a list of ``{"order_id", "state"}`` with state
running, done, failed or refused. ``seq`` counts report intervals since the
boot. The answer to an order carries the current ``seq``: a report with a
higher one reflects the order.
"""

import collections
import dataclasses
import random

import anyio

from wagtailtide_testing.standins import accelerator
from wagtailtide_testing.standins import asgi
from wagtailtide_testing.standins import engine_batch
from wagtailtide_testing.standins import engine_orders
from wagtailtide_testing.standins import engine_settings
from wagtailtide_testing.standins import engine_streams
from wagtailtide_testing.standins import prefix_cache
from wagtailtide_testing.standins import process
from wagtailtide_testing.standins import stores
from wagtailtide_testing.standins import timeline
from wagtailtide_testing.standins import tokens

EngineSettings = engine_settings.EngineSettings


class Engine:
    """State of an engine.

    Loads and unloads end when the state is next looked at: call `advance`
    before reading `accelerator` or `orders` directly.

    Attributes:
        faults: Faults; change them with `set_faults`.
        boot_id: Changes with each crash.
        accelerator: Resident models and adapters.
        orders: Orders seen.
        batch: Requests that run and wait.
        jobs: Requests being answered, by request id.
        record: Counts: crashes, tokens, overcommitted and others.
        recorder: Recorded requests.
    """

    def __init__(self, settings=None, rng=None, weights=None, adapters=None):
        self.settings = cfg = settings or EngineSettings()
        self.rng = rng or random.SystemRandom()
        self.weights = weights or stores.WeightStore()
        self.adapters = adapters or stores.AdapterStore(
            cfg.adapter_knee, cfg.adapter_min_s, cfg.adapter_max_s
        )
        self.faults = engine_settings.EngineFaults()
        self.record = collections.Counter()
        self.recorder = asgi.Recorder()
        self.jobs = {}
        self._down_until = float('-inf')
        self._boot(0)
        for spec in filter(None, cfg.models.split(',')):
            key, _, size = spec.partition('=')
            self.place_model(key, int(size))

    def _boot(self, fence):
        cfg = self.settings
        self.boot_id = f'{self.rng.getrandbits(64):016x}'
        self.booted_at = None
        self.timeline = timeline.Timeline()
        self.accelerator = accelerator.Accelerator(cfg)
        self.orders = engine_orders.Orders(
            cfg, self.faults, self.accelerator, self.timeline, self.weights
        )
        self.orders.fence = fence
        self.batch = engine_batch.Batch(cfg.slots)
        self.cache = prefix_cache.PrefixCache(
            cfg.cache_blocks, cfg.event_lag_s, cfg.event_gap_rate, self.rng
        )
        self._snapshots = collections.deque()
        self._memory_part = None

    def place_model(self, key, size):
        """Make a model (``name@version``) resident at once."""
        held = self.accelerator.add_model(key, size, 0.0)
        held.state = accelerator.READY

    def place_adapter(self, key, adapter, size):
        """Make an adapter of a resident model resident at once."""
        held = self.accelerator.add_adapter(key, adapter, size, 0.0)
        held.state = accelerator.READY

    def set_faults(self, **values):
        """Change faults; `crash` and `silent` act at once."""
        asgi.set_faults(self.faults, values)
        if self.faults.silent:
            self.recorder.silence_all()
            self.faults.silent = False
        if self.faults.crash:
            self.faults.crash = False
            self.crash(anyio.current_time())

    def crash(self, now, keep=None):
        """Reset all connections and start anew with nothing resident."""
        self.record['crashes'] += 1
        self.record['overcommitted'] += self.accelerator.overcommitted
        self.record.update(self.orders.violations)
        kept = self.settings.fence_survives_crash
        self._boot(self.orders.fence if kept else 0)
        self._down_until = now + self.settings.restart_s
        self.jobs = {}
        self.recorder.abort_all(keep)

    def is_down(self, now):
        """Tell whether connections are reset."""
        return self.faults.down or now < self._down_until

    def advance(self, now):
        """Bring the state to the present."""
        if self.booted_at is None:
            self.booted_at = now
            self._remember(now)
        for due in self.timeline.advance(now):
            self._remember(due)

    def changed(self, now, *, load_only=False):
        """Remember a change for later reports."""
        self.advance(now)
        self._remember(now, load_only)

    def _remember(self, now, load_only=False):
        if not load_only:
            self._memory_part = {
                **self.accelerator.as_report(),
                **self.orders.as_report(),
            }
        part = (self._memory_part, self.batch.running, self.batch.waiting)
        self._snapshots.append((now, part))
        # Older ones can no longer be the latest before any report.
        horizon = now - self.settings.report_lag_s
        horizon -= self.settings.report_interval_s
        while len(self._snapshots) > 1 and self._snapshots[1][0] <= horizon:
            self._snapshots.popleft()

    def seq(self, now):
        """Return the number of report intervals since the boot."""
        elapsed = max(0.0, now - self.booted_at)
        return int(elapsed / self.settings.report_interval_s)

    def report(self, now):
        """Return the report that is published at a time in seconds."""
        seq = self.seq(now - self.settings.report_lag_s)
        as_of = self.booted_at + seq * self.settings.report_interval_s
        chosen = self._snapshots[0][1]
        for at, part in self._snapshots:
            if at > as_of:
                break
            chosen = part
        memory_part, running, waiting = chosen
        return {
            'name': self.settings.name,
            'boot_id': self.boot_id,
            'seq': seq,
            'as_of_age_ms': max(0, round((now - as_of) * 1000)),
            **memory_part,
            'running': running,
            'waiting': waiting,
            'slots': self.settings.slots,
            'draining': self.faults.draining,
        }

    def as_record(self):
        """Return the engine's own record of what happened to it."""
        counts = self.record + self.orders.violations
        counts['overcommitted'] += self.accelerator.overcommitted
        return {'boot_id': self.boot_id, 'counts': dict(counts)}


def make_app(engine):
    """Return the ASGI app of an `Engine`."""

    async def handle(req):
        now = anyio.current_time()
        if req.path.startswith('/admin/'):
            await _handle_admin(engine, req)
            return
        if engine.is_down(now):
            raise asgi.DropConnection
        engine.advance(now)
        handler = _HANDLERS.get((req.method, req.path))
        if handler is None:
            await req.reply(404, {'error': {'kind': 'not_found'}})
            return
        await handler(engine, req)

    return asgi.make_app(handle, engine.recorder)


async def _complete(engine, req):
    await engine_streams.answer(engine, req, chat=False)


async def _chat(engine, req):
    await engine_streams.answer(engine, req, chat=True)


async def _cancel(engine, req):
    job = engine.jobs.get(req.json().get('request_id'))
    if job is not None:
        job.scope.cancel()
    await req.reply(200, {'cancelled': job is not None})


async def _order(engine, req):
    faults = engine.faults
    if asgi.take_one(faults, 'lose_orders'):
        raise asgi.DropConnection
    order = engine_orders.parse_order(req.json())
    if faults.delay_order_s:
        await anyio.sleep(faults.delay_order_s)
    now = anyio.current_time()
    engine.advance(now)
    engine.record['orders'] += 1
    orders = engine.orders
    if asgi.take_one(faults, 'duplicate_orders'):
        engine.timeline.at(
            now + faults.duplicate_after_s,
            lambda at: orders.run_again(order, at, engine.adapters),
        )
    try:
        state = orders.run(order, now, engine.adapters)
        status, value = 202, {'order_id': order.order_id, 'state': state}
    except engine_settings.Refusal as exc:
        status, value = exc.status, exc.as_value()
    engine.changed(now)
    if asgi.take_one(faults, 'lose_order_answers'):
        raise asgi.DropConnection
    await req.reply(
        status, {**value, 'seq': engine.seq(now), 'fence': orders.fence}
    )


async def _report(engine, req):
    await req.reply(200, engine.report(anyio.current_time()))


async def _cache_events(engine, req):
    try:
        since = int(req.query.get('since', 0))
    except ValueError as exc:
        raise asgi.BadRequest('expected a number in since') from exc
    events = engine.cache.events(since, anyio.current_time())
    value = {'boot_id': engine.boot_id, 'events': events}
    value['next'] = events[-1]['seq'] if events else since
    await req.reply(200, value)


async def _export(engine, req):
    body = req.json()
    prompt = tokens.prompt_text(body)
    blob = engine.cache.export(body.get('model'), body.get('adapter'), prompt)
    await req.reply(200, {'blob': blob})


async def _import(engine, req):
    try:
        count = engine.cache.import_(
            req.json().get('blob', ''), anyio.current_time()
        )
    except ValueError as exc:
        raise asgi.BadRequest(f'expected an exported blob: {exc}') from exc
    await req.reply(200, {'blocks': count})


async def _health(engine, req):
    value = {'boot_id': engine.boot_id, 'draining': engine.faults.draining}
    await req.reply(200, value)


_HANDLERS = {
    ('POST', '/v1/completions'): _complete,
    ('POST', '/v1/chat/completions'): _chat,
    ('POST', '/v1/cancel'): _cancel,
    ('POST', '/v1/orders'): _order,
    ('GET', '/v1/report'): _report,
    ('GET', '/v1/cache-events'): _cache_events,
    ('POST', '/v1/kv/export'): _export,
    ('POST', '/v1/kv/import'): _import,
    ('GET', '/healthz'): _health,
}


async def _handle_admin(engine, req):
    what = (req.method, req.path.removeprefix('/admin/'))
    if what == ('POST', 'faults'):
        engine.set_faults(**req.json())
        await req.reply(200, dataclasses.asdict(engine.faults))
    elif what == ('GET', 'requests'):
        await req.reply(200, {'items': list(engine.recorder.requests)})
    elif what == ('GET', 'record'):
        await req.reply(200, engine.as_record())
    else:
        await req.reply(404, {'error': {'kind': 'not_found'}})


def _make_process_app(settings):
    return make_app(Engine(settings))


if __name__ == '__main__':
    process.run(_make_process_app, EngineSettings, __doc__)
