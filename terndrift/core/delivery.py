"""Delivery rate of streamers, as measured by a front that relays their media segments.

The share is what playbacks get of the rates that their rungs need: 1.0 means that segments arrive in time. A
front reports it to the decision logic once a second for a streamer below its rates, and once more after the
streamer has recovered. Callers leave out the time that a player took to accept data, which is not the
streamer's. No I/O and no clock: the caller passes the time in ns.
"""

from collections import deque

SECOND = 1_000_000_000
# A streamer below this share delivers too slowly. The rest is noise, as media is sent in chunks.
MIN_FULL_SHARE = 0.98
REPORT_INTERVAL_NS = SECOND
# Age of the oldest sample used: the decision logic takes a share to describe the present.
SAMPLE_WINDOW_NS = 2 * SECOND


class DeliveryMeter:
    """Delivery samples by streamer, and the shares that are due to be reported."""

    def __init__(self):
        self.samples = {}  # streamer id -> deque of (end time, nominal ns, actual ns)
        self.reported = {}  # streamer id -> (time, share) of the last report

    def segment_delivered(self, now, streamer_id, nominal_ns, actual_ns):
        """Record a media segment that plays for `nominal_ns` and took `actual_ns` to arrive."""
        if nominal_ns > 0 and actual_ns > 0:
            self.samples.setdefault(streamer_id, deque(maxlen=32)).append((now, nominal_ns, actual_ns))

    def segment_pending(self, now, streamer_id, nominal_ns, waited_ns):
        """Record a segment that is still incomplete, if it is late: a stalled one shows before it ends."""
        if waited_ns > nominal_ns:
            self.segment_delivered(now, streamer_id, nominal_ns, waited_ns)

    def share(self, now, streamer_id):
        """Return the mean share of recent segments, weighted by their actual time, or None without any."""
        recent = [
            (nominal, actual)
            for ended_at, nominal, actual in self.samples.get(streamer_id, ())
            if now - ended_at < SAMPLE_WINDOW_NS
        ]
        if not recent:
            return None
        return sum(min(nominal, actual) for nominal, actual in recent) / sum(actual for _, actual in recent)

    def due_reports(self, now):
        """Return the (streamer id, share) pairs to report now, and record them as reported."""
        reports = []
        for streamer_id in list(self.samples):
            share = self.share(now, streamer_id)
            reported_at, last_share = self.reported.get(streamer_id, (None, 1.0))
            if share is None:
                if now - self.samples[streamer_id][-1][0] > 10 * SAMPLE_WINDOW_NS:
                    self.samples.pop(streamer_id)
                    self.reported.pop(streamer_id, None)
                continue
            if share < MIN_FULL_SHARE:
                if reported_at is None or now - reported_at >= REPORT_INTERVAL_NS:
                    reports.append((streamer_id, share))
            elif last_share < MIN_FULL_SHARE:
                reports.append((streamer_id, share))
        for streamer_id, share in reports:
            self.reported[streamer_id] = (now, share)
        return reports


class ReportRateLimiter:
    """Limits how often a streamer's own load report is passed to the decision logic.

    Each report makes the decision logic evaluate the streamer's whole rack again, and repeating it with every
    media segment adds nothing.
    """

    # The decision logic is tested with reports 2 to 5 s apart; this is the lower end.
    INTERVAL_NS = 2 * SECOND

    def __init__(self):
        self.last_passed, self.max_entries = {}, 4096  # streamer id -> time of the last report passed on

    def may_pass(self, now, streamer_id):
        """Return whether a report of the streamer may be passed on now; True counts as passed on."""
        if now - self.last_passed.get(streamer_id, -self.INTERVAL_NS) < self.INTERVAL_NS:
            return False
        self.last_passed[streamer_id] = now
        if len(self.last_passed) > self.max_entries:  # streamers come and go: old entries would accumulate
            self.last_passed = {s: t for s, t in self.last_passed.items() if now - t < 10 * self.INTERVAL_NS}
            self.max_entries = max(4096, 2 * len(self.last_passed))
        return True
