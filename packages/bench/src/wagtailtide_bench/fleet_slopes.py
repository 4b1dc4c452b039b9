"""Growth of the traffic, storage and CPU time of a fleet with its size.

Fits power laws to the results of the measuring functions of wagtailtide_core
and wagtailtide_server.
"""

import time

from wagtailtide_core.leases import measurement as lease_measurement
from wagtailtide_core.rates import measurement as rate_measurement
from wagtailtide_server.peers import traffic_estimate

from wagtailtide_bench import fits

# Larger fleets take minutes: the measuring functions visit every pair of an
# instance and a record or session.
GOSSIP_FLEET_SIZES = (12, 24, 48, 96, 192)
LEASE_FLEET_SIZES = (4, 8, 16, 32, 64)
ORGANISATION_COUNTS = (64, 128, 256, 512, 1024)
SERVERS_PER_INSTANCE = 2
GOSSIP_DURATION_S = 4.0


def gossip_fits(sizes=GOSSIP_FLEET_SIZES):
    """Fit the bytes per second that an instance sends to its peers."""
    costs = [
        traffic_estimate.estimate_traffic(
            n, n * SERVERS_PER_INSTANCE, GOSSIP_DURATION_S
        )
        for n in sizes
    ]
    columns = (
        ('heartbeats, bytes/s', 'heartbeat_bytes_per_s'),
        ('gossip records, bytes/s', 'record_bytes_per_s'),
        ('gossip records, bytes/s at most', 'worst_record_bytes_per_s'),
    )
    return [
        fits.fit(
            quantity,
            'instances',
            sizes,
            [getattr(measured, name) for measured in costs],
        )
        for quantity, name in columns
    ]


def lease_fits(sizes=LEASE_FLEET_SIZES):
    """Fit the size of the roster and the store calls for leases."""
    return [
        fits.fit(
            'roster, bytes',
            'instances',
            sizes,
            [lease_measurement.roster_bytes(n) for n in sizes],
        ),
        fits.fit(
            'lease calls to the store an hour',
            'instances',
            sizes,
            [lease_measurement.store_calls_per_hour(n) for n in sizes],
        ),
    ]


def rate_fits(sizes=ORGANISATION_COUNTS):
    """Fit the time of rate limiter decisions by number of organisations."""
    results = []
    for quantity, measure in (
        ('rate admission and settlement, us', rate_measurement.admit_s),
        ('rate grant, us', rate_measurement.grant_s),
    ):
        values = [
            min(measure(n, time.perf_counter) for _ in range(3)) * 1e6
            for n in sizes
        ]
        results.append(fits.fit(quantity, 'organisations', sizes, values))
    return results


def measure_all():
    """Run all measurements of this module and return the Fits."""
    return [*rate_fits(), *lease_fits(), *gossip_fits()]
