"""xDS free of I/O: what a subscription sends, what endpoints mean, that the view settles to the source's."""

import pytest
from envoy.config.endpoint.v3.endpoint_pb2 import ClusterLoadAssignment
from hypothesis import given, settings
from hypothesis import strategies as st

from terndrift.backoff import MAX_DELAY_NS, MIN_DELAY_NS, Backoff
from terndrift.listing.limits import Limits
from terndrift.listing.lines import Line
from terndrift.xds import codec, meaning
from terndrift.xds.session import CLUSTER, ENDPOINT, MOST_SAID, Delta, World, reasons
from terndrift.xds.tiers import open_tiers
from terndrift.xds.view import View


def wall(seconds):
    return int(seconds * 10**9)


def message(name, endpoints, priority=0, sub_zone=""):
    """`endpoints`: (port, health, rack, started)."""
    out = ClusterLoadAssignment(cluster_name=name)
    place = out.endpoints.add(priority=priority)
    place.locality.region, place.locality.zone, place.locality.sub_zone = "r", "z", sub_zone
    for port, health, rack, started in endpoints:
        one = place.lb_endpoints.add(health_status=health)
        one.endpoint.address.socket_address.address = "h"
        one.endpoint.address.socket_address.port_value = port
        one.load_balancing_weight.value = 150
        facts = {"kind": "box", "started": started} | ({} if rack is None else {"rack": rack})
        one.metadata.filter_metadata[meaning.METADATA].update(facts)
    return out


def run(steps):
    """What a generator returns in the end."""
    while True:
        try:
            next(steps)
        except StopIteration as end:
            return end.value


def read(m, before=None):
    faults = []
    return run(meaning.assignment(m, wall, faults, before)), faults


def assignment(name, endpoints, **more):
    out, faults = read(message(name, endpoints, **more))
    assert not faults
    return out


def cluster(name, **more):
    return meaning.Cluster(name, more.pop("follows", name), **more)


def test_an_endpoint_becomes_a_line():
    found, faults = read(message("c", [(80, 1, 3, 12.5), (81, 3, 0, 0), (82, 2, 0, 0), (83, 5, 0, 0)]))
    a, b, c, d = (line for line, _, _ in found.lines.values())
    assert not faults and (a.address, a.rack, a.kind, a.zone, a.weight) == ("h:80", 3, "box", "z", 1.5)
    assert a.started == 12_500_000_000 and a.id is None
    assert [x.standing for x in (a, b, c, d)] == ["ready", "draining", "gone", "draining"]


def test_all_that_is_wrong_is_told_at_once():
    m = message("c", [(80, 1, 0, 0), (0, 1, 0, 0), (81, 1, -4, 0), (82, 77, 0, 0)])
    m.endpoints[0].lb_endpoints[0].metadata.filter_metadata[meaning.METADATA].update({"weight": "much"})
    faults = read(m)[1]
    assert (
        len(faults) == 4
        and [
            w in f
            for w, f in zip(("weight 'much'", "no address", "rack -4", "status 77"), faults, strict=True)
        ]
        == [True] * 4
    )
    assert read(ClusterLoadAssignment())[1] == ["an assignment without a cluster's name"]


def test_what_did_not_change_is_not_read_again():
    first = read(message("c", [(80, 1, 0, 0), (81, 1, 0, 0)]))[0]
    again = read(message("c", [(80, 1, 0, 0), (81, 3, 0, 0)]), first)[0]
    assert again.lines["h:80"][0] is first.lines["h:80"][0] and again.lines["h:81"][0].standing == "draining"


def test_a_sub_zone_is_a_rack_by_another_name_and_a_cluster_speaks_for_its_endpoints():
    ((line, _, said),) = assignment("c", [(80, 1, None, 0)], sub_zone="row 4").lines.values()
    same = assignment("d", [(99, 1, None, 0)], sub_zone="row 4").lines["h:99"][0]
    assert line.rack == same.rack > 0 and said.rack == line.rack
    view, facts = View(), meaning.Facts(rack=7, kind="other", weight=2.0)
    run(view.apply(accepted(ENDPOINT, {"c": assignment("c", [(80, 1, None, 0)])})))
    put, _ = run(view.apply(accepted(CLUSTER, {"c": cluster("c", facts=facts)})))
    assert (put[0].rack, put[0].kind, put[0].weight) == (7, "box", 1.5), "what an endpoint says itself counts"
    (put,), _ = run(view.apply(accepted(CLUSTER, {"c": cluster("c", facts=meaning.Facts(rack=8))})))
    assert put.rack == 8


