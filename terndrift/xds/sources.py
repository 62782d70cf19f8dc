"""From a record to what follows a source."""

import re
import zlib

from terndrift.deployment import InconsistentRecordError
from terndrift.xds import codec
from terndrift.xds.client import Ads
from terndrift.xds.poll import Path, Rest
from terndrift.xds.reader import Reader

# Fields of a record that name files.
FILES = ("clusters", "endpoints", "ca", "certificate", "key")
WAYS = {"delta": Ads, "sotw": Ads, "rest": Rest, "path": Path}


def check(where, xds):
    """What does not fit together in an #Xds record; `where` names it. Raises InconsistentRecordError."""
    form, given = xds["form"], xds["source"]
    if form == "path" and not (xds["clusters"] and xds["endpoints"]):
        raise InconsistentRecordError(f"{where}: form path wants the files clusters and endpoints")
    if form == "rest" and not re.fullmatch(r"http://[^/:]+:[0-9]+/?", given):
        raise InconsistentRecordError(f"{where}.source: found '{given}', form rest wants http://HOST:PORT")
    if form in codec.METHODS and not re.fullmatch(r"[^/]+:[0-9]+", given):
        raise InconsistentRecordError(f"{where}.source: found '{given}', form {form} wants HOST:PORT")
    if (xds["certificate"] or xds["key"]) and not (xds["ca"] and xds["certificate"] and xds["key"]):
        raise InconsistentRecordError(f"{where}: a certificate wants its key, and both want ca")


def source(name, xds, controller, listing, clock, seed, log):
    """`xds`: an #Xds record, `controller`: that record of a front file."""
    reader = Reader(name, xds["form"], listing, clock, log)
    who = codec.node(controller["name"], controller["region"], controller["zone"])
    return WAYS[xds["form"]](xds, who, reader, zlib.crc32(f"{seed}:{name}".encode()), log)
