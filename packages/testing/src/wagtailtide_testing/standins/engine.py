"""Stand-in for a model engine.

In its report, ``models`` and ``adapters`` are lists of objects with
``model``, ``version``, ``adapter`` (adapters only), ``state`` (loading, ready
or unloading) and ``bytes``; ``orders`` is a list of objects with ``order_id``
and ``state`` (running, done, failed or refused). ``seq`` counts the report
intervals since the boot. The response to an order contains the current
``seq``; reports with a higher one reflect the order.
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

    Loads and unloads end when the state is next accessed: call `advance`
    before reading `accelerator` or `orders` directly.

    Attributes:
        weight_store: `stores.WeightStore` from which models are loaded.
        adapter_store: `stores.AdapterStore` from which adapters are fetched.
        faults: Active faults; change them with `set_faults`.
        boot_id: Random id, replaced by each crash.
        accelerator: Resident models and adapters.
        orders: Recent orders.
        batch: Running and waiting requests.
        jobs: Admitted requests by request id.
        counters: Numbers of crashes, tokens, orders and other events.
        recorder: Recorded requests.
    """

    def __init__(
        self, settings=None, rng=None, weight_store=None, adapter_store=None
    ):
        self.settings = cfg = settings or EngineSettings()
        self.rng = rng or random.SystemRandom()
        self.weight_store = weight_store or stores.WeightStore()
        self.adapter_store = adapter_store or stores.AdapterStore(
            cfg.adapter_knee, cfg.adapter_min_s, cfg.adapter_max_s
        )
        self.faults = engine_settings.EngineFaults()
        self.counters = collections.Counter()
        self.recorder = asgi.Recorder()
        self.jobs = {}
        self._down_until = float('-inf')
        self._boot(0)
        for entry in filter(None, cfg.models.split(',')):
            key, _, size_bytes = entry.partition('=')
            self.place_model(key, int(size_bytes))

    def _boot(self, fence):
        cfg = self.settings
        self.boot_id = f'{self.rng.getrandbits(64):016x}'
        self.booted_at = None
        self.timeline = timeline.Timeline()
        self.accelerator = accelerator.Accelerator(cfg)
        self.orders = engine_orders.Orders(
            cfg,
            self.faults,
            self.accelerator,
            self.timeline,
            self.weight_store,
        )
        self.orders.fence = fence
        self.batch = engine_batch.Batch(cfg.slots)
        self.cache = prefix_cache.PrefixCache(
            cfg.cache_blocks, cfg.event_lag_s, cfg.event_gap_rate, self.rng
        )
        self._snapshots = collections.deque()
        self._memory_report = None

    def place_model(self, key, size_bytes):
        """Make a model (``name@version``) resident without a load."""
        resident = self.accelerator.add_model(key, size_bytes, 0.0)
        resident.state = accelerator.READY

    def place_adapter(self, key, adapter, size_bytes):
        """Make an adapter of a resident model resident without a load."""
        resident = self.accelerator.add_adapter(key, adapter, size_bytes, 0.0)
        resident.state = accelerator.READY

    def set_faults(self, **values):
        """Change faults; `crash` and `silent` take effect immediately."""
        asgi.set_faults(self.faults, values)
        if self.faults.silent:
            self.recorder.silence_all()
            self.faults.silent = False
        if self.faults.crash:
            self.faults.crash = False
            self.crash(anyio.current_time())

    def crash(self, now, keep_conn=None):
        """Reset connections except `keep_conn`; boot with empty memory."""
        self.counters['crashes'] += 1
        self.counters['overcommitted'] += self.accelerator.overcommit_count
        self.counters.update(self.orders.violations)
        keeps_fence = self.settings.fence_survives_crash
        self._boot(self.orders.fence if keeps_fence else 0)
        self._down_until = now + self.settings.restart_s
        self.jobs = {}
        self.recorder.abort_all(keep_conn)

    def is_down(self, now):
        """Return whether new connections are reset."""
        return self.faults.down or now < self._down_until

    def advance(self, now):
        """Run the deferred actions up to a time in seconds."""
        if self.booted_at is None:
            self.booted_at = now
            self._take_snapshot(now)
        for due in self.timeline.advance(now):
            self._take_snapshot(due)

    def record_change(self, now, *, counts_only=False):
        """Record a change of the state for later reports.

        Args:
            now: Time in seconds.
            counts_only: Whether just the numbers of running and waiting
                requests changed.
        """
        self.advance(now)
        self._take_snapshot(now, counts_only)

    def _take_snapshot(self, now, counts_only=False):
        if not counts_only:
            self._memory_report = {
                **self.accelerator.as_report(),
                **self.orders.as_report(),
            }
        snapshot = (
            self._memory_report,
            self.batch.running,
            self.batch.waiting,
        )
        self._snapshots.append((now, snapshot))
        # Drop the snapshots that no report can select any more.
        horizon = now - self.settings.report_lag_s
        horizon -= self.settings.report_interval_s
        while len(self._snapshots) > 1 and self._snapshots[1][0] <= horizon:
            self._snapshots.popleft()

    def seq(self, now):
        """Return the number of report intervals up to a time in seconds."""
        elapsed = max(0.0, now - self.booted_at)
        return int(elapsed / self.settings.report_interval_s)

    def report(self, now):
        """Return the latest report published at a time in seconds."""
        seq = self.seq(now - self.settings.report_lag_s)
        as_of = self.booted_at + seq * self.settings.report_interval_s
        latest = self._snapshots[0][1]
        for at, snapshot in self._snapshots:
            if at > as_of:
                break
            latest = snapshot
        memory_report, running, waiting = latest
        return {
            'name': self.settings.name,
            'boot_id': self.boot_id,
            'seq': seq,
            'as_of_age_ms': max(0, round((now - as_of) * 1000)),
            **memory_report,
            'running': running,
            'waiting': waiting,
            'slots': self.settings.slots,
            'draining': self.faults.draining,
        }

    def as_record(self):
        """Return the boot id and the counters as a JSON value."""
        counts = self.counters + self.orders.violations
        counts['overcommitted'] += self.accelerator.overcommit_count
        return {'boot_id': self.boot_id, 'counts': dict(counts)}


