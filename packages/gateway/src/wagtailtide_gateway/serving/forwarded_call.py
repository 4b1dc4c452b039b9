"""One request to a backend server through another instance."""

import anyio
from wagtailtide_core.retries import fate

from wagtailtide_gateway.http import outgoing
from wagtailtide_gateway.serving import forward_messages
from wagtailtide_gateway.serving import server_call

_PROGRESS = {
    forward_messages.Refusal.NOT_SENT: fate.Progress.CONNECTING,
    forward_messages.Refusal.UNREACHABLE: fate.Progress.CONNECTING,
    forward_messages.Refusal.BROKEN: fate.Progress.SENDING,
}


class ForwardedCall:
    """A request that a peer forwards to a server; used as a ServerCall.

    Args:
        backend_port: The BackendPort.
        pool: ConnectionPool of servers and instances.
        state: ServerState of the server.
        directory: PeerDirectory of the instance.
        peer: The Peer that forwards.
        sender: Name of this instance.
        job: The Job of the request.

    Attributes:
        framing: Framing of the server's response, None without one.
        peer: Name of the instance that forwards the request.
    """

    def __init__(
        self, backend_port, pool, state, directory, peer, sender, job
    ):
        self._backend_port = backend_port
        self._pool = pool
        self._state = state
        self._directory = directory
        self._peer = peer
        self._sender = sender
        self._job = job
        self._send_limit_at = job.send_limit_at()
        self._conn = None
        self._is_open = False
        self.framing = None
        self.peer = peer.instance

    async def connect(self, request):
        """Acquire a connection to the peer.

        Args:
            request: The ServerRequest that it is for. Its longest idle time
                is for a connection of the peer; connections between instances
                may be older.

        Raises:
            ConnectionBroken: No connection could be established.
            DeadlinePassed: The caller's deadline passed in the meantime.
            ZoneEvacuated: The server's zone was evacuated in the meantime.
        """
        del request
        self._directory.record_start(self._peer)
        self._is_open = True
        try:
            self._conn = await self._pool.acquire(self._peer.address)
        except outgoing.ConnectionBroken:
            self._note_failed_peer()
            raise
        if anyio.current_time() >= self._send_limit_at:
            await self.keep_connection()
            raise server_call.DeadlinePassed()
        if not self._state.is_contactable:
            await self.keep_connection()
            raise server_call.ZoneEvacuated(self._state.server.zone)

    async def send(self, request):
        """Send a ServerRequest and return the head of its response.

        Returns:
            The raw Head and the ResponseHead that it decodes to.

        Raises:
            ConnectionBroken: There is no response of the server.
        """
        body = forward_messages.encode_request(
            forward_messages.ForwardRequest(
                sender=self._sender,
                server_id=self._state.server.id,
                process_start_ms=self._state.server.residency.process_start_ms,
                request=request,
                fingerprint=self._job.fingerprint,
                part_fingerprints=self._job.part_fingerprints,
            )
        )
        headers = [(b'Host', str(self._peer.address).encode())]
        sent_at = anyio.current_time()
        try:
            head = await self._conn.request(
                b'POST', forward_messages.FORWARD_TARGET, headers, body
            )
        except outgoing.ConnectionBroken:
            self._note_failed_peer()
            raise
        own = dict(head.headers)
        if forward_messages.FRAMING_HEADER not in own:
            await self._raise_refusal(own)
        self.framing = outgoing.Framing(
            own[forward_messages.FRAMING_HEADER].decode()
        )
        head = outgoing.Head(
            head.status,
            tuple(
                (name, value)
                for name, value in head.headers
                if name != forward_messages.FRAMING_HEADER
            ),
        )
        response = self._backend_port.decode_response_head(
            head.status, head.headers
        )
        server_call.record_statements(
            self._state, response, request.attempt_id, sent_at
        )
        return head, response

    async def _raise_refusal(self, headers):
        text = headers.get(forward_messages.REFUSAL_HEADER, b'').decode()
        try:
            refusal = forward_messages.Refusal(text)
        except ValueError:
            # An instance of another version does not forward.
            refusal = forward_messages.Refusal.NOT_SENT
            self._note_failed_peer()
        reason = await self._conn.read_body(outgoing.MAX_REASON_BYTES)
        await self.keep_connection()
        now = anyio.current_time()
        if refusal is forward_messages.Refusal.UNREACHABLE:
            self._directory.record_lost(self._state.server.id, now)
        elif refusal is forward_messages.Refusal.NOT_SENT:
            self._note_failed_peer()
        raise outgoing.ConnectionBroken(
            f'not forwarded by {self.peer}: {reason.decode(errors="replace")}',
            _PROGRESS[refusal],
        )

    def _note_failed_peer(self):
        self._directory.record_failed(self._peer, anyio.current_time())

    async def read_data(self):
        """Return the next bytes of the body, None after the last.

        Raises:
            ConnectionBroken: The connection failed before the body's end.
        """
        return await self._conn.read_data()

    async def read_body(self, max_bytes):
        """Return the complete body; raises as Connection.read_body."""
        return await self._conn.read_body(max_bytes)

    async def was_cut_by_crash(self):
        """Return False: the peer ends no response that may lack its end."""
        return False

    async def keep_connection(self):
        """Return the connection to the pool after a complete response."""
        conn, self._conn = self._conn, None
        if conn is not None:
            await self._pool.release(conn)

    async def close(self):
        """Close the connection unless it was returned to the pool.

        The peer then cancels the request at the server.
        """
        if self._is_open:
            self._is_open = False
            self._directory.record_end(self._peer)
        conn, self._conn = self._conn, None
        if conn is not None:
            await conn.close()
