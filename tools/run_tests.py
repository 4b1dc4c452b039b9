"""Run the nose2 suites of all packages and report known failing tests.

Each test module runs in a process of its own, several side by side.

Tests listed in KNOWN-RED.txt (lines that start with ``test:``) are run and
printed, but do not fail the run. Every other failure does.
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
FAILED = re.compile(r'^(?:FAIL|ERROR): (\S+) \(([\w.]+)\)', re.MULTILINE)
RAN = re.compile(r'^Ran (\d+) tests? in', re.MULTILINE)


def read_known_red():
    """Return the ids of tests that are known to fail."""
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
    """Return the dotted id of a failed test from the runner's heading."""
    name, owner = match
    return owner if owner.endswith('.' + name) else f'{owner}.{name}'


def test_modules(package):
    """Return the dotted names of a package's test modules."""
    paths = sorted((package / 'tests').rglob('test_*.py'))
    return [
        '.'.join(path.relative_to(package).with_suffix('').parts)
        for path in paths
    ]


def run_module(package, name):
    """Run one test module in a process of its own.

    Args:
        package: Directory of the package.
        name: Dotted name of the module or of a test in it.

    Returns:
        The Outcome.
    """
    cmd = [sys.executable, '-m', 'nose2', '-s', 'tests', '-t', '.', name]
    done = subprocess.run(
        cmd, cwd=package, text=True, capture_output=True, check=False
    )
    output = done.stdout + done.stderr
    ran = RAN.search(output)
    failed = tuple(
        f'{package.name}:{failed_test_id(match)}'
        for match in FAILED.findall(output)
    )
    count = int(ran.group(1)) if ran else 0
    if not failed and (done.returncode or not count):
        failed = (f'{package.name}:{name} (runner: {done.returncode})',)
    return Outcome(f'{package.name} {name}', count, failed, output)


@dataclasses.dataclass(frozen=True)
class Outcome:
    """What a run of a test module gave."""

    title: str
    ran: int
    failed: tuple[str, ...]
    output: str


def packages():
    """Return the directories of the packages that have tests."""
    found = [*sorted((ROOT / 'packages').iterdir()), ROOT / 'platform']
    return [path for path in found if (path / 'tests').is_dir()]


def main():
    """Run the suites and return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--package', action='append', default=[])
    parser.add_argument('--jobs', type=int, default=os.cpu_count())
    parser.add_argument('names', nargs='*')
    args = parser.parse_args()
    known = read_known_red()
    todo = [
        (package, name)
        for package in packages()
        if not args.package or package.name in args.package
        for name in args.names or test_modules(package)
    ]
    total, failed = 0, []
    # The tests wait on the test clock most of the time, so that modules run
    # side by side take little longer than one.
    with futures.ThreadPoolExecutor(args.jobs) as pool:
        for outcome in pool.map(lambda row: run_module(*row), todo):
            total += outcome.ran
            failed += outcome.failed
            print(f'== {outcome.title}: {outcome.ran} ran', flush=True)
            if outcome.failed:
                print(outcome.output, end='', flush=True)
    red = [name for name in failed if name in known]
    bad = [name for name in failed if name not in known]
    for name in red:
        print(f'known failing test (KNOWN-RED.txt): {name}')
    for name in bad:
        print(f'failed: {name}')
    print(f'{total - len(failed)} passed, {len(bad)} failed')
    return 1 if bad or not total else 0


if __name__ == '__main__':
    sys.exit(main())
