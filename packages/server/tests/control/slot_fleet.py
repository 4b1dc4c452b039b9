"""Instances with rate admission on a stand-in platform, without sockets."""

import contextlib
import dataclasses
import functools
import random
import types

import anyio
import httpx
import trio
import trio.testing
from wagtailtide_core.config import catalog
from wagtailtide_core.document import schema
from wagtailtide_core.errors import kinds
from wagtailtide_core.membership import view as views
from wagtailtide_server.control import rate_admission
from wagtailtide_server.control import session
from wagtailtide_server.storage import client
from wagtailtide_testing.standins import platform

ORG, RATE, BURST = 'org', 100.0, 1200


def make_catalog():
    org = schema.Organisation(ORG, RATE, BURST, share_slots=64)
    document = schema.Document('svc', organisations=(org,))
    return catalog.build({'svc': document}, {'svc': 1})


class Transport(httpx.ASGITransport):
    """Calls the stand-in without sockets, for tests over virtual hours."""

    async def handle_async_request(self, req):
        try:
            return await super().handle_async_request(req)
        except Exception as exc:
            raise httpx.ReadError('connection dropped') from exc


def run_for_hours(test):
    """Run a coroutine on a clock that advances when all tasks wait."""

    @functools.wraps(test)
    def run(*args):
        clock = trio.testing.MockClock(autojump_threshold=0)
        return trio.run(functools.partial(test, *args), clock=clock)

    return run


class Plane:
    """Control plane whose live members are the running instances."""

    caught_up = True

    def __init__(self, fleet, name, boot):
        self.boot = boot
        self.config = types.SimpleNamespace(catalog=make_catalog())
        self.view = self.peers = self
        self.local_member = views.Member(name, '', 'zone', 'region', 1)
        self._fleet, self._handlers = fleet, {}

    def live(self):
        names = {*self._fleet.running, self.local_member.name}
        return {
            name: views.Member(name, '', 'zone', 'region', 1) for name in names
        }

    def register(self, op, handler):
        self._handlers[op] = handler

    async def call(self, name, op, body, timeout_s):
        await anyio.sleep(0.001)
        instance = self._fleet.running[name]
        return await instance.plane._handlers[op](self.local_member.name, body)


@dataclasses.dataclass
class Instance:
    plane: Plane
    session: session.Session
    rate_admission: rate_admission.RateAdmission
    tasks: anyio.CancelScope = None


class Fleet:
    def __init__(self, state, tasks):
        self.state, self.tasks = state, tasks
        self.transport = Transport(platform.make_app(state))
        self.running, self.admitted, self.boots = {}, [], 0

    async def start(self, name):
        self.boots += 1
        plane = Plane(self, name, self.boots)
        rng = random.Random(self.boots)
        store = client.StoreClient(
            'http://platform', rng=rng, transport=self.transport
        )
        own = session.Session(
            plane, store, address='', zone='zone', name=name, rng=rng
        )
        made = rate_admission.RateAdmission(plane, store, own, rng=rng)
        instance = Instance(plane, own, made)
        self.running[name] = instance
        await self.resume(instance)
        return instance

    async def resume(self, instance):
        self.running[instance.session.name] = instance

        async def run(task_status):
            with anyio.CancelScope() as instance.tasks:
                task_status.started()
                await instance.rate_admission.run()

        await self.tasks.start(run)

    def stop(self, name):
        """Crash or pause an instance: its tasks end without a clean-up."""
        instance = self.running.pop(name)
        instance.tasks.cancel()
        return instance

    async def spend(self, instance, tokens=10, most=1000):
        """Admit requests until one is refused; return the tokens admitted."""
        spent = 0
        while spent < most * tokens:
            now = anyio.current_time()
            try:
                await instance.rate_admission.admit(ORG, tokens, now)
            except kinds.ServingError:
                break
            self.admitted.append((anyio.current_time(), tokens))
            spent += tokens
        return spent

    async def spend_all(self):
        return sum([await self.spend(x) for x in self.running.values()])

    def held(self):
        return [
            len(x.rate_admission.limiter.held) for x in self.running.values()
        ]

    def excess(self):
        worst, running, last = 0.0, 0.0, 0.0
        for at, tokens in sorted(self.admitted):
            running = max(0.0, running - RATE * (at - last)) + tokens
            last = at
            worst = max(worst, running - BURST)
        return worst


@contextlib.asynccontextmanager
async def started(*names):
    """Run instances with a platform; wait until the slots are split."""
    async with anyio.create_task_group() as tasks:
        fleet = Fleet(platform.Platform(), tasks)
        for name in names:
            await fleet.start(name)
        await anyio.sleep(90)
        yield fleet
        tasks.cancel_scope.cancel()
