"""What one SIP client sends neither delays the answers to others nor makes the process grow without end."""

from sipnet import TIMES, drawing

from terndrift.sip.message import Message, read, response
from terndrift.sip.stack import Stack
from terndrift.standin.phone import Peer


def options_request(name, transport="UDP"):
    """An OPTIONS request; `name` makes its branch, tag and Call-ID."""
    message = Message("OPTIONS", "sip:x@127.0.0.1")
    message.headers = [
        ("via", f"SIP/2.0/{transport} 127.0.0.1:5999;branch=z9hG4bK{name};rport"),
        ("from", f"<sip:c@c>;tag={name}"),
        ("to", "<sip:x@h>"),
        ("call-id", f"{name}@c"),
        ("cseq", "1 OPTIONS"),
        ("max-forwards", "70"),
    ]
    return message


def invite_request(name):
    """An INVITE, as far as a stack without a bridge looks at it."""
    data = options_request(name).encode().replace(b"OPTIONS", b"INVITE")
    return read(data)


class AnsweringStack(Stack):
    """A stack whose requests other than INVITE are answered with 200 at once."""

    def __init__(self, **limits):
        super().__init__(TIMES, ("127.0.0.1", 5060), drawing(), **limits)

    def answered(self, now, message, source):
        """Returns (whether the request was new, the codes of the answers) of a request from `source`."""
        events = self.received(now, message, Peer(source))
        for _, transaction, request in events:
            if request.method != "INVITE":
                self.say(now, transaction, response(request, 200, tag="1"))
        codes = [read(data).code for _, data in self.out]
        self.out.clear()
        return bool(events), codes


def test_flood_under_ever_new_names_is_kept_in_a_bounded_number_of_transactions():
    # Guards against: each request was kept for 64 T1, so that all others were answered 503 after 20,000.
    stack = AnsweringStack(most=40, max_completed=10)
    for number in range(200):
        assert stack.answered(number, options_request(f"a{number}"), "a:1") == (True, [200])
    assert len(stack.servers) == len(stack.completed) == 10 and not stack.timers
    assert stack.answered(200, options_request("b"), "b:1") == (True, [200])
    assert stack.answered(201, options_request("b"), "b:1") == (False, [200]), "a repeated one is not new"
    assert stack.next_at() is not None
    stack.tick(stack.next_at() + 64 * TIMES.t1)
    assert not stack.servers and not stack.completed and stack.next_at() is None


def test_source_with_many_open_invites_leaves_room_for_others():
    # Guards against: one source took all server transactions, and everybody else was answered 503.
    stack = AnsweringStack(most=40)
    refused = [stack.answered(0, invite_request(f"a{number}"), "a:1")[1] == [503] for number in range(100)]
    assert refused.count(False) == 20
    new, codes = stack.answered(0, invite_request("b"), "b:1")
    assert new and codes != [503]
