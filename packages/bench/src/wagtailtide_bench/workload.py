"""Seeded requests, and the initial placement that all variants share."""

import dataclasses

from wagtailtide_core.document import schema

INTERACTIVE = schema.PriorityClass.INTERACTIVE
STANDARD = schema.PriorityClass.STANDARD
BATCH = schema.PriorityClass.BATCH
CLASSES = (INTERACTIVE, STANDARD, BATCH)
CLASS_SHARES = (0.6, 0.2, 0.2)

# Batch requests must also end before the drain timeout of a run.
DEADLINE_S = {INTERACTIVE: 60.0, STANDARD: 60.0, BATCH: 90.0}
FIRST_TOKEN_S = {INTERACTIVE: 0.76, STANDARD: 5.0}
BETWEEN_TOKENS_S = {INTERACTIVE: 0.05, STANDARD: 0.2}

POPULARITY_EXPONENT = 0.9
ADAPTER_SHARE = 0.5
PREFIXES = 3
MAX_TOKENS = 1_024


@dataclasses.dataclass(slots=True)
class Request:
    """A request and its outcome. Times are virtual times in seconds.

    Attributes:
        number: Position in the order of arrival.
        arrived_at: Time at which it reached an instance.
        organisation: Name of its organisation.
        priority_class: Its PriorityClass.
        model: Its model as ``(name, version)``.
        adapter: Its adapter as ``(model, adapter)``, or None.
        prefix: Identifier of its prompt prefix.
        prompt_tokens: Length of its prompt in tokens.
        tokens: Number of tokens that it generates.
        within_rate: Whether its organisation's rate limit covers it.
        first_token_at: Time at which the caller got the first token, or None.
        ended_at: Time at which the caller got the last token, or None.
        refusal: Why it was refused or failed, or None.
        generated: Tokens generated so far, kept when a stream is resumed.
        attempts: Number of attempts so far.
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
    first_token_at: float | None = None
    ended_at: float | None = None
    refusal: str | None = None
    generated: float = 0.0
    attempts: int = 0

    @property
    def cost(self):
        """Tokens charged: its prompt and the limit of generated tokens."""
        return self.prompt_tokens + min(MAX_TOKENS, 2 * self.tokens)

    @property
    def deadline(self):
        """Time at which the answer must be complete."""
        return self.arrived_at + DEADLINE_S[self.priority_class]

    def attained(self):
        """Return whether it was answered completely within its targets."""
        if self.ended_at is None or self.ended_at > self.deadline:
            return False
        if self.priority_class is BATCH:
            return True
        cls = self.priority_class
        first_token_s = self.first_token_at - self.arrived_at
        between_tokens_s = (self.ended_at - self.first_token_at) / max(
            self.tokens - 1, 1
        )
        return first_token_s <= FIRST_TOKEN_S[cls] and (
            between_tokens_s <= BETWEEN_TOKENS_S[cls]
        )


def model_names(deployment):
    """Return the models as ``(name, version)``, most popular first."""
    return [(f'model-{i}', 'v1') for i in range(deployment.models)]


def popularity(deployment):
    """Return the share of each model in the demand."""
    weights = [
        (i + 1) ** -POPULARITY_EXPONENT for i in range(deployment.models)
    ]
    return [value / sum(weights) for value in weights]


def organisation_names(deployment):
    """Return the names of the organisations, largest first."""
    return [f'org-{i}' for i in range(len(deployment.organisations))]


def demand_per_s(deployment, assumptions):
    """Return the ordinary demand in requests per second."""
    max_per_s = deployment.engines * assumptions.engine_requests_per_s()
    return max_per_s * assumptions.utilisation


def mean_cost(assumptions):
    """Return the mean cost of a request in tokens."""
    return assumptions.prompt_tokens + 2 * assumptions.output_tokens


def rates(deployment, assumptions):
    """Return the rate limit of each organisation in tokens per second."""
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
    """Return a random size in bytes for each model."""
    low, high = assumptions.model_bytes
    return {m: rng.randint(low, high) for m in model_names(deployment)}


def initial_placement(deployment, assumptions, sizes_bytes, shares):
    """Return the set of models on each engine for the ordinary demand.

    Each model gets one replica, largest model first. After that, the model
    with the most demand per replica gets another one, until nothing fits. A
    replica goes to the engine with the least demand and enough memory.

    Args:
        deployment: The Deployment.
        assumptions: The Assumptions.
        sizes_bytes: Size of each model in bytes.
        shares: Share of each model in the demand, in the same order.
    """
    free_bytes = [assumptions.memory_bytes] * deployment.engines
    demand_sums = [0.0] * deployment.engines
    placement = [set() for _ in range(deployment.engines)]
    replicas = dict.fromkeys(sizes_bytes, 0)
    demand = dict(zip(sizes_bytes, shares, strict=True))
    unplaced = sorted(sizes_bytes, key=lambda m: -sizes_bytes[m])
    unplaceable = set()
    while True:
        if unplaced:
            model = unplaced.pop(0)
        else:
            candidates = [m for m in sizes_bytes if m not in unplaceable]
            if not candidates:
                return placement
            model = max(candidates, key=lambda m: demand[m] / replicas[m])
        usable = [
            i
            for i in range(deployment.engines)
            if free_bytes[i] >= sizes_bytes[model]
            and model not in placement[i]
        ]
        if not usable:
            unplaceable.add(model)
            continue
        engine = min(usable, key=lambda i: (demand_sums[i], i))
        placement[engine].add(model)
        free_bytes[engine] -= sizes_bytes[model]
        replicas[model] += 1
        demand_sums[engine] += demand[model] / replicas[model]


def make_requests(deployment, assumptions, scenario, rng):
    """Return the requests of a scenario in order of arrival.

    Args:
        deployment: The Deployment.
        assumptions: The Assumptions.
        scenario: The Scenario, which changes the demand over time.
        rng: Source of random numbers, a random.Random.
    """
    models, shares = model_names(deployment), popularity(deployment)
    orgs = organisation_names(deployment)
    ordinary_per_s = demand_per_s(deployment, assumptions)
    requests, now = [], scenario.warm_up_s
    end_s = scenario.warm_up_s + scenario.duration_s
    while True:
        elapsed_s = now - scenario.warm_up_s
        org_weights = scenario.organisation_weights(deployment, elapsed_s)
        model_weights = scenario.model_weights(shares, elapsed_s)
        factor = sum(org_weights) * sum(model_weights)
        factor *= scenario.demand_factor(elapsed_s)
        now += rng.expovariate(ordinary_per_s * factor)
        if now >= end_s:
            break
        org = rng.choices(orgs, org_weights)[0]
        model = rng.choices(models, model_weights)[0]
        requests.append(
            _make_request(
                len(requests), now, org, model, deployment, assumptions, rng
            )
        )
    _mark_within_rate(requests, rates(deployment, assumptions), assumptions)
    return requests


def _make_request(number, now, org, model, deployment, assumptions, rng):
    adapter = None
    output_tokens = int(rng.gammavariate(2, assumptions.output_tokens / 2))
    if rng.random() < ADAPTER_SHARE:
        adapters_per_model = deployment.adapters // deployment.models
        adapter = (model[0], f'adapter-{rng.randrange(adapters_per_model)}')
    return Request(
        number,
        now,
        org,
        rng.choices(CLASSES, CLASS_SHARES)[0],
        model,
        adapter,
        (org, model[0], rng.randrange(PREFIXES)),
        max(20, int(rng.gammavariate(2, assumptions.prompt_tokens / 2))),
        max(5, min(MAX_TOKENS, output_tokens)),
    )


def _mark_within_rate(requests, org_rates, assumptions):
    """Mark the requests that one fleet-wide token bucket would admit."""
    levels = {o: (r * assumptions.burst_s, 0.0) for o, r in org_rates.items()}
    for req in requests:
        rate = org_rates[req.organisation]
        level, updated_at = levels[req.organisation]
        level += (req.arrived_at - updated_at) * rate
        level = min(level, rate * assumptions.burst_s)
        req.within_rate = level >= req.cost
        if req.within_rate:
            level -= req.cost
        levels[req.organisation] = (level, req.arrived_at)
