"""Settings of one instance, read from a JSON file with comments."""

import difflib
import ipaddress
import logging
import pathlib
import urllib.parse

import json5
import pydantic

_MODEL_CONFIG = pydantic.ConfigDict(extra='forbid', frozen=True, strict=True)
_NAME_PATTERN = r'^[a-z0-9][a-z0-9._-]{0,62}$'
LOG_LEVELS = ('debug', 'info', 'warning', 'error')


class SettingsError(Exception):
    """The settings are invalid.

    Attributes:
        problems: One message for each problem.
    """

    def __init__(self, problems):
        super().__init__('; '.join(problems))
        self.problems = tuple(problems)


def _check_address(value):
    host, _, port = value.rpartition(':')
    try:
        ipaddress.ip_address(host.strip('[]'))
        valid = 0 <= int(port) <= 65_535
    except ValueError:
        valid = False
    if not valid:
        raise ValueError('expected ip:port such as 127.0.0.1:8080')
    return value


def _check_url(value):
    url = urllib.parse.urlsplit(value)
    if url.scheme not in ('http', 'https') or not url.hostname:
        raise ValueError('expected a URL such as http://127.0.0.1:9000')
    return value.rstrip('/')


def _check_log_level(value):
    if value not in LOG_LEVELS:
        raise ValueError(f'expected one of {", ".join(LOG_LEVELS)}')
    return value


class Limits(pydantic.BaseModel):
    """Bounds on what one instance accepts.

    Attributes:
        max_body_bytes: Maximum size of a request body, in bytes.
        max_open_requests: Maximum number of requests in progress.
    """

    model_config = _MODEL_CONFIG

    max_body_bytes: pydantic.PositiveInt = 4_194_304
    max_open_requests: pydantic.PositiveInt = 2_000


class Settings(pydantic.BaseModel):
    """Settings of one instance.

    Attributes:
        name: Name of the instance, unique in the deployment.
        region: Region of the instance.
        zone: Availability zone of the instance.
        callers: Address on which callers are served, ``ip:port``.
        admin: Address of the admin endpoints, ``ip:port``.
        peers: Address on which other instances connect, ``ip:port``.
        platform: URL of the platform's object API.
        seed_peers: Addresses of peers to connect to while no peer is known,
            for example because the platform is down.
        balancer_lag_s: Time in seconds that the load balancer needs to notice
            that the instance is not ready.
        log_level: One of LOG_LEVELS.
        limits: Bounds on what the instance accepts.
    """

    model_config = _MODEL_CONFIG

    name: str = pydantic.Field(pattern=_NAME_PATTERN)
    region: str = pydantic.Field(pattern=_NAME_PATTERN)
    zone: str = pydantic.Field(pattern=_NAME_PATTERN)
    callers: str
    admin: str
    peers: str
    platform: str
    seed_peers: list[str] = []
    balancer_lag_s: float = pydantic.Field(default=5.0, ge=0, le=600)
    log_level: str = 'info'
    limits: Limits = Limits()

    _addresses = pydantic.field_validator('callers', 'admin', 'peers')(
        _check_address
    )
    _platform = pydantic.field_validator('platform')(_check_url)
    _log_level = pydantic.field_validator('log_level')(_check_log_level)

    @pydantic.field_validator('seed_peers')
    @classmethod
    def _check_seed_peers(cls, value):
        return [_check_address(address) for address in value]

    @pydantic.model_validator(mode='after')
    def _check_addresses_differ(self):
        addresses = [a for a in (self.callers, self.admin, self.peers)]
        addresses = [a for a in addresses if not a.endswith(':0')]
        if len(set(addresses)) < len(addresses):
            raise ValueError('expected callers, admin and peers to differ')
        return self


def load(path):
    """Read the settings.

    Args:
        path: Path of the file.

    Returns:
        The Settings.

    Raises:
        SettingsError: If the file cannot be read, is not JSON with comments,
            or has an unknown field, a wrong type or an invalid value.
    """
    try:
        text = pathlib.Path(path).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as exc:
        reason = getattr(exc, 'strerror', None) or 'it is not UTF-8 text'
        raise SettingsError(
            [
                f'{path}: expected a readable settings file, got: {reason}; '
                'give its path with --settings'
            ]
        ) from exc
    try:
        raw = json5.loads(text)
    except (ValueError, RecursionError) as exc:
        raise SettingsError(
            [
                f'{path}: expected JSON with comments, got: {exc}; '
                'correct the syntax there'
            ]
        ) from exc
    return parse(raw, path)


def parse(raw, source='settings'):
    """Validate settings.

    Args:
        raw: The parsed JSON value.
        source: Name of the source, for error messages.

    Returns:
        The Settings.

    Raises:
        SettingsError: If the settings are invalid.
    """
    if not isinstance(raw, dict):
        got = type(raw).__name__
        raise SettingsError(
            [f'{source}: expected an object, got {got}; write {{...}}']
        )
    try:
        return Settings.model_validate(raw)
    except pydantic.ValidationError as exc:
        problems = [_describe_error(source, error) for error in exc.errors()]
        raise SettingsError(problems) from exc


def _describe_error(source, error):
    path = '.'.join(str(part) for part in error['loc']) or 'settings'
    if error['type'] == 'extra_forbidden':
        return f'{source}: {path}: {_describe_unknown_field(error["loc"])}'
    if error['type'] == 'missing':
        return (
            f'{source}: {path}: expected a value, got nothing; '
            f'add the field "{error["loc"][-1]}"'
        )
    expected = error['msg'].removeprefix('Value error, ')
    if not expected.startswith('expected'):
        expected = 'expected: ' + expected[:1].lower() + expected[1:]
    return (
        f'{source}: {path}: {expected}, got {error["input"]!r:.100}; '
        'change this value'
    )


def _describe_unknown_field(loc):
    fields = Limits.model_fields if len(loc) > 1 else Settings.model_fields
    name = str(loc[-1])
    closest = difflib.get_close_matches(name, fields, n=1, cutoff=0.0)
    return (
        f'expected one of {", ".join(sorted(fields))}, got the unknown field '
        f'"{name}"; did you mean "{closest[0]}"? Rename or remove it'
    )


def logging_level(settings):
    """Return the configured log level as a level of the logging module."""
    return getattr(logging, settings.log_level.upper())
