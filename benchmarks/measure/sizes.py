"""Sizes of the deployments (section 1.5 of the design page) and the load."""

import dataclasses

from lavenderstile import models

DOMAINS = ('north', 'south', 'west')
# Requests a second per target, at which the detection goal is stated.
RATE_PER_TARGET = 10.0
# Workspaces' shares of the configured rates; the first two are large.
WORKSPACE_SHARES = {
    'large1': 0.30,
    'large2': 0.25,
    'noisy': 0.10,
    **{f'small{number}': 0.07 for number in range(1, 6)},
}
NOISY_WORKSPACE = 'noisy'
NOISY_FACTOR = 5.0
# Exponent of the balancer's unevenness: the n-th host gets n**-ZIPF parts.
ZIPF_EXPONENT = 0.8


@dataclasses.dataclass(frozen=True, slots=True)
class Deployment:
    """One deployment's sizes; delays are one way."""

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
        """The parts of the load that the balancer sends to each host."""
        return [(number + 1) ** -ZIPF_EXPONENT for number in range(self.hosts)]

    def services(self):
        """Return the services, their targets spread over the domains."""
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
        """Return the workspaces; the burst is one second of the rate."""
        total = RATE_PER_TARGET * sum(self.targets)
        return [
            models.Workspace(name, (), total * share, total * share)
            for name, share in WORKSPACE_SHARES.items()
        ]


def host_domain(address):
    """Return the failure domain of an entry host."""
    return DOMAINS[int(address.rpartition('.')[2]) % len(DOMAINS)]


def choose_host(rng, hosts, weights):
    """Return the host to which the balancer sends a request."""
    return rng.choices(hosts, weights)[0]


DEPLOYMENTS = {
    'federacion': Deployment('federacion', (12, 20, 6), 3, 0.00025),
    'segull': Deployment('segull', (12, 16, 6), 4, 0.0005),
}
