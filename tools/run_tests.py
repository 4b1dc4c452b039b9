"""Run the nose2 test suites of all packages.

Each test module runs in its own process, several of them in parallel.

Failures of tests that are listed in KNOWN-RED.txt (lines that start with
``test:``) are printed, but do not fail the run. All other failures do.
"""

import argparse
from concurrent import futures
import dataclasses
import os
import pathlib
import re
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
FAILED_HEADING = re.compile(
    r'^(?:FAIL|ERROR): (\S+) \(([\w.]+)\)', re.MULTILINE
)
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


def run_module(package, name):
    """Run one test module in its own process.

    Args:
        package: Directory of the package.
        name: Dotted name of the module, or of a class or test in it.

    Returns:
        The ModuleResult.
    """
    cmd = [sys.executable, '-m', 'nose2', '-s', 'tests', '-t', '.', name]
    process = subprocess.run(
        cmd, cwd=package, text=True, capture_output=True, check=False
    )
    output = process.stdout + process.stderr
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
    total, failed = 0, []
    # Tests mostly wait for the test clock, so several modules in parallel take
    # little longer than one.
    with futures.ThreadPoolExecutor(args.jobs) as pool:
        for result in pool.map(lambda item: run_module(*item), selected):
            total += result.ran
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
    print(f'{total - len(failed)} passed, {len(unexpected)} failed')
    return 1 if unexpected or not total else 0


if __name__ == '__main__':
    sys.exit(main())
