"""Session of an instance and the holder's side of its leases."""

import dataclasses
import json
import math


@dataclasses.dataclass(frozen=True)
class SessionRecord:
    """Value of the object ``sessions/<instance name>``.

    The horizons are part of the value, so that holder and observers use the
    same ones while documents differ.

    Attributes:
        name: Name of the instance.
        boot: Number that differs for each start of the instance.
        counter: Number of the renewal.
        address: Address for peers, ``ip:port``.
        zone: Availability zone.
        rate_horizon_s: Horizon of the rate slots in seconds.
        ownership_horizon_s: Horizon of owned backend servers in seconds.
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
        """Return the record; raises ValueError if it cannot be read."""
        try:
            return cls(**json.loads(value))
        except TypeError as exc:
            raise ValueError(f'expected a session record: {exc}') from exc


class Lease:
    """Time until which the holder may act, on its own clock.

    A renewal counts from before it was sent, and only if its answer arrives
    before the lease has ended. Otherwise an observer may have seen the old
    value for the whole horizon, and what the lease covers has to be taken
    again.

    Attributes:
        valid_until: Own time at which the lease ends.
        epoch: Number that grows each time the lease is begun again.
    """

    def __init__(self):
        self.valid_until = -math.inf
        self.epoch = 0

    def sending(self, sent_at, horizon_s):
        """Note a renewal before it is sent.

        It may take effect even if no answer arrives, so a shorter horizon
        counts at once.
        """
        self.valid_until = min(self.valid_until, sent_at + horizon_s)

    def confirmed(self, sent_at, horizon_s, now):
        """Note that a renewal took effect."""
        if not self.is_valid(now):
            self.epoch += 1
        if now < sent_at + horizon_s:
            self.valid_until = sent_at + horizon_s

    def is_valid(self, now):
        """Return whether the holder may act."""
        return now < self.valid_until

    def end(self):
        """End the lease, before what it covers is given up."""
        self.valid_until = -math.inf
