"""Faults of soak runs, applied to a fleet."""

import dataclasses

import anyio
from wagtailtide_core.keys import keys
from wagtailtide_testing import fleet as fleets
from wagtailtide_testing.standins import objects

POISON = 'poison'
DRAIN_NOTICE_S = 5.0


@dataclasses.dataclass
class Withdrawal:
    """A withdrawn key.

    Attributes:
        key: The key as callers present it.
        at: Time at which the document was written.
        until: Time at which it was given again, or None.
    """

    key: str
    at: float
    until: float | None = None


@dataclasses.dataclass
class Drain:
    """Work that a draining server got after the notice.

    Attributes:
        server: Name of the server.
        since: Time from which it must get no work.
        until: Time at which it took work again.
        requests: Recorded requests.
    """

    server: str
    since: float
    until: float
    requests: list


class Faults:
    """Applies faults and remembers what the checks need.

    Attributes:
        fleet: The Fleet.
        log: Name, begin and end of all faults.
        withdrawals: Withdrawn keys.
        drains: What draining servers got.
        stops: Name and time of each graceful stop that was ordered.
        poisoned: Prefixes of prompts that crash engines.
    """

    def __init__(self, fleet, presented):
        self.fleet = fleet
        self.log = []
        self.withdrawals = []
        self.drains = []
        self.stops = []
        self.poisoned = set()
        self._presented = presented

    async def apply(self, name, lasts_s, rng):
        """Apply one fault, wait and end it."""
        entry = [name, anyio.current_time(), None]
        self.log.append(entry)
        try:
            await getattr(self, f'_fault_{name}')(lasts_s, rng)
        finally:
            entry[2] = anyio.current_time()

    def overlapping(self, since, until, names):
        """Return whether one of the faults was in force in a period."""
        return any(
            name in names and begin <= until and (end is None or end >= since)
            for name, begin, end in self.log
        )

    def _node(self, rng):
        nodes = self.fleet.running_nodes()
        # At least one instance keeps running, as after any rolling change.
        return rng.choice(nodes) if len(nodes) > 1 else None

    async def _fault_crash_instance(self, lasts_s, rng):
        node = self._node(rng)
        if node is not None:
            self.fleet.crash(node)
            await anyio.sleep(lasts_s)
            await self.fleet.start(node.name)

    async def _fault_stop_instance(self, lasts_s, rng):
        node = self._node(rng)
        if node is not None:
            self.stops.append((node.name, anyio.current_time()))
            self.fleet.stop(node)
            await anyio.sleep(lasts_s)
            await self.fleet.start(node.name)

    async def _fault_pause_instance(self, lasts_s, rng):
        node = self._node(rng)
        if node is not None:
            self.fleet.pause(node)
            await anyio.sleep(lasts_s)
            self.fleet.thaw(node)

    async def _platform(self, lasts_s, **values):
        platform = self.fleet.platform
        platform.set_faults(**values)
        await anyio.sleep(lasts_s)
        platform.set_faults(outage='', delay_s=0.0, stale_revisions=0)

    async def _fault_platform_outage(self, lasts_s, rng):
        await self._platform(lasts_s, outage='503')

    async def _fault_platform_hang(self, lasts_s, rng):
        await self._platform(lasts_s, outage='hang')

    async def _fault_platform_slow(self, lasts_s, rng):
        await self._platform(lasts_s, delay_s=rng.choice((0.3, 0.9, 1.5)))

    async def _fault_platform_lost_answers(self, lasts_s, rng):
        await self._platform(lasts_s, lose_answers=rng.randint(1, 4))

    async def _fault_platform_stale_reads(self, lasts_s, rng):
        await self._platform(lasts_s, stale_revisions=rng.randint(1, 5))

    async def _cut(self, lasts_s, pairs):
        network = self.fleet.network
        for one, other in pairs:
            network.cut(one, other)
        await anyio.sleep(lasts_s)
        network.heal(pairs)

    async def _fault_cut_pair(self, lasts_s, rng):
        names = rng.sample(sorted(self.fleet.nodes), 2)
        await self._cut(lasts_s, [names])

    async def _fault_cut_platform(self, lasts_s, rng):
        name = rng.choice(sorted(self.fleet.nodes))
        await self._cut(lasts_s, [(name, 'platform')])

    async def _fault_cut_server(self, lasts_s, rng):
        name = rng.choice(sorted(self.fleet.nodes))
        servers = sorted({**self.fleet.engines, **self.fleet.ledgers})
        await self._cut(lasts_s, [(name, rng.choice(servers))])

    async def _fault_cut_zone(self, lasts_s, rng):
        inside, outside = self.fleet.zone_of(rng.choice(fleets.ZONES))
        others = [*outside, 'platform']
        await self._cut(lasts_s, [(a, b) for a in inside for b in others])

    async def _fault_silent_instance(self, lasts_s, rng):
        self.fleet.network.silence(rng.choice(sorted(self.fleet.nodes)))

    async def _fault_silent_servers(self, lasts_s, rng):
        servers = {**self.fleet.engines, **self.fleet.ledgers}
        servers[rng.choice(sorted(servers))].set_faults(silent=True)

    def _ledger(self, rng):
        return rng.choice(list(self.fleet.ledgers.values()))

    def _engine(self, rng):
        return rng.choice(list(self.fleet.engines.values()))

    async def _limited(self, server, lasts_s, rng, name, clear=0):
        server.set_faults(**{name: rng.randint(1, 3)})
        await anyio.sleep(lasts_s)
        server.set_faults(**{name: clear})

    async def _fault_ledger_crash_after_apply(self, lasts_s, rng):
        await self._limited(
            self._ledger(rng), lasts_s, rng, 'crash_after_apply'
        )

    async def _fault_ledger_cut_answer(self, lasts_s, rng):
        await self._limited(self._ledger(rng), lasts_s, rng, 'cut_answers')

    async def _fault_ledger_crossed_answer(self, lasts_s, rng):
        await self._limited(self._ledger(rng), lasts_s, rng, 'crossed_answers')

    async def _fault_engine_crash(self, lasts_s, rng):
        self._engine(rng).set_faults(crash=True)

    async def _fault_engine_crash_on_prompt(self, lasts_s, rng):
        prompt = f'{POISON}-{len(self.poisoned)}-'
        self.poisoned.add(prompt)
        for engine in self.fleet.engines.values():
            engine.set_faults(crash_on=POISON)
        await anyio.sleep(lasts_s)

    async def _fault_engine_cut_stream(self, lasts_s, rng):
        engine = self._engine(rng)
        engine.set_faults(cut_after_tokens=rng.randint(0, 8))
        await self._limited(engine, lasts_s, rng, 'cut_streams')

    async def _fault_engine_crossed_answer(self, lasts_s, rng):
        await self._limited(self._engine(rng), lasts_s, rng, 'crossed_answers')

    async def _drain(self, name, server, lasts_s):
        # One server of a kind keeps running, as the documents demand.
        if self.fleet.leaving:
            return
        server.set_faults(draining=True)
        self.fleet.leaving.add(name)
        self.fleet.list_servers()
        await anyio.sleep(DRAIN_NOTICE_S)
        before, since = len(server.recorder.requests), anyio.current_time()
        await anyio.sleep(lasts_s)
        got = list(server.recorder.requests)[before:]
        work = [r for r in got if _is_work(r)]
        self.drains.append(Drain(name, since, anyio.current_time(), work))
        server.set_faults(draining=False)
        self.fleet.leaving.discard(name)
        self.fleet.list_servers()

    async def _fault_engine_drain(self, lasts_s, rng):
        name = rng.choice(sorted(self.fleet.engines))
        await self._drain(name, self.fleet.engines[name], lasts_s)

    async def _fault_ledger_drain(self, lasts_s, rng):
        name = rng.choice(sorted(self.fleet.ledgers))
        await self._drain(name, self.fleet.ledgers[name], lasts_s)

    async def _fault_orders_lost(self, lasts_s, rng):
        engine = self._engine(rng)
        engine.set_faults(lose_order_answers=1)
        await self._limited(engine, lasts_s, rng, 'lose_orders')

    async def _fault_orders_late(self, lasts_s, rng):
        engine = self._engine(rng)
        engine.set_faults(delay_order_s=rng.uniform(0.5, 5.0))
        await anyio.sleep(lasts_s)
        engine.set_faults(delay_order_s=0.0)

    async def _fault_orders_duplicated(self, lasts_s, rng):
        await self._limited(
            self._engine(rng), lasts_s, rng, 'duplicate_orders'
        )

    async def _fault_withdraw_key(self, lasts_s, rng):
        await self._wait_for_platform()
        org = rng.choice(sorted(self._presented))
        presented = rng.choice(self._presented[org])
        if any(w.key == presented and not w.until for w in self.withdrawals):
            return
        key_id = keys.PRESENTED.fullmatch(presented).group(1)
        self._set_withdrawn(key_id, True)
        withdrawal = Withdrawal(presented, anyio.current_time())
        self.withdrawals.append(withdrawal)
        # Long enough for callers to meet every bound of the design.
        await anyio.sleep(lasts_s + 8.0)
        await self._wait_for_platform()
        withdrawal.until = anyio.current_time()
        self._set_withdrawn(key_id, False)

    async def _fault_change_document(self, lasts_s, rng):
        await self._wait_for_platform()
        self._touch(rng.randint(1_000, 2_000))

    async def _fault_two_operators(self, lasts_s, rng):
        """Write from the same version twice; the second must conflict."""
        await self._wait_for_platform()
        seen = self.fleet.version
        self._touch(3_000)
        try:
            self.fleet.platform.objects.write(
                f'documents/{fleets.SERVICE}', b'{}', seen
            )
        except objects.Conflict:
            return
        raise AssertionError('both of two concurrent edits were accepted')

    async def _wait_for_platform(self):
        # An operator cannot write while the platform is down.
        while self.fleet.platform.faults.outage:
            await self.fleet.platform.wait_change()

    def _touch(self, first_token_ms):
        targets = {'interactive': {'first_token_ms': first_token_ms}}
        self.fleet.publish(
            dataclasses.replace(self.fleet.document, targets=targets)
        )

    def _set_withdrawn(self, key_id, withdrawn):
        document = self.fleet.document
        orgs = tuple(
            dataclasses.replace(
                org,
                keys=tuple(
                    dataclasses.replace(key, withdrawn=withdrawn)
                    if key.id == key_id
                    else key
                    for key in org.keys
                ),
            )
            for org in document.organisations
        )
        self.fleet.publish(dataclasses.replace(document, organisations=orgs))

    def end_all(self):
        """End what outlasts its step."""
        self.fleet.platform.set_faults(
            outage='', delay_s=0.0, stale_revisions=0, lose_answers=0
        )
        for engine in self.fleet.engines.values():
            engine.set_faults(
                crash_on='',
                lose_orders=0,
                lose_order_answers=0,
                duplicate_orders=0,
                delay_order_s=0.0,
                cut_streams=0,
                crossed_answers=0,
            )
        self.fleet.network.heal()


def _is_work(record):
    return record['method'] == 'POST' or not record['path'].startswith(
        ('/healthz', '/v1/report', '/v1/cache-events')
    )
