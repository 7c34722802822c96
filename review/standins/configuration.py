"""The operator's configuration for the cases."""

LIMITS = {
    'maxHeaderBytes': 16384,
    'maxBodyBytes': 2_000_000,
    'headerTimeoutS': 3,
    'idleTimeoutS': 15,
}


def make_rule(name, prefix, kind, service, is_public=False, **action):
    """Return a route of a configuration."""
    return {
        'name': name,
        'routeType': kind,
        'targetLatencyS': 1.0,
        'priority': 1,
        'public': is_public,
        'match': {'prefix': prefix},
        'action': {
            'service': service,
            'timeoutS': 5.0,
            'maxAttempts': 2,
            **action,
        },
    }


def make_configuration(
    version, rules, services, max_connections=360, tenants=('shop',)
):
    """Return a configuration whose tenants have no rate limits.

    The keys of the tenants are `key-1`, `key-2` and so on.
    """
    return {
        'version': version,
        'limits': LIMITS,
        'tenants': [
            {
                'name': name,
                'apiKeys': [f'key-{number}'],
                'priority': 0,
                'ratePerS': 0,
                'burst': 0,
            }
            for number, name in enumerate(tenants, 1)
        ],
        'listeners': [{'host': 'shop.example', 'rules': rules}],
        'clusters': [
            {
                'name': service,
                'healthCheck': '/health',
                'maxConnections': max_connections,
                'protocol': 'h1',
                'tls': False,
                'warmupS': 3.0,
                'coldPerS': 18.0,
            }
            for service in services
        ],
    }
