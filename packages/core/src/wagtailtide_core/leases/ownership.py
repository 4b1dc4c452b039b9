"""Ownership of backend servers with fencing tokens."""

import dataclasses
import enum
import json

MIN_FAILED_S = 10.0


@dataclasses.dataclass(frozen=True)
class ServerRecord:
    """Value of the object ``servers/<name>``.

    Attributes:
        owner: Name of the owning instance, None if released.
        boot: Boot number of the owner's session.
        fence: Fencing token; None in the record that a takeover writes,
            because the store version of that write is the token.
        pending: Load orders sent or about to be sent, as JSON objects.
    """

    owner: str | None = None
    boot: int = 0
    fence: int | None = None
    pending: tuple[dict, ...] = ()

    def encode(self):
        """Return the value of the object."""
        return json.dumps(dataclasses.asdict(self)).encode()

    @classmethod
    def decode(cls, value):
        """Return the record of an object's value.

        Raises:
            ValueError: If the value is not a server record.
        """
        try:
            fields = json.loads(value)
            fields['pending'] = tuple(fields['pending'])
            return cls(**fields)
        except (KeyError, TypeError) as exc:
            raise ValueError(
                f'expected a server record as a JSON object, got {exc!r}'
            ) from exc

    def fence_at(self, version):
        """Return the fencing token of the record at a store version."""
        return version if self.fence is None else self.fence

    def taken_over_by(self, owner, boot):
        """Return the record that a takeover writes; it keeps pending loads."""
        return ServerRecord(owner, boot, None, self.pending)

    def released(self, version):
        """Return the record that a release writes.

        Args:
            version: Store version of this record.
        """
        return dataclasses.replace(
            self, owner=None, fence=self.fence_at(version)
        )


class Takeover(enum.StrEnum):
    """Reason that allows a takeover.

    Attributes:
        RELEASED: The server has no owner.
        REPLACED: The owner has restarted since it took the server.
        FENCED: The owner is marked failed, and the server will refuse its
            orders because it checks fencing tokens.
        LAPSED: The owner's session was unchanged for the ownership horizon.
    """

    RELEASED = 'released'
    REPLACED = 'replaced'
    FENCED = 'fenced'
    LAPSED = 'lapsed'


@dataclasses.dataclass(frozen=True)
class OwnerEvidence:
    """What an instance knows of the current owner of a server.

    Attributes:
        session_boot: Boot number in the owner's session, read after the
            server's record; None if there is no session.
        failed_for_s: Seconds since the owner was marked failed, 0 if it is
            not marked.
        lapsed: Whether `observer.SessionObserver.has_lapsed` is true of the
            owner's session for the ownership horizon.
    """

    session_boot: int | None
    failed_for_s: float
    lapsed: bool


def may_take_over(record, checks_fences, evidence):
    """Return the reason that allows a takeover, or None.

    Args:
        record: Record of the server, read before the evidence; None if there
            is none.
        checks_fences: Whether the server refuses older fencing tokens.
        evidence: OwnerEvidence.
    """
    if record is None or record.owner is None:
        return Takeover.RELEASED
    boot = evidence.session_boot
    if boot is not None and boot != record.boot:
        return Takeover.REPLACED
    if checks_fences and evidence.failed_for_s >= MIN_FAILED_S:
        return Takeover.FENCED
    if evidence.lapsed:
        return Takeover.LAPSED
    return None
