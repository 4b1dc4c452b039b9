"""In-memory store and peer network with switchable faults."""

import anyio
from wagtailtide_server.storage import client

CALL_TIME_S = 0.002


class MemoryStore:
    """Conditional updates in memory with the errors of StoreClient.

    Attributes:
        down: Whether every call fails without effect.
        lose_answers: Number of writes that take effect without an answer.
        writes: Number of writes that were tried.
    """

    def __init__(self):
        self.down = False
        self.lose_answers = 0
        self.writes = 0
        self._objects = {}
        self._revision = 0

    def keys(self, suffix=''):
        """Return the keys of the objects that end with a suffix."""
        return [key for key in self._objects if key.endswith(suffix)]

    async def get(self, key, *, activity=None):
        """Return the object, or None; raises Unavailable."""
        await self._call()
        return self._objects.get(key)

    async def put(self, key, value, expected, *, activity=None):
        """Write conditionally; raises as StoreClient.put."""
        self.writes += 1
        await self._call()
        found = self._objects.get(key)
        if (found.version if found else None) != expected:
            raise client.Conflict(key)
        self._revision += 1
        self._objects[key] = client.Versioned(key, self._revision, value)
        if self.lose_answers:
            self.lose_answers -= 1
            raise client.WriteUnknown(key)
        return self._revision

    async def _call(self):
        await anyio.sleep(CALL_TIME_S)
        if self.down:
            raise client.Unavailable('down')


class MemoryNetwork:
    """Calls between named peers.

    Attributes:
        cut: Names that neither send nor receive.
    """

    def __init__(self):
        self.cut = set()
        self._handlers = {}

    def peer(self, name):
        """Return the calls of one peer."""
        return _MemoryPeer(self, name)

    def add(self, name, op, handler):
        """Add a handler."""
        self._handlers[name, op] = handler

    async def call(self, sender, name, op, body, timeout_s):
        """Call a handler; raises TimeoutError if a side is cut off."""
        with anyio.fail_after(timeout_s):
            if self.cut & {sender, name}:
                await anyio.sleep_forever()
            await anyio.sleep(CALL_TIME_S)
            return await self._handlers[name, op](sender, body)


class _MemoryPeer:
    def __init__(self, network, name):
        self._network = network
        self._name = name

    def register(self, op, handler):
        self._network.add(self._name, op, handler)

    async def call(self, name, op, body, timeout_s):
        return await self._network.call(self._name, name, op, body, timeout_s)
