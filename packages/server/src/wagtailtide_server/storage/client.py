"""Client of the platform's object API."""

import base64
import binascii
import json
import random

import anyio
import httpx

from wagtailtide_server.storage import budget as budgets
from wagtailtide_server.storage import lists
from wagtailtide_server.storage import objects
from wagtailtide_server.storage import write_outcome

CALL_TIMEOUT_S = 1.0
# A watch without changes is answered only after the timeout it was given.
WATCH_GRACE_S = 1.0
# An exhausted budget must not delay a call for longer than its caller can use
# the response.
MAX_BUDGET_WAIT_S = 10.0


# Exported for the users of this module.
StoreError = objects.StoreError
Conflict = objects.Conflict
Unavailable = objects.Unavailable
RateLimited = objects.RateLimited
WriteUnknown = objects.WriteUnknown
ValueTooLarge = objects.ValueTooLarge
RevisionTooOld = objects.RevisionTooOld
StoredObject = objects.StoredObject
Listing = objects.Listing
WriteOutcome = objects.WriteOutcome


def _decode(response, parse):
    """Parse a JSON body; an unreadable body counts as no response."""
    try:
        return parse(response.json())
    except (
        KeyError,
        TypeError,
        AttributeError,
        ValueError,
        binascii.Error,
    ) as exc:
        raise Unavailable(
            f'expected a JSON response of the object API, got {exc!r}'
        ) from exc


def _decode_listing(response, sent_at):
    return _decode(response, lambda body: objects.parse_listing(body, sent_at))


