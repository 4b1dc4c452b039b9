"""Check what the schema alone cannot: references between parts of documents.

Errors keep a document from being accepted. Warnings point at something that
works but is likely a mistake.
"""

import dataclasses

from wagtailtide_core.document import capacity
from wagtailtide_core.document import parse
from wagtailtide_core.document import positions
from wagtailtide_core.document import problems
from wagtailtide_core.document import schema
from wagtailtide_core.document import server_checks

Problem = problems.Problem
METHODS = ('GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS')
# Paths that the instances answer themselves.
RESERVED_PATHS = (
    '/v1/chat/completions',
    '/v1/completions',
    '/v1/models',
)
# Loads from the weight store are limited under this name.
INTERNAL_ORGANISATION = 'weight-store'
EMPTY_POSITIONS = positions.Positions({(): 1}, (), {}, '')


@dataclasses.dataclass(frozen=True)
class Checked:
    """Result of a check.

    Attributes:
        errors: Problems that keep the document from being accepted.
        warnings: Problems that do not.
    """

    errors: tuple[Problem, ...]
    warnings: tuple[Problem, ...]


class InvalidDocument(Exception):
    """A document that may not be put in force.

    Attributes:
        problems: What is wrong with it.
    """

    def __init__(self, found):
        super().__init__('; '.join(str(problem) for problem in found))
        self.problems = tuple(found)


class _Check:
    def __init__(self, document, others, where):
        self.doc = document
        self.others = others
        self.all = (document, *others)
        self.where = where
        self.errors = []
        self.warnings = []

    def problem(self, path, expected, got, advice):
        return Problem(
            self.where.line(path),
            problems.format_path(path),
            expected,
            got,
            advice,
        )

    def error(self, path, expected, got, advice):
        self.errors.append(self.problem(path, expected, got, advice))

    def warn(self, path, expected, got, advice):
        self.warnings.append(self.problem(path, expected, got, advice))

    def known(self, section, field='name'):
        return {
            getattr(item, field)
            for doc in self.all
            for item in getattr(doc, section)
        }

    def known_ref(self, path, what, name, known):
        if name not in known:
            self.error(
                path,
                f'the name of {what}',
                f'unknown name {name!r}',
                parse.nearest(name, known) if known else f'declare {what}',
            )

    def unique(self, section, key, what):
        """Report items whose key another item has as well."""
        owners = {
            key(item): f'document {doc.service}'
            for doc in self.others
            for item in getattr(doc, section)
        }
        for index, item in enumerate(getattr(self.doc, section)):
            name = key(item)
            if name in owners:
                self.error(
                    (section, index),
                    f'{what} once',
                    f'{name!r}, already in {owners[name]}',
                    'rename or remove one of the two',
                )
            owners[name] = f'{section}[{index}]'


def check(document, where=EMPTY_POSITIONS, others=()):
    """Check a document that the schema accepts.

    Args:
        document: The document.
        where: Positions of its fields, for the lines of the problems.
        others: Documents of the other services; names in them are known.

    Returns:
        The errors and warnings.
    """
    chk = _check_errors(document, where, others)
    server_checks.warn_of_horizon(chk)
    capacity.check_replicas(chk)
    capacity.check_rates(chk)
    return Checked(tuple(chk.errors), tuple(chk.warnings))


def _check_errors(document, where, others):
    others = tuple(d for d in others if d.service != document.service)
    chk = _Check(document, others, where)
    _check_names(chk)
    _check_organisations(chk)
    _check_models(chk)
    _check_routes(chk)
    server_checks.check_servers(chk)
    return chk


def load(data, others=()):
    """Read a document and check it for errors, as an instance does.

    Warnings are left out: they take longest at a large fleet's size.

    Args:
        data: JSON with comments, as text or UTF-8 bytes.
        others: Documents of the other services.

    Returns:
        The document.

    Raises:
        InvalidDocument: If it cannot be put in force.
    """
    parsed = parse.parse(data)
    if parsed.document is None:
        raise InvalidDocument(parsed.problems)
    chk = _check_errors(parsed.document, parsed.positions, others)
    if chk.errors:
        raise InvalidDocument(chk.errors)
    return parsed.document


