"""Load reports: the fleet-wide sums of requests and answers, kept by each controller without a central node.

The fleet's member (member.py) owns a `LoadReports`, passes received `FleetLoad` messages to it and sends what
it puts into `outbox`; overload_control.py fills in the local figures and reads the totals. This module does
no I/O.

Members are sorted by name and split into groups of about sqrt(n). Twice a second each member sends its
complete counts of the last WINDOW_SECONDS seconds to the two collectors of its group: the first two of the
group that are alive. A collector adds up its group, sends the sum to the collectors of the other groups, and
sends the total to its own group. Each member is thus counted once, in the sum of one group. Of two sums of
the same group, the one over more members is used, then the newer one. A report is valid for
REPORT_LIFETIME_NS; after a partition, a restart or a false report a sum is wrong for at most that long. A
member sends 4 datagrams a second, a collector up to 6 * sqrt(n).
"""

from math import isqrt

import msgspec

from terndrift.fleet import load_supplement
from terndrift.fleet.messages import FleetLoad, LoadSupplement
from terndrift.fleet.recent_counts import LOAD_REPORT_INTERVAL, SECOND, CountsBySecond

NS_PER_MS = 1_000_000
REPORT_LIFETIME_NS = 3 * SECOND
# Higher counts of a single member are rejected as false: no controller gets that many requests in
# WINDOW_SECONDS.
MAX_COUNT_PER_MEMBER = 100_000
# Values of FleetLoad.scope: the counts of one member, of a group, of the whole fleet.
MEMBER_REPORT, GROUP_REPORT, TOTAL_REPORT = range(3)
# Columns of a plan's row: requests by viewers; shed before set-up; answered; and of the answered ones those
# within the startup target, late, and turned away.
WANTED, SHED, ANSWERED, IN_TARGET, LATE, TURNED_AWAY = range(6)
# Columns of the row that is not split by plan: attempts beyond the first, connections made to streamers, and
# set-ups open now.
EXTRA_ATTEMPTS, CONNECTIONS, OPEN_SETUPS = range(3)


class LoadCounter:
    """Counts of this controller, per second."""

    def __init__(self):
        # per second: ({plan: row}, [extra attempts, connections])
        self.seconds = CountsBySecond(lambda: ({}, [0, 0]))

    def count(self, now, plan, *columns):
        """Adds one to each of the columns (WANTED to TURNED_AWAY) of a plan; `now` in ns."""
        row = self.seconds.current(now)[0].setdefault(plan, [0] * 6)
        for column in columns:
            row[column] += 1

    def count_other(self, now, column):
        """Adds one to EXTRA_ATTEMPTS or CONNECTIONS; `now` in ns."""
        self.seconds.current(now)[1][column] += 1

    def recent(self, now, open_setups):
        """Returns ({plan: row}, row of other counts) of the last WINDOW_SECONDS whole seconds."""
        plans, others = {}, [0, 0, open_setups]
        for second_plans, second_others in self.seconds.recent(now):
            _add_rows(plans, second_plans)
            others = [a + b for a, b in zip(others, [*second_others, 0], strict=True)]
        return plans, others


def _add_rows(plans, added_plans):
    for plan, row in added_plans.items():
        plans[plan] = [a + b for a, b in zip(plans.get(plan, [0] * 6), row, strict=True)]


def sum_reports(reports):
    """Adds up `FleetLoad` messages; returns ({plan: row}, row of other counts, number of members)."""
    plans, others, members = {}, [0, 0, 0], 0
    for report in reports:
        _add_rows(plans, report.counts_by_plan)
        others = [a + b for a, b in zip(others, report.other_counts, strict=True)]
        members += report.member_count
    return plans, others, members


