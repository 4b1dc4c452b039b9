import contextlib
import io
import unittest

import cappa
from wagtailtide_bench import fits
from wagtailtide_bench import main


class ArgumentsTest(unittest.TestCase):
    def test_arguments_have_defaults(self):
        # `make bench` passes no arguments; a default of the wrong type failed
        # only in that case.
        args = cappa.parse(main.Arguments, argv=[])
        self.assertEqual((args.targets, args.seeds), ([], 3))

    def test_options_restrict_the_table(self):
        argv = 'table --seeds 1 --deployment piedmont --scene ordinary '
        argv += '--variant round-robin'
        with contextlib.redirect_stdout(io.StringIO()) as stdout:
            main.main(argv.split())
        rows = stdout.getvalue().splitlines()
        self.assertEqual(len(rows), 3)
        self.assertIn('round-robin', rows[2])


class FitTest(unittest.TestCase):
    def test_fit_returns_exponent_of_power_law(self):
        sizes = (1, 2, 4, 8, 16)
        fitted = fits.fit('q', 's', sizes, [3 * n**1.5 for n in sizes])
        self.assertAlmostEqual(fitted.exponent, 1.5)
        self.assertAlmostEqual(fitted.r_squared, 1.0)
