"""Accelerator memory of an engine: resident models and adapters."""

import dataclasses

from wagtailtide_testing.standins import engine_settings

LOADING, READY, UNLOADING = 'loading', 'ready', 'unloading'


@dataclasses.dataclass
class Resident:
    """A model version or an adapter in memory.

    Attributes:
        bytes: Memory it takes.
        state: Loading, ready or unloading.
        users: Requests that run with it.
        used_at: Time of the latest use in seconds.
        unload_due: Time of the end of its unload, or None.
    """

    bytes: int
    state: str = LOADING
    users: int = 0
    used_at: float = 0.0
    unload_due: float | None = None


class Accelerator:
    """Memory and what is in it.

    Attributes:
        models: Residents by ``name@version``.
        adapters: Residents by (``name@version``, adapter).
        overcommitted: Number of times more memory was in use than there is.
    """

    def __init__(self, settings):
        self._settings = settings
        self.models = {}
        self.adapters = {}
        self.overcommitted = 0

    @property
    def used_bytes(self):
        """Memory in use, with the whole adapter pool."""
        models = sum(held.bytes for held in self.models.values())
        return models + (
            self._settings.adapter_pool_bytes or self._adapter_bytes()
        )

    def _adapter_bytes(self):
        return sum(held.bytes for held in self.adapters.values())

    def add_model(self, model, size, now):
        """Take memory for a model; return its `Resident`.

        Raises:
            Refusal: It does not fit, or a load or unload is under way.
        """
        held = self.models.get(model)
        if held is not None:
            if held.state != READY:
                raise engine_settings.Refusal(409, held.state, model)
            return held
        return self._add(self.models, model, size, now)

    def add_adapter(self, model, adapter, size, now):
        """Take memory for an adapter; return its `Resident`.

        Raises:
            Refusal: It does not fit, or its model is not resident.
        """
        held = self.models.get(model)
        if held is None or held.state == UNLOADING:
            raise engine_settings.Refusal(409, 'model_not_resident', model)
        found = self.adapters.get((model, adapter))
        if found is not None:
            if found.state != READY:
                raise engine_settings.Refusal(409, found.state, adapter)
            return found
        pool = self._settings.adapter_pool_bytes
        if not pool:
            return self._add(self.adapters, (model, adapter), size, now)
        self._evict_adapters(pool - size)
        if self._adapter_bytes() + size > pool:
            raise engine_settings.Refusal(507, 'no_memory', 'adapter pool')
        held = self.adapters[model, adapter] = Resident(size, used_at=now)
        return held

    def _add(self, table, key, size, now):
        if (
            self.used_bytes + size > self._settings.memory_bytes
            and self._settings.refuses_overcommit
        ):
            raise engine_settings.Refusal(507, 'no_memory', str(key))
        table[key] = Resident(size, used_at=now)
        self.overcommitted += self.used_bytes > self._settings.memory_bytes
        return table[key]

    def _evict_adapters(self, target_bytes):
        idle = [
            (held.used_at, key)
            for key, held in self.adapters.items()
            if held.state == READY and not held.users
        ]
        for _, key in sorted(idle):
            if self._adapter_bytes() <= target_bytes:
                return
            del self.adapters[key]

    def finish_load(self, table, key, held, failed):
        """End a load: ready, or gone if it failed."""
        if table.get(key) is not held or held.state != LOADING:
            return
        if failed:
            del table[key]
        else:
            held.state = READY

    def begin_unload(self, table, key, due):
        """Take no new requests; memory is free once due and unused."""
        held = table.get(key)
        if held is not None and held.state != UNLOADING:
            held.state = UNLOADING
            held.unload_due = due
        return held

    def free_unused(self, now):
        """Free what is unloaded and unused; tell whether any was."""
        before = len(self.models) + len(self.adapters)
        for table in (self.adapters, self.models):
            for key, held in list(table.items()):
                due = held.unload_due
                if due is not None and due <= now and not held.users:
                    del table[key]
        for key in list(self.adapters):
            if key[0] not in self.models:
                del self.adapters[key]
        return len(self.models) + len(self.adapters) < before

    def check_ready(self, model, adapter):
        """Return the residents that a request needs.

        Raises:
            Refusal: One of them is not ready.
        """
        held = self.models.get(model)
        if held is None or held.state != READY:
            raise engine_settings.Refusal(409, 'model_not_resident', model)
        if adapter is None:
            return [held]
        extra = self.adapters.get((model, adapter))
        if extra is None or extra.state != READY:
            raise engine_settings.Refusal(409, 'adapter_not_resident', adapter)
        return [held, extra]

    def as_report(self):
        """Return the memory part of the engine's report."""
        return {
            'memory_total': self._settings.memory_bytes,
            'memory_used': self.used_bytes,
            'models': [
                {
                    'model': key.partition('@')[0],
                    'version': key.partition('@')[2],
                    'state': held.state,
                    'bytes': held.bytes,
                }
                for key, held in self.models.items()
            ],
            'adapters': [
                {
                    'model': key[0].partition('@')[0],
                    'version': key[0].partition('@')[2],
                    'adapter': key[1],
                    'state': held.state,
                    'bytes': held.bytes,
                }
                for key, held in self.adapters.items()
            ],
        }
