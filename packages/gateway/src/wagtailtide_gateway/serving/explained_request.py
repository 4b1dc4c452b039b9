"""Requests that operators ask to be explained, from the query of a URL."""

import dataclasses
import math
import urllib.parse

import anyio

from wagtailtide_gateway.model import request
from wagtailtide_gateway.serving import access

# Takes the place of the id that callers give to an attempt.
ATTEMPT_ID = 'explain'

# Longest query in bytes. A prompt has some dozens of segments.
MAX_QUERY_BYTES = 8_192


class BadQuery(Exception):
    """A query that is malformed, or names what is not configured."""


@dataclasses.dataclass(frozen=True, slots=True)
class Query:
    """A request to explain, as the operator describes it.

    Attributes:
        service: Name of the service.
        model: Name of the model, or None.
        adapter: Name of the adapter, or None.
        organisation: Name of the organisation, or None.
        route: Name of the route, None for the first one of the service.
        prefix: PromptSegment objects of the prompt.
        tokens: Prompt tokens and maximum output tokens, None if not stated.
        deadline_s: Seconds until the caller gives up, or None.
    """

    service: str
    model: str | None = None
    adapter: str | None = None
    organisation: str | None = None
    route: str | None = None
    prefix: tuple[request.PromptSegment, ...] = ()
    tokens: tuple[int, int] | None = None
    deadline_s: float | None = None


def parse(text):
    """Return the Query of the query part of a URL.

    Raises:
        BadQuery: A parameter is unknown, repeated, missing or malformed.
    """
    if len(text) > MAX_QUERY_BYTES:
        raise BadQuery(
            f'expected a query of at most {MAX_QUERY_BYTES} bytes, got '
            f'{len(text)}; leave out segments of the prefix'
        )
    try:
        pairs = urllib.parse.parse_qsl(
            text, keep_blank_values=True, strict_parsing=True, errors='strict'
        )
    except ValueError as exc:
        raise BadQuery(f'expected NAME=VALUE pairs: {exc}') from exc
    values = {}
    for name, value in pairs:
        if name not in _PARSERS:
            raise BadQuery(
                f'expected the parameters {", ".join(sorted(_PARSERS))}, got '
                f'{name!r}'
            )
        if name in values:
            raise BadQuery(f'expected one {name}, got more')
        values[name] = _PARSERS[name](name, value)
    if 'service' not in values:
        raise BadQuery('expected the parameter service, got none')
    if 'deadline_ms' in values:
        values['deadline_s'] = values.pop('deadline_ms') / 1000.0
    return Query(**values)


def _name(parameter, text):
    if not text:
        raise BadQuery(f'expected a name as {parameter}, got nothing')
    return text


def _deadline_ms(parameter, text):
    try:
        deadline_ms = float(text)
    except ValueError:
        deadline_ms = math.nan
    if not 0.0 < deadline_ms < math.inf:
        raise BadQuery(
            f'expected {parameter} as a positive number of milliseconds, got '
            f'{text!r}'
        )
    return deadline_ms


def _tokens(parameter, text):
    parts = text.split(',')
    if len(parts) != 2 or not all(map(_is_count, parts)):
        raise BadQuery(
            f'expected {parameter} as IN,OUT, two integers of at least 0, '
            f'got {text!r}'
        )
    return int(parts[0]), int(parts[1])


def _prefix(parameter, text):
    segments = []
    for segment in text.split(','):
        name, _, tokens = segment.partition(':')
        if not name or not _is_count(tokens):
            raise BadQuery(
                f'expected {parameter} as ID:TOKENS pairs with commas between '
                f'them, got {text!r}'
            )
        segments.append(request.PromptSegment(name, int(tokens)))
    return tuple(segments)


def _is_count(text):
    return text.isascii() and text.isdigit() and len(text) < 10


_PARSERS = {
    'service': _name,
    'model': _name,
    'adapter': _name,
    'organisation': _name,
    'route': _name,
    'prefix': _prefix,
    'tokens': _tokens,
    'deadline_ms': _deadline_ms,
}


def make_job(query, deployment):
    """Return the Job of a request that would arrive now.

    Args:
        query: The Query.
        deployment: The Deployment in force.

    Raises:
        BadQuery: The configuration lacks what the query names, or the parts
            of the query contradict each other.
    """
    service = _known(deployment.services, query.service, 'service')
    _check_model(query, service)
    organisation = None
    if query.organisation is not None:
        organisation = _known(
            deployment.organisations_by_name,
            query.organisation,
            'organisation',
        )
    route = _route(query, deployment)
    if route.open_access:
        # Requests there have no key, so they count for no organisation.
        organisation = None
    return access.make_routed_job(
        _caller_request(query, route),
        route,
        service,
        organisation,
        anyio.current_time(),
    )


def _known(known, name, what):
    if name not in known:
        names = ', '.join(sorted(known)) or 'none'
        raise BadQuery(
            f'the configuration has no {what} {name!r}; it has: {names}'
        )
    return known[name]


def _check_model(query, service):
    if service.engine is None:
        if query.model is not None or query.adapter is not None:
            raise BadQuery(
                f'service {service.name!r} runs no models; leave out the '
                'model and the adapter'
            )
        return
    if query.model is None:
        names = ', '.join(sorted(service.engine.models))
        raise BadQuery(
            f'service {service.name!r} runs models; give one of: {names}'
        )
    _known(
        service.engine.models,
        query.model,
        f'model for service {service.name!r} named',
    )


def _route(query, deployment):
    """Return the Route by its name, or the first one of the service."""
    routes = {
        route.name: route
        for route in deployment.routes
        if any(s.name == query.service for s in route.services)
    }
    if not routes:
        raise BadQuery(f'no route leads to service {query.service!r}')
    if query.route is None:
        return next(iter(routes.values()))
    if query.route not in routes:
        raise BadQuery(
            f'no route {query.route!r} leads to service {query.service!r}; '
            f'those that do: {", ".join(routes)}'
        )
    return routes[query.route]


def _caller_request(query, route):
    prompt_tokens, max_output_tokens = query.tokens or (0, 0)
    return request.CallerRequest(
        attempt_id=ATTEMPT_ID,
        method=b'POST',
        target=route.path_prefix.encode(),
        host=route.host,
        path=route.path_prefix,
        headers=(),
        body=b'',
        deadline_s=query.deadline_s,
        api_key=None,
        model=query.model,
        adapter=query.adapter,
        prompt_tokens=prompt_tokens,
        max_output_tokens=max_output_tokens,
        has_token_counts=query.tokens is not None,
        prefix=query.prefix,
        resume_after=None,
        resumes=None,
    )
