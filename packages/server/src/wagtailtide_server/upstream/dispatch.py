"""Choice of backend servers and bookkeeping of attempts."""

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

from wagtailtide_server.upstream import adapter_permits
from wagtailtide_server.upstream import client
from wagtailtide_server.upstream import failures
from wagtailtide_server.upstream import reports
from wagtailtide_server.upstream import stream_scopes

LOG = logging.getLogger(__name__)

_CRASH_FAILURES = frozenset(
    {failures.FailureKind.CONNECTION_REFUSED, failures.FailureKind.BROKEN}
)


class Dispatcher:
    """Chooses backend servers and records what attempts tell about them.

    Attributes:
        table: ServerTable.
        crashes: CrashTracker.
        retry_budget: RetryBudget of the instance.
        client: Connections to backend servers.
        adapter_permits: Permits for requests that make an engine fetch an
            adapter.
        stream_scopes: Cancel scopes of the open streams on each server.
        last_requested_at: Monotonic time in seconds of the last request for
            each model.
        loader: OnDemandLoader, which has missing models loaded, or None.
        on_crash: Called with the CrashRecords that a crash changed.
        on_cleared: Called with the fingerprint of a request that completed.
        on_draining: Called with the name and ServerState of a server that
            started or stopped draining.
    """

    def __init__(self, instance_name, invariants, metrics, rng=None):
        self._name = instance_name
        self._invariants = invariants
        self._metrics = metrics
        self._rng = rng or random.Random()
        self._plain_processes = {}
        self.table = table.ServerTable()
        self.crashes = crashes.CrashTracker()
        self.retry_budget = budget.RetryBudget()
        self.client = client.Client()
        self.stream_scopes = stream_scopes.StreamScopes()
        self.adapter_permits = adapter_permits.AdapterPermits()
        self.loader = None
        self.last_requested_at = {}
        self.on_crash = lambda records: None
        self.on_cleared = lambda fingerprint: None
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
        if call.route.model is not None:
            self.last_requested_at[call.route.model] = now
        route = dataclasses.replace(call.route, exclude=frozenset(tried))
        verdict = self.crashes.verdict(call.fingerprint, now)
        if verdict is crashes.Verdict.ISOLATED:
            servers = self.crashes.servers_with_other_suspects(
                call.fingerprint, now
            )
            route = dataclasses.replace(
                route, servers_with_other_suspects=servers
            )
        return choose.choose_server(route, self.table, now, self._rng)

    def jitter(self, max_delay_s):
        """Return a random delay of at most the given seconds."""
        return self._rng.uniform(0.0, max_delay_s)

    @contextlib.asynccontextmanager
    async def open(self, name, call, attempt):
        """Send one attempt to a server and yield its Response.

        Args:
            name: Name of the server.
            call: The Call.
            attempt: The client.Attempt.

        Raises:
            AttemptError: If the attempt failed.
        """
        state = self.table.servers[name]
        self._check_invariants(name, state, call, attempt)
        state.breaker.record_attempt(anyio.current_time())
        state.estimate.record_sent()
        sent = False
        broken_at = None
        known_fate = None

        def record_sending():
            nonlocal sent
            if not sent:
                self.crashes.record_started(call.fingerprint, name)
                call.history.in_flight += 1
            sent = True

        try:
            async with self.client.open(attempt, record_sending) as response:
                self._record_response(name, state, response)
                yield response
            self._count_attempt(state, 'answered')
        except failures.AttemptError as exc:
            self._count_attempt(state, exc.kind.value)
            if exc.kind is failures.FailureKind.BROKEN:
                broken_at = anyio.current_time()
            known_fate = exc.fate
            self._apply_failure(name, state, call, exc)
            raise
        finally:
            state.estimate.record_finished()
            if sent:
                self.crashes.record_ended(call.fingerprint, name, broken_at)
                call.history.in_flight -= 1
                if known_fate is not kinds.Fate.NOT_RUN:
                    call.history.ended_may_have_run = True

    def _check_invariants(self, name, state, call, attempt):
        self._invariants.check(
            'leaving_server_gets_no_new_work',
            not state.stopping,
            server=name,
        )
        sent_parts = [
            attempt.target,
            *(v for _, v in attempt.headers),
            attempt.body,
        ]
        self._invariants.check(
            'key_stays_here',
            not any(
                key in part for key in call.secrets for part in sent_parts
            ),
            server=name,
        )

        self._invariants.check(
            'withdrawn_key_sends_nothing',
            call.key_is_current(),
            server=name,
        )

    def check_response(self, attempt, response, length):
        """Assert that a response belongs to the attempt and is complete.

        Args:
            attempt: The client.Attempt.
            response: Its Response.
            length: Length in bytes of the body that was read.

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

    def check_not_run_before(self, call):
        """Assert that no earlier attempt at a call can have executed it.

        Raises:
            InvariantError: If an earlier attempt may have executed it.
        """
        self._invariants.check(
            'non_idempotent_at_most_once',
            not call.history.may_have_run,
            fingerprint=call.fingerprint,
        )

    def _count_attempt(self, state, outcome):
        self._metrics.attempts.labels(state.declared.kind, outcome).inc()

    def _record_response(self, name, state, response):
        state.breaker.record_success()
        process_number, down = self._plain_processes.get(name, (0, False))
        if down:
            self._plain_processes[name] = (process_number + 1, False)
        reported = response.reported_load()
        if reported is not None:
            running, waiting = reported
            state.estimate.record_report(
                load.LoadReport(running, waiting, anyio.current_time())
            )

    def _apply_failure(self, name, state, call, exc):
        now = anyio.current_time()
        if self.table.servers.get(name) is not state:
            return
        if exc.kind in failures.CONNECT_FAILURES:
            state.breaker.record_failure(now)
        if exc.kind is failures.FailureKind.CONNECTION_REFUSED:
            self.record_crash(name, state)
        if exc.error_kind == 'draining':
            self.set_draining(name, True)
        elif exc.error_kind == 'model_not_resident' and call.route.model:
            self.table.forget_model(name, call.route.model)
        elif exc.error_kind == 'adapter_not_resident' and call.route.adapter:
            self.table.forget_adapter(name, call.route.adapter)

    def set_draining(self, name, draining, *, announce=True):
        """Record whether a server reports that it is draining.

        Args:
            name: Name of the server.
            draining: Whether it is draining.
            announce: Whether to tell the other instances of a change.
        """
        state = self.table.servers[name]
        changed = state.draining != draining
        state.draining = draining
        self._record_stopping(name, state)
        if changed and announce:
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

    def cancel_overdue_streams(self):
        """Cancel streams on servers whose grace period is over.

        ModelStream resumes them on other servers.
        """
        now = anyio.current_time()
        for state in self.table.servers.values():
            count = self.stream_scopes.cancel_overdue(state, now)
            if count:
                self._metrics.retries.labels('grace_over').inc(count)

    def record_crash(self, name, state):
        """Attribute a server's crash to the requests that ran on it."""
        boot_id = state.boot_id
        if boot_id is None:
            # A plain service has no boot id; number its processes as this
            # instance observes them.
            process_number, _ = self._plain_processes.get(name, (0, False))
            self._plain_processes[name] = (process_number, True)
            boot_id = f'{self._name}/{process_number}'
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

    def record_report(self, name, report, *, announce=True):
        """Update what is known of an engine from its report.

        Args:
            name: Name of the server.
            report: The reports.Report.
            announce: Whether to tell the other instances if the report
                changes whether the engine is draining.
        """
        state = self.table.servers.get(name)
        # A report of an earlier process can arrive late.
        if state is None or report.boot_id in state.former_boot_ids:
            return
        state.reported_as_of = max(state.reported_as_of, report.as_of)
        if state.boot_id not in (None, report.boot_id):
            state.former_boot_ids.add(state.boot_id)
            self.record_crash(name, state)
            state.estimate = load.LoadEstimate()
        state.boot_id = report.boot_id
        self.set_draining(name, report.draining, announce=announce)
        self.table.set_resident(name, report.models, report.adapters)
        state.estimate.record_report(
            load.LoadReport(report.running, report.waiting, report.as_of)
        )

    async def confirm_crash(self, name):
        """Check whether a broken connection was caused by a crash.

        Checking before the request is sent again prevents a request that
        crashes servers from reaching another one before the crash is counted.
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
            # A new connection that is reset right after another one broke
            # indicates a crash, like a refused one.
            if exc.kind in _CRASH_FAILURES:
                state.breaker.record_failure(anyio.current_time())
                self.record_crash(name, state)

    def record_completed(self, call):
        """Record that a request completed."""
        self.retry_budget.record_success()
        if self.crashes.record_completed(call.fingerprint):
            self.on_cleared(call.fingerprint)
