"""What the leader knows of the tokens that instances hold in engines."""

import collections

from wagtailtide_gateway.control import fields
from wagtailtide_gateway.decisions import engine_memory
from wagtailtide_gateway.decisions import pace

# Reports count for this many seconds, as instances do.
REPORT_TTL_S = engine_memory.MAX_AGE_S

# Intervals of half a turn for large requests. After it, all know the requests
# of the turn before, also those that have learned late of the new turn.
INTERVALS_OF_HALF_TURN = 3.0

decode = fields.row(
    lambda *row: row,
    fields.mapping(fields.text, fields.integer),
    fields.sequence(
        fields.row(lambda *row: row, fields.text, fields.text, fields.number)
    ),
)


# Turn while the leader does not know the instances. Builds that know turns but
# no value after them take it for none.
_NO_TURN = [0, 0, 0]


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

    def receive(self, instance, value, now):
        """Take the report of an instance.

        Raises:
            BadMessage, TypeError, ValueError: It is malformed.
        """
        tokens, rows = decode(value)
        rates = {(service, model): rate for service, model, rate in rows}
        if any(number < 0 for number in (*tokens.values(), *rates.values())):
            raise ValueError('expected tokens of at least 0')
        if self._term_since is None:
            self._term_since = now
        self._drop(instance)
        self._reports[instance] = (now, tokens, rates)
        self._total.update(tokens)
        self._total_rates.update(rates)
        for name, (reported_at, _, _) in list(self._reports.items()):
            if now - reported_at > REPORT_TTL_S:
                self._drop(name)

    def _drop(self, instance):
        _, tokens, rates = self._reports.pop(instance, (0.0, {}, {}))
        self._total.subtract(tokens)
        self._total_rates.subtract(rates)

    def make_update(self, instance, now):
        """Return the update for an instance.

        It has the sums of the others, the instance's turn and the number of
        instances that report.
        """
        _, tokens, rates = self._reports.get(instance, (now, {}, {}))
        others = {s: n - tokens.get(s, 0) for s, n in self._total.items()}
        wanted = {
            key: rate - rates.get(key, 0.0)
            for key, rate in self._total_rates.items()
        }
        update = [{s: n for s, n in others.items() if n}, rows(wanted)]
        turn = self._make_turn(instance, now)
        return [*update, turn, len(self._reports)]

    def _make_turn(self, instance, now):
        """Return the row of an instance's Turn.

        A new leader does not know yet how many instances there are.
        """
        since = self._term_since
        if instance not in self._reports or now - since < REPORT_TTL_S:
            return _NO_TURN
        instances = len(self._reports)
        half_s = INTERVALS_OF_HALF_TURN * pace.exchange_interval_s(instances)
        rank = sorted(self._reports).index(instance)
        return [rank, instances, int(now / half_s)]


def rows(rates):
    """Return rates as rows; sums of floats that should be 0 may differ."""
    return [[*key, rate] for key, rate in rates.items() if rate > 0.001]
