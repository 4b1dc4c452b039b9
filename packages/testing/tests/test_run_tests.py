import importlib.util
import pathlib
import re
import time
import unittest

PACKAGE = pathlib.Path(__file__).resolve().parents[1]
TOOL = PACKAGE.parents[1] / 'tools/run_tests.py'

# Seconds in which the hanging module has certainly started its tasks.
LIMIT_S = 4.0

# Seconds in which killed processes have ended. The hanging module's would run
# for longer if they were not killed.
END_TIMEOUT_S = 5.0


def load_tool():
    """Import tools/run_tests.py, which is in no package."""
    spec = importlib.util.spec_from_file_location('run_tests', TOOL)
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


def is_running(pid):
    """Return whether a process exists and has not ended."""
    try:
        stat = pathlib.Path(f'/proc/{pid}/stat').read_text(encoding='ascii')
    except (FileNotFoundError, ProcessLookupError):
        return False
    return stat.rpartition(')')[2].split()[0] not in 'XZ'


def wait_until_ended(pids):
    """Wait for processes to end; return those that still run."""
    give_up_at = time.monotonic() + END_TIMEOUT_S
    while any(map(is_running, pids)) and time.monotonic() < give_up_at:
        time.sleep(0.05)
    return [pid for pid in pids if is_running(pid)]


class SerialModulesTest(unittest.TestCase):
    def test_modules_that_measure_run_apart_from_others(self):
        tool = load_tool()
        rows = {
            'tests.serial.test_misbehaving_clients': True,
            'tests.serial.test_misbehaving_clients.Some.test_one': True,
            'tests.test_serving': False,
        }
        for name, expected in rows.items():
            with self.subTest(name):
                self.assertIs(tool.is_serial((PACKAGE, name)), expected)


class TimeLimitTest(unittest.TestCase):
    """Guards against a test run that never ends."""

    @classmethod
    def setUpClass(cls):
        tool = load_tool()
        cls.result = tool.run_module(PACKAGE, 'tests.hanging_module', LIMIT_S)

    def test_module_that_exceeds_the_limit_has_failed(self):
        expected = ('testing:tests.hanging_module (timeout)',)
        self.assertEqual(self.result.failed, expected, self.result.output)

    def test_stack_of_each_thread_and_task_is_printed(self):
        for name in (
            'in block_thread',
            'in test_main_task_spins_beside_waiting_task_thread_and_process',
            'in wait_for_nothing',
            'in spin',
        ):
            self.assertIn(name, self.result.output)

    def test_all_processes_of_the_module_are_ended(self):
        pids = re.search(r'^processes (\d+) (\d+)$', self.result.output, re.M)
        self.assertIsNotNone(pids, self.result.output)
        self.assertEqual([], wait_until_ended(pids.groups()))
