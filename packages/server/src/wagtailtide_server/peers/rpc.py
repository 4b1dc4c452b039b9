"""Calls between instances, over links or connections opened on demand."""

import logging

import anyio

from wagtailtide_server.peers import frames
from wagtailtide_server.peers import link as links
from wagtailtide_server.peers import listener

LOG = logging.getLogger(__name__)

MAX_ON_DEMAND_CONNECTIONS = 32
IDLE_TIMEOUT_S = 60.0
MAX_CONCURRENT_CALLS = 64


class CallFailed(Exception):
    """A call got no successful reply.

    Attributes:
        may_have_run: Whether the peer may have carried it out.
    """

    def __init__(self, message, may_have_run):
        super().__init__(message)
        self.may_have_run = may_have_run


class CallRefused(Exception):
    """A handler did not carry out a call; the message is the reason."""


class Peers:
    """Connections to peers, and calls over them.

    Attributes:
        endpoint: Opens and accepts connections.
    """

    def __init__(self, endpoint, find_member, callbacks, tasks):
        """Create it.

        Args:
            endpoint: listener.Endpoint.
            find_member: Function that returns the Member of a name, or None.
            callbacks: Object with ``on_link(link)``, ``on_link_closed(link)``,
                ``on_frame(link, frame)``, ``on_pong(link, pong, sent_at)``
                and ``make_pong(n)``.
            tasks: Object whose ``start_soon`` starts tasks for connections
                and calls.
        """
        self.endpoint = endpoint
        self._find_member = find_member
        self._callbacks = callbacks
        self._tasks = tasks
        self._handlers = {}
        self._links = {}
        self._on_demand = {}
        self._accepted_for_calls = set()
        self._pending_connections = {}
        self._call_limiter = anyio.CapacityLimiter(MAX_CONCURRENT_CALLS)

    def register(self, op, handler):
        """Register the handler of an operation.

        Args:
            op: Name of the operation.
            handler: Coroutine function that is called with the caller's name
                and the body, and returns the body of the reply. It raises
                CallRefused if it does not carry out the call.
        """
        self._handlers[op] = handler

    def linked_names(self):
        """Return the names of the peers with a usable link."""
        now = anyio.current_time()
        return {
            name
            for name, open_links in self._links.items()
            if any(link.is_usable(now) for link in open_links)
        }

    def open_links(self, name=None):
        """Return the open links to a peer, or to all."""
        chosen = [name] if name is not None else list(self._links)
        return [link for n in chosen for link in self._links.get(n, ())]

    def most_recent_link(self, name):
        """Return the usable link with the latest frame of a peer, or None."""
        now = anyio.current_time()
        usable = [x for x in self._links.get(name, ()) if x.is_usable(now)]
        return max(usable, key=lambda x: x.health.last_frame_at, default=None)

    async def call(self, name, op, body, timeout_s):
        """Call an operation of a peer.

        Args:
            name: Name of the peer.
            op: Name of the operation.
            body: Value of basic CBOR types.
            timeout_s: Time allowed in seconds.

        Returns:
            The body of the reply.

        Raises:
            CallFailed: If there is no reply, or the peer refused the call.
        """
        deadline = anyio.current_time() + timeout_s
        link = self.most_recent_link(name)
        if link is None:
            link = await self._on_demand_connection(name, timeout_s)
        try:
            remaining_s = deadline - anyio.current_time()
            reply = await link.call(op, body, remaining_s)
        except links.LinkClosed as exc:
            raise CallFailed(f'{name} is not reachable', False) from exc
        if reply is None:
            if not link.sends_heartbeats:
                # Without heartbeats it cannot be told from a dead connection;
                # the next call opens a new one.
                link.close()
            raise CallFailed(f'no reply from {name} to {op} in time', True)
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
        is_link = link.sends_heartbeats
        if not is_link and not link.opened_here:
            self._accepted_for_calls.add(link)
        if is_link:
            self._links.setdefault(link.name, []).append(link)
            self._callbacks.on_link(link)
        try:
            await link.run(
                self._handle_frame,
                self._callbacks.on_pong,
                self._callbacks.make_pong,
            )
        finally:
            self._accepted_for_calls.discard(link)
            if is_link:
                self._links[link.name].remove(link)
                if not self._links[link.name]:
                    del self._links[link.name]
                self._callbacks.on_link_closed(link)

    def close_idle(self):
        """Close idle connections that were opened for calls."""
        now = anyio.current_time()
        for link in list(self._on_demand.values()):
            if now - link.last_used_at >= IDLE_TIMEOUT_S:
                link.close()
        for link in list(self._accepted_for_calls):
            # The side that opened it closes it earlier, unless it has failed.
            if now - link.last_used_at >= 2 * IDLE_TIMEOUT_S:
                link.close()

    def _handle_frame(self, link, frame):
        if isinstance(frame, frames.Call):
            self._tasks.start_soon(self._serve_call, link, frame)
        else:
            self._callbacks.on_frame(link, frame)

    async def _serve_call(self, link, call):
        handler = self._handlers.get(call.op)
        try:
            if handler is None:
                raise CallRefused(f'unknown operation {call.op}')
            async with self._call_limiter:
                body = await handler(link.name, call.body)
            reply = frames.Reply(call.id, True, body)
        except CallRefused as exc:
            reply = frames.Reply(call.id, False, str(exc))
        except Exception:
            # An error in one handler must not end the connection or the
            # instance; without a reply, the caller treats the outcome as
            # unknown.
            LOG.exception('call failed', extra={'op': call.op})
            return
        try:
            link.send(reply)
        except (links.LinkClosed, frames.FrameError) as exc:
            LOG.info('reply not sent', extra={'op': call.op, 'error': exc})

    async def _on_demand_connection(self, name, timeout_s):
        existing = self._on_demand.get(name)
        if existing is not None and not existing.closed.is_set():
            return existing
        pending = self._pending_connections.get(name)
        if pending is None:
            pending = _PendingConnection()
            self._pending_connections[name] = pending
            self._tasks.start_soon(self._open_on_demand, name, pending)
        with anyio.move_on_after(timeout_s):
            await pending.done.wait()
        if pending.link is None:
            raise CallFailed(f'{name} is not reachable', False)
        return pending.link

    async def _open_on_demand(self, name, pending):
        async def serve(link):
            pending.link = link
            pending.done.set()
            self._pending_connections.pop(name, None)
            self._add_on_demand(name, link)
            try:
                await self.serve(link)
            finally:
                if self._on_demand.get(name) is link:
                    del self._on_demand[name]

        try:
            member = self._find_member(name)
            if member is not None:
                await self.endpoint.open(member.address, 'call', serve, name)
        except listener.OpenFailed as exc:
            LOG.info('peer not reachable', extra={'error': str(exc)})
        finally:
            self._pending_connections.pop(name, None)
            pending.done.set()

    def _add_on_demand(self, name, link):
        if len(self._on_demand) >= MAX_ON_DEMAND_CONNECTIONS:
            oldest = min(
                self._on_demand.values(), key=lambda x: x.last_used_at
            )
            oldest.close()
            self._on_demand.pop(oldest.name, None)
        self._on_demand[name] = link


class _PendingConnection:
    def __init__(self):
        self.done = anyio.Event()
        self.link = None
