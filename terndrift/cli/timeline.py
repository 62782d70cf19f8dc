"""A time line of planned work, by rack: PNG, matplotlib."""

from terndrift.fleet.planned_work import WorkState

COLOURS = {
    WorkState.WAITING: "#dddddd",
    WorkState.DRAINING: "#f0c36d",
    WorkState.DRAINED: "#e69138",
    WorkState.OUT: "#cc4125",
    WorkState.OVERDUE: "#7f0000",
    WorkState.RETURNING: "#6fa8dc",
    WorkState.WARMING_UP: "#a4c2f4",
    WorkState.DONE: "#6aa84f",
    WorkState.GIVEN_BACK: "#b4a7d6",
    WorkState.OUT_IN_EARLIER_EPOCH: "#000000",
}


def drawn(spans, racks, path):
    """`spans`: machine -> [(state, from, until)] in ms; `racks`: machine -> what it stands under."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    names = sorted(spans, key=lambda m: (racks.get(m, "?"), m), reverse=True)
    begin = min((parts[0][1] for parts in spans.values()), default=0)
    figure, axes = pyplot.subplots(figsize=(10, 1.5 + 0.22 * len(names)))
    for n, name in enumerate(names):
        for state, since, until in spans[name]:
            axes.barh(
                n,
                (until - since) / 1000,
                left=(since - begin) / 1000,
                height=0.8,
                color=COLOURS[WorkState(state)],
            )
    axes.set_yticks(range(len(names)), [f"{racks.get(m, '?')}  {m}" for m in names], fontsize=7)
    axes.set_xlabel("s")
    seen = {state for parts in spans.values() for state, _, _ in parts}
    states = [state for state in COLOURS if state.value in seen]
    axes.legend(
        [pyplot.Rectangle((0, 0), 1, 1, color=COLOURS[s]) for s in states],
        [s.value for s in states],
        fontsize=7,
        ncols=5,
        loc="lower center",
        bbox_to_anchor=(0.5, 1.0),
    )
    figure.tight_layout()
    figure.savefig(path, dpi=110)
    pyplot.close(figure)