def is_plausible(report):
    """Whether a received `FleetLoad` has the right shape and figures within the bounds for its members."""
    rows = [*report.counts_by_plan.values(), report.other_counts]
    shaped = (
        report.member_count > 0
        and len(report.other_counts) == 3
        and all(len(row) == 6 for row in report.counts_by_plan.values())
    )
    return (
        shaped
        and all(0 <= n <= MAX_COUNT_PER_MEMBER * report.member_count for row in rows for n in row)
        and 0 <= report.shed_level < 100
        and load_supplement.sound(
            report.supplement, report.member_count, MAX_COUNT_PER_MEMBER * report.member_count
        )
    )


class LoadReports:
    """The load reports that one controller holds and sends, and the shedding level carried with them.

    `own(now)` returns the local ({plan: row}, row of other counts); while it is None nothing is sent or
    accepted. `own_beside(now)` returns the local `LoadSupplement` or None. Both are set by
    overload_control.py. `outbox` collects (recipient, message) for the member to send. All times are in ns of
    the controller's monotonic clock.
    """

    def __init__(self, own_name, names, now):
        self.own_name, self.names, self.own, self.own_beside = own_name, sorted(names), None, lambda now: None
        self.caps = {}  # key -> part to shed; decided together with the level in force
        self.group_size = isqrt(len(self.names) - 1) + 1
        self.own_group = self.names.index(own_name) // self.group_size
        self.member_reports = {}  # member of the own group -> (report, when received)
        self.group_reports = {}  # group -> (report, when received)
        self.total_report = None  # (report on the whole fleet, when received), from a collector
        self.level = (0.0, "", now - REPORT_LIFETIME_NS)  # in force: (value, who decided it, when)
        self.outbox, self.report_at, self.started_at = [], now, now

    def next_tick_at(self):
        """When `tick` is due; None while there is nothing to report."""
        return None if self.own is None else self.report_at

    def _group_names(self, group):
        return self.names[group * self.group_size : (group + 1) * self.group_size]

    def collectors(self, group, alive):
        """The first two names of the group that are in `alive`."""
        return [n for n in self._group_names(group) if n in alive][:2]

    def decides(self, now, alive):
        """Whether this controller decides the level for the fleet.

        That is the first one alive, once it has run long enough to have received the previous decision.
        """
        return min({*alive, self.own_name}) == self.own_name and now - self.started_at >= REPORT_LIFETIME_NS

    def tick(self, now, alive):
        """Sends the due reports to `outbox`; `alive` names the other members that are alive."""
        if self.own is None or now < self.report_at:
            return
        self.report_at, alive = now + LOAD_REPORT_INTERVAL, set(alive)
        own_report = self._report(MEMBER_REPORT, *self.own(now), 1, 0, self.own_beside(now))
        self.member_reports[self.own_name] = own_report, now
        own_collectors = self.collectors(self.own_group, alive | {self.own_name})
        self.outbox += [(to, own_report) for to in own_collectors if to != self.own_name]
        if self.own_name in own_collectors:
            self._collect(now, alive)

    def _collect(self, now, alive):
        self.member_reports = {
            n: x for n, x in self.member_reports.items() if now - x[1] < REPORT_LIFETIME_NS
        }
        group_beside = load_supplement.merged(
            [(report.supplement, now - at) for report, at in self.member_reports.values()]
        )
        group_report = self._report(
            GROUP_REPORT,
            *sum_reports([report for report, _ in self.member_reports.values()]),
            self.own_group,
            group_beside,
        )
        self.group_reports[self.own_group] = group_report, now
        groups = range(-(-len(self.names) // self.group_size))
        other_collectors = [to for g in groups if g != self.own_group for to in self.collectors(g, alive)]
        # Built from group sums only, never from another collector's total: two collectors would otherwise
        # feed each other's totals back.
        total_report = self._report(TOTAL_REPORT, *self._sum(now), 0, self._beside(now))
        self.outbox += [(to, group_report) for to in other_collectors]
        self.outbox += [
            (to, total_report)
            for to in self._group_names(self.own_group)
            if to in alive and to != self.own_name
        ]

    def _report(self, kind, plans, others, members, group, carried):
        level, by, at = self.level
        if self.caps:
            carried = msgspec.structs.replace(carried or LoadSupplement(), shed_shares=self.caps)
        return FleetLoad(
            kind,
            plans,
            others,
            members,
            group,
            level,
            by,
            (self.report_at - LOAD_REPORT_INTERVAL - at) // NS_PER_MS,
            carried,
        )

    def receive(self, now, sender, report):
        """Handles a received `FleetLoad`; drops implausible ones and those of senders that may not send
        them."""
        if self.own is None or sender not in self.names or not is_plausible(report):
            return
        if report.scope == MEMBER_REPORT and self.names.index(sender) // self.group_size == self.own_group:
            self.member_reports[sender] = report, now
        elif report.scope == GROUP_REPORT and sender in self._group_names(report.group):
            self._store_better(self.group_reports, report.group, report, now)
        elif report.scope == TOTAL_REPORT:
            best = {None: self.total_report} if self.total_report else {}
            self._store_better(best, None, report, now)
            self.total_report = best[None]
        _, by, at = self.level
        # The age counts from the decision, so that forwarding does not renew it.
        decided_at = now - max(0, report.level_age_ms) * NS_PER_MS
        if (
            report.level_decided_by
            and report.level_decided_by != self.own_name
            and now - decided_at <= REPORT_LIFETIME_NS
            and (
                now - at > REPORT_LIFETIME_NS
                or report.level_decided_by < by
                or report.level_decided_by == by
                and decided_at > at
            )
        ):
            self.level, self.caps = (
                (report.shed_level, report.level_decided_by, decided_at),
                report.supplement.shed_shares if report.supplement else {},
            )

    @staticmethod
    def _store_better(table, key, report, now):
        previous, at = table.get(key, (None, 0))
        if (
            previous is None
            or now - at > LOAD_REPORT_INTERVAL
            or report.member_count >= previous.member_count
        ):
            table[key] = report, now

    def decided(self, now, level, caps=()):
        """Sets the level and the caps (key -> part to shed) that this controller has decided."""
        self.level, self.caps = (level, self.own_name, now), dict(caps)

    def caps_in_force(self, now):
        """The caps (key -> part to shed); empty where the last decision has expired."""
        return dict(self.caps) if self.level[1] and now - self.level[2] <= REPORT_LIFETIME_NS else {}

    def in_force(self, now):
        """The shedding level for this controller; 0 where the last decision has expired."""
        value, by, at = self.level
        return value if by and now - at <= REPORT_LIFETIME_NS else 0.0

    def _sum(self, now):
        return sum_reports(
            [report for report, at in self.group_reports.values() if now - at < REPORT_LIFETIME_NS]
        )

    def _beside(self, now):
        return load_supplement.merged(
            [
                (report.supplement, now - at)
                for report, at in self.group_reports.values()
                if now - at < REPORT_LIFETIME_NS
            ]
        )

    def total(self, now):
        """Returns ({plan: row}, row of other counts, number of members counted) of the fleet."""
        own_sum = self._sum(now)
        received = self._received_total(now, own_sum)
        return (
            (received.counts_by_plan, received.other_counts, received.member_count) if received else own_sum
        )

    def current_supplement(self, now):
        """The fleet's `LoadSupplement` that belongs to `total`, with its ages as of now."""
        received = self._received_total(now, self._sum(now))
        carried = (
            load_supplement.merged([(received.supplement, now - self.total_report[1])])
            if received
            else self._beside(now)
        )
        return carried or LoadSupplement()

    def _received_total(self, now, own_sum):
        """The received total, where it is valid and counts more members than the sum of the groups here."""
        report, at = self.total_report or (None, 0)
        return (
            report
            if report is not None and now - at < REPORT_LIFETIME_NS and report.member_count > own_sum[2]
            else None
        )
