"""Shared fixtures of the tests of the edge package."""

from lavenderstile import clocks
from lavenderstile.edge import balancing
from lavenderstile.edge import directory
from lavenderstile.edge import fleet
from lavenderstile.edge import health
from lavenderstile.edge import messages
from lavenderstile.edge import models
from lavenderstile.edge import outcomes
from lavenderstile.edge import pauses
from lavenderstile.edge import target_limits


def make_target(instance, **changes):
    """Return a target; its port is derived from the instance."""
    fields = {
        'service': 'ledger',
        'address': '10.9.0.1',
        'port': 1000 + sum(instance.encode()),
        'domain': 'a',
        'slots': 3,
        'is_draining': False,
        'cold_left_s': 0.0,
        'started_ms': 1,
        **changes,
    }
    return models.Target(instance=instance, **fields)


def make_route(name='pay', **changes):
    """Return a route."""
    fields = {
        'host': 'races.example',
        'prefix': f'/{name}/',
        'idempotent': False,
        'is_upload': False,
        'weighted_services': (models.WeightedService('ledger', 1.0),),
        'timeout_s': 2.0,
        'max_targets': 2,
        'objective_s': 0.8,
        'priority': 1,
        'is_public': False,
        **changes,
    }
    return models.Route(name=name, **fields)


def make_configuration(version=1, routes=None, workspaces=None, limits=None):
    """Return a configuration with two services."""
    if workspaces is None:
        workspaces = [models.Workspace('club', ('key-1',), 0, 0.0, 0.0)]
    return models.Configuration(
        version,
        limits or models.CallerLimits(),
        routes or [make_route()],
        [
            models.Service(name, '/health', 100, 3.0, 4.0)
            for name in ('ledger', 'archive')
        ],
        workspaces,
    )


def make_directory(targets, now=0.0, configuration=None, evacuated=()):
    """Return a directory with targets in force."""
    found = directory.Directory()
    snapshot = directory.Snapshot(
        10,
        configuration or make_configuration(),
        tuple(targets),
        frozenset(evacuated),
    )
    found.apply_snapshot(snapshot, now)
    return found


def make_update(address, started_ms=1, **changes):
    """Return a peer's update."""
    fields = {
        'domain': 'a',
        'running': {},
        'faults': [],
        'successes': {},
        'crashes': [],
        'admitted': {},
        'sends': {},
        'revision': 1,
        'contact_age_s': 0.0,
        **changes,
    }
    return messages.Update(address=address, started_ms=started_ms, **fields)


def make_digest(origin='10.2.0.1', domain='b', **changes):
    """Return another domain's digest."""
    fields = {
        'started_ms': 1,
        'size': 16,
        'hosts': [origin],
        'admitted': {},
        'outcomes': {},
        'revision': 1,
        'crashes': [],
        **changes,
    }
    return messages.Digest(origin=origin, domain=domain, **fields)


class BalancerFixture:
    """A balancer with its dependencies and a virtual clock."""

    def __init__(
        self,
        targets,
        address='10.1.0.1',
        domain='a',
        rng=None,
        make_balancer=balancing.Balancer,
        **changes,
    ):
        self.clock = clocks.VirtualClock()
        now = self.clock.now()
        self.directory = make_directory(targets, now, **changes)
        self.fleet = fleet.Fleet(address, domain, 1)
        self.health = health.HealthTracker(
            health.SEPARATE_COSTS
            if make_balancer is balancing.Balancer
            else health.POOLED_COSTS
        )
        self.outcomes = outcomes.Outcomes()
        self.target_limits = target_limits.TargetLimits(
            self.directory, self.fleet
        )
        self.pauses = pauses.TargetPauses()
        for target in targets:
            self.health.add(target.instance, False, now)
        self.balancer = make_balancer(
            self.directory,
            self.fleet,
            self.health,
            self.outcomes,
            self.target_limits,
            self.pauses,
            0.7,
            rng,
        )

    def record_successes(self, *instances):
        """Record a success of each target now."""
        self.balancer.record_use(instances, self.clock.now())
        for instance in instances:
            self.health.record_success(
                instance, 'ledger', 0.2, self.clock.now()
            )

    def choose(
        self,
        excluded=(),
        kilobytes=1.0,
        is_idempotent=False,
        queue_per_slot=balancing.QUEUE_PER_SLOT,
    ):
        """Return the choice for a request."""
        return self.balancer.choose(
            'ledger',
            self.clock.now(),
            kilobytes,
            is_idempotent,
            excluded,
            lambda instance: True,
            queue_per_slot,
        )

    def choose_instance(self, **changes):
        """Return the instance of the chosen target, or None."""
        choice = self.choose(**changes)
        if isinstance(choice, balancing.Chosen):
            return choice.known.target.instance
        return None

    def send(self, count):
        """Send requests; return the instances that get them."""
        chosen = []
        for _ in range(count):
            choice = self.choose()
            if isinstance(choice, balancing.Chosen):
                self.balancer.begin(choice.known, self.clock.now())
                chosen.append(choice.known.target.instance)
        return chosen
