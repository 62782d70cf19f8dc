"""Process-level tasks of every controller: garbage collection, signals at shutdown, resource utilisation.

Called by the services (`terndrift.service`, `terndrift.platform.service`), whatever front ends they run.
"""

import gc
import os
import resource
import signal

# Thresholds for gc.set_threshold. Python's defaults block the event loop for tens of ms at a thousand
# playbacks, while there is little cyclic garbage (tasks, exceptions).
GC_THRESHOLDS = (10_000, 5, 400)
FD_DIRECTORY = "/proc/self/fd"  # one entry for each open file descriptor; Linux only


def tune_garbage_collector():
    """Tune the garbage collector at the end of start-up.

    The objects that exist then live as long as the process. They are excluded from collection, so that
    scanning them does not block the event loop.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)


def ignore_signals(loop, signal_numbers):
    """Ignore the given signals for the rest of the shutdown; they must have handlers on `loop`.

    Event loop and interpreter restore the default action of handled signals as they close, so that a further
    signal would end the process and be reported as the cause of its exit. The signals are blocked meanwhile,
    as the default action applies from the removal of the handler until the signal is ignored.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, signal_numbers)
    for number in signal_numbers:
        loop.remove_signal_handler(number)
        signal.signal(number, signal.SIG_IGN)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, signal_numbers)


def resource_utilisation():
    """Return (share of file descriptors, share of memory) in use, each from 0 to 1; 0 if there is no limit.

    The memory is that of the process's control group.
    """
    soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    has_limit = soft_limit not in (0, resource.RLIM_INFINITY) and os.path.isdir(FD_DIRECTORY)
    return len(os.listdir(FD_DIRECTORY)) / soft_limit if has_limit else 0.0, _memory_utilisation()


def _memory_utilisation():
    """Return the utilisation of the control group (cgroup v2) that is mounted as the process's own."""
    try:
        with (
            open("/sys/fs/cgroup/memory.max", encoding="ascii") as limit_file,
            open("/sys/fs/cgroup/memory.current", encoding="ascii") as usage_file,
        ):
            return int(usage_file.read()) / int(limit_file.read())
    except (OSError, ValueError):  # no control group, or its limit is "max" (none)
        return 0.0
