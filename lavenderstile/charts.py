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

    __slots__ = ('_interpreter',)

    def __init__(self, chart):
        self._interpreter = interpreter.Interpreter(chart)
        self._interpreter.execute()

    @property
    def state(self):
        """Name of the innermost active state."""
        return self._interpreter.configuration[-1]

    def send(self, event):
        """Send an event; return whether a transition was taken."""
        self._interpreter.queue(event)
        return bool(self._interpreter.execute())
