"""State of one instance as JSON, for its admin endpoints."""

import anyio
from wagtailtide_core.routing import choose


def make_status(inst):
    """Return a summary of the instance's state as a JSON object.

    Args:
        inst: The Instance.
    """
    now = anyio.current_time()
    trust = inst.plane.key_trust(now)
    return {
        'instance': inst.settings.name,
        'region': inst.settings.region,
        'zone': inst.settings.zone,
        'ready': inst.not_ready_reason() is None,
        'not_ready_reason': inst.not_ready_reason(),
        'stopping': inst.stopping,
        'open_requests': inst.open_requests,
        'versions': inst.plane.config.catalog.versions,
        'key_trust': {'trusted': trust.trusted, 'reason': str(trust.reason)},
        'refusals': dict(inst.refusals.counts),
        'invariants_violated': dict(inst.invariants.violated),
        'members': _members(inst),
        'backend_servers': _server_summaries(inst),
        'organisations': inst.rate_admission.organisations(
            anyio.current_time()
        ),
        'waiting': _waiting_requests(inst),
    }


def make_dump(inst, query):
    """Return the detailed state of the instance as a JSON object.

    Args:
        inst: The Instance.
        query: Query parameters by name. With ``model`` (as callers write it)
            or ``route``, the result tells which servers could take such a
            request now; with ``organisation``, it has only the refusals of
            that organisation's keys.
    """
    result = {
        'status': make_status(inst),
        'backend_servers': _server_details(inst),
        'quarantine': _quarantine(inst),
        'retry_budget': inst.dispatcher.retry_budget.level,
        'adapter_fetches': inst.dispatcher.adapter_permits.in_use,
        'members': _members(inst),
        'rates': inst.rate_admission.dump(),
        'claims': inst.claims.held_claims.count_by_state(),
        'refusals': inst.refusals.recent(_key_ids(inst, query)),
    }
    if 'model' in query or 'route' in query:
        result['choice'] = _explain_choice(inst, query)
    return result


def _server_summaries(inst):
    owners = inst.placement.placement.gossip.owners
    return {
        name: {
            'owner': owners.get(name),
            'state': _server_state(state),
            'models': ','.join(sorted('@'.join(m) for m in state.ready)),
            'adapters': len(state.adapters),
        }
        for name, state in inst.dispatcher.table.servers.items()
    }


def _server_state(state):
    if state.leaving:
        return 'leaving'
    if state.draining:
        return 'draining'
    breaker = state.breaker.state(anyio.current_time()).value
    return 'serving' if breaker == 'closed' else f'breaker {breaker}'


def _waiting_requests(inst):
    return {
        f'{model} {adapter}' if adapter else model: {
            'requests': count,
            'why': 'no backend server holds it yet',
        }
        for (model, adapter), count in inst.dispatcher.loader.waiting_counts()
    }


def _members(inst):
    return {
        member.name: {
            'state': member.state.name.lower(),
            'incarnation': member.incarnation,
            'zone': member.zone,
            'region': member.region,
            'address': member.address,
            'linked': bool(inst.plane.open_links(member.name)),
        }
        for member in inst.plane.view
    }


def _key_ids(inst, query):
    if 'organisation' not in query:
        return None
    catalog = inst.plane.config.catalog
    org = catalog.organisations.get(query['organisation'])
    return {key.id for key in org.keys} if org is not None else set()


def _server_details(inst):
    now = anyio.current_time()
    return {
        name: {
            'address': state.declared.address,
            'zone': state.declared.zone,
            'models': sorted('@'.join(m) for m in state.ready),
            'adapters': sorted(':'.join(a) for a in state.adapters),
            'boot_id': state.boot_id,
            'draining': state.draining,
            'leaving': state.leaving,
            'breaker': state.breaker.state(now).value,
            'estimated_requests': state.estimate.requests(now),
            'own_requests': state.estimate.own_running,
        }
        for name, state in inst.dispatcher.table.servers.items()
    }


def _quarantine(inst):
    now = anyio.current_time()
    return [
        {
            'fingerprint': record.fingerprint,
            'crashes': [f'{c.server} {c.boot_id}' for c in record.crashes],
            'age_s': round(now - record.last_at, 1),
        }
        for record in inst.dispatcher.crashes.records(now)
    ]


def _explain_choice(inst, query):
    now = anyio.current_time()
    request = _route_request(inst, query)
    if request is None:
        return {'error': 'expected a known model or route'}
    table = inst.dispatcher.table
    return {
        'organisation_may_use_it': _organisation_may_use(inst, query),
        'servers': {
            state.declared.name: {
                'reason_against': reason.value if reason else None,
                'estimated_work': round(
                    choose.estimate_work(request, state, now), 4
                ),
            }
            for state, reason in choose.explain(request, table, now)
        },
    }


def _route_request(inst, query):
    catalog = inst.plane.config.catalog
    zone = inst.settings.zone
    if 'route' in query:
        route = catalog.route_for(query['route'])
        if route is None:
            return None
        return choose.RouteRequest(
            group=route.backend, zone=zone, near_zones=inst.near_zones
        )
    name, _, adapter = query['model'].partition(':')
    model = catalog.models.get(name)
    if model is None:
        return None
    return choose.RouteRequest(
        model=(model.name, model.version),
        adapter=(name, adapter) if adapter else None,
        zone=zone,
        near_zones=inst.near_zones,
    )


def _organisation_may_use(inst, query):
    catalog = inst.plane.config.catalog
    org = query.get('organisation')
    if org is None:
        return None
    if 'route' in query:
        allowed = catalog.route_for(query['route']).organisations
    else:
        allowed = catalog.models[query['model'].partition(':')[0]]
        allowed = allowed.organisations
    return org in catalog.organisations and (not allowed or org in allowed)
