import unittest

from wagtailtide_gateway.model import request
from wagtailtide_gateway.serving import explained_request
from wagtailtide_testing import virtual_time

from tests import builders

ENGINES = builders.make_service(
    models=(builders.make_model('m1'), builders.make_model('m2'))
)
LEDGER = builders.make_service('ledger', models=None)


def make_deployment():
    club = builders.make_organisation(priority=3)
    return builders.make_deployment(
        routes=[
            builders.make_route(),
            builders.make_route('texts', '/texts/', priority=2),
            builders.make_route(
                'open',
                '/open/',
                open_access=True,
                services=(builders.make_weighted('ledger'),),
            ),
        ],
        services={'engines': ENGINES, 'ledger': LEDGER},
        organisations={'k-1': club},
    )


class ParseTest(unittest.TestCase):
    def test_all_parameters(self):
        query = explained_request.parse(
            'service=engines&model=m1&adapter=a1&organisation=club'
            '&route=texts&prefix=s1%3A80,u1:20&tokens=100,50&deadline_ms=2500'
        )
        self.assertEqual(
            query,
            explained_request.Query(
                service='engines',
                model='m1',
                adapter='a1',
                organisation='club',
                route='texts',
                prefix=(
                    request.PromptSegment('s1', 80),
                    request.PromptSegment('u1', 20),
                ),
                tokens=(100, 50),
                deadline_s=2.5,
            ),
        )

    def test_malformed_queries_are_refused_with_what_is_expected(self):
        cases = {
            '': 'parameter service',
            'service': 'NAME=VALUE',
            'model=m1': 'parameter service',
            'service=': 'a name as service',
            'service=a&service=b': 'one service',
            'service=a&modle=m1': "got 'modle'",
            'service=a&tokens=5': 'IN,OUT',
            'service=a&tokens=5,-1': 'IN,OUT',
            'service=a&tokens=9999999999,1': 'IN,OUT',
            'service=a&prefix=': 'ID:TOKENS',
            'service=a&prefix=x:1,y': 'ID:TOKENS',
            'service=a&deadline_ms=0': 'positive number',
            'service=a&deadline_ms=inf': 'positive number',
            'service=a&deadline_ms=nan': 'positive number',
            'service=a&deadline_ms=soon': 'positive number',
            'service=%ff': 'NAME=VALUE',
            'service=' + 'a' * 10_000: 'at most',
        }
        for text, message in cases.items():
            with (
                self.subTest(text[:40]),
                self.assertRaisesRegex(explained_request.BadQuery, message),
            ):
                explained_request.parse(text)


class MakeJobTest(unittest.TestCase):
    def make_job(self, **changes):
        query = explained_request.Query(
            **{'service': 'engines', 'model': 'm1'} | changes
        )
        return explained_request.make_job(query, make_deployment())

    @virtual_time.run_without_io
    async def test_job_is_that_of_a_request_that_arrives_now(self):
        job = self.make_job(
            tokens=(100, 50),
            deadline_s=1.0,
            organisation='club',
            prefix=(
                request.PromptSegment('s1', 80),
                request.PromptSegment('u1', 20),
            ),
        )
        self.assertEqual(job.route.name, 'letters')
        self.assertEqual(job.priority, 3)
        self.assertEqual(job.req.tokens, 150)
        self.assertAlmostEqual(job.time_left_s, 0.95)
        self.assertEqual(len(job.part_fingerprints), 1)
        self.assertIsNotNone(job.prefix_hash)

    @virtual_time.run_without_io
    async def test_size_that_is_not_stated_is_unknown_and_not_zero(self):
        self.assertIsNone(self.make_job().req.tokens)

    @virtual_time.run_without_io
    async def test_route_decides_priority_without_an_organisation(self):
        self.assertEqual(self.make_job().priority, 1)
        self.assertEqual(self.make_job(route='texts').priority, 2)

    @virtual_time.run_without_io
    async def test_open_route_has_no_organisation(self):
        job = self.make_job(service='ledger', model=None, organisation='club')
        self.assertIsNone(job.organisation)

    @virtual_time.run_without_io
    async def test_unknown_names_are_refused_with_the_known_ones(self):
        cases = (
            ({'service': 'x'}, "service 'x'; it has: engines, ledger"),
            ({'model': 'x'}, "named 'x'; it has: m1, m2"),
            ({'model': None}, 'give one of: m1, m2'),
            ({'service': 'ledger'}, 'runs no models'),
            (
                {'service': 'ledger', 'model': None, 'adapter': 'a1'},
                'runs no models',
            ),
            ({'organisation': 'x'}, "organisation 'x'; it has: club"),
            ({'route': 'x'}, 'those that do: letters, texts'),
            ({'route': 'open'}, 'those that do: letters, texts'),
        )
        for changes, message in cases:
            with (
                self.subTest(changes),
                self.assertRaisesRegex(explained_request.BadQuery, message),
            ):
                self.make_job(**changes)

    @virtual_time.run_without_io
    async def test_service_without_a_route_is_refused(self):
        deployment = builders.make_deployment(services={'engines': ENGINES})
        query = explained_request.Query('engines', 'm1')
        with self.assertRaisesRegex(
            explained_request.BadQuery, 'no route leads'
        ):
            explained_request.make_job(query, deployment)
