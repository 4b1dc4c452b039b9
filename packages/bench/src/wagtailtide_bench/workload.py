"""Seeded arrivals and the placement that every variant starts from."""

import dataclasses

from wagtailtide_core.document import schema

INTERACTIVE = schema.PriorityClass.INTERACTIVE
STANDARD = schema.PriorityClass.STANDARD
BATCH = schema.PriorityClass.BATCH
CLASSES = (INTERACTIVE, STANDARD, BATCH)
CLASS_SHARES = (0.6, 0.2, 0.2)

# Short runs need a batch deadline that falls within them.
DEADLINE_S = {INTERACTIVE: 60.0, STANDARD: 60.0, BATCH: 90.0}
FIRST_TOKEN_S = {INTERACTIVE: 0.76, STANDARD: 5.0}
BETWEEN_TOKENS_S = {INTERACTIVE: 0.05, STANDARD: 0.2}

POPULARITY_EXPONENT = 0.9
ADAPTER_SHARE = 0.5
PREFIXES = 3
MAX_TOKENS = 1_024


@dataclasses.dataclass(slots=True)
class Request:
    """A request and what became of it.

    Attributes:
        number: Place in the order of arrival.
        arrived_at: Time at which it reached the entry instance.
        organisation: Its organisation.
        priority_class: Its class.
        model: Its model as ``(name, version)``.
        adapter: Its adapter as ``(model, adapter)``, or None.
        prefix: Its prompt prefix.
        prompt_tokens: Length of its prompt.
        tokens: Tokens that it generates.
        within_rate: Whether its organisation was within its rate.
        first_at: Time of its first token, or None.
        ended_at: Time of its last token, or None.
        refused: Why it was refused, or None.
        done: Tokens generated so far, kept when a stream is resumed.
        attempts: Attempts made.
    """

    number: int
    arrived_at: float
    organisation: str
    priority_class: schema.PriorityClass
    model: tuple[str, str]
    adapter: tuple[str, str] | None
    prefix: tuple[str, str, int]
    prompt_tokens: int
    tokens: int
    within_rate: bool = True
    first_at: float | None = None
    ended_at: float | None = None
    refused: str | None = None
    done: float = 0.0
    attempts: int = 0

    @property
    def cost(self):
        """Tokens charged: the prompt and the most that it may generate."""
        return self.prompt_tokens + min(MAX_TOKENS, 2 * self.tokens)

    @property
    def deadline(self):
        """Time at which the answer must be whole."""
        return self.arrived_at + DEADLINE_S[self.priority_class]

    def attained(self):
        """Tell whether it was answered whole within its targets."""
        if self.ended_at is None or self.ended_at > self.deadline:
            return False
        if self.priority_class is BATCH:
            return True
        cls = self.priority_class
        first_s = self.first_at - self.arrived_at
        between_s = (self.ended_at - self.first_at) / max(self.tokens - 1, 1)
        return first_s <= FIRST_TOKEN_S[cls] and (
            between_s <= BETWEEN_TOKENS_S[cls]
        )


def model_names(deployment):
    """Return the models, most popular first."""
    return [(f'model-{i}', 'v1') for i in range(deployment.models)]


def popularity(deployment):
    """Return the share of each model in the demand."""
    raw = [(i + 1) ** -POPULARITY_EXPONENT for i in range(deployment.models)]
    return [value / sum(raw) for value in raw]


def organisation_names(deployment):
    """Return the organisations, largest first."""
    return [f'org-{i}' for i in range(len(deployment.organisations))]


def demand_per_s(deployment, assumptions):
    """Return the ordinary demand in requests a second."""
    most = deployment.engines * assumptions.engine_requests_per_s()
    return most * assumptions.utilisation


def mean_cost(assumptions):
    """Return the mean cost of a request in tokens."""
    return assumptions.prompt_tokens + 2 * assumptions.tokens


