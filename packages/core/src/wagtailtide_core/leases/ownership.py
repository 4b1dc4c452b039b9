"""Ownership of backend servers with fencing tokens."""

import dataclasses
import enum
import json

FAILED_S = 10.0


@dataclasses.dataclass(frozen=True)
class ServerRecord:
    """Value of the object ``servers/<name>``.

    Attributes:
        owner: Name of the owning instance, None if released.
        boot: Boot number of the owner's session.
        fence: Fencing token, None in the value of the takeover itself, whose
            store version is the token.
        pending: Loads sent or about to be sent, as JSON objects.
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
        """Return the record; raises ValueError if it cannot be read."""
        try:
            fields = json.loads(value)
            fields['pending'] = tuple(fields['pending'])
            return cls(**fields)
        except (KeyError, TypeError) as exc:
            raise ValueError(f'expected a server record: {exc!r}') from exc

    def fence_at(self, version):
        """Return the fencing token of the record at a store version."""
        return version if self.fence is None else self.fence

    def taken(self, owner, boot):
        """Return the record of a takeover, which keeps pending loads."""
        return ServerRecord(owner, boot, None, self.pending)

    def released(self, version):
        """Return the record of a release."""
        return dataclasses.replace(
            self, owner=None, fence=self.fence_at(version)
        )


class Takeover(enum.StrEnum):
    """Reason that allows a takeover."""

    RELEASED = 'released'
    REPLACED = 'replaced'
    FENCED = 'fenced'
    LAPSED = 'lapsed'


@dataclasses.dataclass(frozen=True)
class OwnerEvidence:
    """What the taker knows of the present owner.

    Attributes:
        session_boot: Boot number in the owner's session as read after the
            server's object, None if there is no session.
        failed_for_s: Own time since the owner was marked failed, 0 if not.
        lapsed: Whether the observer rule holds with the ownership horizon.
    """

    session_boot: int | None
    failed_for_s: float
    lapsed: bool


def may_take_over(record, checks_fences, evidence):
    """Return the reason that allows a takeover, or None.

    Args:
        record: Record as read before the evidence, None if there is none.
        checks_fences: Whether the server refuses older fences.
        evidence: What is known of the owner.
    """
    if record is None or record.owner is None:
        return Takeover.RELEASED
    boot = evidence.session_boot
    if boot is not None and boot != record.boot:
        return Takeover.REPLACED
    if checks_fences and evidence.failed_for_s >= FAILED_S:
        return Takeover.FENCED
    if evidence.lapsed:
        return Takeover.LAPSED
    return None
