"""Routing, authentication and rate limiting of callers' requests."""

import random
import zlib

import anyio
from wagtailtide_core.errors import kinds
from wagtailtide_core.quarantine import crashes
from wagtailtide_core.quarantine import prompt_parts

from wagtailtide_gateway.decisions import quota
from wagtailtide_gateway.decisions import trust
from wagtailtide_gateway.model import deployment as deployments
from wagtailtide_gateway.serving import job as jobs

# Retry-After of requests that this instance cannot serve at the moment;
# another instance probably can.
RETRY_ELSEWHERE_AFTER_S = 0.2

# Timeout for a draw on an organisation's rate. The leader answers within
# milliseconds unless its machine is slow.
QUOTA_TIMEOUT_S = 0.4

# Seconds after its arrival for which a resumed stream waits for quota instead
# of being refused. After a loss of all instances, most resumed streams arrive
# before a new leader answers, which takes about a second. Callers leave a
# stream that sends nothing for two seconds.
RESUME_WAIT_S = 1.6

# Pause between two questions of a resumed stream for quota.
RESUME_QUOTA_INTERVAL_S = 0.1

# Replaces a route timeout or a caller's deadline that is not set; the shorter
# of the two applies.
DEFAULT_DEADLINE_S = 30.0


class Access:
    """Matches requests to routes, checks their keys and charges them."""

    def __init__(self, cfg, shared_state, exchange):
        self._cfg = cfg
        self._config = shared_state.config
        self._local_quota = shared_state.local_quota
        self._exchange = exchange

    def make_job(self, req, received_at):
        """Return the Job of a request.

        Args:
            req: The CallerRequest.
            received_at: Time in seconds at which its head was complete.

        Raises:
            ServingError: There is no route or none of its services is
                configured, the key is missing or unknown, or this instance
                has no current configuration.
        """
        deployment = self._config.deployment
        if deployment is None:
            raise no_config_error()
        route = deployment.route_for(req.host, req.path)
        if route is None:
            self._require_confirmed_config()
            raise kinds.ServingError(
                kinds.ErrorKind.UNKNOWN_ROUTE,
                f'no route matches {req.host}{req.path}; check the host and '
                'the path',
            )
        organisation = self._authenticate(deployment, route, req)
        service = self._pick_service(deployment, route)
        return make_routed_job(req, route, service, organisation, received_at)

    def require_current_key(self, job):
        """Reject a request if its key may have been withdrawn.

        Called again just before the request is sent to a server, because the
        key may have been withdrawn, or have been passed to another
        organisation, while the request waited.

        Raises:
            ServingError: The key was withdrawn or passed on, or the
                configuration is too old to tell.
        """
        if job.organisation is None:
            return
        holder = self._config.deployment.organisations.get(job.req.api_key)
        if holder is None:
            raise kinds.ServingError(
                kinds.ErrorKind.KEY_INVALID,
                'the API key was withdrawn; use a current one',
            )
        if holder.name != job.organisation.name:
            # Its rate, priority and place in the queue are those of the
            # organisation that held the key before.
            raise kinds.ServingError(
                kinds.ErrorKind.KEYS_UNCONFIRMED,
                'the API key was passed to another organisation while the '
                'request waited; retry',
                retry_after_s=RETRY_ELSEWHERE_AFTER_S,
            )
        self.require_confirmed_keys()

    def require_confirmed_keys(self):
        """Reject a request with a key if keys may have been withdrawn.

        Raises:
            ServingError: The configuration is too old to tell.
        """
        age_s = self._config.age_s
        if not trust.may_trust_keys(age_s, self._cfg.key_withdrawal_s):
            raise kinds.ServingError(
                kinds.ErrorKind.KEYS_UNCONFIRMED,
                f'API keys were last confirmed {age_s:.1f} s ago, which is '
                'too old; retry',
                retry_after_s=RETRY_ELSEWHERE_AFTER_S,
            )

    def _authenticate(self, deployment, route, req):
        if route.open_access or not deployment.uses_keys:
            return None
        organisation = deployment.organisations.get(req.api_key)
        if organisation is not None:
            return organisation
        self._require_confirmed_config()
        if req.api_key is None:
            raise kinds.ServingError(
                kinds.ErrorKind.KEY_MISSING,
                'expected an API key in the header Authorization: Bearer',
            )
        raise kinds.ServingError(
            kinds.ErrorKind.KEY_INVALID,
            'the API key is unknown; use a current one',
        )

    def _require_confirmed_config(self):
        if not trust.may_reject_unknown(self._config.age_s):
            raise kinds.ServingError(
                kinds.ErrorKind.NOT_READY,
                'the configuration of this instance may be outdated; retry',
                retry_after_s=RETRY_ELSEWHERE_AFTER_S,
            )

    def _pick_service(self, deployment, route):
        known = [s for s in route.services if s.name in deployment.services]
        weights = [s.weight for s in known]
        if not known or sum(weights) <= 0:
            raise kinds.ServingError(
                kinds.ErrorKind.NO_BACKEND_SERVER,
                f'route {route.name} has no configured service with a '
                'positive weight; retry later',
            )
        name = random.choices(known, weights)[0].name
        return deployment.services[name]

    async def charge(self, job):
        """Charge the request to its organisation's rate.

        Raises:
            ServingError: The rate is exceeded, or the leader does not answer
                and the local quota does not cover the request.
        """
        org = job.organisation
        if org is None or self._charge(org, job.cost):
            return
        self._local_quota.add_pending(org, job.cost)
        try:
            wait = (
                self._await_quota_to_resume
                if job.resumes_stream
                else self._await_quota
            )
            if await wait(org, job):
                return
        finally:
            self._local_quota.remove_pending(org, job.cost)
        wait_s = self._exchange.refill_waits_s.get(org.name)
        if wait_s is None or not self._exchange.hears_leader:
            raise kinds.ServingError(
                kinds.ErrorKind.RATE_UNCONFIRMED,
                f'what is left of the rate of organisation {org.name} is not '
                'known at the moment; retry after the time in Retry-After',
                retry_after_s=quota.unconfirmed_retry_s(
                    self._exchange.silent_s, self._exchange.lease_s
                ),
            )
        raise kinds.ServingError(
            kinds.ErrorKind.RATE_EXCEEDED,
            f'organisation {org.name} has exceeded its rate; retry after '
            'the time in Retry-After',
            retry_after_s=max(wait_s, RETRY_ELSEWHERE_AFTER_S),
        )

    def _charge(self, org, cost):
        if self._exchange.hears_leader:
            return self._local_quota.charge(org, cost)
        now = anyio.current_time()
        return self._local_quota.charge_without_leader(org, cost, now)

    async def _await_quota(self, org, job):
        """Draw quota; return whether the request could be charged."""
        with anyio.move_on_after(QUOTA_TIMEOUT_S):
            while self._exchange.hears_leader:
                await self._exchange.wait_for_exchange(QUOTA_TIMEOUT_S)
                if self._local_quota.charge_counted(org, job.cost):
                    return True
                if org.name in self._exchange.refill_waits_s:
                    return False
        # The leader is too slow or has stopped answering.
        return self._charge_share(org, job)

    def _charge_share(self, org, job):
        return self._local_quota.charge_share_counted(
            org, job.cost, anyio.current_time()
        )

    async def _await_quota_to_resume(self, org, job):
        """Draw quota for a resumed stream; return whether it was charged.

        The rate of its organisation may be unknown or its bucket empty only
        because the leader has just changed.
        """
        timeout_s = job.received_at + RESUME_WAIT_S - anyio.current_time()
        with anyio.move_on_after(max(QUOTA_TIMEOUT_S, timeout_s)):
            while True:
                await self._exchange.wait_for_exchange(timeout_s)
                if self._local_quota.charge_counted(org, job.cost) or (
                    not self._exchange.hears_leader
                    and self._charge_share(org, job)
                ):
                    return True
                await anyio.sleep(RESUME_QUOTA_INTERVAL_S)
        return False

    def refund(self, job):
        """Refund the charge of a request that did not run."""
        if job.organisation is not None:
            self._local_quota.refund(job.organisation, job.cost)


