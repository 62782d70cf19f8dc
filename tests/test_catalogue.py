"""Changes to the catalogue: a plain model beside the versions, durability, admin, titles in service."""

import asyncio
import json
import os

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from testbed import in_testbed

from terndrift.catalogue import titles
from terndrift.catalogue.service import STREAM, Catalogue, Keeper
from terndrift.catalogue.titles import Fault, Title, dense, nearest
from terndrift.catalogue.versions import HISTORY, Change, Conflict, Versions, change_of
from terndrift.hints import cmcd
from terndrift.http.client import Call, fetch
from terndrift.store.commit import Committer
from terndrift.store.files import Files
from terndrift.store.store import Store

PLANS, LADDER = {"free": (0, 3), "paid": (1, 2)}, (25e3, 50e3, 100e3, 200e3)


def versions():
    return Versions(PLANS, LADDER)


def put(v, name, base=None, id=None, **more):
    change = Change(id or f"c{v.newest}", base=base, put={name: Title("free", 10, **more)})
    version, fresh = v.stage(change)
    if fresh:
        v.publish(version)
    return version


NAMES = [f"t{n}" for n in range(5)]
steps = st.tuples(
    st.sampled_from(["put", "put", "drop", "both", "again", "publish", "fail", "back"]),
    st.integers(0, 4),
    st.integers(0, 6),
    st.integers(1, 9),
)


@settings(derandomize=True, database=None, deadline=None, max_examples=200)
@given(st.lists(steps, max_size=60))
def test_any_history_reads_as_a_plain_list_of_whole_catalogues(history):
    v, whole, waiting = versions(), [{}], []  # whole[k]: the catalogue at version k
    changed = [{}]  # changed[k]: title -> the version that last changed it

    def make(change):
        staged = dict(whole[-1])
        lost = [
            name
            for name in [*change.put, *change.drop]
            if change.base is not None and changed[-1].get(name, 0) > change.base
        ]
        gone = [name for name in change.drop if name not in staged]
        bad = change.base is not None and change.base > len(whole) - 1
        try:
            version, fresh = v.stage(change)
        except Conflict:
            assert lost or bad
            return
        except Fault:
            assert gone
            return
        assert fresh and version == len(whole) and not lost and not bad and not gone
        staged.update(change.put)
        for name in change.drop:
            del staged[name]
        whole.append(staged)
        changed.append({**changed[-1], **dict.fromkeys([*change.put, *change.drop], version)})
        waiting.append(version)

    for n, (what, a, b, seconds) in enumerate(history):
        name, base = f"t{a}", (None if b == 6 else max(0, len(whole) - 1 - b))
        if what == "put":
            make(Change(f"c{n}", base=base, put={name: Title("free", seconds)}))
        elif what == "drop":
            make(Change(f"c{n}", base=base, drop=(name,)))
        elif what == "both":
            make(Change(f"c{n}", base=base, put={name: Title("paid", seconds)}, drop=(f"t{(a + 1) % 5}",)))
        elif what == "again" and v.past:
            last = v.past[-1].id
            with pytest.raises(Conflict):
                v.stage(Change(last, put={"other": Title("free", 1)}))
        elif what == "publish" and waiting:
            v.publish(waiting.pop(0))
        elif what == "fail":
            v.withdraw()
            del whole[v.visible + 1 :], changed[v.visible + 1 :]
            waiting.clear()
        elif what == "back" and not waiting and v.visible:
            to = v.visible - 1 - b % v.visible
            make(v.rollback(to, f"c{n}"))
            assert whole[-1] == whole[to]
        assert {x: v.get(x) for x in NAMES if v.get(x)} == whole[v.visible]
        assert v.newest == len(whole) - 1
    for old in range(max(0, v.visible - 5), v.visible + 1):
        found = v.diff(old, v.visible)
        assert {x: (whole[old].get(x), whole[v.visible].get(x)) for x in found} == found
        assert all(whole[old].get(x) == whole[v.visible].get(x) or x in found for x in NAMES)


