"""State of an entry instance in the measuring run."""

import dataclasses
import itertools
import random

from wagtailtide_core.admission import queue
from wagtailtide_core.document import schema
from wagtailtide_core.rates import limiter
from wagtailtide_core.rates import shares
from wagtailtide_core.retries import budget
from wagtailtide_core.routing import table

from wagtailtide_bench import workload


@dataclasses.dataclass
class Waiting:
    """A request in the queue of an instance."""

    req: workload.Request
    ticket: queue.Ticket
    charge: limiter.Charge


class Instance:
    """State of one entry instance."""

    def __init__(self, name, zone, seed):
        self.name = name
        self.zone = zone
        self.rng = random.Random(seed)
        self.table = table.ServerTable()
        self.queue = queue.AdmissionQueue()
        self.limiter = limiter.RateLimiter()
        self.budget = budget.RetryBudget()
        self.prefixes = {}
        self.held = {}
        self.calls = itertools.count()


def make_instance(world, index, entry, organisations):
    """Return the state of an instance that holds its part of the slots."""
    inst = Instance(entry.name, entry.zone, world.rng.random())
    inst.table.declare(
        {
            name: schema.BackendServer(
                name=name,
                kind=schema.ServerKind.ENGINE,
                group='assistants',
                address='127.0.0.1:1',
                zone=engine.zone,
                slots=world.cfg.slots,
            )
            for name, engine in world.engines.items()
        }
    )
    for name, engine in world.engines.items():
        inst.table.set_resident(name, engine.models, ())
    inst.limiter.configure(organisations, 0.0)
    count = len(world.entries)
    slots = range(index, shares.SLOTS, count)
    inst.limiter.hold(slots, 1e9, 0.0)
    return inst
