"""What all connections of an instance share."""

import dataclasses

from wagtailtide_gateway.http import body_memory
from wagtailtide_gateway.http import connection_budget
from wagtailtide_gateway.http import turns as turns_


@dataclasses.dataclass(frozen=True, slots=True)
class Resources:
    """What the connections of an instance share.

    Attributes:
        budget: ConnectionBudget of the instance.
        bodies: BodyMemory of the instance.
        turns: Turns of the instance.
    """

    budget: connection_budget.ConnectionBudget
    bodies: body_memory.BodyMemory
    turns: turns_.Turns


def make(limits=None):
    """Return the Resources of an instance.

    Args:
        limits: The connections.ConnectionLimits, None for the defaults.
    """
    budget = connection_budget.ConnectionBudget(limits)
    return Resources(
        budget,
        body_memory.BodyMemory(budget.limits.bodies_bytes),
        turns_.Turns(),
    )