def make_app(engine):
    """Return an ASGI app that serves an `Engine`."""

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


async def _handle_completion(engine, req):
    await engine_streams.respond(engine, req, chat=False)


async def _handle_chat(engine, req):
    await engine_streams.respond(engine, req, chat=True)


async def _handle_cancel(engine, req):
    job = engine.jobs.get(req.json().get('request_id'))
    if job is not None:
        job.scope.cancel()
    await req.reply(200, {'cancelled': job is not None})


async def _handle_order(engine, req):
    faults = engine.faults
    if asgi.consume_fault(faults, 'lose_orders'):
        raise asgi.DropConnection
    order = engine_orders.parse_order(req.json())
    if faults.delay_order_s:
        await anyio.sleep(faults.delay_order_s)
    now = anyio.current_time()
    engine.advance(now)
    engine.counters['orders'] += 1
    orders = engine.orders
    if asgi.consume_fault(faults, 'duplicate_orders'):
        engine.timeline.call_at(
            now + faults.duplicate_after_s,
            lambda at: orders.run_duplicate(order, at, engine.adapter_store),
        )
    try:
        state = orders.run(order, now, engine.adapter_store)
        status, value = 202, {'order_id': order.order_id, 'state': state}
    except engine_settings.Refusal as exc:
        status, value = exc.status, exc.as_value()
    engine.record_change(now)
    if asgi.consume_fault(faults, 'lose_order_answers'):
        raise asgi.DropConnection
    await req.reply(
        status, {**value, 'seq': engine.seq(now), 'fence': orders.fence}
    )


async def _handle_report(engine, req):
    await req.reply(200, engine.report(anyio.current_time()))


async def _handle_cache_events(engine, req):
    try:
        since = int(req.query.get('since', 0))
    except ValueError as exc:
        raise asgi.BadRequest('expected an integer in since') from exc
    events = engine.cache.events(since, anyio.current_time())
    value = {'boot_id': engine.boot_id, 'events': events}
    value['next'] = events[-1]['seq'] if events else since
    await req.reply(200, value)


async def _handle_export(engine, req):
    body = req.json()
    prompt = tokens.prompt_text(body)
    blob = engine.cache.export(body.get('model'), body.get('adapter'), prompt)
    await req.reply(200, {'blob': blob})


async def _handle_import(engine, req):
    try:
        block_count = engine.cache.import_(
            req.json().get('blob', ''), anyio.current_time()
        )
    except ValueError as exc:
        raise asgi.BadRequest(f'expected an exported blob: {exc}') from exc
    await req.reply(200, {'blocks': block_count})


async def _handle_health(engine, req):
    value = {'boot_id': engine.boot_id, 'draining': engine.faults.draining}
    await req.reply(200, value)


_HANDLERS = {
    ('POST', '/v1/completions'): _handle_completion,
    ('POST', '/v1/chat/completions'): _handle_chat,
    ('POST', '/v1/cancel'): _handle_cancel,
    ('POST', '/v1/orders'): _handle_order,
    ('GET', '/v1/report'): _handle_report,
    ('GET', '/v1/cache-events'): _handle_cache_events,
    ('POST', '/v1/kv/export'): _handle_export,
    ('POST', '/v1/kv/import'): _handle_import,
    ('GET', '/healthz'): _handle_health,
}


async def _handle_admin(engine, req):
    endpoint = (req.method, req.path.removeprefix('/admin/'))
    if endpoint == ('POST', 'faults'):
        engine.set_faults(**req.json())
        await req.reply(200, dataclasses.asdict(engine.faults))
    elif endpoint == ('GET', 'requests'):
        await req.reply(200, {'items': list(engine.recorder.requests)})
    elif endpoint == ('GET', 'record'):
        await req.reply(200, engine.as_record())
    else:
        await req.reply(404, {'error': {'kind': 'not_found'}})


def _make_process_app(settings):
    return make_app(Engine(settings))


if __name__ == '__main__':
    process.run(_make_process_app, EngineSettings, __doc__)
