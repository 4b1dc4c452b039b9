import types
import unittest

import anyio
from wagtailtide_core.document import schema
from wagtailtide_core.gossip import records
from wagtailtide_core.gossip import table
from wagtailtide_core.invariants import checks
from wagtailtide_server import metrics
from wagtailtide_server.upstream import dispatch
from wagtailtide_server.upstream import load_gossip
from wagtailtide_server.upstream import reports
from wagtailtide_testing import virtual_time

from tests import harness


def make_report(running=0, boot_id='b1', **fields):
    return reports.Report(
        boot_id=boot_id,
        as_of=anyio.current_time(),
        models=frozenset({('letters', '1')}),
        adapters=frozenset({('letters', 'urdu')}),
        running=running,
        waiting=0,
        **{'draining': False, **fields},
    )


class InstanceFixture:
    """Dispatcher and load gossip of one instance, with a gossip table."""

    def __init__(self, shared=None):
        invariants = checks.Invariants()
        self.dispatcher = dispatch.Dispatcher(
            'a-1', invariants, metrics.Metrics(invariants)
        )
        server = schema.BackendServer(
            name='e1',
            kind=schema.ServerKind.ENGINE,
            group='engines',
            address='127.0.0.1:1',
            zone='gulberg',
        )
        self.dispatcher.table.declare({'e1': server})
        self.table = shared or table.Table('punjab', anyio.current_time())
        plane = types.SimpleNamespace(table=self.table)
        self.gossip = load_gossip.LoadGossip(self.dispatcher, plane)

    @property
    def state(self):
        return self.dispatcher.table.servers['e1']


class LoadGossipTest(unittest.TestCase):
    @virtual_time.run_without_io
    async def test_a_load_is_published_rarely_unless_it_changes(self):
        # Guards against one record per second for each of 770 engines.
        fixture = InstanceFixture()
        stamps = set()
        for second in range(33):
            fixture.gossip.publish(
                'e1', 1, make_report(running=100 + second % 10)
            )
            now = anyio.current_time()
            stamps.add(fixture.table.get(records.Kind.LOAD, 'e1', now).stamp)
            await anyio.sleep(1)
        self.assertEqual(len(stamps), 5)
        await anyio.sleep(1)
        fixture.gossip.publish('e1', 1, make_report(running=200))
        fixture.gossip.publish('e1', 1, make_report(running=300))
        fixture.gossip.publish(
            'e1', 1, make_report(running=300, draining=True)
        )
        now = anyio.current_time()
        held = fixture.table.get(records.Kind.LOAD, 'e1', now)
        self.assertEqual(held.stamp, (1, 7))

    @virtual_time.run_without_io
    async def test_a_new_process_counts_as_one_crash(self):
        # Reports of the previous process may arrive after those of the next
        # one and must not count as another crash.
        owner = InstanceFixture()
        other = InstanceFixture(owner.table)
        other.dispatcher.crashes.record_started('fingerprint', 'e1')
        late = make_report(boot_id='b1')
        for fence, boot_id in ((1, 'b1'), (1, 'b2')):
            owner.gossip.publish('e1', fence, make_report(boot_id=boot_id))
            other.gossip.apply_records({})
            await anyio.sleep(1)
        self.assertEqual(other.state.boot_id, 'b2')
        self.assertEqual(other.state.ready, {('letters', '1')})
        other.dispatcher.record_report('e1', late)
        self.assertEqual(other.state.boot_id, 'b2')
        now = anyio.current_time()
        self.assertEqual(
            [
                c.boot_id
                for c in other.dispatcher.crashes.crashes_of(
                    'fingerprint', now
                )
            ],
            ['b1'],
        )


class OwnerReadsTest(unittest.TestCase):
    @virtual_time.run_in_virtual_time
    async def test_only_the_owner_reads_the_report_until_it_is_lost(self):
        # Guards against 390 instances that each read 770 reports per second.
        deployment = harness.Deployment(engines=1)
        async with deployment.running():
            second = await deployment.start_another('b-1')
            await anyio.sleep(12)
            instances = {'a-1': deployment.inst, 'b-1': second}
            owned = [
                name
                for name, inst in instances.items()
                if inst.placement.placement.ownership.owned
            ]
            self.assertEqual(len(owned), 1)
            (other,) = (i for n, i in instances.items() if n not in owned)
            reads = _count_reads(other)
            held = deployment.engines[0].accelerator.models
            del held[harness.MODEL_KEY]
            deployment.engines[0].record_change(anyio.current_time())
            await anyio.sleep(4)
            state = other.dispatcher.table.servers['engine-0']
            self.assertEqual(state.ready, frozenset())
            self.assertEqual(reads, [])
            instances[owned[0]].watch._load_gossip.publish = lambda *args: None
            other.dispatcher.last_requested_at['letters', '1'] = (
                anyio.current_time()
            )
            other.dispatcher.table.add_model('engine-0', ('letters', '1'))
            await anyio.sleep(25)
            self.assertIn(len(reads), (1, 2))


def _count_reads(inst):
    reads = []
    probe = inst.dispatcher.client.probe

    async def counted(address, target=reports.REPORT_TARGET, *args):
        reads.append(anyio.current_time())
        return await probe(address, target, *args)

    inst.dispatcher.client.probe = counted
    return reads


if __name__ == '__main__':
    unittest.main()
