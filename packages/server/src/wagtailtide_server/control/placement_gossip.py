"""Gossip records of engines and demand, exchanged between instances."""

import itertools
import logging

import anyio
from wagtailtide_core.gossip import records
from wagtailtide_core.placement import demand as demands
from wagtailtide_core.placement import fleet as fleets

LOG = logging.getLogger(__name__)

# Well below the time to live of the records, which is an hour.
RENEW_INTERVAL_S = 1200.0


class PlacementGossip:
    """Applies records of other instances and publishes its own.

    Attributes:
        fleet: Fleet, the last known state of all engines.
        demand: Demand of the whole fleet.
        meter: Demand seen by this instance.
        owners: Name of the owner by engine, from its record.
    """

    def __init__(self, plane):
        self.fleet = fleets.Fleet()
        self.demand = demands.FleetDemand()
        self.meter = demands.DemandMeter()
        self.owners = {}
        self._plane = plane
        self._numbers = itertools.count(1)
        self._next_demand_at = 0.0
        self._published = {}
        self._seen = {}

    def apply_records(self, declared, ownership):
        """Apply the records in the gossip table.

        Args:
            declared: Declared engines by name.
            ownership: Ownership; an owned engine whose record has a higher
                fencing token than the owned one is marked as lost.
        """
        now = anyio.current_time()
        for record in self._plane.table.of_kind(records.Kind.SERVER, now):
            if self._seen.get(record.key) == record.stamp:
                continue
            owned = ownership.owned.get(record.id)
            if owned is not None:
                if record.stamp[0] > owned.fence:
                    ownership.mark_lost(record.id)
            elif record.id in declared:
                self._apply_server(record, declared[record.id])
        for name in self.fleet.names() - declared.keys():
            self.fleet.drop(name)
        for record in self._plane.table.of_kind(records.Kind.DEMAND, now):
            if self._seen.get(record.key) != record.stamp:
                self._seen[record.key] = record.stamp
                self.demand.apply(record.id, record.value, record.age_s, now)
        self.demand.drop_expired(now)

    def _apply_server(self, record, declared):
        try:
            owner, *state = record.value
            self.fleet.put(fleets.from_value(state, declared))
        except (TypeError, ValueError) as exc:
            LOG.info('engine state not readable', extra={'error': str(exc)})
            return
        self.owners[record.id] = str(owner)
        self._seen[record.key] = record.stamp

    def publish_server(self, fence, state):
        """Publish the state of an owned engine if it changed or is due.

        Args:
            fence: Fencing token of this owner.
            state: EngineState.
        """
        now = anyio.current_time()
        owner = self._plane.view.local_member.name
        self.owners[state.name] = owner
        content = (fence, [owner, *state.to_value()])
        known, published_at = self._published.get(state.name, (None, 0.0))
        if known == content and now < published_at + RENEW_INTERVAL_S:
            return
        self._published[state.name] = (content, now)
        stamp = (fence, next(self._numbers))
        self._plane.table.put(
            records.Kind.SERVER, state.name, stamp, content[1], now
        )

    def publish_demand(self):
        """Publish the demand seen by this instance, if it is due."""
        now = anyio.current_time()
        name = self._plane.view.local_member.name
        if now < self._next_demand_at or not demands.is_reporter(
            name, self._plane.view.live()
        ):
            return
        self._next_demand_at = now + demands.PUBLISH_INTERVAL_S
        stamp = (self._plane.boot, next(self._numbers))
        value = self.meter.to_value(now)
        self._plane.table.put(records.Kind.DEMAND, name, stamp, value, now)
