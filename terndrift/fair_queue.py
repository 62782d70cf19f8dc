"""A bounded queue that serves its sources in turn, so that one with much input does not delay the others."""

from collections import deque

# Items of one source that wait; there is no room for more.
MAX_ITEMS_PER_SOURCE = 64
# Sources with waiting items; there is no room for one more.
MAX_SOURCES = 1024


class FairQueue:
    """Items by their source: first in, first out within a source, one of each source in turn."""

    def __init__(self):
        self.by_source = {}  # source -> deque of its items; the source whose turn it is comes first
        self.dropped_count = 0

    def __bool__(self):
        return bool(self.by_source)

    def has_room(self, source):
        """Whether an item of this source would be taken; counts it as dropped if not."""
        items = self.by_source.get(source)
        has_room = len(self.by_source) < MAX_SOURCES if items is None else len(items) < MAX_ITEMS_PER_SOURCE
        self.dropped_count += not has_room
        return has_room

    def put(self, source, item):
        """Adds an item, for which there must be room."""
        self.by_source.setdefault(source, deque()).append(item)

    def take(self):
        """Removes and returns (source, item) of the source whose turn it is; there must be one."""
        source = next(iter(self.by_source))
        items = self.by_source.pop(source)
        item = items.popleft()
        if items:
            self.by_source[source] = items
        return source, item
