"""How the file descriptors of a controller are divided between viewers, streamers and its own needs."""

from dataclasses import dataclass

# Descriptors in use besides the connections to viewers and streamers: standard streams (3), event loop and
# its wake-up pair (3), listener, control feed at its old and new address (2), the configuration while it is
# read, a connection while it is accepted and refused, one spare.
RESERVED_DESCRIPTORS = 12
MIN_CONNECTIONS = 2


@dataclass(frozen=True)
class Descriptors:
    """The maximum number of connections to viewers and to streamers."""

    max_viewer_connections: int
    max_streamer_connections: int


def divide_descriptors(limit):
    """Returns the Descriptors for a process limit of `limit` descriptors.

    Well-behaved viewers hold at most a third of the limit (PROTOCOL), and misbehaving ones come on top of
    that, so viewers may use half of what is not reserved.
    """
    half = max(MIN_CONNECTIONS, (limit - RESERVED_DESCRIPTORS) // 2)
    return Descriptors(max_viewer_connections=half, max_streamer_connections=half)
