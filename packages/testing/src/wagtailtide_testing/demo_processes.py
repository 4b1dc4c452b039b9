"""Start and stop the processes of the demo."""

import contextlib
import pathlib
import signal
import subprocess
import sys

import anyio

from wagtailtide_testing import ports
from wagtailtide_testing import serving

START_TIMEOUT_S = 15.0
STOP_TIMEOUT_S = 20.0
LOG_TAIL_LINES = 15

_BIN_DIR = pathlib.Path(sys.executable).parent


class DemoError(Exception):
    """Raised when a step or a check of the demo fails."""


class Process:
    """Process of the demo.

    Attributes:
        name: Name in messages.
        process: `anyio.abc.Process`.
        log: Path of its log file.
    """

    def __init__(self, name, process, log):
        self.name = name
        self.process = process
        self.log = log

    def log_tail(self):
        """Return the last lines of the log."""
        lines = self.log.read_text(errors='replace').splitlines()
        return '\n'.join(lines[-LOG_TAIL_LINES:])


class Processes:
    """All processes of the demo.

    Attributes:
        directory: Directory of the settings and log files.
    """

    def __init__(self, directory):
        self.directory = pathlib.Path(directory)
        self._running = []
        self._reservations = contextlib.ExitStack()

    def reserve_ports(self, count):
        """Return unused loopback ports, reserved until `stop_all`."""
        return self._reservations.enter_context(
            ports.reserve(serving.HOST, count)
        )

    async def start(self, name, command, stdout=None):
        """Start a process.

        Args:
            name: Name in messages and of the log file.
            command: Program and arguments.
            stdout: ``subprocess.PIPE`` to read the output. By default, it is
                written to the log, because a full pipe would block the
                process.
        """
        log = self.directory / f'{name}.log'
        with log.open('wb') as log_file:
            process = await anyio.open_process(
                [str(part) for part in command],
                stdin=subprocess.DEVNULL,
                stdout=stdout or log_file,
                stderr=log_file,
            )
        started = Process(name, process, log)
        self._running.append(started)
        return started

    async def start_standin(self, module, name, *options):
        """Start a stand-in; return its address as ``ip:port``.

        Raises:
            DemoError: It printed no address within `START_TIMEOUT_S`.
        """
        command = [sys.executable, '-m', module, '--port', 0, *options]
        started = await self.start(name, command, subprocess.PIPE)
        line = b''
        with anyio.move_on_after(START_TIMEOUT_S):
            with contextlib.suppress(anyio.EndOfStream):
                while not line.endswith(b'\n'):
                    line += await started.process.stdout.receive()
            return line.decode().strip()
        raise DemoError(
            f'expected an address from {name}, got none: {started.log_tail()}'
        )

    async def start_instance(self, name, settings):
        """Write the settings of an instance to a file and start it."""
        path = self.directory / f'{name}.json'
        path.write_text(settings)
        return await self.start(
            name, [_BIN_DIR / 'wagtailtide', '--settings', path]
        )

    async def stop_all(self):
        """Stop all processes in reverse order of their start.

        Returns:
            Descriptions of the processes that did not end normally.
        """
        problems = []
        for started in reversed(self._running):
            problem = await _stop(started)
            if problem:
                problems.append(f'{started.name}: {problem}')
        self._reservations.close()
        return problems

    def log_tails(self):
        """Return the last lines of all logs."""
        return '\n'.join(
            f'--- {started.name}\n{started.log_tail()}'
            for started in self._running
        )


async def _stop(started):
    process = started.process
    if process.returncode is not None:
        return f'ended by itself with status {process.returncode}'
    process.send_signal(signal.SIGTERM)
    with anyio.move_on_after(STOP_TIMEOUT_S):
        status = await process.wait()
        return f'ended with status {status}' if status else None
    process.kill()
    await process.wait()
    return f'did not end within {STOP_TIMEOUT_S} s of SIGTERM and was killed'


async def run_tool(*args):
    """Run the operator's tool; return its output.

    Raises:
        DemoError: The tool failed.
        TimeoutError: It did not end within `START_TIMEOUT_S`.
    """
    command = [str(_BIN_DIR / 'wagtailtidectl'), *map(str, args)]
    with anyio.fail_after(START_TIMEOUT_S):
        result = await anyio.run_process(command, check=False)
    output = (result.stdout + result.stderr).decode(errors='replace')
    if result.returncode:
        raise DemoError(f'wagtailtidectl {args[0]} failed: {output}')
    return output
