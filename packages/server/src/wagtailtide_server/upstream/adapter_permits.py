"""Permits for requests that make an engine fetch an adapter."""

import anyio


class AdapterPermits:
    """This instance's share of the deployment's parallel adapter fetches.

    Beyond a certain number of parallel fetches in the whole deployment each
    fetch takes proportionally longer, so the instances divide that number
    among themselves.
    """

    def __init__(self):
        self._limiter = anyio.CapacityLimiter(1)

    @property
    def in_use(self):
        """Number of permits that are held."""
        return self._limiter.borrowed_tokens

    def set_share(self, parallel_fetches, live_instances):
        """Set this instance's number of permits, at least one.

        Args:
            parallel_fetches: Limit for the whole deployment.
            live_instances: Instances that share them.
        """
        share = max(1, parallel_fetches // max(1, live_instances))
        if share != self._limiter.total_tokens:
            self._limiter.total_tokens = share

    def try_acquire(self):
        """Take a permit if one is free.

        Returns:
            A function that releases the permit, or None.
        """
        holder = object()
        try:
            self._limiter.acquire_on_behalf_of_nowait(holder)
        except anyio.WouldBlock:
            return None
        return self._make_release(holder)

    async def acquire(self):
        """Wait for a permit.

        Returns:
            A function that releases the permit.
        """
        holder = object()
        await self._limiter.acquire_on_behalf_of(holder)
        return self._make_release(holder)

    def _make_release(self, holder):
        def release():
            nonlocal holder
            if holder is not None:
                self._limiter.release_on_behalf_of(holder)
                holder = None

        return release
