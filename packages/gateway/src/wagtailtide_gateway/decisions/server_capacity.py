"""Estimates how fast each server is and how many requests it sustains.

Each server is compared with its peers on the same kind of work: the same
model, the same share of busy slots, and either the pace of running streams or
the time to the first event of prompts of similar size. What the rest of its
batch adds is expected, see `batch_pace`.
"""

import collections
import dataclasses
import math
import statistics

from wagtailtide_gateway.decisions import batch_pace
from wagtailtide_gateway.decisions import concurrency_limit
from wagtailtide_gateway.decisions import pace_baselines
from wagtailtide_gateway.decisions import pace_scatter

# Time constant in seconds of the sums that an estimate is made of. A change
# has to be found within 3 s, of which an exchange of 1 s is a part.
WINDOW_S = 1.0

# Expected seconds of work added to each server at its peers' pace, so that a
# few requests do not show much, and an estimate without new data fades.
PRIOR_S = 0.5

# Expected seconds of work without which a server is no peer of others.
MIN_PEER_S = 0.1

# Expected seconds of work that an estimate of an earlier leader counts for.
SEED_S = 2.0

# Time in seconds that the first sums are taken to be of.
MIN_SPAN_S = 0.25

# Bounds of a slowdown.
MIN_SLOWDOWN = 0.5
MAX_SLOWDOWN = 8.0

# Differences from 1 up to this are not published.
PUBLISHED_STEP = 0.1

# Number of servers from which an evaluation learns about batches at most, as
# it takes a third of its processor time. Larger services are learned from in
# turns.
LEARNED_SERVERS = 20

# Largest number of kinds of work of a server. Kinds beyond it are ignored.
MAX_KINDS = 2_000


@dataclasses.dataclass(frozen=True, slots=True)
class Capacity:
    """What a server sustains.

    Attributes:
        slots_share: Share of its slots beyond which waiting grows without
            more work being done.
        slowdown: Time that it takes for work divided by its peers' time.
    """

    slots_share: float = 1.0
    slowdown: float = 1.0


NOMINAL = Capacity()


@dataclasses.dataclass(frozen=True, slots=True)
class Observation:
    """Sums over similar work of one server.

    Attributes:
        model: Name of the model.
        size: Class of the prompt's size for times to first events, 0 for the
            pace of running streams.
        band: Band of the share of busy slots, see
            `pace_baselines.band_of`.
        units: Amount of work: events, or tokens before the first one.
        seconds: Time that it took.
        busy: Mean share of busy slots meanwhile.
    """

    model: str
    size: int
    band: int
    units: float
    seconds: float
    busy: float


class _Server:
    def __init__(self, service, capacity=NOMINAL):
        self.service = service
        self.limit = concurrency_limit.ConcurrencyLimit(
            capacity.slots_share, capacity.slowdown
        )
        self.published = capacity
        # The logarithm of its ratio that is usual.
        self.usual = 0.0
        # Units, seconds and busy seconds by kind of work.
        self.sums = {}
        # Seconds of running requests by model, and the contents and weight
        # of its batch, see `batch_pace`.
        self.batch = {}
        self.contents = {}
        # Factors of expected paces because of the batch, by model and whether
        # they are those of first events.
        self.factors = {}
        self.works = []
        self.expected_s = self.observed_s = self.busy = 0.0
        # Expected seconds of an earlier estimate that still counts.
        self.seed_s = 0.0 if capacity == NOMINAL else SEED_S
        self.seed = capacity.slowdown

    def decay(self, factor):
        self.seed_s *= factor
        for kind, row in list(self.sums.items()):
            row[0] *= factor
            row[1] *= factor
            row[2] *= factor
            if row[1] < 0.001:
                del self.sums[kind]
        for model, seconds in list(self.batch.items()):
            self.batch[model] = seconds * factor
            if seconds < 0.001:
                del self.batch[model]

    @property
    def ratio(self):
        """Observed over expected time."""
        prior_s = PRIOR_S + self.seed_s
        prior_observed_s = PRIOR_S + self.seed * self.seed_s
        return (self.observed_s + prior_observed_s) / (
            self.expected_s + prior_s
        )


