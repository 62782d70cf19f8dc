"""The module beside the plain model of the rules, on generated histories."""

from helpers import MS, Front, S, line
from hypothesis import given, settings
from hypothesis import strategies as st

from terndrift.decide import State
from terndrift.interface import Ending, Standing

calls = st.tuples(st.sampled_from(
    ["want", "want", "want", "play", "end", "silence", "list", "use", "share", "left", "wait"]),
    st.integers(0, 999), st.integers(0, 5))
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
            front.end(pb, BAD[b % len(BAD)] if pb.state is State.TRYING else Ending.PLAYED_OUT,
                      finished=pb.state is State.PLAYING, report={"link": a / 300, "uplink": b - 1.0})
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
