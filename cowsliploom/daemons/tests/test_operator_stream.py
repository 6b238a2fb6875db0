"""Watch streams send every event of their feed, or close if they can't."""

import json

import pytest

from cowsliploom.daemons._operator_feed import ConfigurationFeed
from cowsliploom.daemons._operator_stream import WatchScope, WatchStream
from cowsliploom.resources import (
    Configuration,
    ConfigurationView,
    DataCentreSpec,
    EventLog,
    Kind,
    Resource,
)
from cowsliploom.resources._events import BATCHES_MAX, derive_batch


def view(revision, *names):
    resources = tuple(
        Resource(Kind.DATA_CENTRE, name, DataCentreSpec(), number)
        for name, number in names
    )
    return ConfigurationView(configuration=Configuration(revision, resources))


def stream_of(feed, after_revision):
    return WatchStream(feed, WatchScope(), after_revision, heartbeat_ms=1)


def read(pieces, count):
    lines = []
    for piece in pieces:
        lines.extend(json.loads(text) for text in piece.splitlines())
        if len(lines) >= count:
            return [(line['type'], line.get('revision')) for line in lines[:count]]
    return [(line['type'], line.get('revision')) for line in lines]


@pytest.fixture
def feed():
    feed = ConfigurationFeed()
    feed.offer_view(view(1, ('de', 1)))
    return feed


def test_batch_of_several_revisions_is_sent_before_its_bookmark(feed):
    feed.offer_view(view(4, ('gogledd', 3), ('canolbarth', 4)))
    assert read(stream_of(feed, 1), 5) == [
        ('bookmark', 1),
        ('put', 4),
        ('delete', 4),
        ('put', 4),
        ('bookmark', 4),
    ]


@pytest.mark.parametrize('after_revision', [2, 3])
def test_resuming_within_a_batch_sends_the_batch_again(feed, after_revision):
    feed.offer_view(view(4, ('de', 3)))
    lines = read(stream_of(feed, after_revision), 3)
    assert lines == [('bookmark', after_revision), ('put', 4), ('bookmark', 4)]


def test_older_view_is_ignored(feed):
    feed.offer_view(view(3, ('de', 3)))
    feed.offer_view(view(2))
    assert feed.state.revision == 3
    assert read(stream_of(feed, 1), 3)[1:] == [('put', 3), ('bookmark', 3)]


def test_stream_that_falls_behind_event_log_is_closed(feed):
    pieces = iter(stream_of(feed, 1))
    next(pieces)
    for revision in range(2, BATCHES_MAX + 4):
        feed.offer_view(view(revision, ('de', revision)))
    assert feed.state.log.floor_revision > 1
    assert read(pieces, 9) == [('closing', None)]


def test_full_event_log_drops_oldest_batch_and_raises_floor():
    log = EventLog(0)
    for revision in range(BATCHES_MAX + 1):
        batch = derive_batch(Configuration(revision), Configuration(revision + 1))
        log = log.append(batch)
    assert (log.floor_revision, len(log.batches)) == (1, BATCHES_MAX)
    assert log.after(0) is None
    assert len(log.after(1)) == BATCHES_MAX


def test_closing_line_follows_last_batch(feed):
    feed.offer_view(view(2, ('de', 2)))
    feed.close()
    assert read(stream_of(feed, 1), 9) == [
        ('bookmark', 1),
        ('put', 2),
        ('bookmark', 2),
        ('closing', None),
    ]


def test_closing_stream_twice_releases_its_watch_once():
    feed = ConfigurationFeed()
    assert feed.open_watch(1)
    assert not feed.open_watch(1)
    stream = stream_of(feed, 0)
    stream.close()
    stream.close()
    assert feed.state.watches == 0