class Estimator:
    """Estimates the Capacity of each server from observations.

    Args:
        window_s: Time constant in seconds of the sums. It has to be longer
            for the observations of a single instance.
    """

    def __init__(self, window_s=WINDOW_S):
        self._window_s = window_s
        self._servers = {}
        self._baselines = pace_baselines.PaceBaselines()
        self._batch_paces = {}
        self._turn = 0
        self._scatters = {}
        self._evaluated_at = None
        # Time in seconds of which the sums are, weighted as they are.
        self._span_s = MIN_SPAN_S

    def seed(self, server_id, service, capacity):
        """Start with the estimate of an earlier leader."""
        self._servers[server_id] = _Server(service, capacity)

    def retain(self, server_ids):
        """Drop all other servers, whose processes have ended."""
        for server_id in self._servers.keys() - server_ids:
            del self._servers[server_id]

    def add(self, server_id, service, observation):
        """Add an Observation of a server."""
        server = self._servers.get(server_id)
        if server is None:
            server = self._servers[server_id] = _Server(service)
        kind = (observation.model, observation.size, observation.band)
        row = server.sums.get(kind)
        if row is None:
            if len(server.sums) >= MAX_KINDS:
                return
            row = server.sums[kind] = [0.0, 0.0, 0.0]
        row[0] += observation.units
        row[1] += observation.seconds
        row[2] += observation.busy * observation.seconds

    def add_batch(self, server_id, service, batch):
        """Add what a server's batch consisted of.

        Args:
            server_id: Id of the server.
            service: Name of its service.
            batch: Seconds of running requests by model; those under the name
                None are for unknown models.
        """
        server = self._servers.get(server_id)
        if server is None:
            server = self._servers[server_id] = _Server(service)
        sums = server.batch
        for model, seconds in batch.items():
            if model in sums or len(sums) < batch_pace.MAX_MODELS:
                sums[model] = sums.get(model, 0.0) + seconds

    def evaluate(self, now):
        """Return the Capacity of each server that differs from the nominal.

        Args:
            now: Time in seconds.
        """
        elapsed_s = 0.0
        if self._evaluated_at is not None:
            elapsed_s = max(0.0, now - self._evaluated_at)
        self._evaluated_at = now
        self._span_s += elapsed_s
        self._weigh_batches()
        self._update_baselines(elapsed_s)
        expected = {}
        for server in self._servers.values():
            self._sum_up(server, expected)
        medians = self._medians()
        self._learn_batches(medians, elapsed_s)
        self._update_scatters(medians, elapsed_s)
        factor = math.exp(-elapsed_s / self._window_s)
        self._span_s *= factor
        for server in self._servers.values():
            self._update_limit(server, medians, now)
            server.decay(factor)
        return {
            server_id: server.published
            for server_id, server in self._servers.items()
            if server.published != NOMINAL
        }

    def _batch_pace(self, service):
        found = self._batch_paces.get(service)
        if found is None:
            found = self._batch_paces[service] = batch_pace.BatchPace()
        return found

    def _weigh_batches(self):
        for server in self._servers.values():
            server.contents = batch_pace.contents_of(
                server.batch, self._span_s
            )
            learned = self._batch_pace(server.service)
            weight = learned.weight(server.contents)
            kinds = {(model, size > 0) for model, size, _ in server.sums}
            server.factors = {
                kind: learned.factor(kind, weight) for kind in kinds
            }

    def _update_baselines(self, elapsed_s):
        paces = collections.defaultdict(list)
        for server in self._servers.values():
            for kind, row in server.sums.items():
                if row[0] > 0.0:
                    factor = server.factors[kind[0], kind[1] > 0]
                    key = (server.service, *kind)
                    paces[key].append(row[1] / (row[0] * factor))
        self._baselines.update(paces, elapsed_s)

    def _sum_up(self, server, paces):
        """Compare the work of a server with what is expected.

        Args:
            server: The _Server.
            paces: Expected paces by service and kind of work, filled here.
        """
        expected_s = observed_s = busy_s = 0.0
        works = {}
        for kind, (units, seconds, kind_busy_s) in server.sums.items():
            key = (server.service, *kind)
            if key not in paces:
                paces[key] = self._baselines.expected(*key)
            pace = paces[key]
            if pace is None:
                continue
            work = works.setdefault((kind[0], kind[1] > 0), [0.0, 0.0])
            work[0] += units * pace
            work[1] += seconds
            observed_s += seconds
            busy_s += kind_busy_s
        server.works = []
        for kind, work in works.items():
            expected_s += work[0] * server.factors[kind]
            server.works.append(batch_pace.Work(kind, *work))
        server.expected_s, server.observed_s = expected_s, observed_s
        if observed_s > 0.0:
            server.busy = busy_s / observed_s

    def _learn_batches(self, medians, elapsed_s):
        """Learn from a part of the servers, as it takes processor time."""
        turns = 1 + len(self._servers) // LEARNED_SERVERS
        self._turn = (self._turn + 1) % turns
        rows = collections.defaultdict(list)
        for server in list(self._servers.values())[self._turn :: turns]:
            if server.contents and server.expected_s >= MIN_PEER_S:
                ratio = server.ratio / medians.get(server.service, 1.0)
                rows[server.service].append(
                    (server.contents, server.works, math.log(ratio))
                )
        for service, found in rows.items():
            self._batch_pace(service).learn(found, elapsed_s * turns)

    def _medians(self):
        ratios = collections.defaultdict(list)
        for server in self._servers.values():
            if server.expected_s >= MIN_PEER_S:
                ratios[server.service].append(server.ratio)
        return {
            service: statistics.median_low(found)
            for service, found in ratios.items()
        }

    def _update_scatters(self, medians, elapsed_s):
        found = collections.defaultdict(list)
        for server in self._servers.values():
            if server.expected_s >= MIN_PEER_S:
                ratio = math.log(server.ratio / medians[server.service])
                found[server.service].append(ratio - server.usual)
                server.usual = pace_scatter.follow(
                    server.usual, ratio, elapsed_s
                )
        for service, differences in found.items():
            scatter = self._scatters.get(service)
            if scatter is None:
                scatter = self._scatters[service] = pace_scatter.PaceScatter()
            scatter.update(differences, elapsed_s)

    def _update_limit(self, server, medians, now):
        ratio = server.ratio
        if server.service in medians:
            ratio /= medians[server.service]
            # What is known of a server is followed as closely as possible.
            if (
                server.limit.share == 1.0
                and server.published.slowdown < concurrency_limit.SLOW_STEP
            ):
                ratio = self._scatters[server.service].tolerated(ratio)
        slowdown = min(max(ratio, MIN_SLOWDOWN), MAX_SLOWDOWN)
        limit = server.limit
        limit.update(slowdown, server.busy, now)
        if limit.is_testing:
            slowdown = limit.slowdown
        if abs(slowdown - 1.0) <= PUBLISHED_STEP:
            slowdown = 1.0
        share = limit.share if limit.share < 1.0 - PUBLISHED_STEP else 1.0
        server.published = Capacity(round(share, 2), round(slowdown, 2))
