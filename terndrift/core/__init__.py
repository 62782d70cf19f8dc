"""Session core: runs the decision logic, carries out its decisions and owns the one answer to each playback.

The protocol front ends and the transports to streamers call it through `runner.CoreRunner`, on one event
loop. It knows no protocol, and `core.Core` reads no clock: every call passes the time in whole nanoseconds.
It must never block.
"""
