"""Metrics of a host, in the Prometheus text format."""

import aioprometheus
from aioprometheus import formats

# Upper bounds of the latency histogram in seconds.
LATENCY_BOUNDS_S = (0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 2.0, 4.0, 8.0)


class EdgeMetrics:
    """Counters and histograms of one process."""

    def __init__(self):
        self._registry = aioprometheus.Registry()
        self._requests = self._counter(
            'edge_requests_total', 'Requests by outcome.'
        )
        self._sends = self._counter(
            'edge_sends_total', 'Sends to targets by service and outcome.'
        )
        self._faults = self._counter(
            'edge_faults_total', 'Faults of targets by kind.'
        )
        self._reported_faults = self._counter(
            'edge_reported_faults_total',
            'Targets that other failure domains reported as failing.',
        )
        self._budget = self._counter(
            'edge_retry_budget_empty_total',
            'Second sends that the budget did not allow, by service.',
        )
        self._queued = self._counter(
            'edge_queued_total',
            'Requests that found no slot at once, by service and outcome.',
        )
        self._relays = self._counter(
            'edge_relays_total', 'Requests sent to other hosts by outcome.'
        )
        self._calls = self._counter(
            'edge_registry_calls_total', 'Calls to the registry by result.'
        )
        self._datagrams = self._counter(
            'edge_datagram_errors_total', 'Datagrams that were not delivered.'
        )
        self._listener_limits = self._counter(
            'edge_listener_limits_total',
            'Times at which clients reached a limit of the listeners.',
        )
        self._choices = self._counter(
            'edge_choices_total',
            'Choices of a target by service and kind, with scope fleet.',
        )
        self._beside_idle = self._counter(
            'edge_rejections_beside_idle_total',
            'Rejections by a target while another had a free slot.',
        )
        self._latency = aioprometheus.Histogram(
            'lavenderstile_edge_request_seconds',
            'Seconds from a request to the end of its answer, by outcome.',
            buckets=LATENCY_BOUNDS_S,
            registry=self._registry,
        )

    def _counter(self, name, doc):
        return aioprometheus.Counter(
            f'lavenderstile_{name}', doc, registry=self._registry
        )

    def count_request(self, outcome):
        """Count a request by its outcome."""
        self._requests.inc({'outcome': outcome})

    def record_request(self, outcome, duration_s):
        """Count a request and record its duration."""
        self._requests.inc({'outcome': outcome})
        self._latency.observe({'outcome': outcome}, duration_s)

    def count_send(self, service, outcome):
        """Count a send to a target."""
        self._sends.inc({'service': service, 'outcome': outcome})

    def count_fault(self, kind):
        """Count a fault of a target."""
        self._faults.inc({'kind': kind})

    def count_reported_faults(self, count):
        """Count targets that another domain reported as failing."""
        self._reported_faults.add({}, count)

    def count_denied_retry(self, service):
        """Count a retry that the retry budget denied."""
        self._budget.inc({'service': service})

    def count_queued(self, service, outcome):
        """Count a request that found no free slot at once."""
        self._queued.inc({'service': service, 'outcome': outcome})

    def count_relay(self, outcome):
        """Count a request that another host was asked to send."""
        self._relays.inc({'outcome': outcome})

    def count_registry_call(self, result):
        """Count a call to the registry."""
        self._calls.inc({'result': result})

    def count_choice(self, service, kind):
        """Count a choice of a target."""
        self._choices.inc({'service': service, 'kind': kind})

    def count_rejection_beside_idle(self, service):
        """Count a rejection while another target had a free slot."""
        self._beside_idle.inc({'service': service})

    def count_datagram_error(self):
        """Count a datagram that was not delivered."""
        self._datagrams.inc({})

    def count_listener_limit(self, limit):
        """Count that clients reached a limit of the listeners."""
        self._listener_limits.inc({'limit': limit})

    def render(self):
        """Return (body, headers) for a scrape."""
        body, headers = aioprometheus.render(
            self._registry, [formats.text.TEXT_CONTENT_TYPE]
        )
        return body, dict(headers)
