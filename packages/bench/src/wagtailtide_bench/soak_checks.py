"""Invariants that are checked after a soak run.

The checks use records of the callers and stand-ins, and the invariant counters
of the instances.
"""

import collections
import itertools

from wagtailtide_bench import soak_callers
from wagtailtide_bench import soak_faults

# Faults during which an instance may lack the latest document. Design section
# 4.3 gives the time limits.
STALE_CONFIG_FAULTS = (
    'pause_instance',
    'platform_outage',
    'platform_hang',
    'platform_slow',
    'platform_lost_answers',
    'platform_stale_reads',
    'cut_pair',
    'cut_platform',
    'cut_zone',
    'silent_instance',
)
CALLER_CUT_FAULTS = (
    'crash_instance',
    'pause_instance',
    'silent_instance',
)
# Faults that may make an outcome unknown. Graceful stops, drains, changes by
# operators, and faults of orders and engines may not.
OUTCOME_HIDING_FAULTS = (
    *STALE_CONFIG_FAULTS,
    'crash_instance',
    'cut_server',
    'silent_servers',
    'ledger_crash_after_apply',
    'ledger_cut_answer',
    'ledger_crossed_answer',
)
CRASHES_TO_QUARANTINE = 3
WITHDRAWAL_LIMIT_S = 6.0
STALE_WITHDRAWAL_LIMIT_S = 32.0
# Callers see times rounded to steps of the clock.
TOKEN_TOLERANCE = 1


def check_all(run):
    """Return descriptions of all violations as a list.

    Args:
        run: The finished soak_run.Run.
    """
    violations = []
    for check in (
        _check_answers,
        _check_posts,
        _check_streams_not_run,
        _check_keys_hidden,
        _check_withdrawals,
        _check_rates,
        _check_memory,
        _check_drains,
        _check_quarantine,
        _check_stops,
        _check_outcomes,
        _check_counters,
    ):
        violations += [f'{check.__name__[7:]}: {text}' for text in check(run)]
    return violations


def _check_answers(run):
    for answer in run.callers.answers:
        error = answer.error or {}
        if error.get('kind') == 'wrong_answer':
            yield f'{answer}'
        elif error.get('kind') == 'internal':
            yield f'internal error: {answer}'
        elif (
            answer.kind == 'stream'
            and answer.status == 200
            and not answer.whole
            and answer.error is None
        ):
            yield f'stream ended without end marker or error: {answer}'


def _check_posts(run):
    applied = collections.Counter()
    for ledger in run.fleet.ledgers.values():
        applied.update(record['body'] for record in ledger.applied)
    answers = collections.defaultdict(list)
    for answer in run.callers.answers:
        if answer.kind in ('keyed', 'unkeyed'):
            answers[answer.marker].append(answer)
    for marker, marked in answers.items():
        count = sum(n for body, n in applied.items() if f'"{marker}"' in body)
        if count > 1:
            yield f'{marker} was applied {count} times: {marked}'
        if any(a.whole for a in marked) and count != 1:
            yield f'{marker} was answered as done, applied {count} times'
        if len({str(a.value) for a in marked if a.whole}) > 1:
            yield f'{marker} was answered differently: {marked}'
        if count and all(a.fate == 'not_run' for a in marked):
            yield f'{marker} was refused as not_run, but was applied: {marked}'


def _check_streams_not_run(run):
    ran = set().union(*(e.ran_prompts for e in run.fleet.engines.values()))
    for answer in run.callers.answers:
        if (
            answer.kind == 'stream'
            and answer.fate == 'not_run'
            and answer.marker in ran
            # Poison prompts are sent several times under the same marker.
            and answer.marker not in run.poison_prompts
        ):
            yield f'refused as not_run, but it ran: {answer}'


def _check_keys_hidden(run):
    secrets = [
        key.rpartition('_')[2]
        for api_keys in run.api_keys.values()
        for key in api_keys
    ]
    for name, server in run.servers().items():
        for record in server.recorder.requests:
            text = str(record)
            if any(secret in text for secret in secrets):
                yield f'{name} got a key: {record}'


