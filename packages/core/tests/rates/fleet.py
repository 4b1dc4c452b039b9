"""Simulation of several limiters with drifting clocks that share a rate."""

import dataclasses
import math
import random

from wagtailtide_core.document import schema
from wagtailtide_core.rates import grants
from wagtailtide_core.rates import limiter
from wagtailtide_core.rates import shares

RATE, BURST, ORG = 10.0, 120, 'org'
RATE_HORIZON_S = 1000.0
# Speeds relative to the true clock; `bucket.MAX_CLOCK_SPEED_RATIO` allows a
# drift of 1%.
CLOCK_SPEEDS = (1.0, 1.0099, 1.0045)


def organisation(share_slots=8):
    org = schema.Organisation(ORG, RATE, BURST, share_slots=share_slots)
    return {ORG: org}


@dataclasses.dataclass
class Admission:
    at: float
    tokens: float
    charge: limiter.Charge
    instance: int


class Fleet:
    def __init__(self, speeds=CLOCK_SPEEDS, share_slots=8):
        self.now = 0.0
        self.speeds = speeds
        self.admissions, self.open, self.grants = [], [], []
        self.limiters = [limiter.RateLimiter() for _ in speeds]
        self.held = [set() for _ in speeds]
        self.paused = [False] * len(speeds)
        self.lease_ends_at = [0.0] * len(speeds)
        self.free = set()
        self.call_count = 0
        for slot in range(shares.SLOT_COUNT):
            self.held[slot * len(speeds) // shares.SLOT_COUNT].add(slot)
        for instance in range(len(speeds)):
            self.limiters[instance].configure(organisation(share_slots), 0.0)
            self.renew(instance)

    def clock(self, instance):
        return self.now * self.speeds[instance]

    def renew(self, instance):
        valid_until = self.clock(instance) + RATE_HORIZON_S
        self.lease_ends_at[instance] = valid_until / self.speeds[instance]
        self.limiters[instance].hold(
            frozenset(self.held[instance]), valid_until, self.clock(instance)
        )
        self.level(instance)

    def renew_all(self):
        for instance, paused in enumerate(self.paused):
            if not paused and self.now < self.lease_ends_at[instance]:
                self.renew(instance)

    def level(self, instance):
        return max(
            0.0, self.limiters[instance].level(ORG, self.clock(instance))
        )

    def admit(self, instance, tokens, received=()):
        result = self.limiters[instance].admit_with_grants(
            ORG, tokens, received, self.clock(instance)
        )
        if isinstance(result, limiter.Charge):
            admission = Admission(self.now, tokens, result, instance)
            self.admissions.append(admission)
            self.open.append(admission)
            return admission
        return None

    def settle(self, admission, true_tokens):
        admission.tokens = true_tokens
        self.open.remove(admission)
        self.limiters[admission.instance].settle(
            admission.charge, true_tokens, self.clock(admission.instance)
        )

    def admit_with_peers(self, instance, tokens):
        """Admit as an instance does: with grants if tokens are missing."""
        admission = self.admit(instance, tokens)
        if admission:
            return admission
        others = [n for n in range(len(self.limiters)) if n != instance]
        levels = {n: self.level(n) for n in others}
        shortfall = math.ceil(tokens - self.level(instance))
        for donor, asked in grants.split_shortfall(levels, shortfall):
            self.request_grant(instance, donor, asked)
        received = [answer for _, answer in self.grants]
        self.grants = []
        admission = self.admit(instance, tokens, received)
        used = admission.charge.granted if admission else 0
        self.limiters[instance].credit_unused_grants(
            ORG, received, used, self.clock(instance)
        )
        return admission

    def request_grant(self, instance, donor, tokens, times=1):
        """Deliver a call and its answers `times` times."""
        self.call_count += 1
        for _ in range(times):
            given = self.limiters[donor].grant(
                ORG, tokens, self.clock(donor), grants.GRANT_VALIDITY_S
            )
            key = (str(donor), self.call_count)
            answer = grants.receive(key, given, self.clock(instance))
            self.grants += [(instance, answer)] * times

    def spend_grants(self):
        for instance in range(len(self.limiters)):
            received = [
                answer for owner, answer in self.grants if owner == instance
            ]
            usable = grants.usable_tokens(received, self.clock(instance))
            if usable:
                self.admit(instance, usable, received)
        self.grants = []

    def credit_grants(self):
        for instance in range(len(self.limiters)):
            received = [
                answer for owner, answer in self.grants if owner == instance
            ]
            self.limiters[instance].credit_unused_grants(
                ORG, received, 0, self.clock(instance)
            )
        self.grants = []

    def drain(self, instance):
        tokens = self.level(instance)
        return self.admit(instance, tokens) if tokens > 0 else None

    def spend_all(self):
        self.spend_grants()
        for instance in range(len(self.limiters)):
            self.drain(instance)

    def move_slots(self, source, target, seed):
        """Release some slots; the target takes them after the release."""
        moved = set(random.Random(seed).sample(sorted(self.held[source]), 1))
        moved = {s for s in self.held[source] if s // 128 == min(moved) // 128}
        self.held[source] -= moved
        self.renew(source)
        self.held[target] |= moved
        self.renew(target)

    def take_over_slots(self, source, target):
        """Take the slots of a session that has expired by every clock."""
        if self.now > self.lease_ends_at[source] + RATE_HORIZON_S * 0.01 + 1:
            self.held[target] |= self.held[source]
            self.held[source] = set()
            self.renew(target)

    def excess(self):
        """Return the most tokens by which any time window exceeds the bound.

        The bound of a window is its length times the rate, plus the burst.
        """
        worst, excess_tokens, last_at = 0.0, 0.0, 0.0
        for admission in self.admissions:
            excess_tokens = max(
                0.0, excess_tokens - RATE * (admission.at - last_at)
            )
            excess_tokens += admission.tokens
            last_at = admission.at
            worst = max(worst, excess_tokens - BURST)
        return worst
