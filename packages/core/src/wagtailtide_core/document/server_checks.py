"""Check the backend servers of a document."""

import collections

from wagtailtide_core.document import schema

MAX_PORT = 65_535
# A session is renewed every 60 s, and two consecutive renewals may fail.
MIN_OWNERSHIP_HORIZON_S = 180.0


def check_servers(chk):
    """Report servers with invalid fields and groups of mixed kinds."""
    kinds = collections.defaultdict(set)
    for doc in chk.all_documents:
        for server in doc.backend_servers:
            kinds[server.group].add(server.kind)
    for index, server in enumerate(chk.doc.backend_servers):
        path = ('backend_servers', index)
        port = int(server.address.rpartition(':')[2])
        if not 0 < port <= MAX_PORT:
            chk.error(
                (*path, 'address'),
                f'a port from 1 to {MAX_PORT}',
                str(port),
                'correct the address',
            )
        if chk.doc.zones:
            zone_path = (*path, 'zone')
            chk.require_known(zone_path, 'a zone', server.zone, chk.doc.zones)
        if len(kinds[server.group]) > 1:
            chk.error(
                (*path, 'group'),
                'a group with servers of one kind',
                f'{server.group!r} with engines and plain services',
                'put them into two groups',
            )
        _check_engine(chk, path, server)


def warn_of_short_horizon(chk):
    """Warn of an ownership horizon that ends before a third renewal."""
    if chk.doc.limits.ownership_horizon_s < MIN_OWNERSHIP_HORIZON_S:
        chk.warn(
            ('limits', 'ownership_horizon_s'),
            f'at least {MIN_OWNERSHIP_HORIZON_S:g} s',
            f'{chk.doc.limits.ownership_horizon_s:g}',
            'raise it; a session is renewed only every 60 s',
        )


def _check_engine(chk, path, server):
    if server.kind is not schema.ServerKind.ENGINE:
        return
    if not server.accelerators or not server.memory_bytes:
        chk.error(
            path,
            'accelerators and memory_bytes of an engine above 0',
            f'{server.accelerators} and {server.memory_bytes}',
            'set both',
        )
    elif server.adapter_pool_bytes >= server.memory_bytes:
        chk.error(
            (*path, 'adapter_pool_bytes'),
            f'less than memory_bytes, {server.memory_bytes:,}',
            f'{server.adapter_pool_bytes:,}',
            'lower it',
        )