def _check_withdrawals(run):
    for withdrawal in run.faults.withdrawals:
        until = withdrawal.until or float('inf')
        for answer in run.callers.answers:
            after_s = answer.sent_at - withdrawal.at
            if (
                answer.key != withdrawal.key
                or after_s < WITHDRAWAL_LIMIT_S
                or not answer.whole
                or answer.ended_at >= until
            ):
                continue
            excused = run.faults.any_overlaps(
                withdrawal.at - 5.0, answer.sent_at, STALE_CONFIG_FAULTS
            )
            if not excused or after_s > STALE_WITHDRAWAL_LIMIT_S:
                yield f'withdrawn {after_s:.1f} s before: {answer}'


def _check_rates(run):
    orgs = {org.name: org for org in run.fleet.document.organisations}
    for name, org in orgs.items():
        admitted = sorted(
            (a.sent_at, a.ended_at, a.tokens)
            for a in run.callers.answers
            if a.organisation == name and a.whole
        )
        for index, (begin, _, _) in enumerate(admitted):
            # Answers that ended within the window were admitted within it.
            ends = sorted((end, count) for _, end, count in admitted[index:])
            sums = itertools.accumulate(count for _, count in ends)
            for (end, _), total in zip(ends, sums, strict=True):
                bound = org.burst_tokens + org.rate_tokens_per_s * (
                    end - begin
                )
                if total > bound + TOKEN_TOLERANCE:
                    yield (
                        f'{name} got {total} tokens from {begin:.2f} to '
                        f'{end:.2f} s, bound {bound:.0f}'
                    )
                    return


def _check_memory(run):
    for name, engine in run.fleet.engines.items():
        counts = engine.as_record()['counts']
        if counts.get('overcommitted'):
            yield f'{name}: {counts}'


def _check_drains(run):
    for drain in run.faults.drains:
        excused = run.faults.any_overlaps(
            drain.since - soak_faults.DRAIN_NOTICE_S - 5.0,
            drain.until,
            (
                *STALE_CONFIG_FAULTS,
                'cut_server',
                'crash_instance',
                'stop_instance',
            ),
        )
        if drain.requests and not excused:
            yield f'{drain.server} was draining, got {drain.requests[:2]}'


def _check_quarantine(run):
    crashes = collections.defaultdict(list)
    for engine in run.fleet.engines.values():
        for at, prompt in engine.prompt_crashes:
            crashes[prompt].append(at)
    others = (
        *STALE_CONFIG_FAULTS,
        'cut_server',
        'crash_instance',
        'stop_instance',
    )
    for prompt, times in crashes.items():
        excused = run.faults.any_overlaps(
            min(times) - 5.0, max(times), ('engine_crash', *others)
        )
        if not excused and len(times) > CRASHES_TO_QUARANTINE:
            yield f'{prompt} crashed engines at {times}'


def _check_stops(run):
    for name, at in run.faults.stops:
        for answer in run.callers.answers:
            in_flight = (
                answer.instance == name
                and answer.broken is not None
                and at - soak_callers.CALL_TIMEOUT_S < answer.sent_at < at
                and answer.broken_at > at
            )
            if in_flight and not run.faults.any_overlaps(
                answer.sent_at, answer.broken_at, CALLER_CUT_FAULTS
            ):
                yield f'interrupted by a planned stop at {at:.2f}: {answer}'


def _check_outcomes(run):
    """Check that outcomes are reported as unknown only after a fault."""
    first_sent_at = {}
    for answer in run.callers.answers:
        first_sent_at.setdefault(answer.marker, answer.sent_at)
        if (answer.error or {}).get('kind') != 'outcome_unknown':
            continue
        since = first_sent_at[answer.marker] - 2.0
        if not run.faults.any_overlaps(
            since, answer.ended_at, OUTCOME_HIDING_FAULTS
        ):
            yield f'no fault since {since:.2f}: {answer}'


def _check_counters(run):
    for node in run.fleet.nodes.values():
        for number, inst in enumerate(node.instances):
            if inst.invariants.violated:
                violated = dict(inst.invariants.violated)
                yield f'{node.name} process {number}: {violated}'
