"""Keep the configuration in force the newest: store watches and peers."""

import logging
import zlib

import anyio
from wagtailtide_core.document import parse
from wagtailtide_core.gossip import records
from wagtailtide_core.membership import overlay

from wagtailtide_server.peers import rpc
from wagtailtide_server.storage import budget
from wagtailtide_server.storage import client

LOG = logging.getLogger(__name__)

PREFIX = 'documents/'
WATCHERS_PER_ZONE = 3
WATCH_S = 1.0
# An instance that got no confirmation for this long reads the store itself.
OWN_READ_AFTER_S = 3.0
CHECK_S = 0.25
READ_PAUSE_S = 1.0
BODY_JITTER_S = 2.0
BODY_TIMEOUT_S = 2.0
CHUNK_BYTES = 128 * 1024
MAX_BODY_BYTES = 2 * 1024 * 1024


class ConfigSync:
    """Reads documents and puts them in force."""

    def __init__(self, plane, store, rng):
        self._plane = plane
        self._store = store
        self._rng = rng
        # Revision up to which the store's changes are known without a gap.
        self._complete = None
        self._newest = {}
        self._in_force = {}
        self._fetching = set()

    async def run(self):
        """Watch or read the store until cancelled."""
        backoff = budget.Backoff(self._rng, maximum_s=2.0)
        while True:
            await self._fetch_older()
            now = anyio.current_time()
            age = self._plane.freshness.age_s(now)
            stale = age is None or age > OWN_READ_AFTER_S
            if not (stale or self.is_watcher()):
                await anyio.sleep(CHECK_S)
                continue
            try:
                await self._ask_store()
                backoff.reset()
                if not self.is_watcher():
                    await anyio.sleep(READ_PAUSE_S * self._rng.uniform(0.5, 1))
            except client.StoreError as exc:
                # A list is tried next, in case only watches fail.
                self._complete = None
                LOG.info('store not read', extra={'error': str(exc)})
                await anyio.sleep(backoff.delay_s())

    def is_watcher(self):
        """Return whether this instance watches the store for its zone."""
        view = self._plane.view
        names = [m.name for m in view.live().values() if self._near(m)]
        chosen = overlay.rendezvous(view.me.zone, names, WATCHERS_PER_ZONE)
        return view.me.name in chosen

    async def serve_document(self, _sender, body):
        """Answer a peer's call for part of a document's body."""
        try:
            service, offset = body['service'], body['offset']
            held = self._in_force if body['in_force'] else self._newest
            version, packed = held[service]
        except (KeyError, TypeError) as exc:
            raise rpc.Refusal('no such document') from exc
        part = packed[offset : offset + CHUNK_BYTES]
        return {'version': version, 'total': len(packed), 'data': part}

    def on_record(self, record, sender):
        """Take a CONFIG record that was received."""
        version = record.stamp[0]
        self._plane.freshness.hear_of(version)
        if version <= self._plane.config.seen_version(record.id):
            return
        if record.value == ['deleted']:
            self._put(record.id, version, None)
        elif record.id not in self._fetching:
            self._fetching.add(record.id)
            self._plane.tasks.start_soon(self._fetch, record.id, sender)

    def _near(self, member):
        return member.zone == self._plane.view.me.zone

    async def _ask_store(self):
        activity = budget.Activity.CONFIG
        if self._complete is None or not self.is_watcher():
            listing = await self._store.list(PREFIX, activity=activity)
            self._take(listing, complete=True)
            return
        try:
            listing = await self._store.watch(
                PREFIX, self._complete, WATCH_S, activity=activity
            )
        except client.RevisionTooOld:
            self._complete = None
            return
        self._take(listing, complete=False)

    def _take(self, listing, complete):
        freshness = self._plane.freshness
        now = anyio.current_time()
        if not freshness.accept_store_answer(listing.revision, now):
            LOG.warning(
                'store answered from behind',
                extra={'revision': listing.revision},
            )
            # A list may start again from a replica that has caught up.
            self._complete = None
            raise client.Unavailable('the store answered from behind')
        for item in listing.items:
            service = item.key.removeprefix(PREFIX)
            value = None if item.deleted else item.value
            self._put(service, item.version, value)
        if complete:
            self._delete_missing(listing)
        self._complete = listing.revision
        freshness.confirm(listing.sent_at)

    def _delete_missing(self, listing):
        present = {item.key.removeprefix(PREFIX) for item in listing.items}
        config = self._plane.config
        for service in set(config.catalog.documents) - present:
            self._put(service, listing.revision, None)

    def _put(self, service, version, value):
        config = self._plane.config
        if version <= config.seen_version(service):
            return
        if value is None:
            config.offer(service, version, None)
            self._in_force.pop(service, None)
            self._newest.pop(service, None)
        else:
            self._put_document(service, version, value)
        self._plane.freshness.hear_of(version)
        state = ['deleted'] if value is None else []
        self._plane.table.put(
            records.Kind.CONFIG,
            service,
            (version, 0),
            state,
            anyio.current_time(),
        )

    def _put_document(self, service, version, value):
        packed = (version, zlib.compress(value))
        self._newest[service] = packed
        parsed = parse.parse(value)
        found = [str(problem) for problem in parsed.problems]
        if parsed.document and parsed.document.service != service:
            found.append(f'expected service {service} as in the key')
        if found or parsed.document is None:
            LOG.error(
                'document not put in force',
                extra={'service': service, 'problems': found[:3]},
            )
            self._plane.config.report_invalid(service, version, found)
            return
        if self._plane.config.offer(service, version, parsed.document):
            self._in_force[service] = packed
            LOG.info(
                'document in force',
                extra={'service': service, 'version': version},
            )

    async def _fetch(self, service, sender):
        try:
            if not await self._fetch_from_peers(service, sender, False):
                await anyio.sleep(self._rng.uniform(0, BODY_JITTER_S))
                await self._fetch_from_store(service)
        except client.StoreError as exc:
            LOG.info('document not read', extra={'error': str(exc)})
        finally:
            self._fetching.discard(service)

    async def _fetch_older(self):
        """Get documents that are in force on peers from before a start.

        The store has only the newest version, which may be invalid.
        """
        config = self._plane.config
        names = sorted(self._plane.peers.names())
        for service in list(config.invalid) if names else ():
            if config.version_of(service) == 0:
                await self._fetch_from_peers(service, names[0], True)

    async def _fetch_from_peers(self, service, sender, in_force):
        others = sorted(self._plane.peers.names() - {sender})
        for name in [sender, *others]:
            try:
                version, value = await self._download(name, service, in_force)
            except (rpc.CallFailed, ValueError, KeyError, TypeError) as exc:
                LOG.info('peer has no document', extra={'error': str(exc)})
                continue
            if in_force:
                self._put_document(service, version, value)
                return True
            self._put(service, version, value)
            known = self._plane.table.get(
                records.Kind.CONFIG, service, anyio.current_time()
            )
            if known is None or version >= known.stamp[0]:
                return True
        return False

    async def _download(self, name, service, in_force):
        parts, total, version = b'', None, None
        while total is None or len(parts) < total:
            body = {
                'service': service,
                'offset': len(parts),
                'in_force': in_force,
            }
            reply = await self._plane.peers.call(
                name, 'document', body, BODY_TIMEOUT_S
            )
            if version not in (None, reply['version']) or not reply['data']:
                raise ValueError('the document changed during the transfer')
            version, total = reply['version'], reply['total']
            parts += reply['data']
            if total > MAX_BODY_BYTES:
                raise ValueError('document too big')
        unpack = zlib.decompressobj()
        value = unpack.decompress(parts, MAX_BODY_BYTES)
        return version, value

    async def _fetch_from_store(self, service):
        item = await self._store.get(
            PREFIX + service, activity=budget.Activity.CONFIG
        )
        if item is not None:
            self._put(service, item.version, item.value)
