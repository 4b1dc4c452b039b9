"""Wait until a model or an adapter that no engine holds is there."""

import dataclasses

import anyio
from wagtailtide_core.errors import kinds
from wagtailtide_core.placement import targets
from wagtailtide_core.routing import choose

POLL_S = 0.1
# Repeated, because the owner that was asked may have lost the server since.
ASK_S = 1.0


@dataclasses.dataclass(frozen=True)
class _Wish:
    model: str
    adapter: str | None


class Residency:
    """Asks the owners of engines for what requests miss."""

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

    def record_demand(self, model, tokens):
        """Count the tokens that a request for a model may take."""
        self._placement.record_demand(targets.key_of(model), tokens)

    def record_use(self, server, route):
        """Note that a request is sent to a server."""
        if route.adapter is not None:
            key = f'{"@".join(route.model)}:{route.adapter[1]}'
            self._placement.adapters.record_use(server, key)

    async def wait(self, call, tried, deadline_at):
        """Return once a server can be chosen for a call.

        Args:
            call: The Call, whose model or adapter is missing.
            tried: Names of servers that must not be chosen.
            deadline_at: Monotonic time at which the answer must be whole.

        Raises:
            ServingError: MODEL_LOADING, at once if the expected time of the
                load exceeds the deadline.
        """
        route = call.route
        wish = _Wish(route.model[0], route.adapter and route.adapter[1])
        due_at = None
        while True:
            retry_after_s = await self._ask(wish, route)
            now = anyio.current_time()
            if due_at is None:
                due_at = now + retry_after_s
            if max(due_at, now + POLL_S) >= deadline_at:
                raise _loading(call, max(due_at - now, retry_after_s, 1.0))
            with anyio.move_on_after(min(ASK_S, deadline_at - now)):
                await self._wait_for_choice(call, tried)
                return

    async def _wait_for_choice(self, call, tried):
        while True:
            chosen = self._dispatcher.choose(call, tried)
            if isinstance(chosen, choose.Choice):
                return
            await anyio.sleep(POLL_S)

    async def _ask(self, wish, route):
        model = self._plane.config.catalog.models.get(wish.model)
        if model is None or model.version != route.model[1]:
            # Replaced by another version; the request cannot be served.
            return float('inf')
        ensurer = self._placement.ensurer
        server = ensurer.choose_server(model)
        ensured = await ensurer.ensure(wish.model, wish.adapter)
        table = self._dispatcher.table
        if ensured.ready and server in table.servers:
            table.add_model(server, route.model)
            if route.adapter is not None:
                table.add_adapter(server, route.adapter)
        return ensured.retry_after_s


def _loading(call, retry_after_s):
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
