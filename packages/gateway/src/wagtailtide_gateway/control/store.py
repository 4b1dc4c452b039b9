"""Calls to the platform's store, with what is known of failed ones."""

import anyio

from wagtailtide_gateway.http import outgoing

# A call that is not answered within this time is taken for lost. The store
# answers in milliseconds, and a slow one in a few hundred.
CALL_TIMEOUT_S = 1.5

# Time beyond its wait after which a watch is taken for lost.
WATCH_SLACK_S = 1.0

# Connections to the store stay open between calls.
IDLE_S = 30.0


class StoreUnavailable(Exception):
    """The store did not answer, or not this instance; nothing is known."""


class NotDone(StoreUnavailable):
    """The store states that it did nothing."""


class HistoryGone(Exception):
    """The store has dropped the history that a watch wants."""


class Conflict(Exception):
    """The object is not at the expected revision; nothing was done."""


class StoreClient:
    """Calls of one instance to the store."""

    def __init__(self, port, address, pool, metrics):
        self._port = port
        self._address = address
        self._pool = pool
        self._metrics = metrics

    async def list_all(self, kind):
        """Return all objects of a kind and the revision they hold at."""
        objects, after = [], None
        while True:
            body = await self._call(self._port.list_call(kind, after))
            found, more, revision = self._decode(self._port.decode_list, body)
            objects += found
            if not more or not found:
                return objects, revision
            after = found[-1].name

    async def watch(self, kind, revision, wait_s):
        """Return changes after a revision and the revision they reach.

        Raises:
            StoreUnavailable: No answer.
            HistoryGone: List again.
        """
        call = self._port.watch_call(kind, revision, wait_s)
        body = await self._call(call, wait_s + WATCH_SLACK_S)
        return self._decode(self._port.decode_watch, body)

    async def get(self, kind, name):
        """Return an object, or None if there is none."""
        body = await self._call(self._port.get_call(kind, name))
        if body is None:
            return None
        return self._decode(self._port.decode_object, body)

    async def create(self, kind, name, value):
        """Create an object; raises Conflict or StoreUnavailable."""
        call = self._port.create_call(kind, name, value)
        return self._decode(self._port.decode_object, await self._call(call))

    async def replace(self, kind, name, value, revision):
        """Replace a value at a revision; raises Conflict."""
        call = self._port.replace_call(kind, name, value, revision)
        body = await self._call(call)
        if body is None:
            raise Conflict(f'{kind}/{name} is gone')
        return self._decode(self._port.decode_object, body)

    def _decode(self, decode, body):
        try:
            return decode(body)
        except (ValueError, KeyError, TypeError) as exc:
            raise StoreUnavailable(
                f'expected an answer of the store, got {exc!r}'
            ) from exc

    async def _call(self, call, timeout_s=CALL_TIMEOUT_S):
        self._metrics.store_calls += 1
        conn = None
        try:
            with anyio.fail_after(timeout_s):
                conn = await self._pool.acquire(self._address, IDLE_S)
                head = await conn.request(
                    call.method, call.target, call.headers, call.body
                )
                body = await conn.read_body()
        except (outgoing.ConnectionBroken, TimeoutError) as exc:
            raise StoreUnavailable(f'the store did not answer: {exc}') from exc
        else:
            await self._pool.release(conn)
            conn = None
        finally:
            if conn is not None:
                await conn.close()
        return _check(head.status, body)


def _check(status, body):
    if status in (200, 201):
        return body
    if status == 404:
        return None
    if status == 409:
        raise Conflict('expected another revision')
    if status == 410:
        raise HistoryGone('list again')
    if status in (429, 503):
        raise NotDone(f'the store answered {status}')
    raise StoreUnavailable(f'expected an answer of the store, got {status}')