def test_a_change_that_is_not_sound_is_told_whole_and_nothing_of_it_stands():
    v = versions()
    bad = {
        "a": Title("none", 0),
        "b": Title("paid", 5, rates=(1.0,)),
        "c": Title("free", 5, holders=(1, 1)),
        "d": Title("free", 5, nowhere=True, holders=(1,)),
        "e": Title("free", 5, rates=(5.0, None, 4.0)),
        "f/g": Title("free", 5),
        "h": Title("free", 5, valid_from=9.0, valid_until=3.0),
        "i": Title("free", 5, rates=(1.0,) * 9),
        "good": Title("free", 5),
    }
    with pytest.raises(Fault) as wrong:
        v.stage(Change("x", put=bad, drop=("good",)))
    paths = {path for path, _ in wrong.value.found}
    assert {
        "put.a.plan",
        "put.a.seconds",
        "put.b.rates",
        "put.c.holders",
        "put.d.nowhere",
        "put.e.rates",
        "put.f/g",
        "put.h.valid_until",
        "put.i.rates",
        "drop.good",
    } <= paths
    assert v.newest == 0 and not v.titles
    for value in (
        None,
        [],
        {"id": 3},
        {"id": "x", "put": [1]},
        {"id": "x", "more": 1},
        {"id": "x", "put": {"t": {"plan": "free"}}},
        {"id": "x", "drop": "t"},
        {"id": "x", "base": "1"},
        {"id": "x", "put": {"t": {"plan": "free", "seconds": 1, "colour": 2}}},
    ):
        with pytest.raises(Fault):
            change_of(value, "", 0.0)


def test_two_writers_with_one_base_and_changes_out_of_order():
    v = versions()
    put(v, "a"), put(v, "b")
    assert put(v, "a", base=2, id="first") == 3
    with pytest.raises(Conflict, match="changed since version 2: a"):
        put(v, "a", base=2, id="second")
    assert put(v, "b", base=2, id="other title") == 4
    with pytest.raises(Conflict, match="against version 9"):
        put(v, "a", base=9)
    assert put(v, "a", base=2, id="first") == 3 and v.newest == 4, "the same change again is the one it was"
    with pytest.raises(Conflict, match="against version 3, 4 is the newest"):
        v.stage(Change("w", base=3, whole=True))


def test_old_versions_are_forgotten_and_memory_does_not_grow_with_changes():
    v = versions()
    for n in range(3 * HISTORY):
        put(v, "a", id=f"n{n}", holders=(n,))
    assert len(v.titles["a"]) == 1 and len(v.past) == HISTORY
    with pytest.raises(Conflict, match="are kept from version"):
        v.rollback(5, "x")


def test_nearest_and_dense_rungs():
    assert [nearest([0, 2, 3], w, 0, 3) for w in range(4)] == [0, 0, 2, 3]
    assert nearest([2, 3], 0, 0, 3) == 2 and nearest([0], 3, 1, 3) is None
    assert nearest([0, 1, 3], 3, 1, 2) == 1
    title = Title("free", 5, rates=(None, 40.0, None, 90.0))
    assert dense(title, LADDER) == (40.0, 40.0, 40.0, 90.0)
    assert titles.valid(Title("free", 5, valid_from=5.0, valid_until=9.0), 5.0)
    assert not titles.valid(Title("free", 5, valid_until=9.0), 9.0)


def service(folder, **more):
    v = versions()
    committer = Committer(Store(Files(str(folder)), {STREAM: Keeper(v)}))
    return Catalogue(v, committer, **more)


def test_what_was_answered_is_there_after_a_restart_with_its_history(tmp_path):
    async def first():
        c = service(tmp_path)
        for n in range(20):
            await c.apply(Change(f"c{n}", by="me", at=5.0, put={f"t{n % 7}": Title("free", n + 1)}))
        await asyncio.gather(*(c.apply(Change(f"d{n}", put={f"u{n}": Title("paid", 9)})) for n in range(30)))
        async for _ in c.committer.snapshot():
            await c.apply(Change(f"e{c.versions.newest}", put={"late": Title("free", c.versions.newest)}))
        await c.apply(Change("drop", drop=("t0",)))
        c.committer.close()
        return c.versions

    async def second():
        c = service(tmp_path)
        again = c.versions
        assert await c.apply(Change("drop", drop=("t0",))) == (again.newest, False)
        back = again.rollback(again.visible - 1, "back")
        c.committer.close()
        return again, back

    was = asyncio.run(first())
    again, back = asyncio.run(second())
    assert again.visible == was.visible and sorted(again.names()) == sorted(was.names())
    assert all(again.get(n) == was.get(n) for n in was.names())
    assert [(p.version, p.id, p.by, p.before) for p in again.past] == [
        (p.version, p.id, p.by, p.before) for p in was.past
    ]
    assert back.put == {"t0": Title("free", 15)}


