"""What an instance that is stopping still begins.

Its balancer sends callers to others within seconds, and those that come
meanwhile can return there. A request that the end of the process would cut is
therefore not sent to a server any more.
"""

# New requests are accepted for this long after the stop signal. Later ones
# might not finish before the process is killed.
ACCEPT_AFTER_S = 2.8

# Time reserved between the end of the graceful stop and the kill.
MARGIN_S = 0.4

# Most requests take at most the mean time by this factor, and this many
# seconds in the queue of a busy server.
SERVICE_FACTOR = 1.5
QUEUE_S = 1.0


def can_finish(elapsed_s, stop_s, service_s):
    """Return whether a request that is sent now ends before the process.

    Args:
        elapsed_s: Seconds since the stop signal.
        stop_s: Seconds from the signal to the kill.
        service_s: Mean time in seconds that such a request takes.
    """
    needed_s = SERVICE_FACTOR * service_s + QUEUE_S
    return elapsed_s + needed_s <= stop_s - MARGIN_S
