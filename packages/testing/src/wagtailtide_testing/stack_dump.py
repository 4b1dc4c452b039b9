"""Print the stacks of all threads and tasks of a test process on a signal.

`tools/run_tests.py` loads `StackDump` in each test process, and sends the
signal to those that exceed their time limit.
"""

import faulthandler
import os
import signal
import sys
import traceback

import nose2.events
import trio

DUMP_SIGNAL = signal.SIGUSR1


class StackDump(nose2.events.Plugin):
    """Plugin that makes the process end with a dump on `DUMP_SIGNAL`."""

    alwaysOn = True  # noqa: N815 (name that nose2 expects)

    def __init__(self):
        signal.signal(DUMP_SIGNAL, _end_with_task_stacks)
        # Python's handler runs only when the main thread executes Python
        # code. faulthandler prints the threads in any case, before that.
        faulthandler.register(DUMP_SIGNAL, all_threads=True, chain=True)


def _end_with_task_stacks(_signal_number, _frame):
    try:
        sys.stderr.write(format_task_stacks())
        sys.stderr.flush()
    finally:
        os._exit(1)


def format_task_stacks():
    """Return the stacks of the tasks of the running trio loop, if any."""
    try:
        root = trio.lowlevel.current_root_task()
    except RuntimeError:
        return 'no event loop is running in the main thread\n'
    lines = []
    pending = [root]
    while pending:
        task = pending.pop()
        lines.append(f'Task {task.name}:\n')
        summary = traceback.StackSummary.extract(task.iter_await_frames())
        lines += summary.format()
        for nursery in task.child_nurseries:
            pending += nursery.child_tasks
    return ''.join(lines)
