"""State of all instances as the leader collects it from their reports."""

import collections
import dataclasses
import logging

import anyio

from wagtailtide_gateway.control import digests
from wagtailtide_gateway.control import messages
from wagtailtide_gateway.control import peers
from wagtailtide_gateway.control import sections
from wagtailtide_gateway.control import server_limits
from wagtailtide_gateway.control import servers as servers_
from wagtailtide_gateway.control import stream_origins
from wagtailtide_gateway.decisions import quota
from wagtailtide_gateway.model import backend

LOG = logging.getLogger(__name__)

# An instance that has not reported for this many seconds is removed.
INSTANCE_TIMEOUT_S = 2.5

# Weight of the arrivals of the last second in the request rate of a model.
RATE_SMOOTHING_PER_S = 0.5

# Requests for a model that no engine has are forgotten when no other one has
# arrived for this many seconds.
UNSERVED_TTL_S = 30.0

MAX_CRASHES = 200

# Crashes in the lease, for instances that start after all have ended. The
# lease is written each second.
MAX_STORED_CRASHES = 100

# Seconds for which a crash is repeated in the updates. In a large cluster an
# instance exchanges about once a second, and an exchange may fail.
CRASH_REPEAT_S = 5.0

# Interval in seconds at which silent instances are looked for, to withhold
# their shares of the rates.
SHARE_CHECK_INTERVAL_S = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class ModelUse:
    """Use of a model by all instances; its repr is logged as `demand`.

    Attributes:
        running: Number of requests in backend servers.
        waiting: Number of requests that wait at instances.
        rate_per_s: Requests a second.
        last_rate_per_s: Requests a second when the last request arrived.
        idle_s: Seconds since the last request.
        target_s: Shortest latency target of the requests in seconds.
        unserved: Requests that arrived while no engine had the model.
        unserved_s: Seconds since the first of them, 0 if there is none.
        adapter_misses_per_s: Requests a second that lack an adapter.
    """

    running: int
    waiting: int
    rate_per_s: float
    last_rate_per_s: float
    idle_s: float
    target_s: float
    unserved: int
    unserved_s: float
    adapter_misses_per_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class ClusterSummary:
    """Summary of a leader's term; its fields are logged.

    Attributes:
        instances: Number of instances that report, at least 1.
        responses: Number of reports answered in this term.
        response_bytes: Size of these responses in bytes.
        largest_capacity: Largest capacity to lead of these instances, in
            cores.
        software_versions: Service and software version of the servers known
            lately.
        knows_all_versions: Whether these are all that there were.
        crashes: CrashReport objects of the most suspect requests and parts.
    """

    instances: int
    responses: int
    response_bytes: int
    largest_capacity: float
    software_versions: tuple[tuple[str, str], ...]
    knows_all_versions: bool
    crashes: tuple[messages.CrashReport, ...]


@dataclasses.dataclass
class _ModelTraffic:
    rate_per_s: float = 0.0
    last_rate_per_s: float = 0.0
    arrivals: int = 0
    last_at: float = float('-inf')
    target_s: float = float('inf')
    unserved: int = 0
    unserved_since: float | None = None
    adapter_misses: int = 0
    adapter_misses_per_s: float = 0.0

    def note_unserved(self, arrivals, now):
        """Count requests as unserved until an engine has the model."""
        if self.unserved_since is None or (
            now - self.last_at > UNSERVED_TTL_S
        ):
            self.unserved, self.unserved_since = 0, now
        self.unserved += arrivals

    def note_serving(self):
        """Forget the unserved requests, as an engine has the model."""
        self.unserved, self.unserved_since = 0, None

    def unserved_s(self, now):
        """Return the seconds since the first unserved request, 0 if none."""
        if self.unserved_since is None:
            return 0.0
        return now - self.unserved_since


@dataclasses.dataclass(frozen=True, slots=True)
class _PublishedResidency:
    number: int
    residency: backend.Residency
    digest: int


@dataclasses.dataclass(frozen=True, slots=True)
class _Crash:
    at: float
    reported_at: float


@dataclasses.dataclass(frozen=True)
class _ReceivedReport:
    report: messages.Report
    at: float
    # Whether its sender reaches none of the listed servers.
    is_cut_off: bool


