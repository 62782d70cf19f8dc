"""What the kernel knows of a TCP connection in front of the bytes that are still to be read."""

import select


def is_closed_by_peer(sock):
    """Whether the peer has closed the connection or shut down its side, even if input is still unread."""
    poll = select.poll()
    poll.register(sock, select.POLLRDHUP)
    return bool(poll.poll(0))
