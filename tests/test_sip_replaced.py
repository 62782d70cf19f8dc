"""A media server's process is replaced at its address while a call to it is being set up."""

import asyncio

from test_sip_front import calling
from testbed import wait_until

from terndrift.standin.ledger import read as read_ledger

REPEATED_WITHIN_S = 1.0  # T1 is 50 ms: an INVITE that nobody answers is sent again four times by then


@calling(rooms=1)
async def test_paid_call_is_not_sent_again_to_a_new_process_at_the_address(testbed):
    # Guards against: the INVITE of a paid call, which may have run, is repeated over UDP to a process that
    # can not know it from the first one, and runs twice.
    (room,) = testbed.rooms
    room.faults["still"] = 1  # it takes the INVITE and says nothing, not even 100
    testbed.call(await testbed.caller("lesson"))
    await wait_until(lambda: room.count == 1)
    room.legs.clear()  # the new process has no memory of it
    room.known.clear()
    room.faults.clear()
    await asyncio.sleep(REPEATED_WITHIN_S)
    testbed.notes_of.flush()
    tries = [note for note in read_ledger(testbed.path("rooms.jsonl")) if note["what"] == "try"]
    assert len(tries) == 1
