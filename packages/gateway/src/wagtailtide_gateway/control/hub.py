"""What the duty holder knows of all instances, and its answers to them."""

import collections
import dataclasses
import logging

import anyio

from wagtailtide_gateway.control import messages
from wagtailtide_gateway.decisions import quota

LOG = logging.getLogger(__name__)

# An instance that has not reported for this long is taken for gone.
INSTANCE_GONE_S = 2.5

# Weight of the newest second in the rate of a model's requests.
RATE_SMOOTHING = 0.5

MAX_CRASH_NOTES = 200


@dataclasses.dataclass(frozen=True, slots=True)
class ModelUse:
    """Use of a model by all instances.

    Attributes:
        running: Requests in backend servers.
        waiting: Requests that wait at instances.
        rate_per_s: Requests a second.
        last_rate_per_s: Requests a second up to the last one.
        idle_s: Seconds since the last one.
        target_s: Shortest latency target of its requests in seconds.
    """

    running: int
    waiting: int
    rate_per_s: float
    last_rate_per_s: float
    idle_s: float
    target_s: float


@dataclasses.dataclass
class _Rate:
    rate_per_s: float = 0.0
    last_rate_per_s: float = 0.0
    arrivals: int = 0
    last_at: float = float('-inf')
    target_s: float = float('inf')


@dataclasses.dataclass(frozen=True)
class _Heard:
    report: messages.Report
    at: float


