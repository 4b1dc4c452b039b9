"""Calls between instances, over links or connections opened on demand."""

import logging

import anyio

from wagtailtide_server.peers import frames
from wagtailtide_server.peers import link as links
from wagtailtide_server.peers import listener

LOG = logging.getLogger(__name__)

MAX_ON_DEMAND = 32
IDLE_S = 60.0
MAX_CALLS_SERVED = 64


class CallFailed(Exception):
    """A call without a usable reply.

    Attributes:
        sent: Whether the peer may have carried it out.
    """

    def __init__(self, message, sent):
        super().__init__(message)
        self.sent = sent


class Refusal(Exception):
    """Raised by a handler: the call was not carried out, with the reason."""


class Peers:
    """Connections to peers, and calls over them.

    Attributes:
        endpoint: Opens and accepts connections.
    """

    def __init__(self, endpoint, member_of, callbacks, tasks):
        """Create it.

        Args:
            endpoint: listener.Endpoint.
            member_of: Function from name to Member or None.
            callbacks: Object with ``on_link(link)``, ``on_link_closed(link)``,
                ``on_frame(link, frame)``, ``on_pong(link, pong, sent_at)``
                and ``pong(n)``.
            tasks: Task group for connections and calls.
        """
        self.endpoint = endpoint
        self._member_of = member_of
        self._callbacks = callbacks
        self._tasks = tasks
        self._handlers = {}
        self._links = {}
        self._on_demand = {}
        self._accepted = set()
        self._opening = {}
        self._serving = anyio.CapacityLimiter(MAX_CALLS_SERVED)

    def register(self, op, handler):
        """Register the handler of an operation.

        Args:
            op: Name of the operation.
            handler: Coroutine function from the caller's name and the body
                to the body of the reply. Raises Refusal.
        """
        self._handlers[op] = handler

    def names(self):
        """Return the names of the peers with a usable link."""
        now = anyio.current_time()
        return {
            name
            for name, found in self._links.items()
            if any(link.usable(now) for link in found)
        }

    def links_to(self, name=None):
        """Return the open links to a peer, or to all."""
        chosen = [name] if name is not None else list(self._links)
        return [link for n in chosen for link in self._links.get(n, ())]

    def link_to(self, name):
        """Return the usable link to a peer that was heard last, or None."""
        now = anyio.current_time()
        usable = [x for x in self._links.get(name, ()) if x.usable(now)]
        return max(usable, key=lambda x: x.health.heard_at, default=None)

    async def call(self, name, op, body, timeout_s):
        """Call an operation of a peer.

        Args:
            name: Name of the peer.
            op: Name of the operation.
            body: Plain CBOR value.
            timeout_s: Time allowed in seconds.

        Returns:
            The body of the reply.

        Raises:
            CallFailed: If there is no reply, or the peer refused.
        """
        deadline = anyio.current_time() + timeout_s
        link = self.link_to(name)
        if link is None:
            link = await self._connection_to(name, timeout_s)
        try:
            left_s = deadline - anyio.current_time()
            reply = await link.call(op, body, left_s)
        except links.LinkClosed as exc:
            raise CallFailed(f'{name} is not reachable', False) from exc
        if reply is None:
            if not link.heartbeats:
                # It may have gone silent for good; the next call opens a
                # new one.
                link.close()
            raise CallFailed(f'no reply of {name} to {op}', True)
        if not reply.ok:
            raise CallFailed(f'{name} refused {op}: {reply.body}', False)
        return reply.body

    async def open_link(self, address, expected=None):
        """Open a link and serve it until it ends.

        Raises:
            OpenFailed: If it cannot be established.
        """
        await self.endpoint.open(address, 'link', self.serve, expected)

    async def serve(self, link):
        """Serve a connection until it ends."""
        is_link = link.heartbeats
        if not is_link and not link.opened_here:
            self._accepted.add(link)
        if is_link:
            self._links.setdefault(link.name, []).append(link)
            self._callbacks.on_link(link)
        try:
            await link.run(
                self._handle, self._callbacks.on_pong, self._callbacks.pong
            )
        finally:
            self._accepted.discard(link)
            if is_link:
                self._links[link.name].remove(link)
                if not self._links[link.name]:
                    del self._links[link.name]
                self._callbacks.on_link_closed(link)

    def close_idle(self):
        """Close connections for calls that nobody uses."""
        now = anyio.current_time()
        for link in list(self._on_demand.values()):
            if now - link.used_at >= IDLE_S:
                link.close()
        for link in list(self._accepted):
            # The other side closes it earlier, unless it is gone.
            if now - link.used_at >= 2 * IDLE_S:
                link.close()

    def _handle(self, link, frame):
        if isinstance(frame, frames.Call):
            self._tasks.start_soon(self._serve_call, link, frame)
        else:
            self._callbacks.on_frame(link, frame)

    async def _serve_call(self, link, call):
        handler = self._handlers.get(call.op)
        try:
            if handler is None:
                raise Refusal(f'unknown operation {call.op}')
            async with self._serving:
                body = await handler(link.name, call.body)
            reply = frames.Reply(call.id, True, body)
        except Refusal as exc:
            reply = frames.Reply(call.id, False, str(exc))
        except Exception:
            # A fault in one handler must not end the connection or the
            # instance; the caller learns that the fate is unknown.
            LOG.exception('call failed', extra={'op': call.op})
            return
        try:
            link.send(reply)
        except (links.LinkClosed, frames.FrameError) as exc:
            LOG.info('reply not sent', extra={'op': call.op, 'error': exc})

    async def _connection_to(self, name, timeout_s):
        found = self._on_demand.get(name)
        if found is not None and not found.closed.is_set():
            return found
        opening = self._opening.get(name)
        if opening is None:
            opening = _Opening()
            self._opening[name] = opening
            self._tasks.start_soon(self._open_on_demand, name, opening)
        with anyio.move_on_after(timeout_s):
            await opening.done.wait()
        if opening.link is None:
            raise CallFailed(f'{name} is not reachable', False)
        return opening.link

    async def _open_on_demand(self, name, opening):
        async def serve(link):
            opening.link = link
            opening.done.set()
            self._opening.pop(name, None)
            self._keep(name, link)
            try:
                await self.serve(link)
            finally:
                if self._on_demand.get(name) is link:
                    del self._on_demand[name]

        try:
            member = self._member_of(name)
            if member is not None:
                await self.endpoint.open(member.address, 'call', serve, name)
        except listener.OpenFailed as exc:
            LOG.info('peer not reachable', extra={'error': str(exc)})
        finally:
            self._opening.pop(name, None)
            opening.done.set()

    def _keep(self, name, link):
        if len(self._on_demand) >= MAX_ON_DEMAND:
            oldest = min(self._on_demand.values(), key=lambda x: x.used_at)
            oldest.close()
            self._on_demand.pop(oldest.name, None)
        self._on_demand[name] = link


class _Opening:
    def __init__(self):
        self.done = anyio.Event()
        self.link = None
