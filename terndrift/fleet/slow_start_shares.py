"""Division of the slow start pace of cold streamers among the controllers, as the agreed record has it.

The fleet's Controller calls this module: the leader to propose the next entry, every controller to learn its
own share. It does no I/O and never lets the shares of all controllers come to more than the whole pace, even
while their views of the record or of the membership differ.

Each of the n controllers that share the pace takes 1/n. Who shares is an entry of the record; it has the
names of the controllers and those of the entry before. The rules:

- A controller whose state of the record is older than MAX_RECORD_AGE_NS, or that has none yet, takes no
  share.
- For TRANSITION_NS after it first saw an entry, a controller that the previous entry named uses the longer
  of the two lists; TRANSITION_NS covers MAX_RECORD_AGE_NS on any controller's clock. After that it uses the
  current names.
- A controller that the previous entry didn't name takes no share during that time.
- A name is removed only after the controller was missing for TRANSITION_NS. An entry follows another after
  2 TRANSITION_NS; the last one of a series has equal lists, so that a restarted controller need not wait.

Why the sum holds, with n names before and m now: when the list grows, whoever has seen the entry takes 1/m;
whoever has not takes 1/n and is one of n. New controllers start when none of the latter is left, as each has
then seen the entry or takes no share. When the list shrinks, the controllers named before take 1/n, and the m
that stay take 1/m once the removed ones take no share: those were missing, and either know the entry or have
no current state. tests/test_warm.py checks combinations of views.
"""

from terndrift.fleet.planned_work import (
    MAX_CLOCK_DRIFT,
    MAX_DETECTION_DELAY_NS,
    MAX_RECORD_AGE_NS,
    is_fresh_enough_to_place,
)

RECORD_KEY = "ranks"
TRANSITION_NS = int(MAX_RECORD_AGE_NS * (1 + MAX_CLOCK_DRIFT)) + MAX_DETECTION_DELAY_NS


class SlowStartShares:
    """One controller's view of the entry that says who shares the slow start pace. Times are in ns."""

    def __init__(self):
        self.entry_id, self.entry_seen_at = (
            None,
            0,
        )  # the current entry, and when this controller first saw it
        self.missing_since = {}  # name -> since when this controller has found it missing

    def note_entry(self, now, state):
        """Notes when the entry in `state` was first seen; called whenever the state may have changed."""
        entry_id = state["epoch"][0], state["map"].get(RECORD_KEY, {}).get("gen")
        if entry_id != self.entry_id:
            self.entry_id, self.entry_seen_at = entry_id, now

    def next(self, now, state, configured_names, alive_names):
        """Returns (id, value) of the entry that the leader should propose next, or None.

        `configured_names` are the controllers that the records name; `alive_names` those that are there now.
        """
        self.missing_since = {
            name: self.missing_since.get(name, now) for name in configured_names if name not in alive_names
        }
        row = state["map"].get(RECORD_KEY)
        if row is None:
            # Until the first entry all controllers use the rank in their files. In a later epoch some may
            # still share by an entry of the earlier record, so no controller counts as named before.
            names = sorted(configured_names)
            return _make_entry(row, 1, names, names if state["epoch"][0] == 1 else [])
        if now - self.entry_seen_at < 2 * TRANSITION_NS:
            return None
        removed = {n for n in row["names"] if now - self.missing_since.get(n, now) > TRANSITION_NS}
        names = sorted((set(row["names"]) - removed) | (set(alive_names) & set(configured_names)))
        if names == row["names"] == row["before"]:
            return None
        return _make_entry(row, row["gen"] + 1, names, row["names"])

    def slow_start_share(self, now, state, own_name, state_age):
        """Returns (number of sharing controllers, (rank, number of ranks)) for the controller `own_name`.

        The first is None where it is not known, the second where the controller has no share. Returns None
        as a whole where nothing was ever agreed; the rank in the configuration files then holds. `state_age`
        is the age of `state` in ns, None where there is no state yet.
        """
        self.note_entry(now, state)
        row = state["map"].get(RECORD_KEY)
        if row is None or not is_fresh_enough_to_place(state_age):
            return (
                None
                if row is None and is_fresh_enough_to_place(state_age) and state["epoch"][0] == 1
                else (None, None)
            )
        names, before = row["names"], row["before"]
        sharing = names
        if now - self.entry_seen_at < TRANSITION_NS:
            sharing = max(names, before, key=len) if own_name in before else ()
        return len(names), (
            (sharing.index(own_name), len(sharing)) if own_name in names and own_name in sharing else None
        )


def _make_entry(row, gen, names, before):
    """Returns the id and value of an entry that replaces `row`, which must still be the current one."""
    return f"{RECORD_KEY}/{gen}", {
        "?": {RECORD_KEY: row},
        RECORD_KEY: {"gen": gen, "names": names, "before": before},
    }
