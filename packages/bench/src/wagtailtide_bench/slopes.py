"""Growth of the time and memory of decision code with the fleet size.

Other load on the machine affects times, so results are given as the exponent
of a power law that is fitted to five sizes or more. The values at the first
and last size show only the order of magnitude.
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

ADMISSION_CALLS = 50
GIB = 1 << 30
INTERACTIVE = schema.PriorityClass.INTERACTIVE


def make_servers(count, models_each=8, models=64, replicas=None):
    """Return a ServerTable of engines with models spread over them.

    Args:
        count: Number of engines.
        models_each: Number of models per engine.
        models: Number of different models.
        replicas: Number of engines with the additional model ``hot``, or
            None for no such model.
    """
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


def _choice_time_us(servers):
    req = choose.RouteRequest(model=('hot', 'v1'), zone='zone-0')
    rng = random.Random(1)
    return fits.best_time_us(
        lambda: choose.choose_server(req, servers, 0.0, rng)
    )


def choose_by_servers(sizes=(24, 48, 96, 192, 384, 768)):
    """Fit the time to choose among four replicas by number of servers."""
    values = [_choice_time_us(make_servers(n, replicas=4)) for n in sizes]
    return fits.fit('choose_server, us', 'servers', sizes, values)


def choose_by_models(sizes=(45, 90, 180, 360, 720)):
    """Fit the time to choose among four replicas by number of models."""
    values = [
        _choice_time_us(make_servers(96, models=n, replicas=4)) for n in sizes
    ]
    return fits.fit('choose_server, us', 'models', sizes, values)


def choose_by_replicas(sizes=(4, 8, 16, 32, 64, 128)):
    """Fit the time to choose among the replicas of a model by their number."""
    values = [_choice_time_us(make_servers(768, replicas=n)) for n in sizes]
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
    requests = queue.AdmissionQueue()
    for i in range(waiting):
        requests.offer(_ticket(i, organisations, pools), 0.0)
    return requests


def _admission_time_us(waiting, organisations, pools):
    requests = _full_queue(waiting, organisations, pools)
    number = waiting

    def admit_one():
        nonlocal number
        number += 1
        requests.offer(_ticket(number, organisations, pools), 0.0)
        ticket = requests.next(lambda t: True, 0.0)
        requests.finish(ticket, 400.0, 1.0)

    return fits.best_time_us(admit_one, ADMISSION_CALLS)


def admission_by_waiting(sizes=(64, 128, 256, 512, 1024)):
    """Fit the time of offer, next and finish by number of waiting requests."""
    values = [_admission_time_us(n, 8, 8) for n in sizes]
    return fits.fit('admission, us', 'waiting requests', sizes, values)


def admission_by_organisations(sizes=(4, 8, 16, 32, 64, 128)):
    """Fit the time of offer, next and finish by number of organisations."""
    values = [_admission_time_us(1024, n, 4) for n in sizes]
    return fits.fit('admission, us', 'waiting organisations', sizes, values)


def admission_by_models(sizes=(5, 11, 23, 47, 95)):
    """Fit the time of offer, next and finish by number of requested models.

    The sizes share no factor with the number of organisations, so that every
    organisation waits for every model and the number of queues grows with the
    models alone.
    """
    values = [_admission_time_us(1024, 8, n) for n in sizes]
    return fits.fit('admission, us', 'waited-for models', sizes, values)


def make_document(models, organisations, servers):
    """Return a document with the given numbers of entries."""
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
    """Fit the time to build a catalog by number of entries of each kind."""
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
    rate_limiter = limiter.RateLimiter()
    orgs = [_organisation(i) for i in range(organisations)]
    rate_limiter.configure({org.name: org for org in orgs}, 0.0)
    rate_limiter.hold(range(0, shares.SLOT_COUNT, 16), 1e9, 0.0)
    rate_limiter.level('org-0', 5.0)
    rate_limiter.level('org-0', 90.0)
    return rate_limiter


def _memory_fit(quantity, size, sizes, build):
    build(sizes[0])
    values = [fits.memory_bytes(lambda n=n: build(n)) / n for n in sizes]
    return fits.fit(quantity, size, sizes, values)


def memory_fits(sizes=(48, 96, 192, 384, 768)):
    """Fit the memory per entry by number of entries.

    An exponent of 0 means that each entry takes the same memory at any size.
    """
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
    """Run all measurements of this module and return the Fits."""
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
