"""Attributes crashes of backend servers to the requests in them."""

import logging

LOG = logging.getLogger(__name__)


class CrashDetector:
    """Tells crashed servers from broken connections and lost paths.

    Args:
        pool: ConnectionPool of the backend servers.
        prober: ServerProber of the instance.
        shared_state: The SharedState of the instance.
    """

    def __init__(self, pool, prober, shared_state):
        self._pool = pool
        self._prober = prober
        self._shared_state = shared_state

    async def check_broken(self, state):
        """Check whether a server whose connection broke has crashed.

        A failing server is chosen less often, so a later request might never
        find out that it crashed. The crash has to be attributed to the
        requests that were running in it.

        Args:
            state: ServerState of the server.
        """
        if await self._pool.is_refused(state.server.address):
            await self.check_unreachable(state, 'refused after a break')

    async def check_unreachable(self, state, reason):
        """Check whether a server that accepted no connection has crashed.

        If no other server accepts connections either, the path to the servers
        is lost.

        Args:
            state: ServerState of the server.
            reason: What happened, for the log.
        """
        await self._prober.record_failed(state, reason)
        if not await self._prober.finds_path():
            return
        server_id = state.server.id
        count = self._shared_state.attribute_crash(
            server_id, state.server.residency.process_start_ms
        )
        if count:
            LOG.info(
                'server crashed',
                extra={'server': server_id, 'suspects': count},
            )
