import contextlib
import io
import unittest

import cappa
from wagtailtide_bench import fits
from wagtailtide_bench import main


class ArgumentsTest(unittest.TestCase):
    def test_make_bench_passes_no_arguments(self):
        # A wrong kind of default let only the run without arguments fail.
        args = cappa.parse(main.Arguments, argv=[])
        self.assertEqual((args.targets, args.seeds), ([], 3))

    def test_options_limit_the_table(self):
        argv = 'table --seeds 1 --deployment piedmont --scene ordinary '
        argv += '--variant round-robin'
        with contextlib.redirect_stdout(io.StringIO()) as printed:
            main.main(argv.split())
        rows = printed.getvalue().splitlines()
        self.assertEqual(len(rows), 3)
        self.assertIn('round-robin', rows[2])


class FitTest(unittest.TestCase):
    def test_fit_finds_the_exponent(self):
        sizes = (1, 2, 4, 8, 16)
        found = fits.fit('q', 's', sizes, [3 * n**1.5 for n in sizes])
        self.assertAlmostEqual(found.exponent, 1.5)
        self.assertAlmostEqual(found.r_squared, 1.0)
