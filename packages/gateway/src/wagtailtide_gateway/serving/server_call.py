"""One request on a connection of this instance to a backend server."""

import dataclasses
import math

import anyio
import anyio.lowlevel
from wagtailtide_core.retries import fate

from wagtailtide_gateway.control import cold_servers
from wagtailtide_gateway.control import server_limits as limits
from wagtailtide_gateway.decisions import brittle_servers
from wagtailtide_gateway.decisions import server_limits
from wagtailtide_gateway.http import outgoing


@dataclasses.dataclass(frozen=True, slots=True)
class ServerRequest:
    """A request as it is sent to a server.

    Attributes:
        attempt_id: Id of the caller's attempt.
        method: HTTP method.
        target: Path and query.
        headers: Raw names and values.
        body: The whole body.
        max_idle_s: Longest idle time in seconds of a connection that it may
            be sent on.
    """

    attempt_id: str
    method: bytes
    target: bytes
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    max_idle_s: float


# Reason of an attempt that was dropped as its server became cold.
BECAME_COLD = 'the server has just started and needs a permit'


# Reason of an attempt that ended because nobody waits for its response.
DEADLINE_PASSED = 'caller disconnected or deadline passed'


class NotSent(Exception):
    """The server wants no requests any more; nothing was sent."""


class DeadlinePassed(NotSent):
    """The caller's deadline passed in the meantime; nothing was sent."""

    def __init__(self):
        super().__init__(DEADLINE_PASSED)


class ZoneEvacuated(NotSent):
    """The server's zone was evacuated in the meantime; nothing was sent."""

    def __init__(self, zone):
        super().__init__(f'the zone {zone} was evacuated')


class ServerCall:
    """A request to a server and its response.

    Args:
        backend_port: The BackendPort.
        pool: ConnectionPool of the backend servers.
        state: ServerState of the server.
        reachability: Reachability of the servers.
        check: The ProcessCheck.
        send_limit_at: Time in seconds after which nothing is sent, because
            the caller has given up.

    Attributes:
        framing: Framing of the server's response, None without one.
        peer: Name of the instance that forwards the request, here None.
    """

    peer = None

    def __init__(
        self,
        backend_port,
        pool,
        state,
        reachability,
        check,
        send_limit_at=math.inf,
    ):
        self._check = check
        self._watch = None
        self._send_limit_at = send_limit_at
        self._backend_port = backend_port
        self._pool = pool
        self._state = state
        self._reachability = reachability
        self._conn = None
        self._is_open = False
        self.framing = None

    async def connect(self, request):
        """Acquire a connection.

        Args:
            request: The ServerRequest that it is for.

        Raises:
            ConnectionBroken: No connection could be established.
            NotSent: The server asked for a pause in the meantime, or has
                become cold.
            DeadlinePassed: The caller's deadline passed in the meantime.
            ZoneEvacuated: Its zone was evacuated in the meantime.
        """
        started_at = anyio.current_time()
        self._reachability.record_request_start(started_at)
        self._is_open = True
        self._conn = await self._acquire(request)
        # A disconnect of the caller that came while this process was held up
        # is noticed first.
        await anyio.lowlevel.checkpoint()
        if anyio.current_time() >= self._send_limit_at:
            await self.keep_connection()
            raise DeadlinePassed()
        if not self._state.is_contactable:
            await self.keep_connection()
            raise ZoneEvacuated(self._state.server.zone)
        if self._state.pauses(anyio.current_time()):
            await self.keep_connection()
            raise NotSent('the server asked for a pause')
        if self._state.limit.cold.began_since(
            started_at, anyio.current_time()
        ):
            await self.keep_connection()
            raise NotSent(BECAME_COLD)

    async def _acquire(self, request):
        """Return a connection on which the request was not refused before.

        A server may write that refusal once more, and nothing would tell it
        from a new one.
        """
        address = self._state.server.address
        while True:
            conn = await self._pool.acquire(address, request.max_idle_s)
            if request.attempt_id not in conn.refused:
                return conn
            await conn.close()

    async def send(self, request):
        """Send a ServerRequest and return the head of its response.

        Returns:
            The raw Head and the ResponseHead that it decodes to.

        Raises:
            ConnectionBroken: No response head was received, or one that may
                belong to another request.
        """
        sent_at = anyio.current_time()
        self._watch = self._check.watch(self._state)
        head = await self._conn.request(
            request.method, request.target, request.headers, request.body
        )
        self._note_bytes()
        response = self._decode(head)
        for _ in range(outgoing.MAX_STRAY_RESPONSES):
            if response.attempt_id in (None, request.attempt_id):
                break
            # A late response to an earlier request; this request's response
            # follows it.
            head = await self._conn.skip_response(outgoing.MAX_LATE_BYTES)
            response = self._decode(head)
        if response.not_run:
            self._note_refusal(request, response)
        self.framing = head.framing
        record_statements(self._state, response, request.attempt_id, sent_at)
        return head, response

    def _note_refusal(self, request, response):
        """Note that the request was refused, as a response states.

        Raises:
            ConnectionBroken: The response may be an earlier refusal, and the
                request may run.
        """
        if response.attempt_id is None and self._conn.reused:
            raise outgoing.ConnectionBroken(
                f'expected the id of the request in a refusal of '
                f'{self._conn.address} on a connection that was in use '
                'before, got none',
                fate.Progress.RESPONDING,
            )
        self._conn.refused.add(request.attempt_id)

    def _decode(self, head):
        return self._backend_port.decode_response_head(
            head.status, head.headers
        )

    async def read_data(self):
        """Return the next bytes of the body, None after the last.

        Raises:
            ConnectionBroken: The connection failed before the body's end.
        """
        data = await self._conn.read_data()
        self._note_bytes()
        return data

    def _note_bytes(self):
        self._watch.note_bytes()
        self._reachability.record_bytes(anyio.current_time())

    async def read_body(self, max_bytes):
        """Return the complete body; raises as Connection.read_body."""
        return await self._conn.read_body(max_bytes)

    async def was_cut_by_crash(self):
        """Return whether a received response may lack its end.

        A response without a length or chunks ends with its connection, and
        the connections of a server that crashed end as well.
        """
        if self.framing is not outgoing.Framing.CLOSE:
            return False
        accepts = await self._pool.accepts(self._state.server.address)
        if accepts is False:
            return True
        if accepts and not self._watch.was_silent:
            return False
        # It may have crashed some time ago, and be back.
        return not await self._watch.has_lived_on()

    async def keep_connection(self):
        """Return the connection to the pool after a complete response."""
        conn, self._conn = self._conn, None
        if conn is not None:
            await self._pool.release(conn)

    async def close(self):
        """Close the connection unless it was returned to the pool.

        A server cancels a request whose connection is closed.
        """
        if self._is_open:
            self._is_open = False
            self._reachability.record_request_end()
        conn, self._conn = self._conn, None
        if conn is not None:
            await conn.close()


