"""Requests of this instance by model, reported to the leader."""

import collections

from wagtailtide_gateway.control import messages


class DemandCounter:
    """Counts of arrived, running and waiting requests by service and model."""

    def __init__(self):
        self._arrivals = collections.Counter()
        self._running = collections.Counter()
        self._waiting = collections.Counter()
        self._targets_s = {}

    def record_arrival(self, service, model, target_s):
        """Count the arrival of a request with a latency target in seconds."""
        key = (service, model)
        self._arrivals[key] += 1
        self._targets_s[key] = min(
            target_s, self._targets_s.get(key, target_s)
        )

    def record_start(self, service, model):
        """Count a request that was sent to a server."""
        self._running[(service, model)] += 1

    def record_end(self, service, model):
        """Count a request that is no longer in a server."""
        _decrease(self._running, (service, model))

    def record_wait(self, service, model):
        """Count a request that starts to wait for a server."""
        self._waiting[(service, model)] += 1

    def record_wait_end(self, service, model):
        """Count a request that no longer waits for a server."""
        _decrease(self._waiting, (service, model))

    def take_demand(self):
        """Return ModelDemands, with the arrivals since the last call."""
        keys = self._arrivals.keys() | self._running.keys()
        keys |= self._waiting.keys()
        rows = tuple(
            messages.ModelDemand(
                service,
                model,
                self._arrivals[(service, model)],
                self._running[(service, model)],
                self._waiting[(service, model)],
                self._targets_s[(service, model)],
            )
            for service, model in keys
        )
        self._arrivals.clear()
        return rows


def _decrease(counter, key):
    counter[key] -= 1
    if counter[key] <= 0:
        del counter[key]