def rates(deployment, assumptions):
    """Return the rate of each organisation in tokens a second."""
    total = demand_per_s(deployment, assumptions) * mean_cost(assumptions)
    return {
        name: total * share * assumptions.rate_margin
        for name, share in zip(
            organisation_names(deployment),
            deployment.organisations,
            strict=True,
        )
    }


def model_sizes(deployment, assumptions, rng):
    """Return the size of each model."""
    low, high = assumptions.model_bytes
    return {m: rng.randint(low, high) for m in model_names(deployment)}


def initial_placement(deployment, assumptions, sizes_, shares):
    """Return the models on each engine for the ordinary demand.

    Every model gets one copy, then the model with the most demand for each
    copy gets another, on the engine with the least demand that has room.
    """
    free = [assumptions.memory_bytes] * deployment.engines
    load = [0.0] * deployment.engines
    placed = [set() for _ in range(deployment.engines)]
    copies = dict.fromkeys(sizes_, 0)
    demand = dict(zip(sizes_, shares, strict=True))
    waiting = sorted(sizes_, key=lambda m: -sizes_[m])
    blocked = set()
    while True:
        if waiting:
            model = waiting.pop(0)
        else:
            rest = [m for m in sizes_ if m not in blocked]
            if not rest:
                return placed
            model = max(rest, key=lambda m: demand[m] / copies[m])
        usable = [
            i
            for i in range(deployment.engines)
            if free[i] >= sizes_[model] and model not in placed[i]
        ]
        if not usable:
            blocked.add(model)
            continue
        engine = min(usable, key=lambda i: (load[i], i))
        placed[engine].add(model)
        free[engine] -= sizes_[model]
        copies[model] += 1
        load[engine] += demand[model] / copies[model]


def make_requests(deployment, assumptions, scene, rng):
    """Return the arrivals of a scene in order of time.

    Args:
        deployment: The Deployment.
        assumptions: The Assumptions.
        scene: The Scene, which changes the demand over time.
        rng: Source of random numbers, a random.Random.
    """
    models, shares = model_names(deployment), popularity(deployment)
    orgs = organisation_names(deployment)
    base = demand_per_s(deployment, assumptions)
    found, now = [], scene.warm_up_s
    end_s = scene.warm_up_s + scene.duration_s
    while True:
        elapsed = now - scene.warm_up_s
        org_weights = scene.organisation_weights(deployment, elapsed)
        model_weights = scene.model_weights(shares, elapsed)
        factor = sum(org_weights) * sum(model_weights)
        factor *= scene.demand_factor(elapsed)
        now += rng.expovariate(base * factor)
        if now >= end_s:
            break
        org = rng.choices(orgs, org_weights)[0]
        model = rng.choices(models, model_weights)[0]
        found.append(
            _make(len(found), now, org, model, deployment, assumptions, rng)
        )
    _mark_within_rate(found, rates(deployment, assumptions), assumptions)
    return found


def _make(number, now, org, model, deployment, assumptions, rng):
    adapter = None
    drawn = int(rng.gammavariate(2, assumptions.tokens / 2))
    if rng.random() < ADAPTER_SHARE:
        own = deployment.adapters // deployment.models
        adapter = (model[0], f'adapter-{rng.randrange(own)}')
    return Request(
        number,
        now,
        org,
        rng.choices(CLASSES, CLASS_SHARES)[0],
        model,
        adapter,
        (org, model[0], rng.randrange(PREFIXES)),
        max(20, int(rng.gammavariate(2, assumptions.prompt_tokens / 2))),
        max(5, min(MAX_TOKENS, drawn)),
    )


def _mark_within_rate(requests, org_rates, assumptions):
    """Mark the requests that one bucket for the whole fleet would admit."""
    levels = {o: (r * assumptions.burst_s, 0.0) for o, r in org_rates.items()}
    for req in requests:
        rate = org_rates[req.organisation]
        level, at = levels[req.organisation]
        level += (req.arrived_at - at) * rate
        level = min(level, rate * assumptions.burst_s)
        req.within_rate = level >= req.cost
        if req.within_rate:
            level -= req.cost
        levels[req.organisation] = (level, req.arrived_at)
