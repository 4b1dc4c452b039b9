"""Fair shares of the organisations within one class.

Two rules decide between organisations. One that has far less in service in a
pool than its share goes first, so a lent share comes back with the next
requests that finish. Among equals deficit round robin by tokens decides.
"""

import collections
import dataclasses
import math

# Tokens that an organisation of weight 1 earns in one round. About one
# request, so that a round serves each organisation about once.
QUANTUM_TOKENS = 500.0

# An organisation is owed service while this many of its next request fit its
# unused share. With 1, the fluctuation of a share of few requests counts as
# owed, and the smallest organisation got up to 12% more than its share.
OWED_REQUESTS = 2.0


@dataclasses.dataclass(frozen=True)
class Candidate:
    """The request that an organisation would run next.

    Attributes:
        organisation: Its organisation.
        pool: What it competes for, usually a model version.
        tokens: Its estimated tokens.
        seq: Its place in the order of arrival.
    """

    organisation: str
    pool: str
    tokens: float
    seq: int


class FairShare:
    """Tokens in service and deficits of the organisations of a class.

    Shares are kept for each pool: what an organisation runs on servers that
    nobody else wants must not cost it its share elsewhere.
    """

    def __init__(self):
        self._weights = {}
        self._in_service = collections.defaultdict(dict)
        self._waiting = collections.defaultdict(collections.Counter)
        self._waiting_anywhere = collections.Counter()
        self._running_anywhere = collections.Counter()
        self._deficits = {}

    def add_waiting(self, organisation, pool, weight):
        """Note that a request starts to wait."""
        self._weights[organisation] = weight
        self._waiting[pool][organisation] += 1
        self._waiting_anywhere[organisation] += 1

    def remove_waiting(self, organisation, pool):
        """Note that a request no longer waits."""
        _subtract(self._waiting[pool], organisation, 1)
        if not self._waiting[pool]:
            del self._waiting[pool]
        _subtract(self._waiting_anywhere, organisation, 1)
        if organisation not in self._waiting_anywhere:
            # An organisation that was idle has no claim to past rounds.
            self._deficits.pop(organisation, None)
            self._forget_idle(organisation)

    def waiting_weights(self, pool):
        """Return the weight of each organisation that waits in a pool."""
        return {o: self._weights[o] for o in self._waiting.get(pool, ())}

    def start(self, organisation, pool, tokens):
        """Note that a request starts to run."""
        self._running_anywhere[organisation] += 1
        running = self._in_service[pool]
        count, total = running.get(organisation, (0, 0.0))
        running[organisation] = (count + 1, total + tokens)

    def finish(self, organisation, pool, estimated, actual):
        """Note that a request ended.

        Args:
            organisation: Its organisation.
            pool: Its pool.
            estimated: Tokens given to `start`.
            actual: Tokens that it really took. The difference is credited to
                the organisation.
        """
        running = self._in_service[pool]
        count, total = running[organisation]
        if count > 1:
            running[organisation] = (count - 1, total - estimated)
        else:
            del running[organisation]
            if not running:
                del self._in_service[pool]
        others_wait = len(self._waiting_anywhere) > 1
        # Refunds from a time alone would put a newcomer at a disadvantage.
        if organisation in self._waiting_anywhere and others_wait:
            deficit = self._deficits.get(organisation, 0.0)
            refund = max(estimated - actual, 0.0)
            self._deficits[organisation] = deficit + refund
        _subtract(self._running_anywhere, organisation, 1)
        self._forget_idle(organisation)

    def _forget_idle(self, organisation):
        if (
            organisation not in self._waiting_anywhere
            and organisation not in self._running_anywhere
        ):
            self._weights.pop(organisation, None)

    def in_service(self, pool):
        """Return the estimated tokens in service in a pool."""
        running = self._in_service.get(pool, {})
        return sum(tokens for _, tokens in running.values())

    def share_of_weight(self, pool):
        """Return the tokens in service of a pool for each unit of weight."""
        running = self._in_service.get(pool, {})
        wanting = running.keys() | self._waiting.get(pool, {}).keys()
        total = sum(tokens for _, tokens in running.values())
        return total / sum(self._weights[o] for o in wanting)

    def is_owed(self, candidate, share_of_weight):
        """Tell whether a request fits its organisation's unused share.

        An organisation whose share is less than one request is never owed
        anything here; its deficit gives it its turn.
        """
        running = self._in_service.get(candidate.pool, {})
        _, own = running.get(candidate.organisation, (0, 0.0))
        share = share_of_weight * self._weights[candidate.organisation]
        return own + OWED_REQUESTS * candidate.tokens <= share

    def choose(self, candidates):
        """Choose the request that runs next and charge its organisation.

        Args:
            candidates: Candidates, not empty.

        Returns:
            One of them.
        """
        shares = {c.pool: 0.0 for c in candidates}
        for pool in shares:
            shares[pool] = self.share_of_weight(pool)
        equals = [
            c for c in candidates if self.is_owed(c, shares[c.pool])
        ] or candidates
        best = min(equals, key=lambda c: (self._rounds(c), c.seq))
        passed = self._rounds(best)
        for organisation in {c.organisation for c in equals}:
            quantum = QUANTUM_TOKENS * self._weights[organisation]
            deficit = self._deficits.get(organisation, 0.0)
            self._deficits[organisation] = deficit + passed * quantum
        self._deficits[best.organisation] -= best.tokens
        return best

    def _rounds(self, candidate):
        """Return the rounds until the deficit covers a request."""
        quantum = QUANTUM_TOKENS * self._weights[candidate.organisation]
        deficit = self._deficits.get(candidate.organisation, 0.0)
        return max(0, math.ceil((candidate.tokens - deficit) / quantum))


def _subtract(counter, key, amount):
    counter[key] -= amount
    if counter[key] <= 0:
        del counter[key]
