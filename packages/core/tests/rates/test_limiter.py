import random
import unittest

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies as st
from wagtailtide_core.rates import grants

from tests.rates import fleet

VALID_S = grants.VALID_S
NODES = st.integers(0, 2)
# 70% of the rate, in requests of 8 tokens.
RATE_OF_REQUESTS = 0.7 * fleet.RATE / 8
WAITS_S = st.sampled_from(
    [0.0, 0.1, 0.99 * VALID_S, VALID_S, VALID_S + 0.09, 5.0, 30.0]
)


class LimitersMachine(stateful.RuleBasedStateMachine):
    """Guards the bound of 4.4 against drift, grants, moves and refunds."""

    def __init__(self):
        super().__init__()
        self.fleet = fleet.Fleet()

    @stateful.rule(seconds=WAITS_S)
    def wait(self, seconds):
        self.fleet.now += seconds
        self.fleet.renew_all()

    @stateful.rule()
    def fill(self):
        self.fleet.now += 20.0
        self.fleet.renew_all()

    @stateful.rule(node=NODES, percent=st.integers(1, 100))
    def admit(self, node, percent):
        tokens = self.fleet.level(node) * percent / 100
        if tokens:
            self.fleet.admit(node, tokens)

    @stateful.precondition(lambda self: self.fleet.open)
    @stateful.rule(data=st.data(), percent=st.sampled_from([0, 10, 50, 100]))
    def settle(self, data, percent):
        admission = data.draw(st.sampled_from(self.fleet.open))
        self.fleet.settle(admission, admission.tokens * percent / 100)

    @stateful.rule(
        calls=st.lists(
            st.tuples(
                NODES, st.integers(1, 2), st.integers(1, 60), st.integers(1, 2)
            ),
            min_size=1,
            max_size=3,
        ),
        moved=st.none() | NODES,
        waits_s=st.tuples(WAITS_S, WAITS_S),
        full=st.booleans(),
        absorbed=st.booleans(),
    )
    def lend(self, calls, moved, waits_s, full, absorbed):
        """Spend or absorb grants late; donors refill or lose slots."""
        if full:
            self.fill()
        for node, step, tokens, times in calls:
            self.fleet.ask(node, (node + step) % 3, tokens, times)
        if moved is not None and self.fleet.held[moved]:
            self.fleet.move(moved, (moved + 1) % 3, 0)
        for wait_s in waits_s:
            self.wait(wait_s)
            if absorbed:
                self.fleet.absorb_grants()
            self.fleet.spend_all()

    @stateful.rule(node=NODES, step=st.integers(1, 2), seed=st.integers(0, 9))
    def move_slots(self, node, step, seed):
        if self.fleet.held[node]:
            self.fleet.move(node, (node + step) % 3, seed)

    @stateful.rule(node=NODES)
    def pause_past_the_horizon_and_return(self, node):
        self.fleet.paused[node] = True
        for _ in range(3):
            self.fleet.now += fleet.HORIZON_S * 0.4
            self.fleet.renew_all()
        self.fleet.take_over(node, (node + 1) % 3)
        self.fleet.now += 20.0
        self.fleet.renew_all()
        self.fleet.spend_all()
        self.fleet.paused[node] = False
        self.fleet.renew(node)

    @stateful.rule(slots=st.sampled_from([1, 2, 8]), node=NODES)
    def change_division(self, slots, node):
        """Instances learn of a new document up to 300 s apart."""
        others = [n for n in range(3) if n != node]
        for each in others:
            self.fleet.limiters[each].configure(
                fleet.organisation(slots), self.fleet.clock(each)
            )
        for _ in range(10):
            self.fleet.now += 30.0
            self.fleet.renew_all()
        self.fleet.spend_all()
        self.fleet.limiters[node].configure(
            fleet.organisation(slots), self.fleet.clock(node)
        )

    def teardown(self):
        self.fleet.spend_all()
        excess = self.fleet.excess()
        assert excess <= 1e-6, f'{excess} tokens above the bound'


LimitersMachine.TestCase.settings = settings(
    derandomize=True, max_examples=100, stateful_step_count=30, deadline=None
)
LimitersTest = LimitersMachine.TestCase


class TransfersTest(unittest.TestCase):
    def setUp(self):
        self.fleet = fleet.Fleet()
        self.fleet.now += 60.0
        self.fleet.renew_all()

    def test_new_holder_waits_for_the_grants_of_the_previous_one(self):
        self.fleet.ask(1, 0, 60)
        self.fleet.held[2] |= self.fleet.held[0]
        self.fleet.held[0] = set()
        self.fleet.renew_all()
        self.fleet.now += 0.95 * VALID_S
        self.fleet.spend_all()
        self.assertLessEqual(self.fleet.excess(), 1e-6)

    def test_grants_of_a_refused_request_stay_usable(self):
        """Guards against tokens lost when another request came first."""
        self.fleet.spend_all()
        self.fleet.now += 3.0
        self.fleet.renew_all()
        self.fleet.ask(0, 1, 5)
        before = self.fleet.level(0)
        self.fleet.absorb_grants()
        self.assertAlmostEqual(self.fleet.level(0), before + 5)

    def test_instance_paused_past_its_horizon_spends_nothing(self):
        self.fleet.paused[0] = True
        for _ in range(4):
            self.fleet.now += fleet.HORIZON_S * 0.4
            self.fleet.renew_all()
        self.fleet.take_over(0, 1)
        for wait_s in (3.0, 60.0):
            self.fleet.now += wait_s
            self.fleet.renew_all()
        self.fleet.spend_all()
        self.assertLessEqual(self.fleet.excess(), 1e-6)


class UtilisationTest(unittest.TestCase):
    def test_flood_of_an_organisation_gets_most_of_its_rate(self):
        """Guards against grants that are lost with refused requests."""
        for size in (8, 16, 24):
            model = fleet.Fleet(speeds=(1.0,) * 4)
            for number in range(2_000):
                model.now += 0.1
                model.renew_all()
                admission = model.admit_with_peers(number % 4, size)
                if admission:
                    model.settle(admission, size)
            admitted = sum(a.tokens for a in model.admissions)
            self.assertGreater(admitted, 0.9 * fleet.RATE * model.now, size)
            self.assertLessEqual(model.excess(), 1e-6)

    def test_organisation_within_its_rate_on_one_instance_is_served(self):
        """Guards against grants that leave a busy instance on its share."""
        model = fleet.Fleet(speeds=(1.0,) * 4)
        model.now += 60.0
        rng = random.Random(1)
        refused, count = 0, 1000
        for _ in range(count):
            model.now += rng.expovariate(RATE_OF_REQUESTS)
            model.renew_all()
            result = model.admit_with_peers(0, 8)
            refused += result is None
        self.assertLessEqual(refused, count * 0.01, refused)
