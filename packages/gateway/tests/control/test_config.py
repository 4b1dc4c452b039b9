import unittest

from wagtailtide_gateway.control import config

from tests import builders


def decode(value):
    return builders.make_deployment(version=value['version'])


def make_view(clock=lambda: 100.0):
    return config.ConfigView(decode, clock, lambda: None)


class ConfigViewTest(unittest.TestCase):
    def test_older_version_never_replaces_a_newer_one(self):
        # Guards against returning to an older configuration.
        view = make_view()
        for version in (4, 9, 7):
            view.apply_if_newer({'version': version}, 'store')
        self.assertEqual(view.version, 9)

    def test_invalid_version_keeps_the_last_valid_one(self):
        view = make_view()
        view.apply_if_newer({'version': 4}, 'store')
        with self.assertLogs(config.LOG, 'ERROR'):
            view.apply_if_newer({'routes': 5}, 'store', revision=17)
        self.assertEqual(view.version, 4)

    def test_infinite_number_keeps_the_last_valid_version(self):
        # Guards against an error that ends the task which reads the
        # configuration.
        view = config.ConfigView(
            lambda value: builders.make_deployment(version=int(value)),
            lambda: 100.0,
            lambda: None,
        )
        view.apply_if_newer(4, 'store')
        with self.assertLogs(config.LOG, 'ERROR'):
            view.apply_if_newer(float('inf'), 'store')
        self.assertEqual(view.version, 4)

    def test_confirmation_time_never_goes_back(self):
        view = make_view()
        view.confirm(98.0)
        view.confirm(95.0)
        self.assertEqual(view.age_s, 2.0)
