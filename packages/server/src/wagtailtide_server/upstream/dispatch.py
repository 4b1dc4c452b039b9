"""Choose backend servers and keep account of the attempts at them."""

import contextlib
import dataclasses
import logging
import random

import anyio
from wagtailtide_core.document import schema
from wagtailtide_core.errors import kinds
from wagtailtide_core.quarantine import crashes
from wagtailtide_core.retries import budget
from wagtailtide_core.routing import choose
from wagtailtide_core.routing import load
from wagtailtide_core.routing import table

from wagtailtide_server.upstream import adapters
from wagtailtide_server.upstream import client
from wagtailtide_server.upstream import failures
from wagtailtide_server.upstream import moves
from wagtailtide_server.upstream import reports

LOG = logging.getLogger(__name__)

_DOWN = frozenset(
    {failures.FailureKind.CONNECTION_REFUSED, failures.FailureKind.BROKEN}
)


class Dispatcher:
    """Knowledge of the backend servers and the attempts in flight.

    Attributes:
        table: ServerTable.
        crashes: CrashLedger.
        budget: RetryBudget of the instance.
        client: Connections to backend servers.
        permits: Permits to make engines fetch adapters.
        moves: Streams that may have to leave their server.
        residency: Residency, to have missing models loaded, or None.
        on_crash: Called with the CrashRecords that a crash changed.
        on_cleared: Called with the fingerprint of a request that ran whole.
        on_draining: Called with name and ServerState of a server that began
            or ended to drain.
    """

    def __init__(self, instance_name, invariants, metrics, rng=None):
        self._name = instance_name
        self._invariants = invariants
        self._metrics = metrics
        self._rng = rng or random.Random()
        self._down = {}
        self.table = table.ServerTable()
        self.crashes = crashes.CrashLedger()
        self.budget = budget.RetryBudget()
        self.client = client.Client()
        self.moves = moves.Moves()
        self.permits = adapters.AdapterPermits()
        self.residency = None
        self.on_crash = lambda records: None
        self.on_cleared = lambda mark: None
        self.on_draining = lambda name, state: None

    def choose(self, call, tried=frozenset()):
        """Choose a server for a call.

        Args:
            call: The Call.
            tried: Names of servers that must not be chosen.

        Returns:
            A Choice or NoServer.
        """
        now = anyio.current_time()
        route = dataclasses.replace(call.route, exclude=frozenset(tried))
        verdict = self.crashes.verdict(call.mark, now)
        if verdict is crashes.Verdict.ISOLATED:
            occupied = self.crashes.servers_with_other_suspects(call.mark, now)
            route = dataclasses.replace(route, occupied=occupied)
        return choose.choose_server(route, self.table, now, self._rng)

    def jitter(self, longest_s):
        """Return a random delay of at most the given seconds."""
        return self._rng.uniform(0.0, longest_s)

    @contextlib.asynccontextmanager
    async def open(self, name, call, attempt):
        """Make one attempt at a server and give its Response.

        Args:
            name: Name of the server.
            call: The Call.
            attempt: The client.Attempt.

        Raises:
            AttemptError: If the attempt failed.
        """
        state = self.table.servers[name]
        self._check(name, state, call, attempt)
        state.breaker.record_attempt(anyio.current_time())
        state.estimate.record_sent()
        sent = False
        broken_at = None
        known_fate = None

        def record_sending():
            nonlocal sent
            if not sent:
                self.crashes.record_started(call.mark, name)
                call.history.sent += 1
            sent = True

        try:
            async with self.client.open(attempt, record_sending) as response:
                self._record_reached(name, state, response)
                yield response
            self._count(state, 'answered')
        except failures.AttemptError as exc:
            self._count(state, exc.kind.value)
            if exc.kind is failures.FailureKind.BROKEN:
                broken_at = anyio.current_time()
            known_fate = exc.fate
            self._learn(name, state, call, exc)
            raise
        finally:
            state.estimate.record_finished()
            if sent:
                self.crashes.record_ended(call.mark, name, broken_at)
                call.history.sent -= 1
                if known_fate is not kinds.Fate.NOT_RUN:
                    call.history.unsettled = True

    def _check(self, name, state, call, attempt):
        self._invariants.check(
            'leaving_server_gets_no_new_work',
            not state.stopping,
            server=name,
        )
        seen = [attempt.target, *(v for _, v in attempt.headers), attempt.body]
        self._invariants.check(
            'key_stays_here',
            not any(key in part for key in call.secrets for part in seen),
            server=name,
        )

        self._invariants.check(
            'withdrawn_key_sends_nothing',
            call.key_is_current(),
            server=name,
        )

    def check_whole(self, attempt, response, length):
        """Assert that a response is the attempt's own and not cut.

        Args:
            attempt: The client.Attempt.
            response: Its Response.
            length: Length of the body that was read, in bytes.

        Raises:
            InvariantError: If it is not.
        """
        declared = response.header(b'content-length')
        bodyless = attempt.method == 'HEAD' or response.status in (204, 304)
        self._invariants.check(
            'answer_is_own_and_whole',
            response.header(b'x-request-id') == attempt.request_id.encode()
            and (bodyless or declared in (None, str(length).encode())),
            request_id=attempt.request_id,
            length=length,
        )

    def check_runs_once(self, call):
        """Assert that no earlier attempt at a call may have run it.

        Raises:
            InvariantError: If one may have.
        """
        self._invariants.check(
            'non_idempotent_at_most_once',
            not call.history.may_have_run,
            fingerprint=call.mark,
        )

    def _count(self, state, outcome):
        self._metrics.attempts.labels(state.declared.kind, outcome).inc()

    def _record_reached(self, name, state, response):
        state.breaker.record_success()
        number, down = self._down.get(name, (0, False))
        if down:
            self._down[name] = (number + 1, False)
        stated = response.load()
        if stated is not None:
            running, waiting = stated
            state.estimate.record_report(
                load.LoadReport(running, waiting, anyio.current_time())
            )

    def _learn(self, name, state, call, exc):
        now = anyio.current_time()
        if self.table.servers.get(name) is not state:
            return
        if exc.kind in failures.NEVER_CONNECTED:
            state.breaker.record_failure(now)
        if exc.kind is failures.FailureKind.CONNECTION_REFUSED:
            self.record_crash(name, state)
        if exc.refusal == 'draining':
            self.set_draining(name, True)
        elif exc.refusal == 'model_not_resident' and call.route.model:
            self.table.forget_model(name, call.route.model)
        elif exc.refusal == 'adapter_not_resident' and call.route.adapter:
            self.table.forget_adapter(name, call.route.adapter)

    def set_draining(self, name, draining, *, tell=True):
        """Record whether a server says that it is stopping.

        Args:
            name: Name of the server.
            draining: Whether it is.
            tell: Whether the other instances have to be told.
        """
        state = self.table.servers[name]
        changed = state.draining != draining
        state.draining = draining
        self._record_stopping(name, state)
        if changed and tell:
            self.on_draining(name, state)

    def set_leaving(self, name, leaving):
        """Record whether the platform lists a server as leaving."""
        state = self.table.servers[name]
        state.leaving = leaving
        self._record_stopping(name, state)

    def _record_stopping(self, name, state):
        self.crashes.record_stopping(name, state.stopping)
        if not state.stopping:
            state.stopping_since = None
        elif state.stopping_since is None:
            state.stopping_since = anyio.current_time()
            LOG.info(
                'backend server is being stopped',
                extra={
                    'backend_server': name,
                    'draining': state.draining,
                    'leaving': state.leaving,
                },
            )

    def move_streams(self):
        """End streams on servers whose grace is over; they are resumed."""
        now = anyio.current_time()
        for state in self.table.servers.values():
            count = self.moves.move_off(state, now)
            if count:
                self._metrics.retries.labels('grace_over').inc(count)

    def record_crash(self, name, state):
        """Attribute the end of a server's process to what ran there."""
        boot_id = state.boot_id
        if boot_id is None:
            # A plain service has no boot id: number its crashes as seen
            # from here.
            number, _ = self._down.get(name, (0, False))
            self._down[name] = (number, True)
            boot_id = f'{self._name}/{number}'
        records = self.crashes.record_crash(
            name, boot_id, anyio.current_time()
        )
        if records:
            self._metrics.crashes.inc()
            LOG.warning(
                'backend server crashed with requests in flight',
                extra={
                    'backend_server': name,
                    'boot_id': boot_id,
                    'requests': len(records),
                },
            )
            self.on_crash(records)

    def record_report(self, name, report):
        """Take over an engine's report."""
        state = self.table.servers.get(name)
        if state is None:
            return
        if state.boot_id not in (None, report.boot_id):
            self.record_crash(name, state)
            state.estimate = load.LoadEstimate()
        state.boot_id = report.boot_id
        self.set_draining(name, report.draining)
        self.table.set_resident(name, report.models, report.adapters)
        state.estimate.record_report(
            load.LoadReport(report.running, report.waiting, report.as_of)
        )

    async def confirm_break(self, name):
        """Find out whether a broken connection was a crash.

        Asking before the request is sent again keeps a request that crashes
        servers from reaching the next one unrecognised.
        """
        state = self.table.servers.get(name)
        if state is None or state.stopping:
            return
        try:
            if state.declared.kind is schema.ServerKind.ENGINE:
                report = await reports.fetch(
                    self.client, state.declared.address
                )
                self.record_report(name, report)
            else:
                await self.client.probe(state.declared.address)
        except failures.AttemptError as exc:
            # A listener that resets connections right after one broke is
            # taken down just as one that refuses them.
            if exc.kind in _DOWN:
                state.breaker.record_failure(anyio.current_time())
                self.record_crash(name, state)

    def record_completed(self, call):
        """Note that a request ran to its end."""
        self.budget.record_success()
        if self.crashes.record_completed(call.mark):
            self.on_cleared(call.mark)
