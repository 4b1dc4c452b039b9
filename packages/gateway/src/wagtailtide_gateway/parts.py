"""State that the tasks of one instance share."""

import anyio
from wagtailtide_core.quarantine import crashes

from wagtailtide_gateway.control import config
from wagtailtide_gateway.control import demand
from wagtailtide_gateway.control import messages
from wagtailtide_gateway.control import servers
from wagtailtide_gateway.decisions import quota
from wagtailtide_gateway.serving import wait_queue

# Notes of crashes that one report carries; the rest follows in the next.
MAX_NOTES = 50


class Parts:
    """Beliefs and counts of one instance.

    Attributes:
        config: ConfigView.
        servers: ServerView.
        advances: What may be charged to each organisation.
        demand: Requests by model.
        room: Waiting requests.
        crashes: Requests that were in servers when these crashed.
        wishes: Adapters that requests wait for.
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
        self._notes = []

    def attribute_crash(self, server_id, born_ms):
        """Attribute a crash to the requests that were in the server."""
        now = anyio.current_time()
        records = self.crashes.record_crash(server_id, str(born_ms), now)
        self._notes += [
            messages.CrashNote(record.fingerprint, server_id, born_ms)
            for record in records
        ]
        return len(records)

    def make_report(self, instance, seen, elapsed_s, urgent):
        """Return the Report to the duty holder.

        Args:
            instance: Name of this instance.
            seen: Numbers of the last residency change and the last entry.
            elapsed_s: Seconds since the last report.
            urgent: Whether it only draws and asks for adapters.
        """
        now = anyio.current_time()
        notes, self._notes = self._notes[:MAX_NOTES], self._notes[MAX_NOTES:]
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
        """Keep what a report carried that did not arrive."""
        self._notes = list(report.crashes) + self._notes
        for name, amount in report.draws.items():
            self.advances.grant(name, -amount)

    def save_alone(self, instances):
        """Save up even shares of the rates without a duty holder."""
        if self.config.deployment is None:
            return
        now = anyio.current_time()
        for org in self.config.deployment.organisations_by_name.values():
            if org.rate_per_s:
                self.advances.save_alone(org, instances, now)

    def take_news(self, news, sent_at):
        """Take what the duty holder answered.

        Args:
            news: The News.
            sent_at: Time in seconds at which the report was sent, suspended
                time included.
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
        """Take the holder's view of the servers.

        Args:
            news: The News, not of an urgent report.
            sent_at: Time in seconds at which the report was sent.
            seen_entries: Number of the last entry that this instance had.
        """
        now = anyio.current_time()
        self.servers.apply_entries(news.entries, not seen_entries, now)
        self.servers.confirm(sent_at - news.entries_age_s)
        for server_id, state in self.servers.states.items():
            state.said_to_leave = server_id in news.leaving
        self.take_loads(news)

    def take_loads(self, news):
        """Take the loads of the other instances and crashes."""
        for server_id, state in self.servers.states.items():
            state.others_load = news.loads.get(server_id, 0)
        self._adopt_crashes(news.crashes, anyio.current_time())

    def _adopt_crashes(self, notes, now):
        by_mark = {}
        for note in notes:
            crash = crashes.CrashId(note.server, str(note.born_ms))
            by_mark.setdefault(note.fingerprint, set()).add(crash)
        for mark, found in by_mark.items():
            known = self.crashes.crashes_of(mark, now)
            if not found <= known:
                self.crashes.adopt(mark, frozenset(found | known), now)
