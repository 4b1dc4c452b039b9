import random
import unittest

from wagtailtide_gateway.decisions import memory_reservations

CAPACITY = 69_660
SLOTS = 12
ENGINES = ('e1', 'e2', 'e3')


def make_request(number=1, tokens=6_500, server_ids=ENGINES):
    return memory_reservations.Request(
        number, 'engines', tokens, CAPACITY, 1_100.0, tuple(server_ids)
    )


def make_use(held=0.0, reserved=0.0, usual=0.0, large_part=0.0):
    return memory_reservations.EngineUse(held, reserved, usual, large_part)


def fits(tokens, **use):
    return memory_reservations.fits(
        make_request(tokens=tokens), make_use(**use)
    )


class NeedsReservationTest(unittest.TestCase):
    def test_sizes_of_which_few_fit_need_one(self):
        needs = memory_reservations.needs_reservation
        self.assertFalse(needs(826, CAPACITY, SLOTS))
        self.assertFalse(needs(2_902, CAPACITY, SLOTS))
        self.assertTrue(needs(2_903, CAPACITY, SLOTS))


class FitsTest(unittest.TestCase):
    def test_what_is_held_counts_with_a_margin(self):
        self.assertTrue(fits(6_177, held=60_000, reserved=60_000))
        self.assertFalse(fits(6_178, held=60_000, reserved=60_000))

    def test_request_as_large_as_the_memory_fits_into_an_empty_engine(self):
        self.assertTrue(fits(CAPACITY))
        self.assertFalse(fits(CAPACITY + 1))
        self.assertFalse(fits(CAPACITY, usual=1_000.0))

    def test_expected_requests_without_reservations_keep_their_memory(self):
        # 30,000 and three deviations of the 5,745 of its square root.
        self.assertTrue(fits(18_000, usual=30_000.0))
        self.assertFalse(fits(19_500, usual=30_000.0))

    def test_one_fits_however_many_requests_want_the_engine(self):
        # Guards against large requests that are never served where the
        # usual ones want more than an engine has.
        self.assertTrue(fits(10_000, held=40_000, usual=500_000.0))
        self.assertFalse(
            fits(10_000, held=50_000, reserved=10_000, usual=500_000.0)
        )

    def test_no_more_than_the_free_memory_is_kept(self):
        self.assertFalse(fits(10_000, held=60_000))


class LedgerTest(unittest.TestCase):
    def setUp(self):
        self.ledger = memory_reservations.Ledger()
        self.reported = dict.fromkeys(ENGINES, 0)

    def use_of(self, server_id):
        if server_id not in self.reported:
            return None
        granted = self.ledger.reserved(server_id)
        return make_use(self.reported[server_id] + granted, granted)

    def grant(self, instance, now=0.0, **request):
        return self.ledger.grant(
            instance, make_request(**request), self.use_of, now
        )

    def test_first_server_with_memory_is_granted(self):
        self.reported['e1'] = 65_000
        self.assertEqual(self.grant('i1'), 'e2')
        self.assertEqual(self.grant('i1', 2, server_ids=['e9']), None)

    def test_engines_never_hold_more_than_their_memory(self):
        rng = random.Random(1)
        for number in range(300):
            self.grant(
                f'i{rng.randrange(124)}',
                number=number,
                tokens=rng.randrange(3_000, 30_000),
                server_ids=rng.sample(ENGINES, 3),
            )
            for engine in ENGINES:
                reserved = self.ledger.reserved(engine)
                self.assertLessEqual(reserved, CAPACITY)
        self.assertGreater(self.ledger.reserved('e1'), 0.8 * CAPACITY)

    def test_request_that_asks_again_gives_back_what_it_had(self):
        self.grant('i1', tokens=60_000, server_ids=['e1'])
        self.grant('i1', tokens=60_000, server_ids=['e2'])
        self.assertEqual(self.ledger.reserved('e1'), 0)
        self.assertEqual(self.ledger.reserved('e2'), 60_000)

    def test_report_replaces_the_reservations_of_its_instance(self):
        # Guards against tokens that count twice.
        self.grant('i1')
        self.grant('i2')
        self.ledger.record_report('i1')
        self.assertEqual(self.ledger.reserved('e1'), 6_500)

    def test_reservations_of_a_silent_instance_end(self):
        ttl_s = memory_reservations.RESERVATION_TTL_S
        self.grant('i1', now=10.0)
        self.ledger.drop_old(10.0 + ttl_s)
        self.assertEqual(self.ledger.reserved('e1'), 6_500)
        self.ledger.drop_old(10.1 + ttl_s)
        self.assertEqual(self.ledger.reserved('e1'), 0)
