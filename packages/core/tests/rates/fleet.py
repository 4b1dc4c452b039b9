"""Model of several limiters with drifting clocks under one rate."""

import dataclasses
import math
import random

from wagtailtide_core.document import schema
from wagtailtide_core.rates import grants
from wagtailtide_core.rates import limiter
from wagtailtide_core.rates import shares

RATE, BURST, ORG = 10.0, 120, 'org'
HORIZON_S = 1000.0
# The true clock is one of the clocks that differ by at most 1%.
SPEEDS = (1.0, 1.0099, 1.0045)


def organisation(share_slots=8):
    org = schema.Organisation(ORG, RATE, BURST, share_slots=share_slots)
    return {ORG: org}


@dataclasses.dataclass
class Admission:
    at: float
    tokens: float
    charge: limiter.Charge
    node: int


class Fleet:
    def __init__(self, speeds=SPEEDS, share_slots=8):
        self.now = 0.0
        self.speeds = speeds
        self.admissions, self.open, self.grants = [], [], []
        self.limiters = [limiter.RateLimiter() for _ in speeds]
        self.held = [set() for _ in speeds]
        self.paused = [False] * len(speeds)
        self.lapse_at = [0.0] * len(speeds)
        self.free = set()
        self.next_call = 0
        for slot in range(shares.SLOTS):
            self.held[slot * len(speeds) // shares.SLOTS].add(slot)
        for node in range(len(speeds)):
            self.limiters[node].configure(organisation(share_slots), 0.0)
            self.renew(node)

    def clock(self, node):
        return self.now * self.speeds[node]

    def renew(self, node):
        valid_until = self.clock(node) + HORIZON_S
        self.lapse_at[node] = valid_until / self.speeds[node]
        self.limiters[node].hold(
            frozenset(self.held[node]), valid_until, self.clock(node)
        )
        self.level(node)

    def renew_all(self):
        for node, paused in enumerate(self.paused):
            if not paused and self.now < self.lapse_at[node]:
                self.renew(node)

    def level(self, node):
        return max(0.0, self.limiters[node].level(ORG, self.clock(node)))

    def admit(self, node, tokens, received=()):
        result = self.limiters[node].admit_with_grants(
            ORG, tokens, received, self.clock(node)
        )
        if isinstance(result, limiter.Charge):
            admission = Admission(self.now, tokens, result, node)
            self.admissions.append(admission)
            self.open.append(admission)
            return admission
        return None

    def settle(self, admission, true_tokens):
        admission.tokens = true_tokens
        self.open.remove(admission)
        self.limiters[admission.node].settle(
            admission.charge, true_tokens, self.clock(admission.node)
        )

    def admit_with_peers(self, node, tokens):
        """Admit as an instance does, with grants if it is short."""
        admission = self.admit(node, tokens)
        if admission:
            return admission
        others = [n for n in range(len(self.limiters)) if n != node]
        levels = {n: self.level(n) for n in others}
        shortfall = math.ceil(tokens - self.level(node))
        for donor, asked in grants.plan(levels, shortfall):
            self.ask(node, donor, asked)
        received = [answer for _, answer in self.grants]
        self.grants = []
        admission = self.admit(node, tokens, received)
        used = admission.charge.granted if admission else 0
        self.limiters[node].absorb(ORG, received, used, self.clock(node))
        return admission

    def ask(self, node, donor, tokens, times=1):
        """Deliver a call and its answers, perhaps twice."""
        self.next_call += 1
        for _ in range(times):
            given = self.limiters[donor].grant(
                ORG, tokens, self.clock(donor), grants.VALID_S
            )
            key = (str(donor), self.next_call)
            answer = grants.receive(key, given, self.clock(node))
            self.grants += [(node, answer)] * times

    def spend_grants(self):
        for node in range(len(self.limiters)):
            mine = [answer for owner, answer in self.grants if owner == node]
            usable = grants.usable_tokens(mine, self.clock(node))
            if usable:
                self.admit(node, usable, mine)
        self.grants = []

    def absorb_grants(self):
        for node in range(len(self.limiters)):
            mine = [answer for owner, answer in self.grants if owner == node]
            self.limiters[node].absorb(ORG, mine, 0, self.clock(node))
        self.grants = []

    def drain(self, node):
        tokens = self.level(node)
        return self.admit(node, tokens) if tokens > 0 else None

    def spend_all(self):
        self.spend_grants()
        for node in range(len(self.limiters)):
            self.drain(node)

    def move(self, source, target, slots):
        """Give slots up; the target takes them after the release."""
        moved = set(random.Random(slots).sample(sorted(self.held[source]), 1))
        moved = {s for s in self.held[source] if s // 128 == min(moved) // 128}
        self.held[source] -= moved
        self.renew(source)
        self.held[target] |= moved
        self.renew(target)

    def take_over(self, source, target):
        """Take the slots of a session that has lapsed by every clock."""
        if self.now > self.lapse_at[source] + HORIZON_S * 0.01 + 1:
            self.held[target] |= self.held[source]
            self.held[source] = set()
            self.renew(target)

    def excess(self):
        """Return the largest excess over the bound of any window."""
        worst, running, last = 0.0, 0.0, 0.0
        for admission in self.admissions:
            running = max(0.0, running - RATE * (admission.at - last))
            running += admission.tokens
            last = admission.at
            worst = max(worst, running - BURST)
        return worst
