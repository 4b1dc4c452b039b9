"""Fakes of model engines, the weight store and the adapter store."""

import collections
import heapq

from wagtailtide_bench import workload

_RANK = {cls: i for i, cls in enumerate(workload.CLASSES)}


class AdapterStore:
    """Adapter fetches, slower beyond the knee."""

    def __init__(self, loop, deployment, rng):
        self._loop = loop
        self._deployment = deployment
        self._rng = rng
        self.in_flight = 0
        self.most_in_flight = 0

    def fetch(self):
        """Start a fetch and return its seconds."""
        self.in_flight += 1
        self.most_in_flight = max(self.most_in_flight, self.in_flight)
        factor = max(1.0, self.in_flight / self._deployment.knee)
        took = self._rng.uniform(*self._deployment.adapter_s) * factor
        self._loop.after(took, self._end)
        return took

    def _end(self):
        self.in_flight -= 1


class WeightStore:
    """Loads of models, with a limit of starts and of loads at once."""

    def __init__(self, loop, deployment, assumptions):
        self._loop = loop
        self._deployment = deployment
        self._assumptions = assumptions
        self._waiting = collections.deque()
        self._next_start = 0.0
        self._running = 0
        self.loads = 0

    def load(self, size_bytes, on_end):
        """Load a model and call a function at the end."""
        self.loads += 1
        self._waiting.append((size_bytes, on_end))
        self._start()

    def _start(self):
        if (
            not self._waiting
            or self._running >= self._deployment.parallel_loads
        ):
            return
        size_bytes, on_end = self._waiting.popleft()
        self._running += 1
        start = max(self._loop.now, self._next_start)
        self._next_start = start + 1 / self._deployment.loads_per_s
        cfg = self._assumptions
        took = cfg.load_base_s + size_bytes / cfg.load_bytes_per_s
        self._loop.at(start + took, self._end, on_end)

    def _end(self, on_end):
        self._running -= 1
        on_end()
        self._start()


class Engine:
    """An engine with continuous batching.

    All running requests get a token in the same time, which grows with their
    number. `_progress` counts the tokens that each has got since the start, so
    that a change of occupancy costs one event whatever runs.

    Attributes:
        name: Name of the backend server.
        zone: Availability zone.
        models: Resident models.
        loading: Models that are being loaded.
        adapters: Resident adapters, least recently used first.
        alive: Whether it runs.
        last_used: Time of the last request of each model.
        ready_since: Time at which each loaded model became ready.
        on_prefix: Called with the engine and a prefix that it cached.
    """

    def __init__(self, loop, name, zone, assumptions, adapter_store):
        self.name = name
        self.zone = zone
        self.models = set()
        self.loading = set()
        self.adapters = collections.OrderedDict()
        self.alive = True
        self.last_used = {}
        self.ready_since = {}
        self.on_prefix = lambda engine, prefix: None
        self._loop = loop
        self._cfg = assumptions
        self._adapter_store = adapter_store
        self._prefixes = collections.OrderedDict()
        self._waiting = []
        self._prefilling = {}
        self._decoding = []
        self._jobs = {}
        self._progress = 0.0
        self._as_of = 0.0
        self._generation = 0

    @property
    def running(self):
        """Number of requests that hold a slot."""
        return len(self._prefilling) + len(self._decoding)

    @property
    def waiting(self):
        """Number of requests that wait for a slot."""
        return len(self._waiting)

    def submit(self, req, on_first, on_end):
        """Take a request.

        Args:
            req: The Request.
            on_first: Called at the first token.
            on_end: Called at the end with whether it is whole.

        Returns:
            Why it was refused, or None.
        """
        if not self.alive:
            return 'down'
        if req.model not in self.models:
            return 'model_not_resident'
        if len(self._waiting) >= self._cfg.max_waiting:
            return 'over_capacity'
        self.last_used[req.model] = self._loop.now
        self._jobs[req.number] = (req, on_first, on_end)
        place = (_RANK[req.priority_class], req.number)
        heapq.heappush(self._waiting, place)
        self._fill()
        return None

    def crash(self):
        """End the process; every request breaks."""
        self._advance()
        self.alive = False
        self._generation += 1
        for end, number in self._decoding:
            req = self._jobs[number][0]
            req.done = max(0.0, req.tokens - (end - self._progress))
        jobs, self._jobs = self._jobs, {}
        self._waiting, self._prefilling, self._decoding = [], {}, []
        self.models, self.loading = set(), set()
        for _, _, on_end in jobs.values():
            on_end(False)

    def _fill(self):
        while self._waiting and self.running < self._cfg.slots:
            _, number = heapq.heappop(self._waiting)
            self._advance()
            req = self._jobs[number][0]
            self._prefilling[number] = req
            took = self._prefill_s(req)
            self._loop.after(took, self._first, number, req)
            self._schedule()

    def _prefill_s(self, req):
        tokens = req.prompt_tokens + req.done
        if req.prefix in self._prefixes:
            self._prefixes.move_to_end(req.prefix)
            tokens *= 0.3
        else:
            self._prefixes[req.prefix] = True
            if len(self._prefixes) > self._cfg.cached_prefixes:
                self._prefixes.popitem(last=False)
            self.on_prefix(self, req.prefix)
        took = tokens * self._cfg.prefill_token_s
        if req.adapter is None:
            return took
        if req.adapter in self.adapters:
            self.adapters.move_to_end(req.adapter)
            return took
        self.adapters[req.adapter] = True
        if len(self.adapters) > self._cfg.cached_adapters:
            self.adapters.popitem(last=False)
        return took + self._adapter_store.fetch()

    def _first(self, number, req):
        if self._prefilling.pop(number, None) is not req:
            return
        self._advance()
        left = max(1.0, req.tokens - req.done)
        heapq.heappush(self._decoding, (self._progress + left, number))
        self._jobs[number][1]()
        self._schedule()

    def _advance(self):
        elapsed = self._loop.now - self._as_of
        self._as_of = self._loop.now
        self._progress += elapsed / self._cfg.token_time_s(self.running)

    def _schedule(self):
        self._generation += 1
        if self._decoding:
            left = self._decoding[0][0] - self._progress
            delay = max(0.0, left) * self._cfg.token_time_s(self.running)
            self._loop.after(delay, self._end, self._generation)

    def _end(self, generation):
        if generation != self._generation:
            return
        self._advance()
        ended = []
        while self._decoding and (
            self._decoding[0][0] <= self._progress + 1e-6
        ):
            _, number = heapq.heappop(self._decoding)
            ended.append(self._jobs.pop(number))
        self._schedule()
        self._fill()
        for _, _, on_end in ended:
            on_end(True)
