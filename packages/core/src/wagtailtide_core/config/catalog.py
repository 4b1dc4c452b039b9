"""Read-only lookup index over the documents in force."""

import dataclasses

from wagtailtide_core.document import schema


@dataclasses.dataclass(frozen=True)
class KeyEntry:
    """A key with the organisation that it authenticates."""

    key: schema.Key
    organisation: schema.Organisation


@dataclasses.dataclass(frozen=True)
class Catalog:
    """Lookups by name over all documents in force.

    Attributes:
        versions: Store version in force by service.
        documents: Document in force by service.
        models: Models by name.
        adapters: Adapters by ``(model, adapter)``.
        organisations: Organisations by name.
        keys: Keys by key id.
        routes: Routes, longest path first.
        backend_servers: Backend servers by name.
        groups: Names of backend servers by group.
    """

    versions: dict[str, int]
    documents: dict[str, schema.Document]
    models: dict[str, schema.Model]
    adapters: dict[tuple[str, str], schema.Adapter]
    organisations: dict[str, schema.Organisation]
    keys: dict[str, KeyEntry]
    routes: tuple[schema.Route, ...]
    backend_servers: dict[str, schema.BackendServer]
    groups: dict[str, tuple[str, ...]]

    def route_for(self, path):
        """Return the route with the longest matching path, or None."""
        for route in self.routes:
            prefix = route.path.rstrip('/')
            if path == route.path or path.startswith(prefix + '/'):
                return route
        return None


def build(documents, versions):
    """Build the index over documents.

    Args:
        documents: Document in force by service.
        versions: Store version by service.

    Returns:
        The catalog. If two documents use the same name, the service whose
        name sorts first wins, so that all instances resolve it in the same
        way.
    """
    ordered = [documents[name] for name in sorted(documents)]
    orgs = {
        org.name: org for doc in reversed(ordered) for org in doc.organisations
    }
    servers = {
        server.name: server
        for doc in reversed(ordered)
        for server in doc.backend_servers
    }
    groups = {}
    for server in servers.values():
        groups.setdefault(server.group, []).append(server.name)
    routes = [route for doc in ordered for route in doc.routes]
    return Catalog(
        versions=dict(versions),
        documents=dict(documents),
        models={m.name: m for doc in reversed(ordered) for m in doc.models},
        adapters={
            (a.model, a.name): a
            for doc in reversed(ordered)
            for a in doc.adapters
        },
        organisations=orgs,
        keys={
            key.id: KeyEntry(key, org)
            for org in orgs.values()
            for key in org.keys
        },
        routes=tuple(sorted(routes, key=lambda r: -len(r.path))),
        backend_servers=servers,
        groups={name: tuple(sorted(g)) for name, g in groups.items()},
    )


EMPTY = build({}, {})
