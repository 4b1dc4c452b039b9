"""CPU time and memory of idle instances that run as real processes."""

import os
import pathlib
import tempfile

import anyio
import httpx
from wagtailtide_testing import builders
from wagtailtide_testing import demo_processes

from wagtailtide_bench import capacity

FLEET_SIZES = (3, 6, 12, 20)
SETTLE_S = 15.0
MEASUREMENT_S = 20.0
ZONES = ('charlotte', 'greenville', 'atlanta')
_CPU_TICKS_PER_S = os.sysconf('SC_CLK_TCK')
_PAGE_BYTES = os.sysconf('SC_PAGE_SIZE')


def measure_all():
    """Return Measurements of CPU use and resident memory by fleet size."""
    return [row for n in FLEET_SIZES for row in anyio.run(_measure, n)]


async def _measure(count):
    with tempfile.TemporaryDirectory() as directory:
        processes = demo_processes.Processes(directory)
        try:
            started = await _start(processes, count)
            await anyio.sleep(SETTLE_S)
            before_s = [_cpu_s(p.process.pid) for p in started]
            await anyio.sleep(MEASUREMENT_S)
            after_s = [_cpu_s(p.process.pid) for p in started]
            resident_bytes = [_resident_bytes(p.process.pid) for p in started]
        finally:
            await processes.stop_all()
    shares = [
        (b - a) / MEASUREMENT_S for a, b in zip(before_s, after_s, strict=True)
    ]
    size = f'{count} instances, no callers'
    return [
        capacity.Measurement(
            '% of a core, mean', size, 100 * sum(shares) / count
        ),
        capacity.Measurement('% of a core, worst', size, 100 * max(shares)),
        capacity.Measurement(
            'resident MB, worst', size, max(resident_bytes) / 1e6
        ),
    ]


async def _start(processes, count):
    platform = await processes.start_standin(
        'wagtailtide_testing.standins.platform', 'platform'
    )
    url = f'http://{platform}'
    free = processes.reserve_ports(3 * count)
    ports = [free[i : i + 3] for i in range(0, len(free), 3)]
    names = [f'gate-{i}' for i in range(count)]
    zones = [ZONES[i % len(ZONES)] for i in range(count)]
    items = [
        {'name': name, 'address': f'127.0.0.1:{port[2]}', 'zone': zone}
        for name, port, zone in zip(names, ports, zones, strict=True)
    ]
    async with httpx.AsyncClient(trust_env=False) as client:
        put = await client.put(f'{url}/admin/instances', json={'items': items})
        put.raise_for_status()
    path = pathlib.Path(processes.directory) / 'document.json'
    path.write_text(builders.encode_document(builders.make_document()))
    await demo_processes.run_tool('apply', path, '--platform', url)
    return [
        await processes.start_instance(
            name, builders.make_settings(name, url, port, zone=zone)
        )
        for name, port, zone in zip(names, ports, zones, strict=True)
    ]


def _cpu_s(pid):
    fields = pathlib.Path(f'/proc/{pid}/stat').read_text().rsplit(')')[-1]
    user, system = fields.split()[11:13]
    return (int(user) + int(system)) / _CPU_TICKS_PER_S


def _resident_bytes(pid):
    pages = pathlib.Path(f'/proc/{pid}/statm').read_text().split()[1]
    return int(pages) * _PAGE_BYTES
