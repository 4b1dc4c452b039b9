"""Choice of the adapters to evict from an engine's adapter pool."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class HeldAdapter:
    """An adapter that is loaded on an engine.

    Attributes:
        key: Adapter, as ``name@version:adapter``.
        size_bytes: Memory that the adapter occupies.
        used_at: Time of the last known use, in seconds.
        in_use: Whether a running request may be using the adapter.
    """

    key: str
    size_bytes: int
    used_at: float
    in_use: bool = False


def choose_evictions(held, free_bytes, needed_bytes):
    """Return the least recently used adapters to evict for a new one.

    Args:
        held: HeldAdapters in the pool.
        free_bytes: Free memory of the pool.
        needed_bytes: Memory that the new adapter needs.

    Returns:
        The HeldAdapters to evict, or None if evicting every adapter that is
        not in use would not free enough memory.
    """
    chosen = []
    idle = [adapter for adapter in held if not adapter.in_use]
    for adapter in sorted(idle, key=lambda a: (a.used_at, a.key)):
        if free_bytes >= needed_bytes:
            break
        free_bytes += adapter.size_bytes
        chosen.append(adapter)
    return tuple(chosen) if free_bytes >= needed_bytes else None
