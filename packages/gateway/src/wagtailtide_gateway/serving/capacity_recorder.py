"""Records how fast servers run the streams of this instance."""

import anyio

from wagtailtide_gateway.decisions import pace_baselines
from wagtailtide_gateway.decisions import server_capacity
from wagtailtide_gateway.serving import batch_sums

# Tokens that a first event costs in addition to those of its prompt: about
# 10 ms for the request's way and its first step, at 38 tokens a ms.
FIRST_EVENT_TOKENS = 400

# A running stream is added to the sums this often, so that a change shows
# before it ends.
FLUSH_INTERVAL_S = 0.25

# A caller that delays a write for longer reads slowly; the next gap shows its
# pace and not the server's.
SLOW_WRITE_S = 0.02

# Seconds after the first request for a model or adapter at a server, or the
# first in as many, in which times to first events do not count: they may
# contain the load.
FIRST_USE_S = 2.0
UNUSED_S = 10.0

# Waits for a first event that did not come count from this time on. Shorter
# ones end because the caller disconnects.
MIN_UNANSWERED_S = 0.5

# Interval of the check whether this process is held up, and the delay from
# which it is. A busy process with a third of a core is delayed by up to
# 0.064 s in each period of 0.1 s in which processor time is allotted.
HOLD_UP_INTERVAL_S = 0.1
HOLD_UP_S = 0.1

# Largest number of pairs of a server and a model or adapter whose use is
# remembered.
MAX_USES = 4_000


class Tracker:
    """Follows one stream of one server."""

    __slots__ = (
        '_count',
        '_flush_at',
        '_gap',
        '_is_first_clean',
        '_is_skipped',
        '_last_at',
        '_model',
        '_recorder',
        '_seconds',
        '_started_at',
        '_state',
        '_tokens',
        '_units',
    )

    def __init__(self, recorder, state, req, is_first_clean, now):
        self._recorder = recorder
        self._state = state
        self._model = req.model
        self._tokens = req.prompt_tokens + FIRST_EVENT_TOKENS
        self._is_first_clean = is_first_clean
        self._started_at = now
        self._last_at = None
        self._gap = None
        self._count = 0
        self._is_skipped = False
        self._units = 0
        self._seconds = 0.0
        self._flush_at = 0.0

    def note_events(self, count, now):
        """Record that events have arrived.

        Of two gaps the shorter one counts: a single long one is caused by
        the prompt of another request, which delays all streams once.

        Args:
            count: Number of events of the stream so far.
            now: Time in seconds.
        """
        last_at, self._last_at = self._last_at, now
        events, self._count = count - self._count, count
        if last_at is None:
            self._note_first(now)
            return
        if self._is_skipped or last_at < self._recorder.held_up_at:
            self._is_skipped = False
            self._gap = None
            return
        previous, self._gap = self._gap, (now - last_at) / events
        if previous is not None:
            self._seconds += min(previous, self._gap) * events
            self._units += events
        if now >= self._flush_at:
            self._flush(now)

    def note_written(self, now):
        """Record that the last events have been written to the caller."""
        if now - self._last_at > SLOW_WRITE_S:
            self._is_skipped = True

    def end(self, now):
        """Record that the attempt has ended, for whatever reason."""
        self._recorder.batches.note_end(
            self._state.server.id, self._model, now
        )
        if self._last_at is not None:
            self._flush(now)
        elif now - self._started_at >= MIN_UNANSWERED_S:
            self._note_first(now)

    def _note_first(self, now):
        self._flush_at = now + FLUSH_INTERVAL_S
        if self._is_first_clean and (
            self._started_at >= self._recorder.held_up_at
        ):
            self._recorder.add(
                self._state,
                self._model,
                self._tokens.bit_length(),
                self._tokens,
                now - self._started_at,
            )

    def _flush(self, now):
        self._flush_at = now + FLUSH_INTERVAL_S
        if self._units:
            self._recorder.add(
                self._state, self._model, 0, self._units, self._seconds
            )
            self._units, self._seconds = 0, 0.0


class ForwardedTracker:
    """Follows a stream that another instance forwards.

    It is part of the server's batch, but its times show that instance too.
    """

    def __init__(self, recorder, state, req):
        self._recorder = recorder
        self._server_id = state.server.id
        self._model = req.model

    def note_events(self, count, now):
        """Ignore the events."""

    def note_written(self, now):
        """Ignore the write."""

    def end(self, now):
        """Record that the attempt has ended, for whatever reason."""
        self._recorder.batches.note_end(self._server_id, self._model, now)


class CapacityRecorder:
    """Sums of what the streams of this instance show of the servers.

    Attributes:
        batches: BatchSums of the requests in the servers.
        held_up_at: Time in seconds at which this process was last held up.
    """

    def __init__(self):
        self.held_up_at = float('-inf')
        self.batches = batch_sums.BatchSums()
        self._sums = {}
        self._uses = {}

    def start(self, job, state, peer):
        """Return what follows an attempt, or None for a plain request.

        Args:
            job: The Job.
            state: ServerState of the server.
            peer: Name of the instance that forwards it, or None.
        """
        if job.is_plain:
            return None
        now = anyio.current_time()
        self.batches.note_start(state.server.id, job.req.model, now)
        if peer is not None:
            return ForwardedTracker(self, state, job.req)
        is_clean = self._note_use(job.req, state, now)
        return Tracker(self, state, job.req, is_clean, now)

    def _note_use(self, req, state, now):
        """Record a use of a model; return whether it was loaded before."""
        server = state.server
        key = (
            server.id,
            server.residency.process_start_ms,
            req.model,
            req.adapter,
        )
        first_at, last_at = self._uses.get(key, (now, now))
        if now - last_at > UNUSED_S:
            first_at = now
        if len(self._uses) >= MAX_USES:
            self._uses.clear()
        self._uses[key] = (first_at, now)
        return now - first_at >= FIRST_USE_S

    def add(self, state, model, size, units, seconds):
        """Add work that a server has done.

        Args:
            state: ServerState of the server.
            model: Name of the model.
            size: Class of the prompt's size, 0 for events.
            units: Amount of work.
            seconds: Time that it took.
        """
        busy = state.load / state.server.slots
        key = (state.server.id, model, size, pace_baselines.band_of(busy))
        row = self._sums.get(key)
        if row is None:
            row = self._sums[key] = [0, 0.0, 0.0]
        row[0] += units
        row[1] += seconds
        row[2] += busy * seconds

    def take(self):
        """Remove and return the Observation objects by server id."""
        sums, self._sums = self._sums, {}
        found = {}
        for (server_id, model, size, band), row in sums.items():
            units, seconds, busy_s = row
            if seconds > 0.0:
                found.setdefault(server_id, []).append(
                    server_capacity.Observation(
                        model, size, band, units, seconds, busy_s / seconds
                    )
                )
        return found

    async def watch_hold_ups(self):
        """Record until cancelled when this process did not run in time."""
        while True:
            due_at = anyio.current_time() + HOLD_UP_INTERVAL_S
            await anyio.sleep_until(due_at)
            now = anyio.current_time()
            if now - due_at > HOLD_UP_S:
                self.held_up_at = now
