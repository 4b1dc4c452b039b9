import random
import unittest

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies as st
from wagtailtide_core.rates import grants

from tests.rates import fleet

GRANT_VALIDITY_S = grants.GRANT_VALIDITY_S
INSTANCES = st.integers(0, 2)
# 70% of the rate, in requests of 8 tokens.
REQUESTS_PER_S = 0.7 * fleet.RATE / 8
WAITS_S = st.sampled_from(
    [
        0.0,
        0.1,
        0.99 * GRANT_VALIDITY_S,
        GRANT_VALIDITY_S,
        GRANT_VALIDITY_S + 0.09,
        5.0,
        30.0,
    ]
)


class LimitersMachine(stateful.RuleBasedStateMachine):
    """Guards against admissions above the rate bound of an organisation.

    Clocks drift, tokens are lent, slots move between instances, and charges
    are settled with smaller counts.
    """

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

    @stateful.rule(instance=INSTANCES, percent=st.integers(1, 100))
    def admit(self, instance, percent):
        tokens = self.fleet.level(instance) * percent / 100
        if tokens:
            self.fleet.admit(instance, tokens)

    @stateful.precondition(lambda self: self.fleet.open)
    @stateful.rule(data=st.data(), percent=st.sampled_from([0, 10, 50, 100]))
    def settle(self, data, percent):
        admission = data.draw(st.sampled_from(self.fleet.open))
        self.fleet.settle(admission, admission.tokens * percent / 100)

    @stateful.rule(
        calls=st.lists(
            st.tuples(
                INSTANCES,
                st.integers(1, 2),
                st.integers(1, 60),
                st.integers(1, 2),
            ),
            min_size=1,
            max_size=3,
        ),
        moved=st.none() | INSTANCES,
        waits_s=st.tuples(WAITS_S, WAITS_S),
        full=st.booleans(),
        credited=st.booleans(),
    )
    def lend(self, calls, moved, waits_s, full, credited):
        """Use or credit grants late, while donors refill or lose slots."""
        if full:
            self.fill()
        for instance, step, tokens, times in calls:
            self.fleet.request_grant(
                instance, (instance + step) % 3, tokens, times
            )
        if moved is not None and self.fleet.held[moved]:
            self.fleet.move_slots(moved, (moved + 1) % 3, 0)
        for wait_s in waits_s:
            self.wait(wait_s)
            if credited:
                self.fleet.credit_grants()
            self.fleet.spend_all()

    @stateful.rule(
        instance=INSTANCES, step=st.integers(1, 2), seed=st.integers(0, 9)
    )
    def move_slots(self, instance, step, seed):
        if self.fleet.held[instance]:
            self.fleet.move_slots(instance, (instance + step) % 3, seed)

    @stateful.rule(instance=INSTANCES)
    def pause_past_the_horizon_and_return(self, instance):
        self.fleet.paused[instance] = True
        for _ in range(3):
            self.fleet.now += fleet.RATE_HORIZON_S * 0.4
            self.fleet.renew_all()
        self.fleet.take_over_slots(instance, (instance + 1) % 3)
        self.fleet.now += 20.0
        self.fleet.renew_all()
        self.fleet.spend_all()
        self.fleet.paused[instance] = False
        self.fleet.renew(instance)

    @stateful.rule(slots=st.sampled_from([1, 2, 8]), instance=INSTANCES)
    def change_division(self, slots, instance):
        """Change the number of slots on instances up to 300 s apart."""
        others = [n for n in range(3) if n != instance]
        for each in others:
            self.fleet.limiters[each].configure(
                fleet.organisation(slots), self.fleet.clock(each)
            )
        for _ in range(10):
            self.fleet.now += 30.0
            self.fleet.renew_all()
        self.fleet.spend_all()
        self.fleet.limiters[instance].configure(
            fleet.organisation(slots), self.fleet.clock(instance)
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
        self.fleet.request_grant(1, 0, 60)
        self.fleet.held[2] |= self.fleet.held[0]
        self.fleet.held[0] = set()
        self.fleet.renew_all()
        self.fleet.now += 0.95 * GRANT_VALIDITY_S
        self.fleet.spend_all()
        self.assertLessEqual(self.fleet.excess(), 1e-6)

    def test_grants_of_a_refused_request_stay_usable(self):
        """Guards against lost grants if another request is charged first."""
        self.fleet.spend_all()
        self.fleet.now += 3.0
        self.fleet.renew_all()
        self.fleet.request_grant(0, 1, 5)
        before = self.fleet.level(0)
        self.fleet.credit_grants()
        self.assertAlmostEqual(self.fleet.level(0), before + 5)

    def test_instance_paused_past_its_horizon_spends_nothing(self):
        self.fleet.paused[0] = True
        for _ in range(4):
            self.fleet.now += fleet.RATE_HORIZON_S * 0.4
            self.fleet.renew_all()
        self.fleet.take_over_slots(0, 1)
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
        """Guards against an instance that gets no more than its own share."""
        model = fleet.Fleet(speeds=(1.0,) * 4)
        model.now += 60.0
        rng = random.Random(1)
        refused, count = 0, 1000
        for _ in range(count):
            model.now += rng.expovariate(REQUESTS_PER_S)
            model.renew_all()
            result = model.admit_with_peers(0, 8)
            refused += result is None
        self.assertLessEqual(refused, count * 0.01, refused)
