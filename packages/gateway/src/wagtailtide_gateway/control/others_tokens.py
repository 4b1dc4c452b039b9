"""What an instance knows of the tokens that the others hold in engines."""

from wagtailtide_gateway.control import fields
from wagtailtide_gateway.control import memory_reports
from wagtailtide_gateway.decisions import large_requests

_decode_turn = fields.row(
    large_requests.Turn, fields.integer, fields.integer, fields.integer
)


class OthersTokens:
    """Tokens that the others hold in engines and want, from the leader.

    A new leader lacks the instances that have not reported to it yet. Until
    as many report as before, or it knows the instances, its sums only add to
    the last complete ones, whose age goes on.

    Attributes:
        is_known: Whether the leader states the tokens.
        at: Time in seconds of the report that the leader last answered with
            complete sums.
        interval_s: Seconds between the last two of these reports.
        reporting: Number of instances in the last complete sums, 0 if it is
            not known.
        turn: Turn of this instance for large requests, or None.
        rates: Tokens a second that the others want, by service and model.
        tokens: Tokens of the others by server.
    """

    def __init__(self):
        self.is_known = False
        self.at = float('-inf')
        self.interval_s = 0.0
        self.reporting = 0
        self.turn = None
        self.rates = {}
        self.tokens = {}

    def apply(self, value, now):
        """Apply the leader's value.

        Args:
            value: The value of the section, None if the update has none.
            now: Time in seconds at which the report was made.

        Raises:
            BadMessage, TypeError, ValueError: It is malformed.
        """
        if value is None:
            self.is_known, self.turn, self.tokens = False, None, {}
            return
        # Older builds send no turn, or no number of instances.
        turn = _decode_turn(value[2]) if len(value) > 2 else None
        reporting = fields.integer(value[3]) if len(value) > 3 else None
        tokens, rows = memory_reports.decode(value)
        rates = {(service, model): rate for service, model, rate in rows}
        # A new leader sends a turn of no instances.
        self.turn = turn if turn is None or turn.instances > 0 else None
        if self._is_complete(reporting):
            self._apply_complete(tokens, rates, reporting or 0, now)
        else:
            self.tokens = _larger(self.tokens, tokens)
            self.rates = _larger(self.rates, rates)

    def _is_complete(self, reporting):
        """Return whether sums have the tokens of all instances.

        A leader that gives turns has led for long enough to know all of them.

        Args:
            reporting: Number of instances in the sums, or None.
        """
        if reporting is None or self.turn is not None:
            return True
        return 0 < self.reporting <= reporting

    def _apply_complete(self, tokens, rates, reporting, now):
        self.is_known = True
        self.tokens, self.rates = tokens, rates
        self.reporting = reporting
        if self.at > float('-inf'):
            self.interval_s = min(now - self.at, memory_reports.REPORT_TTL_S)
        self.at = now


def _larger(first, second):
    """Return the larger value of each key of two dictionaries."""
    return {
        key: max(first.get(key, 0), second.get(key, 0))
        for key in first.keys() | second.keys()
    }
