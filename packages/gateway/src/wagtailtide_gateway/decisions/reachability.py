"""Which backend servers an instance can connect to.

A failed connection tells that the server has crashed or that the path to it is
lost. If no server accepts connections any more, it is the path.
"""

# Silence of all servers, in seconds, after which it is checked whether they
# can be reached. Running engines send an event in less than half of it.
SILENCE_S = 0.5


class Reachability:
    """Servers that accepted no connection, and when any was heard.

    Attributes:
        connected_at: Time in seconds at which the last connection to a server
            was established.
    """

    def __init__(self):
        self._unreachable = {}
        self._open_requests = 0
        self._heard_at = float('-inf')
        self.connected_at = float('-inf')

    def record_request_start(self, now):
        """Record that a request is about to be sent to a server."""
        if not self._open_requests:
            self._heard_at = now
        self._open_requests += 1

    def record_request_end(self):
        """Record that a request is no longer in a server."""
        self._open_requests -= 1

    def record_bytes(self, now):
        """Record that bytes of a response arrived.

        They do not make a server reachable: open connections may live on while
        new ones fail.
        """
        self._heard_at = now

    def record_connected(self, server_id, now):
        """Record a new connection; return whether the server was unreachable.

        Args:
            server_id: Id of the server.
            now: Time in seconds.
        """
        self.connected_at = self._heard_at = now
        return self._unreachable.pop(server_id, None) is not None

    def record_failed(self, server_id, now):
        """Record that a server accepted no connection.

        Args:
            server_id: Id of the server.
            now: Time in seconds.

        Returns:
            Whether the server was reachable before.
        """
        is_new = server_id not in self._unreachable
        self._unreachable.setdefault(server_id, now)
        return is_new

    def is_unreachable(self, server_id):
        """Return whether the last connection to a server failed."""
        return server_id in self._unreachable

    @property
    def unreachable(self):
        """Ids of the servers to which the last connection failed."""
        return tuple(self._unreachable)

    def is_cut_off(self, server_ids):
        """Return whether none of some servers is reachable.

        Args:
            server_ids: Ids of the servers.
        """
        return bool(server_ids) and all(
            server_id in self._unreachable for server_id in server_ids
        )

    def is_silent(self, now, gives_orders=False):
        """Return whether no server was heard lately though one is needed.

        Args:
            now: Time in seconds.
            gives_orders: Whether this instance needs servers also while none
                has a request of it.
        """
        is_needed = gives_orders or self._open_requests > 0
        return is_needed and now - self._heard_at >= SILENCE_S

    def forget(self, server_id):
        """Forget a server whose process ended or that is not listed."""
        self._unreachable.pop(server_id, None)
