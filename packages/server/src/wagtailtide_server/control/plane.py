"""Control plane of one instance: configuration, members, key trust."""

import math
import random
import secrets

import anyio
from wagtailtide_core.config import freshness as freshnesses
from wagtailtide_core.config import in_force
from wagtailtide_core.gossip import members
from wagtailtide_core.gossip import records
from wagtailtide_core.gossip import table as tables
from wagtailtide_core.keys import trust
from wagtailtide_core.membership import overlay
from wagtailtide_core.membership import view as views

from wagtailtide_server.control import config_sync
from wagtailtide_server.control import gossip
from wagtailtide_server.control import membership
from wagtailtide_server.peers import frames
from wagtailtide_server.peers import listener
from wagtailtide_server.peers import rpc

LEAVE_FLUSH_S = 0.5
TRUST_CHECK_INTERVAL_S = 0.5
MAX_TRUST_CHECK_GAP_S = 2.0


class ControlPlane:
    """State shared by the control tasks, and their task group.

    Attributes:
        config: ConfigState; ``config.catalog`` is the Catalog in force.
        freshness: Freshness, when the configuration was last confirmed.
        view: MemberView.
        table: Gossip records.
        peers: rpc.Peers, with ``call`` and ``register``.
        boot: Random number that identifies this process.
        tasks: Task group of the control tasks.
    """

    def __init__(
        self,
        settings,
        store,
        invariants,
        *,
        rng=None,
        open_stream=listener.open_tcp,
    ):
        self.boot = secrets.randbits(48)
        self.config = in_force.ConfigState(invariants)
        self.freshness = freshnesses.Freshness()
        self.tasks = None
        local_member = views.Member(
            settings.name, settings.peers, settings.zone, settings.region, 1
        )
        # Replaced in `run`, when the address and the start time are known.
        self.view = views.MemberView(local_member, 0.0)
        self.table = tables.Table(settings.region, 0.0)
        rng = rng or random.Random(self.boot)
        self.endpoint = listener.Endpoint(
            self._identity, self._check_peer, open_stream
        )
        self.peers = rpc.Peers(self.endpoint, self._member_of, self, self)
        self.config_sync = config_sync.ConfigSync(self, store, rng)
        self.membership = membership.Membership(self, settings, store, rng)
        self.gossip = gossip.Gossip(self)
        self.peers.register('document', self.config_sync.serve_document)
        self._settings = settings
        self._resync_from = None
        self._trust_checked_at = -math.inf
        self._untrusted_since = None

    @property
    def caught_up(self):
        """Whether the instance is synchronised with its peers or the store."""
        confirmed = self.freshness.confirmed_at
        if self._resync_from is None or confirmed is None:
            return False
        if self.freshness.newer_exists(self.config.revision):
            return False
        synced = self.gossip.synced_at
        if synced is not None and synced >= self._resync_from:
            return True
        return not self._peers_expected() and confirmed >= self._resync_from

    @property
    def ready(self):
        """Whether requests may be admitted."""
        return self.caught_up

    async def run(self, task_status=anyio.TASK_STATUS_IGNORED):
        """Run the control tasks until cancelled."""
        async with anyio.create_task_group() as tasks:
            self.tasks = tasks
            port = await tasks.start(
                self.endpoint.listen, self._settings.peers, self.peers.serve
            )
            self._start_member(port)
            for task in (
                self.config_sync.run,
                self.membership.read_list,
                self.membership.keep_links,
                self.membership.watch_event_loop,
                self.gossip.send_batches,
                self.gossip.send_digests,
                self.gossip.report_contact,
            ):
                tasks.start_soon(task)
            task_status.started()

    def start_soon(self, task, *args):
        """Start a task in the plane's task group."""
        self.tasks.start_soon(task, *args)

    async def leave(self):
        """Tell the peers that this instance is leaving."""
        self.view.set_own_state(views.State.LEFT, anyio.current_time())
        self._put_own_record()
        await anyio.sleep(LEAVE_FLUSH_S)

    def require_resync(self):
        """Admit no requests until a resync with a peer or the store."""
        self._resync_from = anyio.current_time()
        self.gossip.request_resync()

    def key_trust(self, now):
        """Return a Trust: whether keys may be trusted, and why."""
        last_frames_at = [
            x.health.last_frame_at for x in self.open_links(None)
        ]
        evidence = trust.Evidence(
            confirmed_at=self.freshness.confirmed_at,
            store_answered_at=self.freshness.answered_at,
            peer_message_at=max(last_frames_at, default=None),
            newer_exists=self.freshness.newer_exists(self.config.revision),
            no_contact_reports=self._no_contact_reports(now),
        )
        partial_s = min(
            (
                document.limits.partial_key_trust_s
                for document in self.config.catalog.documents.values()
            ),
            default=trust.TrustLimits.partial_s,
        )
        limits = trust.TrustLimits(partial_s=partial_s)
        return trust.may_trust_keys(evidence, now, limits)

    def keys_untrusted_s(self, now):
        """Return for how long keys have not been trusted, in seconds.

        The trust is evaluated at most once in an interval for all open
        streams, because each evaluation goes through the reports of all zones.
        """
        since_check_s = now - self._trust_checked_at
        if since_check_s >= TRUST_CHECK_INTERVAL_S:
            self._trust_checked_at = now
            if self.key_trust(now).trusted:
                self._untrusted_since = None
            elif (
                self._untrusted_since is None
                or since_check_s > MAX_TRUST_CHECK_GAP_S
            ):
                # After a pause in the checks, keys may have been trusted in
                # between.
                self._untrusted_since = now
        return (
            0.0
            if self._untrusted_since is None
            else now - self._untrusted_since
        )

    def coordinator_of(self, partition):
        """Return the coordinator of a claims partition.

        Returns:
            Name of the instance, or None if it is this one.
        """
        names = overlay.rendezvous(f'claims/{partition}', self.view.live(), 1)
        return (
            names[0]
            if names and names[0] != self.view.local_member.name
            else None
        )

    def open_links(self, name):
        """Return the open links to a peer, or all if the name is None."""
        return self.peers.open_links(name)

    def on_link(self, link):
        """Handle a new link."""
        self.membership.on_link(link)
        self.gossip.on_link(link)

    def on_link_closed(self, link):
        """Handle the end of a link."""
        self.gossip.on_link_closed(link)
        self.membership.on_link_closed(link)

    def on_frame(self, link, frame):
        """Handle a frame with records or digests."""
        self.gossip.on_frame(link, frame)

    def on_pong(self, _link, pong, sent_at):
        """Apply the confirmation in a peer's pong."""
        self.freshness.record_known_revision(pong.revision)
        if pong.confirmation_age_ms is None:
            return
        at = freshnesses.peer_confirmation_time(
            sent_at, pong.confirmation_age_ms / 1000
        )
        self.freshness.confirm_by_peer(at, pong.revision, self.config.revision)

    def make_pong(self, n):
        """Return the Pong to a ping."""
        age_s = self.freshness.age_s(anyio.current_time())
        # Rounded up, because the age is an upper bound.
        age_ms = None if age_s is None else int(age_s * 1000) + 1
        return frames.Pong(
            n, age_ms, self.config.revision, self.view.local_member.incarnation
        )

    def _start_member(self, port):
        host, _ = listener.split_address(self._settings.peers)
        local_member = membership.with_address(
            self.view.local_member, f'{host}:{port}'
        )
        now = anyio.current_time()
        self.view = views.MemberView(local_member, now)
        self._resync_from = now
        self._put_own_record()

    def _put_own_record(self):
        record = members.to_record(self.view.local_member)
        self.table.put(
            record.kind,
            record.id,
            record.stamp,
            record.value,
            anyio.current_time(),
        )

    def _peers_expected(self):
        if self.membership.listed is None and not self.membership.seeds_tried:
            return True
        return bool(self.view.peers())

    def _no_contact_reports(self, now):
        reports = dict.fromkeys(self.view.zones())
        local_member = self.view.local_member
        age_s = self.freshness.contact_age_s(now)
        if age_s is not None and age_s > gossip.NO_CONTACT_AFTER_S:
            reports[local_member.zone] = now
        for record in self.table.of_kind(records.Kind.ZONE_CONTACT, now):
            zone = record.id.partition('/')[0]
            at = now - record.age_s
            if zone in reports and (reports[zone] or 0) < at:
                reports[zone] = at
        return reports

    def _identity(self):
        local_member = self.view.local_member
        return frames.Welcome(
            local_member.name,
            self.boot,
            local_member.incarnation,
            local_member.zone,
            local_member.region,
            local_member.address,
        )

    def _check_peer(self, hello, host):
        try:
            declared, _ = listener.split_address(hello.address)
        except ValueError:
            return 'expected ip:port as address'
        if declared != host:
            return f'{hello.address} is not the address of {host}'
        if hello.name == self.view.local_member.name:
            return 'the name is in use by this instance'
        return None

    def _member_of(self, name):
        return self.view.get(name)
