"""Exchange gossip records with peers over the links."""

import itertools
import logging

import anyio
from wagtailtide_core.gossip import members
from wagtailtide_core.gossip import records
from wagtailtide_core.gossip import resync

from wagtailtide_server.peers import frames
from wagtailtide_server.peers import link as links

LOG = logging.getLogger(__name__)

BATCH_INTERVAL_S = 0.2
# A periodic resync repairs records that the sending of changes missed.
DIGEST_INTERVAL_S = 60.0
CONTACT_INTERVAL_S = 1.0
NO_CONTACT_AFTER_S = 3.0
RESYNC_RECORDS_PER_FRAME = 500


class Gossip:
    """Sends and receives records and digests.

    Attributes:
        synced_at: Start time of the latest full resync with a peer that has
            been completed, or None.
    """

    def __init__(self, plane):
        self._plane = plane
        self._numbers = itertools.count(1)
        self._contact_seq = itertools.count(1)
        # By link and number of a received digest: the time it was received.
        self._wants = {}
        self.synced_at = None

    async def send_batches(self):
        """Send queued records until cancelled."""
        while True:
            await anyio.sleep(BATCH_INTERVAL_S)
            now = anyio.current_time()
            for link in self._plane.open_links(None):
                taken = self._plane.table.take(link, now)
                if taken:
                    self._send(link, frames.Records(tuple(taken)))

    async def send_digests(self):
        """Request a resync and close idle connections until cancelled."""
        while True:
            await anyio.sleep(DIGEST_INTERVAL_S)
            self.request_resync()
            self._plane.peers.close_idle()

    async def report_contact(self):
        """Publish how long the store has been unreachable, until cancelled."""
        while True:
            await anyio.sleep(CONTACT_INTERVAL_S)
            now = anyio.current_time()
            self._plane.table.drop_expired(now)
            age_s = self._plane.freshness.contact_age_s(now)
            if age_s is None or age_s <= NO_CONTACT_AFTER_S:
                continue
            local_member = self._plane.view.local_member
            self._plane.table.put(
                records.Kind.ZONE_CONTACT,
                f'{local_member.zone}/{local_member.name}',
                (local_member.incarnation, next(self._contact_seq)),
                [round(age_s * 1000)],
                now,
            )

    def request_resync(self):
        """Send a digest to all linked peers and request theirs."""
        for link in self._plane.open_links(None):
            self._send_digest(link, request_reply=True)

    def on_link(self, link):
        """Start sending records on a new link."""
        now = anyio.current_time()
        self._plane.table.attach(link, link.peer.region, now)
        self._send_digest(link, request_reply=False)

    def on_link_closed(self, link):
        """Stop sending records on a link."""
        self._plane.table.detach(link)
        self._wants.pop(link, None)

    def on_frame(self, link, frame):
        """Handle a frame other than heartbeats and calls."""
        if isinstance(frame, frames.Records):
            self._merge(link, frame)
        elif isinstance(frame, frames.Digest):
            self._answer_digest(link, frame)
        elif isinstance(frame, frames.Want):
            self._answer_want(link, frame)

    def _send_digest(self, link, request_reply):
        # An odd number requests the peer's digest in return.
        number = next(self._numbers) * 2 + (1 if request_reply else 0)
        hashes = resync.digest(self._plane.table, anyio.current_time())
        self._send(link, frames.Digest(number, hashes))

    def _answer_digest(self, link, frame):
        now = anyio.current_time()
        own_hashes = resync.digest(self._plane.table, now)
        wanted = resync.differing_buckets(own_hashes, frame.hashes)
        self._wants.setdefault(link, {})[frame.n] = now
        self._send(link, frames.Want(frame.n, tuple(wanted)))
        if frame.n % 2:
            self._send_digest(link, request_reply=False)

    def _answer_want(self, link, frame):
        found = resync.records_in_buckets(
            self._plane.table, frame.buckets, anyio.current_time()
        )
        size = RESYNC_RECORDS_PER_FRAME
        while len(found) > size:
            self._send(link, frames.Records(tuple(found[:size])))
            found = found[size:]
        self._send(link, frames.Records(tuple(found), frame.n))

    def _merge(self, link, frame):
        now = anyio.current_time()
        try:
            self._dispatch(link, frame, now)
        except ValueError as exc:
            raise frames.FrameError(frames.BAD_FIELDS, str(exc)) from exc
        started = self._wants.get(link, {}).pop(frame.last_of, None)
        if started is not None:
            self.synced_at = max(self.synced_at or started, started)

    def _dispatch(self, link, frame, now):
        for record in self._plane.table.merge(frame.items, link, now):
            if record.kind == records.Kind.MEMBER:
                member = members.from_record(record)
                self._plane.membership.merge(member, record.age_s)
            elif record.kind == records.Kind.CONFIG:
                self._plane.config_sync.on_record(record, link.name)

    def _send(self, link, frame):
        try:
            link.send(frame)
        except (links.LinkClosed, frames.FrameError) as exc:
            LOG.info('frame not sent', extra={'error': str(exc)})
