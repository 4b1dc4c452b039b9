"""Processes of the demo: start, wait until they serve, stop by id."""

import contextlib
import pathlib
import signal
import socket
import subprocess
import sys

import anyio

START_TIMEOUT_S = 15.0
STOP_TIMEOUT_S = 20.0
LOG_LINES = 15

_BIN = pathlib.Path(sys.executable).parent


class DemoError(Exception):
    """A step of the demo did not hold."""


class Process:
    """One process of the demo.

    Attributes:
        name: Name in messages.
        process: The process.
        log: Path of its output.
    """

    def __init__(self, name, process, log):
        self.name = name
        self.process = process
        self.log = log

    def last_lines(self):
        """Return the end of its output."""
        lines = self.log.read_text(errors='replace').splitlines()
        return '\n'.join(lines[-LOG_LINES:])


class Processes:
    """All processes of the demo.

    Attributes:
        directory: Where settings and logs are kept.
    """

    def __init__(self, directory):
        self.directory = pathlib.Path(directory)
        self._running = []

    async def start(self, name, command, stdout=None):
        """Start a process.

        Args:
            name: Name in messages.
            command: Program and arguments.
            stdout: ``subprocess.PIPE`` to read its output; by default it goes
                to the log, because a full pipe would block the process.
        """
        log = self.directory / f'{name}.log'
        with log.open('wb') as errors:
            process = await anyio.open_process(
                [str(part) for part in command],
                stdin=subprocess.DEVNULL,
                stdout=stdout or errors,
                stderr=errors,
            )
        started = Process(name, process, log)
        self._running.append(started)
        return started

    async def start_standin(self, module, name, *options):
        """Start a stand-in; return its address as ``ip:port``.

        Raises:
            DemoError: It printed no address in time.
        """
        command = [sys.executable, '-m', module, '--port', 0, *options]
        started = await self.start(name, command, subprocess.PIPE)
        line = b''
        with anyio.move_on_after(START_TIMEOUT_S):
            with contextlib.suppress(anyio.EndOfStream):
                while not line.endswith(b'\n'):
                    line += await started.process.stdout.receive()
            return line.decode().strip()
        raise DemoError(f'{name} printed no address: {started.last_lines()}')

    async def start_instance(self, name, settings):
        """Start an instance with settings in a file."""
        path = self.directory / f'{name}.json'
        path.write_text(settings)
        return await self.start(
            name, [_BIN / 'wagtailtide', '--settings', path]
        )

    async def stop_all(self):
        """Stop all processes, the latest first.

        Returns:
            Complaints about those that did not end as they should.
        """
        complaints = []
        for started in reversed(self._running):
            complaint = await _stop(started)
            if complaint:
                complaints.append(f'{started.name}: {complaint}')
        return complaints

    def logs(self):
        """Return the ends of all logs."""
        return '\n'.join(
            f'--- {started.name}\n{started.last_lines()}'
            for started in self._running
        )


async def _stop(started):
    process = started.process
    if process.returncode is not None:
        return f'had ended by itself with status {process.returncode}'
    process.send_signal(signal.SIGTERM)
    with anyio.move_on_after(STOP_TIMEOUT_S):
        status = await process.wait()
        return f'ended with status {status}' if status else None
    process.kill()
    await process.wait()
    return f'still ran {STOP_TIMEOUT_S} s after SIGTERM and was killed'


async def run_tool(*args):
    """Run the operator's tool.

    Raises:
        DemoError: It failed.
    """
    command = [str(_BIN / 'wagtailtidectl'), *map(str, args)]
    with anyio.fail_after(START_TIMEOUT_S):
        done = await anyio.run_process(command, check=False)
    output = (done.stdout + done.stderr).decode(errors='replace')
    if done.returncode:
        raise DemoError(f'wagtailtidectl {args[0]} failed: {output}')
    return output


def free_ports(count):
    """Return loopback ports that are free now."""
    with contextlib.ExitStack() as stack:
        ports = []
        for _ in range(count):
            sock = stack.enter_context(socket.socket())
            sock.bind(('127.0.0.1', 0))
            ports.append(sock.getsockname()[1])
        return ports
