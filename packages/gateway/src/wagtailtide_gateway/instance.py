"""One instance of the gateway: startup, background tasks and shutdown."""

import functools
import logging
import signal
import time

import anyio

from wagtailtide_gateway import metrics as metrics_
from wagtailtide_gateway import shared_state as shared_state_
from wagtailtide_gateway.control import brittle_servers
from wagtailtide_gateway.control import cluster_state as cluster_state_
from wagtailtide_gateway.control import cold_servers
from wagtailtide_gateway.control import engine_controller
from wagtailtide_gateway.control import evacuation_sync
from wagtailtide_gateway.control import evacuations
from wagtailtide_gateway.control import exchange as exchanges
from wagtailtide_gateway.control import forerunners
from wagtailtide_gateway.control import leadership as leadership_
from wagtailtide_gateway.control import origin_reader
from wagtailtide_gateway.control import origin_store
from wagtailtide_gateway.control import prober as probers
from wagtailtide_gateway.control import server_performance
from wagtailtide_gateway.control import store
from wagtailtide_gateway.control import store_era
from wagtailtide_gateway.control import sync
from wagtailtide_gateway.decisions import connections
from wagtailtide_gateway.decisions import graceful_stop
from wagtailtide_gateway.decisions import server_capacity
from wagtailtide_gateway.decisions import trust
from wagtailtide_gateway.http import listeners
from wagtailtide_gateway.http import outgoing
from wagtailtide_gateway.http import resources
from wagtailtide_gateway.http import responder
from wagtailtide_gateway.model import deployment
from wagtailtide_gateway.serving import availability
from wagtailtide_gateway.serving import capacity_recorder
from wagtailtide_gateway.serving import crash_detector
from wagtailtide_gateway.serving import explanation
from wagtailtide_gateway.serving import forward_messages
from wagtailtide_gateway.serving import forwarding
from wagtailtide_gateway.serving import gateway
from wagtailtide_gateway.serving import process_check
from wagtailtide_gateway.serving import quarantine as quarantine_

LOG = logging.getLogger(__name__)

# After the stop signal the load balancer needs two failed readiness checks,
# one second apart, before it stops sending connections. Until the idle
# connections are closed, callers keep using them.
CLOSE_IDLE_AFTER_S = 2.6
CLOSE_IDLE_INTERVAL_S = 0.2

# Delay before a failed background task is restarted.
TASK_RESTART_DELAY_S = 0.5

# Time for the error responses of requests that the stop cuts.
CUT_RESPONSES_S = 0.1


