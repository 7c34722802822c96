"""Tests of the statecharts and their runner."""

import unittest

from lavenderstile import charts

# All transitions of each chart, and the events that reach their source.
TRANSITIONS = {
    'ejection': {
        ('in_service', 'looks_bad', 'suspect'): (),
        ('in_service', 'inherit_ejected', 'ejected'): (),
        ('suspect', 'looks_good', 'in_service'): ('looks_bad',),
        ('suspect', 'confirmed', 'ejected'): ('looks_bad',),
        ('suspect', 'inherit_ejected', 'ejected'): ('looks_bad',),
        ('ejected', 'time_over', 'trial'): ('inherit_ejected',),
        ('ejected', 'healthy_again', 'trial'): ('inherit_ejected',),
        ('ejected', 'floor_needs_target', 'in_service'): ('inherit_ejected',),
        ('trial', 'bad_answer', 'ejected'): ('inherit_ejected', 'time_over'),
        ('trial', 'good_answers', 'in_service'): (
            'inherit_ejected',
            'time_over',
        ),
        ('trial', 'stayed_healthy', 'in_service'): (
            'inherit_ejected',
            'time_over',
        ),
        ('trial', 'floor_needs_target', 'in_service'): (
            'inherit_ejected',
            'time_over',
        ),
    },
    'coldstart': {
        ('warm', 'restart', 'first_step'): (),
        ('ramping', 'restart', 'first_step'): ('restart', 'step'),
        ('ramping', 'full', 'warm'): ('restart', 'step'),
        ('first_step', 'step', 'rising'): ('restart',),
    },
}


class TransitionTest(unittest.TestCase):
    """Guards against charts that differ from what the code expects."""

    def test_the_tables_are_complete(self):
        for name, expected in TRANSITIONS.items():
            chart = charts.load_chart(name)
            found = {
                (transition.source, transition.event, transition.target)
                for state in chart.states
                for transition in chart.transitions_from(state)
            }
            self.assertEqual(found, set(expected), name)

    def test_every_transition_leads_to_its_target(self):
        for name, transitions in TRANSITIONS.items():
            chart = charts.load_chart(name)
            for (source, event, target), setup_events in transitions.items():
                runner = charts.ChartRunner(chart)
                for step in setup_events:
                    self.assertTrue(runner.send(step))
                active = {runner.state, *chart.ancestors_for(runner.state)}
                self.assertIn(source, active)
                self.assertTrue(runner.send(event))
                reached = runner.state
                if target in ('first_step', 'warm', 'rising'):
                    self.assertEqual(reached, target)
                self.assertIn(target, {reached, *chart.ancestors_for(reached)})

    def test_other_events_change_nothing(self):
        for name, transitions in TRANSITIONS.items():
            chart = charts.load_chart(name)
            events = {event for _, event, _ in transitions}
            known = {(source, event) for source, event, _ in transitions}
            for (_, reach, _), setup_events in transitions.items():
                runner = charts.ChartRunner(chart)
                for step in (*setup_events, reach):
                    runner.send(step)
                active = {runner.state, *chart.ancestors_for(runner.state)}
                for event in events:
                    if any((state, event) in known for state in active):
                        continue
                    start = runner.state
                    self.assertFalse(runner.send(event))
                    self.assertEqual(runner.state, start)
