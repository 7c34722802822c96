"""Loading and running of the statecharts in `charts/`."""

import functools
import importlib.resources

from sismic import interpreter
from sismic import io


@functools.lru_cache(maxsize=None)
def load_chart(name):
    """Return the statechart `charts/<name>.yaml`."""
    files = importlib.resources.files(__package__)
    text = files.joinpath('charts', f'{name}.yaml').read_text('utf-8')
    return io.import_from_yaml(text)


class ChartRunner:
    """One running instance of a statechart.

    An event takes about 0.1 ms, so events are sent on changes of state,
    never per request.
    """

    __slots__ = ('_interpreter', '_state')

    def __init__(self, chart):
        self._interpreter = interpreter.Interpreter(chart)
        self._interpreter.execute()
        self._state = self._interpreter.configuration[-1]

    @property
    def state(self):
        """Name of the innermost active state."""
        return self._state

    def send(self, event):
        """Send an event; return whether a transition was taken."""
        self._interpreter.queue(event)
        steps = self._interpreter.execute()
        self._state = self._interpreter.configuration[-1]
        return any(step.transitions for step in steps)