def test_what_can_not_be_written_never_was(tmp_path):
    async def run():
        heard = []
        c = service(tmp_path, changed=heard.append)
        await c.apply(Change("a", put={"t": Title("free", 1)}))

        def no_space(records):
            raise OSError(28, "no space")

        c.committer.store.append, append = no_space, c.committer.store.append
        results = await asyncio.gather(
            *(c.apply(Change(f"b{n}", put={"t": Title("free", n + 2)})) for n in range(5)),
            return_exceptions=True,
        )
        assert all(isinstance(r, OSError) for r in results)
        assert c.versions.get("t").seconds == 1 and c.versions.newest == 1
        c.committer.store.append = append
        assert await c.apply(Change("b1", put={"t": Title("free", 9)})) == (2, True)
        assert heard == [["t"], ["t"]]
        c.committer.close()

    asyncio.run(run())


async def admin(testbed, method, path, data=None, **headers):
    call, out = Call(testbed.pool, testbed.service.admin_address), bytearray()
    await call.open(1.0)
    body = b"" if data is None else json.dumps(data).encode()
    headers = {"Content-Length": str(len(body)), **headers}
    await call.run(method, path, headers, on_chunk=out.extend, body=body)
    return call.code, call.headers, json.loads(bytes(out) or b"null")


ADMIN = 'catalogue: {admin: "127.0.0.1:0", store: "cat", file: "cat.rec", poll: 20ms}'


@in_testbed(extra_settings=ADMIN)
async def test_the_admin_changes_titles_conditionally_and_says_what_is_wrong(testbed):
    code, headers, about = await admin(testbed, "GET", "/catalogue")
    assert code == 200 and headers["ETag"] == '"1"' and about["titles"] == 5
    new = {"plan": "free", "seconds": 2, "holders": [1, 77]}
    code, headers, made = await admin(testbed, "PUT", "/catalogue/titles/new", new, **{"If-Match": '"1"'})
    assert code == 200 and made == {"version": 2, "new": True}
    assert (await admin(testbed, "GET", "/catalogue/titles/new"))[2]["unlisted_holders"] == [77]
    assert (await testbed.request_playback("new"))[0] == 200
    code, _, lost = await admin(testbed, "DELETE", "/catalogue/titles/new", **{"If-Match": '"1"'})
    assert code == 409 and lost["version"] == 2
    bad = {"id": "x", "put": {"a": {"plan": "free"}}}
    code, _, wrong = await admin(testbed, "POST", "/catalogue/changes", bad)
    assert code == 422 and wrong["faults"][0]["path"] == "put.a"
    change = {"id": "same", "put": {"b": {"plan": "paid", "seconds": 2, "nowhere": True}}}
    assert (await admin(testbed, "POST", "/catalogue/changes", change))[2] == {"version": 3, "new": True}
    assert (await admin(testbed, "POST", "/catalogue/changes", change))[2] == {"version": 3, "new": False}
    assert (await testbed.request_playback("b"))[0] == 503, "known, but it lies nowhere yet"
    for method, path, data, code in (
        ("POST", "/catalogue", None, 405),
        ("GET", "/other", None, 404),
        ("POST", "/catalogue/changes", "x", 422),
        ("GET", "/catalogue/diff", None, 400),
        ("GET", "/catalogue/titles/none", None, 404),
        ("POST", "/catalogue/rollback", {"version": 9}, 409),
    ):
        assert (await admin(testbed, method, path, data))[0] == code, path
    assert (await admin(testbed, "PUT", "/catalogue/titles/x", new, **{"If-Match": "x"}))[0] == 400
    found = (await admin(testbed, "GET", "/catalogue/diff?from=1&to=3"))[2]
    assert set(found) == {"new", "b"} and found["new"]["was"] is None
    assert (await admin(testbed, "POST", "/catalogue/rollback", {"version": 1}))[2]["version"] == 4
    assert (await testbed.request_playback("new"))[0] == 404
    past = (await admin(testbed, "GET", "/catalogue/history"))[2]["changes"]
    assert [p["version"] for p in past] == [1, 2, 3, 4]


@in_testbed(extra_settings=ADMIN)
async def test_a_file_is_followed_and_a_bad_one_leaves_the_catalogue(testbed):
    def write(text):
        with open(testbed.path("cat.part"), "w", encoding="utf-8") as file:
            file.write(text)
        os.replace(testbed.path("cat.part"), testbed.path("cat.rec"))

    async def version(n):
        while testbed.service.titles.versions.visible < n:
            await asyncio.sleep(0.01)

    write('titles: "clip": {plan: "free", seconds: 2}\ntitles: "x": {plan: "free", seconds: 3}')
    await version(2)
    assert (await testbed.request_playback("x"))[0] == 200 and (await testbed.request_playback("lesson"))[
        0
    ] == 404
    write('titles: "clip": {plan: "nothing", seconds: 2}')
    while not any("no plan" in str(f) for _, _, f in testbed.log_entries):
        await asyncio.sleep(0.01)
    assert (await testbed.request_playback("x"))[0] == 200
    write('titles: "clip": {plan: "free", seconds: 2}')
    await version(3)
    assert (await testbed.request_playback("x"))[0] == 404


