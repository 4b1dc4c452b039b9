"""In-memory store and peer network with fault injection."""

import anyio
from wagtailtide_server.storage import client

CALL_DURATION_S = 0.002


class MemoryStore:
    """In-memory conditional updates with the errors of StoreClient.

    Attributes:
        down: Whether every call fails without effect.
        lose_answers: Number of writes to apply and then fail with
            `client.WriteUnknown`.
        writes: Number of attempted writes.
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
        """Return the object, or None.

        Raises:
            Unavailable: The store is down.
        """
        await self._call()
        return self._objects.get(key)

    async def put(self, key, value, expected, *, activity=None):
        """Write an object conditionally; return its new version.

        Raises:
            Conflict: The version is not the expected one.
            Unavailable: The store is down; nothing was written.
            WriteUnknown: The write was applied, but the response was lost.
        """
        self.writes += 1
        await self._call()
        current = self._objects.get(key)
        if (current.version if current else None) != expected:
            raise client.Conflict(key)
        self._revision += 1
        self._objects[key] = client.StoredObject(key, self._revision, value)
        if self.lose_answers:
            self.lose_answers -= 1
            raise client.WriteUnknown(key)
        return self._revision

    async def _call(self):
        await anyio.sleep(CALL_DURATION_S)
        if self.down:
            raise client.Unavailable('store is down')


class MemoryNetwork:
    """In-memory calls between named peers.

    Attributes:
        cut: Names of the peers that are cut off from all others.
    """

    def __init__(self):
        self.cut = set()
        self._handlers = {}

    def peer(self, name):
        """Return the interface of one peer to the network."""
        return _MemoryPeer(self, name)

    def add(self, name, op, handler):
        """Register a peer's handler of an operation."""
        self._handlers[name, op] = handler

    async def call(self, sender, name, op, body, timeout_s):
        """Call the handler of a peer.

        Raises:
            TimeoutError: One of the peers is cut off, or the handler took
                longer than `timeout_s` seconds.
        """
        with anyio.fail_after(timeout_s):
            if self.cut & {sender, name}:
                await anyio.sleep_forever()
            await anyio.sleep(CALL_DURATION_S)
            return await self._handlers[name, op](sender, body)


class _MemoryPeer:
    def __init__(self, network, name):
        self._network = network
        self._name = name

    def register(self, op, handler):
        self._network.add(self._name, op, handler)

    async def call(self, name, op, body, timeout_s):
        return await self._network.call(self._name, name, op, body, timeout_s)
