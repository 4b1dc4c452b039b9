"""Age of the latest confirmation that the configuration is the newest.

Times are seconds of the local monotonic clock. The age of a confirmation is
counted from the sending of the store request whose answer confirmed the
revision. It is thus an upper bound of the time in which a change can have been
missed.
"""

MAX_CLOCK_DRIFT = 0.01


def peer_confirmation_time(ping_sent_at, peer_age_s):
    """Return a lower bound of when a peer's confirmation was requested.

    Args:
        ping_sent_at: When the ping was sent that the peer answered.
        peer_age_s: Confirmation age in the peer's pong, by its clock.

    Returns:
        Time on the local clock. It is counted back from the ping, so that the
        whole round trip is added to the age.
    """
    return ping_sent_at - peer_age_s * (1 + MAX_CLOCK_DRIFT)


class Freshness:
    """Confirmations by the store, and the revisions that are known.

    Attributes:
        confirmed_at: Latest time for which the configuration in force was
            the newest, or None.
        answered_at: When the latest store answer to this instance was
            received, including one that confirmed nothing; None for never.
        store_revision: Highest revision that a store answer was complete up
            to.
    """

    def __init__(self):
        self.confirmed_at = None
        self.answered_at = None
        self.store_revision = 0
        self._known_revision = 0

    def record_known_revision(self, revision):
        """Record that a configuration with this version exists."""
        self._known_revision = max(self._known_revision, revision)

    def newer_exists(self, seen_revision):
        """Return whether a newer configuration is known than the one seen."""
        return self._known_revision > seen_revision

    def accept_store_answer(self, revision, received_at):
        """Record a store answer, before its items are applied.

        Args:
            revision: Revision that the answer is complete up to.
            received_at: When it was received.

        Returns:
            Whether the answer may be used. One below a known revision comes
            from a store replica that is behind, and confirms nothing.
        """
        self.answered_at = received_at
        if revision < max(self.store_revision, self._known_revision):
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
        """Use a peer's confirmation if it is for the same configuration.

        Args:
            requested_at: Result of `peer_confirmation_time`.
            peer_revision: Highest document version that the peer has seen.
            seen_revision: Highest document version that this instance has
                seen.

        Returns:
            Whether it was used. A peer that has seen older versions confirms
            nothing. One that has seen newer versions confirms only after this
            instance has caught up.
        """
        self.record_known_revision(peer_revision)
        if peer_revision != seen_revision or self.newer_exists(seen_revision):
            return False
        self.confirm(requested_at)
        return True

    def age_s(self, now):
        """Return the confirmation age in seconds, or None."""
        return None if self.confirmed_at is None else now - self.confirmed_at

    def contact_age_s(self, now):
        """Return the time in seconds since the last contact, or None.

        A contact with the store is an answer to this instance or a
        confirmation by a peer.
        """
        times = [self.confirmed_at, self.answered_at]
        times = [at for at in times if at is not None]
        return now - max(times) if times else None
