"""Loading of models and adapters on request."""

import collections
import dataclasses

import anyio
from wagtailtide_core.errors import kinds
from wagtailtide_core.placement import targets
from wagtailtide_core.routing import choose

POLL_INTERVAL_S = 0.1
# The request for a load is repeated, because the owner that was asked may have
# lost the server since.
REQUEST_INTERVAL_S = 1.0


@dataclasses.dataclass(frozen=True)
class _Missing:
    model: str
    adapter: str | None


class OnDemandLoader:
    """Asks engine owners to load the models and adapters requests need."""

    def __init__(self, plane, placement, dispatcher):
        """Create it.

        Args:
            plane: Control plane.
            placement: PlacementService of this instance.
            dispatcher: The Dispatcher.
        """
        self._plane = plane
        self._placement = placement
        self._dispatcher = dispatcher
        self._waiting = collections.Counter()

    def record_demand(self, model, tokens):
        """Count the tokens that a request for a model may use."""
        self._placement.record_demand(targets.model_key(model), tokens)

    def record_use(self, server, route):
        """Record the use of a request's adapter, if any, on a server."""
        if route.adapter is not None:
            key = f'{"@".join(route.model)}:{route.adapter[1]}'
            self._placement.adapter_fetcher.record_use(server, key)

    async def wait(self, call, tried, deadline_at):
        """Wait until a server can be chosen for a call.

        Args:
            call: The Call, whose model or adapter is not resident.
            tried: Names of servers that must not be chosen.
            deadline_at: Monotonic time in seconds by which the response must
                be complete.

        Raises:
            ServingError: MODEL_LOADING if the load is not done by the
                deadline; at once if it is not expected to be.
        """
        route = call.route
        missing = _Missing(route.model[0], route.adapter and route.adapter[1])
        self._waiting[missing] += 1
        try:
            await self._wait(call, missing, tried, deadline_at)
        finally:
            self._waiting[missing] -= 1
            if not self._waiting[missing]:
                del self._waiting[missing]

    def waiting_counts(self):
        """Return pairs of ``(model, adapter)`` and number of waiting requests.

        The adapter is empty if only the model is waited for.
        """
        return sorted(
            ((missing.model, missing.adapter or ''), count)
            for missing, count in self._waiting.items()
        )

    async def _wait(self, call, missing, tried, deadline_at):
        route = call.route
        due_at = None
        while True:
            retry_after_s = await self._request_load(missing, route)
            now = anyio.current_time()
            if due_at is None:
                due_at = now + retry_after_s
            if max(due_at, now + POLL_INTERVAL_S) >= deadline_at:
                raise _model_loading_error(
                    call, max(due_at - now, retry_after_s, 1.0)
                )
            with anyio.move_on_after(
                min(REQUEST_INTERVAL_S, deadline_at - now)
            ):
                await self._wait_for_choice(call, tried)
                return

    async def _wait_for_choice(self, call, tried):
        while True:
            chosen = self._dispatcher.choose(call, tried)
            if isinstance(chosen, choose.Choice):
                return
            await anyio.sleep(POLL_INTERVAL_S)

    async def _request_load(self, missing, route):
        model = self._plane.config.catalog.models.get(missing.model)
        if model is None or model.version != route.model[1]:
            # The model was replaced by another version, so the request cannot
            # be served.
            return float('inf')
        ensurer = self._placement.ensurer
        server = ensurer.choose_server(model)
        ensured = await ensurer.ensure(missing.model, missing.adapter)
        table = self._dispatcher.table
        if ensured.ready and server in table.servers:
            table.add_model(server, route.model)
            if route.adapter is not None:
                table.add_adapter(server, route.adapter)
        return ensured.retry_after_s


def _model_loading_error(call, retry_after_s):
    name, version = call.route.model
    adapter = call.route.adapter
    missing = f'model {name}@{version}'
    if adapter is not None:
        missing += f' with adapter {adapter[1]}'
    return kinds.ServingError(
        kinds.ErrorKind.MODEL_LOADING,
        f'{missing} is not resident on any backend server and cannot be '
        'loaded within the deadline; send the request again later',
        fate=call.history.fate,
        retry_after_s=min(retry_after_s, 600.0),
    )
