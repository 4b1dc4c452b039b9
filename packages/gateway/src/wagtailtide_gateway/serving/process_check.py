"""Whether a server's process lived on to the end of a response.

A response without a length or chunks ends with its connection, and so do the
connections of a process that crashes. Its address then refuses connections
for some seconds. If the end may have been read later than that, only the list
of servers tells whether the process is still the same.
"""

import logging

import anyio

LOG = logging.getLogger(__name__)

# After this many seconds without a byte, a server may have crashed and be back
# already: this instance stood still, or the link to the server was cut.
MAX_SILENCE_S = 1.0

# Longest wait in seconds for a list of servers. Without one, the response is
# not taken for whole.
LIST_TIMEOUT_S = 1.0


class ProcessCheck:
    """Finds out which processes of servers are running.

    Args:
        servers: ServerView of the instance.
        read_list: Coroutine function that waits for a list of servers that is
            newer than its call; the read may fail.
        clock: Function that returns seconds, time in suspend included.
    """

    def __init__(self, servers, read_list, clock):
        self._servers = servers
        self._read_list = read_list
        self.clock = clock

    def watch(self, state):
        """Return the ResponseWatch of a request that is sent to a server."""
        return ResponseWatch(self, state.server)

    async def is_listed(self, server):
        """Return whether the process of a server is in a list that is read.

        Args:
            server: BackendServer of the process.
        """
        asked_at = anyio.current_time()
        with anyio.move_on_after(LIST_TIMEOUT_S):
            await self._read_list()
        now = anyio.current_time()
        is_new = self._servers.age_s(now) <= now - asked_at
        state = self._servers.states.get(server.id)
        listed_ms = state and state.server.residency.process_start_ms
        is_listed = is_new and (
            listed_ms == server.residency.process_start_ms
            and state.missing_since is None
        )
        LOG.info(
            'process of an ended response looked up',
            extra={
                'server': server.id,
                'process_start_ms': server.residency.process_start_ms,
                'listed_ms': listed_ms,
                'list_read': is_new,
                'same': is_listed,
            },
        )
        return is_listed


class ResponseWatch:
    """The times at which the bytes of one response arrived.

    Args:
        check: The ProcessCheck.
        server: BackendServer that the request is sent to.

    Attributes:
        was_silent: Whether no byte came for MAX_SILENCE_S.
    """

    def __init__(self, check, server):
        self._check = check
        self._server = server
        self._last_at = check.clock()
        self.was_silent = False

    def note_bytes(self):
        """Record that bytes or the end of the response arrived."""
        now = self._check.clock()
        if now - self._last_at > MAX_SILENCE_S:
            self.was_silent = True
        self._last_at = now

    async def has_lived_on(self):
        """Return whether the process is known to be still the same."""
        return await self._check.is_listed(self._server)
