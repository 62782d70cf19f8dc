"""The plan of background work beside a plain account of what it promises, and the runner on a loop."""

import asyncio
import time

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from terndrift.scheduler.plan import MS, SAVED, SECOND, Plan, Priority
from terndrift.scheduler.runner import Runner

SLICES = st.lists(st.tuples(st.integers(0, 3), st.integers(1, 5 * MS), st.integers(0, 3 * MS)), max_size=200)


@settings(derandomize=True, database=None, deadline=None)
@given(st.floats(0.02, 0.5), SLICES)
def test_all_jobs_together_never_get_more_than_the_share(share, slices):
    now, plan, spent = 0, Plan(share, 0), 0
    for n in range(4):
        plan.add(now, f"j{n}", list(Priority)[n % 3], bytes_a_second=[0, 1000][n % 2])
    for _, took, idle in slices:
        job, wait = plan.next(now)
        if job is None:
            assert wait > 0
            now += wait
            continue
        now += took + idle
        plan.ran(now, job, took, took % 700)
        spent += took
        # the allowance saved at the beginning, the share since, and one slice that may overdraw it
        assert spent <= SAVED + share * now + 5 * MS + 1


def served(priorities, slices=3000):
    now, plan, got = 0, Plan(0.1, 0), {}
    for name, priority in priorities.items():
        plan.add(now, name, priority)
    for _ in range(slices):
        job, wait = plan.next(now)
        if job is None:
            now += wait
            continue
        now += MS
        plan.ran(now, job, MS)
        got[job.name] = got.get(job.name, 0) + 1
    return got


def test_time_goes_by_priority_and_starves_nobody():
    got = served({"a": Priority.URGENT, "b": Priority.BACKGROUND, "c": Priority.BACKGROUND})
    assert abs(got["b"] - got["c"]) <= 1 and 14 <= got["a"] / got["b"] <= 18


def test_a_new_job_begins_beside_the_least_served():
    now, plan = 0, Plan(0.5, 0)
    old = plan.add(now, "old")
    for _ in range(100):
        now += 10 * MS
        plan.ran(now, plan.next(now)[0], MS)
    plan.add(now, "new")
    turns = []
    for _ in range(20):
        now += 10 * MS
        job, _ = plan.next(now)
        turns.append(job.name)
        plan.ran(now, job, MS)
    assert 9 <= turns.count("old") <= 11 and old.slices > 100


def test_a_job_that_would_be_late_goes_first_and_is_told_if_it_is():
    plan = Plan(0.1, 0)
    plan.add(0, "much", Priority.URGENT)
    plan.add(0, "due", wanted_by=SECOND, work_left=50 * MS)
    assert plan.next(0)[0].name == "much"
    plan.ran(0, plan.jobs["much"], 1)
    assert plan.next(600 * MS)[0].name == "due"
    assert not plan.late(SECOND) and [j.name for j in plan.late(SECOND + 1)] == ["due"]


def test_bytes_a_second_are_kept():
    now, plan, moved = 0, Plan(0.5, 0), 0
    plan.add(now, "b", bytes_a_second=1000.0)
    while now < 20 * SECOND:
        job, wait = plan.next(now)
        if job is None:
            now += wait
            continue
        now += 100_000
        plan.ran(now, job, 100_000, 300)
        moved += 300
    assert 19_000 <= moved <= 21_500
    with pytest.raises(ValueError):
        plan.add(now, "b")


def test_the_runner_runs_jobs_whole_tells_failures_and_lets_the_loop_turn():
    async def run():
        runner, turns, done = Runner(0.5), 0, []

        def work(name, slices):
            for n in range(slices):
                end = time.thread_time_ns() + 200_000
                while time.thread_time_ns() < end:
                    pass
                done.append((name, n))
                yield 10

        async def beside():
            for n in range(5):
                await asyncio.sleep(0)
                yield n

        def fails():
            yield 0
            raise ValueError("no")

        async def turning():
            nonlocal turns
            while True:
                await asyncio.sleep(0)
                turns += 1

        beat = asyncio.ensure_future(turning())
        ends = [runner.run("a", work("a", 20)), runner.run("b", work("b", 20)), runner.run("c", beside())]
        bad = runner.run("d", fails())
        await asyncio.gather(*ends)
        with pytest.raises(ValueError):
            await bad
        beat.cancel()
        assert len(done) == 40 and turns > 40 and not runner.plan.jobs
        assert {name for name, _ in done[:6]} == {"a", "b"}
        runner.close()

    asyncio.run(run())
