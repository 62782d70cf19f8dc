"""A dialog (RFC 3261, section 12): who is at the other end, in which order, and by which way. No I/O."""

from terndrift.sip.message import Bad, Message, Name, Uri

HOPS = 70


class Dialog:
    """`local` and `remote`: Names with their tags; `target`: the other's Contact; `route`: Route values."""

    def __init__(self, call_id, local, remote, target, route=(), number=0, heard=None):
        self.call_id, self.local, self.remote = call_id, local, remote
        self.target, self.route = target, list(route)
        self.number, self.heard = number, heard  # CSeq last sent, last heard

    @classmethod
    def answering(cls, invite, tag):
        """Of who answers an INVITE (12.1.1)."""
        local = Name.read(invite.get("to"), "To")
        local.params["tag"] = tag
        contact = invite.get("contact")
        if contact is None:
            raise Bad(400, "there is none", "Contact")
        return cls(
            invite.get("call-id"),
            local,
            invite.named("from"),
            Name.read(contact, "Contact").uri,
            invite.all("record-route"),
            0,
            invite.cseq[0],
        )

    @classmethod
    def asking(cls, invite, answer):
        """Of who sent an INVITE, by an answer with a tag (12.1.2)."""
        contact = answer.get("contact")
        target = Name.read(contact, "Contact").uri if contact else Uri.read(invite.uri)
        return cls(
            invite.get("call-id"),
            invite.named("from"),
            answer.named("to"),
            target,
            reversed(answer.all("record-route")),
            invite.cseq[0],
        )

    @property
    def key(self):
        return self.call_id, self.local.tag, self.remote.tag

    def request(self, method, number=None):
        """A request within it (12.2.1.1), without Via. An ACK has its INVITE's number."""
        if number is None:
            self.number += 1
            number = self.number
        out = Message(method, str(self.target))
        out.headers = [
            ("max-forwards", str(HOPS)),
            ("from", str(self.local)),
            ("to", str(self.remote)),
            ("call-id", self.call_id),
            ("cseq", f"{number} {method}"),
        ]
        out.headers += [("route", r) for r in self.route]
        return out

    def in_order(self, message):
        """Whether a request within it comes in order (12.2.2); one that doesn't is answered 500. Takes
        note of the other's new Contact, if there is one."""
        number, method = message.cseq
        if method != "ACK":
            if self.heard is not None and number <= self.heard:
                return False
            self.heard = number
        contact = message.get("contact")
        if contact and method in ("INVITE", "UPDATE"):
            self.target = Name.read(contact, "Contact").uri
        return True

    def answered(self, message):
        """An answer to a new INVITE of ours may name a new Contact (12.2.1.2)."""
        if contact := message.get("contact"):
            self.target = Name.read(contact, "Contact").uri


def key_of(message):
    """The key of the dialog that a request belongs to, seen from here; None: it begins one."""
    to, sender = message.named("to"), message.named("from")
    return (message.get("call-id"), to.tag, sender.tag) if to.tag else None