def drop(testbed, *names):
    return testbed.service.catalogue.apply(Change(f"drop {names}", drop=names))


@in_testbed
async def test_a_title_removed_while_it_plays_is_tried_and_is_held(testbed):
    playing = asyncio.ensure_future(testbed.player("clip", "plays").watch())
    while not testbed.streamer_events("media"):
        await asyncio.sleep(0.01)
    for s in testbed.fleet.streamers.values():
        s.begin("late", 0.08)
    seats = await asyncio.gather(
        *(testbed.request_playback("seat", {cmcd.SESSION: f'sid="s{n}"'}) for n in range(2))
    )
    assert [s[0] for s in seats] == [200, 200]
    held = asyncio.ensure_future(testbed.request_playback("seat", {cmcd.SESSION: 'sid="held"'}))
    while testbed.service.core.unanswered_count < 1:
        await asyncio.sleep(0.005)
    tried = asyncio.ensure_future(testbed.request_playback("clip", {cmcd.SESSION: 'sid="tried"'}))
    while not any(n["sid"] == "tried" for n in testbed.streamer_events("try")):
        await asyncio.sleep(0.001)
    await drop(testbed, "clip", "seat")
    code, _, _, took = await held
    assert code == 503 and took < 0.9, "there is nothing left to wait for"
    assert (await tried)[0] == 200 and round(await playing, 2) == 2.0
    assert (await testbed.request_playback("clip"))[0] == 404
    assert set(testbed.audit_report()["rules"].values()) == {0}


@in_testbed
async def test_holders_moved_between_the_choice_and_the_connect_send_nothing_to_the_old_one(testbed):
    transport = testbed.service.transport
    began, may = asyncio.Event(), asyncio.Event()
    tried = transport._try

    async def slow(playback, call, rung):
        began.set()
        await may.wait()
        await tried(playback, call, rung)

    transport._try = slow
    # An attempt of a repeatable plan times out after 200 ms, sooner than a busy disk writes the change;
    # one of a plan that may not be repeated waits until the playback's own deadline.
    await testbed.service.catalogue.apply(Change("n", put={"moved": Title("paid", 2, holders=(1,))}))
    asked = asyncio.ensure_future(testbed.request_playback("moved"))
    await began.wait()
    await testbed.service.catalogue.apply(Change("m", put={"moved": Title("paid", 2, holders=(2,))}))
    may.set()
    assert (await asked)[0] == 200
    assert {n["streamer"] for n in testbed.streamer_events("try")} == {2}


@in_testbed
async def test_a_holder_that_no_list_names_gets_nothing_until_one_does(testbed):
    v = Title("free", 2, holders=(9, 0))
    await testbed.service.catalogue.apply(Change("m", put={"clip": v}))
    assert testbed.service.catalogue.unlisted(testbed.service.addresses) == {"clip": [9]}
    assert (await testbed.request_playback("clip"))[0] == 200
    assert {n["streamer"] for n in testbed.streamer_events("try")} == {0}


@in_testbed
async def test_a_rendition_removed_under_a_playing_rung_is_played_by_the_nearest_permitted(testbed):
    code, _, body, _ = await testbed.request_playback("lesson")
    base = next(x for x in body.decode().splitlines() if x.startswith("/p/")).rsplit("/", 2)[0]
    rates = testbed.service.value["deployment"]["ladder"]["rates"]

    async def served():
        return len((await testbed.request_playback(path=f"{base}/r3/0.ts"))[2])

    assert code == 200 and await served() == rates[3] * 0.2
    left = Title("paid", 2, rates=(*rates[:2], None, None))
    await testbed.service.catalogue.apply(Change("m", put={"lesson": left}))
    assert await served() == rates[1] * 0.2
    floor = Title("paid", 2, rates=(rates[0], None, rates[2], None))
    await testbed.service.catalogue.apply(Change("n", put={"lesson": floor}))
    assert await served() == rates[2] * 0.2, "never under the floor"
    assert set(testbed.audit_report()["rules"].values()) == {0}


@in_testbed(extra_settings=ADMIN)
async def test_the_catalogue_is_there_again_after_the_controller_is(testbed):
    await testbed.service.catalogue.apply(Change("m", put={"kept": Title("free", 2)}))
    await testbed.service.close()
    await testbed.start_controller(testbed.address)
    assert (await testbed.request_playback("kept"))[0] == 200
    assert (await fetch(testbed.pool, testbed.service.admin_address, "GET", "/catalogue"))[0] == 200
