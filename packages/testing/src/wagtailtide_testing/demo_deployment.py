"""Deployment of the demo: what is started and the document applied."""

import dataclasses
import random

from wagtailtide_testing import builders
from wagtailtide_testing import demo_processes

INSTANCES = ('gate-1', 'gate-2', 'gate-3')
ENGINES = ('engine-1', 'engine-2')
MODEL = builders.make_model(min_replicas=2)
# The engines start empty: models and adapters come by orders of the owner.
ENGINE_OPTIONS = (
    '--memory-bytes',
    80 * builders.GIB,
    '--adapter-pool-bytes',
    4 * builders.GIB,
)
ADAPTER = builders.make_adapter()

_STANDINS = 'wagtailtide_testing.standins'


@dataclasses.dataclass(frozen=True)
class Deployment:
    """Addresses of a running deployment.

    Attributes:
        platform: Base URL of the platform.
        callers: Base URLs of the instances for callers.
        admins: Base URLs of the instances' admin addresses.
        backend_servers: Base URLs of the backend servers by name.
        key: Key of a caller.
    """

    platform: str
    callers: tuple[str, ...]
    admins: tuple[str, ...]
    backend_servers: dict[str, str]
    key: str

    def authorization(self):
        """Return the headers that carry the key."""
        return {'authorization': f'Bearer {self.key}'}


async def start_deployment(processes, client):
    """Start all processes and apply the document."""
    platform = await processes.start_standin(
        f'{_STANDINS}.platform', 'platform'
    )
    platform_url = f'http://{platform}'
    servers = [
        builders.make_engine(
            name,
            await processes.start_standin(
                f'{_STANDINS}.engine', name, '--name', name, *ENGINE_OPTIONS
            ),
        )
        for name in ENGINES
    ]
    ledger = await processes.start_standin(f'{_STANDINS}.ledger', 'ledger-1')
    servers.append(builders.make_ledger('ledger-1', ledger))
    await put_list(client, platform_url, 'backend-servers', servers)
    ports = await start_instances(processes, client, platform_url)
    org, (key,) = builders.make_organisation(rng=random.SystemRandom())
    document = builders.make_document(
        models=(MODEL,),
        adapters=(ADAPTER,),
        organisations=(org,),
        backend_servers=tuple(servers),
    )
    path = processes.directory / 'lahore.json'
    path.write_text(builders.encode_document(document))
    await demo_processes.run_tool('apply', path, '--platform', platform_url)
    return Deployment(
        platform_url,
        tuple(f'http://127.0.0.1:{port[0]}' for port in ports),
        tuple(f'http://127.0.0.1:{port[1]}' for port in ports),
        {server.name: f'http://{server.address}' for server in servers},
        key,
    )


async def start_instances(processes, client, platform_url):
    """Start the instances; return their ports."""
    free = demo_processes.free_ports(3 * len(INSTANCES))
    ports = [free[i : i + 3] for i in range(0, len(free), 3)]
    items = [
        {'name': name, 'address': f'127.0.0.1:{port[2]}', 'zone': 'gulberg'}
        for name, port in zip(INSTANCES, ports, strict=True)
    ]
    answer = await client.put(
        f'{platform_url}/admin/instances', json={'items': items}
    )
    answer.raise_for_status()
    for name, port in zip(INSTANCES, ports, strict=True):
        settings = builders.make_settings(name, platform_url, port)
        await processes.start_instance(name, settings)
    return ports


async def put_list(client, platform_url, name, servers):
    """Put backend servers into the platform's list."""
    items = [
        {'name': s.name, 'address': s.address, 'zone': s.zone} for s in servers
    ]
    answer = await client.put(
        f'{platform_url}/admin/{name}', json={'items': items}
    )
    answer.raise_for_status()