def _check_names(chk):
    chk.unique('models', lambda m: m.name, 'each model name')
    chk.unique(
        'adapters', lambda a: f'{a.model}:{a.name}', 'each adapter of a model'
    )
    chk.unique('organisations', lambda o: o.name, 'each organisation name')
    chk.unique('routes', lambda r: r.path, 'each path')
    chk.unique('backend_servers', lambda s: s.name, 'each server name')
    chk.unique('backend_servers', lambda s: s.address, 'each address')


def _check_organisations(chk):
    owners = {
        key.id: f'organisation {org.name}'
        for doc in chk.others
        for org in doc.organisations
        for key in org.keys
    }
    for index, org in enumerate(chk.doc.organisations):
        path = ('organisations', index)
        if org.name == INTERNAL_ORGANISATION:
            chk.error(
                (*path, 'name'),
                'a name of your own',
                f'the reserved name {org.name!r}',
                'rename the organisation',
            )
        for at, key in enumerate(org.keys):
            _check_key(chk, (*path, 'keys', at, 'id'), key.id, owners)
            owners[key.id] = f'organisation {org.name}'
    known = chk.known('organisations')
    for section in ('models', 'adapters', 'routes'):
        for index, item in enumerate(getattr(chk.doc, section)):
            for at, name in enumerate(item.organisations):
                path = (section, index, 'organisations', at)
                chk.known_ref(path, 'an organisation', name, known)


def _check_key(chk, path, key_id, owners):
    if '_' in key_id:
        chk.error(
            path,
            'a key id without underscore',
            repr(key_id),
            'make a key with another id; the underscore ends the id',
        )
    if key_id in owners:
        chk.error(
            path,
            'each key id once',
            f'{key_id!r}, already at {owners[key_id]}',
            'make a key with another id',
        )


def _check_models(chk):
    engines = [
        server
        for doc in chk.all
        for server in doc.backend_servers
        if server.kind is schema.ServerKind.ENGINE
    ]
    for index, model in enumerate(chk.doc.models):
        if not any(capacity.fits(model, server) for server in engines):
            chk.error(
                ('models', index),
                'an engine that has room for the model',
                f'{capacity.model_bytes(model):,} bytes on '
                f'{model.accelerators} accelerators, which fit no engine',
                'add a larger engine or make the model or its KV reserve '
                'smaller',
            )
    known = chk.known('models')
    pool = max((s.adapter_pool_bytes for s in engines), default=0)
    for index, adapter in enumerate(chk.doc.adapters):
        path = ('adapters', index)
        chk.known_ref((*path, 'model'), 'a model', adapter.model, known)
        if adapter.bytes > pool:
            chk.error(
                (*path, 'bytes'),
                f'at most the largest adapter pool, {pool:,} bytes',
                f'{adapter.bytes:,}',
                'raise adapter_pool_bytes of the engines',
            )


def _check_routes(chk):
    groups = {
        server.group
        for doc in chk.all
        for server in doc.backend_servers
        if server.kind is schema.ServerKind.PLAIN
    }
    for index, route in enumerate(chk.doc.routes):
        path = ('routes', index)
        what = 'a group of plain servers'
        chk.known_ref((*path, 'backend'), what, route.backend, groups)
        if not route.methods or set(route.methods) - set(METHODS):
            chk.error(
                (*path, 'methods'),
                f'one or more of {", ".join(METHODS)}',
                ', '.join(route.methods) or 'none',
                'write each method in capitals',
            )
        prefix = route.path.rstrip('/') + '/'
        if any(
            prefix.startswith(reserved + '/') for reserved in RESERVED_PATHS
        ):
            chk.error(
                (*path, 'path'),
                'a path that the instances do not answer themselves',
                route.path,
                'choose another path',
            )
        if route.open and route.organisations:
            chk.error(
                (*path, 'open'),
                'a route that is open or belongs to organisations',
                'both',
                'remove organisations, or set open to false',
            )
