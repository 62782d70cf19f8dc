"""Digest authentication of callers (RFC 3261 section 22, RFC 7616, RFC 8760: SHA-256). Decides; no I/O.

A nonce is its time and a mark that only we can make, so nothing is kept for who never comes back; what is
kept, for nonces in use, is how often each was used. Guards against calls made in another's name, and against
a caught answer sent again; could do harm where a caller counts its uses wrongly: it is asked anew each time.
"""

import hashlib
import hmac

from terndrift.sip.message import Bad, params, split

SECOND = 1_000_000_000
# How long a nonce is good: a handful of calls in a row need one challenge.
LIFE = 60 * SECOND
# Nonces in use that are remembered; the oldest are forgotten, and asked anew.
MOST = 10_000


def hashed(*parts):
    return hashlib.sha256(":".join(parts).encode()).hexdigest()


def answer(account, password, realm, method, uri, nonce, count, cnonce):
    """The response of who knows the password (RFC 7616, 3.4.1), with qop=auth."""
    first, second = hashed(account, realm, password), hashed(method, uri)
    return hashed(first, nonce, f"{count:08x}", cnonce, "auth", second)


class Guard:
    """`passwords`: account -> password; `secret`: bytes that only this controller has."""

    def __init__(self, realm, passwords, secret):
        self.realm, self.passwords, self.secret = realm, passwords, secret
        self.used = {}  # nonce -> the highest count seen

    def _mark(self, at):
        return hmac.new(self.secret, f"{at}:{self.realm}".encode(), "sha256").hexdigest()[:32]

    def challenge(self, now, stale=False):
        """The value of a WWW-Authenticate."""
        at = f"{now:x}"
        more = ", stale=true" if stale else ""
        return (
            f'Digest realm="{self.realm}", nonce="{at}-{self._mark(at)}", algorithm=SHA-256, qop="auth"{more}'
        )

    def check(self, now, method, values):
        """(account, None) of who answered one of the Authorization `values`, or (None, challenge)."""
        stale = False
        for value in values:
            kind, _, rest = value.partition(" ")
            if kind.lower() != "digest":
                continue
            try:
                said = params(split(rest, ",", "Authorization"), "Authorization")
            except Bad:
                continue
            if said.get("realm") != self.realm:
                continue
            found, old = self._one(now, method, said)
            if found:
                return found, None
            stale = stale or old
        return None, self.challenge(now, stale)

    def _one(self, now, method, said):
        """(account or None, whether all was right but the nonce's time or count)."""
        account, nonce = said.get("username"), said.get("nonce") or ""
        password = self.passwords.get(account)
        at, _, mark = nonce.partition("-")
        algorithm = (said.get("algorithm") or "").upper()
        if password is None or algorithm != "SHA-256" or said.get("qop") != "auth":
            return None, False
        if not hmac.compare_digest(mark, self._mark(at)):
            return None, True  # of another controller, or of an earlier run: the person need not be asked
        try:
            count, began = int(said.get("nc") or "", 16), int(at, 16)
        except ValueError:
            return None, False
        wanted = answer(
            account,
            password,
            self.realm,
            method,
            said.get("uri") or "",
            nonce,
            count,
            said.get("cnonce") or "",
        )
        if not hmac.compare_digest(wanted, said.get("response") or ""):
            return None, False
        if now - began > LIFE or count <= self.used.get(nonce, 0):
            return None, True
        self.used.pop(nonce, None)
        self.used[nonce] = count
        if len(self.used) > MOST:
            del self.used[next(iter(self.used))]
        return account, None
