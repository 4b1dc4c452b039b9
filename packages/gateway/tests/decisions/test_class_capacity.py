import unittest

from wagtailtide_gateway.decisions import admission
from wagtailtide_gateway.decisions import class_capacity
from wagtailtide_gateway.decisions import server_choice

Demand = class_capacity.Demand


def make_candidate(load=0.0, less_urgent=0.0, ahead=0.0):
    return server_choice.Candidate(
        's1', 'z1', 12, load, 0.0, less_urgent=less_urgent, ahead=ahead
    )


class ShareTest(unittest.TestCase):
    def test_less_urgent_requests_keep_their_part(self):
        demands = {0: Demand(60.0, 0), 1: Demand(20.0, 0), 2: Demand(0.0, 80)}
        shares = [class_capacity.share_of(demands, p) for p in range(3)]
        ratio = class_capacity.KEPT_RATIO
        self.assertGreaterEqual(ratio, 0.25)
        for share, kept, floor in zip(
            shares, (0.4, 0.2, 0.0), (1.0, 0.4, 0.2), strict=True
        ):
            self.assertAlmostEqual(share.kept, ratio * kept)
            self.assertAlmostEqual(share.floor, ratio * floor)
        self.assertEqual([s.ahead_slots for s in shares], [0.0, 60.0, 80.0])

    def test_without_demand_nothing_is_kept(self):
        self.assertEqual(
            class_capacity.share_of({}, 1), class_capacity.Share()
        )


class RoomTest(unittest.TestCase):
    def test_less_urgent_requests_do_not_delay_an_urgent_one(self):
        share = class_capacity.Share()
        candidate = make_candidate(2.0, less_urgent=12.0)
        self.assertEqual(
            class_capacity.room(candidate, 13.0, share, 0.0), 11.0
        )

    def test_total_stays_within_the_stated_multiple(self):
        share = class_capacity.Share()
        most = class_capacity.MAX_TOTAL * 12
        candidate = make_candidate(2.0, less_urgent=most - 3.0)
        self.assertEqual(class_capacity.room(candidate, 13.0, share, 0.0), 1.0)

    def test_less_urgent_request_leaves_what_more_urgent_ones_need(self):
        share = class_capacity.Share(ahead_slots=9.0, ahead_waiting=1.0)
        # 9 slots for those that arrive, 4 of them taken, and 1 that waits.
        reserved = class_capacity.reserved_part(share, 12.0, 4.0)
        candidate = make_candidate(5.0, ahead=4.0)
        room = class_capacity.room(candidate, 12.0, share, reserved)
        self.assertAlmostEqual(room, 1.0)

    def test_less_urgent_request_keeps_its_floor(self):
        # Guards against a class that starves while more urgent requests wait.
        share = class_capacity.Share(floor=0.2, ahead_waiting=500.0)
        reserved = class_capacity.reserved_part(share, 12.0, 12.0)
        candidate = make_candidate(13.0, ahead=12.0)
        room = class_capacity.room(candidate, 12.0, share, reserved)
        self.assertAlmostEqual(room, 1.4)

    def test_urgent_request_leaves_what_is_kept(self):
        share = class_capacity.Share(kept=0.1)
        candidate = make_candidate(10.0)
        room = class_capacity.room(candidate, 13.0, share, 0.0)
        self.assertAlmostEqual(room, 0.8)


class AdmittedPartTest(unittest.TestCase):
    def test_all_instances_together_stay_within_the_room(self):
        # Guards against all instances filling the same free slots.
        share = class_capacity.Share(own_per_s=30.0, own_waiting=10.0)
        part = class_capacity.admitted_part(share, [5.0, 5.0, -3.0], 1.0)
        self.assertAlmostEqual(part, 0.25)

    def test_server_that_seemed_full_gets_a_part_of_the_room(self):
        candidates = [make_candidate(12.0), make_candidate(0.0)]
        rooms = class_capacity.rooms_until_exchange(
            candidates, [0.0, 12.0], 1.0
        )
        # Room of 12 by the latest loads, and 12 that end.
        self.assertAlmostEqual(sum(rooms), 24.0)
        self.assertGreater(rooms[0], 0.0)

    def test_requests_beyond_the_slots_do_not_end(self):
        rooms = class_capacity.rooms_until_exchange(
            [make_candidate(40.0)], [-28.0], 1.0
        )
        self.assertEqual(rooms, [-16.0])


class PoolTest(unittest.TestCase):
    def pool(self, load, share, ahead):
        pool = admission.ServerPool(96.0, load, 0, 2, 1.0)
        return class_capacity.class_pool(pool, share, ahead)

    def test_wait_of_an_urgent_request_is_that_of_the_urgent_load(self):
        pool = self.pool(50.0, class_capacity.Share(), 0.0)
        self.assertEqual((pool.slots, pool.load), (96.0, 50.0))

    def test_less_urgent_requests_wait_for_what_others_leave(self):
        share = class_capacity.Share(floor=0.1)
        pool = self.pool(96.0, share, 60.0)
        self.assertEqual((pool.slots, pool.load), (36.0, 36.0))

    def test_they_keep_their_floor(self):
        share = class_capacity.Share(floor=0.125)
        pool = self.pool(96.0, share, 96.0)
        # The more urgent ones do not use what is kept.
        self.assertEqual((pool.slots, pool.load), (12.0, 0.0))
