"""Read the platform's list, maintain links, detect failures and stalls."""

import dataclasses
import logging

import anyio
from wagtailtide_core.gossip import members
from wagtailtide_core.membership import detector
from wagtailtide_core.membership import overlay
from wagtailtide_core.membership import view as views

from wagtailtide_server.peers import listener
from wagtailtide_server.storage import client

LOG = logging.getLogger(__name__)

LIST_INTERVAL_S = 5.0
LIST_VALIDITY_S = 15.0
LINKS_INTERVAL_S = 0.25
REDIAL_INTERVAL_S = 1.0
FAILED_PROBE_INTERVAL_S = 5.0
UNUSED_LINK_TIMEOUT_S = 10.0


class Membership:
    """Tasks that maintain the member view and the links to peers.

    Attributes:
        listed: Names in the last list read, or None.
        seeds_tried: Whether a seed peer was dialled or there is none.
    """

    def __init__(self, plane, settings, store, rng):
        self._plane = plane
        self._settings = settings
        self._store = store
        self._rng = rng
        self._dialled_at = {}
        self._opened_at = {}
        self.listed = None
        self.seeds_tried = not settings.seed_peers

    async def read_list(self):
        """Read the platform's list of instances until cancelled."""
        read_at = anyio.current_time()
        while True:
            try:
                listed = await self._store.instances()
                read_at = anyio.current_time()
                self._apply_list(listed)
            except client.StoreError as exc:
                LOG.info('instance list not read', extra={'error': str(exc)})
                if anyio.current_time() - read_at > LIST_VALIDITY_S:
                    self._plane.view.clear_listed_names()
            jitter = self._rng.uniform(0.8, 1.2)
            await anyio.sleep(LIST_INTERVAL_S * jitter)

    async def keep_links(self):
        """Open, replace and close links until cancelled."""
        while True:
            now = anyio.current_time()
            for member in self._plane.view.tick(now):
                self._publish(member)
            self._open_missing(now)
            self._check_links(now)
            await anyio.sleep(LINKS_INTERVAL_S)

    async def watch_event_loop(self):
        """Detect stalls of the event loop until cancelled."""
        interval_s = 0.5
        stall = detector.StallDetector(interval_s, anyio.current_time())
        while True:
            await anyio.sleep(interval_s)
            if stall.tick(anyio.current_time()):
                LOG.warning('the event loop stalled; resynchronising')
                self._plane.require_resync()

    def on_link(self, link):
        """Merge the identity of a new link's peer into the view."""
        now = anyio.current_time()
        self._opened_at[link] = now
        peer = link.peer
        member = views.Member(
            peer.name, peer.address, peer.zone, peer.region, peer.incarnation
        )
        if self._plane.view.merge(member, now):
            self._publish(member)

    def on_link_closed(self, link):
        """Dial the peer of a closed link to find out whether it is live."""
        self._opened_at.pop(link, None)
        name = link.name
        if name in self._plane.view.peers() and not self._plane.open_links(
            name
        ):
            self._dial(name)

    def merge(self, member, age_s):
        """Merge a received record of a member into the view."""
        view, now = self._plane.view, anyio.current_time()
        changed = view.merge(member, now, age_s)
        if changed and member.name == view.local_member.name:
            LOG.warning(
                'refuting a suspicion',
                extra={'incarnation': view.local_member.incarnation},
            )
            self._publish(view.local_member)

    def _apply_list(self, listed):
        view, now = self._plane.view, anyio.current_time()
        self.listed = frozenset(item.name for item in listed)
        view.set_listed_names(self.listed)
        for item in listed:
            if (
                item.name != view.local_member.name
                and view.get(item.name) is None
            ):
                # Incarnation 0 is replaced by anything the member publishes.
                view.merge(
                    views.Member(item.name, item.address, item.zone, '', 0),
                    now,
                )
        self._store.budget.set_fleet_size(len(self._plane.view.live()))

    def _open_missing(self, now):
        view = self._plane.view
        peers = view.peers()
        for name in overlay.links_to_open(view.local_member.name, peers):
            if not self._plane.open_links(name):
                self._dial(name)
        for member in view.failed():
            if (
                now - self._dialled_at.get(member.name, -1e9)
                >= FAILED_PROBE_INTERVAL_S
            ):
                self._dial(member.name)
        if not peers and not self._plane.open_links(None):
            for address in self._settings.seed_peers:
                self._dial(address, seed=True)

    def _dial(self, name, seed=False):
        now = anyio.current_time()
        if now - self._dialled_at.get(name, -1e9) < REDIAL_INTERVAL_S:
            return
        self._dialled_at[name] = now
        self._plane.tasks.start_soon(self._open, name, seed)

    async def _open(self, name, seed):
        member = None if seed else self._plane.view.get(name)
        if member is None and not seed:
            return
        address = name if seed else member.address
        try:
            expected = None if seed else name
            await self._plane.peers.open_link(address, expected)
        except listener.OpenFailed as exc:
            LOG.info('link not opened', extra={'error': str(exc)})
            if not seed:
                self._suspect(name)
        finally:
            self.seeds_tried = self.seeds_tried or seed

    def _suspect(self, name):
        if self._plane.peers.most_recent_link(name) is not None:
            return
        suspect = self._plane.view.suspect(name, anyio.current_time())
        if suspect is not None:
            LOG.warning('member suspected', extra={'member': name})
            self._publish(suspect)

    def _check_links(self, now):
        wanted = overlay.links_to_open(
            self._plane.view.local_member.name, self._plane.view.peers()
        )
        for link in self._plane.open_links(None):
            if link.health.check(now) is detector.LinkAction.OPEN_SECOND:
                self._plane.tasks.start_soon(self._replace, link)
            age_s = now - self._opened_at.get(link, now)
            unused = link.opened_here and link.name not in wanted
            if unused and age_s >= UNUSED_LINK_TIMEOUT_S:
                link.close()
        self._close_duplicates(now)

    def _close_duplicates(self, now):
        own_name = self._plane.view.local_member.name
        for name in self._plane.peers.linked_names():
            found = [
                x for x in self._plane.open_links(name) if x.is_usable(now)
            ]
            # Only one side closes, so that the two do not close both links.
            if len(found) > 1 and own_name < name:
                for link in found[:-1]:
                    link.close()

    async def _replace(self, link):
        """Open a second link; close the first one if it stays silent."""
        LOG.warning('link is silent', extra={'peer': link.name})
        member = self._plane.view.get(link.name)
        if member is not None:
            self._plane.tasks.start_soon(self._open, link.name, False)
            await anyio.sleep(detector.SECOND_CONNECTION_TIMEOUT_S)
        if link.health.is_silent(anyio.current_time()):
            link.close()

    def _publish(self, member):
        record = members.to_record(member)
        self._plane.table.put(
            record.kind,
            record.id,
            record.stamp,
            record.value,
            anyio.current_time(),
        )


def with_address(member, address):
    """Return a member with another address."""
    return dataclasses.replace(member, address=address)
