"""State that the tasks of one instance share with each other and peers."""

import anyio
from wagtailtide_core.quarantine import crashes

from wagtailtide_gateway.control import config
from wagtailtide_gateway.control import demand
from wagtailtide_gateway.control import messages
from wagtailtide_gateway.control import servers
from wagtailtide_gateway.decisions import quota
from wagtailtide_gateway.serving import wait_queue

# Crash notes in one report; the rest is sent with the next reports.
MAX_CRASH_NOTES = 50


class SharedState:
    """State of one instance that its tasks share.

    Args:
        port: The StorePort.
        clock: Function that returns seconds, time in suspend included.

    Attributes:
        config: ConfigView, the configuration in force.
        servers: ServerView, the known backend servers.
        advances: Advances, what may be charged to each organisation.
        demand: DemandCount, request counts by model.
        wait_queues: WaitQueues, the waiting requests.
        crashes: CrashLedger, requests that servers were running when they
            crashed.
        adapter_requests: Adapters that waiting requests need.
    """

    def __init__(self, port, clock):
        self.wait_queues = wait_queue.WaitQueues()
        self.config = config.ConfigView(
            port.decode_config, clock, self.wait_queues.wake
        )
        self.servers = servers.ServerView(
            port.decode_server, self.wait_queues.wake
        )
        self.advances = quota.Advances()
        self.demand = demand.DemandCount()
        self.crashes = crashes.CrashLedger()
        self.adapter_requests = set()
        self._crash_notes = []

    def attribute_crash(self, server_id, born_ms):
        """Attribute a crash to the requests that the server was running.

        Args:
            server_id: Id of the server.
            born_ms: Start of its process, a Unix time in milliseconds.

        Returns:
            The number of these requests.
        """
        now = anyio.current_time()
        records = self.crashes.record_crash(server_id, str(born_ms), now)
        self._crash_notes += [
            messages.CrashNote(record.fingerprint, server_id, born_ms)
            for record in records
        ]
        return len(records)

    def make_report(self, instance, seen, elapsed_s, urgent):
        """Return the next Report to the duty holder.

        Args:
            instance: Name of this instance.
            seen: Numbers of the last residency change and of the last change
                of a server entry that this instance has.
            elapsed_s: Seconds since the last report.
            urgent: Whether the report contains only draws on rates and
                requests for adapters, and no loads or demand.
        """
        now = anyio.current_time()
        notes, self._crash_notes = (
            self._crash_notes[:MAX_CRASH_NOTES],
            self._crash_notes[MAX_CRASH_NOTES:],
        )
        adapter_requests, self.adapter_requests = self.adapter_requests, set()
        draws = self.advances.wants(elapsed_s)
        if urgent:
            loads, rows = {}, ()
        else:
            loads, rows = self._loads(), self.demand.take()
        return messages.Report(
            instance=instance,
            urgent=urgent,
            config_version=self.config.version,
            config_age_s=self.config.age_s,
            seen_news=seen[0],
            seen_entries=seen[1],
            draws=draws,
            loads=loads,
            demand=rows,
            adapters=tuple(adapter_requests),
            crashes=tuple(notes),
            unreachable=tuple(self.servers.health.unreachable(now)),
        )

    def _loads(self):
        return {
            server_id: state.own_load
            for server_id, state in self.servers.states.items()
            if state.own_load
        }

    def put_back(self, report):
        """Restore the contents of a report that was not delivered."""
        self._crash_notes = list(report.crashes) + self._crash_notes
        for name, amount in report.draws.items():
            self.advances.grant(name, -amount)

    def save_alone(self, instances):
        """Accrue an even share of each rate while there is no duty holder.

        Args:
            instances: Number of instances that share the rates.
        """
        if self.config.deployment is None:
            return
        now = anyio.current_time()
        for org in self.config.deployment.organisations_by_name.values():
            if org.rate_per_s:
                self.advances.save_alone(org, instances, now)

    def take_news(self, news, sent_at):
        """Apply the duty holder's answer to a report.

        Args:
            news: The News.
            sent_at: Time in seconds at which the report was sent, time in
                suspend included.
        """
        anyio.current_time()
        self.advances.end_alone()
        for name, amount in news.grants.items():
            self.advances.grant(name, amount)
        if news.config_value is not None:
            self.config.offer(news.config_value, 'duty holder')
        if news.config_version == self.config.version and self.config.version:
            self.config.confirm(sent_at - news.config_age_s)
        for server_id, residency in news.residencies.items():
            self.servers.adopt_news(server_id, residency)
        self.wait_queues.wake()

    def take_view(self, news, sent_at, seen_entries):
        """Apply the duty holder's list of servers.

        Args:
            news: The News; not the answer to an urgent report, which has no
                servers in it.
            sent_at: Time in seconds at which the report was sent.
            seen_entries: Number of the last change of a server entry that
                this instance had, 0 if it had none.
        """
        now = anyio.current_time()
        self.servers.apply_entries(news.entries, not seen_entries, now)
        self.servers.confirm(sent_at - news.entries_age_s)
        for server_id, state in self.servers.states.items():
            state.said_to_leave = server_id in news.leaving
        self.take_loads(news)

    def take_loads(self, news):
        """Apply the loads and crashes that the other instances reported."""
        for server_id, state in self.servers.states.items():
            state.others_load = news.loads.get(server_id, 0)
        self._adopt_crashes(news.crashes, anyio.current_time())

    def _adopt_crashes(self, notes, now):
        by_fingerprint = {}
        for note in notes:
            crash = crashes.CrashId(note.server, str(note.born_ms))
            by_fingerprint.setdefault(note.fingerprint, set()).add(crash)
        for fingerprint, found in by_fingerprint.items():
            known = self.crashes.crashes_of(fingerprint, now)
            if not found <= known:
                self.crashes.adopt(fingerprint, frozenset(found | known), now)
