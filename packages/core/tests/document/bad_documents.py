"""Table of invalid documents and the problem that each has to give."""

import dataclasses
import json


@dataclasses.dataclass(frozen=True)
class BadDocument:
    """Invalid document and the first problem that it has to give.

    Attributes:
        name: Name of the row, which is part of the name of its test.
        text: Text of the document.
        line: Line of the problem.
        path: Path of the field with the problem.
        expected_text: Part of the text of the problem.
    """

    name: str
    text: str
    line: int
    path: str
    expected_text: str


ENGINE = {
    'name': 'e1',
    'kind': 'engine',
    'group': 'g',
    'address': '10.0.0.1:1',
    'zone': 'z',
    'memory_bytes': 100,
    'accelerators': 1,
    'adapter_pool_bytes': 10,
}
PLAIN = {
    'name': 'p1',
    'kind': 'plain',
    'group': 'ledger',
    'address': '10.0.0.2:1',
    'zone': 'z',
}
MODEL = {
    'name': 'm',
    'version': '1',
    'weights_bytes': 40,
    'kv_reserve_bytes': 10,
}
ADAPTER = {'name': 'a', 'model': 'm', 'bytes': 5}
KEY = {'id': 'k', 'salt': '0' * 16, 'hash': '0' * 64}
ORG = {
    'name': 'o',
    'rate_tokens_per_s': 5,
    'burst_tokens': 5,
    'keys': [KEY],
}
ROUTE = {'path': '/x', 'methods': ['GET'], 'backend': 'ledger'}
VALID = {
    'models': [MODEL],
    'adapters': [ADAPTER],
    'organisations': [ORG],
    'routes': [ROUTE],
    'backend_servers': [ENGINE, PLAIN],
}
# Line of each section in the text that ``render`` returns.
LINES = {name: at for at, name in enumerate(VALID, start=3)}


def render(**sections):
    """Return a document with one section per line and service on line 2.

    Args:
        **sections: Values of sections that replace those of the valid
            document.
    """
    lines = ['{ // comment', '"service": "s",']
    for name, value in {**VALID, **sections}.items():
        lines.append(f'"{name}": {json.dumps(value)},')
    return '\n'.join([*lines, '}'])


def _row(name, section, value, path, expected_text):
    text = render(**{section: value})
    line = LINES.get(section, len(VALID) + 3)
    return BadDocument(name, text, line, path, expected_text)


