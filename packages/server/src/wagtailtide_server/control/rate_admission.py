"""Admit requests within the organisations' rates, with grants from peers."""

import collections
import logging
import random

import anyio
from wagtailtide_core.errors import kinds
from wagtailtide_core.leases import roster as rosters
from wagtailtide_core.rates import bucket
from wagtailtide_core.rates import grants as rate_grants
from wagtailtide_core.rates import limiter as limiters

from wagtailtide_server.control import roster

LOG = logging.getLogger(__name__)

GRANT_TIMEOUT_S = 0.25
LEAVE_TIMEOUT_S = 5.0


class RateAdmission:
    """Admits requests within the organisations' rates.

    Attributes:
        limiter: RateLimiter.
        keeper: RosterKeeper.
        refused: Number of refusals by organisation.
        refused_within_rate: Those made although the instance's share of the
            rate alone would have allowed the request.
        used_tokens: True token counts of settled requests by organisation.
    """

    def __init__(self, plane, store, session, *, rng=None, invariants=None):
        rng = rng or random.Random(session.boot)
        self.limiter = limiters.RateLimiter(invariants)
        self.keeper = roster.RosterKeeper(
            plane, store, session, self.limiter, rng, self._configure
        )
        self.refused = collections.Counter()
        self.refused_within_rate = collections.Counter()
        self.used_tokens = collections.Counter()
        self._plane, self._session = plane, session
        self._catalog, self._references = None, {}
        self._calls = 0
        plane.peers.register('grant', self._serve_grant)
        plane.peers.register('level', self._serve_level)

    async def run(self, task_status=anyio.TASK_STATUS_IGNORED):
        """Renew the session and maintain the slots until cancelled."""
        async with anyio.create_task_group() as tasks:
            await tasks.start(self._session.run)
            tasks.start_soon(self.keeper.run)
            task_status.started()

    async def leave(self):
        """Free the slots and delete the session."""
        with anyio.move_on_after(LEAVE_TIMEOUT_S, shield=True):
            await self.keeper.leave()
            await self._session.leave()

    async def admit(self, org_name, tokens, now):
        """Charge an estimate; use grants if this instance has too few tokens.

        Args:
            org_name: Name of the organisation.
            tokens: Estimate for the prompt plus the largest completion.
            now: Time of the event loop's clock in seconds.

        Returns:
            limiter.Charge, which the caller has to settle.

        Raises:
            ServingError: RATE_EXCEEDED or REQUEST_ABOVE_BURST.
        """
        self._configure(now)
        org = self._plane.config.catalog.organisations[org_name]
        if tokens > org.burst_tokens:
            raise kinds.ServingError(
                kinds.ErrorKind.REQUEST_ABOVE_BURST,
                f'expected at most {org.burst_tokens} tokens in one request, '
                f'got {tokens}; request fewer tokens',
            )
        result = self.limiter.admit(org_name, tokens, now)
        if isinstance(result, limiters.Shortfall):
            result = await self._admit_with_grants(org_name, tokens, result)
        now = anyio.current_time()
        if isinstance(result, limiters.Charge):
            self._reference(org, now).charge(result.id, tokens, now)
            return result
        self._count_refusal(org, tokens, now)
        raise kinds.ServingError(
            kinds.ErrorKind.RATE_EXCEEDED,
            f'expected at most {org.rate_tokens_per_s:g} tokens a second once '
            f'the burst is used up, got a request for {result.tokens} tokens '
            'more than are available; retry later',
            retry_after_s=result.retry_after_s,
        )

    def settle(self, charge, true_tokens, now):
        """Correct a charge to the true count; a second call has no effect."""
        self.limiter.settle(charge, true_tokens, now)
        self.used_tokens[charge.org] += true_tokens
        reference = self._references.get(charge.org)
        if reference is not None:
            reference.settle(charge.id, true_tokens, now)

    def organisations(self, now):
        """Return use and share of each organisation on this instance."""
        self._configure(now)
        return {
            name: {
                'share': self.limiter.share(name),
                'available_tokens': int(self.limiter.level(name, now)),
                'used_tokens': self.used_tokens[name],
                'refused': self.refused[name],
                'refused_within_rate': self.refused_within_rate[name],
            }
            for name in self._catalog.organisations
        }

    def dump(self):
        """Return the state for the admin dump."""
        return {
            'slots': len(self.limiter.held),
            'valid_until': self.limiter.valid_until,
            'refused': dict(self.refused),
            'refused_within_rate': dict(self.refused_within_rate),
        }

    async def _admit_with_grants(self, org_name, tokens, result):
        self._calls += 1
        names = rate_grants.choose_donors(
            self._donors(), self._plane.view.local_member.zone, self._calls
        )
        levels, received = {}, []
        async with anyio.create_task_group() as tasks:
            for name in names:
                tasks.start_soon(self._fetch_level, name, org_name, levels)
        plan = rate_grants.split_shortfall(levels, result.tokens)
        if not plan:
            return result
        async with anyio.create_task_group() as tasks:
            for name, wanted in plan:
                tasks.start_soon(
                    self._request_grant, name, org_name, wanted, received
                )
        result = self.limiter.admit_with_grants(
            org_name, tokens, tuple(received), anyio.current_time()
        )
        used = result.granted if isinstance(result, limiters.Charge) else 0
        now = anyio.current_time()
        self.limiter.credit_unused_grants(org_name, tuple(received), used, now)
        return result

    def _donors(self):
        # An instance that has not read the roster yet may ask any peer.
        holders = {
            rosters.session_name(holder)
            for holder in self.keeper.roster.counts()
        }
        return sorted(
            (name, member.zone)
            for name, member in self._plane.view.live().items()
            if name != self._session.name and (not holders or name in holders)
        )

    async def _fetch_level(self, name, org_name, levels):
        try:
            reply = await self._plane.peers.call(
                name, 'level', {'org': org_name}, GRANT_TIMEOUT_S
            )
            levels[name] = int(reply['tokens'])
        except Exception as exc:
            LOG.debug(
                'rate level not received',
                extra={'peer': name, 'error': repr(exc)},
            )

    async def _request_grant(self, name, org_name, tokens, received):
        sent_at = anyio.current_time()
        self._calls += 1
        key = (name, self._calls)
        body = {'org': org_name, 'tokens': tokens}
        try:
            reply = await self._plane.peers.call(
                name, 'grant', body, GRANT_TIMEOUT_S
            )
            given = min(int(reply['tokens']), tokens)
        except Exception as exc:
            # Without a valid reply there is no grant, whatever the cause.
            LOG.debug(
                'grant not received', extra={'peer': name, 'error': repr(exc)}
            )
            return
        if given > 0:
            received.append(rate_grants.receive(key, given, sent_at))

    async def _serve_level(self, _caller, body):
        now = anyio.current_time()
        self._configure(now)
        org_name = str(body['org'])
        if org_name not in self._catalog.organisations:
            return {'tokens': 0}
        return {'tokens': max(0, int(self.limiter.level(org_name, now)))}

    async def _serve_grant(self, _caller, body):
        now = anyio.current_time()
        self._configure(now)
        given = self.limiter.grant(
            str(body['org']),
            int(body['tokens']),
            now,
            rate_grants.GRANT_VALIDITY_S,
        )
        return {'tokens': given}

    def _configure(self, now):
        catalog = self._plane.config.catalog
        if catalog is not self._catalog:
            self._catalog = catalog
            self.limiter.configure(catalog.organisations, now)
            self._references = {
                name: reference
                for name, reference in self._references.items()
                if name in catalog.organisations
            }
        self.keeper.apply(now)

    def _reference(self, org, now):
        """Return the bucket of what may be admitted without grants."""
        reference = self._references.get(org.name)
        if reference is None:
            reference = self._references[org.name] = bucket.TokenBucket(now)
        share = self.limiter.share(org.name)
        rate = org.rate_tokens_per_s * share
        if (rate, org.burst_tokens * share) != (
            reference.rate,
            reference.capacity,
        ):
            reference.resize(rate, org.burst_tokens * share, now)
        return reference

    def _count_refusal(self, org, tokens, now):
        self.refused[org.name] += 1
        reference = self._reference(org, now)
        reference.advance(now)
        if reference.level >= tokens:
            self.refused_within_rate[org.name] += 1
