"""Age of the latest confirmation that the configuration is the newest.

Times are seconds of the local monotonic clock. A confirmation counts from the
sending of the store request whose answer confirmed the revision, so its age
is an upper bound of the time during which a change can have gone unseen.
"""

MAX_CLOCK_DRIFT = 0.01


def from_peer(ping_sent_at, peer_age_s):
    """Return a lower bound of when a peer's confirmation was requested.

    Args:
        ping_sent_at: When the ping was sent that the peer answered.
        peer_age_s: Confirmation age in the peer's pong, by its clock.

    Returns:
        Time on the local clock. Counted from the ping, so that the whole
        round trip is added to the age.
    """
    return ping_sent_at - peer_age_s * (1 + MAX_CLOCK_DRIFT)


class Freshness:
    """What is known of the store's answers.

    Attributes:
        confirmed_at: Latest time for which the configuration in force was
            the newest, or None.
        answered_at: When the latest store answer to this instance was
            received, even one that confirmed nothing; None for none.
        store_revision: Highest revision that a store answer carried.
    """

    def __init__(self):
        self.confirmed_at = None
        self.answered_at = None
        self.store_revision = 0
        self._known = 0

    def hear_of(self, revision):
        """Record that a configuration with this version exists."""
        self._known = max(self._known, revision)

    def newer_exists(self, seen_revision):
        """Return whether a newer configuration is known than was seen."""
        return self._known > seen_revision

    def accept_store_answer(self, revision, received_at):
        """Record a store answer; call before its items are applied.

        Args:
            revision: Revision that the answer is complete up to.
            received_at: When it was received.

        Returns:
            Whether it may be used. An answer below a known revision comes
            from a store replica that lags; it confirms nothing.
        """
        self.answered_at = received_at
        if revision < max(self.store_revision, self._known):
            return False
        self.store_revision = revision
        return True

    def confirm(self, requested_at):
        """Record that the configuration in force was the newest.

        Args:
            requested_at: When the confirming store request was sent, or a
                lower bound of it.
        """
        if self.confirmed_at is None or requested_at > self.confirmed_at:
            self.confirmed_at = requested_at

    def confirm_by_peer(self, requested_at, peer_revision, seen_revision):
        """Use a peer's confirmation if it is of the same configuration.

        Args:
            requested_at: Result of `from_peer`.
            peer_revision: Highest document version that the peer has seen.
            seen_revision: The same of this instance.

        Returns:
            Whether it was used. A peer that has seen less confirms nothing;
            one that has seen more confirms only once this instance has
            caught up.
        """
        self.hear_of(peer_revision)
        if peer_revision != seen_revision or self.newer_exists(seen_revision):
            return False
        self.confirm(requested_at)
        return True

    def age_s(self, now):
        """Return the confirmation age in seconds, or None."""
        return None if self.confirmed_at is None else now - self.confirmed_at

    def contact_age_s(self, now):
        """Return the time since the last sign of the store, or None.

        That is an answer to this instance or a confirmation by a peer.
        """
        times = [self.confirmed_at, self.answered_at]
        times = [at for at in times if at is not None]
        return now - max(times) if times else None
