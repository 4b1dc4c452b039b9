"""Which route and organisation a request belongs to, and its charge."""

import random
import zlib

import anyio
from wagtailtide_core.errors import kinds
from wagtailtide_core.quarantine import crashes

from wagtailtide_gateway.decisions import trust
from wagtailtide_gateway.model import deployment as deployments
from wagtailtide_gateway.serving import job as jobs

# When a caller should come back where an instance cannot decide yet. Another
# instance is likely to be able to.
ELSEWHERE_S = 0.2

# Longest wait for an advance from the duty holder, which answers within
# milliseconds unless its machine is slow.
ADVANCE_TIMEOUT_S = 0.4

# Deadline of requests that state none and whose route has no timeout.
DEFAULT_DEADLINE_S = 30.0


class Access:
    """Admits requests by route, key and rate."""

    def __init__(self, cfg, parts, exchange):
        self._cfg = cfg
        self._config = parts.config
        self._advances = parts.advances
        self._exchange = exchange

    def make_job(self, req, received_at):
        """Return the Job of a request; raises ServingError."""
        deployment = self._config.deployment
        if deployment is None:
            raise kinds.ServingError(
                kinds.ErrorKind.NOT_READY,
                'no configuration is known yet; come back',
                retry_after_s=ELSEWHERE_S,
            )
        route = deployment.route_for(req.host, req.path)
        if route is None:
            self._require_certainty()
            raise kinds.ServingError(
                kinds.ErrorKind.UNKNOWN_ROUTE,
                f'no route for {req.host}{req.path}',
            )
        organisation = self._authenticate(deployment, route, req)
        limit_s = min(
            route.timeout_s or DEFAULT_DEADLINE_S,
            req.deadline_s or DEFAULT_DEADLINE_S,
        )
        first_s = limit_s
        if route.kind is deployments.RouteKind.STREAM:
            first_s = min(limit_s, route.first_event_s)
        priority = route.priority
        if organisation is not None and organisation.priority is not None:
            priority = organisation.priority
        return jobs.Job(
            req=req,
            route=route,
            service=self._pick_service(deployment, route),
            organisation=organisation,
            priority=priority,
            cost=organisation.cost(req.tokens) if organisation else 0.0,
            received_at=received_at,
            ends_at=received_at + limit_s - jobs.DEADLINE_MARGIN_S,
            starts_by=received_at + first_s - jobs.DEADLINE_MARGIN_S,
            fingerprint=crashes.fingerprint(
                organisation.name if organisation else '', req.path, req.body
            ),
            prefix_hash=_prefix_hash(req),
        )

    def require_current_key(self, job):
        """Refuse a keyed request if its key may have been withdrawn.

        Called last before the request goes to a server, because it may have
        waited; raises ServingError.
        """
        if job.organisation is None:
            return
        deployment = self._config.deployment
        if job.req.api_key not in deployment.organisations:
            raise kinds.ServingError(
                kinds.ErrorKind.KEY_INVALID, 'the key was withdrawn'
            )
        age_s = self._config.age_s
        if not trust.may_run_keyed(age_s, self._cfg.key_withdrawal_s):
            raise kinds.ServingError(
                kinds.ErrorKind.KEYS_UNCONFIRMED,
                f'keys were last confirmed {age_s:.1f} s ago; come back',
                retry_after_s=ELSEWHERE_S,
            )

    def _authenticate(self, deployment, route, req):
        if route.open_access or not deployment.uses_keys:
            return None
        organisation = deployment.organisations.get(req.api_key)
        if organisation is not None:
            return organisation
        self._require_certainty()
        if req.api_key is None:
            raise kinds.ServingError(
                kinds.ErrorKind.KEY_MISSING, 'expected a bearer key'
            )
        raise kinds.ServingError(
            kinds.ErrorKind.KEY_INVALID, 'the key is not known'
        )

    def _require_certainty(self):
        if not trust.may_refuse_for_good(self._config.age_s):
            raise kinds.ServingError(
                kinds.ErrorKind.NOT_READY,
                'the configuration is not confirmed; come back',
                retry_after_s=ELSEWHERE_S,
            )

    def _pick_service(self, deployment, route):
        known = [s for s in route.services if s.name in deployment.services]
        weights = [s.weight for s in known]
        if not known or sum(weights) <= 0:
            raise kinds.ServingError(
                kinds.ErrorKind.NO_BACKEND_SERVER,
                f'route {route.name} has no service; come back later',
            )
        name = random.choices(known, weights)[0].name
        return deployment.services[name]

    async def charge(self, job):
        """Charge the request to its organisation; raises ServingError."""
        org = job.organisation
        if org is None or self._advances.charge(org, job.cost):
            return
        self._advances.await_cover(org, job.cost)
        try:
            if await self._draw(org, job):
                return
        finally:
            self._advances.await_no_longer(org, job.cost)
        wait_s = self._exchange.shortfalls_s.get(org.name, ELSEWHERE_S)
        raise kinds.ServingError(
            kinds.ErrorKind.RATE_EXCEEDED,
            f'the rate of {org.name} is used up; come back later',
            retry_after_s=max(wait_s, ELSEWHERE_S),
        )

    async def _draw(self, org, job):
        """Ask for an advance; return whether it covers the request."""
        with anyio.move_on_after(ADVANCE_TIMEOUT_S):
            while self._exchange.is_fresh:
                await self._exchange.next_answer(ADVANCE_TIMEOUT_S)
                if self._advances.charge_again(org, job.cost):
                    return True
                if org.name in self._exchange.shortfalls_s:
                    return False
        return self._advances.charge_again(org, job.cost)

    def refund(self, job):
        """Return the charge of a request that did not run."""
        if job.organisation is not None:
            self._advances.refund(job.organisation, job.cost)


def _prefix_hash(req):
    """Return a hash of the parts that other requests may share."""
    shared = req.prefix[:-1] or req.prefix
    if not shared:
        return None
    text = '/'.join(part.id for part in shared)
    return zlib.crc32(f'{req.model}/{req.adapter}/{text}'.encode())
