import unittest

from tests import builders


class RouteForTest(unittest.TestCase):
    def test_route_with_the_longest_prefix_is_selected(self):
        found = builders.make_deployment(
            [
                builders.make_route('all', '/'),
                builders.make_route('desk', '/desk/'),
                builders.make_route('letters', '/desk/letters/'),
                builders.make_route('other', '/desk/', host='other.example'),
            ]
        )
        rows = {
            '/desk/letters/7': 'letters',
            '/desk/letters': 'desk',
            '/desk/x': 'desk',
            '/': 'all',
            '/elsewhere/desk/': 'all',
        }
        for path, name in rows.items():
            with self.subTest(path):
                route = found.route_for('desk.example', path)
                self.assertEqual(route.name, name)

    def test_other_host_or_path_without_slash_has_no_route(self):
        found = builders.make_deployment([builders.make_route()])
        self.assertIsNone(found.route_for('x.example', '/letters/1'))
        self.assertIsNone(found.route_for('desk.example', '*'))
