"""Gossip of crashes and draining servers between instances."""

import itertools

import anyio
from wagtailtide_core.gossip import records
from wagtailtide_core.quarantine import crashes


class ServerGossip:
    """Publishes what this instance observed and applies what others did.

    The value of a draining record is whether the server is draining and the
    boot id of its process, empty if it has none.
    """

    def __init__(self, dispatcher, plane):
        self._dispatcher = dispatcher
        self._plane = plane
        self._sequence = itertools.count(1)
        dispatcher.on_crash = self._publish_crashes
        dispatcher.on_cleared = self._clear_crashes
        dispatcher.on_draining = self._publish_draining

    def _publish_crashes(self, changed):
        now = anyio.current_time()
        for record in changed:
            current = self._plane.table.get(
                records.Kind.CRASH, record.fingerprint, now
            )
            epoch = current.stamp[0] if current is not None else 0
            self._plane.table.put(
                records.Kind.CRASH,
                record.fingerprint,
                (epoch, 0),
                tuple(f'{c.server} {c.boot_id}' for c in record.crashes),
                now,
            )

    def _clear_crashes(self, fingerprint):
        now = anyio.current_time()
        current = self._plane.table.get(records.Kind.CRASH, fingerprint, now)
        if current is not None and current.value:
            # A higher epoch replaces the set of crashes; within an epoch, sets
            # are merged.
            epoch = current.stamp[0] + 1
            self._plane.table.put(
                records.Kind.CRASH, fingerprint, (epoch, 0), (), now
            )

    def _publish_draining(self, name, state):
        self._plane.table.put(
            records.Kind.DRAINING,
            name,
            (self._plane.boot, next(self._sequence)),
            [bool(state.draining), state.boot_id or ''],
            anyio.current_time(),
        )

    def apply_records(self):
        """Apply the crash and draining records in the gossip table."""
        now = anyio.current_time()
        tracker = self._dispatcher.crashes
        for record in self._plane.table.of_kind(records.Kind.CRASH, now):
            known = frozenset(
                crashes.CrashId(*part.split(' ', 1))
                for part in record.value
                if ' ' in part
            )
            tracker.replace_crashes(record.id, known, now - record.age_s)
        for record in self._plane.table.of_kind(records.Kind.DRAINING, now):
            self._apply_draining(record)

    def _apply_draining(self, record):
        state = self._dispatcher.table.servers.get(record.id)
        if state is None or not isinstance(record.value, list | tuple):
            return
        stamp = tuple(record.stamp)
        if state.draining_stamp == stamp:
            return
        state.draining_stamp = stamp
        draining, boot_id = bool(record.value[0]), record.value[1]
        # A record of an earlier process must not override what is known of
        # the current one.
        if state.boot_id in (None, boot_id) or not boot_id:
            self._dispatcher.set_draining(record.id, draining, announce=False)
