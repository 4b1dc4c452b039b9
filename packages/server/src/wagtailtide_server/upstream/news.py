"""Exchange of crashes and draining servers with the other instances."""

import itertools

import anyio
from wagtailtide_core.gossip import records
from wagtailtide_core.quarantine import crashes


class ServerNews:
    """Puts what this instance saw in the gossip table, and takes the rest.

    The value of a draining record is the boot id of the server's process,
    empty if it has none or has ended its stop.
    """

    def __init__(self, dispatcher, plane):
        self._dispatcher = dispatcher
        self._plane = plane
        self._numbers = itertools.count(1)
        dispatcher.on_crash = self._put_crashes
        dispatcher.on_cleared = self._clear_crashes
        dispatcher.on_draining = self._put_draining

    def _put_crashes(self, changed):
        now = anyio.current_time()
        for record in changed:
            held = self._plane.table.get(
                records.Kind.CRASH, record.fingerprint, now
            )
            epoch = held.stamp[0] if held is not None else 0
            self._plane.table.put(
                records.Kind.CRASH,
                record.fingerprint,
                (epoch, 0),
                tuple(f'{c.server} {c.boot_id}' for c in record.crashes),
                now,
            )

    def _clear_crashes(self, mark):
        now = anyio.current_time()
        held = self._plane.table.get(records.Kind.CRASH, mark, now)
        if held is not None and held.value:
            # A higher epoch replaces the set instead of joining it.
            epoch = held.stamp[0] + 1
            self._plane.table.put(
                records.Kind.CRASH, mark, (epoch, 0), (), now
            )

    def _put_draining(self, name, state):
        self._plane.table.put(
            records.Kind.DRAINING,
            name,
            (self._plane.boot, next(self._numbers)),
            [bool(state.draining), state.boot_id or ''],
            anyio.current_time(),
        )

    def take(self):
        """Take over what the table holds."""
        now = anyio.current_time()
        ledger = self._dispatcher.crashes
        for record in self._plane.table.of_kind(records.Kind.CRASH, now):
            known = frozenset(
                crashes.CrashId(*part.split(' ', 1))
                for part in record.value
                if ' ' in part
            )
            ledger.adopt(record.id, known, now - record.age_s)
        for record in self._plane.table.of_kind(records.Kind.DRAINING, now):
            self._take_draining(record)

    def _take_draining(self, record):
        state = self._dispatcher.table.servers.get(record.id)
        if state is None or not isinstance(record.value, list | tuple):
            return
        stamp = tuple(record.stamp)
        if state.draining_stamp == stamp:
            return
        state.draining_stamp = stamp
        draining, boot_id = bool(record.value[0]), record.value[1]
        # A report of a later process knows better than news of an earlier.
        if state.boot_id in (None, boot_id) or not boot_id:
            self._dispatcher.set_draining(record.id, draining, tell=False)
