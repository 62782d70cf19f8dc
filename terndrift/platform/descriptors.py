"""How the descriptors that a controller may hold are shared between viewers, streamers and the rest."""

from dataclasses import dataclass

# Held or wanted at any time besides connections to viewers and streamers: standard streams (3), event loop
# and its wake-up pair (3), listener, control feed at its old and new address (2), the configuration while it
# is read, a connection while it is accepted and refused, one to spare.
RESERVED = 12
LEAST = 2


@dataclass(frozen=True)
class Descriptors:
    """Connections at most."""

    viewers: int
    streamers: int


def shared_out(limit):
    """Good viewers hold a third of `limit` at most (PROTOCOL), bad ones come beside them: half is theirs."""
    half = max(LEAST, (limit - RESERVED) // 2)
    return Descriptors(viewers=half, streamers=half)
