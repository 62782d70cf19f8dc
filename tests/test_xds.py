"""xDS free of I/O: what a subscription sends, what endpoints mean, that the view settles to the source's."""

from envoy.config.cluster.v3.cluster_pb2 import Cluster
from envoy.config.endpoint.v3.endpoint_pb2 import ClusterLoadAssignment
from hypothesis import given, settings
from hypothesis import strategies as st

from terndrift.xds import meaning
from terndrift.xds.session import CLUSTER, ENDPOINT, Delta, World
from terndrift.xds.view import View


def wall(seconds):
    return int(seconds * 10**9)


def assignment(name, endpoints):
    """`endpoints`: (port, health, rack, started)."""
    out = ClusterLoadAssignment(cluster_name=name)
    place = out.endpoints.add()
    place.locality.region, place.locality.zone = "r", "z"
    for port, health, rack, started in endpoints:
        one = place.lb_endpoints.add(health_status=health)
        one.endpoint.address.socket_address.address = "h"
        one.endpoint.address.socket_address.port_value = port
        one.load_balancing_weight.value = 150
        facts = {"rack": rack, "kind": "box", "started": started}
        one.metadata.filter_metadata[meaning.METADATA].update(facts)
    return out


def judge(*_):
    return []


def test_an_endpoint_becomes_a_line():
    found, faults = meaning.lines(assignment("c", [(80, 1, 3, 12.5), (81, 3, 0, 0), (82, 2, 0, 0)]),
                                  meaning.Names(), wall)
    a, b, c = found.values()
    assert not faults and (a.address, a.rack, a.kind, a.zone, a.weight) == ("h:80", 3, "box", "z", 1.5)
    assert a.started == 12_500_000_000 and [x.standing for x in (a, b, c)] == ["ready", "draining", "gone"]


def test_what_is_wrong_is_told_whole_and_nothing_is_applied():
    view = View(wall)
    bad = assignment("c", [(80, 1, 0, 0), (0, 1, 0, 0), (81, 1, -4, 0)])
    world = World(view.judge)
    world.follow(["c"])
    (sent,), accepted = world.answered(ENDPOINT, "7", "n1", {"c": bad})
    assert accepted is None and sent.nonce == "n1" and sent.version == ""
    assert "no address" in sent.error and "rack -4" in sent.error and not view.assignments


def test_versions_and_nonces_of_the_state_of_the_world():
    world = World(judge)
    assert [(s.type_url, s.version, s.nonce) for s in world.begin()] == [(CLUSTER, "", "")]
    (ack,), got = world.answered(CLUSTER, "1", "a", {"c": Cluster(name="c")})
    assert (ack.version, ack.nonce, ack.error, got.whole) == ("1", "a", "", True)
    (asked,) = world.follow(["c"])
    assert (asked.names, asked.version, asked.nonce) == (("c",), "", "") and world.follow(["c"]) == []
    (ack,), got = world.answered(ENDPOINT, "5", "b", {"c": assignment("c", [])})
    assert (ack.names, ack.version, ack.nonce) == (("c",), "5", "b")
    assert [(s.version, s.nonce) for s in world.begin()] == [("1", ""), ("5", "")], "after a reconnect"
    (nack,), got = world.answered("type.googleapis.com/other", "1", "x", {})
    assert got is None and "not asked for" in nack.error


def test_versions_of_delta_survive_a_reconnect():
    delta = Delta(judge)
    assert delta.begin()[0].subscribe == ("*",)
    (ack,), got = delta.answered(CLUSTER, "", "a", {"c": Cluster(name="c")}, versions={"c": "1"})
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
    view, world = View(wall), World(judge)
    clusters = {n: Cluster(name=n) for n in "ab"}
    view.apply(world.answered(CLUSTER, "1", "n", clusters)[1])
    world.follow(view.followed())
    resources = {"a": assignment("a", [(80, 1, 0, 0)]), "b": assignment("b", [(80, 3, 0, 0)])}
    put, gone = view.apply(world.answered(ENDPOINT, "1", "m", resources)[1])
    assert [(x.address, x.standing) for x in put] == [("h:80", "draining")] and not gone
    put, gone = view.apply(world.answered(CLUSTER, "2", "o", {"a": clusters["a"]})[1])
    assert [(x.address, x.standing) for x in put] == [("h:80", "ready")], "the other cluster is gone"
    put, gone = view.apply(world.answered(CLUSTER, "3", "p", {})[1])
    assert not put and len(gone) == 1


def test_two_addresses_of_one_checksum_get_two_numbers():
    names = meaning.Names()
    first = names.number("h:1")
    names.taken[meaning.zlib.crc32(b"h:2")] = "other"
    assert names.number("h:2") != meaning.zlib.crc32(b"h:2") and names.number("h:1") == first


facts = st.tuples(st.sampled_from([1, 3]), st.integers(0, 2), st.integers(0, 2))
states = st.dictionaries(st.sampled_from("abc"), st.dictionaries(st.integers(80, 84), facts, max_size=4))
HOW = ["once", "twice", "lost", "stale", "reconnect"]
kinds = st.lists(st.tuples(states, st.sampled_from(HOW)), max_size=8)


@settings(derandomize=True, database=None, deadline=None, max_examples=80)
@given(kinds)
def test_whatever_is_lost_doubled_or_late_both_forms_settle_to_the_source(history):
    sotw, delta = (View(wall), World(judge)), (View(wall), Delta(judge))
    lists, older = [{}, {}], {}
    server = {CLUSTER: {}, ENDPOINT: {}}  # what the delta server thinks that its client knows

    def take(n, view, accepted):
        put, gone = view.apply(accepted)
        lists[n].update({x.id: x for x in put})
        for id in gone:
            lists[n].pop(id, None)

    def tell_world(state):
        view, world = sotw
        take(0, view, world.answered(CLUSTER, "v", "n", {n: Cluster(name=n) for n in state})[1])
        world.follow(view.followed())
        take(0, view, world.answered(ENDPOINT, "v", "n", messages(state))[1])

    def messages(state):
        return {n: assignment(n, [(p, *rest) for p, rest in sorted(e.items())]) for n, e in state.items()}

    def tell_delta(state):
        view, session = delta
        for kind, now in ((CLUSTER, {n: Cluster(name=n) for n in state}), (ENDPOINT, messages(state))):
            known = server[kind]
            versions = {n: str(hash(m.SerializeToString())) for n, m in now.items()}
            put = {n: m for n, m in now.items() if known.get(n) != versions[n]}
            removed = tuple(n for n in known if n not in now)
            accepted = session.answered(kind, "", "n", put, versions={n: versions[n] for n in put},
                                        removed=removed)[1]
            take(1, view, accepted)
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
    fresh = View(wall)
    fresh.apply(World(judge).answered(CLUSTER, "v", "n", {n: Cluster(name=n) for n in last})[1])
    world = World(judge)
    put, _ = fresh.apply(world.answered(ENDPOINT, "v", "n", messages(last))[1])
    assert {x.address: x.standing for x in lists[0].values()} == {x.address: x.standing for x in put}
    assert lists[0] == lists[1]
