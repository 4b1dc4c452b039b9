"""Guards against two owners of a backend server that ignores fences.

Renewals, reads and takeovers of three instances are interleaved, with late
and lost answers, restarts and clocks of different speeds.
"""

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies as st
from wagtailtide_core.leases import observer
from wagtailtide_core.leases import ownership
from wagtailtide_core.leases import session

HORIZON_S = 100.0
SPEEDS = (1.0, 1.0099, 1.0045)
NODES = st.integers(0, 2)


class Node:
    """Instance that renews its session and takes over one server.

    Its clock runs at its own speed.
    """

    def __init__(self, number):
        self.name, self.speed = f'n{number}', SPEEDS[number]
        self.boot = self.counter = 1
        self.restart()

    def restart(self):
        self.boot += 1
        self.lease = session.Lease()
        self.observer = observer.SessionObserver()
        self.owned = None
        self.plan = None

    def may_act(self, now):
        return (
            self.lease.is_valid(now * self.speed)
            and self.owned == self.lease.epoch
        )


class OwnersMachine(stateful.RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.now, self.version = 0.0, 0
        self.sessions, self.server = {}, None
        self.nodes = [Node(number) for number in range(3)]
        self.fences = []
        self.in_flight = []

    def _write(self):
        self.version += 1
        return self.version

    @stateful.rule(seconds=st.sampled_from([0.1, 1.0, 30.0, 99.0, 101.5]))
    def wait(self, seconds):
        self.now += seconds

    @stateful.rule(node=NODES, took_s=st.sampled_from([0.0, 0.5, 99.0, 102.0]))
    def renew(self, node, took_s):
        """Send a renewal that takes effect and is answered after took_s."""
        me = self.nodes[node]
        sent_at = self.now * me.speed
        me.lease.record_sent(sent_at, HORIZON_S)
        self.in_flight.append((self.now + took_s, me, me.boot, sent_at))

    @stateful.rule(lost=st.booleans())
    def deliver(self, lost):
        due = [item for item in self.in_flight if item[0] <= self.now]
        for item in due:
            self.in_flight.remove(item)
            _, me, boot, sent_at = item
            if boot != me.boot:
                continue
            self.sessions[me.name] = (self._write(), boot)
            if not lost:
                now = self.now * me.speed
                me.lease.record_confirmed(sent_at, HORIZON_S, now)

    @stateful.rule(node=NODES)
    def read(self, node):
        """Read the server's record, then its owner's session."""
        me, now = self.nodes[node], self.now * self.nodes[node].speed
        version, record = self.server or (None, None)
        me.plan = None
        owner = record.owner if record else None
        found = self.sessions.get(owner, (None, None))
        me.observer.observe(owner, found[0], now, now)
        evidence = ownership.OwnerEvidence(
            found[1], 0.0, me.observer.has_lapsed(owner, HORIZON_S)
        )
        own = record and (owner, record.boot) == (me.name, me.boot)
        if own or ownership.may_take_over(record, False, evidence):
            me.plan = (version, record or ownership.ServerRecord())

    @stateful.rule(node=NODES, lost=st.booleans())
    def write(self, node, lost):
        """Write the takeover that was planned from an earlier read."""
        me = self.nodes[node]
        if me.plan is None or not me.lease.is_valid(self.now * me.speed):
            return
        version, record = me.plan
        if version != (self.server[0] if self.server else None):
            return
        self.server = (self._write(), record.taken_over_by(me.name, me.boot))
        self.fences.append(self.server[1].fence_at(self.server[0]))
        if not lost:
            me.owned = me.lease.epoch

    @stateful.rule(node=NODES, data=st.data())
    def take_over_after_silence(self, node, data):
        """Take over a server after its owner has been silent for a while."""
        owner = data.draw(NODES)
        self.renew(owner, 0.0)
        self.deliver(False)
        self.read(owner)
        self.write(owner, False)
        self.read(node)
        late = data.draw(st.sampled_from([None, 1.0, 99.9, 101.9]))
        if late is not None:
            self.renew(owner, late)
        self.now += data.draw(st.sampled_from([99.5, 100.5, 101.0, 102.1]))
        self.renew(node, 0.0)
        self.read(node)
        self.deliver(False)
        self.check()
        self.write(node, False)

    @stateful.rule(node=NODES)
    def release(self, node):
        me = self.nodes[node]
        if me.may_act(self.now) and self.server[1].owner == me.name:
            me.owned = None
            version, record = self.server
            self.server = (self._write(), record.released(version))

    @stateful.rule(node=NODES)
    def restart(self, node):
        self.nodes[node].restart()

    @stateful.invariant()
    def check(self):
        acting = [node.name for node in self.nodes if node.may_act(self.now)]
        assert len(acting) <= 1, f'expected at most one owner, got {acting}'
        assert self.fences == sorted(set(self.fences)), (
            'expected fencing tokens that only increase'
        )


OwnersMachine.TestCase.settings = settings(
    derandomize=True, max_examples=150, stateful_step_count=25, deadline=None
)
OwnersTest = OwnersMachine.TestCase