SYNTAX = (
    BadDocument('empty', '', 1, '', 'JSON'),
    BadDocument('not_closed', '{\n"service": "s",\n', 3, '', 'brackets'),
    BadDocument('not_an_object', '[]', 1, '', 'an object'),
    BadDocument('word_after_end', '{"service":"s"}\nx', 2, '', 'JSON'),
    BadDocument('field_twice', render(service='s'), 8, 'service', 'once'),
    BadDocument('no_service', '{"models": []}', 1, 'service', 'add the'),
    BadDocument('deep', '[' * 10_000, 1, '', 'levels of brackets'),
    BadDocument('too_large', render(x='y' * 10**6), 8, '', 'move part of x'),
    BadDocument('open_comment', '{"service": "s"}\n/* x', 2, '', 'JSON'),
    BadDocument('open_comments', '/*' * 400_000, 1, '', 'JSON'),
    BadDocument('open_strings', '"\\' * 400_000, 1, '', 'JSON'),
)
FIELDS = (
    _row('unknown_field', 'modles', [], 'modles', "'models'"),
    _row(
        'unknown_nested', 'models', [{**MODEL, 'min_replica': 1}],
        'models[0].min_replica', "'min_replicas'",
    ),
    _row(
        'text_for_number', 'models', [{**MODEL, 'weights_bytes': '40'}],
        'models[0].weights_bytes', 'without quotes',
    ),
    _row(
        'zero_bytes', 'models', [{**MODEL, 'weights_bytes': 0}],
        'models[0].weights_bytes', 'greater than 0',
    ),
    _row(
        'infinite_rate', 'organisations',
        [{**ORG, 'rate_tokens_per_s': float('inf')}],
        'organisations[0].rate_tokens_per_s', 'finite',
    ),
    _row(
        'share_slots', 'organisations', [{**ORG, 'share_slots': 3}],
        'organisations[0].share_slots', 'power of two',
    ),
    _row(
        'secret_as_hash', 'organisations',
        [{**ORG, 'keys': [{**KEY, 'hash': 'wt_k_0'}]}],
        'organisations[0].keys[0].hash', 'match',
    ),
    _row(
        'class_name', 'routes', [{**ROUTE, 'priority_class': 'interactve'}],
        'routes[0].priority_class', "'interactive'",
    ),
    _row(
        'host_name', 'backend_servers', [{**PLAIN, 'address': 'host:1'}],
        'backend_servers[0].address', 'match',
    ),
)  # fmt: skip
REFERENCES = (
    _row(
        'adapter_of_no_model', 'adapters', [{**ADAPTER, 'model': 'n'}],
        'adapters[0].model', 'a model',
    ),
    _row(
        'adapter_beyond_pool', 'adapters', [{**ADAPTER, 'bytes': 11}],
        'adapters[0].bytes', 'adapter pool',
    ),
    _row(
        'route_to_no_group', 'routes', [{**ROUTE, 'backend': 'ledgr'}],
        'routes[0].backend', "'ledger'",
    ),
    _row(
        'route_to_engines', 'routes', [{**ROUTE, 'backend': 'g'}],
        'routes[0].backend', 'group of plain',
    ),
    _row(
        'method', 'routes', [{**ROUTE, 'methods': ['FETCH']}],
        'routes[0].methods', 'capitals',
    ),
    _row(
        'own_path', 'routes', [{**ROUTE, 'path': '/v1/models'}],
        'routes[0].path', 'another path',
    ),
    _row(
        'open_and_restricted', 'routes',
        [{**ROUTE, 'open': True, 'organisations': ['o']}],
        'routes[0].open', 'open',
    ),
    _row(
        'unknown_organisation', 'models', [{**MODEL, 'organisations': ['p']}],
        'models[0].organisations[0]', "unknown name 'p'",
    ),
    _row('model_twice', 'models', [MODEL, MODEL], 'models[1]', 'once'),
    _row('adapter_twice', 'adapters', [ADAPTER] * 2, 'adapters[1]', 'once'),
    _row('route_twice', 'routes', [ROUTE, ROUTE], 'routes[1]', 'once'),
    _row(
        'organisation_twice', 'organisations', [ORG, {**ORG, 'keys': []}],
        'organisations[1]', 'once',
    ),
    _row(
        'key_twice', 'organisations', [ORG, {**ORG, 'name': 'p'}],
        'organisations[1].keys[0].id', 'once',
    ),
    _row(
        'key_id_with_underscore', 'organisations',
        [{**ORG, 'keys': [{**KEY, 'id': 'a_b'}]}],
        'organisations[0].keys[0].id', 'underscore',
    ),
    _row(
        'reserved_organisation', 'organisations',
        [{**ORG, 'name': 'weight-store'}],
        'organisations[0].name', 'reserved',
    ),
    _row(
        'model_fits_no_server', 'models', [{**MODEL, 'weights_bytes': 81}],
        'models[0]', 'room for the model',
    ),
    _row(
        'too_many_accelerators', 'models', [{**MODEL, 'accelerators': 2}],
        'models[0]', 'room for the model',
    ),
    _row(
        'server_twice', 'backend_servers',
        [ENGINE, PLAIN, {**ENGINE, 'address': '10.0.0.3:1'}],
        'backend_servers[2]', 'server name once',
    ),
    _row(
        'address_twice', 'backend_servers',
        [ENGINE, PLAIN, {**ENGINE, 'name': 'e2'}],
        'backend_servers[2]', 'address once',
    ),
    _row(
        'port', 'backend_servers',
        [ENGINE, {**PLAIN, 'address': '10.0.0.2:70000'}],
        'backend_servers[1].address', 'port',
    ),
    _row(
        'mixed_group', 'backend_servers',
        [ENGINE, PLAIN, {**PLAIN, 'name': 'p2', 'group': 'g',
                         'address': '10.0.0.3:1'}],
        'backend_servers[0].group', 'one kind',
    ),
    _row(
        'engine_without_memory', 'backend_servers',
        [ENGINE, PLAIN, {**ENGINE, 'name': 'e2', 'address': '10.0.0.3:1',
                         'memory_bytes': 0}],
        'backend_servers[2]', 'above 0',
    ),
    _row(
        'pool_beyond_memory', 'backend_servers',
        [ENGINE, PLAIN, {**ENGINE, 'name': 'e2', 'address': '10.0.0.3:1',
                         'adapter_pool_bytes': 100}],
        'backend_servers[2].adapter_pool_bytes', 'less than',
    ),
)  # fmt: skip
UNKNOWN_ZONE = BadDocument(
    'unknown_zone',
    render(zones=['y']),
    LINES['backend_servers'],
    'backend_servers[0].zone',
    'a zone',
)
WARNINGS = (
    _row(
        'rates_beyond_fleet', 'organisations',
        [{**ORG, 'rate_tokens_per_s': 641}], 'organisations', 'about 640',
    ),
    _row(
        'replicas_beyond_fleet', 'models', [{**MODEL, 'min_replicas': 2}],
        'models[0].min_replicas', 'no room',
    ),
    _row(
        'memory_beyond_fleet', 'models',
        [MODEL, {**MODEL, 'name': 'n'}], 'models[1].min_replicas', 'no room',
    ),
    _row(
        'short_horizon', 'limits', {'ownership_horizon_s': 60},
        'limits.ownership_horizon_s', '180',
    ),
)  # fmt: skip
