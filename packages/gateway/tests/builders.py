"""Builders of test data for the gateway."""

from wagtailtide_gateway import settings
from wagtailtide_gateway.control import messages
from wagtailtide_gateway.decisions import connections
from wagtailtide_gateway.decisions import placement
from wagtailtide_gateway.model import backend
from wagtailtide_gateway.model import deployment


def make_model(name='m1', weights_mb=70_000.0, **changes):
    fields = {
        'name': name,
        'weights_mb': weights_mb,
        'adapter_mb': 60.0,
        'store_load_s': 6.0,
        'memory_load_s': 0.6,
        'disk_load_s': 1.2,
    }
    return deployment.Model(**fields | changes)


def make_engine_view(id_='e1', models=(), **changes):
    fields = {
        'id': id_,
        'free_mb': 200_000.0 - 70_000.0 * len(models),
        'models': frozenset(models),
        'in_memory': frozenset(),
        'on_disk': frozenset(models),
        'load': 0.0,
        'loaded_at': {},
    }
    return placement.EngineView(**fields | changes)


def make_demand(model='m1', busy_slots=1.0, **changes):
    fields = {
        'model': model,
        'busy_slots': busy_slots,
        'running': 0,
        'waiting': 0,
        'idle': False,
        'deferrable': False,
        'unserved': 0,
        'unserved_s': 0.0,
        'adapter_misses_per_s': 0.0,
    }
    return placement.Demand(**fields | changes)


def make_snapshot(engines, demand=(), **changes):
    copies = {}
    for engine in engines:
        for name in engine.models:
            copies[name] = copies.get(name, 0) + 1
    copies = changes.get('copies', copies)
    fields = {
        'engines': tuple(engines),
        'engine_count': len(engines),
        'copies': copies,
        'serving_copies': copies,
        'utilisation': dict.fromkeys(copies, 1.0),
        'demand': {d.model: d for d in demand},
        'slots': 24,
        'deferrable_loads': 0,
        'store_loads_left': 12,
        'cached': frozenset().union(*(e.models | e.cached for e in engines)),
        'since_first_request_s': 10.0,
        'now': 100.0,
    }
    return placement.Snapshot(**fields | changes)


def make_organisation(rate_per_s=1_000.0, burst=1_000.0, **changes):
    fields = {
        'name': 'club',
        'priority': None,
        'counts_tokens': True,
        'default_tokens': 200,
        'rate_per_s': rate_per_s,
        'burst': burst,
    }
    return deployment.Organisation(**fields | changes)


def make_route(name='letters', path_prefix='/letters/', **changes):
    fields = {
        'name': name,
        'host': 'desk.example',
        'path_prefix': path_prefix,
        'kind': deployment.RouteKind.STREAM,
        'timeout_s': 12.0,
        'latency_target_s': 0.4,
        'priority': 1,
        'attempts': 2,
        'open_access': False,
        'may_resume': True,
        'max_event_gap_s': 0.25,
        'first_event_timeout_s': 2.0,
        'services': (deployment.WeightedService('engines', 1.0),),
    }
    return deployment.Route(**fields | changes)


def make_weighted(service, weight=1.0):
    return deployment.WeightedService(service, weight)


def make_service(name='engines', models=(), **changes):
    """Return a Service; without engines if `models` is None."""
    engine = None
    if models is not None:
        by_name = {model.name: model for model in models}
        engine = deployment.Engine(24, 200_000.0, 4, 4.0, by_name)
    fields = {'name': name, 'connection_limit': 100, 'engine': engine}
    return deployment.Service(**fields | changes)


def make_deployment(routes=(), version=1, **changes):
    fields = {
        'version': version,
        'routes': tuple(routes),
        'services': {},
        'organisations': {},
        'limits': deployment.CallerLimits(),
        'uses_keys': True,
    }
    return deployment.Deployment(**fields | changes)


def make_residency(models=(), process_start_ms=1, order_count=0, **changes):
    held = {
        name: backend.ResidentModel(name, 1, frozenset()) for name in models
    }
    fields = {
        'process_start_ms': process_start_ms,
        'order_count': order_count,
        'models': held,
    }
    return backend.Residency(**fields | changes)


def make_server(id_='s1', **changes):
    fields = {
        'id': id_,
        'service': 'engines',
        'address': backend.Address('127.0.0.1', 9),
        'zone': 'z1',
        'slots': 24,
        'leaving': False,
        'time_left_s': None,
        'residency': make_residency(),
        'software_version': 'v1',
    }
    return backend.BackendServer(**fields | changes)


def make_settings(**changes):
    address = backend.Address('127.0.0.1', 0)
    fields = {
        'instance': 'front-1',
        'zone': 'z1',
        'callers': address,
        'readiness': address,
        'peers': address,
        'admin': address,
        'store': address,
        'stop_s': 8.0,
        'key_withdrawal_s': 5.0,
        'server_drain_s': 2.0,
        'lease_s': 3.0,
        'retry_ratio': 0.2,
        'retry_slack': 100.0,
        'retry_window_s': 10.0,
        'load_window_s': 5.0,
        'cpu_cores': 0.7,
        'link_mbps': 350.0,
    }
    return settings.Settings(**fields | changes)


def make_report(instance='front-1', **changes):
    fields = {
        'instance': instance,
        'urgent': False,
        'config_version': 0,
        'config_age_s': 0.0,
        'seen_residency_number': 0,
        'seen_entry_number': 0,
        'draws': {},
        'loads': {},
        'demand': (),
        'adapters': (),
        'crashes': (),
        'unreachable': (),
        'capacity': 0.7,
        'known_residencies': {},
        'known_entries': {},
        'quota_fence': 1,
        'share': 0.1,
        'limits': {},
        'permits': {},
        'begun_streams': {},
        'wanted_origins': (),
        'seen_origin_number': 0,
        'proved': (),
        'leaving': {},
        'peer_host': '127.0.0.1',
        'peer_port': 9,
    }
    return messages.Report(**fields | changes)


def make_connection(phase=connections.Phase.IDLE, **changes):
    fields = {
        'phase': phase,
        'since': 0.0,
        'held_bytes': connections.CONNECTION_BYTES,
        'was_served': False,
    }
    return connections.ConnectionState(**fields | changes)


def make_connection_limits(**changes):
    fields = {
        'callers': 10,
        'instances': 6,
        'platform': 4,
        'memory_bytes': 100 * connections.CONNECTION_BYTES,
        'bodies_bytes': 1_000_000,
    }
    return connections.ConnectionLimits(**fields | changes)
