"""Set-up tries at streamers that a source had told off, by what passed on the sockets of both."""

from terndrift.audit.judge import off_since

SECOND = 1_000_000_000


def report(facts):
    """`sent_after_removal_1s`: tries that reached a streamer over a second after its controller was sent that
    it is removed, drains or is unhealthy, and took that; the latest of those within the second beside it."""
    since, late, latest = off_since(facts), 0, 0
    for t in facts.tries:
        off = since(t)
        if off is not None:
            late += t.at - off > SECOND
            latest = max(latest, t.at - off)
    notes = facts.runner
    return {
        "list_changes": sum(n["what"] == "list change" for n in notes),
        "stream_faults": sum(n["what"] == "stream fault" for n in notes),
        "told_off": sum(s != "ready" for n in notes if n["what"] == "told" for s in n["standings"].values()),
        "updates_refused": sum(n["what"] == "refusals" and n["count"] for n in notes),
        "sent_after_removal_1s": late,
        "latest_after_removal_ms": round(latest / 1e6, 1),
    }