class ClusterState:
    """Applies the reports of all instances and makes the updates in reply.

    A new leader starts without data and has all of it after the reports of
    about one exchange interval.

    Args:
        config: ConfigView of the instance.
        servers: Its ServerView.
        leadership: Its Leadership.
        section_set: Sections of the instance, None without any.
        brittle: BrittleServers of the instance, None without any.

    Attributes:
        adapter_requests: Requested adapters with the time of the request.
    """

    def __init__(
        self, config, servers, leadership, section_set=None, brittle=None
    ):
        self._sections = section_set or sections.Sections()
        self._brittle = brittle
        self._servers = servers
        self._config = config
        self._leadership = leadership
        self._fence = None
        self._reports = {}
        self._unreachable_counts = None
        self._loads = collections.Counter()
        self._buckets = quota.TokenBuckets(anyio.current_time(), 0.0)
        self._rate_shares = quota.RateShares(anyio.current_time())
        self._shares_checked_at = float('-inf')
        self._traffic = {}
        self._residencies = {}
        self._residency_number = 0
        self._crashes = {}
        self._proved = {}
        self._loading = {}
        self._limits = server_limits.ClusterLimits(servers, brittle)
        self._origins = stream_origins.OriginDirectory()
        self._peers = peers.PeerAssignment()
        self._first_request_at = {}
        self._requested_before = False
        self._adapter_requested = anyio.Event()
        self.adapter_requests = {}
        self._response_count = 0
        self._response_bytes = 0

    def reset_on_new_term(self):
        """Drop all data if this instance leads in a new term."""
        if self._fence == self._leadership.fence:
            return
        self.__init__(
            self._config,
            self._servers,
            self._leadership,
            self._sections,
            self._brittle,
        )
        self._sections.start_term()
        self._fence = self._leadership.fence
        # What the previous leader published is what the instances have.
        for server_id, state in self._servers.states.items():
            if state.leader_residency is not None:
                self.publish(server_id, state.leader_residency)
        if self._fence == 1:
            # There was no leader before, so nothing was drawn and the buckets
            # are full.
            self._buckets = quota.TokenBuckets(float('-inf'))
            self._rate_shares = quota.RateShares(float('-inf'))
        else:
            self._requested_before = True

    def summary(self):
        """Return the ClusterSummary of this term."""
        return ClusterSummary(
            instances=self.instance_count,
            responses=self._response_count,
            response_bytes=self._response_bytes,
            largest_capacity=max(
                (r.report.capacity for r in self._reports.values()),
                default=0.0,
            ),
            software_versions=self._servers.software_versions(
                anyio.current_time()
            ),
            knows_all_versions=self._servers.knows_all_versions(
                anyio.current_time()
            ),
            crashes=self._most_suspect_crashes(),
        )

    @property
    def origins(self):
        """OriginDirectory of this term."""
        return self._origins

    @property
    def instance_count(self):
        """Number of instances that report, at least 1."""
        return max(1, len(self._reports))

    def handle_report(self, report):
        """Apply a report and return the LeaderUpdate for its sender."""
        now = anyio.current_time()
        self.reset_on_new_term()
        self._receive_share(report, now)
        self._limits.receive(report, now)
        self._origins.receive(report.begun_streams, now)
        if not report.urgent:
            self._store_report(report, now)
        self._sections.receive(report.instance, report.sections, now)
        for request in report.adapters:
            self._record_adapter_request(request, now)
        if report.adapters:
            self._adapter_requested.set()
        self._receive_crashes(report, now)
        self._receive_leaving(report)
        return self._make_update(report, now)

    def _receive_leaving(self, report):
        for server_id, process_start_ms in report.leaving.items():
            state = self._servers.states.get(server_id)
            if (
                state is not None
                and state.server.residency.process_start_ms == process_start_ms
            ):
                state.note_leaving(report.instance)

    def _receive_crashes(self, report, now):
        for fingerprint in report.proved:
            self._proved[fingerprint] = now
        if report.proved:
            proved = frozenset(report.proved)
            self._crashes = {
                key: crash
                for key, crash in self._crashes.items()
                if key.fingerprint not in proved
            }
        for crash_report in report.crashes:
            self._add_crash(crash_report, now)
        while len(self._crashes) > MAX_CRASHES:
            self._drop_least_suspect()

    def _add_crash(self, crash_report, now):
        key = dataclasses.replace(crash_report, age_s=0.0)
        at = now - crash_report.age_s
        if key in self._crashes:
            at = min(at, self._crashes[key].at)
        self._crashes[key] = _Crash(at, now)

    def _drop_least_suspect(self):
        """Drop the oldest crash of what was in one crash only, if any."""
        counts = self._crash_counts()
        del self._crashes[
            min(
                self._crashes,
                key=lambda key: (
                    counts[key.fingerprint] > 1,
                    self._crashes[key].reported_at,
                ),
            )
        ]

    def _crash_counts(self):
        return collections.Counter(key.fingerprint for key in self._crashes)

    def record_response(self, size):
        """Count a response of a size in bytes to a report."""
        self._response_count += 1
        self._response_bytes += size

    def _record_adapter_request(self, request, now):
        # Instances repeat a request until the adapter is loaded.
        traffic = self._traffic.get((request.service, request.model))
        if traffic is not None and request not in self.adapter_requests:
            traffic.adapter_misses += 1
        self.adapter_requests[request] = now

    def _receive_share(self, report, now):
        in_this_term = report.quota_fence == self._leadership.fence
        withheld_s = self._rate_shares.receive(
            report.instance, in_this_term, report.share, now
        )
        if withheld_s:
            for org in self._organisations().values():
                amount = withheld_s * org.rate_per_s
                self._buckets.draw(org, -amount, now)
        if now - self._shares_checked_at < SHARE_CHECK_INTERVAL_S:
            return
        self._shares_checked_at = now
        self._rate_shares.expire(now)
        share = self._rate_shares.present_share(now)
        for org in self._organisations().values():
            self._buckets.set_present_share(org, share, now)

    def _organisations(self):
        """Return the organisations that have a rate, by name."""
        deployment = self._config.deployment
        if deployment is None:
            return {}
        orgs = deployment.organisations_by_name
        return {name: org for name, org in orgs.items() if org.rate_per_s}

    def _store_report(self, report, now):
        previous = self._reports.get(report.instance)
        if previous is not None:
            self._loads.subtract(previous.report.loads)
        self._loads.update(report.loads)
        self._unreachable_counts = None
        self._reports[report.instance] = _ReceivedReport(
            report, now, self._is_cut_off(report)
        )
        self._drop_silent_instances(now)
        self._record_demand(report, now)

    async def wait_for_adapter_request(self, timeout_s):
        """Wait until an adapter is requested.

        Args:
            timeout_s: Longest wait in seconds.
        """
        with anyio.move_on_after(timeout_s):
            await self._adapter_requested.wait()
        self._adapter_requested = anyio.Event()

    def publish(self, server_id, residency):
        """Send a server's residency to all instances in the next update."""
        digest = digests.residency_digest(residency)
        current = self._residencies.get(server_id)
        if current is not None and current.digest == digest:
            return
        self._residency_number += 1
        self._residencies[server_id] = _PublishedResidency(
            self._residency_number, residency, digest
        )

    def set_loading(self, service, model, ready_at):
        """Set the time at which a model is ready, None if it does not load."""
        if ready_at is None:
            self._loading.pop((service, model), None)
        else:
            self._loading[(service, model)] = ready_at

    def others_waiting(self, server_id, instance):
        """Return how many requests of others wait for a server's permit."""
        return self._limits.others_waiting(server_id, instance)

    def wanted_permits(self, server_id):
        """Return how many permits instances wait for, by their names."""
        return self._limits.wanted_permits(server_id)

    def load_of(self, server_id):
        """Return the number of requests in a server, from all instances."""
        return self._loads[server_id]

    def load_of_others(self, server_id, instances):
        """Return the number of requests in a server from other instances.

        Args:
            server_id: Id of the server.
            instances: Names of the instances that do not count.
        """
        return sum(
            received.report.loads.get(server_id, 0)
            for name, received in self._reports.items()
            if name not in instances
        )

    def is_unreachable(self, server_id):
        """Return whether a server is taken to accept no connections.

        One instance may be cut off from a server that the others reach. A
        report of one instance is therefore ignored while any instance has
        requests in the server. The reports of instances that reach no server
        at all are always ignored.
        """
        reported = self._count_unreachable()[server_id]
        if not reported:
            return False
        return reported > 1 or not self.load_of(server_id)

    def _count_unreachable(self):
        """Return how many reports call a server unreachable, by server id.

        Each plan asks for each server, so they are counted once for the same
        reports.
        """
        if self._unreachable_counts is None:
            self._unreachable_counts = collections.Counter(
                server_id
                for received in self._reports.values()
                if not received.is_cut_off
                for server_id in set(received.report.unreachable)
            )
        return self._unreachable_counts

    def _reports_with_path(self):
        """Return the reports of the instances that reach a server, by name."""
        return {
            name: received.report
            for name, received in self._reports.items()
            if not received.is_cut_off
        }

    def _is_cut_off(self, report):
        """Return whether the sender of a report reaches no listed server."""
        if not report.unreachable:
            return False
        listed = servers_.contactable_ids(self._servers.states)
        return bool(listed) and listed <= frozenset(report.unreachable)

    def usage_by_model(self, service, now):
        """Return the ModelUse of each model of a service, by model name."""
        counts = collections.defaultdict(lambda: [0, 0])
        for received in self._reports.values():
            for row in received.report.demand:
                if row.service == service:
                    counts[row.model][0] += row.running
                    counts[row.model][1] += row.waiting
        return {
            model: ModelUse(
                *counts[model],
                traffic.rate_per_s,
                traffic.last_rate_per_s,
                now - traffic.last_at,
                traffic.target_s,
                traffic.unserved,
                traffic.unserved_s(now),
                traffic.adapter_misses_per_s,
            )
            for (name, model), traffic in self._traffic.items()
            if name == service
        }

    def target_s(self, service, model):
        """Return the shortest latency target in seconds of a model's requests.

        None if no request for the model was reported.
        """
        traffic = self._traffic.get((service, model))
        return traffic.target_s if traffic else None

    def since_first_request_s(self, service, now):
        """Return the seconds since a service's first request, 0 if none.

        A previous leader is taken to have seen requests long ago.
        """
        if self._requested_before:
            return float('inf')
        first_request_at = self._first_request_at.get(service)
        return 0.0 if first_request_at is None else now - first_request_at

    def update_rates(self, elapsed_s):
        """Update the request rates with the arrivals of the last interval."""
        weight = min(1.0, RATE_SMOOTHING_PER_S * elapsed_s)
        for traffic in self._traffic.values():
            newest = traffic.arrivals / elapsed_s
            traffic.rate_per_s += weight * (newest - traffic.rate_per_s)
            if traffic.arrivals:
                traffic.last_rate_per_s = traffic.rate_per_s
            traffic.arrivals = 0
            missed = traffic.adapter_misses / elapsed_s
            traffic.adapter_misses_per_s += weight * (
                missed - traffic.adapter_misses_per_s
            )
            traffic.adapter_misses = 0

    def note_serving(self, service, models):
        """Record that engines have models, so that requests can be served."""
        for model in models:
            traffic = self._traffic.get((service, model))
            if traffic is not None:
                traffic.note_serving()

    def _record_demand(self, report, now):
        for row in report.demand:
            traffic = self._traffic.setdefault(
                (row.service, row.model), _ModelTraffic()
            )
            traffic.target_s = min(traffic.target_s, row.target_s)
            if row.arrivals or row.waiting:
                self._first_request_at.setdefault(row.service, now)
                traffic.arrivals += row.arrivals
                traffic.note_unserved(row.arrivals, now)
                traffic.last_at = now

    def _drop_silent_instances(self, now):
        for name, received in list(self._reports.items()):
            if now - received.at > INSTANCE_TIMEOUT_S:
                del self._reports[name]
                self._unreachable_counts = None
                self._loads.subtract(received.report.loads)
                LOG.info('instance not reporting', extra={'peer': name})

    def _make_update(self, report, now):
        grants, refill_waits_s = self._grant(report, now)
        newer = self._config.version > report.config_version
        update = messages.LeaderUpdate(
            fence=self._leadership.fence or 0,
            instances=self.instance_count,
            config_version=self._config.version,
            config_age_s=self._config.age_s,
            config_value=self._config.value if newer else None,
            residency_number=self._residency_number,
            grants=grants,
            refill_waits_s=refill_waits_s,
            loads={},
            residencies=self._changed_residencies(report),
            loading_s={},
            crashes=(),
            proved=(),
            peers=(),
            leaving=(),
            entries_age_s=self._servers.age_s(now),
            entry_number=self._servers.entry_number,
            entries={},
            share=self._rate_shares.issue(report.instance, now),
            fills=None,
            limits=self._limits.shared_with(report, now),
            permits=self._limits.grant(report, now),
            origin_number=self._origins.number,
            origins=self._origins.answer(
                report,
                not report.urgent and self._servers.has_several_versions(now),
            ),
        )
        if report.urgent:
            return dataclasses.replace(
                update,
                sections=self._sections.make_urgent_update(
                    report.instance, report.sections, now
                ),
            )
        return dataclasses.replace(
            update,
            loads=self._loads_of_others(report),
            loading_s={
                key: max(0.0, ready_at - now)
                for key, ready_at in self._loading.items()
            },
            crashes=self._crashes_for(report, now),
            proved=self._proved_lately(now),
            leaving=self._leaving(),
            entries=self._servers.changed_entries(
                report.seen_entry_number, report.known_entries
            ),
            fills=self._fills(now),
            peers=self._peers.peers_of(
                report.instance,
                self._reports_with_path,
                now,
            ),
            sections=self._sections.make_update(report.instance, now),
        )

    def _crashes_for(self, report, now):
        """Return the crashes that an instance may not have heard of."""
        keys = self._crashes
        if report.seen_residency_number:
            keys = [
                key
                for key, crash in self._crashes.items()
                if now - crash.reported_at < CRASH_REPEAT_S
            ]
        return self._crash_reports(keys, now)

    def _crash_reports(self, keys, now):
        return tuple(
            dataclasses.replace(key, age_s=now - self._crashes[key].at)
            for key in keys
        )

    def _proved_lately(self, now):
        """Return what was proved since each instance last heard of it."""
        self._proved = {
            fingerprint: proved_at
            for fingerprint, proved_at in self._proved.items()
            if now - proved_at < CRASH_REPEAT_S
        }
        return tuple(self._proved)

    def _most_suspect_crashes(self):
        """Return the crashes to store, of the most suspect ones first."""
        counts = self._crash_counts()
        ordered = sorted(
            self._crashes, key=lambda key: -counts[key.fingerprint]
        )
        return self._crash_reports(
            ordered[:MAX_STORED_CRASHES], anyio.current_time()
        )

    def _changed_residencies(self, report):
        return {
            server: published.residency
            for server, published in self._residencies.items()
            if published.number > report.seen_residency_number
            and published.digest != report.known_residencies.get(server)
        }

    def _fills(self, now):
        fills = {
            name: self._buckets.fill(org, now)
            for name, org in self._organisations().items()
        }
        return {name: fill for name, fill in fills.items() if fill < 1.0}

    def _grant(self, report, now):
        organisations = self._organisations()
        grants, refill_waits_s = {}, {}
        for name, amount in report.draws.items():
            org = organisations.get(name)
            if org is None:
                continue
            grants[name] = self._buckets.draw(org, amount, now)
            if grants[name] < amount:
                missing = amount - grants[name]
                refill_waits_s[name] = self._buckets.refill_wait_s(
                    org, missing, now
                )
        return grants, refill_waits_s

    def _leaving(self):
        # Servers in evacuated zones are not among them: an instance that takes
        # over the lead does not take back what it was told of leaving servers.
        return tuple(
            server_id
            for server_id, state in self._servers.states.items()
            if state.leaves or state.missing_since is not None
        )

    def _loads_of_others(self, report):
        return {
            server: count - report.loads.get(server, 0)
            for server, count in self._loads.items()
            if count > report.loads.get(server, 0)
        }