def boottime_clock():
    """Return the seconds since boot, time in suspend included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Instance:
    """All state and tasks of one gateway process.

    Args:
        cfg: The Settings.
        caller_port: The CallerPort.
        backend_port: The BackendPort.
        store_port: The StorePort.
        clock: Function that returns seconds, time in suspend included.
    """

    def __init__(
        self, cfg, caller_port, backend_port, store_port, clock=boottime_clock
    ):
        self._cfg = cfg
        self._ready_path = caller_port.ready_path
        self._stop_requested = anyio.Event()
        self._tasks = []
        self.metrics = metrics_.Metrics()
        self.shared_state = shared_state_.SharedState(
            store_port,
            clock,
            evacuation_s=cfg.evacuation_s,
            limits_engine_memory=cfg.limits_engine_memory,
            schedules_shares=cfg.schedules_shares,
            divides_slots=cfg.divides_slots,
        )
        if cfg.evacuation_s is not None:
            self.shared_state.sections.add(
                evacuations.make_section(self.shared_state.evacuations)
            )
        self.shared_state.servers.cold_rule_of = functools.partial(
            cold_servers.rule_of, cfg, self.shared_state.config
        )
        brittle = brittle_servers.BrittleServers(
            self.shared_state.servers,
            lambda: self.cluster,
            lambda service: self.shared_state.servers.service_time_s(
                service, availability.DEFAULT_ENGINE_SERVICE_S
            ),
        )
        self.shared_state.servers.brittle_limit_of = brittle.limit_of
        self._pool = outgoing.ConnectionPool()
        era = store_era.StoreEra()
        client = store.StoreClient(
            store_port,
            cfg.store,
            outgoing.ConnectionPool(),
            self.metrics,
            era,
            cfg.store_value_bytes,
        )
        self.leadership = leadership_.Leadership(
            client,
            store_port,
            cfg,
            clock,
            self._summarise_cluster,
            lambda: self.shared_state.servers.is_cut_off,
            era,
        )
        self.cluster = cluster_state_.ClusterState(
            self.shared_state.config,
            self.shared_state.servers,
            self.leadership,
            self.shared_state.sections,
            brittle,
        )
        self.shared_state.sections.add(brittle.section())
        self.shared_state.sections.add(
            cold_servers.ColdServers(
                self.shared_state.servers, self.cluster.others_waiting
            ).section()
        )
        self.exchange = exchanges.Exchange(
            self.leadership,
            self.cluster,
            self.shared_state,
            cfg,
            self._pool,
            clock,
            lambda: self.gateway.is_stopping,
        )
        self._sync = sync.StoreSync(
            cfg,
            client,
            store_port,
            self.shared_state,
            clock,
            lambda: self.leadership.is_leader,
            lambda: self.exchange.interval_s,
        )
        self._evacuation_sync = evacuation_sync.EvacuationSync(
            client,
            store_port,
            self.shared_state,
            lambda: self.leadership.is_leader,
        )
        self._engine_controller = engine_controller.EngineController(
            self.shared_state,
            self.cluster,
            self.leadership,
            cfg,
            backend_port,
            self._pool,
            self.metrics,
        )
        self.prober = probers.ServerProber(
            self.shared_state.servers,
            self._pool,
            self.shared_state.wait_queues.wake,
            lambda: self.leadership.is_leader,
        )
        detector = crash_detector.CrashDetector(
            self._pool, self.prober, self.shared_state
        )
        quarantine = quarantine_.Quarantine(
            self.shared_state, lambda: self.exchange.is_leader
        )
        self._origin_reader = origin_reader.OriginReader(
            client,
            store_port,
            self.shared_state,
            lambda: self.leadership.first_revision,
        )
        check = process_check.ProcessCheck(
            self.shared_state.servers, self._origin_reader.read_list, clock
        )
        self._forwarding = forwarding.ForwardingService(
            backend_port,
            self._pool,
            self.shared_state,
            quarantine,
            detector,
            check,
            lambda: self.gateway.is_stopping,
        )
        self._origin_writer = origin_store.OriginWriter(
            client,
            store_port,
            self.leadership,
            self.cluster,
            self.shared_state.servers,
        )
        recorder = self._learn_capacity() if cfg.learns_capacity else None
        self.gateway = gateway.Gateway(
            cfg,
            caller_port,
            backend_port,
            self.shared_state,
            self._pool,
            self.exchange,
            quarantine,
            detector,
            self.metrics,
            self._origin_reader,
            check,
            recorder,
        )
        self.shared_state.sections.add(
            forerunners.Forerunners(
                lambda: self.leadership.leads_first_term,
                self.gateway.note_free_since,
            ).section()
        )
        self._resources = resources.make(
            connections.derive_limits(cfg.memory_bytes, cfg.sockets)
        )
        self._callers = listeners.Listener(
            cfg.callers,
            self.gateway.handle,
            lambda: self.gateway.is_stopping,
            self._caller_limits,
            self._resources,
        )
        allowed = self._resources.budget.limits
        self._readiness = self._listener(
            cfg.readiness, self._handle_readiness, allowed.platform
        )
        self._peers = self._listener(
            cfg.peers,
            self._handle_peer,
            allowed.instances,
            for_instances=True,
        )
        self._admin = self._listener(
            cfg.admin, self._handle_admin, allowed.platform
        )
        self.metrics.gauges = {
            'connections': lambda: self._callers.open_count,
            'waiting_requests': lambda: self.shared_state.wait_queues.count,
            'config_version': lambda: self.shared_state.config.version,
            'config_age_seconds': lambda: self.shared_state.config.age_s,
            'duty_held': lambda: int(self.leadership.is_leader),
            'backend_servers': lambda: len(self.shared_state.servers.states),
            'slowed_backend_servers': self._count_slowed,
            'body_bytes': lambda: self._resources.bodies.held,
            'bodies_ended': lambda: self._resources.bodies.ended_count,
            'connection_bytes': lambda: self._resources.budget.held_bytes,
            'connections_closed': lambda: self._resources.budget.closed_count,
        }
        if cfg.limits_engine_memory:
            memory = self.shared_state.engine_memory
            self.metrics.gauges['awaited_memory_reservations'] = lambda: (
                memory.awaited_reservations
            )
        self._add_zone_metrics(self.shared_state.evacuations)
        if self.shared_state.class_shares is not None:
            loads = self.shared_state.class_shares.loads
            self.metrics.labelled_gauges['requests_in_servers'] = (
                ('priority',),
                lambda: {(str(p),): n for p, n in loads.totals().items()},
            )

    def _add_zone_metrics(self, view):
        if not view.is_enabled:
            return
        self.metrics.gauges['evacuations_age_seconds'] = lambda: view.age_s(
            anyio.current_time()
        )
        self.metrics.labelled_gauges |= {
            'zone_state': (
                ('zone', 'state'),
                lambda: evacuations.zone_state_values(view),
            ),
            'zone_requests': (
                ('zone',),
                lambda: {(z,): view.requests[z] for z in view.zone_states},
            ),
        }

    def _learn_capacity(self):
        """Return the CapacityRecorder; share what it learns."""
        recorder = capacity_recorder.CapacityRecorder()
        self._tasks.append(recorder.watch_hold_ups)
        performance = server_performance.ServerPerformance(
            self.shared_state.servers, recorder.take, recorder.batches.take
        )
        self.shared_state.sections.add(performance.section())
        self.shared_state.sections.add(performance.batch_section())
        return recorder

    def _summarise_cluster(self):
        return self.cluster.summary()

    def _count_slowed(self):
        return sum(
            state.capacity != server_capacity.NOMINAL
            for state in self.shared_state.servers.states.values()
        )

    def _caller_limits(self):
        current = self.shared_state.config.deployment
        return current.limits if current else deployment.CallerLimits()

    def _listener(self, address, handle, max_open, for_instances=False):
        return listeners.Listener(
            address,
            handle,
            lambda: self.gateway.is_stopping,
            resources=self._resources,
            max_open=max_open,
            for_instances=for_instances,
        )

    @property
    def is_ready(self):
        """Whether the instance can serve callers."""
        return (
            not self.gateway.is_stopping
            and self.shared_state.servers.has_list
            and self.shared_state.evacuations.is_known
            and self.shared_state.config.deployment is not None
            and trust.may_trust_keys(
                self.shared_state.config.age_s, self._cfg.key_withdrawal_s
            )
        )

    async def run(self):
        """Serve until stopped.

        Raises:
            OSError: An address cannot be bound.
        """
        all_listeners = (
            self._callers,
            self._readiness,
            self._peers,
            self._admin,
        )
        for listener in all_listeners:
            await listener.listen()
        LOG.info(
            'started',
            extra={
                'zone': self._cfg.zone,
                'callers': str(self._cfg.callers),
                'peers': str(self._cfg.peers),
                'store': str(self._cfg.store),
            },
        )
        async with anyio.create_task_group() as tg:
            for listener in all_listeners:
                tg.start_soon(listener.serve)
            for task in (
                self._sync.run,
                self._evacuation_sync.run,
                self.leadership.run,
                self.exchange.run,
                self.prober.run,
                self._engine_controller.run,
                self._origin_reader.run,
                self._origin_writer.run,
                *self._tasks,
            ):
                tg.start_soon(_restart_on_error, task)
            tg.start_soon(self._watch_signals)
            await self._stop_requested.wait()
            await self._stop_gracefully()
            for listener in all_listeners:
                # The end of a response that nobody reads holds up the stop.
                listener.close_all()
            tg.cancel_scope.cancel()
        LOG.info('stopped')

    def stop(self):
        """Begin a graceful stop."""
        self._stop_requested.set()

    async def _watch_signals(self):
        with anyio.open_signal_receiver(
            signal.SIGTERM, signal.SIGINT, signal.SIGHUP
        ) as received:
            async for number in received:
                LOG.info('signal', extra={'number': int(number)})
                if number != signal.SIGHUP:
                    self.stop()

    async def _stop_gracefully(self):
        started_at = anyio.current_time()
        LOG.info('stopping', extra={'open': self._callers.open_count})
        self.gateway.begin_stop()
        await self.leadership.release_lease()
        await anyio.sleep(CLOSE_IDLE_AFTER_S)
        deadline_at = started_at + self._cfg.stop_s - graceful_stop.MARGIN_S
        while anyio.current_time() < deadline_at:
            self._callers.close_idle()
            if not self._callers.open_count + self._forwarding.open_count:
                return
            await anyio.sleep(CLOSE_IDLE_INTERVAL_S)
        LOG.warning('stop cut', extra={'busy': self._callers.busy_count})
        self.gateway.begin_cut()
        await anyio.sleep(CUT_RESPONSES_S)

    async def _handle_readiness(self, request, out):
        known = request.target.split(b'?')[0] == self._ready_path
        status = 200 if known and self.is_ready else 503
        await _respond(out, status, b'')

    async def _handle_peer(self, request, out):
        if request.target == exchanges.EXCHANGE_TARGET:
            status, body = exchanges.answer_report(
                self.leadership, self.cluster, request.body
            )
            await _respond(out, status, body)
        elif request.target == forward_messages.FORWARD_TARGET:
            await self._forwarding.handle(request, out)
        else:
            await _respond(out, 404, b'')

    async def _handle_admin(self, request, out):
        target = request.target
        if target == b'/healthz':
            await _respond(out, 200, b'')
        elif target == b'/metrics':
            await _respond(out, 200, self.metrics.expose())
        elif target == b'/dump':
            await _respond(out, 200, dump(self))
        elif target.partition(b'?')[0] == explanation.PATH:
            status, body = explanation.answer(self.gateway.explain, target)
            await _respond(out, status, body)
        else:
            await _respond(out, 404, b'')


async def _restart_on_error(task):
    """Run a background task and restart it after an unexpected error.

    Meanwhile requests are served from the last known state, which is better
    for callers than a crash that closes all connections.
    """
    while True:
        try:
            await task()
            return
        except Exception:
            LOG.exception('background task failed')
            await anyio.sleep(TASK_RESTART_DELAY_S)


async def _respond(out, status, body):
    try:
        await out.respond(status, [], body)
    except responder.CallerDisconnected as exc:
        LOG.debug('client disconnected', extra={'reason': str(exc)})


def dump(instance):
    """Return the state of an instance as JSON, in bytes."""
    import json

    now = anyio.current_time()
    shared_state = instance.shared_state
    state = {
        'config_version': shared_state.config.version,
        'config_age_s': shared_state.config.age_s,
        'ready': instance.is_ready,
        'duty': {
            'held': instance.leadership.is_leader,
            'record': repr(instance.leadership.record),
        },
        'instances': instance.exchange.instances,
        'waiting': shared_state.wait_queues.count,
        'evacuations': evacuations.dump(shared_state.evacuations, now),
        'servers': {
            server_id: {
                'service': state.server.service,
                'zone': state.server.zone,
                'leaving': state.server.leaving,
                'own_load': state.own_load,
                'others_load': state.others_load,
                **shared_state.engine_memory.held(state),
                'requests_by_priority': shared_state.class_shares
                and shared_state.class_shares.loads.by_priority([state]),
                'limit_per_s': state.limit.per_s,
                'slots_share': state.capacity.slots_share,
                'slowdown': state.capacity.slowdown,
                'cold_per_s': state.limit.cold.per_s(now),
                'brittle_per_s': state.limit.brittle.per_s,
                'failure_rate': shared_state.servers.health.failure_rate(
                    server_id, now
                ),
                'models': {
                    model.name: sorted(model.adapters)
                    for model in state.residency.models.values()
                },
            }
            for server_id, state in shared_state.servers.states.items()
        },
    }
    return json.dumps(state).encode()
