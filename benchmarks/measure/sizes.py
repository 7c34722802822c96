"""Deployment sizes (section 1.5 of the design page) and load parameters."""

import dataclasses

from lavenderstile import models

DOMAINS = ('north', 'south', 'west')
# Requests per second per target for which the detection goal is defined.
RATE_PER_TARGET = 10.0
# Each workspace's share of the configured rates; the first two are large.
WORKSPACE_SHARES = {
    'large1': 0.30,
    'large2': 0.25,
    'noisy': 0.10,
    **{f'small{number}': 0.07 for number in range(1, 6)},
}
NOISY_WORKSPACE = 'noisy'
NOISY_FACTOR = 5.0
# The load balancer spreads the load by a Zipf distribution: the n-th host has
# the weight n**-ZIPF_EXPONENT.
ZIPF_EXPONENT = 0.8


@dataclasses.dataclass(frozen=True, slots=True)
class Deployment:
    """Sizes of a deployment; `delay_s` is the one-way network delay."""

    name: str
    targets: tuple[int, ...]
    slots: int
    delay_s: float
    hosts: int = 48

    @property
    def host_names(self):
        """Addresses of the entry hosts."""
        return tuple(f'10.1.0.{number}' for number in range(self.hosts))

    @property
    def host_weights(self):
        """Weights by which the load balancer chooses the hosts."""
        return [(number + 1) ** -ZIPF_EXPONENT for number in range(self.hosts)]

    def services(self):
        """Return the services, whose targets are spread over the domains."""
        return [
            models.Service(
                f'service{index}',
                tuple(
                    models.Target(
                        f'10.2.{index}.{number}:80',
                        DOMAINS[number % len(DOMAINS)],
                        self.slots,
                    )
                    for number in range(count)
                ),
            )
            for index, count in enumerate(self.targets)
        ]

    def workspaces(self):
        """Return the workspaces; each burst equals one second of the rate."""
        total = RATE_PER_TARGET * sum(self.targets)
        return [
            models.Workspace(name, (), total * share, total * share)
            for name, share in WORKSPACE_SHARES.items()
        ]


def host_domain(address):
    """Return the failure domain of an entry host."""
    return DOMAINS[int(address.rpartition('.')[2]) % len(DOMAINS)]


def choose_host(rng, hosts, weights):
    """Return the host to which the load balancer sends a request."""
    return rng.choices(hosts, weights)[0]


DEPLOYMENTS = {
    'federacion': Deployment('federacion', (12, 20, 6), 3, 0.00025),
    'segull': Deployment('segull', (12, 16, 6), 4, 0.0005),
}
