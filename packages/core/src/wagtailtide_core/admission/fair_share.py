"""Fair sharing between the organisations within one class.

An organisation that has far less in service in a pool than its share goes
first, so that a share used by others while it was idle returns to it as their
requests finish. Otherwise deficit round robin by tokens decides.
"""

import collections
import dataclasses
import math

# Tokens that an organisation of weight 1 earns in one round: about one
# request, so that a round serves each organisation about once.
QUANTUM_TOKENS = 500.0

# An organisation goes first while its unused share fits this many requests of
# the size of its next one. With 1, the fluctuation of a share of only a few
# requests was enough, and the smallest organisation got up to 12% more than
# its share.
MIN_UNUSED_REQUESTS = 2.0


@dataclasses.dataclass(frozen=True)
class Candidate:
    """The request that an organisation would run next in a pool.

    Attributes:
        organisation: Name of the organisation.
        pool: Resource that requests compete for, usually a model version.
        tokens: Estimated tokens of the request.
        seq: Sequence number of its arrival.
    """

    organisation: str
    pool: str
    tokens: float
    seq: int


class FairShare:
    """Tokens in service and deficits of the organisations of a class.

    Shares are computed for each pool separately, so that requests on servers
    that no other organisation uses do not reduce an organisation's share of
    other pools.
    """

    def __init__(self):
        self._weights = {}
        self._in_service = collections.defaultdict(dict)
        self._waiting = collections.defaultdict(collections.Counter)
        self._waiting_in_all_pools = collections.Counter()
        self._running_in_all_pools = collections.Counter()
        self._deficits = {}

    def add_waiting(self, organisation, pool, weight):
        """Record that a request starts to wait."""
        self._weights[organisation] = weight
        self._waiting[pool][organisation] += 1
        self._waiting_in_all_pools[organisation] += 1

    def remove_waiting(self, organisation, pool):
        """Record that a request no longer waits."""
        _subtract(self._waiting[pool], organisation, 1)
        if not self._waiting[pool]:
            del self._waiting[pool]
        _subtract(self._waiting_in_all_pools, organisation, 1)
        if organisation not in self._waiting_in_all_pools:
            # An organisation earns nothing for rounds in which it was idle.
            self._deficits.pop(organisation, None)
            self._forget_idle(organisation)

    def waiting_weights(self, pool):
        """Return the weight of each organisation waiting in a pool."""
        return {o: self._weights[o] for o in self._waiting.get(pool, ())}

    def start(self, organisation, pool, tokens):
        """Record that a request starts to run."""
        self._running_in_all_pools[organisation] += 1
        running = self._in_service[pool]
        count, total = running.get(organisation, (0, 0.0))
        running[organisation] = (count + 1, total + tokens)

    def finish(self, organisation, pool, estimated, actual):
        """Record that a request ended.

        Args:
            organisation: Organisation of the request.
            pool: Pool of the request.
            estimated: Tokens passed to `start`.
            actual: Tokens that the request used. The organisation is credited
                with the difference.
        """
        running = self._in_service[pool]
        count, total = running[organisation]
        if count > 1:
            running[organisation] = (count - 1, total - estimated)
        else:
            del running[organisation]
            if not running:
                del self._in_service[pool]
        others_wait = len(self._waiting_in_all_pools) > 1
        # Without competition there is no refund; it would disadvantage
        # organisations that arrive later.
        if organisation in self._waiting_in_all_pools and others_wait:
            deficit = self._deficits.get(organisation, 0.0)
            refund = max(estimated - actual, 0.0)
            self._deficits[organisation] = deficit + refund
        _subtract(self._running_in_all_pools, organisation, 1)
        self._forget_idle(organisation)

    def _forget_idle(self, organisation):
        if (
            organisation not in self._waiting_in_all_pools
            and organisation not in self._running_in_all_pools
        ):
            self._weights.pop(organisation, None)

    def in_service(self, pool):
        """Return the estimated tokens in service in a pool."""
        running = self._in_service.get(pool, {})
        return sum(tokens for _, tokens in running.values())

    def tokens_per_weight(self, pool):
        """Return the tokens in service in a pool per unit of weight."""
        running = self._in_service.get(pool, {})
        active = running.keys() | self._waiting.get(pool, {}).keys()
        total = sum(tokens for _, tokens in running.values())
        return total / sum(self._weights[o] for o in active)

    def is_below_share(self, candidate, tokens_per_weight):
        """Tell whether an organisation is far below its share of a pool.

        This is never so for a share smaller than `MIN_UNUSED_REQUESTS`
        requests; such an organisation is served by deficit round robin alone.

        Args:
            candidate: Candidate of the organisation.
            tokens_per_weight: Tokens in service in the pool per unit of
                weight.
        """
        running = self._in_service.get(candidate.pool, {})
        _, used_tokens = running.get(candidate.organisation, (0, 0.0))
        share = tokens_per_weight * self._weights[candidate.organisation]
        return used_tokens + MIN_UNUSED_REQUESTS * candidate.tokens <= share

    def choose(self, candidates):
        """Choose the request that runs next and charge its organisation.

        Args:
            candidates: Candidates, at least one.

        Returns:
            The chosen Candidate.
        """
        shares = {c.pool: 0.0 for c in candidates}
        for pool in shares:
            shares[pool] = self.tokens_per_weight(pool)
        contenders = [
            c for c in candidates if self.is_below_share(c, shares[c.pool])
        ] or candidates
        best = min(contenders, key=lambda c: (self._rounds_needed(c), c.seq))
        rounds = self._rounds_needed(best)
        for organisation in {c.organisation for c in contenders}:
            quantum = QUANTUM_TOKENS * self._weights[organisation]
            deficit = self._deficits.get(organisation, 0.0)
            self._deficits[organisation] = deficit + rounds * quantum
        self._deficits[best.organisation] -= best.tokens
        return best

    def _rounds_needed(self, candidate):
        """Return the number of rounds until the deficit covers a request."""
        quantum = QUANTUM_TOKENS * self._weights[candidate.organisation]
        deficit = self._deficits.get(candidate.organisation, 0.0)
        return max(0, math.ceil((candidate.tokens - deficit) / quantum))


def _subtract(counter, key, amount):
    counter[key] -= amount
    if counter[key] <= 0:
        del counter[key]
