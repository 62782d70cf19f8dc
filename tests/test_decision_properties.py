"""Property tests: generated histories of calls, checked against simple models of the rules."""

from helpers import MS, SECOND, Front, list_entry
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
def test_any_history_of_calls_keeps_the_rules(history, warm):
    front = Front(streamers=5, warm=warm)
    for call, a, b in history:
        out = [playback for playback in front.controller.playbacks.values() if playback.in_progress]
        playback = out[a % len(out)] if out else None
        if call == "want":
            front.request(
                ["free", "paid"][a % 2], f"t{b % 3}", cells=a % 5, top=b % 4, left=(a % 50) * 100 * MS
            )
        elif call == "play" and playback and playback.state is State.ATTEMPTING:
            front.succeed(playback)
        elif call == "end" and playback:
            front.end_attempt(
                playback,
                BAD[b % len(BAD)] if playback.state is State.ATTEMPTING else Ending.PLAYED_OUT,
                finished=playback.state is State.PLAYING,
                report={"link": a / 300, "uplink": b - 1.0},
            )
        elif call == "list":
            standing = [Standing.READY, Standing.DRAINING, Standing.GONE][b % 3]
            front.change_list(
                [list_entry(a % 5, a % 4, standing, started=front.now if b > 3 else 0, weight=a % 3)]
            )
        elif call == "use":
            front.report_utilisation(a % 6, [a / 300, None, -1.0, 1e9][b % 4], [b / 2, None][a % 2])
        elif call == "share":
            front.report_delivery(a % 6, a / 999)
        elif call == "left" and playback and playback.state is State.PLAYING:
            front.controller.viewer_left(front.now, playback.id)
        elif call == "wait":
            front.advance((a % 40) * 50 * MS)
    front.advance(8 * SECOND)
    assert not front.controller.pending, "a playback has no answer"


def naive_fair_rungs(controller, now, rack):
    """Compute `Controller._fair_rungs` of a rack naively: at each step the best one that is left."""
    room = {target: controller._own_budget(now, target, 0.0) for target in [rack, *rack.streamers]}
    placed = [(playback, streamer) for streamer in rack.streamers for playback in streamer.playbacks]
    rungs, settled, drawn_links = {playback: playback.plan.floor for playback, _ in placed}, set(), set()
    for playback, target in placed:
        for link in (target, rack):
            room[link] -= playback.rates[playback.plan.floor]
    while room[rack] > 0:
        candidates = [
            (playback.rung_steps[rungs[playback]][0], n)
            for n, (playback, _) in enumerate(placed)
            if playback not in settled and rungs[playback] < playback.top
        ]
        if not candidates:
            break
        playback, target = placed[min(candidates)[1]]
        kb = playback.rung_steps[rungs[playback]][1]
        bottleneck = rack if room[rack] < room[target] else target
        if kb <= room[bottleneck] or bottleneck not in drawn_links and playback.draw * kb < room[bottleneck]:
            rungs[playback] += 1
            for link in (target, rack):
                room[link] -= kb
        else:
            drawn_links.add(bottleneck)
            settled.add(playback)
    return rungs


@settings(derandomize=True, database=None, deadline=None, max_examples=60)
@given(st.lists(st.tuples(st.booleans(), st.integers(0, 3), st.integers(0, 99)), min_size=1, max_size=60))
def test_fair_rungs_equal_those_of_the_naive_algorithm(requests):
    front = Front(streamers=6)
    for n, (paid, top, use) in enumerate(requests):
        playback = front.request("paid" if paid else "free", f"t{n}", cells=6, top=max(top, int(paid)))
        if playback and playback.state is State.ATTEMPTING:
            front.succeed(playback)
        if use < 20:
            front.report_utilisation(n % 6, link=use / 20, uplink=0.1 + use / 25)
        for rack in front.controller.racks.values():
            assert front.controller._fair_rungs(front.now, rack) == naive_fair_rungs(
                front.controller, front.now, rack
            )
