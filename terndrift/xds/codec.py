"""The discovery messages of xDS v3 as bytes: what a session sends, what arrives, and resources by type.
No I/O.

Sources: envoy/service/discovery/v3/discovery.proto and the types it carries, as published with the registry's
package of generated classes; the xDS protocol page of Envoy's documentation.
"""

import hashlib

from envoy.config.cluster.v3.cluster_pb2 import Cluster
from envoy.config.core.v3.base_pb2 import Node
from envoy.config.endpoint.v3.endpoint_pb2 import ClusterLoadAssignment
from envoy.service.discovery.v3 import discovery_pb2 as wire
from google.protobuf import json_format
from google.protobuf.message import DecodeError

from terndrift.xds import meaning
from terndrift.xds.session import CLUSTER, ENDPOINT

SERVICE = "/envoy.service.discovery.v3.AggregatedDiscoveryService/"
METHODS = {"sotw": SERVICE + "StreamAggregatedResources", "delta": SERVICE + "DeltaAggregatedResources"}
MESSAGES = {CLUSTER: Cluster, ENDPOINT: ClusterLoadAssignment}
INVALID = 3  # google.rpc.Code.INVALID_ARGUMENT, for a NACK


class Unreadable(ValueError):
    """Bytes that are no message of the kind expected."""


def node(name, region="", zone="", cluster="terndrift", version=""):
    """Who asks, as a source sees it."""
    out = Node(id=name, cluster=cluster, user_agent_name="terndrift", user_agent_version=version)
    out.locality.region, out.locality.zone = region, zone
    return out


# The client's side.


def request(send, form, who=None):
    """Bytes of a session.Send; `who`: a Node, in the first of a stream."""
    delta = form == "delta"
    out = (wire.DeltaDiscoveryRequest if delta else wire.DiscoveryRequest)(
        type_url=send.type_url, response_nonce=send.nonce
    )
    if who is not None:
        out.node.CopyFrom(who)
    if send.error:
        out.error_detail.code, out.error_detail.message = INVALID, send.error
    if delta:
        out.resource_names_subscribe.extend(send.subscribe)
        out.resource_names_unsubscribe.extend(send.unsubscribe)
        out.initial_resource_versions.update(dict(send.initial))
    else:
        out.version_info = send.version
        out.resource_names.extend(send.names)
    return out.SerializeToString()


class Response:
    """What arrived: resources still as bytes, to be decoded one by one."""

    def __init__(self, type_url, version, nonce, packed, removed=(), source=""):
        self.type_url, self.version, self.nonce, self.packed = type_url, version, nonce, packed
        self.removed, self.source = removed, source  # packed: [(name or "", version, Any)]


def response(data, form):
    try:
        if form == "delta":
            m = wire.DeltaDiscoveryResponse.FromString(data)
            packed = [(r.name, r.version, r.resource) for r in m.resources]
            removed = tuple(m.removed_resources)
        else:
            m = wire.DiscoveryResponse.FromString(data)
            packed, removed = [("", m.version_info, r) for r in m.resources], ()
    except DecodeError as wrong:
        raise Unreadable(f"no discovery response: {wrong}") from None
    version = m.system_version_info if form == "delta" else m.version_info
    return Response(m.type_url, version, m.nonce, packed, removed, m.control_plane.identifier)


def decoded(found, from_wall_seconds, before=None):
    """A generator over a Response's resources: yields now and then, and returns ({name: resource}, {name:
    version}, faults). `before`: {name: Assignment} in force."""
    out, versions, faults, before = {}, {}, [], before or {}
    if found.type_url not in MESSAGES:
        return out, versions, faults
    for n, (named, version, packed) in enumerate(found.packed):
        if packed.type_url != found.type_url:
            faults.append(
                f"resource {named or n}: a {packed.type_url or 'resource of no type'} in a "
                f"response of {found.type_url}"
            )
            continue
        try:
            message = MESSAGES[found.type_url].FromString(packed.value)
        except DecodeError as wrong:
            faults.append(f"resource {named or n}: {wrong}")
            continue
        if found.type_url == CLUSTER:
            resource = meaning.cluster(message, faults)
        else:
            was = before.get(message.cluster_name)
            resource = yield from meaning.assignment(message, from_wall_seconds, faults, was)
        if named and named != resource.name:
            faults.append(f"resource {named}: it names itself {resource.name!r}")
        if resource.name in out:
            faults.append(f"{resource.name}: twice in one response")
        out[resource.name], versions[resource.name] = resource, version
        yield
    return out, versions, faults


def from_json(text):
    """A sotw Response of the JSON form, as polled over REST and as in a file that Envoy's path config source
    would read. Raises Unreadable."""
    try:
        m = json_format.Parse(text, wire.DiscoveryResponse(), ignore_unknown_fields=True)
    except (json_format.ParseError, UnicodeDecodeError, RecursionError) as wrong:
        raise Unreadable(f"no discovery response in JSON: {str(wrong)[:500]}") from None
    kinds = {r.type_url for r in m.resources}
    type_url = m.type_url or (kinds.pop() if len(kinds) == 1 else "")
    return Response(type_url, m.version_info, m.nonce, [("", m.version_info, r) for r in m.resources])


