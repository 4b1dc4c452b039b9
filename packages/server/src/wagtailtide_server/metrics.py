"""Prometheus metrics of one instance."""

import prometheus_client
from prometheus_client import core
from prometheus_client import exposition

FIRST_TOKEN_BUCKETS_S = (0.05, 0.1, 0.2, 0.4, 0.76, 1.5, 3.0, 6.0, 15.0, 60.0)
BETWEEN_TOKENS_BUCKETS_S = (0.01, 0.02, 0.035, 0.05, 0.1, 0.2, 0.5, 1.0, 3.0)
REQUEST_BUCKETS_S = (0.01, 0.05, 0.1, 0.5, 1.0, 5.0, 15.0, 60.0, 600.0)
CONTENT_TYPE = exposition.CONTENT_TYPE_LATEST


class _InvariantCollector:
    def __init__(self, invariants):
        self._invariants = invariants

    def collect(self):
        for result in ('checked', 'violated'):
            family = core.CounterMetricFamily(
                f'wagtailtide_invariants_{result}',
                f'Invariants {result}.',
                labels=['invariant'],
            )
            for name, count in getattr(self._invariants, result).items():
                family.add_metric([name], count)
            yield family


class Metrics:
    """Metrics in a registry of their own.

    The number of label values is bounded: labels are kinds of routes, servers
    and errors, reasons, priority classes and names of invariants, never
    callers, models or organisations.
    """

    def __init__(self, invariants):
        self.registry = prometheus_client.CollectorRegistry()
        self.registry.register(_InvariantCollector(invariants))

        def counter(name, help_text, labels=()):
            return prometheus_client.Counter(
                f'wagtailtide_{name}',
                help_text,
                labels,
                registry=self.registry,
            )

        def histogram(name, help_text, labels, buckets):
            return prometheus_client.Histogram(
                f'wagtailtide_{name}',
                help_text,
                labels,
                registry=self.registry,
                buckets=buckets,
            )

        self.requests = counter(
            'requests_total',
            'Requests that were answered.',
            ('route_kind', 'outcome'),
        )
        self.attempts = counter(
            'attempts_total',
            'Attempts at backend servers.',
            ('server_kind', 'outcome'),
        )
        self.retries = counter(
            'retries_total', 'Retries and resumed streams.', ('reason',)
        )
        self.crashes = counter(
            'crashes_total', 'Backend server crashes that were counted.'
        )
        self.open_requests = prometheus_client.Gauge(
            'wagtailtide_open_requests',
            'Requests in progress.',
            registry=self.registry,
        )
        self.request_seconds = histogram(
            'request_seconds',
            'Time to the end of the answer.',
            ('route_kind',),
            REQUEST_BUCKETS_S,
        )
        self.first_token_seconds = histogram(
            'first_token_seconds',
            'Time to the first token.',
            ('priority_class',),
            FIRST_TOKEN_BUCKETS_S,
        )
        self.between_tokens_seconds = histogram(
            'between_tokens_seconds',
            'Time between tokens.',
            ('priority_class',),
            BETWEEN_TOKENS_BUCKETS_S,
        )

    def expose(self):
        """Return the metrics in the Prometheus text format, as bytes."""
        return prometheus_client.generate_latest(self.registry)
