"""Estimate the bytes that one instance sends to its peers.

Simulates the tables of a whole fleet over the overlay and counts encoded
frames. Frame headers of WebSocket are included, those of TCP and IP are not.
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
class Cost:
    """Mean bytes a second that one instance sends.

    Attributes:
        members: Size of the fleet.
        links: Mean number of links of an instance.
        heartbeat_bytes_per_s: Pings and pongs.
        record_bytes_per_s: Records.
        worst_record_bytes_per_s: Records of the instance that sends most.
    """

    members: int
    links: float
    heartbeat_bytes_per_s: float
    record_bytes_per_s: float
    worst_record_bytes_per_s: float


def measure(members, servers, seconds, seed=1):
    """Simulate a fleet and return its cost.

    Args:
        members: Number of instances.
        servers: Number of backend servers; the load record of each changes
            every LOAD_INTERVAL_S at one instance.
        seconds: Simulated time in seconds.
        seed: Seed of the contents.

    Returns:
        Cost.
    """
    rng = random.Random(seed)
    names = [f'instance-{i:03}' for i in range(members)]
    links = _links(names)
    held = {name: table.Table(REGION, 0.0) for name in names}
    for name in names:
        for peer in links[name]:
            held[name].attach(peer, REGION, 0.0)
    sent = dict.fromkeys(names, 0)
    steps = round(seconds / STEP_S)
    for step in range(1, steps + 1):
        now = step * STEP_S
        _change_loads(held, names, servers, step, rng, now)
        _exchange(held, names, links, sent, now)
    mean_links = sum(map(len, links.values())) / members
    return Cost(
        members,
        mean_links,
        mean_links * _heartbeat_bytes() / detector.PING_INTERVAL_S,
        sum(sent.values()) / members / seconds,
        max(sent.values()) / seconds,
    )


def _links(names):
    links = {name: set() for name in names}
    for name in names:
        for peer in overlay.links_to_open(name, names):
            links[name].add(peer)
            links[peer].add(name)
    return {name: sorted(peers) for name, peers in links.items()}


def _heartbeat_bytes():
    """Return the bytes one side sends on one link for each interval."""
    pong = frames.Pong(100_000, 2_500, 1_000_000, 1_000)
    both = (frames.Ping(100_000), pong)
    return sum(len(frames.encode(f)) + WEBSOCKET_HEADER_BYTES for f in both)


def _change_loads(held, names, servers, step, rng, now):
    period = round(LOAD_INTERVAL_S / STEP_S)
    for server in range(step % period, servers, period):
        owner = names[server % len(names)]
        value = [rng.randrange(64), rng.randrange(64), rng.randrange(10_000)]
        held[owner].put(
            records.Kind.LOAD, f'server-{server:03}', (7, step), value, now
        )


def _exchange(held, names, links, sent, now):
    # Taken from all before any is merged, as messages in flight are.
    messages = []
    for name in names:
        for peer in links[name]:
            taken = held[name].take(peer, now)
            if taken:
                frame = frames.encode(frames.Records(tuple(taken)))
                sent[name] += len(frame) + WEBSOCKET_HEADER_BYTES
                messages.append((name, peer, taken))
    for name, peer, taken in messages:
        held[peer].merge(taken, name, now)
