"""A caller's request as the gateway understands it."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt that other requests may share."""

    id: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class CallerRequest:
    """One attempt of a caller.

    Attributes:
        attempt_id: Identifier of this attempt.
        method: HTTP method.
        target: Path and query as sent.
        host: Host header, lower case, without a port.
        path: Path without the query.
        headers: Headers that are passed on unchanged, as name and value.
        body: Whole body.
        deadline_s: Seconds that the caller waits, or None.
        api_key: Key presented, or None.
        model: Name of the model, or None.
        adapter: Name of the adapter, or None.
        prompt_tokens: Tokens of the prompt.
        max_output_tokens: Largest number of tokens to generate.
        states_tokens: Whether the request states its tokens.
        prefix: Parts of the prompt in order.
        resume_after: Identifier of the last event that the caller has.
    """

    attempt_id: str
    method: bytes
    target: bytes
    host: str
    path: str
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    deadline_s: float | None
    api_key: str | None
    model: str | None
    adapter: str | None
    prompt_tokens: int
    max_output_tokens: int
    states_tokens: bool
    prefix: tuple[PromptPart, ...]
    resume_after: str | None

    @property
    def tokens(self):
        """Tokens that the request may take, or None if it states none."""
        if not self.states_tokens:
            return None
        return self.prompt_tokens + self.max_output_tokens
