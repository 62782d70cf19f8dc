"""What every controller does as a process, whatever its fronts: once it stands, and as it goes down."""

import gc
import signal

# Objects made between collections, and collections of the young before one of all. Python's own 700, 10, 10
# stop the loop for tens of ms at a thousand playbacks; garbage in circles is little here (tasks, exceptions).
# A list of 10,000 that changes a thousand times a second has the middle ones take tens of ms all the same:
# 7 to 65 ms in 30 s of that (benchmarks.xds), 37 to 102 with 20 and 50 of 20,000.
COLLECT = (10_000, 5, 400)


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
