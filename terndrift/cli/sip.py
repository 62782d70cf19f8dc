"""`terndrift sip parse` and `terndrift call`: a message taken apart, and the stand-in caller."""

import asyncio
import json
import sys
import time

import click

from terndrift.sip import sdp
from terndrift.sip.message import Bad, Uri, read
from terndrift.standin.phone import Caller
from terndrift.standin.sockets import SECOND, Socket


@click.group()
def sip():
    """SIP messages."""


@sip.command()
def parse():
    """Read a SIP message on standard input; print it as JSON, or say where it is wrong and exit 1."""
    data = sys.stdin.buffer.read(1 << 20)
    if b"\r\n" not in data:  # as an editor keeps it
        data = data.replace(b"\n", b"\r\n")
    try:
        m = read(data)
    except Bad as bad:
        answered = f"a request like it is answered {bad.code}" if bad.code else "it can't be answered"
        click.echo(f"terndrift: {bad} ({answered})", err=True)
        sys.exit(1)
    out = {"method": m.method, "uri": m.uri} if m.method else {"code": m.code, "reason": m.reason}
    out["headers"] = [{"name": n, "value": v} for n, v in m.headers]
    for name in ("from", "to", "contact"):
        if found := m.named(name):
            out[name] = {"display": found.display, "uri": str(found.uri), "params": found.params}
    if m.body and (m.get("content-type") or "").startswith("application/sdp"):
        try:
            body = sdp.read(m.body)
            out["media"] = [
                {
                    "kind": x.kind,
                    "port": x.port,
                    "codecs": list(x.codecs().values()),
                    "direction": x.direction(),
                }
                for x in body.media
            ]
            out["bits"] = body.bits()
        except sdp.Unusable as wrong:
            out["media"] = f"not usable: {wrong}"
    click.echo(json.dumps(out, indent=1))


class Printed:
    def note(self, what, **facts):
        click.echo(json.dumps({"what": what, **facts}))


@click.command()
@click.argument("uri")
@click.option("--seconds", type=float, default=5.0, show_default=True, help="Hang up after so long.")
@click.option("--bits", type=int, default=1_600_000, show_default=True, help="Video offered, bits a second.")
@click.option("--abandon", type=float, default=5.0, show_default=True, help="Give the call up after s.")
def call(uri, seconds, bits, abandon):
    """Call URI (sip:TITLE@HOST:PORT) as a stand-in caller would, over UDP; exit 0 if it was answered."""
    try:
        to = Uri.read(uri)
    except Bad as wrong:
        raise click.UsageError(str(wrong)) from None
    if to.scheme != "sip" or not to.user or to.port is None:
        raise click.UsageError(f"'{uri}' is not sip:TITLE@HOST:PORT")

    async def run():
        socket = Socket()
        caller = await socket.open(
            lambda address: Caller(
                address,
                Printed(),
                f"{to.host}:{to.port}",
                to.user,
                "terndrift",
                bits,
                int(abandon * SECOND),
                int(seconds * SECOND),
            )
        )
        caller.call(time.monotonic_ns())
        socket.flush()
        state = None
        while caller.state != "over":
            if caller.state != state:
                state = caller.state
                click.echo(json.dumps({"what": state}))
            await asyncio.sleep(0.02)
        click.echo(json.dumps({"what": "over", "code": caller.code, "retry_after": caller.retry_after}))
        socket.close()
        return caller.code == 200

    if not asyncio.run(run()):
        sys.exit(1)
