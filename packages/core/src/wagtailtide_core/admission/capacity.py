"""Check whether a backend server can take another request of a class."""

from wagtailtide_core.document import schema
from wagtailtide_core.routing import choose

# Estimated work, as a share of a server's slots, below which a request is
# sent. Reports are seconds old, so a server that is full by estimate may have
# free slots. Urgent classes therefore queue in the engine, which starts the
# most urgent request first. Batch leaves a tenth of the slots free, so that an
# urgent request rarely waits for a batch request to end.
MAX_UTILISATION = {
    schema.PriorityClass.INTERACTIVE: 2.0,
    schema.PriorityClass.STANDARD: 1.2,
    schema.PriorityClass.BATCH: 0.9,
}


def has_capacity(req, servers, priority_class, now):
    """Tell whether any server can take a request now.

    Args:
        req: The RouteRequest.
        servers: The ServerTable.
        priority_class: PriorityClass of the request.
        now: Monotonic time in seconds.
    """
    if req.model is not None:
        candidates = servers.with_model(req.model)
    else:
        candidates = servers.in_group(req.group)
    limit = MAX_UTILISATION[priority_class]
    return any(
        choose.exclusion_reason(req, state, now) is None
        and choose.estimate_work(req, state, now) < limit
        for state in candidates
    )
