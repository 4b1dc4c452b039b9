"""Costs of control at the size to design for, from counts and slopes."""

import dataclasses
import random
import time

from wagtailtide_core.claims import codec
from wagtailtide_core.claims import model
from wagtailtide_core.leases import measurement as leases
from wagtailtide_core.placement import measure as placement
from wagtailtide_server.peers import cost

from wagtailtide_bench import fits

FLEETS = (12, 24, 48, 96, 192)
LARGEST_FLEET = 390
GOSSIP_S = 10.0
LARGEST_GOSSIP_S = 4.0
SERVERS = (24, 48, 96, 192, 384, 768)
MODELS = (45, 90, 180, 360, 720)
CLAIMS = (64, 128, 256, 512, 1024)
# Twelve loads of different models a minute, a tenth of them on servers that
# ignore fencing tokens.
MOVES_PER_HOUR = 720
UNFENCED_SHARE = 0.1
TAKEOVERS_PER_HOUR = 2


@dataclasses.dataclass(frozen=True)
class Row:
    """A measured or counted quantity at one size."""

    quantity: str
    size: str
    value: float


def gossip():
    """Return bytes a second for each instance by fleet size."""
    rows = []
    for members in (*FLEETS, LARGEST_FLEET):
        seconds = LARGEST_GOSSIP_S if members == LARGEST_FLEET else GOSSIP_S
        found = cost.measure(members, 2 * members, seconds)
        size = f'{members} instances, {2 * members} servers'
        rows += [
            Row('links of an instance', size, found.links),
            Row('heartbeat bytes/s', size, found.heartbeat_bytes_per_s),
            Row('record bytes/s, mean', size, found.record_bytes_per_s),
            Row('record bytes/s, worst', size, found.worst_record_bytes_per_s),
        ]
    return rows


def store_calls():
    """Return the store's calls a second at the largest fleet."""
    size = f'{LARGEST_FLEET} instances, 770 servers'
    orders = placement.store_calls_per_hour(
        770, UNFENCED_SHARE, MOVES_PER_HOUR, TAKEOVERS_PER_HOUR
    )
    sessions = leases.store_calls_per_hour(LARGEST_FLEET)
    return [
        Row('sessions and roster, calls/s', size, sessions / 3600),
        Row('ownership and placement, reads/s', size, orders.reads / 3600),
        Row('ownership and placement, writes/s', size, orders.writes / 3600),
    ]


def roster():
    """Return the fit of the roster object's size."""
    sizes = FLEETS[:-1]
    values = [leases.roster_bytes(count) for count in sizes]
    return fits.fit('roster object, bytes', 'sessions', sizes, values)


def planning():
    """Return fits of the time of one planning tick."""
    by_servers = [
        1e6 * placement.time_plans(720, n, time.process_time).median_s
        for n in SERVERS
    ]
    by_models = [
        1e6 * placement.time_plans(n, 768, time.process_time).median_s
        for n in MODELS
    ]
    return [
        fits.fit('planning tick, us', 'servers', SERVERS, by_servers),
        fits.fit('planning tick, us', 'models', MODELS, by_models),
    ]


def claims():
    """Return the fit of a claims head's size without and with outcomes."""
    rng = random.Random(1)
    sizes = []
    for count in CLAIMS:
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
    return fits.fit('claims head, bytes', 'claims', CLAIMS, sizes)


def measure_all():
    """Return all rows and all fits."""
    rows = [*gossip(), *store_calls()]
    return rows, [roster(), *planning(), claims()]


def format_rows(rows):
    """Return the rows as a table."""
    lines = ['| quantity | size | value |', '| --- | --- | --- |']
    lines += [f'| {r.quantity} | {r.size} | {r.value:,.1f} |' for r in rows]
    return '\n'.join(lines)
