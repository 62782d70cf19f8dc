"""CMCD and CMSD: written and read again, and whatever a player may send instead."""

from hypothesis import given, settings
from hypothesis import strategies as st

from terndrift.hints import cmcd, cmsd
from terndrift.hints.meaning import MS, understand

RATES = [25e3, 50e3, 100e3, 200e3]  # 200, 400, 800, 1600 kbit/s
TEXT = st.text(st.characters(min_codepoint=32, max_codepoint=126), max_size=64)
quick = settings(derandomize=True, database=None, deadline=None, max_examples=200)


def value(key):
    if key.form == "int":
        return st.integers(0, 10**6).map(lambda n: n * key.step)
    return {
        "decimal": st.integers(0, 9999).map(lambda n: n / 1000),
        "flag": st.just(True),
        "string": TEXT,
        "token": st.sampled_from(key.among or ("x",)),
    }[key.form]


def some(keys):
    return st.fixed_dictionaries({}, optional={k: value(key) for k, key in keys.items()})


custom = st.dictionaries(
    st.sampled_from(["com.example-a", "org.b-c"]), st.one_of(st.integers(-9, 9), TEXT, st.booleans())
)


@quick
@given(some(cmcd.KEYS), custom)
def test_cmcd_is_read_as_it_was_written(values, more):
    values = {k: v for k, v in values.items() if v != cmcd.KEYS[k].default}
    more = {k: (cmcd.STATUS, v) for k, v in more.items()}
    said = cmcd.parse(cmcd.headers(values, more))
    assert (said.values, said.custom, said.ignored) == (values, more, [])
    query = cmcd.parse({}, cmcd.from_query("a=1&CMCD=" + cmcd.query(values, more) + "&b"))
    assert query.values == values and {k: v for k, (_, v) in query.custom.items()} == {
        k: v for k, (_, v) in more.items()
    }


@quick
@given(some(cmsd.STATIC_KEYS), custom, st.lists(st.tuples(TEXT, some(cmsd.DYNAMIC_KEYS)), max_size=4))
def test_cmsd_is_read_as_it_was_written(static, more, hops):
    static = {k: v for k, v in static.items() if v != cmsd.STATIC_KEYS[k].default}
    header = cmsd.static_header(static, more)
    said = cmsd.parse({cmsd.STATIC: header, cmsd.DYNAMIC: cmsd.dynamic_header(hops)})
    assert (said.static, said.custom, said.dynamic, said.ignored) == (static, more, hops, [])


@quick
@given(st.text(max_size=80), st.text(alphabet='abc=",;-.1?\\ ', max_size=60), st.sampled_from(cmcd.HEADERS))
def test_nothing_that_is_sent_raises(anything, likely, header):
    for text in (anything, likely):
        cmcd.parse({header: text}, text)
        cmsd.parse({cmsd.STATIC: text, cmsd.DYNAMIC: text})
        cmcd.from_query(text)


def test_one_bad_member_costs_itself_alone():
    said = cmcd.parse({cmcd.REQUEST: 'bl=2100,mtp=,dl=900,,su="x"', cmcd.OBJECT: "br=-4,d=4000, tb=800"})
    assert said.values == {"bl": 2100, "dl": 900, "d": 4000, "tb": 800}
    assert {i.key for i in said.ignored} >= {"mtp=", "su", "br"}


def test_headers_are_believed_over_the_query_and_repeats_are_told():
    said = cmcd.parse({cmcd.OBJECT: "tb=800,tb=400"}, 'tb=1600,sid="a"')
    assert said.values == {"tb": 400, "sid": "a"}
    assert [i.key for i in said.ignored] == ["tb", "tb"]


def test_names_too_long_or_not_ascii_are_ignored():
    for bad in ('sid="' + "x" * 10000 + '"', 'sid="' + "x" * 65 + '"', 'sid="\u00e9"', "sid=abc"):
        said = cmcd.parse({cmcd.SESSION: bad})
        assert "sid" not in said.values and said.ignored


def test_rounding_and_defaults_are_as_published():
    assert cmcd.headers({"bl": 21349, "rtp": 401, "pr": 1, "v": 1, "bs": False}) == {
        cmcd.REQUEST: "bl=21300",
        cmcd.STATUS: "rtp=500",
    }


def asked(floor=0, top=3, **values):
    return understand(cmcd.Hints(values), "t", floor, top, RATES, 3000 * MS)


def test_a_hint_lowers_what_is_asked_for_and_never_widens_it():
    assert asked().top == 3 and asked().time_left == 3000 * MS
    assert asked(tb=850).top == 2 and asked(tb=99999, top=1).top == 1
    assert asked(dl=900).time_left == 900 * MS and asked(dl=9000).time_left == 3000 * MS
    low = asked(tb=100, floor=1)
    assert low.top == 3 and [i.key for i in low.ignored] == ["tb"]
    assert asked(mtp=100, floor=1).top == 1
    past = asked(dl=0)
    assert past.time_left == 3000 * MS and [i.key for i in past.ignored] == ["dl"]
    assert [i.key for i in asked(cid="other", st="l", sf="d").ignored] == ["st", "sf", "cid"]


@quick
@given(some(cmcd.KEYS), st.integers(0, 3), st.integers(0, 3))
def test_whatever_is_hinted_stays_within_the_plan(values, floor, top):
    floor, top = min(floor, top), max(floor, top)
    got = understand(cmcd.Hints(values), "t", floor, top, RATES, 3000 * MS)
    assert floor <= got.top <= top and 0 < got.time_left <= 3000 * MS
