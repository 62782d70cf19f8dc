"""Which priorities of an assignment are in use. Decides; free of I/O and clocks.

Envoy sends to priority 0 alone while enough of it is healthy, and to the next ones as it is not. Here the
next tier comes into use, beside those before it, once these have too few ready streamers; what is not in
use is listed as draining: what plays there goes on, nothing new is sent. Guards against spares that are
filled on an ordinary day; could do harm where the spares are needed for their links before any streamer
is lost.
"""

# Envoy's overprovisioning factor (1.4, its default): a tier of which 1/1.4 is ready carries all it is for.
ENOUGH = 1.4


def open_tiers(found):
    """The highest priority in use, of [(Line, priority, facts)]; priorities need not be in a row."""
    total, ready = {}, {}
    for line, priority, _ in found:
        total[priority] = total.get(priority, 0) + 1
        ready[priority] = ready.get(priority, 0) + (line.standing == "ready")
    health = 0.0
    for priority in sorted(total):
        health += ENOUGH * ready[priority] / total[priority]
        if health >= 1:
            return priority
    return max(total, default=0)
