"""Merges and validates the supplement of the load reports between controllers (messages.LoadSupplement).

The supplement carries failing streamers (failing_streamers.py), advised retries (retry_schedule.py), the
heaviest keys (heavy_keys.py), the names of strained controllers (local_overload.py) and the caps decided with
the shedding level. Each part is handled by the functions of its own module; load_reports.py calls the two
functions here. Free of I/O.
"""

from terndrift.fleet import failing_streamers, heavy_keys, retry_schedule
from terndrift.fleet.messages import LoadSupplement

MS = 1_000_000  # ns
MAX_STRAINED = 8  # names of strained controllers in a report


def merged(parts):
    """Merges several (LoadSupplement or None, age in ns) into one LoadSupplement without caps; None if there
    is none."""
    parts = [(one, age) for one, age in parts if one is not None]
    if not parts:
        return None
    return LoadSupplement(
        failures=failing_streamers.merge_tables(
            [failing_streamers.age_table(one.failures, age // MS) for one, age in parts]
        ),
        expected_returns=retry_schedule.merge_tables(
            [retry_schedule.age_table(one.expected_returns, age) for one, age in parts]
        ),
        request_counts=heavy_keys.merged([one.request_counts for one, _ in parts]),
        overloaded=sorted({name for one, _ in parts for name in one.overloaded})[:MAX_STRAINED],
    )


def sound(supplement, members, max_requests):
    """Tells whether a received LoadSupplement, or None, is within its bounds.

    `members`: how many controllers it sums up; `max_requests`: the most that all of them together can have
    been asked for.
    """
    return supplement is None or (
        failing_streamers.is_valid_table(supplement.failures, members)
        and heavy_keys.sound(supplement.request_counts, max_requests)
        and len(supplement.overloaded) <= MAX_STRAINED
        and len(supplement.expected_returns) <= retry_schedule.MAX_SECONDS_AHEAD + 1
        and all(0 <= count <= max_requests for count in supplement.expected_returns)
        and len(supplement.shed_shares) <= 2 * heavy_keys.KEYS
        and all(0 <= part <= 1 for part in supplement.shed_shares.values())
    )