def test_limits_of_clusters_narrow_the_holders():
    m, faults = message("c", [(80, 1, 0, 0)]), []
    for part in (50, 50):
        m.policy.drop_overloads.add(category=str(part)).drop_percentage.numerator = part
    assert read(m)[0].drop == 0.75, "one after the other, as Envoy draws them"
    own = codec.Cluster.FromString(codec.cluster_bytes("c", 3, {"rack": 2}))
    found = meaning.cluster(own, faults)
    assert (found.most, found.facts.rack, faults) == (3, 2, [])
    used = {1: 2, 2: 0}
    limits = Limits(1, used.get)
    limits.told("x", {"c": (0.0, 3, frozenset({1, 2})), "d": (0.5, None, frozenset({3}))})
    some = [limits.narrow(frozenset({1, 3})) for _ in range(400)]
    assert all(1 in cells for cells in some) and 120 < sum(3 in cells for cells in some) < 280
    used[2] = 1
    assert limits.narrow(frozenset({1, 2})) == frozenset(), "three are there"
    limits.told("x", {})
    assert limits.narrow(frozenset({1, 3})) == {1, 3}


def accepted(type_url, put, removed=(), whole=False):
    from terndrift.xds.session import Accepted

    return Accepted(type_url, put, removed, whole, "")


def test_endpoints_past_their_stated_time_are_gone_until_there_is_news():
    view, m = View(), message("c", [(80, 1, 0, 0)])
    m.policy.endpoint_stale_after.seconds = 5
    found = read(m)[0]
    run(view.apply(accepted(CLUSTER, {"c": cluster("c")})))
    run(view.apply(accepted(ENDPOINT, {"c": found}), 10**9))
    assert run(view.expire(5 * 10**9)) == ([], [])
    assert [x.standing for x in run(view.expire(6 * 10**9))[0]] == ["gone"]
    assert [x.standing for x in run(view.apply(accepted(ENDPOINT, {"c": found}), 7 * 10**9))[0]] == ["ready"]
    assert run(view.expire(11 * 10**9)) == ([], [])


def test_an_assignment_before_its_cluster_and_a_cluster_that_comes_back():
    view = View()
    assert run(view.apply(accepted(ENDPOINT, {"c": assignment("c", [(80, 1, 0, 0)])}))) == ([], [])
    assert len(run(view.apply(accepted(CLUSTER, {"c": cluster("c")})))[0]) == 1
    assert run(view.apply(accepted(CLUSTER, {}, ("c",)))) == ([], ["h:80"])
    assert len(run(view.apply(accepted(CLUSTER, {"c": cluster("c")})))[0]) == 1
    assert run(view.apply(accepted(ENDPOINT, {}, ("c",)))) == ([], ["h:80"])


def test_an_endpoint_that_moves_between_clusters_and_localities_is_one_streamer():
    view = View()
    run(view.apply(accepted(CLUSTER, {n: cluster(n) for n in "ab"})))
    run(view.apply(accepted(ENDPOINT, {"a": assignment("a", [(80, 1, 0, 0)]), "b": assignment("b", [])})))
    moved = {"a": assignment("a", []), "b": assignment("b", [(80, 1, 0, 0)])}
    assert run(view.apply(accepted(ENDPOINT, moved))) == ([view.held["h:80"]["b"]], [])
    other = assignment("b", [(80, 1, 0, 9)], sub_zone="x")
    (line,), _ = run(view.apply(accepted(ENDPOINT, {"b": other})))
    assert line.started == 9 * 10**9, "the same address with a new start"


def test_spares_are_used_only_as_the_first_tier_fails():
    def tier(priority, *standings):
        return [(Line("", None, "", 0, "", "", s, 1.0, 0), priority, None) for s in standings]

    assert open_tiers(tier(0, *["ready"] * 10) + tier(1, "ready")) == 0
    assert open_tiers(tier(0, *["ready"] * 7, *["gone"] * 3) + tier(1, "ready")) == 1, "0.98"
    assert open_tiers(tier(0, *["ready"] * 5, *["gone"] * 2) + tier(1, "ready")) == 0, "1.0"
    assert open_tiers(tier(0, "gone") + tier(3, "gone") + tier(7, "ready")) == 7
    assert open_tiers([]) == 0
    view = View()
    run(view.apply(accepted(CLUSTER, {"c": cluster("c")})))

    def told(health):
        m = message("c", [(80, health, 0, 0)])
        m.endpoints.add().CopyFrom(message("c", [(90, 1, 0, 0)], priority=1).endpoints[0])
        put, gone = run(view.apply(accepted(ENDPOINT, {"c": read(m)[0]})))
        return {x.address: x.standing for x in put}

    assert told(1) == {"h:80": "ready", "h:90": "draining"}
    assert told(2) == {"h:80": "gone", "h:90": "ready"}
    assert told(1) == {"h:80": "ready", "h:90": "draining"}


