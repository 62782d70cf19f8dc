"""What every controller does as a process, whatever its fronts: once it stands, and as it goes down."""

import gc
import os
import resource
import signal

# Objects made between collections, and collections of the young before one of all. Python's own 700, 10, 10
# stop the loop for tens of ms at a thousand playbacks; garbage in circles is little here (tasks, exceptions).
# A list of 10,000 that changes a thousand times a second has the middle ones take tens of ms all the same:
# 7 to 65 ms in 30 s of that (benchmarks.xds), 37 to 102 with 20 and 50 of 20,000.
COLLECT = (10_000, 5, 400)
FILES = "/proc/self/fd"  # one name for each descriptor in use; Linux has it


def stands():
    """What stands now stands for good: the collector need not go through it again and hold the loop up."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(*COLLECT)


def goes_down(loop, numbers):
    """A signal that comes while the process goes down must not be told as its death by that signal: loop and
    interpreter would put back the system's own way with it as they close, unless it is ignored. They wait
    meanwhile: between the two calls the system's own way holds."""
    signal.pthread_sigmask(signal.SIG_BLOCK, numbers)
    for number in numbers:
        loop.remove_signal_handler(number)
        signal.signal(number, signal.SIG_IGN)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, numbers)


def used():
    """(part of its descriptors, part of its memory) that this process, or what bounds it, has in use; 0 where
    there is no bound."""
    most, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    bounded = most not in (0, resource.RLIM_INFINITY) and os.path.isdir(FILES)
    return len(os.listdir(FILES)) / most if bounded else 0.0, _memory()


def _memory():
    """Of the control group (cgroup v2) that it sees as its own."""
    try:
        with (
            open("/sys/fs/cgroup/memory.max", encoding="ascii") as most,
            open("/sys/fs/cgroup/memory.current", encoding="ascii") as now,
        ):
            return int(now.read()) / int(most.read())
    except (OSError, ValueError):  # none, or "max"
        return 0.0
