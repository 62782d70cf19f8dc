"""The SIP front as the service opens it, from its record."""

import os
import secrets

from terndrift.core.admission import AdmissionGate
from terndrift.sip.bridge import Bridge
from terndrift.sip.digest import Guard
from terndrift.sip.front import SipFront
from terndrift.sip.transaction import Times
from terndrift.sip.wire import Wire


class Sip:
    """`value`: the `sip` record of a front file."""

    def __init__(self, value, runner, titles, addresses, room, log):
        self.value, self.runner, self.log = value, runner, log
        self.wire = Wire(runner.clock, log)
        admission = AdmissionGate(room, runner.core.deployment.seed)
        self.front = SipFront(runner, titles, addresses, self.wire.peer, admission, log)
        self.guard = None
        if value["realm"]:
            passwords = {name: account["password"] for name, account in value["accounts"].items()}
            self.guard = Guard(value["realm"], passwords, os.urandom(32))

    async def start(self):
        """Returns the address."""
        t1, value = self.value["t1"], self.value
        host, port = await self.wire.listen(value["listen"])
        self.wire.bridge = self.front.bridge = Bridge(
            self.front,
            Times(t1, 8 * t1, 10 * t1),
            (host, port),
            f"<sip:{host}:{port}>",
            secrets.token_bytes,
            value["session"],
            self._gate,
            value["least_session"],
        )
        self.runner.after_step = self.wire.flush  # what the core decided may have left something to be sent
        return f"{host}:{port}"

    def _gate(self, now, transaction):
        if self.guard is None:
            return None
        request = transaction.request
        account, challenge = self.guard.check(now, request.method, request.all("authorization"))
        return None if account else (401, [("www-authenticate", challenge)])

    def close(self):
        if self.wire.bridge is not None:
            self.front.close()
            self.wire.flush()
        self.wire.close()
