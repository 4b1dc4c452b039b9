"""Command that explains where an instance would send a request."""

import datetime
import http as http_
import json

import httpx

from wagtailtide_ctl import instances
from wagtailtide_ctl import results

ExitCode = results.ExitCode

# Parameters of the question, named as the fields of the arguments.
PARAMETERS = (
    'service',
    'model',
    'adapter',
    'organisation',
    'prefix',
    'tokens',
    'deadline_ms',
    'route',
)

CANDIDATE_COLUMNS = (
    'server',
    'zone',
    'load',
    'slots',
    'slowdown',
    'cost',
    'of load',
    'of failures',
    'of zone',
    'of prefix',
    'process since',
)
EXCLUDED_COLUMNS = (
    'server',
    'zone',
    'load',
    'slots',
    'process since',
    'reason',
    'detail',
)


async def explain(args, http):
    """Show where an instance would send a request now, and why."""
    params = {
        name: getattr(args, name)
        for name in PARAMETERS
        if getattr(args, name) is not None
    }
    _check(params)
    try:
        response = await http.get(
            args.admin.rstrip('/') + '/explain',
            params=params,
            timeout=instances.CALL_TIMEOUT_S,
        )
    except (httpx.HTTPError, httpx.InvalidURL) as exc:
        raise _no_answer(args, str(exc) or type(exc).__name__) from exc
    value = _decode(response)
    if response.status_code == http_.HTTPStatus.BAD_REQUEST and value:
        raise results.CommandFailed(
            ExitCode.USAGE, str(value.get('error', value))
        )
    if response.status_code == http_.HTTPStatus.NOT_FOUND:
        raise results.CommandFailed(
            ExitCode.UNREACHABLE,
            f'{args.admin}: the instance does not know explain; its build is '
            'older, or it is not a gateway',
        )
    if response.status_code != http_.HTTPStatus.OK or value is None:
        raise _no_answer(args, f'status {response.status_code}')
    return results.Result(ExitCode.OK, tuple(_lines(value)), value)


def _no_answer(args, reason):
    return results.CommandFailed(
        ExitCode.UNREACHABLE,
        f'{args.admin}: expected an explanation, got {reason}; check the URL '
        'and that the instance runs',
    )


def _check(params):
    """Check the form of the arguments, also if no instance answers.

    Raises:
        CommandFailed: One is malformed.
    """
    tokens = params.get('tokens')
    if tokens is not None and not _are_counts(tokens.split(','), 2):
        raise _wrong('--tokens as IN,OUT, two integers', tokens)
    prefix = params.get('prefix')
    for segment in prefix.split(',') if prefix is not None else ():
        name, _, count = segment.partition(':')
        if not name or not _are_counts([count], 1):
            raise _wrong('--prefix as ID:TOKENS,...', prefix)
    deadline_ms = params.get('deadline_ms', 1.0)
    if not 0.0 < deadline_ms < float('inf'):
        raise _wrong('--deadline-ms as a positive number', deadline_ms)


def _are_counts(parts, number):
    return len(parts) == number and all(
        part.isascii() and part.isdigit() for part in parts
    )


def _wrong(expected, got):
    return results.CommandFailed(
        ExitCode.USAGE, f'expected {expected}, got {got!r}'
    )


def _decode(response):
    """Return the JSON object of a response, None if it has none."""
    try:
        value = response.json()
    except json.JSONDecodeError:
        return None
    return value if isinstance(value, dict) else None


def _lines(value):
    yield from _verdict_lines(value)
    if value.get('request'):
        yield f'request: {_request_text(value["request"])}'
    if value.get('pool'):
        yield f'servers that can run it: {_pool_text(value["pool"])}'
    candidates = value.get('candidates', ())
    yield f'candidates: {len(candidates)}'
    if candidates:
        rows = [_candidate_row(row) for row in candidates]
        yield from _table(CANDIDATE_COLUMNS, rows)
    excluded = value.get('excluded', ())
    yield f'excluded: {len(excluded)}'
    if excluded:
        rows = [_excluded_row(row) for row in excluded]
        yield from _table(EXCLUDED_COLUMNS, rows)
    yield from _input_lines(value['inputs'])


