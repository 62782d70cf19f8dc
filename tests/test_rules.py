"""The module beside the plain model of the rules, on generated histories."""

from helpers import MS, Front, S, line
from hypothesis import given, settings
from hypothesis import strategies as st

from terndrift.decide import State
from terndrift.interface import Ending, Standing

calls = st.tuples(
    st.sampled_from(
        ["want", "want", "want", "play", "end", "silence", "list", "use", "share", "left", "wait"]
    ),
    st.integers(0, 999),
    st.integers(0, 5),
)
BAD = [Ending.FULL, Ending.ERRED, Ending.UNREACHED, Ending.BROKEN, Ending.CALLED_OFF, Ending.NEVER_SENT]


@settings(derandomize=True, database=None, deadline=None, max_examples=150)
@given(st.lists(calls, min_size=5, max_size=120), st.booleans())
def test_any_history_keeps_the_rules(history, warm):
    front = Front(streamers=5, warm=warm)
    for what, a, b in history:
        out = [pb for pb in front.c.playbacks.values() if pb.out]
        pb = out[a % len(out)] if out else None
        if what == "want":
            front.want(["free", "paid"][a % 2], f"t{b % 3}", cells=a % 5, top=b % 4, left=(a % 50) * 100 * MS)
        elif what == "play" and pb and pb.state is State.TRYING:
            front.play(pb)
        elif what == "end" and pb:
            front.end(
                pb,
                BAD[b % len(BAD)] if pb.state is State.TRYING else Ending.PLAYED_OUT,
                finished=pb.state is State.PLAYING,
                report={"link": a / 300, "uplink": b - 1.0},
            )
        elif what == "list":
            standing = [Standing.READY, Standing.DRAINING, Standing.GONE][b % 3]
            front.list([line(a % 5, a % 4, standing, started=front.now if b > 3 else 0, weight=a % 3)])
        elif what == "use":
            front.use(a % 6, [a / 300, None, -1.0, 1e9][b % 4], [b / 2, None][a % 2])
        elif what == "share":
            front.share(a % 6, a / 999)
        elif what == "left" and pb and pb.state is State.PLAYING:
            front.c.viewer_left(front.now, pb.id)
        elif what == "wait":
            front.pass_time((a % 40) * 50 * MS)
    front.pass_time(8 * S)
    assert not front.c.open, "something is still owed"


def plain_fair(c, now, rack):
    """Compute `Controller._fair_rungs` of a rack naively: at each step the best one that is left."""
    room = {at: c._own_budget(now, at, 0.0) for at in [rack, *rack.streamers]}
    all_of = [(pb, s) for s in rack.streamers for pb in s.playbacks]
    rungs, ended, drawn = {pb: pb.plan.floor for pb, _ in all_of}, set(), set()
    for pb, at in all_of:
        for link in (at, rack):
            room[link] -= pb.rates[pb.plan.floor]
    while room[rack] > 0:
        left = [
            (pb.rung_steps[rungs[pb]][0], n)
            for n, (pb, _) in enumerate(all_of)
            if pb not in ended and rungs[pb] < pb.top
        ]
        if not left:
            break
        pb, at = all_of[min(left)[1]]
        kb = pb.rung_steps[rungs[pb]][1]
        tight = rack if room[rack] < room[at] else at
        if kb <= room[tight] or tight not in drawn and pb.draw * kb < room[tight]:
            rungs[pb] += 1
            for link in (at, rack):
                room[link] -= kb
        else:
            drawn.add(tight)
            ended.add(pb)
    return rungs


@settings(derandomize=True, database=None, deadline=None, max_examples=60)
@given(st.lists(st.tuples(st.booleans(), st.integers(0, 3), st.integers(0, 99)), min_size=1, max_size=60))
def test_fair_rungs_are_those_of_the_plain_rule(wanted):
    front = Front(streamers=6)
    for n, (paid, top, use) in enumerate(wanted):
        pb = front.want("paid" if paid else "free", f"t{n}", cells=6, top=max(top, int(paid)))
        if pb and pb.state is State.TRYING:
            front.play(pb)
        if use < 20:
            front.use(n % 6, link=use / 20, uplink=0.1 + use / 25)
        for rack in front.c.racks.values():
            assert front.c._fair_rungs(front.now, rack) == plain_fair(front.c, front.now, rack)
