"""News of engines and demand, exchanged with the other instances."""

import itertools
import logging

import anyio
from wagtailtide_core.gossip import records
from wagtailtide_core.placement import demand as demands
from wagtailtide_core.placement import fleet as fleets

LOG = logging.getLogger(__name__)

# Well before the time to live of the records, which is an hour.
RENEW_S = 1200.0


class PlacementNews:
    """Takes over records of engines and demand, and puts own ones.

    Attributes:
        fleet: News of all engines.
        demand: Demand of the whole fleet.
        meter: Demand seen by this instance.
        owners: Owner of each engine, from its news.
    """

    def __init__(self, plane):
        self.fleet = fleets.Fleet()
        self.demand = demands.FleetDemand()
        self.meter = demands.Meter()
        self.owners = {}
        self._plane = plane
        self._numbers = itertools.count(1)
        self._spread_at = 0.0
        self._put = {}
        self._seen = {}

    def take(self, declared, ownership):
        """Take over what the gossip table holds.

        Args:
            declared: Declared engines by name.
            ownership: Ownership, which is lost to a higher fencing token.
        """
        now = anyio.current_time()
        for record in self._plane.table.of_kind(records.Kind.SERVER, now):
            if self._seen.get(record.key) == record.stamp:
                continue
            own = ownership.owned.get(record.id)
            if own is not None:
                if record.stamp[0] > own.fence:
                    ownership.lost(record.id)
            elif record.id in declared:
                self._take_server(record, declared[record.id])
        for name in self.fleet.names() - declared.keys():
            self.fleet.drop(name)
        for record in self._plane.table.of_kind(records.Kind.DEMAND, now):
            if self._seen.get(record.key) != record.stamp:
                self._seen[record.key] = record.stamp
                self.demand.apply(record.id, record.value, record.age_s, now)
        self.demand.drop_expired(now)

    def _take_server(self, record, declared):
        try:
            owner, *news = record.value
            self.fleet.put(fleets.from_value(news, declared))
        except (TypeError, ValueError) as exc:
            LOG.info('news not readable', extra={'error': str(exc)})
            return
        self.owners[record.id] = str(owner)
        self._seen[record.key] = record.stamp

    def put_server(self, fence, news):
        """Spread the state of an own engine if it changed.

        Args:
            fence: Fencing token of this owner.
            news: ServerNews.
        """
        now = anyio.current_time()
        owner = self._plane.view.me.name
        self.owners[news.name] = owner
        content = (fence, [owner, *news.to_value()])
        known, put_at = self._put.get(news.name, (None, 0.0))
        if known == content and now < put_at + RENEW_S:
            return
        self._put[news.name] = (content, now)
        stamp = (fence, next(self._numbers))
        self._plane.table.put(
            records.Kind.SERVER, news.name, stamp, content[1], now
        )

    def put_demand(self):
        """Spread the demand that this instance sees, if it is due."""
        now = anyio.current_time()
        name = self._plane.view.me.name
        if now < self._spread_at or not demands.is_reporter(
            name, self._plane.view.live()
        ):
            return
        self._spread_at = now + demands.SPREAD_EVERY_S
        stamp = (self._plane.boot, next(self._numbers))
        value = self.meter.value(now)
        self._plane.table.put(records.Kind.DEMAND, name, stamp, value, now)
