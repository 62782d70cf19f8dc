"""SIP free of I/O: the codec, the machines, and the bridge between stand-ins over a network that loses."""

import sys

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from sipnet import MS, SECOND, TIMES, Net, Notes, Ours, Peer

from terndrift.sip import sdp
from terndrift.sip.bridge import Asked, Calling
from terndrift.sip.message import Bad, Message, Name, Stream, Uri, Via, read, response
from terndrift.sip.transaction import ClientInvite, ClientOther, ServerInvite, ServerOther, State
from terndrift.standin.phone import Caller, Room, offer


def raw(*lines, body=b""):
    return "\r\n".join([*lines, "", ""]).encode() + body


BASE = [
    "INVITE sip:room@h:5060 SIP/2.0",
    "Via: SIP/2.0/UDP a:5060;branch=z9hG4bK1",
    "From: <sip:a@a>;tag=1",
    "To: <sip:room@h>",
    "Call-ID: x@a",
    "CSeq: 1 INVITE",
    "Max-Forwards: 70",
    "Contact: <sip:a@a:5060>",
]


def base(**changes):
    """The ordinary INVITE, with header lines put in place of others; None: left out."""
    out = [BASE[0]]
    for line in BASE[1:]:
        name = line.split(":")[0].lower().replace("-", "_")
        if name in changes:
            if changes[name] is not None:
                out.append(changes[name])
        else:
            out.append(line)
    return out


# The codec.


def test_compact_forms_folding_lists_and_escapes_are_one_message():
    """After RFC 4475, 3.1.1.1: ordinary parts in unusual forms."""
    m = read(
        raw(
            "INVITE sip:vivekg@chair-dnrc.example.com;unknownparam SIP/2.0",
            "TO :",
            " sip:v@h ;   tag    = 1918",
            'f: "J Rosenberg \\\\\\""       <sip:jdrosen@example.com>',
            "  ;",
            "  tag = 98asjd8",
            "mAx-FoRwArDs:  068",
            "i: 0ha0isndaksdj@10.2.3.4",
            "l: 3",
            "cseq: 0009",
            "  INVITE",
            "Via  : SIP  /   2.0",
            " /UDP",
            "    192.0.2.2;branch=390skdjuw",
            "v:  SIP  / 2.0  / TCP     spindle.example.com   ;",
            "  branch  =   z9hG4bK9ikj8  ,",
            " SIP  /    2.0   / UDP  192.168.255.111   ; branch=",
            " z9hG4bK30239",
            'm:"Quoted string \\"\\"" <sip:jdrosen@example.com> ; newparam =',
            "      newvalue ;",
            "  secondparam ; q = 0.33",
            body=b"abcdef",
        )
    )
    assert m.cseq == (9, "INVITE") and m.number("max-forwards") == 68 and m.body == b"abc"
    assert m.named("from").tag == "98asjd8" and m.named("from").display == 'J Rosenberg \\"'
    assert [Via.read(v).transport for v in m.all("via")] == ["UDP", "TCP", "UDP"]
    assert m.named("contact").params == {"newparam": "newvalue", "secondparam": None, "q": "0.33"}
    assert read(m.encode()).encode() == m.encode()


def test_uris_of_every_form():
    uri = Uri.read("sip:alice%20b:pw@[::1]:5061;transport=tcp;lr?subject=x")
    assert (uri.user, uri.host, uri.port) == ("alice b", "[::1]", 5061)
    assert uri.params == {"transport": "tcp", "lr": None}
    assert str(Uri.read(str(uri))) == str(uri) and Uri.read("tel:+1-2").rest == "+1-2"
    assert Name.read("sip:a@b;tag=1").tag == "1" and Name.read("<sip:a@b;x=1>;tag=2").uri.params == {"x": "1"}
    assert str(Name(Uri.read("sip:a@b"), 'say "hi"', {"tag": "1"})) == '"say \\"hi\\"" <sip:a@b>;tag=1'