def no_config_error():
    """Return the ServingError of requests before there is a configuration."""
    return kinds.ServingError(
        kinds.ErrorKind.NOT_READY,
        'this instance has not loaded a configuration yet; retry',
        retry_after_s=RETRY_ELSEWHERE_AFTER_S,
    )


def make_routed_job(req, route, service, organisation, received_at):
    """Return the Job of a request whose route and service are known.

    Args:
        req: The CallerRequest.
        route: Its Route.
        service: Service that runs it.
        organisation: The caller's Organisation, or None.
        received_at: Time in seconds at which its head was complete.
    """
    time_limit_s = min(
        route.timeout_s or DEFAULT_DEADLINE_S,
        req.deadline_s or DEFAULT_DEADLINE_S,
    )
    first_byte_s = time_limit_s
    if route.kind is deployments.RouteKind.STREAM:
        first_byte_s = min(time_limit_s, route.first_event_timeout_s)
    priority = route.priority
    if organisation is not None and organisation.priority is not None:
        priority = organisation.priority
    return jobs.Job(
        req=req,
        route=route,
        service=service,
        organisation=organisation,
        priority=priority,
        cost=organisation.cost(req.tokens) if organisation else 0.0,
        received_at=received_at,
        deadline_at=received_at + time_limit_s - jobs.DEADLINE_MARGIN_S,
        first_byte_due_at=received_at + first_byte_s - jobs.DEADLINE_MARGIN_S,
        fingerprint=crashes.fingerprint(
            organisation.name if organisation else '', req.path, req.body
        ),
        part_fingerprints=tuple(
            map(prompt_parts.fingerprint, req.shared_parts)
        ),
        prefix_hash=_prefix_hash(req),
    )


def _prefix_hash(req):
    """Return a hash of the prompt prefix that other requests may share."""
    shared = req.prefix[:-1] or req.prefix
    if not shared:
        return None
    text = '/'.join(segment.id for segment in shared)
    return zlib.crc32(f'{req.model}/{req.adapter}/{text}'.encode())
