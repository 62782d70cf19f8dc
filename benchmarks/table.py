"""The same days under the design and the baselines, several seeds, a few at once: a table in Markdown.

python -m benchmarks.table [--day bad-day] [--seeds 10] [--at-once 4] [--out FILE]
"""

import asyncio
import json
import os
import statistics
import sys
import tempfile

import click

POLICIES = ("design", "random", "round-robin", "least-connections")


async def one(day, seed, policy, size, gate, folder, done):
    out = os.path.join(folder, f"{policy}-{seed}.json")
    async with gate:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "terndrift",
            "rehearse",
            day,
            "--seed",
            str(seed),
            "--policy",
            policy,
            "--controllers",
            str(size[0]),
            "--streamers",
            str(size[1]),
            "--seconds",
            str(size[2]),
            "--report",
            out,
            stdout=asyncio.subprocess.DEVNULL,
        )
        await process.wait()
    with open(out, encoding="utf-8") as file:
        done[policy, seed] = json.load(file)
    click.echo(f"{policy} {seed}: {done[policy, seed]['revenue_answered_in_target']}", err=True)


async def every(day, seeds, size, at_once, folder):
    gate, done = asyncio.Semaphore(at_once), {}
    # seed by seed, so that what else the machine does meets all policies alike
    await asyncio.gather(
        *(
            one(day, seed, policy, size, gate, folder, done)
            for seed in range(1, seeds + 1)
            for policy in POLICIES
        )
    )
    return done


def table(done, seeds):
    lines = ["| seed | " + " | ".join(POLICIES) + " |", "| --- |" + " --- |" * len(POLICIES)]
    for seed in range(1, seeds + 1):
        row = [f"{done[p, seed]['revenue_answered_in_target']:.3f}" for p in POLICIES]
        lines.append(f"| {seed} | " + " | ".join(row) + " |")
    for name, pick in (("median", statistics.median), ("lowest", min)):
        row = [
            f"{pick(done[p, s]['revenue_answered_in_target'] for s in range(1, seeds + 1)):.3f}"
            for p in POLICIES
        ]
        lines.append(f"| {name} | " + " | ".join(row) + " |")
    rules = list(done[POLICIES[0], 1]["rules"])
    lines += ["", "| breaks of | " + " | ".join(POLICIES) + " |", "| --- |" + " --- |" * len(POLICIES)]
    for rule in rules:
        row = [str(sum(done[p, s]["rules"][rule] for s in range(1, seeds + 1))) for p in POLICIES]
        lines.append(f"| {rule} | " + " | ".join(row) + " |")
    asked = sum(done["design", s]["playbacks"] for s in range(1, seeds + 1))
    kinds = {}
    for s in range(1, seeds + 1):
        for kind, count in done["design", s]["answers"].items():
            kinds[kind] = kinds.get(kind, 0) + count
    told = ", ".join(f"{count} {kind}" for kind, count in sorted(kinds.items()))
    return "\n".join([*lines, "", f"The design answered {asked} requests for a playback: {told}."])


@click.command()
@click.option("--day", default="bad-day", show_default=True)
@click.option("--seeds", default=10, show_default=True)
@click.option("--controllers", default=3, show_default=True)
@click.option("--streamers", default=12, show_default=True)
@click.option("--seconds", default=60, show_default=True)
@click.option("--at-once", default=4, show_default=True)
@click.option("--out", type=click.Path(), help="Write the table here, too.")
def main(day, seeds, controllers, streamers, seconds, at_once, out):
    with tempfile.TemporaryDirectory() as folder:
        done = asyncio.run(every(day, seeds, (controllers, streamers, seconds), at_once, folder))
        text = table(done, seeds)
        for (policy, seed), report in done.items():
            for rule, found in report["breaks"].items():
                click.echo(f"{policy} {seed}: {rule}: {found[:3]}", err=True)
    click.echo(text)
    if out:
        with open(out, "w", encoding="utf-8") as file:
            file.write(text + "\n")


if __name__ == "__main__":
    main()
