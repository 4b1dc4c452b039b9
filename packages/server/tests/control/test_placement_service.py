import json
import random
import types
import unittest

import anyio
from wagtailtide_server.control import ensure
from wagtailtide_server.control import placement_service
from wagtailtide_server.control import session
from wagtailtide_server.upstream import adapter_permits
from wagtailtide_testing import serving
from wagtailtide_testing import virtual_time
from wagtailtide_testing.standins import engine as engines

from tests.control import fleet as fleets

SIZE = 30_000_000_000


def _document(addresses):
    servers = [
        {
            'name': f'e{number}',
            'kind': 'engine',
            'group': 'engines',
            'address': address,
            'zone': 'gulberg',
            'memory_bytes': 80_000_000_000,
            'accelerators': 1,
            'checks_fences': number % 2 == 0,
        }
        for number, address in enumerate(addresses)
    ]
    models = [
        {
            'name': f'm{number}',
            'version': '1',
            'weights_bytes': SIZE - 1,
            'kv_reserve_bytes': 1,
            'min_replicas': 0 if number == 3 else 1,
        }
        for number in range(4)
    ]
    return {
        'service': 'tiles',
        'models': models,
        'backend_servers': servers,
        'weight_store': {'loads_per_s': 100.0},
    }


class PlacementServiceTest(unittest.TestCase):
    """Guards against parts that work alone but not together."""

    @virtual_time.run_in_virtual_time
    async def test_instances_load_all_models_over_real_connections(self):
        made = [
            engines.Engine(
                engines.EngineSettings(
                    checks_fences=number % 2 == 0, refuses_overcommit=False
                ),
                random.Random(number),
            )
            for number in range(2)
        ]
        async with (
            fleets.running() as fleet,
            serving.serve(engines.make_app(made[0])) as first,
            serving.serve(engines.make_app(made[1])) as second,
            anyio.create_task_group() as group,
        ):
            addresses = [u.removeprefix('http://') for u in (first, second)]
            text = json.dumps(_document(addresses))
            await fleet.wait_for_version(
                fleet.write_raw('tiles', text.encode())
            )
            services = [self._start(inst, group) for inst in fleet.instances]

            def ready():
                now = anyio.current_time()
                for engine in made:
                    engine.advance(now)
                return {
                    key
                    for engine in made
                    for key, held in engine.accelerator.models.items()
                    if held.state == 'ready'
                }

            await fleet.until(lambda: len(ready()) >= 3, 60)
            self.assertEqual(ready(), {'m0@1', 'm1@1', 'm2@1'})
            # min_replicas is 0, so it is loaded only on request.
            request = types.SimpleNamespace(model='m3', adapter=None)
            plane = fleet.instances[0].plane
            answer = await ensure.ensure_model(plane, request)
            self.assertFalse(answer.ready)
            self.assertGreater(answer.retry_after_s, 0)
            await fleet.until(lambda: len(ready()) == 4, 60)
            await anyio.sleep(5)
            for inst in fleet.instances:
                answer = await ensure.ensure_model(inst.plane, request)
                self.assertTrue(answer.ready)
            owned = [s.placement.ownership.owned.keys() for s in services]
            self.assertEqual(sorted(n for o in owned for n in o), ['e0', 'e1'])
            for inst, service in zip(fleet.instances, services, strict=True):
                await service.leave()
                self.assertEqual(inst.invariants.violated.total(), 0)
            for engine in made:
                counts = engine.as_record()['counts']
                self.assertEqual(counts['overcommitted'], 0)
            group.cancel_scope.cancel()

    def _start(self, inst, group):
        rng = random.Random(inst.name)
        held = session.Session(
            inst.plane,
            inst.store,
            address=inst.address,
            zone=inst.zone,
            name=inst.name,
            rng=rng,
        )
        service = placement_service.PlacementService(
            inst.plane,
            inst.store,
            held,
            adapter_permits.AdapterPermits(),
            inst.invariants,
            rng,
        )
        group.start_soon(held.run)
        group.start_soon(service.run)
        return service


if __name__ == '__main__':
    unittest.main()
