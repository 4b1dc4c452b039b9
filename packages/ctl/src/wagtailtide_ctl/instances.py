"""Commands that ask instances at their admin addresses."""

import collections

import httpx

from wagtailtide_ctl import results

CALL_TIMEOUT_S = 5.0
ExitCode = results.ExitCode


async def _ask(http, url, path, params=None):
    """Return the JSON answer of an instance, or None and the reason."""
    try:
        response = await http.get(
            url.rstrip('/') + path, params=params, timeout=CALL_TIMEOUT_S
        )
        response.raise_for_status()
        value = response.json()
    except (httpx.HTTPError, ValueError) as exc:
        return None, str(exc) or type(exc).__name__
    if not isinstance(value, dict):
        return None, 'expected a JSON object'
    return value, ''


async def status(args, http):
    """Show which version is in force where."""
    found, missing = {}, {}
    for url in args.admin:
        value, reason = await _ask(http, url, '/status')
        if value is None:
            missing[url] = reason
        else:
            found[url] = value
    lines = [_instance_line(value) for value in found.values()]
    lines += [f'{url}: no answer: {why}' for url, why in missing.items()]
    services, agreed = _versions(found.values())
    lines += services
    lines += [line for v in found.values() for line in _details(v)]
    healthy = agreed and all(_is_healthy(v) for v in found.values())
    exit_code = ExitCode.OK if healthy else ExitCode.PROBLEMS
    if missing:
        exit_code = ExitCode.UNREACHABLE
    value = {'instances': list(found.values()), 'unreachable': missing}
    return results.Result(exit_code, tuple(lines), value)


async def dump(args, http):
    """Print the state of one instance, or one section of it."""
    names = ('model', 'route', 'organisation')
    params = {n: getattr(args, n) for n in names if getattr(args, n)}
    value, reason = await _ask(http, args.admin, '/dump', params)
    if value is None:
        raise results.CommandFailed(
            ExitCode.UNREACHABLE, f'{args.admin}: no answer: {reason}'
        )
    if args.section:
        if args.section not in value:
            raise results.CommandFailed(
                ExitCode.USAGE,
                f'expected a section of {", ".join(sorted(value))}, '
                f'got {args.section!r}',
            )
        value = value[args.section]
    return results.Result(ExitCode.OK, (_tree(value),), value)


def _instance_line(value):
    state = 'ready' if value.get('ready') else 'not ready'
    reason = value.get('not_ready_reason')
    return (
        f'instance {value.get("instance")} zone {value.get("zone")} {state}'
        + (f': {reason}' if reason else '')
    )


def _is_healthy(value):
    return bool(value.get('ready')) and not value.get('invariants_violated')


def _versions(values):
    """Return a line for each service, and whether all instances agree."""
    holders = collections.defaultdict(lambda: collections.defaultdict(list))
    services = {name for v in values for name in v.get('versions', {})}
    for value in values:
        for name in services:
            version = value.get('versions', {}).get(name)
            holders[name][version].append(str(value.get('instance')))
    lines = []
    for name in sorted(services):
        parts = [
            f'version {version} on {", ".join(sorted(instances))}'
            if version is not None
            else f'no version on {", ".join(sorted(instances))}'
            for version, instances in sorted(
                holders[name].items(), key=lambda item: -(item[0] or 0)
            )
        ]
        lines.append(f'service {name}: {"; ".join(parts)}')
    return lines, all(len(versions) == 1 for versions in holders.values())


def _details(value):
    name = value.get('instance')
    for invariant, count in (value.get('invariants_violated') or {}).items():
        yield f'{name}: invariant {invariant} violated {count} times'
    for section in ('members', 'backend_servers', 'organisations', 'waiting'):
        items = value.get(section)
        if items:
            yield f'{name}: {section}:'
            yield from ('  ' + _tree(item) for item in _listed(items))


def _listed(items):
    if isinstance(items, dict):
        return [{key: value} for key, value in items.items()]
    return items


def _tree(value, indent=''):
    """Return a value as indented text."""
    if isinstance(value, dict):
        if all(not isinstance(v, dict | list) for v in value.values()):
            return ' '.join(f'{key}={v}' for key, v in value.items())
        return '\n'.join(
            f'{indent}{key}: {_nested(v, indent)}' for key, v in value.items()
        )
    if isinstance(value, list):
        return '\n'.join(indent + _tree(item, indent) for item in value)
    return str(value)


def _nested(value, indent):
    if isinstance(value, dict | list) and value:
        return '\n' + indent + '  ' + _tree(value, indent + '  ').lstrip()
    return str(value)
