"""A decoded request of a caller."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class PromptSegment:
    """A segment of a prompt that other requests may share.

    Attributes:
        id: Identifier, the same in all requests with this segment.
        tokens: Number of tokens in the segment.
    """

    id: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class CallerRequest:
    """One attempt of a caller's request.

    Attributes:
        attempt_id: Identifier of this attempt.
        method: HTTP method.
        target: Path and query as received.
        host: Host header in lower case and without a port.
        path: Path without the query.
        headers: Headers to pass on unchanged, as pairs of name and value.
        body: The whole body.
        deadline_s: Seconds until the caller gives up, or None.
        api_key: Key of the caller, or None.
        model: Name of the model, or None.
        adapter: Name of the adapter, or None.
        prompt_tokens: Number of tokens in the prompt.
        max_output_tokens: Largest number of tokens to generate.
        has_token_counts: Whether the request states its number of tokens.
        prefix: Segments of the prompt, in order.
        resume_after: Identifier of the last event that the caller received, or
            None.
        resumes: Identifier of the attempt that brought the first event of the
            stream that this one resumes, or None.
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
    has_token_counts: bool
    prefix: tuple[PromptSegment, ...]
    resume_after: str | None
    resumes: str | None

    @property
    def shared_parts(self):
        """Ids of the segments that other requests may share, in order."""
        return tuple(segment.id for segment in self.prefix[:-1])

    @property
    def tokens(self):
        """Largest number of tokens the request uses, or None if not stated."""
        if not self.has_token_counts:
            return None
        return self.prompt_tokens + self.max_output_tokens
