"""Lists of the ready replicas of models, kept in the store.

An owner takes its server off a model's list before it unloads the model, and
only while another server is listed. Lists change by conditional update alone,
so of two owners that remove the last two servers at the same time one finds
its condition broken and reads again.
"""

from collections.abc import Mapping
import dataclasses
import json

import xxhash

# Few enough to be read in seconds by a new owner, many enough that loads all
# over the fleet rarely write the same object at the same time.
SHARDS = 64


@dataclasses.dataclass(frozen=True)
class Shard:
    """Lists of the models of one shard.

    Attributes:
        replicas: Names of the servers listed as ready, by ``name@version``.
        writer: Tag of the write, different for each, by which a writer
            recognises its own write after a lost response.
    """

    replicas: Mapping[str, frozenset[str]] = dataclasses.field(
        default_factory=dict
    )
    writer: str = ''

    def listed(self, model):
        """Return the servers listed for a model."""
        return self.replicas.get(model, frozenset())


EMPTY = Shard()


def shard_of(model):
    """Return the number of a model's shard."""
    return xxhash.xxh32_intdigest(model.encode()) % SHARDS


def key_of(number):
    """Return the key of a shard's object."""
    return f'placement/{number}'


def encode(shard):
    """Return the value of a shard's object."""
    replicas = {m: sorted(s) for m, s in sorted(shard.replicas.items())}
    value = {'writer': shard.writer, 'replicas': replicas}
    return json.dumps(value, separators=(',', ':')).encode()


def decode(value):
    """Return the shard of an object's value.

    Raises:
        ValueError: If it has another form.
    """
    try:
        raw = json.loads(value)
        replicas = {
            str(model): frozenset(map(str, servers))
            for model, servers in raw['replicas'].items()
        }
        return Shard(replicas, str(raw['writer']))
    except (KeyError, TypeError, AttributeError) as exc:
        raise ValueError(f'expected a shard, got {exc!r}') from exc


def add(shard, model, server):
    """List a server on which a model has become ready."""
    return _with(shard, model, shard.listed(model) | {server})


def remove(shard, model, server, *, unusable=frozenset(), may_be_last=False):
    """Take a server off a model's list before an unload.

    Args:
        shard: Shard as read.
        model: Model, as ``name@version``.
        server: Server that is to unload it.
        unusable: Servers known to be stopping or to have lost the model; they
            do not count as another replica.
        may_be_last: Whether the model may be left without a replica because
            it is loaded again on request.

    Returns:
        The changed shard, or None if no other server is listed.
    """
    left = shard.listed(model) - {server}
    if not may_be_last and not left - unusable:
        return None
    return _with(shard, model, left)


def withdraw(shard, model, server):
    """Take a server off a list that has lost the model, as after a crash."""
    return _with(shard, model, shard.listed(model) - {server})


def drop_servers(shard, gone):
    """Take servers that are no longer declared off every list."""
    for model in tuple(shard.replicas):
        shard = _with(shard, model, shard.listed(model) - gone)
    return shard


def _with(shard, model, servers):
    replicas = {m: s for m, s in shard.replicas.items() if m != model}
    if servers:
        replicas[model] = frozenset(servers)
    return dataclasses.replace(shard, replicas=replicas)
