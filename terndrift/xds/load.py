"""What playbacks use of their streamers, as Envoy's load reports tell it. No I/O.

Source: envoy/service/load_stats/v3/lrs.proto and envoy/config/endpoint/v3/load_report.proto. A request of a
report is a set-up try; in progress are set-ups out and playbacks; the metric `link_bytes` is what was relayed
from a streamer since the last report: true use of its link, not what was asked for.
"""

from dataclasses import dataclass

from envoy.config.endpoint.v3.load_report_pb2 import ClusterStats
from envoy.service.load_stats.v3 import lrs_pb2 as wire
from google.protobuf.message import DecodeError

from terndrift.xds.codec import Unreadable, put_address

SECOND = 1_000_000_000
METHOD = "/envoy.service.load_stats.v3.LoadReportingService/StreamLoadStats"
METRIC = "link_bytes"
# Ends of a try that say nothing against its streamer.
HARMLESS = ("CALLED_OFF", "FULL")


@dataclass
class Used:
    """Of one streamer, since the last report."""

    issued: int = 0
    well: int = 0
    erred: int = 0
    pieces: int = 0  # relayed whole or in part
    bytes: int = 0


class Tally:
    def __init__(self, now):
        self.used, self.since = {}, now  # streamer id -> Used

    def _of(self, streamer):
        return self.used.setdefault(streamer, Used())

    def watch(self, event, playback, **facts):
        """What the core tells of its playbacks."""
        if event == "try":
            self._of(facts["streamer"]).issued += 1
        elif event == "try over" and facts["ending"] not in HARMLESS:
            self._of(facts["streamer"]).erred += 1
        elif event == "answer" and facts["kind"] == "plays":
            self._of(playback.streamer.id).well += 1

    def passed(self, streamer, size):
        if size:
            used = self._of(streamer)
            used.pieces += 1
            used.bytes += size

    def take(self, now):
        """({streamer id: Used}, ns that it covers); counting begins anew."""
        used, since, self.used, self.since = self.used, self.since, {}, now
        return used, now - since


def stats(used, took, clusters, line_of, playing):
    """ClusterStats of each cluster with any use. `clusters(address)`: names of those that list a streamer;
    `line_of(id)`: its Line or None; `playing(id)`: playbacks there now."""
    out, places = {}, {}
    for id in sorted(used):
        line = line_of(id)
        if line is None:
            continue
        one = used[id]
        for name in clusters(line.address):
            if name not in out:
                out[name] = ClusterStats(cluster_name=name)
                out[name].load_report_interval.FromNanoseconds(took)
            place = places.get((name, line.zone))
            if place is None:
                place = places[name, line.zone] = out[name].upstream_locality_stats.add()
                place.locality.zone = line.zone
            at = place.upstream_endpoint_stats.add()
            put_address(at.address.socket_address, line.address)
            for whole in (place, at):
                whole.total_issued_requests += one.issued
                whole.total_successful_requests += one.well
                whole.total_error_requests += one.erred
                whole.total_requests_in_progress += playing(id)
                metric = (
                    whole.load_metric_stats[0]
                    if whole.load_metric_stats
                    else whole.load_metric_stats.add(metric_name=METRIC)
                )
                metric.num_requests_finished_with_metric += one.pieces
                metric.total_metric_value += one.bytes
    return [out[name] for name in sorted(out)]


def request(found, who=None):
    out = wire.LoadStatsRequest(cluster_stats=found)
    if who is not None:
        out.node.CopyFrom(who)
    return out.SerializeToString()


def response(data):
    """(clusters wanted or None for all, ns between reports)."""
    try:
        m = wire.LoadStatsResponse.FromString(data)
    except DecodeError as wrong:
        raise Unreadable(f"no load response: {wrong}") from None
    interval = m.load_reporting_interval.ToNanoseconds()
    return (None if m.send_all_clusters else set(m.clusters)), max(interval, SECOND // 10)


# The server's side.


def answer(interval):
    out = wire.LoadStatsResponse(send_all_clusters=True, report_endpoint_granularity=True)
    out.load_reporting_interval.FromNanoseconds(interval)
    return out.SerializeToString()


def asked(data):
    """(node, {cluster: plain figures}) of a report."""
    try:
        m = wire.LoadStatsRequest.FromString(data)
    except DecodeError as wrong:
        raise Unreadable(f"no load report: {wrong}") from None
    out = {}
    for c in m.cluster_stats:
        seconds = c.load_report_interval.ToNanoseconds() / SECOND
        rows = {}
        for place in c.upstream_locality_stats:
            for at in place.upstream_endpoint_stats:
                socket = at.address.socket_address
                rows[f"{socket.address}:{socket.port_value}"] = _plain(at, seconds)
        places = [_plain(place, seconds) for place in c.upstream_locality_stats]
        whole = {key: sum(p[key] for p in places) for key in places[0]} if places else {}
        out[c.cluster_name] = {"seconds": seconds, **whole, "streamers": rows}
    return m.node.id, out


def _plain(m, seconds):
    passed = sum(x.total_metric_value for x in m.load_metric_stats if x.metric_name == METRIC)
    return {
        "tries": m.total_issued_requests,
        "played": m.total_successful_requests,
        "erred": m.total_error_requests,
        "in_progress": m.total_requests_in_progress,
        "bytes_a_second": round(passed / seconds) if seconds else 0,
    }
