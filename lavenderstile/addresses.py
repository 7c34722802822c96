"""Checks and expansion of IP addresses, networks and `ip:port` pairs."""

import ipaddress

MAX_PORT = 65_535

# Larger than the expected fleet of 3,400 hosts. Guards against a prefix
# length that is too short by mistake, which would give each host almost no
# share of a rate limit.
MAX_FLEET_ADDRESSES = 16_384


def parse_ip(text):
    """Return the address `text`; raise ValueError unless canonical.

    Other spellings are rejected because addresses are compared as text.
    """
    address = ipaddress.ip_address(text)
    if str(address) != text:
        raise ValueError(f'not in canonical form, expected {address}')
    return address


def parse_host_address(text):
    """Return the address of a host; raise ValueError unless it is one."""
    address = parse_ip(text)
    if address.is_unspecified or address.is_multicast:
        raise ValueError('not a host address')
    return address


def parse_host_port(text):
    """Return the pair (ip text, port) that connections can be made to.

    A connection to the unspecified address would reach this host itself.
    """
    host, port = parse_ip_port(text)
    parse_host_address(host)
    return host, port


def parse_ip_port(text):
    """Return the pair (ip text, port) of `ip:port` or `[ipv6]:port`."""
    host, colon, port = text.rpartition(':')
    if not colon:
        raise ValueError('port is missing')
    if host.startswith('[') and host.endswith(']'):
        host = host[1:-1]
        if parse_ip(host).version != 6:
            raise ValueError('brackets are for IPv6 addresses')
    elif parse_ip(host).version != 4:
        raise ValueError('an IPv6 address needs brackets')
    return host, _parse_port(port)


def _parse_port(text):
    if not (text.isascii() and text.isdigit()) or text[0] == '0':
        raise ValueError('port is not a decimal number')
    if len(text) > 5 or int(text) > MAX_PORT:
        raise ValueError('port is too large')
    return int(text)


def parse_network(text):
    """Return the network `text`; a single address is a network of one."""
    network = ipaddress.ip_network(text)
    spellings = {str(network)}
    if network.num_addresses == 1:
        spellings.add(str(network.network_address))
    if text not in spellings:
        raise ValueError(f'not in canonical form, expected {network}')
    return network


def expand_networks(texts):
    """Return the host addresses of the networks, in numeric order.

    The network and broadcast addresses of an IPv4 network are left out: no
    host can have them, and each address gets a share of every rate limit.
    """
    addresses = []
    for text in texts:
        addresses.extend(parse_network(text).hosts())
    addresses.sort(key=_sort_key)
    return tuple(str(address) for address in addresses)


def count_addresses(texts):
    """Return an upper bound of the number of addresses."""
    return sum(parse_network(text).num_addresses for text in texts)


def find_overlaps(texts):
    """Return pairs of indexes of networks that overlap."""
    networks = [(parse_network(t), i) for i, t in enumerate(texts)]
    networks.sort(key=lambda pair: _sort_key(pair[0].network_address))
    overlaps = []
    widest, widest_index = None, None
    for network, index in networks:
        if widest is not None and _overlap(widest, network):
            overlaps.append(tuple(sorted((widest_index, index))))
        if widest is None or not _contains(widest, network):
            widest, widest_index = network, index
    return sorted(overlaps)


def _overlap(one, other):
    return one.version == other.version and one.overlaps(other)


def _contains(one, other):
    return one.version == other.version and other.subnet_of(one)


def _sort_key(address):
    return address.version, int(address)