# Sessions.


def test_versions_and_nonces_of_the_state_of_the_world():
    world = World()
    assert [(s.type_url, s.version, s.nonce) for s in world.begin()] == [(CLUSTER, "", "")]
    (ack,), got = world.answered(CLUSTER, "1", "a", {"c": cluster("c")})
    assert (ack.version, ack.nonce, ack.error, got.whole) == ("1", "a", "", True)
    (asked,) = world.follow(["c"])
    assert (asked.names, asked.version, asked.nonce) == (("c",), "", "") and world.follow(["c"]) == []
    (ack,), got = world.answered(ENDPOINT, "5", "b", {"c": assignment("c", [])})
    assert (ack.names, ack.version, ack.nonce) == (("c",), "5", "b")
    assert [(s.version, s.nonce) for s in world.begin()] == [("1", ""), ("5", "")], "after a reconnect"
    (nack,), got = world.answered("type.googleapis.com/other", "1", "x", {})
    assert got is None and "not asked for" in nack.error


def test_a_refused_update_leaves_the_last_one_in_force_and_says_why():
    for session in (World(), Delta()):
        session.begin()
        session.answered(CLUSTER, "1", "a", {"c": cluster("c")})
        (nack,), got = session.answered(CLUSTER, "2", "b", {}, ["one", "two"])
        assert got is None and (nack.nonce, nack.error) == ("b", "one; two")
        if isinstance(session, World):
            assert nack.version == "1"
        assert session.last[CLUSTER] == ["one", "two"]
        session.answered(CLUSTER, "3", "c", {"c": cluster("c")})
        assert CLUSTER not in session.last
    assert len(reasons(["x" * 50] * 1000)) < MOST_SAID + 50 and "more" in reasons(["x" * 50] * 1000)


def test_versions_of_delta_survive_a_reconnect():
    delta = Delta()
    assert delta.begin()[0].subscribe == ("*",)
    (ack,), got = delta.answered(CLUSTER, "", "a", {"c": cluster("c")}, versions={"c": "1"})
    assert (ack.nonce, ack.error) == ("a", "")
    (asked,) = delta.follow(["c", "d"])
    assert asked.subscribe == ("c", "d")
    delta.answered(ENDPOINT, "", "b", {"c": assignment("c", [])}, versions={"c": "3"})
    assert delta.begin()[1].initial == (("c", "3"),)
    _, got = delta.answered(ENDPOINT, "", "d", {}, removed=("nobody", "c"))
    assert got.removed == ("c",), "a removal of what was never there says nothing"
    (less,) = delta.follow(["d"])
    assert less.unsubscribe == ("c",)


def test_an_address_in_two_clusters_is_one_streamer_and_draining_in_either_drains():
    view = View()
    run(view.apply(accepted(CLUSTER, {n: cluster(n) for n in "ab"}, whole=True)))
    both = {"a": assignment("a", [(80, 1, 0, 0)]), "b": assignment("b", [(80, 3, 0, 0)])}
    put, gone = run(view.apply(accepted(ENDPOINT, both)))
    assert [(x.address, x.standing) for x in put] == [("h:80", "draining")] and not gone
    put, gone = run(view.apply(accepted(CLUSTER, {"a": cluster("a")}, whole=True)))
    assert [(x.address, x.standing) for x in put] == [("h:80", "ready")], "the other cluster is gone"
    put, gone = run(view.apply(accepted(CLUSTER, {}, whole=True)))
    assert not put and gone == ["h:80"]


# The codec.


def test_bytes_that_are_no_message_and_resources_of_another_type_are_told():
    for form in ("sotw", "delta"):
        for data in (b"\xff\xff", b"\x0a"):
            with pytest.raises(codec.Unreadable):
                codec.response(data, form)
        good = codec.cluster_bytes("c")
        data = codec.answer(form, CLUSTER, "1", "n", [("c", "1", good), ("d", "1", b"\xff")])
        assert len(run(codec.decoded(codec.response(data, form), wall))[2]) == 1
        data = codec.answer(form, CLUSTER, "1", "n", [("c", "1", good), ("c", "1", good)])
        assert "twice" in run(codec.decoded(codec.response(data, form), wall))[2][0]
    found = codec.response(codec.answer("delta", CLUSTER, "1", "n", [("other", "1", good)]), "delta")
    assert "names itself" in run(codec.decoded(found, wall))[2][0]
    found.packed[0][2].type_url = "x"
    assert "a x in a response" in run(codec.decoded(found, wall))[2][0]
    with pytest.raises(codec.Unreadable):
        codec.from_json(b"{")


