"""Servers of several services, registered in the store."""

from . import servers
from . import store as store_module

# Addresses of the servers within the net; hosts have the lower ones.
FIRST_SERVER = 5


async def start_servers(net, record, store, services):
    """Start servers and write their entries; return them by service.

    `services` has the number of servers and their work in seconds by service.
    """
    fleet = {}
    number = FIRST_SERVER
    for service, (count, work_s) in services.items():
        fleet[service] = []
        for index in range(count):
            server = servers.Server(f'i-{service}-{index}', record, work_s)
            await server.start(f'{net}.{number}')
            number += 1
            store.put(
                f'servers/{server.instance}',
                store_module.describe_server(
                    service, server.address, 'zone-a'
                ),
            )
            fleet[service].append(server)
    return fleet
