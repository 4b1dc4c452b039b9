"""Simulated model engines, weight store and adapter store."""

import collections
import heapq

from wagtailtide_bench import workload

_PRIORITY_ORDER = {cls: i for i, cls in enumerate(workload.CLASSES)}


class AdapterStore:
    """Adapter store whose fetches slow down above `adapter_knee` in flight.

    Attributes:
        in_flight: Number of fetches in flight.
        max_in_flight: Largest number of fetches in flight so far.
    """

    def __init__(self, loop, deployment, rng):
        self._loop = loop
        self._deployment = deployment
        self._rng = rng
        self.in_flight = 0
        self.max_in_flight = 0

    def fetch(self):
        """Start a fetch and return its duration in seconds."""
        self.in_flight += 1
        self.max_in_flight = max(self.max_in_flight, self.in_flight)
        slowdown = max(1.0, self.in_flight / self._deployment.adapter_knee)
        duration_s = (
            self._rng.uniform(*self._deployment.adapter_fetch_s) * slowdown
        )
        self._loop.after(duration_s, self._end)
        return duration_s

    def _end(self):
        self.in_flight -= 1


class WeightStore:
    """Weight store that limits load starts per second and concurrent loads.

    Attributes:
        loads: Number of loads that were requested.
    """

    def __init__(self, loop, deployment, assumptions):
        self._loop = loop
        self._deployment = deployment
        self._assumptions = assumptions
        self._waiting = collections.deque()
        self._next_start = 0.0
        self._running = 0
        self.loads = 0

    def load(self, size_bytes, on_end):
        """Load a model.

        Args:
            size_bytes: Size of the model.
            on_end: Called without arguments when the load has finished.
        """
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
        start_s = max(self._loop.now, self._next_start)
        self._next_start = start_s + 1 / self._deployment.loads_per_s
        cfg = self._assumptions
        duration_s = cfg.load_base_s + size_bytes / cfg.load_bytes_per_s
        self._loop.at(start_s + duration_s, self._end, on_end)

    def _end(self, on_end):
        self._running -= 1
        on_end()
        self._start()


class Engine:
    """An engine with continuous batching.

    All running requests get their next token in the same time, which grows
    with their number. `_progress` counts the tokens that a request would have
    got since the start, so that a change of occupancy takes one event however
    many requests run. An event for the end of a request counts only if
    `_generation` is unchanged since it was scheduled.

    Attributes:
        name: Name of the backend server.
        zone: Availability zone.
        models: Models that are resident.
        loading: Models that are being loaded.
        adapters: Adapters that are resident, least recently used first.
        alive: Whether its process runs.
        last_used: Time in seconds of the last request for each model.
        ready_since: Time in seconds at which each loaded model became ready.
        on_prefix: Called with the engine and a prompt prefix that it cached.
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
        self._progress_at = 0.0
        self._generation = 0

    @property
    def running(self):
        """Number of requests that occupy a slot."""
        return len(self._prefilling) + len(self._decoding)

    @property
    def waiting(self):
        """Number of requests that wait for a slot."""
        return len(self._waiting)

    def submit(self, req, on_first_token, on_end):
        """Queue a request.

        Args:
            req: The Request.
            on_first_token: Called at the first token.
            on_end: Called at the end with whether the answer is complete.

        Returns:
            The reason for a refusal, or None if the request was queued.
        """
        if not self.alive:
            return 'down'
        if req.model not in self.models:
            return 'model_not_resident'
        if len(self._waiting) >= self._cfg.max_waiting:
            return 'over_capacity'
        self.last_used[req.model] = self._loop.now
        self._jobs[req.number] = (req, on_first_token, on_end)
        queue_key = (_PRIORITY_ORDER[req.priority_class], req.number)
        heapq.heappush(self._waiting, queue_key)
        self._fill_slots()
        return None

    def crash(self):
        """Crash the process and break off all requests."""
        self._advance()
        self.alive = False
        self._generation += 1
        for end, number in self._decoding:
            req = self._jobs[number][0]
            req.generated = max(0.0, req.tokens - (end - self._progress))
        jobs, self._jobs = self._jobs, {}
        self._waiting, self._prefilling, self._decoding = [], {}, []
        self.models, self.loading = set(), set()
        for _, _, on_end in jobs.values():
            on_end(False)

    def _fill_slots(self):
        while self._waiting and self.running < self._cfg.slots:
            _, number = heapq.heappop(self._waiting)
            self._advance()
            req = self._jobs[number][0]
            self._prefilling[number] = req
            duration_s = self._prefill_s(req)
            self._loop.after(duration_s, self._finish_prefill, number, req)
            self._schedule_next_end()

    def _prefill_s(self, req):
        tokens = req.prompt_tokens + req.generated
        if req.prefix in self._prefixes:
            self._prefixes.move_to_end(req.prefix)
            # A cached prefix covers 70 % of the prompt.
            tokens *= 0.3
        else:
            self._prefixes[req.prefix] = True
            if len(self._prefixes) > self._cfg.cached_prefixes:
                self._prefixes.popitem(last=False)
            self.on_prefix(self, req.prefix)
        duration_s = tokens * self._cfg.prefill_token_s
        if req.adapter is None:
            return duration_s
        if req.adapter in self.adapters:
            self.adapters.move_to_end(req.adapter)
            return duration_s
        self.adapters[req.adapter] = True
        if len(self.adapters) > self._cfg.cached_adapters:
            self.adapters.popitem(last=False)
        return duration_s + self._adapter_store.fetch()

    def _finish_prefill(self, number, req):
        if self._prefilling.pop(number, None) is not req:
            return
        self._advance()
        remaining_tokens = max(1.0, req.tokens - req.generated)
        heapq.heappush(
            self._decoding, (self._progress + remaining_tokens, number)
        )
        self._jobs[number][1]()
        self._schedule_next_end()

    def _advance(self):
        elapsed_s = self._loop.now - self._progress_at
        self._progress_at = self._loop.now
        self._progress += elapsed_s / self._cfg.token_time_s(self.running)

    def _schedule_next_end(self):
        self._generation += 1
        if self._decoding:
            remaining_tokens = self._decoding[0][0] - self._progress
            delay_s = max(0.0, remaining_tokens) * self._cfg.token_time_s(
                self.running
            )
            self._loop.after(delay_s, self._end, self._generation)

    def _end(self, generation):
        if generation != self._generation:
            return
        self._advance()
        finished = []
        while self._decoding and (
            self._decoding[0][0] <= self._progress + 1e-6
        ):
            _, number = heapq.heappop(self._decoding)
            finished.append(self._jobs.pop(number))
        self._schedule_next_end()
        self._fill_slots()
        for _, _, on_end in finished:
            on_end(True)
