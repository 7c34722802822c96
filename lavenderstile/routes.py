"""Route lookup by the longest path prefix."""

from . import paths


class _Node:
    """A path segment: its subsegments and the routes that end here."""

    __slots__ = ('children', 'routes')

    def __init__(self):
        self.children = None
        self.routes = ()


class RouteTable:
    """Maps a method and a path to a route.

    Prefixes end at segment boundaries. Only the longest prefix that has
    routes is considered: when none of its routes allows the method, shorter
    prefixes are not tried, as they may be open or lead to another service.
    Among routes of one prefix, the lowest name wins.
    """

    __slots__ = ('_root', '_routes')

    def __init__(self, routes):
        """Build the table from a dict of routes by name."""
        self._root = _Node()
        self._routes = routes
        for route in routes.values():
            self._insert(route)

    def refresh(self, routes, names):
        """Replace the routes `names`, which are all that differ.

        Takes time proportional to the change, unlike building a new table.
        """
        for name in names:
            if name in self._routes:
                self._remove(self._routes[name])
        self._routes = routes
        for name in names:
            if name in routes:
                self._insert(routes[name])

    def _insert(self, route):
        node = self._root
        for segment in paths.split_path(route.path):
            if node.children is None:
                node.children = {}
            child = node.children.get(segment)
            if child is None:
                child = node.children[segment] = _Node()
            node = child
        ordered = sorted((*node.routes, route), key=_get_name)
        node.routes = tuple(ordered)

    def _remove(self, route):
        node = self._root
        visited = []
        for segment in paths.split_path(route.path):
            visited.append((node, segment))
            node = node.children[segment]
        node.routes = tuple(r for r in node.routes if r.name != route.name)
        for parent, segment in reversed(visited):
            child = parent.children[segment]
            if child.routes or child.children:
                break
            del parent.children[segment]

    def find_candidates(self, path):
        """Return the routes of the longest prefix of a raw path."""
        segments = paths.split_path(path)
        if segments is None:
            return ()
        node = self._root
        found = node.routes
        for segment in segments:
            if node.children is None:
                break
            node = node.children.get(segment)
            if node is None:
                break
            found = node.routes or found
        return found

    def match(self, method, path):
        """Return the route of a request, or None.

        `path` is the raw path, percent-encoded and with or without query.
        When there is no route, `allowed_methods` distinguishes an unknown
        path from a method that is not allowed.
        """
        for route in self.find_candidates(path):
            if not route.methods or method in route.methods:
                return route
        return None

    def allowed_methods(self, path):
        """Return the sorted methods of a known path, () when unknown.

        A path that has a route without methods matches every method.
        """
        methods = set()
        for route in self.find_candidates(path):
            methods.update(route.methods)
        return tuple(sorted(methods))


def _get_name(route):
    return route.name
