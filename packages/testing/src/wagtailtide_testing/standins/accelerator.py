"""Accelerator memory of an engine, with resident models and adapters."""

import dataclasses

from wagtailtide_testing.standins import engine_settings

LOADING, READY, UNLOADING = 'loading', 'ready', 'unloading'


@dataclasses.dataclass
class Resident:
    """A model version or an adapter in memory.

    Attributes:
        size_bytes: Memory that it takes.
        state: `LOADING`, `READY` or `UNLOADING`.
        active_requests: Number of running requests that need it.
        last_used_at: Time of the latest use in seconds.
        unload_due: Time in seconds at which its unload ends, or None.
    """

    size_bytes: int
    state: str = LOADING
    active_requests: int = 0
    last_used_at: float = 0.0
    unload_due: float | None = None


class Accelerator:
    """Memory of an accelerator and its contents.

    Attributes:
        models: Residents by ``name@version``.
        adapters: Residents by (``name@version``, adapter).
        overcommit_count: Number of loads that exceeded the memory.
    """

    def __init__(self, settings):
        self._settings = settings
        self.models = {}
        self.adapters = {}
        self.overcommit_count = 0

    @property
    def used_bytes(self):
        """Memory in use, including the whole adapter pool."""
        models = sum(resident.size_bytes for resident in self.models.values())
        return models + (
            self._settings.adapter_pool_bytes or self._adapter_bytes()
        )

    def _adapter_bytes(self):
        return sum(resident.size_bytes for resident in self.adapters.values())

    def add_model(self, model, size_bytes, now):
        """Allocate memory for a model; return its `Resident`.

        Raises:
            Refusal: It does not fit, or is being loaded or unloaded.
        """
        resident = self.models.get(model)
        if resident is not None:
            if resident.state != READY:
                raise engine_settings.Refusal(409, resident.state, model)
            return resident
        return self._add(self.models, model, size_bytes, now)

    def add_adapter(self, model, adapter, size_bytes, now):
        """Allocate memory for an adapter; return its `Resident`.

        Raises:
            Refusal: It does not fit, is being loaded or unloaded, or its
                model is not resident.
        """
        resident = self.models.get(model)
        if resident is None or resident.state == UNLOADING:
            raise engine_settings.Refusal(409, 'model_not_resident', model)
        existing = self.adapters.get((model, adapter))
        if existing is not None:
            if existing.state != READY:
                raise engine_settings.Refusal(409, existing.state, adapter)
            return existing
        pool = self._settings.adapter_pool_bytes
        if not pool:
            return self._add(self.adapters, (model, adapter), size_bytes, now)
        self._evict_adapters(pool - size_bytes)
        if self._adapter_bytes() + size_bytes > pool:
            raise engine_settings.Refusal(507, 'no_memory', 'adapter pool')
        resident = self.adapters[model, adapter] = Resident(
            size_bytes, last_used_at=now
        )
        return resident

    def _add(self, table, key, size_bytes, now):
        if (
            self.used_bytes + size_bytes > self._settings.memory_bytes
            and self._settings.refuses_overcommit
        ):
            raise engine_settings.Refusal(507, 'no_memory', str(key))
        table[key] = Resident(size_bytes, last_used_at=now)
        self.overcommit_count += self.used_bytes > self._settings.memory_bytes
        return table[key]

    def _evict_adapters(self, target_bytes):
        unused = [
            (resident.last_used_at, key)
            for key, resident in self.adapters.items()
            if resident.state == READY and not resident.active_requests
        ]
        for _, key in sorted(unused):
            if self._adapter_bytes() <= target_bytes:
                return
            del self.adapters[key]

    def finish_load(self, table, key, resident, failed):
        """Mark a loaded resident as ready, or remove it if the load failed."""
        if table.get(key) is not resident or resident.state != LOADING:
            return
        if failed:
            del table[key]
        else:
            resident.state = READY

    def begin_unload(self, table, key, due):
        """Start an unload; return the resident, or None if there is none.

        No new requests are accepted. The memory is freed when the time is
        due and no request needs it.
        """
        resident = table.get(key)
        if resident is not None and resident.state != UNLOADING:
            resident.state = UNLOADING
            resident.unload_due = due
        return resident

    def free_unused(self, now):
        """Free unloaded, unused residents; return whether any was freed."""
        before = len(self.models) + len(self.adapters)
        for table in (self.adapters, self.models):
            for key, resident in list(table.items()):
                due = resident.unload_due
                if (
                    due is not None
                    and due <= now
                    and not resident.active_requests
                ):
                    del table[key]
        for key in list(self.adapters):
            if key[0] not in self.models:
                del self.adapters[key]
        return len(self.models) + len(self.adapters) < before

    def check_ready(self, model, adapter):
        """Return the residents that a request needs, the model first.

        Raises:
            Refusal: One of them is not ready.
        """
        resident = self.models.get(model)
        if resident is None or resident.state != READY:
            raise engine_settings.Refusal(409, 'model_not_resident', model)
        if adapter is None:
            return [resident]
        resident_adapter = self.adapters.get((model, adapter))
        if resident_adapter is None or resident_adapter.state != READY:
            raise engine_settings.Refusal(409, 'adapter_not_resident', adapter)
        return [resident, resident_adapter]

    def as_report(self):
        """Return the memory part of the engine's report."""
        return {
            'memory_total': self._settings.memory_bytes,
            'memory_used': self.used_bytes,
            'models': [
                {
                    'model': key.partition('@')[0],
                    'version': key.partition('@')[2],
                    'state': resident.state,
                    'bytes': resident.size_bytes,
                }
                for key, resident in self.models.items()
            ],
            'adapters': [
                {
                    'model': key[0].partition('@')[0],
                    'version': key[0].partition('@')[2],
                    'adapter': key[1],
                    'state': resident.state,
                    'bytes': resident.size_bytes,
                }
                for key, resident in self.adapters.items()
            ],
        }
