"""A day second by second as a picture: what was asked for and answered, what played, links and racks."""

import math
from statistics import fmean

import matplotlib

from terndrift.audit import recovery, seconds

matplotlib.use("Agg")
from matplotlib import pyplot  # noqa: E402 - the drawing without a screen has to be chosen first


def plot(facts, length, path, title=""):
    """Writes the picture of a day of `length` s; its form goes by the ending of `path`."""
    day = seconds.rows(facts, length)
    at = range(len(day))
    figure, (asked, rung, use, kb) = pyplot.subplots(4, 1, figsize=(10, 12), sharex=True)
    for name in ("asked", "in_target", "refused", "tries", "seatless"):
        asked.plot(at, [getattr(row, name) for row in day], label=name.replace("_", " "))
    for n, row in enumerate(day):
        if row.low():
            asked.axvspan(n - 0.5, n + 0.5, color="tab:red", alpha=0.2)
    begin = next(n for n in facts.runner if n["what"] == "fleet")["begin"] if day else 0
    for began, ended, _ in recovery.outages(facts):
        at_s = [(t - begin) / seconds.SECOND for t in (began, ended)]
        full = recovery.full_at(day, int(at_s[0]), math.ceil(at_s[1]))
        asked.axvspan(*at_s, color="tab:gray", alpha=0.3, label="outage")
        if full is not None:
            asked.axvline(max(full, at_s[1]), color="tab:green", label="full service")
    asked.set(ylabel="a second", title=title)
    rung.plot(at, [fmean(row.rungs) if row.rungs else float("nan") for row in day], label="mean rung")
    rung.set(ylabel="rung")
    playing = rung.twinx()
    playing.plot(at, [row.playing for row in day], color="tab:gray", label="playing")
    playing.set(ylabel="playing")
    for name, colour in (("link_use", "tab:blue"), ("rack_use", "tab:orange")):
        many = [getattr(row, name) or [0.0] for row in day]
        use.plot(at, [fmean(x) for x in many], color=colour, label=f"{name.replace('_', ' ')}, mean")
        use.fill_between(at, [min(x) for x in many], [max(x) for x in many], color=colour, alpha=0.15)
    use.axhline(1.0, color="black", linewidth=0.5)
    use.set(ylabel="asked over given")
    for name in facts.names:
        kb.plot(at, [row.kb.get(name, 0.0) for row in day], linewidth=0.8, label=name)
    kb.set(ylabel="kB/s by controller", xlabel="s")
    for axes in (asked, use) if len(facts.names) > 10 else (asked, use, kb):
        axes.legend(fontsize="small", ncol=5)
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)
