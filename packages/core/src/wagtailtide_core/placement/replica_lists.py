"""Lists of the ready replicas of each model, kept in the store.

An owner removes its server from a model's list before it unloads the model,
and only while another server is listed. Lists are changed by conditional
updates only, so if two owners remove the last two servers at the same time,
the update of one of them fails and it reads the list again.
"""

from collections.abc import Mapping
import dataclasses
import json

import xxhash

# Few enough that a new owner reads all of them within seconds, and enough that
# concurrent loads in the fleet rarely write the same object.
SHARD_COUNT = 64


@dataclasses.dataclass(frozen=True)
class Shard:
    """Replica lists of the models in one shard.

    Attributes:
        replicas: Names of the servers listed as ready, by ``name@version``.
        writer: Unique tag of the write, by which a writer recognises its own
            write after a lost response.
    """

    replicas: Mapping[str, frozenset[str]] = dataclasses.field(
        default_factory=dict
    )
    writer: str = ''

    def listed(self, model):
        """Return the servers listed for a model."""
        return self.replicas.get(model, frozenset())


EMPTY = Shard()


def shard_number(model):
    """Return the number of a model's shard."""
    return xxhash.xxh32_intdigest(model.encode()) % SHARD_COUNT


def shard_key(number):
    """Return the store key of a shard."""
    return f'placement/{number}'


def encode(shard):
    """Return the stored value of a shard, as JSON bytes."""
    replicas = {m: sorted(s) for m, s in sorted(shard.replicas.items())}
    value = {'writer': shard.writer, 'replicas': replicas}
    return json.dumps(value, separators=(',', ':')).encode()


def decode(value):
    """Return the shard in a stored value.

    Raises:
        ValueError: If the value is malformed.
    """
    try:
        raw = json.loads(value)
        replicas = {
            str(model): frozenset(map(str, servers))
            for model, servers in raw['replicas'].items()
        }
        return Shard(replicas, str(raw['writer']))
    except (KeyError, TypeError, AttributeError) as exc:
        raise ValueError(
            f'expected a JSON shard of replica lists, got {exc!r}'
        ) from exc


def add(shard, model, server):
    """Add a server on which a model has become ready."""
    return _set_servers(shard, model, shard.listed(model) | {server})


def remove(shard, model, server, *, unusable=frozenset(), may_be_last=False):
    """Remove a server from a model's list before an unload.

    Args:
        shard: Shard as read from the store.
        model: Model, as ``name@version``.
        server: Server that will unload the model.
        unusable: Servers known to be stopping or to have lost the model; they
            do not count as another replica.
        may_be_last: Whether the model may be left without a replica, because
            it is loaded again on request.

    Returns:
        The changed shard, or None if no other usable server is listed and
        ``may_be_last`` is false.
    """
    left = shard.listed(model) - {server}
    if not may_be_last and not left - unusable:
        return None
    return _set_servers(shard, model, left)


def withdraw(shard, model, server):
    """Remove a server that has lost the model, for example in a crash."""
    return _set_servers(shard, model, shard.listed(model) - {server})


def drop_servers(shard, gone):
    """Remove servers that are no longer declared from every list."""
    for model in tuple(shard.replicas):
        shard = _set_servers(shard, model, shard.listed(model) - gone)
    return shard


def _set_servers(shard, model, servers):
    replicas = {m: s for m, s in shard.replicas.items() if m != model}
    if servers:
        replicas[model] = frozenset(servers)
    return dataclasses.replace(shard, replicas=replicas)
