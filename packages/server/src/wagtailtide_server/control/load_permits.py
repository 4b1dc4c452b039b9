"""Permits to load models, within the limits of the weight store.

There is one permit for each load that the weight store allows in parallel.
Each permit has a live instance as its keeper, which lends it to an owner that
loads a model. A loan ends after a limited time, and a permit is lent no more
often than its share of the allowed loads a second.
"""

import dataclasses
import itertools

import anyio
from wagtailtide_core.membership import overlay

from wagtailtide_server.peers import rpc

LOAN_DURATION_S = 120.0
CALL_TIMEOUT_S = 1.0
# Calls to other keepers for one load; after that it waits for the next plan.
MAX_CALLS_PER_LOAD = 3

CALL_ERRORS = (rpc.CallFailed, TimeoutError, LookupError)


@dataclasses.dataclass
class _KeptPermit:
    borrowed_until: float = 0.0
    next_lend_at: float = 0.0
    loan: int = 0


@dataclasses.dataclass(frozen=True)
class Loan:
    """Loan of a permit.

    Attributes:
        permit: Number of the permit.
        keeper: Instance that lent it.
        number: Number of the loan.
        until: Time in seconds of the borrower's clock at which it ends.
    """

    permit: int
    keeper: str
    number: int
    until: float


class LoadPermits:
    """Permits that this instance keeps and borrows."""

    def __init__(self, plane, rng):
        self._plane = plane
        self._rng = rng
        self._kept = {}
        self._numbers = itertools.count(1)
        plane.peers.register('load_permit', self._serve_lend)
        plane.peers.register('load_permit_return', self._serve_return)

    def keeper_of(self, permit):
        """Return the live instance that keeps a permit."""
        live = self._plane.view.live()
        return overlay.rendezvous(f'load-permit/{permit}', live, 1)[0]

    def _limits(self):
        documents = self._plane.config.catalog.documents.values()
        stores = [document.weight_store for document in documents]
        return (
            min((s.parallel_loads for s in stores), default=1),
            min((s.loads_per_s for s in stores), default=1.0),
        )

    async def borrow(self):
        """Borrow a permit; return the Loan, or None if none is free."""
        count, _ = self._limits()
        own_name = self._plane.view.local_member.name
        keepers = {p: self.keeper_of(p) for p in range(count)}
        own = [p for p, name in keepers.items() if name == own_name]
        for permit in own:
            loan = self._lend(permit)
            if loan is not None:
                return loan
        others = [p for p in keepers if p not in own]
        for permit in self._rng.sample(
            others, min(MAX_CALLS_PER_LOAD, len(others))
        ):
            loan = await self._ask_keeper(permit, keepers[permit])
            if loan is not None:
                return loan
        return None

    async def _ask_keeper(self, permit, keeper):
        # Measured from before the call, so that the loan ends here before it
        # ends at the keeper.
        until = anyio.current_time() + LOAN_DURATION_S
        try:
            answer = await self._plane.peers.call(
                keeper, 'load_permit', {'permit': permit}, CALL_TIMEOUT_S
            )
            number = answer['loan']
        except (*CALL_ERRORS, TypeError):
            return None
        return Loan(permit, keeper, number, until) if number else None

    async def give_back(self, loan):
        """Return a permit after the load has ended."""
        if loan.keeper == self._plane.view.local_member.name:
            self._return(loan.permit, loan.number)
            return
        body = {'permit': loan.permit, 'loan': loan.number}
        try:
            await self._plane.peers.call(
                loan.keeper, 'load_permit_return', body, CALL_TIMEOUT_S
            )
        except CALL_ERRORS:
            # If the call is lost, the loan expires at the keeper.
            return

    def _lend(self, permit):
        now = anyio.current_time()
        kept = self._kept.setdefault(permit, _KeptPermit())
        if now < kept.borrowed_until or now < kept.next_lend_at:
            return None
        count, loads_per_s = self._limits()
        kept.borrowed_until = now + LOAN_DURATION_S
        kept.next_lend_at = now + count / loads_per_s
        kept.loan = next(self._numbers)
        name = self._plane.view.local_member.name
        return Loan(permit, name, kept.loan, kept.borrowed_until)

    def _return(self, permit, number):
        kept = self._kept.get(permit)
        if kept is not None and kept.loan == number:
            kept.borrowed_until = 0.0

    async def _serve_lend(self, _sender, body):
        permit = int(body['permit'])
        count, _ = self._limits()
        is_kept = self.keeper_of(permit) == self._plane.view.local_member.name
        if not 0 <= permit < count or not is_kept:
            return {'loan': None}
        loan = self._lend(permit)
        return {'loan': loan.number if loan else None}

    async def _serve_return(self, _sender, body):
        self._return(int(body['permit']), int(body['loan']))
        return {}
