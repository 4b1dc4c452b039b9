"""Client of the platform's store, with distinct errors for failed calls."""

import dataclasses

import anyio

from wagtailtide_gateway import ports
from wagtailtide_gateway import settings
from wagtailtide_gateway.control import store_era
from wagtailtide_gateway.http import outgoing

# Seconds after which a call without an answer has failed. The store answers in
# milliseconds, and in a few hundred if it is slow.
CALL_TIMEOUT_S = 1.5

# A watch without an answer this many seconds after the end of its wait has
# failed.
WATCH_MARGIN_S = 1.0

# Largest answer, as a multiple of the largest object. A page holds about as
# much as one object, and at most one object more; a character may take three
# times its bytes where it is escaped.
MAX_ANSWER_OBJECTS = 6

# Longest idle time in seconds of a reused connection to the store. The limit
# of each connection, outgoing.DEFAULT_IDLE_S, is shorter and also applies.
MAX_IDLE_S = 30.0


class StoreUnavailable(Exception):
    """The store did not answer usably; the call may have taken effect."""


class Unanswered(StoreUnavailable):
    """No answer came in time; the call may have taken effect."""


class TooLarge(StoreUnavailable):
    """The answer is larger than any that the store should give."""


class Restored(StoreUnavailable):
    """The store was restored meanwhile; the call may have taken effect."""


class NotApplied(StoreUnavailable):
    """The store states that the call had no effect."""


class HistoryGone(Exception):
    """The store no longer has the history that a watch asked for."""


class Conflict(Exception):
    """The object is not at the expected revision; the call had no effect."""


class StoreClient:
    """Calls of one instance to the store.

    Its revisions contain the era, see `store_era`. What one call learned in an
    era is not used in a call of the next one, and late answers are dropped.

    Args:
        port: The StorePort.
        address: Address of the store.
        pool: ConnectionPool for the calls.
        metrics: The Metrics.
        era: StoreEra of the instance, which the answers keep up to date.
        value_bytes: Largest object that the store accepts, in bytes.
    """

    def __init__(
        self,
        port,
        address,
        pool,
        metrics,
        era,
        value_bytes=settings.STORE_VALUE_BYTES,
    ):
        self._port = port
        self._address = address
        self._pool = pool
        self._metrics = metrics
        self._era = era
        self._max_bytes = value_bytes * MAX_ANSWER_OBJECTS

    async def list_all(self, kind):
        """Return all objects of a kind and the revision of the list.

        Changes up to this revision are included. If the list has several
        pages, later ones may be included too.
        """
        objects, after, first_revision = [], None, None
        while True:
            body, era = await self._call(self._port.list_call(kind, after))
            found, more, number = self._decode(
                self._port.decode_list, kind, body
            )
            if first_revision is None:
                first_revision = store_era.qualify(number, era)
            elif store_era.era_of(first_revision) != era:
                raise Restored(f'restored while {kind} were listed')
            objects += (_qualify(obj, era) for obj in found)
            if not more or not found:
                return objects, first_revision
            after = found[-1].name

    async def watch(self, kind, revision, wait_s):
        """Wait for changes; return them and the revision that they reach.

        Args:
            kind: Kind of the objects.
            revision: Revision after which changes are wanted.
            wait_s: Seconds that the store waits for a change.

        Raises:
            StoreUnavailable: The store did not answer usably.
            HistoryGone: The objects have to be listed again.
        """
        self._require_history(revision, self._era.current)
        number = store_era.number_of(revision)
        call = self._port.watch_call(kind, number, wait_s)
        try:
            body, era = await self._call(call, wait_s + WATCH_MARGIN_S)
        except TooLarge as exc:
            # The same changes would come again.
            raise HistoryGone(f'{exc}; list the objects instead') from exc
        # The number may have been given out again in another era.
        self._require_history(revision, era)
        changes, number = self._decode(self._port.decode_watch, body)
        qualified = [
            dataclasses.replace(change, object=_qualify(change.object, era))
            for change in changes
        ]
        return qualified, store_era.qualify(number, era)

    def _require_history(self, revision, era):
        if store_era.era_of(revision) != era:
            raise HistoryGone('restored since this revision; list again')

    async def get(self, kind, name):
        """Return an object, or None if it does not exist."""
        body, era = await self._call(self._port.get_call(kind, name))
        return None if body is None else self._decode_object(body, era)

    async def create(self, kind, name, value):
        """Create an object; raises Conflict or StoreUnavailable."""
        asked_in = self._era.current
        call = self._port.create_call(kind, name, value)
        body, era = await self._call(call)
        if era != asked_in:
            raise Restored(f'restored while {kind}/{name} was created')
        return self._decode_object(body, era)

    async def replace(self, kind, name, value, revision):
        """Replace the value of an object at a given revision.

        Raises:
            Conflict: The object has another revision or does not exist.
            StoreUnavailable: The store did not answer usably.
        """
        asked_in = store_era.era_of(revision)
        if asked_in != self._era.current:
            raise Conflict(f'restored since {kind}/{name} was read')
        number = store_era.number_of(revision)
        call = self._port.replace_call(kind, name, value, number)
        body, era = await self._call(call)
        if body is None:
            raise Conflict(f'expected {kind}/{name} to exist; read it again')
        if era != asked_in:
            # The new era has an object with the same revision number.
            raise Restored(f'restored while {kind}/{name} was replaced')
        return self._decode_object(body, era)

    def _decode_object(self, body, era):
        return _qualify(self._decode(self._port.decode_object, body), era)

    def _decode(self, decode, *args):
        try:
            return decode(*args)
        except ports.DECODE_ERRORS as exc:
            raise StoreUnavailable(
                f'expected a valid answer from the store, got {exc!r}'
            ) from exc

    async def _call(self, call, timeout_s=CALL_TIMEOUT_S):
        """Return the body of an answer, None if not found, and its era."""
        self._metrics.store_calls += 1
        conn = None
        try:
            with anyio.fail_after(timeout_s):
                conn = await self._pool.acquire(self._address, MAX_IDLE_S)
                head = await conn.request(
                    call.method, call.target, call.headers, call.body
                )
                body = await conn.read_body(self._max_bytes)
        except outgoing.BodyTooLarge as exc:
            raise TooLarge(str(exc)) from exc
        except (outgoing.ConnectionBroken, TimeoutError) as exc:
            timed_out = TimeoutError in (type(exc), type(exc.__cause__))
            error = Unanswered if timed_out else StoreUnavailable
            raise error(
                f'expected an answer from the store, got none: {exc}'
            ) from exc
        else:
            await self._pool.release(conn)
            conn = None
        finally:
            if conn is not None:
                await conn.close()
        era = self._era.observe(self._port.decode_era(head.headers))
        if era is None:
            raise Restored('expected an answer of the current era')
        return _check(head.status, body), era


def _qualify(obj, era):
    """Return a StoredObject with the era in its revision."""
    revision = store_era.qualify(obj.revision, era)
    return dataclasses.replace(obj, revision=revision)


def _check(status, body):
    if status in (200, 201):
        return body
    if status == 404:
        return None
    if status == 409:
        raise Conflict('expected the latest revision; read the object again')
    if status == 410:
        raise HistoryGone('the store no longer has this history; list again')
    if status in (429, 503):
        raise NotApplied(f'the store refused the call with status {status}')
    raise StoreUnavailable(
        f'expected status 200 or 201 from the store, got {status}'
    )
