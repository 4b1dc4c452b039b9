"""Store in memory with objects of any kind, and its clients."""

import anyio
from wagtailtide_gateway import ports
from wagtailtide_gateway.control import store


class ObjectStore:
    """Objects by kind, with one revision for all of them.

    Attributes:
        calls: Method and name of each call.
        writes_at: Time in seconds of each write that took effect.
        delay_s: Seconds until a call takes effect.
        is_down: Whether calls fail without effect.
        lost_answers: Number of next writes that take effect and fail.
    """

    def __init__(self):
        self._objects = {}
        self._revision = 10
        self.calls = []
        self.writes_at = []
        self.delay_s = 0.004
        self.is_down = False
        self.lost_answers = 0

    def put(self, kind, name, value):
        """Write an object; return it."""
        self._revision += 1
        obj = ports.StoredObject(name, self._revision, value)
        self._objects.setdefault(kind, {})[name] = obj
        return obj

    def values(self, kind):
        """Return the values of all objects of a kind."""
        return [obj.value for obj in self._objects.get(kind, {}).values()]

    async def list_all(self, kind):
        """Return all objects of a kind and the revision of the list."""
        await self._call('list', kind)
        return list(self._objects.get(kind, {}).values()), self._revision

    async def create(self, kind, name, value):
        """Create an object."""
        return await self._write(kind, name, value, None)

    async def replace(self, kind, name, value, revision):
        """Replace an object at a revision."""
        return await self._write(kind, name, value, revision)

    async def _write(self, kind, name, value, revision):
        await self._call('write', name)
        known = self._objects.get(kind, {}).get(name)
        if revision != (known.revision if known else None):
            raise store.Conflict('expected another revision')
        obj = self.put(kind, name, value)
        self.writes_at.append(anyio.current_time())
        if self.lost_answers:
            self.lost_answers -= 1
            raise store.Unanswered('no answer')
        return obj

    async def _call(self, method, name):
        self.calls.append((method, name))
        await anyio.sleep(self.delay_s)
        if self.is_down:
            raise store.NotApplied('the store is down')