def request_json(send, who):
    out = wire.DiscoveryRequest.FromString(request(send, "sotw", who))
    return json_format.MessageToJson(out, indent=None).encode()


# The server's side.


class Asked:
    """A request as a server reads it."""

    def __init__(self, type_url, node, version, nonce, error, names, subscribe, unsubscribe, initial):
        self.type_url, self.node, self.version, self.nonce, self.error = type_url, node, version, nonce, error
        self.names, self.subscribe, self.unsubscribe, self.initial = names, subscribe, unsubscribe, initial


def asked(data, form):
    try:
        if form == "delta":
            m = wire.DeltaDiscoveryRequest.FromString(data)
            return Asked(
                m.type_url,
                m.node.id,
                "",
                m.response_nonce,
                m.error_detail.message,
                (),
                tuple(m.resource_names_subscribe),
                tuple(m.resource_names_unsubscribe),
                dict(m.initial_resource_versions),
            )
        m = wire.DiscoveryRequest.FromString(data)
    except DecodeError as wrong:
        raise Unreadable(f"no discovery request: {wrong}") from None
    return Asked(
        m.type_url,
        m.node.id,
        m.version_info,
        m.response_nonce,
        m.error_detail.message,
        tuple(m.resource_names),
        (),
        (),
        {},
    )


def answer(form, type_url, version, nonce, resources, removed=(), source=""):
    """Bytes of a response; `resources`: [(name, version, bytes of the resource)]."""
    if form == "delta":
        out = wire.DeltaDiscoveryResponse(type_url=type_url, nonce=nonce, system_version_info=version)
        out.removed_resources.extend(removed)
        for name, own, data in resources:
            one = out.resources.add(name=name, version=own)
            one.resource.type_url, one.resource.value = type_url, data
    else:
        out = wire.DiscoveryResponse(type_url=type_url, nonce=nonce, version_info=version)
        for _, _, data in resources:
            out.resources.add(type_url=type_url, value=data)
    out.control_plane.identifier = source
    return out.SerializeToString()


def answer_json(type_url, version, resources):
    out = wire.DiscoveryResponse.FromString(answer("sotw", type_url, version, "", resources))
    return json_format.MessageToJson(out, indent=None).encode()


def put_address(socket_address, address):
    """`address` HOST:PORT, IPv6 in brackets, as a SocketAddress has it."""
    host, _, port = address.rpartition(":")
    socket_address.address, socket_address.port_value = host.strip("[]"), int(port)


HEALTH = {"ready": 1, "draining": 3, "gone": 2}


def cluster_bytes(name, most=None, facts=None):
    out = Cluster(name=name, type=Cluster.EDS)
    out.connect_timeout.FromMilliseconds(250)
    out.eds_cluster_config.eds_config.ads.SetInParent()
    out.eds_cluster_config.eds_config.resource_api_version = 2  # V3
    if most is not None:
        out.circuit_breakers.thresholds.add().max_requests.value = most
    if facts:
        out.metadata.filter_metadata[meaning.METADATA].update(facts)
    return out.SerializeToString()


def assignment_bytes(name, lines, wall, region="", drop=0.0, stale_after=0):
    """`lines`: Lines, put into localities by zone; `wall(ns)`: seconds since 1970, 0 for long ago."""
    out, places = ClusterLoadAssignment(cluster_name=name), {}
    for line in lines:
        place = places.get(line.zone)
        if place is None:
            place = places[line.zone] = out.endpoints.add()
            place.locality.region, place.locality.zone = region, line.zone
            place.load_balancing_weight.value = 1
        one = place.lb_endpoints.add(health_status=HEALTH[line.standing])
        put_address(one.endpoint.address.socket_address, line.address)
        one.endpoint.hostname = line.name
        one.load_balancing_weight.value = max(1, round(line.weight * 100))
        facts = {"rack": line.rack, "weight": line.weight}
        if line.kind:
            facts["kind"] = line.kind
        if line.started:
            facts["started"] = wall(line.started)
        if line.id is not None:
            facts["id"] = line.id
        one.metadata.filter_metadata[meaning.METADATA].update(facts)
    if drop:
        one = out.policy.drop_overloads.add(category="load")
        one.drop_percentage.numerator, one.drop_percentage.denominator = round(drop * 1_000_000), 2
    if stale_after:
        out.policy.endpoint_stale_after.FromNanoseconds(stale_after)
    return out.SerializeToString()


def mark(data):
    """A version that is the same for the same resource, whoever serves it and whenever it was started."""
    return hashlib.blake2b(data, digest_size=8).hexdigest()