def _verdict_lines(value):
    verdict, error = value['verdict'], value.get('error')
    text = f'instance {value["instance"]}, zone {value["zone"]}: {verdict}'
    if value.get('server'):
        text += f' to {value["server"]}'
    if error:
        text += f' with {error["status"]} {error["kind"]}'
    yield text
    if value.get('reason') or error:
        yield f'reason: {value.get("reason") or error["message"]}'
    if verdict != 'send' and value.get('predicted_wait_s') is not None:
        yield f'predicted wait: {value["predicted_wait_s"]} s'
    if value.get('retry_after_s') is not None:
        yield f'Retry-After: {value["retry_after_s"]} s'


def _request_text(request):
    parts = [
        f'{name} {request[name]}'
        for name in ('service', 'model', 'adapter', 'route', 'organisation')
        if request.get(name) is not None
    ]
    parts.append(f'priority {request["priority"]}')
    if request.get('tokens') is not None:
        parts.append(f'{request["tokens"]} tokens')
    parts.append(f'may wait {request["longest_wait_s"]} s')
    return ', '.join(parts)


def _pool_text(pool):
    others = pool['others_ahead']
    return (
        f'slots {_text(pool["slots"])}, load {_text(pool["load"])}, '
        f'waiting ahead here {pool["waiting_ahead"]}, elsewhere '
        f'{"unknown" if others is None else others}, '
        f'{pool["service_s"]} s a request'
    )


def _candidate_row(row):
    cost = row['cost']
    return (
        row['server'] + (' (by a peer)' if row['is_forwarded'] else ''),
        row['zone'],
        _text(row['load']),
        _text(row['slots']),
        _text(row['slowdown']),
        *(
            f'{cost[name]:.3f}'
            for name in ('total', 'load', 'failures', 'other_zone', 'prefix')
        ),
        _time(row['process_start_ms']),
    )


def _excluded_row(row):
    return (
        row['server'],
        row['zone'],
        _text(row['load']),
        _text(row['slots']),
        _time(row['process_start_ms']),
        row['reason'],
        row['detail'],
    )


def _time(unix_ms):
    """Return a Unix time in milliseconds as text, in UTC."""
    at = datetime.datetime.fromtimestamp(unix_ms / 1000, datetime.UTC)
    return at.strftime('%Y-%m-%dT%H:%M:%SZ')


def _text(value):
    return f'{value:g}' if isinstance(value, int | float) else str(value)


def _table(columns, rows):
    """Yield the lines of a table, indented and without trailing space."""
    cells = [columns, *rows]
    widths = [max(len(row[i]) for row in cells) for i in range(len(columns))]
    for row in cells:
        padded = (
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        )
        yield ('  ' + '  '.join(padded)).rstrip()


def _input_lines(inputs):
    servers, leader = inputs['servers'], inputs['leader']
    config, evacuations = inputs['config'], inputs.get('evacuations')
    outdated = ', too old to send by' if servers['is_outdated'] else ''
    yield f'list of servers: {_age(servers["age_s"])}{outdated}'
    if evacuations:
        yield f'list of evacuated zones: {_age(evacuations["age_s"])}'
    state = 'answers' if leader['answers'] else 'no leader answers'
    if leader['is_this_instance']:
        state = 'this instance'
    yield (
        f'leader: {state}; last update: {_age(leader["update_age_s"])}, '
        f'{leader["instances"]} instances'
    )
    age = _age(config['age_s'])
    yield f'configuration: version {config["version"]}, {age}'


def _age(age_s):
    return 'never received' if age_s is None else f'{age_s:.2f} s old'
