"""Check documents beyond the schema: names, references and capacity.

Documents with errors are not accepted. Warnings point out what works but is
likely a mistake.
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
# The instances answer these paths themselves.
RESERVED_PATHS = (
    '/v1/chat/completions',
    '/v1/completions',
    '/v1/models',
)
# Name under which loads from the weight store are rate limited.
INTERNAL_ORGANISATION = 'weight-store'
EMPTY_POSITIONS = positions.Positions({(): 1}, (), {}, '')


@dataclasses.dataclass(frozen=True)
class CheckResult:
    """Result of a check.

    Attributes:
        errors: Problems for which the document is not accepted.
        warnings: Problems for which it is accepted.
    """

    errors: tuple[Problem, ...]
    warnings: tuple[Problem, ...]


class InvalidDocument(Exception):
    """Raised for a document with errors.

    Attributes:
        problems: The errors, as `problems.Problem`.
    """

    def __init__(self, found):
        super().__init__('; '.join(str(problem) for problem in found))
        self.problems = tuple(found)


class _DocumentCheck:
    def __init__(self, document, others, field_positions):
        self.doc = document
        self.others = others
        self.all_documents = (document, *others)
        self.positions = field_positions
        self.errors = []
        self.warnings = []

    def problem(self, path, expected, got, advice):
        return Problem(
            self.positions.line(path),
            problems.format_path(path),
            expected,
            got,
            advice,
        )

    def error(self, path, expected, got, advice):
        self.errors.append(self.problem(path, expected, got, advice))

    def warn(self, path, expected, got, advice):
        self.warnings.append(self.problem(path, expected, got, advice))

    def known_names(self, section, field='name'):
        return {
            getattr(item, field)
            for doc in self.all_documents
            for item in getattr(doc, section)
        }

    def require_known(self, path, what, name, known):
        if name not in known:
            self.error(
                path,
                f'the name of {what}',
                f'unknown name {name!r}',
                parse.suggest_name(name, known)
                if known
                else f'declare {what}',
            )

    def require_unique(self, section, key, what):
        """Report items whose key another item has too."""
        used_by = {
            key(item): f'document {doc.service}'
            for doc in self.others
            for item in getattr(doc, section)
        }
        for index, item in enumerate(getattr(self.doc, section)):
            name = key(item)
            if name in used_by:
                self.error(
                    (section, index),
                    f'{what} once',
                    f'{name!r}, already in {used_by[name]}',
                    'rename or remove one of the two',
                )
            used_by[name] = f'{section}[{index}]'


def check(document, field_positions=EMPTY_POSITIONS, others=()):
    """Check a document that was read without problems.

    Args:
        document: The document.
        field_positions: `positions.Positions` of its fields, which give the
            lines of the problems.
        others: Documents of the other services, whose names may be used.

    Returns:
        CheckResult.
    """
    chk = _check_errors(document, field_positions, others)
    server_checks.warn_of_short_horizon(chk)
    capacity.check_replicas(chk)
    capacity.check_rates(chk)
    return CheckResult(tuple(chk.errors), tuple(chk.warnings))


def _check_errors(document, field_positions, others):
    others = tuple(d for d in others if d.service != document.service)
    chk = _DocumentCheck(document, others, field_positions)
    _check_names(chk)
    _check_organisations(chk)
    _check_models(chk)
    _check_routes(chk)
    server_checks.check_servers(chk)
    return chk


def load(data, others=()):
    """Read a document and check its schema, names, references and capacity.

    Warnings are not computed, because they take the longest for a large fleet.

    Args:
        data: JSON with comments, as text or as UTF-8 bytes.
        others: Documents of the other services.

    Returns:
        The document.

    Raises:
        InvalidDocument: If the document has errors.
    """
    parsed = parse.parse(data)
    if parsed.document is None:
        raise InvalidDocument(parsed.problems)
    chk = _check_errors(parsed.document, parsed.positions, others)
    if chk.errors:
        raise InvalidDocument(chk.errors)
    return parsed.document


def _check_names(chk):
    chk.require_unique('models', lambda m: m.name, 'each model name')
    chk.require_unique(
        'adapters', lambda a: f'{a.model}:{a.name}', 'each adapter of a model'
    )
    chk.require_unique(
        'organisations', lambda o: o.name, 'each organisation name'
    )
    chk.require_unique('routes', lambda r: r.path, 'each path')
    chk.require_unique('backend_servers', lambda s: s.name, 'each server name')
    chk.require_unique('backend_servers', lambda s: s.address, 'each address')


def _check_organisations(chk):
    used_by = {
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
        for key_index, key in enumerate(org.keys):
            _check_key(chk, (*path, 'keys', key_index, 'id'), key.id, used_by)
            used_by[key.id] = f'organisation {org.name}'
    known = chk.known_names('organisations')
    for section in ('models', 'adapters', 'routes'):
        for index, item in enumerate(getattr(chk.doc, section)):
            for name_index, name in enumerate(item.organisations):
                path = (section, index, 'organisations', name_index)
                chk.require_known(path, 'an organisation', name, known)


def _check_key(chk, path, key_id, used_by):
    if '_' in key_id:
        chk.error(
            path,
            'a key id without underscore',
            repr(key_id),
            'make a key with another id; the underscore ends the id',
        )
    if key_id in used_by:
        chk.error(
            path,
            'each key id once',
            f'{key_id!r}, already in {used_by[key_id]}',
            'make a key with another id',
        )


def _check_models(chk):
    engines = [
        server
        for doc in chk.all_documents
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
    known = chk.known_names('models')
    pool_bytes = max((s.adapter_pool_bytes for s in engines), default=0)
    for index, adapter in enumerate(chk.doc.adapters):
        path = ('adapters', index)
        chk.require_known((*path, 'model'), 'a model', adapter.model, known)
        if adapter.bytes > pool_bytes:
            chk.error(
                (*path, 'bytes'),
                f'at most the largest adapter pool, {pool_bytes:,} bytes',
                f'{adapter.bytes:,}',
                'raise adapter_pool_bytes of the engines',
            )


def _check_routes(chk):
    groups = {
        server.group
        for doc in chk.all_documents
        for server in doc.backend_servers
        if server.kind is schema.ServerKind.PLAIN
    }
    for index, route in enumerate(chk.doc.routes):
        path = ('routes', index)
        what = 'a group of plain servers'
        chk.require_known((*path, 'backend'), what, route.backend, groups)
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
