"""Session record of an instance and the validity of its own leases."""

import dataclasses
import json
import math


@dataclasses.dataclass(frozen=True)
class SessionRecord:
    """Value of the object ``sessions/<instance name>``.

    The horizons are part of the record, so that holder and observers use the
    same ones while they have different documents in force.

    Attributes:
        name: Name of the instance.
        boot: Boot number, different for each start of the instance.
        counter: Number of the renewal.
        address: Address for peers, ``ip:port``.
        zone: Availability zone.
        rate_horizon_s: Time in seconds that rate slots stay valid without a
            renewal.
        ownership_horizon_s: Time in seconds that ownership of backend servers
            stays valid without a renewal.
    """

    name: str
    boot: int
    counter: int
    address: str
    zone: str
    rate_horizon_s: float
    ownership_horizon_s: float

    def encode(self):
        """Return the value of the object."""
        return json.dumps(dataclasses.asdict(self)).encode()

    @classmethod
    def decode(cls, value):
        """Return the record of an object's value.

        Raises:
            ValueError: If the value is not a session record.
        """
        try:
            return cls(**json.loads(value))
        except TypeError as exc:
            raise ValueError(
                f'expected a session record as a JSON object, got {exc}'
            ) from exc


class Lease:
    """Time until which the holder may act, on its own clock.

    A renewal is valid from the time before it was sent. It extends the lease
    only if its answer arrives before the lease has ended. Otherwise an
    observer may have seen the old session for the whole horizon, and the
    holder has to take again what the lease covers.

    Attributes:
        valid_until: When the lease ends, in seconds of the holder's clock.
        epoch: Number that grows each time a new lease begins after the
            previous one ended.
    """

    def __init__(self):
        self.valid_until = -math.inf
        self.epoch = 0

    def record_sent(self, sent_at, horizon_s):
        """Record a renewal that is about to be sent.

        It may take effect even if no answer arrives, so a shorter horizon
        applies at once.

        Args:
            sent_at: Current time in seconds.
            horizon_s: Horizon in the renewal in seconds.
        """
        self.valid_until = min(self.valid_until, sent_at + horizon_s)

    def record_confirmed(self, sent_at, horizon_s, now):
        """Record that a renewal took effect.

        Args:
            sent_at: When the renewal was sent, in seconds.
            horizon_s: Horizon in the renewal in seconds.
            now: Current time in seconds.
        """
        if not self.is_valid(now):
            self.epoch += 1
        if now < sent_at + horizon_s:
            self.valid_until = sent_at + horizon_s

    def is_valid(self, now):
        """Return whether the lease covers the time ``now``."""
        return now < self.valid_until

    def end(self):
        """End the lease; call before giving up what it covers."""
        self.valid_until = -math.inf
