"""Forwards event streams and resumes them at other servers."""

import contextlib

import anyio
from wagtailtide_core.retries import fate

from wagtailtide_gateway.http import outgoing
from wagtailtide_gateway.http import responder
from wagtailtide_gateway.serving import attempt as attempts
from wagtailtide_gateway.serving import events
from wagtailtide_gateway.serving import job as jobs

# Reason of an attempt whose response has something else among its events, such
# as an error.
NO_EVENT = 'stream has bytes that are no event'


class Relay:
    """The response to one stream request, over one or more servers.

    Args:
        job: The Job of the request.
        out: Its Responder.
        reserve_retry: Function that returns whether another server is free
            to resume the stream and the retry budget allows it. If so, the
            retry has been charged.
        record_begun: Function that is called with the job when its stream
            begins.
        record_events: Function that is called with the seconds since a
            server's first event when it has sent events.

    Attributes:
        has_reserved_retry: Whether the next retry has been charged already.
    """

    def __init__(self, job, out, reserve_retry, record_begun, record_events):
        self._job = job
        self._out = out
        self._reserve_retry = reserve_retry
        self._record_begun = record_begun
        self._record_events = record_events
        self._first_event_at = None
        # Time in seconds at which a stream without a further event stalls.
        self._stall_check_at = float('inf')
        self.has_reserved_retry = False
        self._splitter = events.EventSplitter(job.req.resume_after)
        self._weights_version = None

    @property
    def started(self):
        """Whether a part of the response was sent to the caller."""
        return self._out.state is not responder.ResponseState.UNSENT

    @property
    def weights_version(self):
        """Weights version of the started response, or None.

        A server that resumes the stream has to use the same version.
        """
        return self._weights_version if self.started else None

    @property
    def resume_after(self):
        """Id of the event after which another server has to resume."""
        return self._splitter.last_id

    async def run(self, attempt, head):
        """Forward the events of one server.

        Args:
            attempt: The Attempt at the server.
            head: Its ResponseHead.

        Returns:
            None if the stream is complete, else the reason why it broke.

        Raises:
            CallerDisconnected: The caller closed its connection.
        """
        if not self.started:
            self._weights_version = head.weights_version
            self._out.start(head.status, head.headers)
        events_before = self._splitter.count
        self._first_event_at = None
        self._postpone_stall_check(attempts.STREAM_STALL_TIMEOUT_S)
        reason = await self._forward_all(attempt)
        if reason is not None:
            # Discard the event that the server did not complete.
            self._take_partial(attempt)
            return reason
        partial = self._take_partial(attempt)
        if partial.strip():
            return 'stream ended inside an event'
        if attempt.framing is outgoing.Framing.CLOSE:
            if self._splitter.count == events_before:
                return 'stream ended with its connection before an event'
            if await attempt.was_cut_by_crash():
                return attempts.CUT_BY_CRASH
        if partial and self._job.route.may_resume:
            await self._out.send(partial)
        await attempt.keep_connection()
        await self._out.finish()
        return None

    async def _forward_all(self, attempt):
        """Forward what a server sends; return why it broke off, or None."""
        while True:
            try:
                data = await self._read_chunk(attempt)
            except outgoing.ConnectionBroken as exc:
                return str(exc)
            if data is None:
                return None
            await self._forward(attempt, data)
            if self._splitter.is_broken and self._job.route.may_resume:
                return NO_EVENT

    async def _forward(self, attempt, data):
        """Send received bytes to the caller.

        Of a stream that may be resumed, only complete events are sent.
        """
        complete_events = self._splitter.feed(data)
        if complete_events:
            self._note_events()
        if self._job.route.may_resume:
            data = complete_events
        if not data:
            return
        if self._job.first_byte_at is None:
            self._job.first_byte_at = anyio.current_time()
            self._job.software_version = attempt.software_version
            self._record_begun(self._job)
        await self._out.send(data)
        if complete_events:
            if self._job.tracker is not None:
                self._job.tracker.note_written(anyio.current_time())
            # Not earlier: a caller that reads slowly delays the next read.
            self._postpone_stall_check(attempts.STREAM_STALL_TIMEOUT_S)

    def _postpone_stall_check(self, delay_s):
        self._stall_check_at = anyio.current_time() + delay_s

    def _note_events(self):
        now = anyio.current_time()
        if self._first_event_at is None:
            self._first_event_at = now
        if self._job.tracker is not None:
            self._job.tracker.note_events(self._splitter.count, now)
        self._record_events(now - self._first_event_at)

    def _take_partial(self, attempt):
        """Return the bytes after the last event; note where it ended."""
        partial = self._splitter.take_partial()
        self._job.stream_end = jobs.StreamEnd(
            attempt.framing, self._splitter.count, len(partial)
        )
        return partial

    async def _read_chunk(self, attempt):
        """Return the next bytes of a stream, None at its end.

        A server that completes no event is given up only for another one,
        because it may go on and the response would end with it. Bytes without
        an event do not show that it goes on.

        Raises:
            ConnectionBroken: The stream ended early, or it stalled and is to
                be resumed at another server.
        """
        if not self._job.may_retry():
            return await attempt.read_chunk(None)
        while True:
            timeout_s = self._stall_check_at - anyio.current_time()
            if timeout_s > 0:
                with contextlib.suppress(TimeoutError):
                    return await attempt.read_chunk(timeout_s)
            self._postpone_stall_check(attempts.STALL_RECHECK_INTERVAL_S)
            if self._reserve_retry():
                self.has_reserved_retry = True
                raise outgoing.ConnectionBroken(
                    f'stream stalled for {attempts.STREAM_STALL_TIMEOUT_S} s '
                    'or longer',
                    fate.Progress.RESPONDING,
                )