INVALID = [  # after RFC 4475, 3.1.2 and 3.3: what is wrong, and how it is answered (0: it is not)
    ("a Content-Length over what came", 400, [*BASE, "Content-Length: 9999"]),
    ("a Content-Length below nothing", 400, [*BASE, "Content-Length: -999"]),
    ("a CSeq over 2^31", 400, base(cseq="CSeq: 36893488147419103232 INVITE")),
    ("a CSeq of another method", 400, base(cseq="CSeq: 1 OPTIONS")),
    ("a quoted string without its end", 400, base(to='To: "Mr. J. User <sip:j@h>')),
    ("a URI in brackets as the first line's", 400, ["INVITE <sip:user@h> SIP/2.0", *BASE[1:]]),
    ("white space in the first line's URI", 400, ["INVITE sip:user@h; lr SIP/2.0", *BASE[1:]]),
    ("two spaces in the first line", 400, ["INVITE  sip:user@h  SIP/2.0", *BASE[1:]]),
    ("an escaped quote that is none", 400, base(**{"from": 'From: "a\\"b <sip:a@a>;tag=1'})),
    ("a version that is not known", 505, ["INVITE sip:t@h SIP/7.0", *BASE[1:]]),
    ("no Call-ID", 400, base(call_id=None)),
    ("no From", 400, base(**{"from": None})),
    ("two To", 400, [*BASE, "To: <sip:b@b>"]),
    ("two CSeq", 400, [*BASE, "CSeq: 8 INVITE"]),
    ("a Max-Forwards over 255", 400, base(max_forwards="Max-Forwards: 300")),
    ("a header without a colon", 400, [*BASE, "what is this"]),
    ("a display name that is not quoted", 400, base(to="To: Bell, Alexander <sip:a@b>")),
    ("a port that is none", 400, base(to="To: <sip:a@b:99999>")),
    ("no Via", 0, base(via=None)),
    ("a Via of nothing", 400, base(via="Via: nothing")),
    ("% without its digits", 400, base(to="To: <sip:a%zz@b>")),
    ("a zero byte", 400, [*BASE, "Subject: a\0b"]),
    ("a parameter twice", 400, base(to="To: <sip:a@b>;x=1;x=2")),
]


@pytest.mark.parametrize("what, code, lines", INVALID, ids=[x[0] for x in INVALID])
def test_each_kind_of_what_is_invalid_is_answered_as_stated(what, code, lines):
    with pytest.raises(Bad) as bad:
        read(raw(*lines))
    assert bad.value.code == code
    ours = Ours("b:1", None)
    ours.bridge.received(0, bad.value, Peer("a:5060"))
    partial = bad.value.partial
    can = partial is not None and all(partial.get(n) for n in ("from", "to", "call-id", "via", "cseq"))
    # answered once where it says whom and what to answer, without a transaction
    assert [int(data.split()[1]) for _, data in ours.out] == ([code] if code and can else [])
    assert not ours.bridge.stack.servers


def test_streams_are_taken_apart_wherever_they_are_cut_and_keep_alives_are_passed_over():
    one = raw(*BASE, "Content-Length: 4", body=b"\r\n\r\n")
    two = raw(*base(call_id="Call-ID: y@a"), "Content-Length: 0")
    data = b"\r\n\r\n" + one + b"\r\n\r\n" + two
    for cut in range(len(data)):
        stream = Stream()
        found = stream.feed(data[:cut]) + stream.feed(data[cut:])
        assert [m.get("call-id") for m in found] == ["x@a", "y@a"] and found[0].body == b"\r\n\r\n"
    with pytest.raises(Bad, match="must tell its length"):
        Stream().feed(raw(*BASE))
    with pytest.raises(Bad, match="no end of the headers"):
        Stream().feed(b"x" * 20_000)


