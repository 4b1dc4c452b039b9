"""Budget of loss of a played day: where the worth that is not earned goes.

Reads the report that the users' bench writes with `--report`.
"""

import dataclasses
import json
import pathlib
from typing import Annotated

import cappa

# Lines that take less than this of the day's worth are left out: half of what
# the bench rounds a day's worth to.
LEAST = 0.0005


@dataclasses.dataclass(frozen=True, slots=True)
class Loss:
    """A line of the budget.

    Attributes:
        cause: What takes the worth.
        worth: How much of the day's worth, of 1.
    """

    cause: str
    worth: float


@dataclasses.dataclass(frozen=True, slots=True)
class RouteLoss:
    """What became of one kind of request.

    Attributes:
        name: Its name.
        owed: Requests that were owed an answer.
        late: Requests that were answered late, or with a pause.
        refused: Requests that ended refused.
        failed: Requests that failed.
        worth: Part of its payoff that was earned.
    """

    name: str
    owed: int
    late: int
    refused: int
    failed: int
    worth: float


class BadReport(Exception):
    """A file that is no report of a played day."""


def losses(report):
    """Return the Losses of a report, the largest first.

    Args:
        report: The report as read from JSON.

    Raises:
        BadReport: A field is missing or of another type.
    """
    try:
        rows = [
            Loss(f'not earned, {name}', weight * (1.0 - value))
            for name, weight, value in report['parts']
        ]
        rows += [Loss(name, price) for name, _, price in report['prices']]
    except (KeyError, TypeError, ValueError) as exc:
        raise BadReport(
            'expected the parts and prices of a day, each a list of a name '
            f'and two numbers; got {exc!r}; write one with --report'
        ) from exc
    rows.sort(key=lambda row: (-row.worth, row.cause))
    return [row for row in rows if row.worth >= LEAST]


def route_losses(report):
    """Return the RouteLosses of a report, the one of most requests first.

    Raises:
        BadReport: A field is missing or of another type.
    """
    try:
        rows = [
            RouteLoss(
                row['name'],
                row['n'] - row['not_owed'],
                row['late'],
                row['refused'],
                row['failed'],
                row['worth'],
            )
            for row in report['classes']
        ]
    except (KeyError, TypeError) as exc:
        raise BadReport(f'expected classes with counts, got {exc!r}') from exc
    return sorted(rows, key=lambda row: -row.owed)


def format_budget(report):
    """Return the budget of a report as lines of text."""
    found = losses(report)
    total = sum(row.worth for row in found)
    lines = [f'worth not earned: {total:.3f}']
    lines += [f'  {row.worth:.4f}  {row.cause}' for row in found]
    lines.append('request                 owed   late refused failed  worth')
    lines += [
        f'{row.name:<22} {row.owed:>5} {row.late:>6} {row.refused:>7} '
        f'{row.failed:>6}  {row.worth:.3f}'
        for row in route_losses(report)
    ]
    return lines


@cappa.command(name='losses')
@dataclasses.dataclass
class Arguments:
    """Print where the worth goes that a played day does not earn.

    Attributes:
        report: File that the users' bench wrote with `--report`.
    """

    report: Annotated[pathlib.Path, cappa.Arg()]


def main():
    """Print the budget of loss of a report."""
    args = cappa.parse(Arguments)
    try:
        report = json.loads(args.report.read_text(encoding='utf-8'))
        lines = format_budget(report)
    except (OSError, ValueError, BadReport) as exc:
        raise SystemExit(f'{args.report}: {exc}') from exc
    print('\n'.join(lines))


if __name__ == '__main__':
    main()
