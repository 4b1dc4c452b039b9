"""State that an instance keeps under the core variant."""

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
class WaitingRequest:
    """A request in the admission queue of an instance.

    Attributes:
        req: The Request.
        ticket: Its place in the queue.
        charge: Tokens charged to its organisation.
    """

    req: workload.Request
    ticket: queue.Ticket
    charge: limiter.Charge


class InstanceState:
    """State that one instance keeps for its decisions.

    Attributes:
        name: Name of the instance.
        zone: Its availability zone.
        rng: Source of random numbers, a random.Random.
        table: The ServerTable.
        queue: The AdmissionQueue.
        limiter: The RateLimiter.
        budget: The RetryBudget.
        prefixes: Names of the engines that cache a prompt prefix.
        waiting_requests: WaitingRequests by ticket id.
        call_numbers: Counter that numbers the calls to other instances.
    """

    def __init__(self, name, zone, seed):
        self.name = name
        self.zone = zone
        self.rng = random.Random(seed)
        self.table = table.ServerTable()
        self.queue = queue.AdmissionQueue()
        self.limiter = limiter.RateLimiter()
        self.budget = budget.RetryBudget()
        self.prefixes = {}
        self.waiting_requests = {}
        self.call_numbers = itertools.count()


def make_state(sim, index, instance, organisations):
    """Return the state of an instance that holds its part of the slots.

    Args:
        sim: The Simulation.
        index: Index of the instance.
        instance: The EntryInstance.
        organisations: Organisations of the document by name.
    """
    inst = InstanceState(instance.name, instance.zone, sim.rng.random())
    inst.table.declare(
        {
            name: schema.BackendServer(
                name=name,
                kind=schema.ServerKind.ENGINE,
                group='assistants',
                address='127.0.0.1:1',
                zone=engine.zone,
                slots=sim.cfg.slots,
            )
            for name, engine in sim.engines.items()
        }
    )
    for name, engine in sim.engines.items():
        inst.table.set_resident(name, engine.models, ())
    inst.limiter.configure(organisations, 0.0)
    count = len(sim.entry_instances)
    slots = range(index, shares.SLOT_COUNT, count)
    inst.limiter.hold(slots, 1e9, 0.0)
    return inst
