"""One instance of the server: its parts, tasks and graceful stop."""

import contextlib
import logging
import random
import signal

import anyio
from wagtailtide_core.document import schema
from wagtailtide_core.errors import kinds
from wagtailtide_core.invariants import checks

from wagtailtide_server import metrics
from wagtailtide_server import refusals
from wagtailtide_server.claims import service as claims_service
from wagtailtide_server.control import placement_service
from wagtailtide_server.control import plane as control_plane
from wagtailtide_server.control import rate_admission
from wagtailtide_server.control import session as sessions
from wagtailtide_server.http import admin
from wagtailtide_server.http import app
from wagtailtide_server.http import serving
from wagtailtide_server.upstream import dispatch
from wagtailtide_server.upstream import on_demand_loader
from wagtailtide_server.upstream import watch

LOG = logging.getLogger(__name__)

# Requests that still run this long after the load balancer has noticed the
# stop are cut off.
DRAIN_TIMEOUT_S = 600.0

# Outcomes that are not in the store after this time are lost when the process
# ends; later requests with their keys get OUTCOME_UNKNOWN.
RECORD_TIMEOUT_S = 5.0

# Engines that are not released after this time are taken over by other
# instances once the lease has ended.
RELEASE_TIMEOUT_S = 10.0


class Instance:
    """One process of the server.

    Attributes:
        settings: Settings of the instance.
        store: StoreClient.
        invariants: Invariant checks and their counts.
        metrics: Metrics of the instance.
        plane: Control plane: configuration, members, trust in keys.
        session: Session object and leases.
        rate_admission: Rate limits of the organisations.
        claims: Claims of idempotency keys.
        dispatcher: Dispatcher with the table of backend servers.
        placement: Placement on the engines that this instance owns.
        watch: ServerWatch, which keeps the table of servers up to date.
        refusals: Recent refusals.
        open_requests: Number of callers' requests in progress.
        stopping: Whether a stop was requested.
        callers_address: Address on which callers are served, once started.
        admin_address: Address of the admin endpoints, once started.
    """

    def __init__(self, settings, store, *, rng=None):
        self.settings = settings
        self.store = store
        self.invariants = checks.Invariants()
        self.metrics = metrics.Metrics(self.invariants)
        self.plane = control_plane.ControlPlane(
            settings, store, self.invariants, rng=rng
        )
        rng = rng or random.SystemRandom()
        self.session = sessions.Session(
            self.plane,
            store,
            address=settings.peers,
            zone=settings.zone,
            name=settings.name,
            rng=rng,
        )
        self.rate_admission = rate_admission.RateAdmission(
            self.plane,
            store,
            self.session,
            rng=rng,
            invariants=self.invariants,
        )
        self.claims = claims_service.ClaimService(
            store=store,
            peers=self.plane.peers,
            coordinator_of=self.plane.coordinator_of,
            instance=settings.name,
            boot=lambda: self.plane.boot,
            invariants=self.invariants,
            rng=random.SystemRandom(),
        )
        self.dispatcher = dispatch.Dispatcher(
            settings.name, self.invariants, self.metrics, rng
        )
        self.placement = placement_service.PlacementService(
            self.plane,
            store,
            self.session,
            self.dispatcher.adapter_permits,
            self.invariants,
            rng,
        )
        self.dispatcher.loader = on_demand_loader.OnDemandLoader(
            self.plane, self.placement, self.dispatcher
        )
        self.watch = watch.ServerWatch(
            self.dispatcher, self.plane, store, self.placement.placement, rng
        )
        self.refusals = refusals.Refusals()
        self.open_requests = 0
        self.stopping = False
        self.callers_address = None
        self.admin_address = None
        self._refuses_requests = False
        self._stop_requested = anyio.Event()
        self._idle = anyio.Event()

    async def run(self, task_status=anyio.TASK_STATUS_IGNORED):
        """Serve until a stop is requested and completed."""
        async with anyio.create_task_group() as background:
            await background.start(self.plane.run)
            background.start_soon(self.watch.run)
            background.start_soon(self.rate_admission.run)
            background.start_soon(self.claims.run)
            background.start_soon(self.placement.run)
            async with anyio.create_task_group() as servers:
                self.admin_address = await servers.start(
                    serving.serve, admin.make_app(self), self.settings.admin
                )
                self.callers_address = await servers.start(
                    serving.serve, app.make_app(self), self.settings.callers
                )
                LOG.info(
                    'instance started',
                    extra={
                        'callers': self.callers_address,
                        'admin': self.admin_address,
                    },
                )
                task_status.started()
                await self._stop_requested.wait()
                await self._drain()
                servers.cancel_scope.cancel()
            background.cancel_scope.cancel()
        with anyio.move_on_after(1.0, shield=True):
            await self.dispatcher.client.aclose()
        LOG.info('instance stopped')

    async def handle_signals(self, task_status=anyio.TASK_STATUS_IGNORED):
        """Stop on SIGTERM or SIGINT; ignore SIGHUP and repeated signals."""
        with anyio.open_signal_receiver(
            signal.SIGTERM, signal.SIGINT, signal.SIGHUP
        ) as received:
            task_status.started()
            async for number in received:
                LOG.info('signal received', extra={'signal': number})
                if number is not signal.SIGHUP:
                    self.request_stop()

    def request_stop(self):
        """Begin the graceful stop; further calls have no effect."""
        self.stopping = True
        self._stop_requested.set()

    async def _drain(self):
        lag_s = self.settings.balancer_lag_s
        LOG.info('stop requested', extra={'balancer_lag_s': lag_s})
        await anyio.sleep(lag_s)
        self._refuses_requests = True
        if not self.open_requests:
            self._idle.set()
        with anyio.move_on_after(DRAIN_TIMEOUT_S) as scope:
            await self._idle.wait()
        if scope.cancelled_caught:
            LOG.warning(
                'drain timeout reached with open requests',
                extra={'open_requests': self.open_requests},
            )
        with anyio.move_on_after(RECORD_TIMEOUT_S):
            await self.claims.write_pending_changes()
        with anyio.move_on_after(RELEASE_TIMEOUT_S):
            await self.placement.leave()
        # Also ends the session, on which the ownership of engines depends.
        await self.rate_admission.leave()
        await self.plane.leave()

    @property
    def near_zones(self):
        """Zones of the known members in the region of this instance."""
        return frozenset(
            member.zone
            for member in self.plane.view
            if member.region == self.settings.region
        )

    def not_ready_reason(self):
        """Return why the instance is not ready, or None if it is."""
        if self.stopping:
            return 'stopping'
        if not self.plane.caught_up:
            return 'configuration not confirmed yet'
        if not self.watch.has_polled_engines:
            return 'backend servers not asked yet'
        return None

    def check_accepts_requests(self):
        """Check that the instance can accept another request.

        Raises:
            ServingError: SHUTTING_DOWN, NOT_READY or OVERLOADED.
        """
        if self._refuses_requests:
            raise kinds.ServingError(
                kinds.ErrorKind.SHUTTING_DOWN,
                'this instance is stopping; send the request to another one',
            )
        if not self.plane.caught_up or not self.watch.has_polled_engines:
            raise kinds.ServingError(
                kinds.ErrorKind.NOT_READY,
                'this instance has not caught up with the configuration and '
                'the backend servers; send the request again later',
            )
        limit = self.settings.limits.max_open_requests
        if self.open_requests > limit:
            raise kinds.ServingError(
                kinds.ErrorKind.OVERLOADED,
                f'expected at most {limit} requests in progress, got more; '
                'send the request again later',
                retry_after_s=1,
            )

    def check_organisation(self, access, organisations):
        """Check the invariant that a request runs for its key's organisation.

        Raises:
            InvariantError: If the invariant is violated.
        """
        entry = self.plane.config.catalog.keys.get(access.key_id)
        self.invariants.check(
            'request_runs_for_key_organisation',
            access.organisation is not None
            and (entry is None or entry.organisation.name == access.name)
            and (not organisations or access.name in organisations),
            key_id=access.key_id,
            organisation=access.name,
        )

    @contextlib.contextmanager
    def count_request(self):
        """Count a request as open while the block runs."""
        self.open_requests += 1
        self.metrics.open_requests.set(self.open_requests)
        try:
            yield
        finally:
            self.open_requests -= 1
            if self._refuses_requests and not self.open_requests:
                self._idle.set()
            self.metrics.open_requests.set(self.open_requests)

    def document_of_model(self, model):
        """Return the document that declares a model, or an empty one."""
        for _, document in sorted(self.plane.config.catalog.documents.items()):
            if model in document.models:
                return document
        return schema.Document(service='none')
