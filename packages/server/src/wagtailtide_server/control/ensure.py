"""Ask the owner of an engine to load a missing model or adapter."""

import dataclasses
import logging

import anyio
from wagtailtide_core.document import capacity
from wagtailtide_core.placement import fleet as fleets
from wagtailtide_core.placement import targets

from wagtailtide_server.control import load_permits

LOG = logging.getLogger(__name__)

CALL_TIMEOUT_S = 2.0
# Assumed time until a model is ready, if its memory is free and if other
# models have to be unloaded first.
LOAD_DURATION_S = 5.0
UNLOAD_AND_LOAD_DURATION_S = 15.0


@dataclasses.dataclass(frozen=True)
class EnsureResult:
    """Result of asking for a model and an adapter.

    Attributes:
        ready: Whether they can be used now.
        retry_after_s: Time in seconds after which to ask again.
    """

    ready: bool
    retry_after_s: float = 0.0


class Ensurer:
    """Caller and handler of the operation ``ensure`` between instances."""

    def __init__(self, plane, placement, adapter_fetcher=None):
        """Create it and register the handler.

        Args:
            plane: Control plane.
            placement: Placement of this instance.
            adapter_fetcher: AdapterFetcher of this instance; None if it
                fetches no adapters.
        """
        self._plane = plane
        self._placement = placement
        self._adapter_fetcher = adapter_fetcher
        plane.peers.register('ensure', self._serve)

    def choose_server(self, model):
        """Return the name of the server to load or use a model on, or None."""
        fleet = self._placement.fleet
        key = targets.model_key(model)
        holders = fleet.holders(key)
        if holders:
            return next(n for n in fleet.rendezvous_order(key) if n in holders)
        size = capacity.model_bytes(model)
        for source in fleets.MemorySource:
            name = fleet.find_server(key, size, model.accelerators, source)
            if name is not None:
                return name
        # If no server can free the memory, the model waits at the owner of
        # the first one.
        order = fleet.rendezvous_order(key)
        return order[0] if order else None

    async def ensure(self, model_name, adapter=None):
        """Ask for a model, and for an adapter of it, on one server.

        Args:
            model_name: Name of the model.
            adapter: Name of the adapter, or None.

        Returns:
            EnsureResult.
        """
        model = self._plane.config.catalog.models[model_name]
        name = self.choose_server(model)
        owner = self._placement.gossip.owners.get(name)
        body = {'server': name, 'model': model_name, 'adapter': adapter}
        if owner is None:
            return EnsureResult(False, UNLOAD_AND_LOAD_DURATION_S)
        try:
            if owner == self._plane.view.local_member.name:
                answer = await self._serve(owner, body)
            else:
                answer = await self._plane.peers.call(
                    owner, 'ensure', body, CALL_TIMEOUT_S
                )
            return EnsureResult(
                bool(answer['ready']), float(answer['retry_after_s'])
            )
        except (*load_permits.CALL_ERRORS, TypeError) as exc:
            LOG.info(
                'owner did not answer',
                extra={'backend_server': name, 'error': repr(exc)},
            )
            return EnsureResult(False, LOAD_DURATION_S)

    async def _serve(self, _sender, body):
        name = body['server']
        model = self._plane.config.catalog.models.get(body['model'])
        engine = self._placement.engines.get(name)
        if model is None or engine is None:
            return {'ready': False, 'retry_after_s': LOAD_DURATION_S}
        key = targets.model_key(model)
        if key in engine.ready_since:
            return await self._serve_adapter(engine, model, body['adapter'])
        self._placement.planner.record_request(key, anyio.current_time())
        self._placement.wake()
        is_loading = key in self._placement.fleet.holders(key)
        fits = engine.model_memory.fits(key, capacity.model_bytes(model))
        return {
            'ready': False,
            'retry_after_s': LOAD_DURATION_S
            if is_loading or fits
            else UNLOAD_AND_LOAD_DURATION_S,
        }

    async def _serve_adapter(self, engine, model, adapter):
        ready = True
        if adapter is not None and self._adapter_fetcher is not None:
            declared = self._plane.config.catalog.adapters.get(
                (model.name, adapter)
            )
            ready = (
                declared is not None
                and await self._adapter_fetcher.ensure(
                    engine, targets.model_key(model), declared
                )
            )
        return {'ready': ready, 'retry_after_s': 0.0 if ready else 1.0}


async def ensure_model(plane, request):
    """Ask for the model and adapter of a request.

    Args:
        plane: Control plane with an ``ensurer``.
        request: Object with ``model`` and ``adapter`` names.

    Returns:
        EnsureResult.
    """
    return await plane.ensurer.ensure(request.model, request.adapter)