@settings(derandomize=True, database=None, deadline=None, max_examples=300)
@given(st.data())
def test_whatever_comes_the_codec_raises_nothing_but_what_it_says(data):
    text = bytearray(raw(*BASE, 'Contact: "a" <sip:b@c>;q=1, <sip:d@e>', "Content-Length: 0"))
    for _ in range(data.draw(st.integers(0, 6))):
        at = data.draw(st.integers(0, len(text) - 1))
        text[at : at + data.draw(st.integers(0, 3))] = data.draw(
            st.binary(max_size=4)
            | st.sampled_from(
                [b'"', b"<", b">", b";", b",", b"\r\n", b"\r\n ", b"%", b"\\", b"[", b":", b"\0", b"\xff"]
            )
        )
    try:
        again = read(read(bytes(text)).encode())
        assert again.cseq
    except Bad:
        pass


def test_no_message_takes_time_by_the_square_of_its_length():
    """Counted in lines of our own code run, which no machine makes more or fewer."""

    def cost(n):
        lines, counts = [], []

        def trace(frame, event, arg):
            lines.append(event == "line")
            return trace

        for line in (
            'To: "' + "\\" * n,
            "To: " + '"' * n,
            "Contact: " + "<" * n,
            "Contact: " + "," * n,
            "To: <sip:" + "%" * n,
            "Via: SIP" + "/ " * (n // 2),
            "To: " + ";a" * (n // 2),
        ):
            lines.clear()
            name = line.split(":")[0].lower()
            sys.settrace(trace)
            try:
                with pytest.raises(Bad):
                    read(raw(*base(**{name: line}), "Call-ID: twice"))
            finally:
                sys.settrace(None)
            counts.append(sum(lines))
        return counts

    for short, long in zip(cost(1_000), cost(10_000), strict=True):
        assert long < 15 * short + 1000, "ten times as long, a hundred times would be the square"


def test_a_description_goes_there_and_back_and_its_bandwidth_is_told():
    found = sdp.read(offer("10.0.0.1", 400_000))
    assert found.bits() == 400_000 and sdp.read(found.encode()).encode() == found.encode()
    less = sdp.with_bits(found, 150_000)
    assert sdp.read(less.encode()).bits() == 150_000 and b"AS:156" in less.encode()
    assert sdp.read(offer("h", 1, direction="sendonly")).held() and not found.held()
    able = {"audio": ("OPUS/48000/2",), "video": ("VP8/90000",)}
    made = sdp.answer(found, able, "- 1 1 IN IP4 h", ("h", {"audio": 1, "video": 2}), 90_000)
    assert [m.formats for m in made.media] == [["111"], ["97"]] and sdp.read(made.encode()).bits() == 90_000
    only = sdp.answer(found, {"audio": able["audio"]}, "- 1 1 IN IP4 h", ("h", {"audio": 1, "video": 2}))
    assert [m.port for m in only.media] == [1, 0]
    assert sdp.answer(found, {}, "o", ("h", {})) is None
    assert b"- 1 7 IN" in sdp.renewed(found, 7).encode()
    for bad in (b"", b"v=1\r\n", b"v=0\r\nm=audio x RTP 0", b"v=0\r\no=-\r\ns=-\r\nt=0 0\r\n", b"v=0\r\nx"):
        with pytest.raises(sdp.Unusable):
            sdp.read(bad)


# The machines, by tables: (at ms, what happens, what is done, the state afterwards).

INVITE, OTHER = read(raw(*BASE)), read(raw("OPTIONS" + BASE[0][6:], *base(cseq="CSeq: 1 OPTIONS")[1:]))


def got(request, code):
    return response(request, code, tag="t")


T = [
    (
        "client invite: answered",
        ClientInvite,
        INVITE,
        False,
        [
            (0, "start", "send", "CALLING"),
            (100, "tick", "send", "CALLING"),
            (300, "tick", "send", "CALLING"),
            (310, 100, "tell", "PROCEEDING"),
            (900, "tick", "", "PROCEEDING"),
            (1000, 180, "tell", "PROCEEDING"),
            (1100, 200, "tell", "ACCEPTED"),
            (1200, 200, "tell", "ACCEPTED"),
            (1300, 486, "", "ACCEPTED"),
            (1100 + 6400, "tick", "", "TERMINATED"),
        ],
    ),
    (
        "client invite: nothing comes",
        ClientInvite,
        INVITE,
        False,
        [
            (0, "start", "send", "CALLING"),
            (100, "tick", "send", "CALLING"),
            (300, "tick", "send", "CALLING"),
            (700, "tick", "send", "CALLING"),
            (1500, "tick", "send", "CALLING"),
            (3100, "tick", "send", "CALLING"),
            (6300, "tick", "send", "CALLING"),
            (6400, "tick", "over", "TERMINATED"),
        ],
    ),
    (
        "client invite: refused",
        ClientInvite,
        INVITE,
        False,
        [
            (0, "start", "send", "CALLING"),
            (10, 503, "tell send", "COMPLETED"),
            (20, 503, "send", "COMPLETED"),
            (30, 180, "", "COMPLETED"),
            (10 + 6400, "tick", "", "TERMINATED"),
        ],
    ),
    (
        "client invite: refused on a stream",
        ClientInvite,
        INVITE,
        True,
        [
            (0, "start", "send", "CALLING"),
            (500, "tick", "", "CALLING"),
            (600, 503, "tell send", "TERMINATED"),
        ],
    ),
    (
        "client invite: broken",
        ClientInvite,
        INVITE,
        True,
        [(0, "start", "send", "CALLING"), (1, "broken", "over", "TERMINATED")],
    ),
    (
        "client other: answered",
        ClientOther,
        OTHER,
        False,
        [
            (0, "start", "send", "TRYING"),
            (100, "tick", "send", "TRYING"),
            (300, "tick", "send", "TRYING"),
            (350, 100, "tell", "PROCEEDING"),
            (700, "tick", "send", "PROCEEDING"),
            (1400, "tick", "", "PROCEEDING"),
            (1500, "tick", "send", "PROCEEDING"),
            (1600, 200, "tell", "COMPLETED"),
            (1700, 200, "", "COMPLETED"),
            (2100, "tick", "", "TERMINATED"),
        ],
    ),
    (
        "client other: nothing comes",
        ClientOther,
        OTHER,
        True,
        [(0, "start", "send", "TRYING"), (6400, "tick", "over", "TERMINATED")],
    ),
    (
        "client other: answered on a stream",
        ClientOther,
        OTHER,
        True,
        [(0, "start", "send", "TRYING"), (9, 404, "tell", "TERMINATED")],
    ),
    (
        "server invite: answered",
        ServerInvite,
        INVITE,
        False,
        [
            (0, "start", "tell", "PROCEEDING"),
            (1, "say 100", "send", "PROCEEDING"),
            (5, "again", "send", "PROCEEDING"),
            (10, "say 180", "send", "PROCEEDING"),
            (20, "say 200", "send", "ACCEPTED"),
            (30, "again", "", "ACCEPTED"),
            (40, "say 200", "send", "ACCEPTED"),
            (50, "ack", "tell", "ACCEPTED"),
            (6420, "tick", "", "TERMINATED"),
        ],
    ),
    (
        "server invite: refused",
        ServerInvite,
        INVITE,
        False,
        [
            (0, "start", "tell", "PROCEEDING"),
            (0, "say 486", "send", "COMPLETED"),
            (100, "tick", "send", "COMPLETED"),
            (300, "tick", "send", "COMPLETED"),
            (310, "again", "send", "COMPLETED"),
            (320, "ack", "", "CONFIRMED"),
            (330, "again", "", "CONFIRMED"),
            (820, "tick", "", "TERMINATED"),
        ],
    ),
    (
        "server invite: refused, no ACK",
        ServerInvite,
        INVITE,
        True,
        [
            (0, "start", "tell", "PROCEEDING"),
            (0, "say 486", "send", "COMPLETED"),
            (6400, "tick", "over", "TERMINATED"),
        ],
    ),
    (
        "server other: answered",
        ServerOther,
        OTHER,
        False,
        [
            (0, "start", "tell", "TRYING"),
            (5, "again", "", "TRYING"),
            (9, "say 100", "send", "PROCEEDING"),
            (10, "again", "send", "PROCEEDING"),
            (20, "say 200", "send", "COMPLETED"),
            (30, "again", "send", "COMPLETED"),
            (31, "say 200", "", "COMPLETED"),
            (6420, "tick", "", "TERMINATED"),
        ],
    ),
    (
        "server other: broken",
        ServerOther,
        OTHER,
        True,
        [(0, "start", "tell", "TRYING"), (5, "broken", "over", "TERMINATED")],
    ),
]


@pytest.mark.parametrize("name, kind, request_, reliable, steps", T, ids=[t[0] for t in T])
def test_the_four_machines_by_their_tables(name, kind, request_, reliable, steps):
    machine, ack = kind(request_, TIMES, reliable), Message("ACK", request_.uri)
    for at, what, wanted, state in steps:
        now = at * MS
        if isinstance(what, int):
            done = machine.received(now, got(request_, what))
        elif what.startswith("say"):
            done = machine.say(now, got(request_, int(what[4:])))
        elif what in ("again", "ack"):
            done = machine.received(now, ack if what == "ack" else request_)
        else:
            done = getattr(machine, what)(now)
        assert (" ".join(d[0] for d in done), machine.state) == (wanted, State[state]), (at, what)


# The bridge between stand-ins.


class User:
    """Sends every call to the rooms in order, one after the other, as they refuse."""

    def __init__(self, rooms):
        self.rooms, self.told, self.bridge, self.tries = rooms, [], None, {}

    def wanted(self, now, call):
        self.told.append(("wanted", call))
        self.tries[call] = list(self.rooms)
        self._next(now, call)

    def _next(self, now, call):
        if not self.tries[call]:
            return call.decline(now, 503, 2)
        room = self.tries[call].pop(0)
        uri = f"sip:{Uri.read(call.invite.uri).user}@{room}"
        body = sdp.with_bits(sdp.read(call.invite.body), 200_000).encode()
        call.leg = self.bridge.dial(now, uri, Peer(room), body, call, [("terndrift-playback", "pb;try=1")])
        return None

    def leg_up(self, now, leg):
        self.told.append(("up", leg))
        if leg.about.state is Asked.ASKED:
            leg.about.accept(now, leg.answer.body)
        else:
            leg.end(now)

    def leg_over(self, now, leg, why, code):
        self.told.append(("over", why, code))
        if why == "refused" and leg.about.state is Asked.ASKED:
            self._next(now, leg.about)
        elif leg.about.state is Asked.ASKED:
            leg.about.decline(now, 504)

    def leg_ended(self, now, leg, why):
        self.told.append(("ended", why))
        leg.about.end(now)

    def left(self, now, call):
        self.told.append(("left", call))
        if call.leg is not None:
            call.leg.end(now)

    def passed_on(self, side, body):
        return body

    def stray(self, now, message, number):
        from terndrift.sip.dialog import Dialog

        made = Dialog(
            message.get("call-id"),
            message.named("from"),
            message.named("to"),
            message.named("contact").uri,
            reversed(message.all("record-route")),
            number,
        )
        self.bridge.refuse_stray(now, made, number, Peer(f"{made.target.host}:{made.target.port}"))
        self.told.append(("stray",))


def world(rooms=1, seed=1, session=0, **net):
    net, notes = Net(seed, **net), Notes()
    rooms = [net.add(Room(f"r{n}:5060", notes, n, t1=100 * MS)) for n in range(rooms)]
    user = User([r.address for r in rooms])
    ours = net.add(Ours("b:5060", user, session))
    user.bridge = ours.bridge
    caller = net.add(
        Caller("c:5060", notes, "b:5060", "room", "v1", 900_000, 5 * SECOND, 3 * SECOND, 100 * MS)
    )
    return net, rooms, user, caller, notes


def settled(net, user):
    """Nothing is left on either side."""
    assert not user.bridge.sides and not user.bridge.calls
    assert not user.bridge.stack.servers and not user.bridge.stack.clients


def test_a_call_is_bridged_offered_at_its_rung_and_hung_up():
    net, (room,), user, caller, notes = world()
    caller.call(net.now)
    net.run(SECOND)
    assert caller.state == "up" and caller.code == 200 and [x.state for x in room.legs.values()] == ["up"]
    assert [bits for _, _, bits in room.rungs] == [200_000]
    net.run(60 * SECOND)
    assert caller.state == "over" and not room.legs and caller.answers == 1
    settled(net, user)


def test_a_full_room_is_left_for_the_next_and_none_left_is_told_when_to_come_back():
    net, rooms, user, caller, notes = world(rooms=2)
    rooms[0].faults["full"] = 1
    caller.call(net.now)
    net.run(SECOND)
    assert caller.code == 200 and rooms[1].up() and not rooms[0].legs
    net.run(60 * SECOND)
    net, rooms, user, caller, notes = world(rooms=2)
    for room in rooms:
        room.faults["busy"] = 1
    caller.call(net.now)
    net.run(60 * SECOND)
    assert (caller.code, caller.retry_after, caller.answers) == (503, 2, 1)
    settled(net, user)


def test_a_caller_that_cancels_gets_487_and_the_room_is_cancelled():
    net, (room,), user, caller, notes = world()
    room.faults["ringing"] = 1
    caller.call(net.now)
    net.run(SECOND)
    caller.cancel(net.now)
    net.run(60 * SECOND)
    assert caller.code == 487 and not room.legs and ("over", "called off", 487) in user.told
    settled(net, user)


def test_a_cancel_that_crosses_a_success_is_ended_by_ack_and_bye():
    net, (room,), user, caller, notes = world()
    caller.call(net.now)
    net.run(26 * MS)  # the room has just answered
    caller.cancel(net.now)
    net.run(60 * SECOND)
    assert not room.legs and caller.state == "over" and len(notes.all("ran")) == 1
    assert len(notes.all("farewell")) == 1 and caller.answers == 1
    settled(net, user)


def test_a_success_is_sent_again_until_its_ack_and_without_any_it_is_ended():
    net, (room,), user, caller, notes = world()
    net.drop = lambda source, target, data: data.startswith(b"ACK") and target == "b:5060"
    caller.call(net.now)
    caller.seconds = 100 * SECOND
    net.run(100 * SECOND)
    oks = [p for p in net.passed if p[1:3] == ("b:5060", "c:5060") and p[3].startswith(b"SIP/2.0 200")]
    assert len(oks) > 6 and caller.byes == 1 and not room.legs
    settled(net, user)


def test_a_lost_bye_is_sent_again_and_one_that_nobody_answers_ends_all_the_same():
    net, (room,), user, caller, notes = world()
    lost = []

    def drop(source, target, data):
        if data.startswith(b"BYE") and len(lost) < 3:
            lost.append(data)
            return True
        return False

    net.drop = drop
    caller.call(net.now)
    net.run(60 * SECOND)
    assert caller.state == "over" and not room.legs
    settled(net, user)
    net, (room,), user, caller, notes = world()
    caller.call(net.now)
    net.run(SECOND)
    room.die()
    net.run(60 * SECOND)
    assert caller.state == "over"
    settled(net, user)


def test_both_hang_up_at_once():
    net, (room,), user, caller, notes = world()
    caller.call(net.now)
    net.run(SECOND)
    caller.hang_up(net.now)
    room.hang_up(net.now, next(iter(room.legs)))
    net.run(60 * SECOND)
    assert caller.state == "over" and not room.legs
    settled(net, user)


@pytest.mark.parametrize(
    "fault, why", [("still", "silent"), ("mute", "called off"), ("ringing", "called off")]
)
def test_a_room_that_stands_still_is_silent_and_is_never_tried_twice(fault, why):
    net, rooms, user, caller, notes = world(rooms=2)
    rooms[0].faults[fault] = 1
    caller.call(net.now)
    net.run(100 * SECOND)
    assert caller.state == "over" and caller.answers == 1 and caller.code in (487, 504)
    assert not rooms[1].known, "it may have run"
    assert any(t[0] == "over" and t[1] in (why, "silent", "called off") for t in user.told)
    settled(net, user)


def test_a_success_after_its_time_is_taken_and_ended():
    net, (room,), user, caller, notes = world()
    room.faults["still"] = 1
    caller.call(net.now)
    net.run(6500 * MS)  # timer B
    assert ("over", "silent", 0) in user.told or caller.code == 487
    room.faults.clear()
    invite = next(read(d) for _, s, t, d in net.passed if t == room.address and d.startswith(b"INVITE"))
    room._invited(net.now, invite, "b:5060", "late")
    net.run(60 * SECOND)
    assert ("stray",) in user.told and not room.legs
    settled(net, user)


def test_a_rung_changes_in_the_call_and_a_refused_one_stays_as_it_was():
    net, (room,), user, caller, notes = world()
    caller.seconds = 30 * SECOND
    caller.call(net.now)
    net.run(SECOND)
    leg, codes = next(t[1] for t in user.told if t[0] == "up"), []
    lower = sdp.with_bits(sdp.read(leg.side.local), 80_000).encode()
    leg.side.propose(net.now, lower, lambda now, code, body: codes.append(code))
    net.run(SECOND)
    assert codes == [200] and room.up()[0].bits == 80_000 and leg.side.local == lower
    room.faults["refuse"] = 1
    leg.side.propose(net.now, offer("h", 1), lambda now, code, body: codes.append(code))
    net.run(SECOND)
    assert codes == [200, 488] and leg.side.local == lower and caller.state == "up"
    net.run(100 * SECOND)
    settled(net, user)


def test_a_glare_is_waited_out_and_offered_again():
    net, (room,), user, caller, notes = world()
    caller.seconds = 30 * SECOND
    caller.call(net.now)
    net.run(SECOND)
    leg, codes = next(t[1] for t in user.told if t[0] == "up"), []
    room.faults["glare"] = 1
    leg.side.propose(net.now, offer("h", 70_000), lambda now, code, body: codes.append(code))
    net.run(SECOND)
    assert not codes
    room.faults.clear()
    net.run(SECOND)
    assert not codes, "who owns the Call-ID waits 2.1 s at least"
    net.run(4 * SECOND)
    assert codes == [200]
    net.run(100 * SECOND)
    settled(net, user)


def test_a_new_offer_of_the_caller_goes_through_and_meets_491_while_ours_is_out():
    net, (room,), user, caller, notes = world()
    caller.seconds = 30 * SECOND
    caller.call(net.now)
    net.run(SECOND)
    caller.again(net.now, "sendonly", 500_000)
    net.run(SECOND)
    assert room.up()[0].bits == 500_000
    leg, call = user.told[1][1], user.told[0][1]
    call.side.propose(net.now, offer("h", 60_000), lambda *_: None)
    caller.again(net.now)
    net.run(SECOND)
    assert any(d.startswith(b"SIP/2.0 491") for _, s, t, d in net.passed if t == "c:5060")
    assert leg.state is Calling.UP
    net.run(100 * SECOND)
    settled(net, user)


def test_after_our_death_nobody_keeps_a_leg_for_ever():
    net, (room,), user, caller, notes = world(session=4 * SECOND)
    caller.seconds = 12 * SECOND
    caller.call(net.now)
    net.run(6 * SECOND)
    assert room.up(), "refreshed in time"
    del net.agents["b:5060"]
    net.run(30 * SECOND)
    assert not room.legs and notes.all("expired") and caller.state in ("over", "ending")


def test_a_session_that_is_not_refreshed_is_ended_by_us():
    net, (room,), user, caller, notes = world(session=4 * SECOND)
    caller.seconds = 100 * SECOND
    caller.call(net.now, [("supported", "timer"), ("session-expires", "3;refresher=uac")])
    net.run(SECOND)
    assert caller.state == "up"
    net.run(3 * SECOND)
    assert caller.byes == 1
    net.run(60 * SECOND)
    assert not room.legs
    settled(net, user)


def test_what_can_not_be_taken_is_refused_as_the_rfc_says():
    net, rooms, user, caller, notes = world()
    asks = [
        ("483", "", [("max-forwards", "0")]),
        ("420", "", [("require", "100rel, foo")]),
        ("415", "text/plain", []),
        ("405", "INFO", []),
        ("481", "BYE", []),
        ("200", "OPTIONS", []),
        ("416", "tel:1", []),
        ("481", "CANCEL", []),
    ]
    for n, (code, what, headers) in enumerate(asks):
        method = what if what.isupper() else "INVITE"
        m = Message(method, what if what.startswith("tel") else "sip:room@b:5060")
        m.headers = [
            ("via", f"SIP/2.0/UDP c:5060;branch=z9hG4bK{n}"),
            ("from", "<sip:c@c>;tag=1"),
            ("to", "<sip:room@b>"),
            ("call-id", f"{n}@c"),
            ("cseq", f"1 {method}"),
            ("contact", "<sip:c@c:5060>"),
            *headers,
        ]
        if "/" in what:
            m.add("content-type", what)
            m.body = b"x"
        net.passed.clear()
        user.bridge.received(net.now, read(m.encode()), Peer("c:5060"))
        net.run(50 * MS)
        got = [d.split()[1].decode() for _, s, t, d in net.passed if t == "c:5060"]
        assert got == [code], (code, what)


@settings(derandomize=True, database=None, deadline=None, max_examples=60)
@given(
    st.integers(0, 10**6),
    st.sampled_from([0.0, 0.1, 0.3]),
    st.sampled_from([0.0, 0.3]),
    st.sampled_from([0.0, 0.4]),
    st.sampled_from([None, "full", "ringing", "late", "still"]),
    st.sampled_from([None, "cancel", "die", "hang up"]),
)
def test_whatever_is_lost_doubled_or_late_each_call_has_one_answer_and_every_leg_ends(
    seed, loss, double, late, fault, then
):
    net, rooms, user, caller, notes = world(2, seed, session=8 * SECOND, loss=loss, double=double, late=late)
    if fault:
        rooms[seed % 2].faults[fault] = 0.3
    caller.call(net.now)
    net.run(int((seed % 17) / 10 * SECOND))
    if then == "cancel" and caller.state == "asking":
        caller.cancel(net.now)
    elif then == "die":
        rooms[seed % 2].die()
    elif then == "hang up" and rooms[0].legs:
        rooms[0].hang_up(net.now, next(iter(rooms[0].legs)))
    for _ in range(240):
        net.run(SECOND // 2)
        # never two at once, but the moment in which one's end is on its way
        assert sum(leg.state == "up" for room in rooms for leg in room.legs.values()) <= 1
    assert caller.answers <= 1 and caller.state != "asking"
    assert not any(room.legs for room in rooms if not room.dead)
    settled(net, user)
