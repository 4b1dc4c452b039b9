"""Run the nose2 test suites of all packages.

Each test module runs in its own process, several of them in parallel. Those
below tests/serial follow by themselves, one after another, because they
measure what a process uses. A module that exceeds the time limit is ended with
all its processes, and counts as failed; the stacks of its threads and tasks
are printed.

Failures of tests that are listed in KNOWN-RED.txt (lines that start with
``test:``) are printed, but do not fail the run. All other failures do.
"""

import argparse
from concurrent import futures
import contextlib
import dataclasses
import os
import pathlib
import re
import signal
import subprocess
import sys
import tempfile

ROOT = pathlib.Path(__file__).resolve().parent.parent
FAILED_HEADING = re.compile(
    r'^(?:FAIL|ERROR): (\S+) \(([\w.]+)\)', re.MULTILINE
)
# Processes of the modules that run. They have groups of their own, so an
# interrupt of the terminal does not reach them.
_running = set()
# Prints stacks on SIGUSR1.
PLUGIN = 'wagtailtide_testing.stack_dump'
# The slowest module takes less than 120 s on a busy machine.
MODULE_LIMIT_S = 600.0
# Time in which a module that exceeded its limit prints its stacks.
STACK_DUMP_LIMIT_S = 10.0
RAN_SUMMARY = re.compile(r'^Ran (\d+) tests? in', re.MULTILINE)


def read_known_failures():
    """Return the ids of the tests that KNOWN-RED.txt lists."""
    path = ROOT / 'KNOWN-RED.txt'
    if not path.exists():
        return frozenset()
    lines = path.read_text(encoding='utf-8').splitlines()
    return frozenset(
        line.removeprefix('test:').strip()
        for line in lines
        if line.startswith('test:')
    )


def failed_test_id(match):
    """Return the dotted id of a failed test.

    Args:
        match: Groups of FAILED_HEADING: the name of the test method, and the
            dotted name of the test or of its class.
    """
    name, qualified_name = match
    return (
        qualified_name
        if qualified_name.endswith('.' + name)
        else f'{qualified_name}.{name}'
    )


def test_modules(package):
    """Return the dotted names of the test modules in a package directory."""
    paths = sorted((package / 'tests').rglob('test_*.py'))
    return [
        '.'.join(path.relative_to(package).with_suffix('').parts)
        for path in paths
    ]


def run_module(package, name, limit_s=MODULE_LIMIT_S):
    """Run one test module in its own process.

    Args:
        package: Directory of the package.
        name: Dotted name of the module, or of a class or test in it.
        limit_s: Real time in seconds after which the module is ended.

    Returns:
        The ModuleResult.
    """
    cmd = [sys.executable, '-u', '-m', 'nose2', '--plugin', PLUGIN]
    cmd += ['-s', 'tests', '-t', '.', name]
    # Files, because a process that the tests left behind keeps a pipe open.
    with tempfile.TemporaryFile() as out, tempfile.TemporaryFile() as err:
        process = subprocess.Popen(
            cmd, cwd=package, stdout=out, stderr=err, start_new_session=True
        )
        timed_out = not wait_until_ended(process, limit_s)
        output = read_all(out) + read_all(err)
    if timed_out:
        failed = (f'{package.name}:{name} (timeout)',)
        return ModuleResult(f'{package.name} {name}', 0, failed, output)
    ran = RAN_SUMMARY.search(output)
    # A test with several failed subtests is listed for each of them.
    failed = tuple(
        dict.fromkeys(
            f'{package.name}:{failed_test_id(match)}'
            for match in FAILED_HEADING.findall(output)
        )
    )
    test_count = int(ran.group(1)) if ran else 0
    if not failed and (process.returncode or not test_count):
        failed = (f'{package.name}:{name} (runner: {process.returncode})',)
    return ModuleResult(f'{package.name} {name}', test_count, failed, output)


def wait_until_ended(process, limit_s):
    """Wait until a test process ends; end it and its children at the limit.

    Args:
        process: The Popen object, whose process leads its own group.
        limit_s: Time limit in seconds.

    Returns:
        Whether it ended by itself.
    """
    _running.add(process)
    try:
        process.wait(limit_s)
    except subprocess.TimeoutExpired:
        process.send_signal(signal.SIGUSR1)
        with contextlib.suppress(subprocess.TimeoutExpired):
            process.wait(STACK_DUMP_LIMIT_S)
        kill_group(process)
        process.wait()
        return False
    finally:
        _running.discard(process)
    return True


def kill_group(process):
    """Kill a process and all others in its group."""
    with contextlib.suppress(ProcessLookupError):
        os.killpg(process.pid, signal.SIGKILL)


@contextlib.contextmanager
def end_all_on_error(pool):
    """End all modules if the block is left by an exception or interrupt."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit('terminated'))
    try:
        yield
    except BaseException:
        pool.shutdown(wait=False, cancel_futures=True)
        for process in list(_running):
            kill_group(process)
        raise


def read_all(file):
    """Return the content of an open file as text."""
    file.seek(0)
    return file.read().decode(errors='replace')


@dataclasses.dataclass(frozen=True)
class ModuleResult:
    """Result of one test module.

    Attributes:
        title: Names of the package and of the module.
        ran: Number of tests that ran.
        failed: Ids of failed tests, or an entry for a failed runner.
        output: Output of the runner.
    """

    title: str
    ran: int
    failed: tuple[str, ...]
    output: str


def packages():
    """Return the directories of the packages that have tests."""
    directories = [*sorted((ROOT / 'packages').iterdir()), ROOT / 'platform']
    return [path for path in directories if (path / 'tests').is_dir()]


def is_serial(item):
    """Return whether a module must not run beside others.

    Args:
        item: Directory of the package, and dotted name of the module.
    """
    _, name = item
    return name.startswith('tests.serial.')


def run_all(selected, jobs):
    """Yield the ModuleResults of modules, in their order.

    Args:
        selected: Pairs of package directory and dotted name.
        jobs: Number of modules that run at the same time. Tests mostly wait
            for the test clock, so several take little longer than one.
    """
    with futures.ThreadPoolExecutor(jobs) as pool:
        results = pool.map(lambda item: run_module(*item), selected)
        with end_all_on_error(pool):
            yield from results


def main():
    """Run the selected tests and return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--package', action='append', default=[])
    parser.add_argument('--jobs', type=int, default=os.cpu_count())
    parser.add_argument('names', nargs='*')
    args = parser.parse_args()
    known_failures = read_known_failures()
    selected = [
        (package, name)
        for package in packages()
        if not args.package or package.name in args.package
        for name in args.names or test_modules(package)
    ]
    parallel = [item for item in selected if not is_serial(item)]
    serial = [item for item in selected if is_serial(item)]
    total, passed, failed = 0, 0, []
    for results in run_all(parallel, args.jobs), run_all(serial, 1):
        for result in results:
            total += result.ran
            passed += max(0, result.ran - len(result.failed))
            failed += result.failed
            print(f'== {result.title}: {result.ran} ran', flush=True)
            if result.failed:
                print(result.output, end='', flush=True)
    expected = [name for name in failed if name in known_failures]
    unexpected = [name for name in failed if name not in known_failures]
    for name in expected:
        print(f'known failing test (KNOWN-RED.txt): {name}')
    for name in unexpected:
        print(f'failed: {name}')
    print(f'{passed} passed, {len(unexpected)} failed')
    return 1 if unexpected or not total else 0


if __name__ == '__main__':
    sys.exit(main())
