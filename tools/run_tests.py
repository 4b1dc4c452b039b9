"""Run the nose2 suite of every package and report known failing tests.

Tests listed in KNOWN-RED.txt (lines that start with ``test:``) are run and
printed, but do not fail the run. Every other failure does.
"""

import argparse
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


def run_package(package, names):
    """Run one package's suite.

    Args:
        package: Directory of the package.
        names: Test names to run, or an empty list for all.

    Returns:
        The number of tests run, the ids that failed and the exit status.
    """
    cmd = [sys.executable, '-m', 'nose2', '-s', 'tests', '-t', '.', *names]
    done = subprocess.run(
        cmd, cwd=package, text=True, capture_output=True, check=False
    )
    print(done.stdout + done.stderr, end='')
    ran = RAN.search(done.stderr + done.stdout)
    output = done.stderr + done.stdout
    failed = [
        f'{package.name}:{failed_test_id(match)}'
        for match in FAILED.findall(output)
    ]
    return int(ran.group(1)) if ran else 0, failed, done.returncode


def main():
    """Run the suites and return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--package', action='append', default=[])
    parser.add_argument('names', nargs='*')
    args = parser.parse_args()
    known = read_known_red()
    total, bad, red = 0, [], []
    for package in sorted((ROOT / 'packages').iterdir()):
        if args.package and package.name not in args.package:
            continue
        if not any((package / 'tests').rglob('test_*.py')):
            continue
        print(f'== {package.name}', flush=True)
        count, failed, status = run_package(package, args.names)
        total += count
        red += [name for name in failed if name in known]
        bad += [name for name in failed if name not in known]
        if status not in (0, 5) and not failed:
            bad.append(f'{package.name}: runner exited with {status}')
    for name in red:
        print(f'known failing test (KNOWN-RED.txt): {name}')
    for name in bad:
        print(f'failed: {name}')
    failures = len(bad)
    print(f'{total - failures - len(red)} passed, {failures} failed')
    return 1 if failures or not total else 0


if __name__ == '__main__':
    sys.exit(main())
