"""Metrics of a daemon, in the Prometheus text format."""

import aioprometheus
from aioprometheus import formats


class Metrics:
    """Counters, gauges and summaries of one process."""

    def __init__(self):
        self._registry = aioprometheus.Registry()
        self.requests = self._counter(
            'lavenderstile_requests_total',
            'Requests by route and outcome (answered or reason code).',
        )
        self.attempts = self._counter(
            'lavenderstile_attempts_total',
            'Attempts on targets by service and outcome.',
        )
        self.tickets = self._counter(
            'lavenderstile_tickets_total',
            'Tickets by result (applied, ignored, refused, conflict, failed).',
        )
        self.exchanges = self._counter(
            'lavenderstile_exchanges_total',
            'Exchanges started with peers, by result (ok, failed).',
        )
        self.peer_calls = self._counter(
            'lavenderstile_peer_calls_total',
            'Answered calls to peers, by method.',
        )
        self.peer_bytes = self._counter(
            'lavenderstile_peer_bytes_total',
            'Bytes of the messages of answered calls to peers, without'
            ' framing, by method and direction (sent, received).',
        )
        self.pauses = self._counter(
            'lavenderstile_pauses_total',
            'Pauses of the process of one second or longer.',
        )
        self.target_events = self._counter(
            'lavenderstile_target_events_total',
            'State changes of targets by service and event.',
        )
        self.queue_seconds = self._summary(
            'lavenderstile_queue_seconds',
            'Seconds spent waiting for a slot, by service.',
        )

    def _counter(self, name, doc):
        return aioprometheus.Counter(name, doc, registry=self._registry)

    def _summary(self, name, doc):
        return aioprometheus.Summary(name, doc, registry=self._registry)

    def render(self):
        """Return (body, headers) for a scrape."""
        body, headers = aioprometheus.render(
            self._registry, [formats.text.TEXT_CONTENT_TYPE]
        )
        return body, dict(headers)
