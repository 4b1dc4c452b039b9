"""Network faults and pauses of nodes that share one event loop.

A context variable holds the node that a task belongs to. The connections that
a node opens go through a `Network`, which can delay, silence and reset them.
A paused node behaves like a process after SIGSTOP: none of its tasks is
scheduled, so no timers run and no data is sent or received, but the kernel
still accepts connections for it and buffers what arrives.
"""

import collections
import contextlib
import contextvars
import socket

import trio
from trio import testing as trio_testing

# Name of the node to which the current task belongs.
CURRENT_NODE = contextvars.ContextVar('node', default='caller')

# Deadlines closer together than this expire together, which saves real time.
MIN_JUMP_S = 0.02
# Real time for which the event loop must be idle before the clock jumps.
# Loopback data arrives as soon as it is sent, so a short time is enough.
AUTOJUMP_THRESHOLD_S = 0.001


def make_clock():
    """Return a mock clock that jumps by at least `MIN_JUMP_S` at a time."""
    clock = trio_testing.MockClock(autojump_threshold=AUTOJUMP_THRESHOLD_S)

    def jump():
        statistics = trio.lowlevel.current_statistics()
        jump_s = statistics.seconds_to_next_deadline
        if 0 < jump_s < float('inf'):
            clock.jump(max(jump_s, MIN_JUMP_S))

    # The scheduler calls this method when all tasks wait. The class is final,
    # so the method is replaced.
    clock._autojump = jump
    return clock


class _RunQueue(collections.deque):
    """Run queue that sets the tasks of paused nodes aside."""

    def __init__(self, tasks):
        super().__init__(tasks)
        self.paused = {}

    def append(self, task):
        name = task.context.get(CURRENT_NODE)
        if name in self.paused:
            self.paused[name].append(task)
        else:
            super().append(task)


class _Connection:
    """State of a connection, kept by the node that opened it."""

    def __init__(self, stream, endpoints):
        self.stream, self.endpoints = stream, endpoints
        self.silent = self.broken = self.closed = False


class Network:
    """Connections between nodes, with fault injection.

    Attributes:
        nodes: Name of the node that listens on each port.
        cuts: Number of active cuts by pair of nodes.
        crashed: Names of crashed nodes.
    """

    def __init__(self):
        self.nodes = {}
        self.cuts = collections.Counter()
        self.crashed = set()
        self._connections = []
        self._changed = trio.Event()
        self._queue = None
        self._original_open = trio.open_tcp_stream

    @contextlib.contextmanager
    def installed(self):
        """Route connections opened in the context through this network."""
        # The scheduler has no public interface for suspending a task.
        runner = trio._core._run.GLOBAL_RUN_CONTEXT.runner
        self._queue = runner.runq = _RunQueue(runner.runq)
        trio.open_tcp_stream = self._open_stream
        try:
            yield self
        finally:
            trio.open_tcp_stream = self._original_open
            for name in list(self._queue.paused):
                self.resume(name)

    def cut(self, one, other):
        """Delay all traffic between two nodes until the cut is healed."""
        self.cuts[frozenset((one, other))] += 1
        self._wake()

    def heal(self, pairs=None):
        """End one cut of each pair, or all cuts; delayed traffic arrives."""
        if pairs is None:
            self.cuts.clear()
        else:
            self.cuts -= collections.Counter(map(frozenset, pairs))
        self._wake()

    def pause(self, name):
        """Suspend all tasks of a node."""
        self._queue.paused.setdefault(name, [])

    def resume(self, name):
        """Resume the tasks of a paused node."""
        for task in self._queue.paused.pop(name, ()):
            self._queue.append(task)

    def silence(self, name):
        """Stop all traffic on a node's open connections permanently."""
        for conn in self._connections_of(name):
            conn.silent = True
        self._wake()

    def kill(self, name):
        """Reset a node's connections and refuse new ones from and to it."""
        self.resume(name)
        self.crashed.add(name)
        for conn in self._connections_of(name):
            self._reset(conn)
        self._wake()

    def restore(self, name):
        """Allow connections of a crashed node again, after its restart."""
        self.crashed.discard(name)

    def _connections_of(self, name):
        self._connections = [c for c in self._connections if not c.closed]
        return [c for c in self._connections if name in c.endpoints]

    def _reset(self, conn):
        conn.broken = True
        # Not closed, because the HTTP library still polls the descriptor.
        with contextlib.suppress(OSError):
            conn.stream.socket.shutdown(socket.SHUT_RDWR)

    def _wake(self):
        self._changed.set()
        self._changed = trio.Event()

    async def _open_stream(self, host, port, **options):
        local, other = (
            CURRENT_NODE.get(),
            self.nodes.get(int(port), f'port-{port}'),
        )
        endpoints = frozenset((local, other))
        if endpoints & self.crashed:
            raise ConnectionRefusedError(
                f'connection from {local} to {other} refused'
            )
        while endpoints in self.cuts:
            await self._changed.wait()
        stream = await self._original_open(host, port, **options)
        conn = _Connection(stream, endpoints)
        self._connections.append(conn)
        self._wrap(conn)
        return stream

    def _wrap(self, conn):
        # The methods are replaced because the HTTP library accepts no wrapper
        # around the stream.
        stream = conn.stream
        send, receive = stream.send_all, stream.receive_some
        close = stream.aclose

        async def send_all(data):
            await self._wait_while_cut(conn)
            if not conn.silent:
                await send(data)

        async def receive_some(max_bytes=None):
            data = await receive(max_bytes)
            await self._wait_while_cut(conn)
            while conn.silent:
                await self._changed.wait()
                self._check_open(conn)
            return data

        async def aclose():
            conn.closed = True
            self._wake()
            await close()

        stream.send_all, stream.receive_some = send_all, receive_some
        stream.aclose = aclose

    async def _wait_while_cut(self, conn):
        self._check_open(conn)
        while conn.endpoints in self.cuts:
            await self._changed.wait()
            self._check_open(conn)

    def _check_open(self, conn):
        if conn.broken:
            raise trio.BrokenResourceError('connection was reset')
        if conn.closed:
            raise trio.ClosedResourceError('connection is closed')