def test_a_line_is_the_same_after_the_way_over_the_wire_in_bytes_and_in_json():
    lines = [
        Line("a", 4, "h:80", 3, "box", "z", "draining", 1.5, 2_000_000_000),
        Line("b", None, "[::1]:81", 0, "", "y", "ready", 0.004, 0),
    ]
    data = codec.assignment_bytes("c", lines, lambda ns: ns / 1e9, "r", 0.25, 7)
    sent = [("c", codec.mark(data), data)]
    for found in (
        codec.response(codec.answer("sotw", ENDPOINT, "1", "n", sent), "sotw"),
        codec.from_json(codec.answer_json(ENDPOINT, "1", sent)),
    ):
        out, versions, faults = run(codec.decoded(found, wall))
        assert not faults and [x[0] for x in out["c"].lines.values()] == lines
        assert (out["c"].drop, out["c"].stale_after) == (0.25, 7)


def test_requests_come_out_as_they_went_in():
    who = codec.node("c0", "r", "z")
    send = Delta().begin()[0]
    got = codec.asked(codec.request(send, "delta", who), "delta")
    assert (got.node, got.type_url, got.subscribe) == ("c0", CLUSTER, ("*",))
    (nack,), _ = World().answered(ENDPOINT, "2", "n", {}, ["bad"])
    got = codec.asked(codec.request(nack, "sotw"), "sotw")
    assert (got.nonce, got.error, got.version) == ("n", "bad", "")


def test_the_wait_for_a_lost_source_doubles_and_begins_anew_once_it_brought_something():
    backoff = Backoff(1)
    waits = [backoff.next_delay_after(False) for _ in range(9)]
    most = [min(MAX_DELAY_NS, MIN_DELAY_NS * 2**n) for n in range(9)]
    assert all(w / 2 <= x <= w for x, w in zip(waits, most, strict=True))
    assert (
        backoff.next_delay_after(True) <= MIN_DELAY_NS
        and len({Backoff(n).next_delay_after(False) for n in range(20)}) > 10
    )


# Both forms, whatever happens on the way.

facts = st.tuples(st.sampled_from([1, 3]), st.integers(0, 2), st.integers(0, 2))
states = st.dictionaries(st.sampled_from("abc"), st.dictionaries(st.integers(80, 84), facts, max_size=4))
HOW = ["once", "twice", "lost", "stale", "reconnect"]
kinds = st.lists(st.tuples(states, st.sampled_from(HOW)), max_size=8)


@settings(derandomize=True, database=None, deadline=None, max_examples=80)
@given(kinds)
def test_whatever_is_lost_doubled_or_late_both_forms_settle_to_the_source(history):
    sotw, delta = (View(), World()), (View(), Delta())
    lists, older = [{}, {}], {}
    server = {CLUSTER: {}, ENDPOINT: {}}  # what the delta server thinks that its client knows

    def take(n, view, got):
        put, gone = run(view.apply(got))
        lists[n].update({x.address: x for x in put})
        for address in gone:
            lists[n].pop(address, None)

    def tell_world(state):
        view, world = sotw
        take(0, view, world.answered(CLUSTER, "v", "n", {n: cluster(n) for n in state})[1])
        world.follow(view.followed())
        take(0, view, world.answered(ENDPOINT, "v", "n", messages(state))[1])

    def messages(state):
        return {n: assignment(n, [(p, *rest) for p, rest in sorted(e.items())]) for n, e in state.items()}

    def tell_delta(state):
        view, session = delta
        for kind, now in ((CLUSTER, {n: cluster(n) for n in state}), (ENDPOINT, messages(state))):
            known = server[kind]
            versions = {n: repr(m) for n, m in now.items()}
            put = {n: m for n, m in now.items() if known.get(n) != versions[n]}
            removed = tuple(n for n in known if n not in now)
            got = session.answered(
                kind, "", "n", put, versions={n: versions[n] for n in put}, removed=removed
            )[1]
            take(1, view, got)
            server[kind] = versions
            if kind == CLUSTER:
                session.follow(view.followed())

    for state, how in history:
        if how != "lost":
            tell_world(state), tell_delta(state)
        if how == "twice":
            tell_world(state), tell_delta(state)
        if how == "stale":
            tell_world(older)
        if how == "reconnect":
            sotw[1].begin()
            for sent in delta[1].begin():
                assert dict(sent.initial) == server[sent.type_url]
        older = state
    last = history[-1][0] if history else {}
    tell_world(last), tell_delta(last)
    fresh = View()
    run(fresh.apply(World().answered(CLUSTER, "v", "n", {n: cluster(n) for n in last})[1]))
    put, _ = run(fresh.apply(World().answered(ENDPOINT, "v", "n", messages(last))[1]))
    assert lists[0] == lists[1] == {x.address: x for x in put}
    assert {x.address: x for x in run(sotw[0].lines())} == lists[0]
