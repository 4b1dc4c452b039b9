"""Commands that query instances at their admin addresses."""

import collections

import httpx

from wagtailtide_ctl import results

CALL_TIMEOUT_S = 5.0
ExitCode = results.ExitCode


async def _get_json(http, url, path, params=None):
    """Get a JSON object from an instance.

    Returns:
        The object and an empty string, or None and the reason of the failure.
    """
    try:
        response = await http.get(
            url.rstrip('/') + path, params=params, timeout=CALL_TIMEOUT_S
        )
        response.raise_for_status()
        value = response.json()
    except (httpx.HTTPError, ValueError) as exc:
        return None, str(exc) or type(exc).__name__
    if not isinstance(value, dict):
        return None, 'expected a JSON object, got another JSON value'
    return value, ''


async def status(args, http):
    """Show the state of instances and the versions in force on them."""
    answers, unreachable = {}, {}
    for url in args.admin:
        value, reason = await _get_json(http, url, '/status')
        if value is None:
            unreachable[url] = reason
        else:
            answers[url] = value
    lines = [_instance_line(value) for value in answers.values()]
    lines += [
        f'{url}: no answer: {reason}' for url, reason in unreachable.items()
    ]
    version_lines, agreed = _compare_versions(answers.values())
    lines += version_lines
    lines += [line for v in answers.values() for line in _detail_lines(v)]
    healthy = agreed and all(_is_healthy(v) for v in answers.values())
    exit_code = ExitCode.OK if healthy else ExitCode.PROBLEMS
    if unreachable:
        exit_code = ExitCode.UNREACHABLE
    value = {'instances': list(answers.values()), 'unreachable': unreachable}
    return results.Result(exit_code, tuple(lines), value)


async def dump(args, http):
    """Print the state of one instance, or one section of it."""
    names = ('model', 'route', 'organisation')
    params = {n: getattr(args, n) for n in names if getattr(args, n)}
    value, reason = await _get_json(http, args.admin, '/dump', params)
    if value is None:
        raise results.CommandFailed(
            ExitCode.UNREACHABLE,
            f'{args.admin}: expected the state of an instance, got {reason}; '
            'check the URL and that the instance runs',
        )
    if args.section:
        if args.section not in value:
            raise results.CommandFailed(
                ExitCode.USAGE,
                f'expected one of the sections {", ".join(sorted(value))}, '
                f'got {args.section!r}',
            )
        value = value[args.section]
    return results.Result(ExitCode.OK, (_format_tree(value),), value)


def _instance_line(value):
    state = 'ready' if value.get('ready') else 'not ready'
    reason = value.get('not_ready_reason')
    return (
        f'instance {value.get("instance")} zone {value.get("zone")} {state}'
        + (f': {reason}' if reason else '')
    )


def _is_healthy(value):
    return bool(value.get('ready')) and not value.get('invariants_violated')


def _compare_versions(values):
    """Return a line for each service, and whether all instances agree."""
    instances_by_version = collections.defaultdict(
        lambda: collections.defaultdict(list)
    )
    services = {name for v in values for name in v.get('versions', {})}
    for value in values:
        for name in services:
            version = value.get('versions', {}).get(name)
            instances_by_version[name][version].append(
                str(value.get('instance'))
            )
    lines = []
    for name in sorted(services):
        parts = [
            f'version {version} on {", ".join(sorted(instances))}'
            if version is not None
            else f'no version on {", ".join(sorted(instances))}'
            for version, instances in sorted(
                instances_by_version[name].items(),
                key=lambda item: -(item[0] or 0),
            )
        ]
        lines.append(f'service {name}: {"; ".join(parts)}')
    return lines, all(
        len(versions) == 1 for versions in instances_by_version.values()
    )


def _detail_lines(value):
    name = value.get('instance')
    for invariant, count in (value.get('invariants_violated') or {}).items():
        yield f'{name}: invariant {invariant} violated {count} times'
    for section in ('members', 'backend_servers', 'organisations', 'waiting'):
        items = value.get(section)
        if items:
            yield f'{name}: {section}:'
            yield from ('  ' + _format_tree(item) for item in _as_list(items))


def _as_list(items):
    if isinstance(items, dict):
        return [{key: value} for key, value in items.items()]
    return items


def _format_tree(value, indent=''):
    """Return a value as indented text."""
    if isinstance(value, dict):
        if all(not isinstance(v, dict | list) for v in value.values()):
            return ' '.join(f'{key}={v}' for key, v in value.items())
        return '\n'.join(
            f'{indent}{key}: {_format_nested(v, indent)}'
            for key, v in value.items()
        )
    if isinstance(value, list):
        return '\n'.join(indent + _format_tree(item, indent) for item in value)
    return str(value)


def _format_nested(value, indent):
    if isinstance(value, dict | list) and value:
        return (
            '\n' + indent + '  ' + _format_tree(value, indent + '  ').lstrip()
        )
    return str(value)
