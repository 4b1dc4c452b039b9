"""Builders of documents, organisations with known keys, and settings.

The keyword arguments of a builder override its default values.
"""

import json
import random

import pydantic
from wagtailtide_core.document import schema
from wagtailtide_core.keys import keys

GIB = 1 << 30

_DOCUMENT = pydantic.TypeAdapter(schema.Document)


def make_model(name='letters', version='v1', **fields):
    """Return a model with 10 GiB of weights and a KV reserve of 2 GiB."""
    defaults = {'weights_bytes': 10 * GIB, 'kv_reserve_bytes': 2 * GIB}
    return schema.Model(name=name, version=version, **{**defaults, **fields})


def make_adapter(name='clerk', model='letters', **fields):
    """Return an adapter of 100 MB."""
    values = {'bytes': 100_000_000, **fields}
    return schema.Adapter(name=name, model=model, **values)


def make_organisation(name='lahore-tiles', key_ids=None, rng=None, **fields):
    """Return an organisation and the keys that its callers present.

    Args:
        name: Name of the organisation.
        key_ids: Ids of its keys; by default one key, named after it.
        rng: Random number generator of the secrets; seeded with the name
            by default.
        fields: Other fields of the organisation.

    Returns:
        The organisation and a tuple of the keys as callers present them, in
        the order of `key_ids`.
    """
    rng = rng or random.Random(name)
    key_ids = (f'{name}-1',) if key_ids is None else key_ids
    generated = [keys.make_key(key_id, rng) for key_id in key_ids]
    defaults = {'rate_tokens_per_s': 10_000.0, 'burst_tokens': 50_000}
    org = schema.Organisation(
        name=name,
        keys=tuple(key for _, key in generated),
        **{**defaults, **fields},
    )
    return org, tuple(presented for presented, _ in generated)


def make_engine(name='engine-1', address='127.0.0.1:1', **fields):
    """Return an engine of 80 GiB in zone gulberg, group assistants."""
    defaults = {
        'kind': schema.ServerKind.ENGINE,
        'group': 'assistants',
        'zone': 'gulberg',
        'memory_bytes': 80 * GIB,
        'accelerators': 1,
        'adapter_pool_bytes': 4 * GIB,
        'slots': 8,
        'checks_fences': True,
    }
    return schema.BackendServer(
        name=name, address=address, **{**defaults, **fields}
    )


def make_ledger(name='ledger-1', address='127.0.0.1:2', **fields):
    """Return a plain service in zone gulberg, group ledger."""
    defaults = {
        'kind': schema.ServerKind.PLAIN,
        'group': 'ledger',
        'zone': 'gulberg',
    }
    return schema.BackendServer(
        name=name, address=address, **{**defaults, **fields}
    )


def make_ledger_routes(backend='ledger'):
    """Return the routes of a ledger; ``/notices`` needs no key."""
    posts = {'methods': ('POST',), 'backend': backend}
    reads = {'methods': ('GET',), 'backend': backend, 'idempotent': True}
    return (
        schema.Route(path='/issues', **posts),
        schema.Route(path='/orders', **posts),
        schema.Route(path='/claims', **reads),
        schema.Route(path='/notices', open=True, **reads),
    )


def make_document(service='lahore', **fields):
    """Return a document with one model, one adapter and ledger routes."""
    defaults = {
        'models': (make_model(),),
        'adapters': (make_adapter(),),
        'routes': make_ledger_routes(),
        'backend_servers': (make_engine(), make_ledger()),
    }
    return schema.Document(service=service, **{**defaults, **fields})


def encode_document(document):
    """Return a document as JSON text, as operators write it."""
    return _DOCUMENT.dump_json(document, indent=2).decode()


def make_settings(name, platform_url, ports, **fields):
    """Return the JSON text of an instance's settings.

    Args:
        name: Name of the instance.
        platform_url: Base URL of the platform.
        ports: Loopback ports for callers, admin and peers, in this order.
        fields: Other settings.
    """
    callers, admin, peers = (f'127.0.0.1:{port}' for port in ports)
    defaults = {
        'name': name,
        'region': 'punjab',
        'zone': 'gulberg',
        'callers': callers,
        'admin': admin,
        'peers': peers,
        'platform': platform_url,
        'seed_peers': [],
        'balancer_lag_s': 0.2,
        'log_level': 'info',
    }
    return json.dumps({**defaults, **fields}, indent=2)