class Hub:
    """Reports of all instances, and what they are told.

    A hub that has just taken the duty over knows nothing; it learns all from
    the reports of about one interval.

    Attributes:
        adapter_wishes: Adapters that were asked for, with the time.
    """

    def __init__(self, config, servers, duty):
        self._servers = servers
        self._config = config
        self._duty = duty
        self._fence = None
        self._heard = {}
        self._loads = collections.Counter()
        self._buckets = quota.TokenBuckets(anyio.current_time())
        self._uses = {}
        self._residencies = {}
        self._news_number = 0
        self._crashes = {}
        self._loading = {}
        self._first_at = {}
        self._wished = anyio.Event()
        self.adapter_wishes = {}

    def follow_duty(self):
        """Forget everything if this instance has taken the duty anew."""
        if self._fence == self._duty.fence:
            return
        self.__init__(self._config, self._servers, self._duty)
        self._fence = self._duty.fence
        if self._fence == 1:
            # Nobody held the duty before, so nothing was drawn.
            self._buckets = quota.TokenBuckets(float('-inf'))

    @property
    def instance_count(self):
        """Number of instances that report."""
        return max(1, len(self._heard))

    def answer(self, report):
        """Take a report and return the News for its sender."""
        now = anyio.current_time()
        self.follow_duty()
        if not report.urgent:
            self._hear(report, now)
        for wish in report.adapters:
            self.adapter_wishes[wish] = now
        if report.adapters:
            self._wished.set()
        for note in report.crashes:
            self._crashes[note] = now
        while len(self._crashes) > MAX_CRASH_NOTES:
            del self._crashes[next(iter(self._crashes))]
        return self._make_news(report, now)

    def _hear(self, report, now):
        previous = self._heard.get(report.instance)
        if previous is not None:
            self._loads.subtract(previous.report.loads)
        self._loads.update(report.loads)
        self._heard[report.instance] = _Heard(report, now)
        self._drop_gone(now)
        self._note_demand(report, now)

    async def next_wish(self, timeout_s):
        """Wait until an adapter is asked for, up to a time."""
        with anyio.move_on_after(timeout_s):
            await self._wished.wait()
        self._wished = anyio.Event()

    def publish(self, server_id, residency):
        """Pass a server's residency on to all instances."""
        known = self._residencies.get(server_id)
        if known is not None and known[1] == residency:
            return
        self._news_number += 1
        self._residencies[server_id] = (self._news_number, residency)

    def set_loading(self, service, model, ready_at):
        """Pass on when a model will be ready, None when it no longer loads."""
        if ready_at is None:
            self._loading.pop((service, model), None)
        else:
            self._loading[(service, model)] = ready_at

    def load_of(self, server_id):
        """Return the requests of all instances in a server."""
        return self._loads[server_id]

    def is_down(self, server_id):
        """Return whether a server takes no connections.

        One instance may be cut off from a server that the others reach, so
        all that have requests for it count: none has any in it.
        """
        heard = [h.report for h in self._heard.values()]
        reported = sum(server_id in report.unreachable for report in heard)
        if not reported:
            return False
        return reported > 1 or not self.load_of(server_id)

    def demand_of(self, service, now):
        """Return the ModelUse of a service by model."""
        counts = collections.defaultdict(lambda: [0, 0])
        for heard in self._heard.values():
            for row in heard.report.demand:
                if row.service == service:
                    counts[row.model][0] += row.running
                    counts[row.model][1] += row.waiting
        return {
            model: ModelUse(
                *counts[model],
                use.rate_per_s,
                use.last_rate_per_s,
                now - use.last_at,
                use.target_s,
            )
            for (name, model), use in self._uses.items()
            if name == service
        }

    def target_s(self, service, model):
        """Return the shortest latency target of a model's requests, or None.

        None also if no request for it was seen.
        """
        use = self._uses.get((service, model))
        return use.target_s if use else None

    def since_first_request_s(self, service, now):
        """Return the seconds since a service's first request, 0 if none."""
        first_at = self._first_at.get(service)
        return 0.0 if first_at is None else now - first_at

    def advance_rates(self, elapsed_s):
        """Fold the arrivals of the last interval into the rates."""
        weight = min(1.0, RATE_SMOOTHING * elapsed_s)
        for use in self._uses.values():
            newest = use.arrivals / elapsed_s
            use.rate_per_s += weight * (newest - use.rate_per_s)
            if use.arrivals:
                use.last_rate_per_s = use.rate_per_s
            use.arrivals = 0

    def _note_demand(self, report, now):
        for row in report.demand:
            use = self._uses.setdefault((row.service, row.model), _Rate())
            use.target_s = min(use.target_s, row.target_s)
            if row.arrivals or row.waiting:
                self._first_at.setdefault(row.service, now)
                use.arrivals += row.arrivals
                use.last_at = now

    def _drop_gone(self, now):
        for name, heard in list(self._heard.items()):
            if now - heard.at > INSTANCE_GONE_S:
                del self._heard[name]
                self._loads.subtract(heard.report.loads)
                LOG.info('instance unheard', extra={'peer': name})

    def _make_news(self, report, now):
        grants, shortfalls_s = self._grant(report, now)
        newer = self._config.version > report.config_version
        news = messages.News(
            fence=self._duty.fence or 0,
            instances=self.instance_count,
            config_version=self._config.version,
            config_age_s=self._config.age_s,
            config_value=self._config.value if newer else None,
            news_number=self._news_number,
            grants=grants,
            shortfalls_s=shortfalls_s,
            loads={},
            residencies={
                server: residency
                for server, (number, residency) in self._residencies.items()
                if number > report.seen_news
            },
            loading_s={},
            crashes=(),
            leaving=(),
            entries_age_s=self._servers.age_s(now),
            entry_number=self._servers.entry_number,
            entries=self._servers.entries_after(report.seen_entries),
        )
        if report.urgent:
            return news
        return dataclasses.replace(
            news,
            loads=self._loads_of_others(report),
            loading_s={
                key: max(0.0, ready_at - now)
                for key, ready_at in self._loading.items()
            },
            crashes=tuple(self._crashes),
            leaving=self._leaving(),
        )

    def _grant(self, report, now):
        deployment = self._config.deployment
        organisations = deployment.organisations_by_name if deployment else {}
        grants, shortfalls_s = {}, {}
        for name, amount in report.draws.items():
            org = organisations.get(name)
            if org is None or not org.rate_per_s:
                continue
            grants[name] = self._buckets.draw(org, amount, now)
            if grants[name] < amount:
                missing = amount - grants[name]
                shortfalls_s[name] = self._buckets.refill_wait_s(
                    org, missing, now
                )
        return grants, shortfalls_s

    def _leaving(self):
        return tuple(
            server_id
            for server_id, state in self._servers.states.items()
            if not state.takes_work
        )

    def _loads_of_others(self, report):
        return {
            server: count - report.loads.get(server, 0)
            for server, count in self._loads.items()
            if count > report.loads.get(server, 0)
        }
