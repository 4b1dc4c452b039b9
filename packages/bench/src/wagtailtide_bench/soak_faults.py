"""Fault injection for soak runs."""

import dataclasses

import anyio
from wagtailtide_core.keys import keys
from wagtailtide_testing import fleet as fleets
from wagtailtide_testing.standins import objects

POISON_PREFIX = 'poison'
DRAIN_NOTICE_S = 5.0


@dataclasses.dataclass
class Withdrawal:
    """Withdrawal of an API key.

    Attributes:
        key: The key as callers send it.
        at: Time in seconds at which the document was written.
        until: Time in seconds at which the key became valid again, or None.
    """

    key: str
    at: float
    until: float | None = None


@dataclasses.dataclass
class Drain:
    """Requests that a draining server got after the notice period.

    Attributes:
        server: Name of the backend server.
        since: Time in seconds from which it must get no requests.
        until: Time in seconds at which it took requests again.
        requests: Recorded requests between the two times.
    """

    server: str
    since: float
    until: float
    requests: list


class Faults:
    """Applies faults and records what the checks need.

    The method ``_fault_NAME`` applies the fault NAME of soak_schedule.

    Attributes:
        fleet: The Fleet of the run.
        log: Lists of name, begin and end of each fault; times in seconds, the
            end is None while the fault lasts.
        withdrawals: Withdrawals of keys.
        drains: Drains of backend servers.
        stops: Pairs of instance name and time in seconds, one for each
            graceful stop.
        poison_prompts: Prompts that crash engines.
    """

    def __init__(self, fleet, api_keys):
        self.fleet = fleet
        self.log = []
        self.withdrawals = []
        self.drains = []
        self.stops = []
        self.poison_prompts = set()
        self._api_keys = api_keys

    async def apply(self, name, duration_s, rng):
        """Apply one fault until its end.

        Args:
            name: Name of the fault.
            duration_s: Time in seconds until the fault ends.
            rng: Source of random numbers that determines the target.
        """
        entry = [name, anyio.current_time(), None]
        self.log.append(entry)
        try:
            await getattr(self, f'_fault_{name}')(duration_s, rng)
        finally:
            entry[2] = anyio.current_time()

    def any_overlaps(self, since, until, names):
        """Return whether any of the named faults overlapped with a period.

        Args:
            since: Begin of the period in seconds.
            until: End of the period in seconds.
            names: Names of faults.
        """
        return any(
            name in names and begin <= until and (end is None or end >= since)
            for name, begin, end in self.log
        )

    def _pick_instance(self, rng):
        nodes = self.fleet.running_nodes()
        # Like a rolling update, faults leave at least one instance running.
        return rng.choice(nodes) if len(nodes) > 1 else None

    async def _fault_crash_instance(self, duration_s, rng):
        node = self._pick_instance(rng)
        if node is not None:
            self.fleet.crash(node)
            await anyio.sleep(duration_s)
            await self.fleet.start(node.name)

    async def _fault_stop_instance(self, duration_s, rng):
        node = self._pick_instance(rng)
        if node is not None:
            self.stops.append((node.name, anyio.current_time()))
            self.fleet.stop(node)
            await anyio.sleep(duration_s)
            await self.fleet.start(node.name)

    async def _fault_pause_instance(self, duration_s, rng):
        node = self._pick_instance(rng)
        if node is not None:
            self.fleet.pause(node)
            await anyio.sleep(duration_s)
            self.fleet.resume(node)

    async def _apply_platform_faults(self, duration_s, **values):
        platform = self.fleet.platform
        platform.set_faults(**values)
        await anyio.sleep(duration_s)
        platform.set_faults(outage='', delay_s=0.0, stale_revisions=0)

    async def _fault_platform_outage(self, duration_s, rng):
        await self._apply_platform_faults(duration_s, outage='503')

    async def _fault_platform_hang(self, duration_s, rng):
        await self._apply_platform_faults(duration_s, outage='hang')

    async def _fault_platform_slow(self, duration_s, rng):
        await self._apply_platform_faults(
            duration_s, delay_s=rng.choice((0.3, 0.9, 1.5))
        )

    async def _fault_platform_lost_answers(self, duration_s, rng):
        await self._apply_platform_faults(
            duration_s, lose_answers=rng.randint(1, 4)
        )

    async def _fault_platform_stale_reads(self, duration_s, rng):
        await self._apply_platform_faults(
            duration_s, stale_revisions=rng.randint(1, 5)
        )

    async def _cut(self, duration_s, pairs):
        network = self.fleet.network
        for first, second in pairs:
            network.cut(first, second)
        await anyio.sleep(duration_s)
        network.heal(pairs)

    async def _fault_cut_pair(self, duration_s, rng):
        names = rng.sample(sorted(self.fleet.nodes), 2)
        await self._cut(duration_s, [names])

    async def _fault_cut_platform(self, duration_s, rng):
        name = rng.choice(sorted(self.fleet.nodes))
        await self._cut(duration_s, [(name, 'platform')])

    async def _fault_cut_server(self, duration_s, rng):
        name = rng.choice(sorted(self.fleet.nodes))
        servers = sorted({**self.fleet.engines, **self.fleet.ledgers})
        await self._cut(duration_s, [(name, rng.choice(servers))])

    async def _fault_cut_zone(self, duration_s, rng):
        inside, outside = self.fleet.split_by_zone(rng.choice(fleets.ZONES))
        others = [*outside, 'platform']
        await self._cut(duration_s, [(a, b) for a in inside for b in others])

    async def _fault_silent_instance(self, duration_s, rng):
        self.fleet.network.silence(rng.choice(sorted(self.fleet.nodes)))

    async def _fault_silent_servers(self, duration_s, rng):
        servers = {**self.fleet.engines, **self.fleet.ledgers}
        servers[rng.choice(sorted(servers))].set_faults(silent=True)

    def _pick_ledger(self, rng):
        return rng.choice(list(self.fleet.ledgers.values()))

    def _pick_engine(self, rng):
        return rng.choice(list(self.fleet.engines.values()))

    async def _apply_counted_fault(
        self, server, duration_s, rng, name, cleared_value=0
    ):
        server.set_faults(**{name: rng.randint(1, 3)})
        await anyio.sleep(duration_s)
        server.set_faults(**{name: cleared_value})

    async def _fault_ledger_crash_after_apply(self, duration_s, rng):
        await self._apply_counted_fault(
            self._pick_ledger(rng), duration_s, rng, 'crash_after_apply'
        )

    async def _fault_ledger_cut_answer(self, duration_s, rng):
        await self._apply_counted_fault(
            self._pick_ledger(rng), duration_s, rng, 'cut_answers'
        )

    async def _fault_ledger_crossed_answer(self, duration_s, rng):
        await self._apply_counted_fault(
            self._pick_ledger(rng), duration_s, rng, 'crossed_answers'
        )

    async def _fault_engine_crash(self, duration_s, rng):
        self._pick_engine(rng).set_faults(crash=True)

    async def _fault_engine_crash_on_prompt(self, duration_s, rng):
        prompt = f'{POISON_PREFIX}-{len(self.poison_prompts)}-'
        self.poison_prompts.add(prompt)
        for engine in self.fleet.engines.values():
            engine.set_faults(crash_on=POISON_PREFIX)
        await anyio.sleep(duration_s)

    async def _fault_engine_cut_stream(self, duration_s, rng):
        engine = self._pick_engine(rng)
        engine.set_faults(cut_after_tokens=rng.randint(0, 8))
        await self._apply_counted_fault(engine, duration_s, rng, 'cut_streams')

    async def _fault_engine_crossed_answer(self, duration_s, rng):
        await self._apply_counted_fault(
            self._pick_engine(rng), duration_s, rng, 'crossed_answers'
        )

    async def _drain(self, name, server, duration_s):
        # At most one backend server drains at a time, so that the others of
        # its kind keep serving.
        if self.fleet.leaving:
            return
        server.set_faults(draining=True)
        self.fleet.leaving.add(name)
        self.fleet.update_server_list()
        await anyio.sleep(DRAIN_NOTICE_S)
        received_before, since = (
            len(server.recorder.requests),
            anyio.current_time(),
        )
        await anyio.sleep(duration_s)
        received = list(server.recorder.requests)[received_before:]
        work = [r for r in received if _is_work(r)]
        self.drains.append(Drain(name, since, anyio.current_time(), work))
        server.set_faults(draining=False)
        self.fleet.leaving.discard(name)
        self.fleet.update_server_list()

    async def _fault_engine_drain(self, duration_s, rng):
        name = rng.choice(sorted(self.fleet.engines))
        await self._drain(name, self.fleet.engines[name], duration_s)

    async def _fault_ledger_drain(self, duration_s, rng):
        name = rng.choice(sorted(self.fleet.ledgers))
        await self._drain(name, self.fleet.ledgers[name], duration_s)

    async def _fault_orders_lost(self, duration_s, rng):
        engine = self._pick_engine(rng)
        engine.set_faults(lose_order_answers=1)
        await self._apply_counted_fault(engine, duration_s, rng, 'lose_orders')

    async def _fault_orders_late(self, duration_s, rng):
        engine = self._pick_engine(rng)
        engine.set_faults(delay_order_s=rng.uniform(0.5, 5.0))
        await anyio.sleep(duration_s)
        engine.set_faults(delay_order_s=0.0)

    async def _fault_orders_duplicated(self, duration_s, rng):
        await self._apply_counted_fault(
            self._pick_engine(rng), duration_s, rng, 'duplicate_orders'
        )

    async def _fault_withdraw_key(self, duration_s, rng):
        await self._wait_for_platform()
        org = rng.choice(sorted(self._api_keys))
        api_key = rng.choice(self._api_keys[org])
        if any(w.key == api_key and not w.until for w in self.withdrawals):
            return
        key_id = keys.KEY_PATTERN.fullmatch(api_key).group(1)
        self._set_withdrawn(key_id, True)
        withdrawal = Withdrawal(api_key, anyio.current_time())
        self.withdrawals.append(withdrawal)
        # Longer than the time after which the key has to be refused when no
        # other fault delays it: 3 s, or 5 s with a failed watcher.
        await anyio.sleep(duration_s + 8.0)
        await self._wait_for_platform()
        withdrawal.until = anyio.current_time()
        self._set_withdrawn(key_id, False)

    async def _fault_change_document(self, duration_s, rng):
        await self._wait_for_platform()
        self._publish_change(rng.randint(1_000, 2_000))

    async def _fault_two_operators(self, duration_s, rng):
        """Write twice from one version; the second write must conflict."""
        await self._wait_for_platform()
        read_version = self.fleet.version
        self._publish_change(3_000)
        try:
            self.fleet.platform.objects.write(
                f'documents/{fleets.SERVICE}', b'{}', read_version
            )
        except objects.Conflict:
            return
        raise AssertionError(
            'expected a conflict for the second of two concurrent edits, but '
            'both were accepted'
        )

    async def _wait_for_platform(self):
        # Operators cannot write while the platform is unavailable.
        while self.fleet.platform.faults.outage:
            await self.fleet.platform.wait_for_change()

    def _publish_change(self, first_token_ms):
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
        """End all faults that last longer than their step."""
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
