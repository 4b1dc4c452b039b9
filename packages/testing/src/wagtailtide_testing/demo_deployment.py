"""Deployment of the demo: its processes and its document."""

import dataclasses
import random

from wagtailtide_testing import builders
from wagtailtide_testing import demo_processes

INSTANCES = ('gate-1', 'gate-2', 'gate-3')
ENGINES = ('engine-1', 'engine-2')
MODEL = builders.make_model(min_replicas=2)
# The engines start without models; the instance that owns an engine orders it
# to load models and adapters.
ENGINE_OPTIONS = (
    '--memory-bytes',
    80 * builders.GIB,
    '--adapter-pool-bytes',
    4 * builders.GIB,
)
ADAPTER = builders.make_adapter()

_STANDIN_PACKAGE = 'wagtailtide_testing.standins'


@dataclasses.dataclass(frozen=True)
class Deployment:
    """Addresses of a running deployment and the key of a caller.

    Attributes:
        platform: Base URL of the platform.
        callers: Base URLs for callers, one for each instance.
        admins: Base URLs for admin requests, one for each instance.
        backend_servers: Base URLs of the backend servers by name.
        key: Key as the caller presents it.
    """

    platform: str
    callers: tuple[str, ...]
    admins: tuple[str, ...]
    backend_servers: dict[str, str]
    key: str

    def authorization(self):
        """Return the headers with the key."""
        return {'authorization': f'Bearer {self.key}'}


async def start_deployment(processes, client):
    """Start all processes and apply the document."""
    platform = await processes.start_standin(
        f'{_STANDIN_PACKAGE}.platform', 'platform'
    )
    platform_url = f'http://{platform}'
    servers = [
        builders.make_engine(
            name,
            await processes.start_standin(
                f'{_STANDIN_PACKAGE}.engine',
                name,
                '--name',
                name,
                *ENGINE_OPTIONS,
            ),
        )
        for name in ENGINES
    ]
    ledger = await processes.start_standin(
        f'{_STANDIN_PACKAGE}.ledger', 'ledger-1'
    )
    servers.append(builders.make_ledger('ledger-1', ledger))
    await put_server_list(client, platform_url, 'backend-servers', servers)
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
    """Start the instances.

    Returns:
        Ports for callers, admin and peers of each instance.
    """
    available_ports = processes.reserve_ports(3 * len(INSTANCES))
    ports = [
        available_ports[i : i + 3] for i in range(0, len(available_ports), 3)
    ]
    items = [
        {'name': name, 'address': f'127.0.0.1:{port[2]}', 'zone': 'gulberg'}
        for name, port in zip(INSTANCES, ports, strict=True)
    ]
    response = await client.put(
        f'{platform_url}/admin/instances', json={'items': items}
    )
    response.raise_for_status()
    for name, port in zip(INSTANCES, ports, strict=True):
        settings = builders.make_settings(name, platform_url, port)
        await processes.start_instance(name, settings)
    return ports


async def put_server_list(client, platform_url, name, servers):
    """Set one of the platform's lists to the given backend servers."""
    items = [
        {'name': s.name, 'address': s.address, 'zone': s.zone} for s in servers
    ]
    response = await client.put(
        f'{platform_url}/admin/{name}', json={'items': items}
    )
    response.raise_for_status()
