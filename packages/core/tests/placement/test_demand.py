import math
import random
import unittest

import hypothesis
from hypothesis import strategies as st
from wagtailtide_core.placement import demand

MODEL = 'letters@1'


def run_ramp(seed, factor, start_per_s=50.0):
    """Return pairs of forecast and true demand of an exponential ramp.

    Args:
        seed: Seed of the requests.
        factor: Growth of the demand within an hour.
        start_per_s: Tokens a second before the ramp.
    """
    rng = random.Random(seed)
    meters = {name: demand.DemandMeter() for name in ('a', 'b', 'c')}
    fleet = demand.FleetDemand()
    results = []

    def true_rate(at):
        return start_per_s * factor ** (max(0.0, at - 1800) / 3600)

    for second in range(1800 + 3600):
        tokens = true_rate(second) * rng.uniform(0.5, 1.5)
        meters[rng.choice('abc')].record(MODEL, tokens, second)
        if second % demand.PUBLISH_INTERVAL_S == 0:
            for name, meter in meters.items():
                fleet.apply(name, meter.to_value(second), 0.0, second)
            if second > 1800 + 2 * demand.SLOW_TIME_CONSTANT_S:
                expected = true_rate(second + demand.FORECAST_HORIZON_S)
                results.append((fleet.forecast(MODEL, 3), expected))
    return results


class DemandTest(unittest.TestCase):
    @hypothesis.settings(derandomize=True, max_examples=8, deadline=None)
    @hypothesis.given(st.integers(0, 2**32))
    def test_a_tenfold_rise_within_an_hour_is_foreseen(self, seed):
        # Guards against replicas that are loaded for the present demand and
        # are ready too late.
        ratios = [f.predicted / e for f, e in run_ramp(seed, 10.0)]
        mean = sum(ratios) / len(ratios)
        self.assertGreater(mean, 0.97)
        self.assertLess(mean, 1.25)

    def test_capacity_is_kept_during_a_pause_between_bursts(self):
        # Guards against models that are unloaded and loaded again with each
        # burst.
        meter = demand.DemandMeter()
        for second in range(1200):
            meter.record(MODEL, 100.0, second)
        fleet = demand.FleetDemand()
        fleet.apply('a', meter.to_value(1260), 0.0, 1260)
        self.assertGreater(fleet.forecast(MODEL, 1).sustained, 70.0)

    def test_the_fleet_is_estimated_from_the_reporters(self):
        names = [f'i{n}' for n in range(390)]
        reporters = [n for n in names if demand.is_reporter(n, names)]
        self.assertEqual(len(reporters), demand.MAX_REPORTERS)
        fleet = demand.FleetDemand()
        for name in reporters:
            meter = demand.DemandMeter()
            for second in range(1200):
                meter.record(MODEL, 2.0, second)
            fleet.apply(name, meter.to_value(1200), 0.0, 1200)
        found = fleet.forecast(MODEL, 390).sustained
        self.assertAlmostEqual(found / (390 * 2.0), 1.0, delta=0.1)

    def test_records_fit_the_gossip_budget(self):
        meter = demand.DemandMeter()
        for number in range(720):
            meter.record(f'm{number}@1', 100.0, 0.0)
        size = len(meter.to_value(0.0))
        per_s = size * demand.MAX_REPORTERS / demand.PUBLISH_INTERVAL_S
        self.assertLessEqual(per_s, 2_000)

    def test_demand_of_an_instance_that_has_gone_expires(self):
        meter = demand.DemandMeter()
        meter.record(MODEL, 1_000.0, 0.0)
        fleet = demand.FleetDemand()
        fleet.apply('a', meter.to_value(0.0), 0.0, 0.0)
        fleet.drop_expired(demand.RECORD_TTL_S)
        self.assertEqual(fleet.forecast(MODEL, 3), demand.NO_DEMAND)

    def test_a_malformed_record_is_ignored(self):
        fleet = demand.FleetDemand()
        self.assertFalse(fleet.apply('a', b'1234567', 0.0, 0.0))
        self.assertFalse(fleet.apply('a', [1, 2], 0.0, 0.0))

    def test_a_few_requests_are_no_growth(self):
        forecast = demand.make_forecast(2.0, 0.2)
        self.assertLess(forecast.predicted, 2.0 * math.e**0.1)


if __name__ == '__main__':
    unittest.main()
