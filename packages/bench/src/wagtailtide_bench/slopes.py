"""Growth of time and memory of the decision code with the fleet's size.

Times are affected by whatever else the machine does, so each is given as the
exponent of a power law that is fitted to five sizes or more, with the largest
time as a hint of the scale. An exponent of 0 is constant, 1 is linear.
"""

import random

from wagtailtide_core.admission import queue
from wagtailtide_core.config import catalog
from wagtailtide_core.document import schema
from wagtailtide_core.rates import limiter
from wagtailtide_core.rates import shares
from wagtailtide_core.routing import choose
from wagtailtide_core.routing import table

from wagtailtide_bench import fits

CALLS = 50
GIB = 1 << 30
INTERACTIVE = schema.PriorityClass.INTERACTIVE


def make_servers(count, models_each=8, models=64, replicas=None):
    """Return a ServerTable of engines with models spread over them."""
    servers = table.ServerTable()
    servers.declare({f'engine-{i}': _engine(i) for i in range(count)})
    for i in range(count):
        resident = {
            (f'model-{(i * models_each + j) % models}', 'v1')
            for j in range(models_each)
        }
        if replicas is not None and i < replicas:
            resident.add(('hot', 'v1'))
        servers.set_resident(f'engine-{i}', resident, ())
    return servers


def _engine(number):
    return schema.BackendServer(
        name=f'engine-{number}',
        kind=schema.ServerKind.ENGINE,
        group='assistants',
        address='127.0.0.1:1',
        zone=f'zone-{number % 9}',
        memory_bytes=640 * GIB,
        slots=96,
    )


def _time_choice(servers):
    req = choose.RouteRequest(model=('hot', 'v1'), zone='zone-0')
    rng = random.Random(1)
    return fits.best_time_us(
        lambda: choose.choose_server(req, servers, 0.0, rng)
    )


def choose_by_servers(sizes=(24, 48, 96, 192, 384, 768)):
    """Time of a choice among four replicas in a growing fleet."""
    values = [_time_choice(make_servers(n, replicas=4)) for n in sizes]
    return fits.fit('choose_server, us', 'servers', sizes, values)


def choose_by_models(sizes=(45, 90, 180, 360, 720)):
    """Time of a choice among four replicas with more models."""
    values = [
        _time_choice(make_servers(96, models=n, replicas=4)) for n in sizes
    ]
    return fits.fit('choose_server, us', 'models', sizes, values)


def choose_by_replicas(sizes=(4, 8, 16, 32, 64, 128)):
    """Time of a choice among more replicas of one model."""
    values = [_time_choice(make_servers(768, replicas=n)) for n in sizes]
    return fits.fit(
        'choose_server, us', 'replicas of the model', sizes, values
    )


def _ticket(number, organisations, pools):
    return queue.Ticket(
        f't{number}',
        f'org-{number % organisations}',
        INTERACTIVE,
        f'model-{number % pools}',
        tokens=500.0,
        deadline=1e9,
        service_s=1.0,
    )


def _full_queue(waiting, organisations, pools):
    waits = queue.AdmissionQueue()
    for i in range(waiting):
        waits.offer(_ticket(i, organisations, pools), 0.0)
    return waits


def _time_admission(waiting, organisations, pools):
    waits = _full_queue(waiting, organisations, pools)
    number = waiting

    def offer_and_next():
        nonlocal number
        number += 1
        waits.offer(_ticket(number, organisations, pools), 0.0)
        ticket = waits.next(lambda t: True, 0.0)
        waits.finish(ticket, 400.0, 1.0)

    return fits.best_time_us(offer_and_next, CALLS)


def admission_by_waiting(sizes=(64, 128, 256, 512, 1024)):
    """Time of offer, next and finish with more requests waiting."""
    values = [_time_admission(n, 8, 8) for n in sizes]
    return fits.fit('admission, us', 'waiting requests', sizes, values)


def admission_by_organisations(sizes=(4, 8, 16, 32, 64, 128)):
    """Time of offer, next and finish with more organisations waiting."""
    values = [_time_admission(1024, n, 4) for n in sizes]
    return fits.fit('admission, us', 'waiting organisations', sizes, values)


def admission_by_models(sizes=(5, 11, 23, 47, 95)):
    """Time of offer, next and finish with more models waited for.

    The sizes share no factor with the organisations, so that the number of
    lines grows with the models alone.
    """
    values = [_time_admission(1024, 8, n) for n in sizes]
    return fits.fit('admission, us', 'waited-for models', sizes, values)


def make_document(models, organisations, servers):
    """Return a document of a given size."""
    return schema.Document(
        service='s',
        models=tuple(
            schema.Model(f'model-{i}', 'v1', GIB, GIB) for i in range(models)
        ),
        organisations=tuple(_organisation(i) for i in range(organisations)),
        backend_servers=tuple(_engine(i) for i in range(servers)),
    )


def _organisation(number):
    key = schema.Key(f'key-{number}', '0' * 16, '0' * 64)
    return schema.Organisation(f'org-{number}', 1000.0, 10_000, keys=(key,))


def catalog_by_size(sizes=(45, 90, 180, 360, 720)):
    """Time of building the catalog as everything in it grows."""
    values = []
    for n in sizes:
        documents = {'s': make_document(n, n, n)}
        values.append(
            fits.best_time_us(
                lambda d=documents: catalog.build(d, {'s': 1}), 5
            )
        )
    return fits.fit(
        'catalog build, us', 'models, orgs and servers', sizes, values
    )


def _make_limiter(organisations):
    limits = limiter.RateLimiter()
    orgs = [_organisation(i) for i in range(organisations)]
    limits.configure({org.name: org for org in orgs}, 0.0)
    limits.hold(range(0, shares.SLOTS, 16), 1e9, 0.0)
    limits.level('org-0', 5.0)
    limits.level('org-0', 90.0)
    return limits


def _memory_fit(quantity, size, sizes, build):
    build(sizes[0])
    values = [fits.memory_bytes(lambda n=n: build(n)) / n for n in sizes]
    return fits.fit(quantity, size, sizes, values)


def memory_fits(sizes=(48, 96, 192, 384, 768)):
    """Memory for each entry; an exponent of 0 means the same for each."""
    documents = {n: {'s': make_document(n, n, n)} for n in sizes}
    return [
        _memory_fit(
            'server table, bytes each', 'servers', sizes, make_servers
        ),
        _memory_fit(
            'admission queue, bytes each',
            'waiting requests',
            sizes,
            lambda n: _full_queue(n, 8, 8),
        ),
        _memory_fit(
            'document, bytes for each model, org and server',
            'models, orgs and servers',
            sizes,
            lambda n: make_document(n, n, n),
        ),
        _memory_fit(
            'catalog index, bytes for each model, org and server',
            'models, orgs and servers',
            sizes,
            lambda n: catalog.build(documents[n], {'s': 1}),
        ),
        _memory_fit(
            'rate limiter, bytes each', 'organisations', sizes, _make_limiter
        ),
    ]


def measure_all():
    """Measure every slope and return the Fits."""
    return [
        choose_by_servers(),
        choose_by_models(),
        choose_by_replicas(),
        admission_by_waiting(),
        admission_by_organisations(),
        admission_by_models(),
        catalog_by_size(),
        *memory_fits(),
    ]
