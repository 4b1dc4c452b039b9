"""Keep the configuration in force up to date from the store and peers."""

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

KEY_PREFIX = 'documents/'
WATCHERS_PER_ZONE = 3
WATCH_TIMEOUT_S = 1.0
# An instance without a confirmation for this long reads the store itself.
OWN_READ_AFTER_S = 3.0
CHECK_INTERVAL_S = 0.25
READ_PAUSE_S = 1.0
STORE_READ_JITTER_S = 2.0
PEER_CALL_TIMEOUT_S = 2.0
CHUNK_BYTES = 128 * 1024
MAX_DOCUMENT_BYTES = 2 * 1024 * 1024


class ConfigSync:
    """Reads documents from the store or a peer and puts them in force."""

    def __init__(self, plane, store, rng):
        self._plane = plane
        self._store = store
        self._rng = rng
        # Revision up to which all changes in the store are known; None if
        # the store has to be listed again.
        self._known_revision = None
        self._newest = {}
        self._in_force = {}
        self._fetching = set()

    async def run(self):
        """Watch or read the store until cancelled."""
        backoff = budget.Backoff(self._rng, maximum_s=2.0)
        while True:
            await self._fetch_versions_in_force()
            now = anyio.current_time()
            age = self._plane.freshness.age_s(now)
            stale = age is None or age > OWN_READ_AFTER_S
            if not (stale or self.is_watcher()):
                await anyio.sleep(CHECK_INTERVAL_S)
                continue
            try:
                await self._read_store()
                backoff.reset()
                if not self.is_watcher():
                    await anyio.sleep(READ_PAUSE_S * self._rng.uniform(0.5, 1))
            except client.StoreError as exc:
                # The next call is a list, in case only watches fail.
                self._known_revision = None
                LOG.info('store not read', extra={'error': str(exc)})
                await anyio.sleep(backoff.next_delay_s())

    def is_watcher(self):
        """Return whether this instance watches the store for its zone."""
        view = self._plane.view
        names = [
            m.name for m in view.live().values() if self._is_in_own_zone(m)
        ]
        chosen = overlay.rendezvous(
            view.local_member.zone, names, WATCHERS_PER_ZONE
        )
        return view.local_member.name in chosen

    async def serve_document(self, _sender, body):
        """Handle a peer's call for a part of a compressed document."""
        try:
            service, offset = body['service'], body['offset']
            documents = self._in_force if body['in_force'] else self._newest
            version, compressed = documents[service]
        except (KeyError, TypeError) as exc:
            raise rpc.CallRefused(
                'expected the service of a known document and an offset, '
                'got others'
            ) from exc
        part = compressed[offset : offset + CHUNK_BYTES]
        return {'version': version, 'total': len(compressed), 'data': part}

    def on_record(self, record, sender):
        """Handle a CONFIG record received from a peer."""
        version = record.stamp[0]
        self._plane.freshness.record_known_revision(version)
        if version <= self._plane.config.seen_version(record.id):
            return
        if record.value == ['deleted']:
            self._update(record.id, version, None)
        elif record.id not in self._fetching:
            self._fetching.add(record.id)
            self._plane.tasks.start_soon(self._fetch, record.id, sender)

    def _is_in_own_zone(self, member):
        return member.zone == self._plane.view.local_member.zone

    async def _read_store(self):
        activity = budget.Activity.CONFIG
        if self._known_revision is None or not self.is_watcher():
            listing = await self._store.list(KEY_PREFIX, activity=activity)
            self._apply_listing(listing, is_full_list=True)
            return
        try:
            listing = await self._store.watch(
                KEY_PREFIX,
                self._known_revision,
                WATCH_TIMEOUT_S,
                activity=activity,
            )
        except client.RevisionTooOld:
            self._known_revision = None
            return
        self._apply_listing(listing, is_full_list=False)

    def _apply_listing(self, listing, is_full_list):
        freshness = self._plane.freshness
        now = anyio.current_time()
        if not freshness.accept_store_answer(listing.revision, now):
            LOG.warning(
                'store returned an older revision',
                extra={'revision': listing.revision},
            )
            # The next call is a list, which an up-to-date replica of the store
            # may answer.
            self._known_revision = None
            raise client.Unavailable('the store returned an older revision')
        for item in listing.items:
            service = item.key.removeprefix(KEY_PREFIX)
            value = None if item.deleted else item.value
            self._update(service, item.version, value)
        if is_full_list:
            self._delete_missing(listing)
        self._known_revision = listing.revision
        freshness.confirm(listing.sent_at)

    def _delete_missing(self, listing):
        present = {item.key.removeprefix(KEY_PREFIX) for item in listing.items}
        config = self._plane.config
        for service in set(config.catalog.documents) - present:
            self._update(service, listing.revision, None)

    def _update(self, service, version, value):
        config = self._plane.config
        if version <= config.seen_version(service):
            return
        if value is None:
            config.offer(service, version, None)
            self._in_force.pop(service, None)
            self._newest.pop(service, None)
        else:
            self._update_document(service, version, value)
        self._plane.freshness.record_known_revision(version)
        state = ['deleted'] if value is None else []
        self._plane.table.put(
            records.Kind.CONFIG,
            service,
            (version, 0),
            state,
            anyio.current_time(),
        )

    def _update_document(self, service, version, value):
        entry = (version, zlib.compress(value))
        self._newest[service] = entry
        parsed = parse.parse(value)
        problems = [str(problem) for problem in parsed.problems]
        if parsed.document and parsed.document.service != service:
            problems.append(
                f'expected service {service} as in the key, got another name'
            )
        if problems or parsed.document is None:
            LOG.error(
                'document not put in force',
                extra={'service': service, 'problems': problems[:3]},
            )
            self._plane.config.report_invalid(service, version, problems)
            return
        if self._plane.config.offer(service, version, parsed.document):
            self._in_force[service] = entry
            LOG.info(
                'document in force',
                extra={'service': service, 'version': version},
            )

    async def _fetch(self, service, sender):
        try:
            if not await self._fetch_from_peers(service, sender, False):
                await anyio.sleep(self._rng.uniform(0, STORE_READ_JITTER_S))
                await self._fetch_from_store(service)
        except client.StoreError as exc:
            LOG.info('document not read', extra={'error': str(exc)})
        finally:
            self._fetching.discard(service)

    async def _fetch_versions_in_force(self):
        """Fetch the version in force of documents whose newest is invalid.

        The store has only the newest version of a document. An instance that
        starts when that version is invalid gets the earlier, valid one from a
        peer.
        """
        config = self._plane.config
        names = sorted(self._plane.peers.linked_names())
        for service in list(config.invalid) if names else ():
            if config.version_of(service) == 0:
                await self._fetch_from_peers(service, names[0], True)

    async def _fetch_from_peers(self, service, sender, in_force):
        others = sorted(self._plane.peers.linked_names() - {sender})
        for name in [sender, *others]:
            try:
                version, value = await self._download(name, service, in_force)
            except (rpc.CallFailed, ValueError, KeyError, TypeError) as exc:
                LOG.info(
                    'document not fetched from peer', extra={'error': str(exc)}
                )
                continue
            if in_force:
                self._update_document(service, version, value)
                return True
            self._update(service, version, value)
            known = self._plane.table.get(
                records.Kind.CONFIG, service, anyio.current_time()
            )
            if known is None or version >= known.stamp[0]:
                return True
        return False

    async def _download(self, name, service, in_force):
        received, total, version = b'', None, None
        while total is None or len(received) < total:
            body = {
                'service': service,
                'offset': len(received),
                'in_force': in_force,
            }
            reply = await self._plane.peers.call(
                name, 'document', body, PEER_CALL_TIMEOUT_S
            )
            if version not in (None, reply['version']) or not reply['data']:
                raise ValueError(
                    'expected the next part of the same version of the '
                    'document, got another version or no data'
                )
            version, total = reply['version'], reply['total']
            received += reply['data']
            if total > MAX_DOCUMENT_BYTES:
                raise ValueError(
                    'expected a compressed document of at most 2 MiB, got more'
                )
        decompressor = zlib.decompressobj()
        value = decompressor.decompress(received, MAX_DOCUMENT_BYTES)
        return version, value

    async def _fetch_from_store(self, service):
        item = await self._store.get(
            KEY_PREFIX + service, activity=budget.Activity.CONFIG
        )
        if item is not None:
            self._update(service, item.version, item.value)
