"""Whether a backend server can take another request of a class."""

from wagtailtide_core.document import schema
from wagtailtide_core.routing import choose

# Estimated work, as a share of a server's slots, up to which a request is
# sent. Reports are seconds old, so a server at its limit by estimate may have
# free slots: urgent classes go on to wait in the engine, which starts the most
# urgent first. Batch leaves a tenth, so that an urgent request rarely waits
# for the end of a batch request.
FILL = {
    schema.PriorityClass.INTERACTIVE: 2.0,
    schema.PriorityClass.STANDARD: 1.2,
    schema.PriorityClass.BATCH: 0.9,
}


def has_room(req, servers, priority_class, now):
    """Tell whether some server can take a request now.

    Args:
        req: The RouteRequest.
        servers: The ServerTable.
        priority_class: Class of the request.
        now: Monotonic time in seconds.
    """
    if req.model is not None:
        possible = servers.with_model(req.model)
    else:
        possible = servers.in_group(req.group)
    limit = FILL[priority_class]
    return any(
        choose.exclusion_reason(req, state, now) is None
        and choose.estimate_work(req, state, now) < limit
        for state in possible
    )
