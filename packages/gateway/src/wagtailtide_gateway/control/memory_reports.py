"""What the leader knows of the tokens that instances hold in engines."""

import collections
from collections.abc import Mapping
import dataclasses

from wagtailtide_gateway.control import fields
from wagtailtide_gateway.decisions import engine_memory

# Reports count for this many seconds, as instances do.
REPORT_TTL_S = engine_memory.MAX_AGE_S

_decode_tokens = fields.mapping(fields.text, fields.integer)
_decode_rates = fields.sequence(
    fields.row(lambda *row: row, fields.text, fields.text, fields.number)
)
decode = fields.row(
    lambda *row: row,
    _decode_tokens,
    _decode_rates,
)
_decode_reserved = fields.row(lambda *row: row, _decode_tokens, _decode_rates)

# Older builds expect their turn to send large requests here, and take this for
# none.
_NO_TURN = [0, 0, 0]


@dataclasses.dataclass(frozen=True, slots=True)
class _Report:
    """Report of an instance.

    Attributes:
        at: Time in seconds.
        tokens: Tokens that it holds, by server.
        rates: Tokens a second that it wants, by service and model.
        has_reservations: Whether its build reserves memory.
        reserved: Tokens of requests with reservations, by server.
        reserved_rates: Tokens a second that these want.
    """

    at: float
    tokens: Mapping[str, int]
    rates: Mapping[tuple[str, str], float]
    has_reservations: bool
    reserved: Mapping[str, int]
    reserved_rates: Mapping[tuple[str, str], float]


_NO_REPORT = _Report(0.0, {}, {}, False, {}, {})


class MemoryReports:
    """Reports of all instances, on the leader."""

    def __init__(self):
        self.start_term()

    def start_term(self):
        """Forget what an earlier term collected."""
        self._reports = {}
        self._term_since = None
        self._total = collections.Counter()
        self._total_rates = collections.Counter()
        self._total_reserved = collections.Counter()
        self._total_reserved_rates = collections.Counter()

    @property
    def count(self):
        """Number of instances that report."""
        return len(self._reports)

    def tokens(self, server_id):
        """Return the tokens that all instances hold in a server.

        Returns:
            Those of all requests and of those with reservations.
        """
        return self._total[server_id], self._total_reserved[server_id]

    def rates(self, service):
        """Return the tokens a second that all want of a service, by model.

        Returns:
            Those of requests without and of those with reservations.
        """
        usual, reserved = {}, {}
        for (name, model), rate in self._total_rates.items():
            if name == service:
                reserved[model] = self._total_reserved_rates[name, model]
                usual[model] = max(0.0, rate - reserved[model])
        return usual, reserved

    def knows_all(self, now):
        """Return whether all instances have had the time to report."""
        since = self._term_since
        return since is not None and now - since >= REPORT_TTL_S

    def all_reserve(self):
        """Return whether all instances that report reserve memory."""
        return all(
            report.has_reservations for report in self._reports.values()
        )

    def receive(self, instance, value, now):
        """Take the report of an instance.

        Raises:
            BadMessage, TypeError, ValueError: It is malformed.
        """
        tokens, rows = decode(value)
        has_reservations = len(value) > 2
        reserved = ({}, ())
        if has_reservations:
            reserved = _decode_reserved(value[2])
        report = _Report(
            now,
            tokens,
            _by_key(rows),
            has_reservations,
            reserved[0],
            _by_key(reserved[1]),
        )
        numbers = (
            *tokens.values(),
            *report.rates.values(),
            *report.reserved.values(),
            *report.reserved_rates.values(),
        )
        if any(number < 0 for number in numbers):
            raise ValueError('expected tokens of at least 0')
        if self._term_since is None:
            self._term_since = now
        self._drop(instance)
        self._reports[instance] = report
        self._total.update(tokens)
        self._total_rates.update(report.rates)
        self._total_reserved.update(report.reserved)
        self._total_reserved_rates.update(report.reserved_rates)
        for name, other in list(self._reports.items()):
            if now - other.at > REPORT_TTL_S:
                self._drop(name)

    def _drop(self, instance):
        report = self._reports.pop(instance, _NO_REPORT)
        self._total.subtract(report.tokens)
        self._total_rates.subtract(report.rates)
        self._total_reserved.subtract(report.reserved)
        self._total_reserved_rates.subtract(report.reserved_rates)

    def make_update(self, instance, now):
        """Return the update for an instance.

        It has the sums of the others, no turn, the number of instances that
        report and whether these are all.
        """
        own = self._reports.get(instance, _NO_REPORT)
        others = {s: n - own.tokens.get(s, 0) for s, n in self._total.items()}
        wanted = {
            key: rate - own.rates.get(key, 0.0)
            for key, rate in self._total_rates.items()
        }
        return [
            {s: n for s, n in others.items() if n},
            rows(wanted),
            _NO_TURN,
            len(self._reports),
            self.knows_all(now),
        ]


def _by_key(decoded):
    return {(service, model): rate for service, model, rate in decoded}


def rows(rates):
    """Return rates as rows; sums of floats that should be 0 may differ."""
    return [[*key, rate] for key, rate in rates.items() if rate > 0.001]