def record_statements(state, response, attempt_id, sent_at):
    """Record what a server states of itself.

    A misdirected response may be that of another server.

    Args:
        state: ServerState of the server.
        response: Its ResponseHead.
        attempt_id: Id of the attempt that it responds to.
        sent_at: Time in seconds at which the request was sent.
    """
    if response.misdirected:
        return
    if response.states_leaving:
        state.note_leaving(attempt_id)
    if response.stated_pause_s is not None:
        state.note_pause(
            response.stated_pause_s,
            attempt_id,
            sent_at,
            anyio.current_time(),
        )
    cold_servers.record_response(
        state,
        response.cold_remaining_s,
        attempt_id,
        anyio.current_time(),
    )
    _record_limit(state, response, attempt_id)
    _record_brittleness(state, response, attempt_id)


def _record_brittleness(state, response, attempt_id):
    """Record whether a server falls over when it rejects too much.

    As with limits, only a signed response shows that it no longer does.
    """
    if response.attempt_id != attempt_id:
        return
    now, limit = anyio.current_time(), state.limit.brittle
    if response.tolerated_rejections is not None or response.signed:
        statement = brittle_servers.Statement(
            response.tolerated_rejections, now
        )
        limit.update(statement, attempt_id)
    has_no_room = response.not_run and response.stated_pause_s is None
    if has_no_room and limit.per_s is not None:
        limit.note_rejected(now)


def _record_limit(state, response, attempt_id):
    """Record the limit that a server states for all instances.

    Only a signed response shows that a server has lifted its limit; other
    responses may lack the statement for another reason.
    """
    if response.attempt_id != attempt_id:
        return
    if response.stated_limit_per_s is None and not response.signed:
        return
    statement = server_limits.Statement(
        response.stated_limit_per_s, anyio.current_time()
    )
    limits.record_statement(state, statement, attempt_id)
