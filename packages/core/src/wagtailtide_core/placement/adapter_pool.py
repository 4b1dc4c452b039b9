"""Adapters to evict from an engine's adapter pool."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class HeldAdapter:
    """An adapter on an engine.

    Attributes:
        key: Adapter, as ``name@version:adapter``.
        size_bytes: Memory that it takes.
        used_at: Time of its latest use known, in seconds.
        in_use: Whether a request may be running with it.
    """

    key: str
    size_bytes: int
    used_at: float
    in_use: bool = False


def choose_evictions(held, free_bytes, needed_bytes):
    """Return the least recently used adapters that make room for another.

    Args:
        held: HeldAdapters.
        free_bytes: Free memory of the pool.
        needed_bytes: Memory that the other one takes.

    Returns:
        Adapters, or None if those not in use do not make enough room.
    """
    chosen = []
    idle = [adapter for adapter in held if not adapter.in_use]
    for adapter in sorted(idle, key=lambda a: (a.used_at, a.key)):
        if free_bytes >= needed_bytes:
            break
        free_bytes += adapter.size_bytes
        chosen.append(adapter)
    return tuple(chosen) if free_bytes >= needed_bytes else None
