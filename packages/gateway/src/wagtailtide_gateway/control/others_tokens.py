"""What an instance knows of the tokens that the others hold in engines."""

from wagtailtide_gateway.control import fields
from wagtailtide_gateway.control import memory_reports
from wagtailtide_gateway.decisions import engine_memory

# Turn of an instance, from leaders that grant no reservations.
_decode_turn = fields.row(
    lambda *row: row, fields.integer, fields.integer, fields.integer
)


class _Sums:
    """Tokens by process of a server, from one update.

    Args:
        by_server: Tokens by server.
        at: Time in seconds of the report that the leader answered.

    Attributes:
        at: This time.
        tokens: Tokens by process.
        unlisted: Tokens by server that have no known process.
    """

    def __init__(self, by_server, at):
        self.at = at
        self.tokens = {}
        self.unlisted = by_server


class OthersTokens:
    """Tokens that the others hold in engines and want, from the leader.

    A new leader lacks the instances that have not reported to it yet. Until
    nearly as many report as before, or it knows the instances, its sums only
    add to the last complete ones, whose age goes on.

    Args:
        process_of: Function from the id of a server to the id of its process,
            None if the instance does not know the server.

    Attributes:
        is_known: Whether the leader states the tokens.
        at: Time in seconds of the report that the leader last answered with
            complete sums.
        interval_s: Seconds between the last two of these reports.
        reporting: Number of instances in the last complete sums, 0 if it is
            not known.
        rates: Tokens a second that the others want, by service and model.
    """

    def __init__(self, process_of):
        self._process_of = process_of
        self.is_known = False
        self.at = float('-inf')
        self.interval_s = 0.0
        self.reporting = 0
        self.rates = {}
        self._complete = _Sums({}, self.at)
        self._partial = None

    def apply(self, value, now):
        """Apply the leader's value.

        Args:
            value: The value of the section, None if the update has none.
            now: Time in seconds at which the report was made.

        Raises:
            BadMessage, TypeError, ValueError: It is malformed.
        """
        if value is None:
            self.is_known = False
            return
        knows_all = _knows_all(value)
        # Older builds send no number of instances.
        reporting = fields.integer(value[3]) if len(value) > 3 else None
        tokens, rows = memory_reports.decode(value)
        rates = {(service, model): rate for service, model, rate in rows}
        sums = _Sums(tokens, now)
        self._resolve(sums)
        if knows_all or self._is_complete(reporting):
            self._apply_complete(sums, rates, reporting or 0, now)
        else:
            self._partial = sums
            self.rates = larger(self.rates, rates)

    def tokens(self, service_s, now):
        """Return the tokens of the others by process; not to be changed.

        Those of long ago have ended in part, as no leader states what has
        come since then.

        Args:
            service_s: Seconds that a request runs, None for the tokens as
                they were stated.
            now: Time in seconds.
        """
        if self._partial is None:
            return self._left(self._complete, service_s, now)
        return larger(
            self._left(self._complete, service_s, now),
            self._left(self._partial, service_s, now),
        )

    def _left(self, sums, service_s, now):
        if sums.unlisted:
            self._resolve(sums)
        if service_s is None or not sums.tokens:
            return sums.tokens
        age_s = now - sums.at
        if age_s <= engine_memory.MAX_AGE_S:
            return sums.tokens
        left = engine_memory.left_part(age_s, service_s)
        return {process: left * n for process, n in sums.tokens.items()}

    def _resolve(self, sums):
        """Assign tokens to the present processes of their servers."""
        for server_id in list(sums.unlisted):
            process = self._process_of(server_id)
            if process is not None:
                sums.tokens[process] = sums.unlisted.pop(server_id)

    def _is_complete(self, reporting):
        """Return whether sums have the tokens of nearly all instances.

        Args:
            reporting: Number of instances in the sums, or None.
        """
        if reporting is None:
            return True
        return engine_memory.are_complete(reporting, self.reporting)

    def _apply_complete(self, sums, rates, reporting, now):
        self.is_known = True
        self._complete, self._partial = sums, None
        self.rates = rates
        self.reporting = reporting
        if self.at > float('-inf'):
            self.interval_s = min(now - self.at, memory_reports.REPORT_TTL_S)
        self.at = now


def _knows_all(value):
    """Return whether the leader states that it knows all instances.

    Older builds show it by the turn that they give.
    """
    if len(value) > 4:
        return fields.boolean(value[4])
    if len(value) > 2:
        _, instances, _ = _decode_turn(value[2])
        return instances > 0
    return False


def larger(first, second):
    """Return the larger value of each key of two dictionaries."""
    return {
        key: max(first.get(key, 0), second.get(key, 0))
        for key in first.keys() | second.keys()
    }
