"""Instances that forward requests to servers that this one cannot reach."""

import collections
import dataclasses
import random

from wagtailtide_gateway.decisions import peer_choice
from wagtailtide_gateway.model import backend

# Seconds for which an instance that failed to forward a request is avoided.
FAILED_PEER_TTL_S = 1.0

# Seconds for which a server is taken to be lost after another instance could
# not reach it either. By then the leader has told who does.
LOST_SERVER_TTL_S = 1.0

# Age in seconds at which the leader looks again who accepts requests.
REFRESH_INTERVAL_S = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class Peer:
    """An instance that accepts requests to forward.

    Attributes:
        instance: Its name.
        host: Host at which it accepts calls of other instances.
        port: Port at which it does.
        unreachable: Ids of the servers that it does not reach.
    """

    instance: str
    host: str
    port: int
    unreachable: tuple[str, ...]

    @property
    def address(self):
        """Address at which it accepts calls of other instances."""
        return backend.Address(self.host, self.port)


class PeerDirectory:
    """Peers of this instance, from the last full update of a leader."""

    def __init__(self):
        self._peers = ()
        self._failed_until = {}
        self._lost_until = {}
        self._open_calls = collections.Counter()

    def apply(self, peers):
        """Replace the peers.

        Args:
            peers: Peer objects.
        """
        self._peers = tuple(peers)

    def has_path(self, server_id, now):
        """Return whether a peer reaches a server."""
        return bool(self._paths(server_id, now))

    def choose(self, server_id, now):
        """Return the Peer to forward a request to a server, or None.

        Args:
            server_id: Id of the server.
            now: Time in seconds.
        """
        return min(
            self._paths(server_id, now),
            key=lambda peer: (
                self._open_calls[peer.instance],
                random.random(),
            ),
            default=None,
        )

    def _paths(self, server_id, now):
        if now < self._lost_until.get(server_id, 0.0):
            return []
        return [
            peer
            for peer in self._peers
            if server_id not in peer.unreachable
            and now >= self._failed_until.get(peer.instance, 0.0)
        ]

    def record_start(self, peer):
        """Record that a request is about to be sent to a peer."""
        self._open_calls[peer.instance] += 1

    def record_end(self, peer):
        """Record that a request is no longer at a peer."""
        self._open_calls[peer.instance] -= 1

    def record_failed(self, peer, now):
        """Record that a peer did not take or answer a request."""
        self._failed_until[peer.instance] = now + FAILED_PEER_TTL_S

    def record_lost(self, server_id, now):
        """Record that a peer does not reach a server either."""
        self._lost_until[server_id] = now + LOST_SERVER_TTL_S


class PeerAssignment:
    """Assigns peers to the instances, as the leader."""

    def __init__(self):
        self._candidates = ()
        self._reports = {}
        self._chosen = {}
        self._refreshed_at = float('-inf')

    def peers_of(self, instance, reports, now):
        """Return the Peer objects of an instance.

        Args:
            instance: Name of the instance.
            reports: Function that returns the last Report of each instance
                that reaches a server, by its name.
            now: Time in seconds.
        """
        if now - self._refreshed_at >= REFRESH_INTERVAL_S:
            self._refreshed_at = now
            self._refresh(reports())
        if instance not in self._chosen:
            self._chosen[instance] = peer_choice.choose_peers(
                instance, self._candidates
            )
        return tuple(
            Peer(
                name,
                self._reports[name].peer_host,
                self._reports[name].peer_port,
                self._reports[name].unreachable,
            )
            for name in self._chosen[instance]
        )

    def _refresh(self, reports):
        self._reports = reports
        candidates = tuple(
            peer_choice.Candidate(name, report.capacity)
            for name, report in sorted(reports.items())
            if report.peer_port
        )
        if candidates != self._candidates:
            self._candidates = candidates
            self._chosen = {}
