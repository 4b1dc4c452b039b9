"""Client of the platform's object API for one-shot commands."""

import base64
import binascii
import dataclasses
import json

import anyio
import httpx

CALL_TIMEOUT_S = 2.0
# Outlasts a restart of the platform, and an operator can wait that long.
RETRY_TIMEOUT_S = 20.0
FIRST_RETRY_DELAY_S = 0.1
MAX_RETRY_DELAY_S = 2.0
UNAVAILABLE_STATUSES = (429, 503)


class Unreachable(Exception):
    """The platform gave no usable response; nothing was written."""


class Conflict(Exception):
    """The object has a version other than expected; it was not written."""


class WriteUnknown(Exception):
    """A write may have taken effect; reading could not tell in time."""


class Refused(Exception):
    """The platform refuses the value; it was not written."""


@dataclasses.dataclass(frozen=True)
class StoredObject:
    """An object stored in the platform."""

    key: str
    version: int
    value: bytes


class _NoResponse(Exception):
    # The request may have been received and carried out.
    pass


class PlatformClient:
    """Reads and conditional writes that are retried until a time limit.

    Attributes:
        url: Base URL.
    """

    def __init__(self, http, url, retry_timeout_s=RETRY_TIMEOUT_S):
        self.url = url
        self._http = http
        self._retry_timeout_s = retry_timeout_s

    async def list(self, prefix):
        """Return the objects whose key has a prefix, by key.

        Raises:
            Unreachable: If there is no response before the time limit.
        """
        response = await self._read('/v1/objects', {'prefix': prefix})
        items = _decode(response, lambda body: map(_parse_item, body['items']))
        return {item.key: item for item in items}

    async def get(self, key):
        """Return an object, or None.

        Raises:
            Unreachable: If there is no response before the time limit.
        """
        response = await self._read(f'/v1/objects/{key}', {})
        if response.status_code == 404:
            return None
        return _decode(response, _parse_item)

    async def put(self, key, value, expected):
        """Write an object if it still has the expected version.

        After a write without response the object is read: it holds the value,
        or still has the expected version and the same conditional write is
        sent again, or another write came first.

        Args:
            key: Key of the object.
            value: New value.
            expected: Version to replace; None to create.

        Returns:
            The new version.

        Raises:
            Conflict: If another write came first.
            Refused: If the platform refuses the value.
            Unreachable: If nothing was written before the time limit.
            WriteUnknown: If the outcome is unknown at the time limit.
        """
        deadline = anyio.current_time() + self._retry_timeout_s
        delay_s, unknown, conflict = FIRST_RETRY_DELAY_S, False, None
        while True:
            try:
                found = await self._get_once(key) if unknown else None
                if found is not None and found.value == value:
                    return found.version
                if conflict:
                    raise conflict
                return await self._put_once(key, value, expected)
            except _NoResponse:
                unknown, reason = True, 'no response'
            except Unreachable as exc:
                reason = exc
            except Conflict as exc:
                # After a lost response, this attempt may conflict with the
                # earlier one.
                if conflict or not unknown:
                    raise
                conflict, reason = exc, 'conflict'
            if anyio.current_time() + delay_s > deadline:
                message = f'{self.url}: {reason}'
                raise WriteUnknown(key) if unknown else Unreachable(message)
            await anyio.sleep(delay_s)
            delay_s = min(2 * delay_s, MAX_RETRY_DELAY_S)

    async def _put_once(self, key, value, expected):
        if expected is None:
            headers = {'If-None-Match': '*'}
        else:
            headers = {'If-Match': str(expected)}
        headers['Content-Type'] = 'application/json'
        body = json.dumps({'value': base64.b64encode(value).decode()})
        response = await self._send(
            'PUT', f'/v1/objects/{key}', headers=headers, content=body
        )
        if response.status_code in UNAVAILABLE_STATUSES:
            raise Unreachable(f'answered {response.status_code}')
        if response.status_code == 412:
            raise Conflict(key)
        if 400 <= response.status_code < 500:
            raise Refused(f'{response.status_code} {response.text:.200}')
        try:
            return int(response.json()['version'])
        except (ValueError, KeyError, TypeError) as exc:
            raise _NoResponse from exc

    async def _get_once(self, key):
        try:
            response = await self._send('GET', f'/v1/objects/{key}')
        except _NoResponse as exc:
            raise Unreachable('no response') from exc
        if response.status_code == 404:
            return None
        return _decode(response, _parse_item)

    async def _read(self, path, params):
        deadline = anyio.current_time() + self._retry_timeout_s
        delay_s = FIRST_RETRY_DELAY_S
        while True:
            try:
                response = await self._send('GET', path, params=params)
                if response.status_code < 500 and response.status_code != 429:
                    return response
                reason = f'answered {response.status_code}'
            except _NoResponse:
                reason = 'no response'
            except Unreachable as exc:
                reason = str(exc)
            if anyio.current_time() + delay_s > deadline:
                raise Unreachable(f'{self.url}: {reason}')
            await anyio.sleep(delay_s)
            delay_s = min(2 * delay_s, MAX_RETRY_DELAY_S)

    async def _send(self, method, path, **options):
        try:
            return await self._http.request(
                method, self.url + path, timeout=CALL_TIMEOUT_S, **options
            )
        except (httpx.ConnectError, httpx.ConnectTimeout) as exc:
            raise Unreachable(f'no connection ({exc})') from exc
        except httpx.UnsupportedProtocol as exc:
            raise Unreachable(f'expected an http URL ({exc})') from exc
        except httpx.HTTPError as exc:
            raise _NoResponse from exc


def _decode(response, parse):
    try:
        value = parse(response.json())
        return value if isinstance(value, StoredObject) else list(value)
    except (
        AttributeError,
        KeyError,
        TypeError,
        ValueError,
        binascii.Error,
    ) as exc:
        status = response.status_code
        raise Unreachable(
            f'expected a response of the object API, got status {status} and '
            'an unreadable body; check the URL'
        ) from exc


def _parse_item(body):
    value = base64.b64decode(body['value'], validate=True)
    return StoredObject(str(body['key']), int(body['version']), value)
