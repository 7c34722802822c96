"""Limits that targets state for the requests of all hosts together."""

import eliot

from . import parsed_headers


class TargetLimits:
    """The limits that targets stated in their latest responses."""

    __slots__ = ('_rates',)

    def __init__(self):
        self._rates = {}

    def get_rate(self, instance):
        """Return a target's limit in requests a second, or None."""
        return self._rates.get(instance)

    def record(self, instance, limit):
        """Record what a target's response states about its limit."""
        match limit:
            case parsed_headers.Limited(rate):
                self._update(instance, rate)
            case parsed_headers.Unlimited():
                self._update(instance, None)
            case parsed_headers.UnreadableLimit(text):
                eliot.log_message(
                    'target_limit_unreadable', target=instance, text=text
                )

    def _update(self, instance, rate):
        before = self._rates.get(instance)
        if rate == before:
            return
        if rate is None:
            del self._rates[instance]
        else:
            self._rates[instance] = rate
        eliot.log_message(
            'target_limit_changed', target=instance, limit=rate, before=before
        )

    def keep(self, instances):
        """Remove the limits of targets that are not in `instances`."""
        for instance in self._rates.keys() - instances:
            del self._rates[instance]
