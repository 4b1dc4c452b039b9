"""Ask the owner of an engine for a model or an adapter that is missing."""

import dataclasses
import logging

import anyio
from wagtailtide_core.document import capacity
from wagtailtide_core.placement import fleet as fleets
from wagtailtide_core.placement import targets

from wagtailtide_server.control import load_permits

LOG = logging.getLogger(__name__)

CALL_S = 2.0
# Time of a load that is assumed, and of one that first needs room.
LOAD_S = 5.0
WAIT_FOR_ROOM_S = 15.0


@dataclasses.dataclass(frozen=True)
class Ensured:
    """What became of the wish for a model.

    Attributes:
        ready: Whether it can be used now.
        retry_after_s: Time after which to look again.
    """

    ready: bool
    retry_after_s: float = 0.0


class Ensurer:
    """Both sides of the operation ``ensure``."""

    def __init__(self, plane, placement, adapters=None):
        """Create it.

        Args:
            plane: Control plane.
            placement: Placement of this instance.
            adapters: AdapterFetches of this instance.
        """
        self._plane = plane
        self._placement = placement
        self._adapters = adapters
        plane.peers.register('ensure', self._serve)

    def choose_server(self, model):
        """Return the name of the server that should have a model."""
        fleet = self._placement.fleet
        key = targets.key_of(model)
        holders = fleet.holders(key)
        if holders:
            return next(n for n in fleet.order(key) if n in holders)
        size = capacity.model_bytes(model)
        for room in fleets.Room:
            name = fleet.find_server(key, size, model.accelerators, room)
            if name is not None:
                return name
        # Without room anywhere the model joins the queue of one owner.
        order = fleet.order(key)
        return order[0] if order else None

    async def ensure(self, model_name, adapter=None):
        """Ask for a model, and for an adapter of it, on one server.

        Args:
            model_name: Name of the model.
            adapter: Name of the adapter, or None.

        Returns:
            Ensured.
        """
        model = self._plane.config.catalog.models[model_name]
        name = self.choose_server(model)
        owner = self._placement.news.owners.get(name)
        body = {'server': name, 'model': model_name, 'adapter': adapter}
        if owner is None:
            return Ensured(False, WAIT_FOR_ROOM_S)
        try:
            if owner == self._plane.view.me.name:
                answer = await self._serve(owner, body)
            else:
                answer = await self._plane.peers.call(
                    owner, 'ensure', body, CALL_S
                )
            return Ensured(
                bool(answer['ready']), float(answer['retry_after_s'])
            )
        except (*load_permits.CALL_ERRORS, TypeError) as exc:
            LOG.info(
                'owner did not answer',
                extra={'backend_server': name, 'error': repr(exc)},
            )
            return Ensured(False, LOAD_S)

    async def _serve(self, _sender, body):
        name = body['server']
        model = self._plane.config.catalog.models.get(body['model'])
        engine = self._placement.engines.get(name)
        if model is None or engine is None:
            return {'ready': False, 'retry_after_s': LOAD_S}
        key = targets.key_of(model)
        if key in engine.ready_since:
            return await self._serve_adapter(engine, model, body['adapter'])
        self._placement.planner.want(key, anyio.current_time())
        self._placement.wake()
        coming = key in self._placement.fleet.holders(key)
        fits = engine.models.fits(key, capacity.model_bytes(model))
        return {
            'ready': False,
            'retry_after_s': LOAD_S if coming or fits else WAIT_FOR_ROOM_S,
        }

    async def _serve_adapter(self, engine, model, adapter):
        ready = True
        if adapter is not None and self._adapters is not None:
            declared = self._plane.config.catalog.adapters.get(
                (model.name, adapter)
            )
            ready = declared is not None and await self._adapters.ensure(
                engine, targets.key_of(model), declared
            )
        return {'ready': ready, 'retry_after_s': 0.0 if ready else 1.0}


async def ensure_model(plane, request):
    """Ask for the model and adapter of a request.

    Args:
        plane: Control plane with an ``ensurer``.
        request: Object with ``model`` and ``adapter`` names.

    Returns:
        Ensured.
    """
    return await plane.ensurer.ensure(request.model, request.adapter)
