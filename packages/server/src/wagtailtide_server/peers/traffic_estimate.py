"""Estimate the bytes that one instance sends to its peers.

Simulates the gossip tables of a whole fleet with its overlay links and counts
the bytes of encoded frames. WebSocket frame headers are included, TCP and IP
headers are not.
"""

import dataclasses
import random

from wagtailtide_core.gossip import records
from wagtailtide_core.gossip import table
from wagtailtide_core.membership import detector
from wagtailtide_core.membership import overlay

from wagtailtide_server.peers import frames

REGION = 'region-0'
STEP_S = 0.2
WEBSOCKET_HEADER_BYTES = 8
LOAD_INTERVAL_S = 2.0


@dataclasses.dataclass(frozen=True)
class TrafficEstimate:
    """Mean bytes that one instance sends in a second.

    Attributes:
        members: Size of the fleet.
        links: Mean number of links of an instance.
        heartbeat_bytes_per_s: Pings and pongs.
        record_bytes_per_s: Gossip records.
        worst_record_bytes_per_s: Gossip records of the instance that sends
            most of them.
    """

    members: int
    links: float
    heartbeat_bytes_per_s: float
    record_bytes_per_s: float
    worst_record_bytes_per_s: float


def estimate_traffic(members, servers, seconds, seed=1):
    """Simulate a fleet and estimate its gossip and heartbeat traffic.

    Args:
        members: Number of instances.
        servers: Number of backend servers; the load record of each changes
            every LOAD_INTERVAL_S at one instance.
        seconds: Simulated time in seconds.
        seed: Seed of the records' values.

    Returns:
        TrafficEstimate.
    """
    rng = random.Random(seed)
    names = [f'instance-{i:03}' for i in range(members)]
    links = _overlay_links(names)
    tables = {name: table.Table(REGION, 0.0) for name in names}
    for name in names:
        for peer in links[name]:
            tables[name].attach(peer, REGION, 0.0)
    sent_bytes = dict.fromkeys(names, 0)
    steps = round(seconds / STEP_S)
    for step in range(1, steps + 1):
        now = step * STEP_S
        _change_loads(tables, names, servers, step, rng, now)
        _exchange_records(tables, names, links, sent_bytes, now)
    mean_links = sum(map(len, links.values())) / members
    return TrafficEstimate(
        members,
        mean_links,
        mean_links * _heartbeat_bytes() / detector.PING_INTERVAL_S,
        sum(sent_bytes.values()) / members / seconds,
        max(sent_bytes.values()) / seconds,
    )


def _overlay_links(names):
    links = {name: set() for name in names}
    for name in names:
        for peer in overlay.links_to_open(name, names):
            links[name].add(peer)
            links[peer].add(name)
    return {name: sorted(peers) for name, peers in links.items()}


def _heartbeat_bytes():
    """Return the bytes that one side of a link sends in a ping interval."""
    pong = frames.Pong(100_000, 2_500, 1_000_000, 1_000)
    heartbeats = (frames.Ping(100_000), pong)
    return sum(
        len(frames.encode(f)) + WEBSOCKET_HEADER_BYTES for f in heartbeats
    )


def _change_loads(tables, names, servers, step, rng, now):
    period = round(LOAD_INTERVAL_S / STEP_S)
    for server in range(step % period, servers, period):
        owner = names[server % len(names)]
        value = [rng.randrange(64), rng.randrange(64), rng.randrange(10_000)]
        tables[owner].put(
            records.Kind.LOAD, f'server-{server:03}', (7, step), value, now
        )


def _exchange_records(tables, names, links, sent_bytes, now):
    # Records are taken from all tables before any are merged, because messages
    # of the same step are in flight at the same time.
    messages = []
    for name in names:
        for peer in links[name]:
            batch = tables[name].take(peer, now)
            if batch:
                frame = frames.encode(frames.Records(tuple(batch)))
                sent_bytes[name] += len(frame) + WEBSOCKET_HEADER_BYTES
                messages.append((name, peer, batch))
    for name, peer, batch in messages:
        tables[peer].merge(batch, name, now)
