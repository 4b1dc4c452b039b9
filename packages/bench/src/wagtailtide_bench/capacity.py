"""Control-plane costs up to the largest fleet that the design covers."""

import dataclasses
import random
import time

from wagtailtide_core.claims import codec
from wagtailtide_core.claims import model
from wagtailtide_core.leases import measurement as leases
from wagtailtide_core.placement import measure as placement
from wagtailtide_server.peers import traffic_estimate

from wagtailtide_bench import fits

FLEET_SIZES = (12, 24, 48, 96, 192)
LARGEST_FLEET_SIZE = 390
GOSSIP_DURATION_S = 10.0
LARGEST_GOSSIP_DURATION_S = 4.0
SERVER_COUNTS = (24, 48, 96, 192, 384, 768)
MODEL_COUNTS = (45, 90, 180, 360, 720)
CLAIM_COUNTS = (64, 128, 256, 512, 1024)
# Twelve model loads per minute, a tenth of them on servers that ignore fencing
# tokens.
MODEL_LOADS_PER_HOUR = 720
UNFENCED_SHARE = 0.1
TAKEOVERS_PER_HOUR = 2


@dataclasses.dataclass(frozen=True)
class Measurement:
    """A measured or calculated quantity at one size.

    Attributes:
        quantity: What was measured, with its unit.
        size: Size of the fleet that it applies to.
        value: The value.
    """

    quantity: str
    size: str
    value: float


def measure_gossip():
    """Measure the bytes per second that an instance sends by fleet size."""
    rows = []
    for members in (*FLEET_SIZES, LARGEST_FLEET_SIZE):
        duration_s = (
            LARGEST_GOSSIP_DURATION_S
            if members == LARGEST_FLEET_SIZE
            else GOSSIP_DURATION_S
        )
        measured = traffic_estimate.estimate_traffic(
            members, 2 * members, duration_s
        )
        size = f'{members} instances, {2 * members} servers'
        rows += [
            Measurement('links of an instance', size, measured.links),
            Measurement(
                'heartbeat bytes/s', size, measured.heartbeat_bytes_per_s
            ),
            Measurement(
                'record bytes/s, mean', size, measured.record_bytes_per_s
            ),
            Measurement(
                'record bytes/s, worst',
                size,
                measured.worst_record_bytes_per_s,
            ),
        ]
    return rows


def count_store_calls():
    """Calculate the calls per second to the store at the largest fleet."""
    size = f'{LARGEST_FLEET_SIZE} instances, 770 servers'
    orders = placement.store_calls_per_hour(
        770, UNFENCED_SHARE, MODEL_LOADS_PER_HOUR, TAKEOVERS_PER_HOUR
    )
    sessions = leases.store_calls_per_hour(LARGEST_FLEET_SIZE)
    return [
        Measurement('sessions and roster, calls/s', size, sessions / 3600),
        Measurement(
            'ownership and placement, reads/s', size, orders.reads / 3600
        ),
        Measurement(
            'ownership and placement, writes/s', size, orders.writes / 3600
        ),
    ]


def fit_roster():
    """Fit the size of the roster object by number of sessions."""
    sizes = FLEET_SIZES[:-1]
    values = [leases.roster_bytes(count) for count in sizes]
    return fits.fit('roster object, bytes', 'sessions', sizes, values)


def fit_planning():
    """Fit the CPU time of one placement plan by servers and by models."""
    by_servers = [
        1e6 * placement.time_plans(720, n, time.process_time).median_s
        for n in SERVER_COUNTS
    ]
    by_models = [
        1e6 * placement.time_plans(n, 768, time.process_time).median_s
        for n in MODEL_COUNTS
    ]
    return [
        fits.fit('planning tick, us', 'servers', SERVER_COUNTS, by_servers),
        fits.fit('planning tick, us', 'models', MODEL_COUNTS, by_models),
    ]


def fit_claims():
    """Fit the size of a claims head by number of claims without outcome."""
    rng = random.Random(1)
    sizes = []
    for count in CLAIM_COUNTS:
        entries = {}
        for _ in range(count):
            claim = model.Claim(
                rng.randbytes(16),
                rng.randbytes(16),
                rng.randbytes(12),
                'charlotte-1',
                1_000_000,
            )
            entries[claim.key_hash] = claim
        sizes.append(len(codec.encode_head(model.Head(entries))))
    return fits.fit('claims head, bytes', 'claims', CLAIM_COUNTS, sizes)


def measure_all():
    """Return the list of all Measurements and the list of all Fits."""
    rows = [*measure_gossip(), *count_store_calls()]
    return rows, [fit_roster(), *fit_planning(), fit_claims()]


def format_rows(rows):
    """Return Measurements as a Markdown table."""
    lines = ['| quantity | size | value |', '| --- | --- | --- |']
    lines += [f'| {r.quantity} | {r.size} | {r.value:,.1f} |' for r in rows]
    return '\n'.join(lines)
