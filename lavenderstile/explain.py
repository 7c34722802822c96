"""Journal of recent requests, from which outcomes are explained."""

import collections

JOURNAL_SIZE = 4096


class RequestRecord:
    """The course of one request as sentences; contains no key and no body."""

    __slots__ = ('method', 'request_id', 'route', 'sentences', 'workspace')

    def __init__(self, request_id, method):
        self.request_id = request_id
        self.method = method
        self.route = ''
        self.workspace = ''
        self.sentences = []

    def note(self, sentence):
        """Append a sentence on an event."""
        self.sentences.append(sentence)

    def dump(self):
        """Return the record as JSON-able data."""
        return {
            'request_id': self.request_id,
            'method': self.method,
            'route': self.route,
            'workspace': self.workspace,
            'sentences': list(self.sentences),
        }


class RequestJournal:
    """The most recent requests of a host, up to a fixed number."""

    __slots__ = ('_records', '_size')

    def __init__(self, size=JOURNAL_SIZE):
        self._records = collections.OrderedDict()
        self._size = size

    def open(self, request_id, method):
        """Return a new record for a request; drop the oldest if full."""
        record = RequestRecord(request_id, method)
        self._records[request_id] = record
        if len(self._records) > self._size:
            self._records.popitem(last=False)
        return record

    def find(self, request_id):
        """Return the record of a request, or None."""
        return self._records.get(request_id)

    def __len__(self):
        return len(self._records)
