"""State that the tasks of one instance share, and reports made from it."""

import logging
import math

import anyio
from wagtailtide_core.quarantine import crashes
from wagtailtide_core.quarantine import prompt_parts

from wagtailtide_gateway.control import class_loads
from wagtailtide_gateway.control import config
from wagtailtide_gateway.control import demand
from wagtailtide_gateway.control import digests
from wagtailtide_gateway.control import engine_memory
from wagtailtide_gateway.control import evacuations
from wagtailtide_gateway.control import messages
from wagtailtide_gateway.control import peers
from wagtailtide_gateway.control import sections
from wagtailtide_gateway.control import server_limits
from wagtailtide_gateway.control import servers
from wagtailtide_gateway.control import stream_origins
from wagtailtide_gateway.decisions import quota
from wagtailtide_gateway.serving import class_shares
from wagtailtide_gateway.serving import scheduler
from wagtailtide_gateway.serving import wait_queue

LOG = logging.getLogger(__name__)

# Crash reports in one report; the rest is sent with the next reports.
MAX_CRASH_REPORTS = 50


class SharedState:
    """State of one instance that its tasks share.

    Args:
        port: The StorePort.
        clock: Function that returns seconds, time in suspend included.
        evacuation_s: Seconds after which no request may reach an evacuated
            zone, None if zones cannot be evacuated.
        limits_engine_memory: Whether requests go only to engines that have
            memory for them.
        schedules_shares: Whether waiting requests are scheduled by what waits
            at all instances, see `Settings.schedules_shares`.
        divides_slots: Whether slots are divided between priorities, see
            `Settings.divides_slots`.

    Attributes:
        config: ConfigView, the configuration in force.
        evacuations: EvacuationView, the evacuated zones.
        servers: ServerView, the known backend servers.
        local_quota: LocalQuota, what may be charged to each organisation.
        demand: DemandCounter, request counts by model.
        wait_queues: WaitQueues, the waiting requests.
        crashes: CrashTracker, requests that servers were running when they
            crashed.
        peers: PeerDirectory, instances that forward requests.
        part_crashes: PartQuarantine, parts of prompts that crash servers.
        adapter_requests: Adapters that waiting requests need.
        stream_origins: StreamOrigins, versions that began streams.
        sections: Sections, what single features exchange with the leader.
        engine_memory: EngineMemory, tokens of requests in engines.
        scheduler: Scheduler of the waiting requests, None if it is off.
        class_shares: ClassShares of the instance, None if it is off.
    """

    def __init__(
        self,
        port,
        clock,
        evacuation_s=None,
        limits_engine_memory=False,
        schedules_shares=False,
        divides_slots=False,
    ):
        self.scheduler = self.class_shares = None
        self.wait_queues = wait_queue.WaitQueues()
        if schedules_shares:
            self.scheduler = scheduler.Scheduler(
                lambda: self.config.deployment
            )
            self.wait_queues = self.scheduler.queues
        self.config = config.ConfigView(
            port.decode_config, clock, self.wait_queues.wake
        )
        self.evacuations = evacuations.EvacuationView(
            evacuation_s,
            self.wait_queues.wake,
            lambda zone: self.servers.note_zone_returned(
                zone, anyio.current_time()
            ),
        )
        self.servers = servers.ServerView(
            port.decode_server,
            self.wait_queues.wake,
            self.evacuations,
            lambda: clock() - anyio.current_time(),
        )
        self.local_quota = quota.LocalQuota()
        self.demand = demand.DemandCounter()
        self.crashes = crashes.CrashTracker()
        self.adapter_requests = set()
        self.stream_origins = stream_origins.StreamOrigins()
        self.sections = sections.Sections()
        self.engine_memory = engine_memory.EngineMemory(
            self.servers, limits_engine_memory, self.wait_queues.wake
        )
        if limits_engine_memory:
            self.sections.add(self.engine_memory.section())
            self.sections.add(self.engine_memory.reservations_section())
        if self.scheduler is not None:
            self.sections.add(self.scheduler.section())
        if divides_slots:
            loads = class_loads.ClassLoads(self.servers)
            self.class_shares = class_shares.ClassShares(loads, self.scheduler)
            self.sections.add(loads.section())
        self.peers = peers.PeerDirectory()
        self.part_crashes = prompt_parts.PartQuarantine()
        self._unreported_crashes = []
        self._proved = {}

    def attribute_crash(self, server_id, process_start_ms):
        """Attribute a crash to the requests that the server was running.

        Args:
            server_id: Id of the server.
            process_start_ms: Start of its process, a Unix time in
                milliseconds.

        Returns:
            The number of these requests.
        """
        now = anyio.current_time()
        boot_id = str(process_start_ms)
        requests = self.crashes.record_crash(server_id, boot_id, now)
        parts = self.part_crashes.record_crash(server_id, boot_id, now)
        crash = crashes.CrashId(server_id, boot_id)
        for fingerprint in (*(r.fingerprint for r in requests), *parts):
            self._unreported_crashes.append((fingerprint, crash, now))
        return len(requests)

    def start_trial(self, group):
        """Record that a request runs although its parts are blamed.

        Args:
            group: The BlamedGroup of the parts.
        """
        now = anyio.current_time()
        trial = self.part_crashes.start_trial(group, now)
        for part in group.parts:
            self._unreported_crashes.append((part, trial, now))

    def record_proof(self, fingerprints):
        """Record that a request and its parts crash no servers.

        Args:
            fingerprints: Fingerprints of what is proved.
        """
        now = anyio.current_time()
        for fingerprint in fingerprints:
            if prompt_parts.is_part(fingerprint):
                was_suspect = self.part_crashes.record_proof(fingerprint, now)
            else:
                was_suspect = self.crashes.record_completed(fingerprint)
            if was_suspect:
                LOG.info('suspect proved', extra={'fingerprint': fingerprint})
                self._proved[fingerprint] = None

    def report_crashes_again(self):
        """Report all known crashes, because a new leader lacks them."""
        now = anyio.current_time()
        self._unreported_crashes = list(self.part_crashes.crashes(now))
        self._unreported_crashes += [
            (record.fingerprint, crash, record.last_at)
            for record in self.crashes.records(now)
            for crash in record.crashes
        ]

    def _take_crash_reports(self, now):
        """Return the next CrashReport objects for the leader."""
        taken = self._unreported_crashes[:MAX_CRASH_REPORTS]
        del self._unreported_crashes[:MAX_CRASH_REPORTS]
        return tuple(
            messages.CrashReport(
                fingerprint, crash.server, crash.boot_id, now - at
            )
            for fingerprint, crash, at in taken
        )

    def make_report(
        self,
        instance,
        capacity,
        seen,
        elapsed_s,
        urgent,
        instances,
        address,
    ):
        """Return the next Report to the leader.

        Args:
            instance: Name of this instance.
            capacity: Its capacity to lead, in cores.
            seen: Numbers of the last residency change, of the last change of
                a server entry and of the last begun stream that this instance
                has.
            elapsed_s: Seconds since the last report.
            urgent: Whether the report contains only draws on rates and
                requests for adapters, and no loads or demand.
            instances: Number of instances that share the rates.
            address: Address at which this instance accepts requests to
                forward, or None.
        """
        now = anyio.current_time()
        adapter_requests, self.adapter_requests = self.adapter_requests, set()
        proved, self._proved = self._proved, {}
        draws = self.local_quota.amounts_to_draw(elapsed_s)
        if urgent:
            loads, rows = {}, ()
        else:
            loads, rows = self._loads(), self.demand.take_demand()
        self.local_quota.set_first_share(instances)
        permits = server_limits.permits_to_request(self.servers.states, now)
        limits = server_limits.limits_to_report(self.servers.states, now)
        if urgent:
            limits = {s: limits[s] for s in permits if s in limits}
        return messages.Report(
            instance=instance,
            urgent=urgent,
            config_version=self.config.version,
            config_age_s=self.config.age_s,
            seen_residency_number=seen[0],
            seen_entry_number=seen[1],
            draws=draws,
            loads=loads,
            demand=rows,
            adapters=tuple(adapter_requests),
            crashes=self._take_crash_reports(now),
            unreachable=self.servers.reachability.unreachable,
            capacity=capacity,
            known_residencies={} if seen[0] else self._known_residencies(),
            known_entries={} if seen[1] else self.servers.entry_digests(),
            quota_fence=self.local_quota.fence,
            share=self.local_quota.share,
            limits=limits,
            permits=permits,
            begun_streams=self.stream_origins.take_unreported(),
            wanted_origins=self.stream_origins.wanted,
            seen_origin_number=seen[2],
            proved=tuple(proved),
            leaving={
                server_id: state.server.residency.process_start_ms
                for server_id, state in self.servers.states.items()
                if state.states_leaving
            },
            peer_host=address.host if address else '',
            peer_port=address.port if address else 0,
        )

    def _known_residencies(self):
        return {
            server_id: digests.residency_digest(state.leader_residency)
            for server_id, state in self.servers.states.items()
            if state.leader_residency is not None
        }

    def _loads(self):
        return {
            server_id: state.own_load
            for server_id, state in self.servers.states.items()
            if state.own_load
        }

    def restore_report(self, report):
        """Restore crash reports and returned quota after a failed report."""
        now = anyio.current_time()
        self._unreported_crashes[:0] = [
            (r.fingerprint, _crash_id(r), now - r.age_s)
            for r in report.crashes
        ]
        self._proved = dict.fromkeys(report.proved) | self._proved
        self.stream_origins.restore_unreported(report.begun_streams)
        for name, amount in report.draws.items():
            self.local_quota.add_granted(name, -amount)

    def accrue_shares(self, record):
        """Accrue the shares of all rates while the leader does not answer.

        Args:
            record: The DutyRecord as last read, or None.
        """
        if record is not None:
            self.local_quota.record_lease(record.fence, record.renewals)
        now = anyio.current_time()
        for org in self._orgs():
            self.local_quota.accrue(org, now)

    def _orgs(self):
        """Return the organisations that have a rate."""
        deployment = self.config.deployment
        if deployment is None:
            return []
        orgs = deployment.organisations_by_name.values()
        return [org for org in orgs if org.rate_per_s]

    def apply_update(self, update, sent_at):
        """Apply the leader's update, its reply to a report.

        Args:
            update: The LeaderUpdate.
            sent_at: Time in seconds at which the report was sent, time in
                suspend included.
        """
        self.local_quota.apply_share(update.fence, update.share, update.fills)
        for name, amount in update.grants.items():
            self.local_quota.add_granted(name, amount)
        if update.config_value is not None:
            self.config.apply_if_newer(update.config_value, 'duty holder')
        if (
            update.config_version == self.config.version
            and self.config.version
        ):
            self.config.confirm(sent_at - update.config_age_s)
        self.stream_origins.learn(update.origins, anyio.current_time())
        for server_id, residency in update.residencies.items():
            self.servers.apply_residency(server_id, residency)
        self.wait_queues.wake()

    def apply_limits(self, update, is_full, reported_at):
        """Apply the limits of servers in an update of the leader.

        Args:
            update: The LeaderUpdate.
            is_full: Whether it is the reply to a report that is not urgent.
            reported_at: Time in seconds at which the report was made.
        """
        server_limits.apply_update(
            self.servers.states, update, is_full, reported_at
        )

    def apply_server_entries(self, update, sent_at):
        """Apply the server entries in an update of the leader.

        Args:
            update: The LeaderUpdate; not the reply to an urgent report,
                whose `loads` and `leaving` are empty.
            sent_at: Time in seconds at which the report was sent.
        """
        # The age is infinite while the leader itself has no list.
        if math.isfinite(update.entries_age_s):
            self.servers.apply_entries(update.entries, anyio.current_time())
            self.servers.confirm(sent_at - update.entries_age_s)
        for server_id, state in self.servers.states.items():
            state.reported_leaving = server_id in update.leaving
        self.apply_loads(update)

    def apply_loads(self, update):
        """Apply the loads and crashes that the other instances reported."""
        for server_id, state in self.servers.states.items():
            state.others_load = update.loads.get(server_id, 0)
        for fingerprint in update.proved:
            self.crashes.record_completed(fingerprint)
            self.part_crashes.clear(fingerprint)
        self.learn_crashes(update.crashes)

    def learn_crashes(self, crash_reports):
        """Add the crashes that other instances have reported.

        Args:
            crash_reports: CrashReport objects.
        """
        now = anyio.current_time()
        for report in crash_reports:
            fingerprint, crash = report.fingerprint, _crash_id(report)
            if not prompt_parts.is_part(fingerprint):
                self._add_crash(fingerprint, crash, now)
            elif self.part_crashes.is_proved(fingerprint, now):
                self._proved[fingerprint] = None
            else:
                self.part_crashes.add_crash(
                    fingerprint, crash, now - report.age_s
                )

    def _add_crash(self, fingerprint, crash, now):
        known = self.crashes.crashes_of(fingerprint, now)
        if crash not in known:
            self.crashes.replace_crashes(fingerprint, known | {crash}, now)


def _crash_id(report):
    return crashes.CrashId(report.server, report.boot_id)