class StoreClient:
    """Calls to the platform with rate limits, timeouts and typed errors.

    Attributes:
        rng: Random numbers for jitter.
        budget: Call counts and rate limits.
    """

    def __init__(
        self,
        base_url,
        *,
        rng=None,
        budget=None,
        transport=None,
        timeout_s=CALL_TIMEOUT_S,
    ):
        """Create the client; `aclose` it, or use it as a context manager.

        Args:
            base_url: URL of the platform.
            rng: Seeded ``random.Random`` for jitter.
            budget: CallBudget to use instead of a new one.
            transport: httpx transport, for tests.
            timeout_s: Time allowed for each call in seconds.
        """
        self.rng = rng if rng is not None else random.Random()
        self.budget = budget or budgets.CallBudget(self.rng)
        self._timeout_s = timeout_s
        self._http = httpx.AsyncClient(
            base_url=base_url,
            timeout=timeout_s,
            transport=transport,
            trust_env=False,
        )

    async def __aenter__(self):
        return self

    async def __aexit__(self, *exc_info):
        await self.aclose()

    async def aclose(self):
        """Close all connections."""
        await self._http.aclose()

    async def get(self, key, *, activity=budgets.Activity.OTHER):
        """Return the object, or None if there is none.

        Raises:
            Unavailable: If there is no usable response.
        """
        response, _ = await self._read(f'/v1/objects/{key}', activity)
        if response.status_code == 404:
            return None
        return _decode(response, objects.parse_item)

    async def put(
        self, key, value, expected, *, activity=budgets.Activity.OTHER
    ):
        """Write an object if its version is still the expected one.

        Args:
            key: Key of the object.
            value: New value, at most 1 MB.
            expected: Version to replace; None means create.
            activity: Purpose for which the call is counted.

        Returns:
            The new version.

        Raises:
            Conflict: If the condition does not hold.
            Unavailable: If it was certainly not written.
            WriteUnknown: If it may have been written.
            ValueTooLarge: If the value exceeds 1 MB.
        """
        if expected is None:
            headers = {'If-None-Match': '*'}
        else:
            headers = {'If-Match': str(expected)}
        body = json.dumps({'value': base64.b64encode(value).decode()})
        response = await self._write('PUT', key, activity, headers, body)
        try:
            return int(response.json()['version'])
        except (KeyError, TypeError, ValueError) as exc:
            raise WriteUnknown(
                f'put {key}: expected a response with the new version'
            ) from exc

    async def delete(self, key, expected, *, activity=budgets.Activity.OTHER):
        """Delete an object; raises as `put` does."""
        headers = {'If-Match': str(expected)}
        await self._write('DELETE', key, activity, headers, None)

    async def list(self, prefix, *, activity=budgets.Activity.OTHER):
        """Return all objects whose key has the prefix, and the revision.

        Raises:
            Unavailable: If there is no usable response.
        """
        response, sent_at = await self._read(
            '/v1/objects', activity, {'prefix': prefix}
        )
        return _decode_listing(response, sent_at)

    async def watch(
        self, prefix, since, timeout_s, *, activity=budgets.Activity.OTHER
    ):
        """Wait for changes after a revision.

        Args:
            prefix: Prefix of the keys.
            since: Revision after which to report changes.
            timeout_s: Time in seconds after which the platform answers even
                without changes.
            activity: Purpose for which the call is counted.

        Raises:
            RevisionTooOld: If `list` has to be called instead.
            Unavailable: If there is no usable response.
        """
        params = {'prefix': prefix, 'since': since, 'timeout_s': timeout_s}
        response, sent_at = await self._read(
            '/v1/watch', activity, params, timeout_s + WATCH_GRACE_S
        )
        if response.status_code == 410:
            raise RevisionTooOld(f'revision {since} is too old to watch')
        return _decode_listing(response, sent_at)

    async def instances(self):
        """Return the listed instances; raises Unavailable."""
        response, _ = await self._read('/v1/instances', budgets.Activity.LISTS)
        return _decode(
            response,
            lambda body: lists.parse_items(body, lists.ListedInstance),
        )

    async def backend_servers(self):
        """Return the listed backend servers; raises Unavailable."""
        response, _ = await self._read(
            '/v1/backend-servers', budgets.Activity.LISTS
        )
        return _decode(
            response,
            lambda body: lists.parse_items(body, lists.ListedServer),
        )

    async def resolve_write(self, key, is_own_write, **options):
        """Find out if a write took effect.

        See `write_outcome.resolve_write`.
        """
        return await write_outcome.resolve_write(
            self, key, is_own_write, **options
        )

    async def put_and_resolve(self, key, value, expected, **options):
        """Write and resolve an unknown outcome.

        See `write_outcome.put_and_resolve`.
        """
        return await write_outcome.put_and_resolve(
            self, key, value, expected, **options
        )

    async def _reserve(self, activity, is_write):
        # Background tasks may still use the client after a stop has closed it.
        if self._http.is_closed:
            raise Unavailable('expected an open client, got a closed one')
        wait = self.budget.reserve(activity, is_write, anyio.current_time())
        if wait > MAX_BUDGET_WAIT_S:
            self.budget.cancel_reservation(is_write)
            raise RateLimited(
                f'call budget exhausted: a call for {activity} would wait '
                f'{wait:.1f} s'
            )
        if wait > 0:
            try:
                await anyio.sleep(wait)
            except BaseException:
                self.budget.cancel_reservation(is_write)
                raise

    async def _read(self, path, activity, params=None, timeout_s=None):
        await self._reserve(activity, is_write=False)
        timeout_s = timeout_s or self._timeout_s
        sent_at = anyio.current_time()
        try:
            with anyio.fail_after(timeout_s):
                response = await self._http.get(
                    path, params=params, timeout=timeout_s
                )
        except (httpx.HTTPError, TimeoutError) as exc:
            raise Unavailable(f'GET {path}: {exc!r}') from exc
        self._check_rate_limit(response, activity)
        if response.status_code not in (200, 404, 410):
            raise Unavailable(f'GET {path}: status {response.status_code}')
        return response, sent_at

    async def _write(self, method, key, activity, headers, body):
        await self._reserve(activity, is_write=True)
        path = f'/v1/objects/{key}'
        try:
            with anyio.fail_after(self._timeout_s):
                response = await self._http.request(
                    method,
                    path,
                    content=body,
                    headers={**headers, 'Content-Type': 'application/json'},
                )
        except (httpx.ConnectError, httpx.ConnectTimeout) as exc:
            raise Unavailable(f'{method} {path}: {exc!r}') from exc
        except (httpx.HTTPError, TimeoutError) as exc:
            raise WriteUnknown(f'{method} {path}: {exc!r}') from exc
        self._check_rate_limit(response, activity)
        self._check_written(response, f'{method} {path}')
        return response

    def _check_rate_limit(self, response, activity):
        if response.status_code == 429:
            self.budget.record_rate_limited(activity, anyio.current_time())
            raise RateLimited(
                f'platform answered 429 to a call for {activity}'
            )
        self.budget.record_accepted()

    def _check_written(self, response, call):
        status = response.status_code
        if status in (200, 201, 204):
            return
        if status in (404, 412):
            raise Conflict(
                f'{call}: the object does not have the expected version'
            )
        if status == 413:
            raise ValueTooLarge(f'{call}: expected a value of at most 1 MB')
        # In an outage the platform answers 503 without writing; any other
        # server error may have occurred after the write took effect.
        if status == 503 or 400 <= status < 500:
            raise Unavailable(f'{call}: status {status}')
        raise WriteUnknown(f'{call}: status {status}')
