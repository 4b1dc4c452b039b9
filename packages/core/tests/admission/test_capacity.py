import unittest

from wagtailtide_core.admission import capacity
from wagtailtide_core.document import schema
from wagtailtide_core.routing import choose
from wagtailtide_core.routing import load
from wagtailtide_core.routing import table
from wagtailtide_testing import builders

MODEL = ('letters', 'v1')


class HasCapacityTest(unittest.TestCase):
    def test_capacity_left_depends_on_the_class(self):
        # Guards against batch requests that occupy the slots of urgent ones.
        servers = table.ServerTable()
        servers.declare({'engine-1': builders.make_engine(slots=100)})
        servers.set_resident('engine-1', [MODEL], ())
        estimate = servers.servers['engine-1'].estimate
        req = choose.RouteRequest(model=MODEL)
        results = []
        for now, running in enumerate((50, 95, 105, 400)):
            estimate.record_report(load.LoadReport(running, 0, float(now)))
            results.append(
                [
                    capacity.has_capacity(req, servers, cls, float(now))
                    for cls in schema.PriorityClass
                ]
            )
        self.assertEqual(results[0], [True, True, True])
        self.assertEqual(results[2][2], False)
        self.assertEqual(results[2][0], True)
        self.assertEqual(results[3], [False, False, False])

    def test_stopping_server_has_no_capacity(self):
        servers = table.ServerTable()
        servers.declare({'engine-1': builders.make_engine()})
        servers.set_resident('engine-1', [MODEL], ())
        servers.servers['engine-1'].draining = True
        req = choose.RouteRequest(model=MODEL)
        cls = schema.PriorityClass.INTERACTIVE
        self.assertFalse(capacity.has_capacity(req, servers, cls, 0.0))
