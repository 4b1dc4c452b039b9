"""Faults between the nodes of a fleet that share one event loop.

Each connection that a node opens is recognised by a context variable and
passes through a `Network`, which can delay it, silence it or reset it. A
paused node is held as a process that gets SIGSTOP: none of its tasks is
scheduled, so neither timers nor sends nor receives happen, while the kernel
still accepts connections for it and buffers what arrives.
"""

import collections
import contextlib
import contextvars
import socket

import trio
from trio import testing as trio_testing

# Name of the node that runs the current task.
NODE = contextvars.ContextVar('node', default='caller')

# Wakeups that are closer together happen at once, which saves real time.
CLOCK_STEP_S = 0.02
# Real time without activity before the clock jumps. Loopback data arrives
# while it is sent, so that much less than a network's delay is enough.
IDLE_S = 0.001


def make_clock():
    """Return a mock clock that jumps in steps of at least CLOCK_STEP_S."""
    clock = trio_testing.MockClock(autojump_threshold=IDLE_S)

    def jump():
        statistics = trio.lowlevel.current_statistics()
        jump_s = statistics.seconds_to_next_deadline
        if 0 < jump_s < float('inf'):
            clock.jump(max(jump_s, CLOCK_STEP_S))

    # The class is final; the scheduler calls this when all is idle.
    clock._autojump = jump
    return clock


class _RunQueue(collections.deque):
    """Runnable tasks, without those of held nodes."""

    def __init__(self, tasks):
        super().__init__(tasks)
        self.held = {}

    def append(self, task):
        name = task.context.get(NODE)
        if name in self.held:
            self.held[name].append(task)
        else:
            super().append(task)


class _Connection:
    """State of one connection, kept at the side that opened it."""

    def __init__(self, stream, ends):
        self.stream, self.ends = stream, ends
        self.silent = self.broken = self.closed = False


class Network:
    """Connections between nodes.

    Attributes:
        nodes: Name of the node behind each port.
        late: Number of cuts in force for each pair of nodes.
        dead: Nodes that crashed.
    """

    def __init__(self):
        self.nodes = {}
        self.late = collections.Counter()
        self.dead = set()
        self._connections = []
        self._changed = trio.Event()
        self._queue = None
        self._open = trio.open_tcp_stream

    @contextlib.contextmanager
    def installed(self):
        """Put all connections that are opened in the block through it."""
        # The scheduler has no public way to hold a task back.
        runner = trio._core._run.GLOBAL_RUN_CONTEXT.runner
        self._queue = runner.runq = _RunQueue(runner.runq)
        trio.open_tcp_stream = self._open_stream
        try:
            yield self
        finally:
            trio.open_tcp_stream = self._open
            for name in list(self._queue.held):
                self.thaw(name)

    def cut(self, one, other):
        """Hold back all traffic between two nodes, without an error."""
        self.late[frozenset((one, other))] += 1
        self._wake()

    def heal(self, pairs=None):
        """End cuts of pairs, or all; what was held back arrives late."""
        if pairs is None:
            self.late.clear()
        else:
            self.late -= collections.Counter(map(frozenset, pairs))
        self._wake()

    def pause(self, name):
        """Schedule no task of a node."""
        self._queue.held.setdefault(name, [])

    def thaw(self, name):
        """Let a paused node run on."""
        for task in self._queue.held.pop(name, ()):
            self._queue.append(task)

    def silence(self, name):
        """Make a node's open connections silent for good."""
        for conn in self._of(name):
            conn.silent = True
        self._wake()

    def kill(self, name):
        """Reset a node's connections; nothing it still sends leaves it."""
        self.thaw(name)
        self.dead.add(name)
        for conn in self._of(name):
            self._reset(conn)
        self._wake()

    def revive(self, name):
        """Let a new process of a dead node use the network."""
        self.dead.discard(name)

    def _of(self, name):
        self._connections = [c for c in self._connections if not c.closed]
        return [c for c in self._connections if name in c.ends]

    def _reset(self, conn):
        conn.broken = True
        # The descriptor stays valid, because the HTTP library polls it.
        with contextlib.suppress(OSError):
            conn.stream.socket.shutdown(socket.SHUT_RDWR)

    def _wake(self):
        self._changed.set()
        self._changed = trio.Event()

    async def _open_stream(self, host, port, **options):
        own, other = NODE.get(), self.nodes.get(int(port), f'port-{port}')
        ends = frozenset((own, other))
        if ends & self.dead:
            raise ConnectionRefusedError(f'{own} to {other}: refused')
        while ends in self.late:
            await self._changed.wait()
        stream = await self._open(host, port, **options)
        conn = _Connection(stream, ends)
        self._connections.append(conn)
        self._wrap(conn)
        return stream

    def _wrap(self, conn):
        # The HTTP library accepts no other type of stream.
        stream = conn.stream
        send, receive = stream.send_all, stream.receive_some
        close = stream.aclose

        async def send_all(data):
            await self._pass(conn)
            if not conn.silent:
                await send(data)

        async def receive_some(max_bytes=None):
            data = await receive(max_bytes)
            await self._pass(conn)
            while conn.silent:
                await self._changed.wait()
                self._check(conn)
            return data

        async def aclose():
            conn.closed = True
            self._wake()
            await close()

        stream.send_all, stream.receive_some = send_all, receive_some
        stream.aclose = aclose

    async def _pass(self, conn):
        self._check(conn)
        while conn.ends in self.late:
            await self._changed.wait()
            self._check(conn)

    def _check(self, conn):
        if conn.broken:
            raise trio.BrokenResourceError('connection was reset')
        if conn.closed:
            raise trio.ClosedResourceError('connection is closed')
