"""Passes the events of a stream on, over one or more servers."""

import anyio

from wagtailtide_gateway.http import outgoing
from wagtailtide_gateway.serving import attempt as attempts
from wagtailtide_gateway.serving import events


class Relay:
    """The answer to a stream request as its caller receives it.

    Attributes:
        started: Whether the head was passed on.
        weights_version: Version that the first server stated, or None.
    """

    def __init__(self, job, out):
        self._job = job
        self._out = out
        self._events = events.EventSplitter(job.req.resume_after)
        self.started = False
        self.weights_version = None

    @property
    def resume_after(self):
        """Identifier after which another server has to go on."""
        return self._events.last_id

    async def run(self, attempt, head):
        """Pass a server's events on.

        Returns:
            None when the stream is whole, else why it broke.
        """
        if not self.started:
            self.started = True
            self.weights_version = head.weights_version
            self._out.start(head.status, head.headers)
        may_resume = self._job.route.may_resume
        patience_s = None
        if self._job.may_run_again():
            patience_s = attempts.STREAM_PATIENCE_S
        while True:
            try:
                data = await attempt.read_part(patience_s)
            except outgoing.ConnectionBroken as exc:
                # Bytes of an event that the server did not finish.
                self._events.take_rest()
                return str(exc)
            if data is None:
                break
            if may_resume:
                data = self._events.feed(data)
            if data:
                if self._job.first_at is None:
                    self._job.first_at = anyio.current_time()
                await self._out.send(data)
        rest = self._events.take_rest()
        if rest:
            await self._out.send(rest)
        await attempt.finish()
        await self._out.finish()
        return None
