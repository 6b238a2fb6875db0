"""Counts of usage reach the holder on ordinary messages, and no one else."""

import pytest

from cowsliploom.gateway._peer_wire import PeerMessage, decode_message, encode_message
from cowsliploom.gateway._usage_exchange import UsageExchange
from cowsliploom.members import Census
from cowsliploom.usage import UsageRules

RULES = UsageRules(window_ms=1e12, late_ms=10_000, lease_ms=3000)
HOLDER = 'h:1'


def message(name):
    """Return a message of a member."""
    return PeerMessage(name, f'{name}:1', 'de', 9, 0, Census(0, ()))


def member(name, rules=RULES):
    """Return the exchange of a member that knows the holder."""
    usage = UsageExchange(f'{name}#1', rules)
    usage.holder_address = HOLDER
    return usage


def send(sender, receiver, address=HOLDER, is_answered=True):
    """Send a member's message over the wire, and its answer back."""
    sent = sender.annotate(message('a'), address)
    receiver.receive(decode_message(encode_message(sent)), 1000)
    if is_answered:
        sender.receive(receiver.annotate(message('h')), 1001)
        sender.acknowledge(address, sent)
    return sent


@pytest.mark.parametrize('lost_answers', [0, 1, 3])
def test_holder_counts_a_request_once_however_often_its_message_arrives(lost_answers):
    sender, holder = member('a'), member('h')
    window = sender.begin('ada', 1000)
    for _ in range(lost_answers):
        send(sender, holder, is_answered=False)
    send(sender, holder)
    assert not send(sender, holder).usage
    assert holder.ledger.totals(window) == {'ada': 1}


def test_counts_go_to_the_holder_alone_and_again_to_a_new_one():
    sender, holder, later = member('a'), member('h'), member('l')
    window = sender.begin('ada', 1000)
    assert not send(sender, later, address='other:1').usage
    send(sender, holder)
    sender.holder_address = 'l:1'
    send(sender, later, address='l:1')
    assert later.ledger.totals(window) == {'ada': 1}


def test_holder_is_the_partner_of_every_second_exchange_while_it_lacks_counts():
    sender = member('a')
    assert sender.partner() is None
    sender.begin('ada', 1000)
    assert [sender.partner() for _ in range(4)] == [HOLDER, None, HOLDER, None]


def test_reported_window_spreads_and_frees_the_counts():
    sender, holder = member('a'), member('h')
    window = sender.begin('ada', 1000)
    holder.record_reported(window)
    send(sender, holder)
    assert sender.reported == window
    assert not sender.annotate(message('a'), HOLDER).usage


def test_without_metering_messages_are_as_before():
    usage = member('a', rules=None)
    assert usage.begin('ada', 1000) == 0
    assert usage.annotate(message('a'), HOLDER) == message('a')


def test_request_without_a_workspace_is_not_metered():
    assert member('a').begin('', 1000) == 0
