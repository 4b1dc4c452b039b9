"""Forwards requests of instances that cannot reach a backend server."""

import dataclasses
import logging

import anyio
from wagtailtide_core.retries import fate

from wagtailtide_gateway.control import fields
from wagtailtide_gateway.http import headers as http_headers
from wagtailtide_gateway.http import outgoing
from wagtailtide_gateway.http import responder
from wagtailtide_gateway.serving import attempt as attempts
from wagtailtide_gateway.serving import forward_messages
from wagtailtide_gateway.serving import server_call

LOG = logging.getLogger(__name__)

_UNAVAILABLE = 503


class _NotForwarded(Exception):
    """There is no response of the server.

    Attributes:
        refusal: The Refusal.
    """

    def __init__(self, refusal, message):
        super().__init__(message)
        self.refusal = refusal


@dataclasses.dataclass
class ForwardedJob:
    """What the quarantine needs to know of a forwarded request.

    Attributes:
        fingerprint: Hash that identifies repetitions of the same request.
        part_fingerprints: Hashes of the shared parts of its prompt.
        has_proved_parts: Whether its parts have proved to be sound.
    """

    fingerprint: str
    part_fingerprints: tuple[str, ...]
    has_proved_parts: bool = False


class ForwardingService:
    """Sends requests of other instances to servers and passes on responses.

    The other instance has admitted the request and chosen the server; it
    handles failures. This instance keeps what the server states to it.

    Args:
        backend_port: The BackendPort.
        pool: ConnectionPool of the backend servers.
        shared_state: The SharedState of the instance.
        quarantine: The Quarantine of the instance.
        crash_detector: CrashDetector of the instance.
        process_check: ProcessCheck of the instance.
        is_stopping: Function that returns whether the process is stopping.

    Attributes:
        open_count: Number of requests that are being forwarded.
    """

    def __init__(
        self,
        backend_port,
        pool,
        shared_state,
        quarantine,
        crash_detector,
        process_check,
        is_stopping,
    ):
        self._process_check = process_check
        self._backend_port = backend_port
        self._pool = pool
        self._servers = shared_state.servers
        self._quarantine = quarantine
        self._crash_detector = crash_detector
        self._is_stopping = is_stopping
        self.open_count = 0

    async def handle(self, request, out):
        """Handle a request of another instance.

        Args:
            request: The IncomingRequest.
            out: Its Responder.
        """
        self.open_count += 1
        try:
            forward = forward_messages.decode_request(request.body)
            await self._forward(forward, out)
        except fields.BadMessage as exc:
            LOG.warning('forwarding refused', extra={'reason': str(exc)})
            await out.respond(400, [], str(exc).encode())
        except responder.CallerDisconnected:
            pass  # The other instance does not need the response any more.
        finally:
            self.open_count -= 1

    async def _forward(self, forward, out):
        outcome, broken = 'cancelled', None
        try:
            state = self._find_server(forward)
            broken = await self._call(forward, state, out)
            if broken is not None:
                self._report_broken(broken, out)
            outcome = out.state.value
        except _NotForwarded as exc:
            outcome = exc.refusal.value
            name = forward_messages.REFUSAL_HEADER
            headers = [(name, exc.refusal.value.encode())]
            await out.respond(_UNAVAILABLE, headers, str(exc).encode())
        finally:
            LOG.info(
                'request forwarded',
                extra={
                    'request': forward.request.attempt_id,
                    'sender': forward.sender,
                    'server': forward.server_id,
                    'outcome': outcome,
                },
            )
        if broken is not None:
            await self._check_server(state, broken)

    async def _check_server(self, state, broken):
        if broken.progress is fate.Progress.CONNECTING:
            await self._crash_detector.check_unreachable(state, str(broken))
        else:
            await self._crash_detector.check_broken(state)

    def _find_server(self, forward):
        """Return the ServerState to use.

        Raises:
            _NotForwarded: This instance may not use the server.
        """
        state = self._servers.states.get(forward.server_id)
        if self._is_stopping():
            reason = 'stopping'
        elif state is None or (
            state.server.residency.process_start_ms != forward.process_start_ms
        ):
            reason = 'another process of the server is listed, or none'
        elif state.is_evacuated:
            # Not NOT_SENT: the sender would do without this instance for a
            # while, also for servers in other zones.
            raise _NotForwarded(
                forward_messages.Refusal.UNREACHABLE,
                'the zone of the server is evacuated',
            )
        elif not state.is_contactable:
            reason = 'it is not known which zones are evacuated'
        elif not state.accepts_requests:
            reason = 'the server leaves'
        elif state.pauses(anyio.current_time()):
            reason = 'the server pauses'
        elif self._servers.is_cut_off:
            reason = 'no server is reachable'
        elif self._servers.reachability.is_unreachable(forward.server_id):
            raise _NotForwarded(
                forward_messages.Refusal.UNREACHABLE,
                'the server is not reachable',
            )
        else:
            return state
        raise _NotForwarded(forward_messages.Refusal.NOT_SENT, reason)

    async def _call(self, forward, state, out):
        """Send a request and pass the response on.

        Returns:
            The ConnectionBroken if the connection to the server failed, else
            None.
        """
        call = server_call.ServerCall(
            self._backend_port,
            self._pool,
            state,
            self._servers.reachability,
            self._process_check,
        )
        job = ForwardedJob(forward.fingerprint, forward.part_fingerprints)
        broken_at = None
        self._quarantine.record_started(job, state.server.id)
        try:
            await self._exchange(forward.request, job, call, state, out)
        except server_call.ZoneEvacuated as exc:
            raise _NotForwarded(
                forward_messages.Refusal.UNREACHABLE, str(exc)
            ) from exc
        except server_call.NotSent as exc:
            raise _NotForwarded(
                forward_messages.Refusal.NOT_SENT, str(exc)
            ) from exc
        except outgoing.ConnectionBroken as exc:
            if exc.progress is not fate.Progress.CONNECTING:
                broken_at = anyio.current_time()
            return exc
        finally:
            self._quarantine.record_ended(job, state.server.id, broken_at)
            await call.close()
        return None

    async def _exchange(self, request, job, call, state, out):
        await call.connect(request)
        head, _ = await call.send(request)
        framing = (
            forward_messages.FRAMING_HEADER,
            call.framing.value.encode(),
        )
        headers = [
            (name, value)
            for name, value in head.headers
            if name.lower() not in http_headers.HOP_BY_HOP
        ]
        out.start(head.status, [*headers, framing])
        await out.flush()
        started_at = anyio.current_time()
        while (data := await call.read_data()) is not None:
            self._quarantine.record_events(
                job, state.server.id, anyio.current_time() - started_at
            )
            await out.send(data)
        if await call.was_cut_by_crash():
            raise outgoing.ConnectionBroken(
                attempts.CUT_BY_CRASH, fate.Progress.RESPONDING
            )
        await call.keep_connection()
        await out.finish()

    def _report_broken(self, broken, out):
        """Tell the other instance that the server broke the call off.

        Raises:
            _NotForwarded: The response has not begun.
        """
        if out.state is not responder.ResponseState.UNSENT:
            # It sees that the response is incomplete.
            out.abort()
        elif broken.progress is fate.Progress.CONNECTING:
            raise _NotForwarded(
                forward_messages.Refusal.UNREACHABLE, str(broken)
            )
        else:
            raise _NotForwarded(forward_messages.Refusal.BROKEN, str(broken))
