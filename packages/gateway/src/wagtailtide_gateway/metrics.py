"""Counters and latency histograms of one instance."""

import bisect
import collections

BUCKETS_S = (0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0, 12.0)


class _Histogram:
    def __init__(self):
        self.counts = [0] * (len(BUCKETS_S) + 1)
        self.total_s = 0.0

    def observe(self, seconds):
        self.counts[bisect.bisect_left(BUCKETS_S, seconds)] += 1
        self.total_s += seconds

    def cumulative(self):
        """Return (upper bound, cumulative count) pairs for Prometheus."""
        pairs, count = [], 0
        bounds = [*map(str, BUCKETS_S), '+Inf']
        for bound, own in zip(bounds, self.counts, strict=True):
            count += own
            pairs.append((bound, count))
        return pairs


class Metrics:
    """Counters, histograms and gauges of one instance.

    prometheus_client takes about 6 MB of memory. It is imported only when
    the metrics are first requested, so that processes whose metrics nobody
    reads do not pay for it.

    Attributes:
        store_calls: Number of calls to the store.
        orders: Number of orders to engines.
        repeats: Number of retries of requests.
        gauges: Function that returns the current value, by gauge name.
        labelled_gauges: Names of the labels and function that returns the
            current values by the values of the labels, by gauge name.
    """

    def __init__(self):
        self.store_calls = 0
        self.orders = 0
        self.repeats = 0
        self.gauges = {}
        self.labelled_gauges = {}
        self._outcomes = collections.Counter()
        self._refusals = collections.Counter()
        self._memory_refusals = collections.Counter()
        self._first_byte = _Histogram()
        self._total = _Histogram()

    def count_refusal(self, kind):
        """Count a request that the gateway itself rejected.

        Args:
            kind: The ErrorKind.
        """
        self._refusals[kind.value] += 1

    def count_memory_refusal(self, exclusions):
        """Count an overloaded request that servers were excluded for.

        It counts as deferred if any server had memory for it.

        Args:
            exclusions: Its engine_memory.Exclusions.
        """
        if exclusions.deferred:
            self._memory_refusals['deferred'] += 1
        elif exclusions.full:
            self._memory_refusals['full'] += 1

    def observe(self, job, outcome, total_s):
        """Record a finished request.

        Args:
            job: Its Job, or None if it was rejected before it had one.
            outcome: Its outcome, the value of the label.
            total_s: Seconds from its arrival to its end.
        """
        self._outcomes[outcome] += 1
        if job is None:
            return
        self._total.observe(total_s)
        if job.first_byte_at is not None:
            self._first_byte.observe(job.first_byte_at - job.received_at)

    def expose(self):
        """Return the metrics in the Prometheus text format, as bytes."""
        import prometheus_client
        from prometheus_client import registry

        registered = registry.CollectorRegistry(auto_describe=False)
        registered.register(self)
        return prometheus_client.generate_latest(registered)

    def collect(self):
        """Yield the metric families; called by prometheus_client."""
        from prometheus_client import core

        counters = {
            'store_calls': self.store_calls,
            'orders': self.orders,
            'repeats': self.repeats,
        }
        for name, value in counters.items():
            yield core.CounterMetricFamily(
                f'wagtailtide_{name}', f'Number of {name}.', value=value
            )
        labelled = {
            'requests': ('outcome', self._outcomes),
            'refusals': ('kind', self._refusals),
            'memory_refusals': ('cause', self._memory_refusals),
        }
        for name, (label, counts) in labelled.items():
            family = core.CounterMetricFamily(
                f'wagtailtide_{name}', f'Number of {name}.', labels=[label]
            )
            for value, count in counts.items():
                family.add_metric([value], count)
            yield family
        for name, histogram in (
            ('first_byte', self._first_byte),
            ('request', self._total),
        ):
            yield core.HistogramMetricFamily(
                f'wagtailtide_{name}_seconds',
                f'Time to the end of {name}.',
                buckets=histogram.cumulative(),
                sum_value=histogram.total_s,
            )
        for name, read in self.gauges.items():
            yield core.GaugeMetricFamily(
                f'wagtailtide_{name}', f'Current {name}.', value=read()
            )
        for name, (labels, read) in self.labelled_gauges.items():
            family = core.GaugeMetricFamily(
                f'wagtailtide_{name}', f'Current {name}.', labels=labels
            )
            for values, value in read().items():
                family.add_metric(values, value)
            yield family
