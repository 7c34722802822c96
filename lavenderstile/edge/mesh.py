"""Datagrams between hosts: membership, load, outcomes and admitted requests.

Hosts of a failure domain send each other updates on every request, because
traffic inside a domain is cheap. Between domains, where it is expensive, only
the primary of a domain, its reachable host with the lowest address, sends
digests to a few hosts of each other domain, and these forward them.
"""

import asyncio
import random

import eliot

from .. import errors
from . import change_batches
from . import health as health_module
from . import messages
from . import target_limits

# Minimum time between two updates to the domain.
UPDATE_INTERVAL_S = 0.012

HEARTBEAT_INTERVAL_S = 0.5

# The number of messages grows with the square of a domain's hosts. Beyond this
# many peers full updates are sent less often, and updates that are not urgent
# are delayed by a time per further peer, up to a maximum that is shorter than
# most requests.
FULL_RATE_PEERS = 16
DELAY_S_PER_PEER = 0.01
MAX_DELAY_S = 0.2

DIGEST_INTERVAL_S = 0.5

# Hosts of each other domain that get a digest; two, so that one of them may
# have failed undetected.
DIGEST_RECEIVERS = 2

# Hosts that a digest names as relays. They are drawn anew each time, so that
# the other domains come to know more of them.
RELAYS_PER_DIGEST = 4

# Interval of hello messages to seeds and to known hosts that are not peers,
# before and after the first peer is found, and the maximum number of those
# hosts.
HELLO_INTERVAL_S = 0.5
CONNECTED_HELLO_INTERVAL_S = 4.0
MAX_HELLO_CONTACTS = 6

# Contact age in messages if there was no contact.
MAX_CONTACT_AGE_S = 1000.0

# Maximum number of hosts per other domain in a welcome.
WELCOME_CONTACTS = 4


def _find_changed(counts, reported):
    return {
        name: count
        for name, count in counts.items()
        if reported.get(name) != count
    }


def _ignore(*_, **__):
    """Do nothing; the callback until the mesh is started."""


class Mesh(asyncio.DatagramProtocol):
    """Sends and receives the datagrams of this host."""

    def __init__(self, parts, settings, started_ms):
        self._clock = parts.clock
        self._fleet = parts.fleet
        self._rate_limits = parts.rate_limits
        self._target_limits = parts.target_limits
        self._balancer = parts.balancer
        self._budgets = parts.budgets
        self._health = parts.health
        self._notices = parts.notices
        self._health_exchange = parts.health_exchange
        self._guard = parts.guard
        self._paths = parts.paths
        self._watcher_selection = parts.watcher_selection
        self._directory = parts.directory
        self._outcomes = parts.outcomes
        self._waiting = parts.waiting
        self._reports = parts.reports
        self._metrics = parts.metrics
        self._settings = settings
        self._started_ms = started_ms
        self._transport = None
        self._update_timer = None
        self._sent_at = 0.0
        self._domain_admitted = {}
        self._reported_admitted = {}
        self._reported_sends = {}
        self._reported_limits = {}
        self._reported_limited_sends = {}
        self._change_log = change_batches.ChangeLog()
        self._is_leaving = False
        self._may_relay = True
        self.apply_batch = _ignore

    async def start(self):
        """Open the socket."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self,
            local_addr=(self._settings.address, self._settings.peer_port),
        )
        self._reports.schedule_update = self._schedule_update

    def connection_made(self, transport):
        """Store the transport."""
        self._transport = transport

    def datagram_received(self, data, addr):
        """Handle a message of another host."""
        try:
            message = messages.unpack(data)
        except errors.DecodingError as error:
            eliot.log_message(
                'datagram_unreadable', sender=addr[0], error=str(error)
            )
            return
        now = self._clock.now()
        match message:
            case messages.Hello():
                self._handle_hello(message, addr[0])
            case messages.Welcome():
                self._handle_welcome(message)
            case messages.Update():
                self._handle_update(message, now)
            case messages.RegistryChanges():
                self._handle_registry_changes(message, addr[0])
            case messages.Digest():
                self._handle_digest(message, data, addr[0], now)
            case messages.FaultNotice():
                self._handle_fault_notice(message, data, addr[0], now)

    def error_received(self, error):
        """Count an undelivered datagram, as to a host that has stopped."""
        self._metrics.count_datagram_error()

    def _send(self, address, data):
        self._transport.sendto(data, (address, self._settings.peer_port))

    async def run(self):
        """Send heartbeats, digests and hello messages until cancelled."""
        hello_sent_at = digest_sent_at = full_sent_at = 0.0
        while True:
            now = self._clock.now()
            self._expire(now)
            if now - full_sent_at >= self._get_full_update_interval():
                full_sent_at = now
                self._send_update()
            elif now - self._sent_at >= HEARTBEAT_INTERVAL_S:
                self._send_update(is_full=False)
            if now - digest_sent_at >= DIGEST_INTERVAL_S:
                digest_sent_at = now
                self._send_digests(now)
            if now - hello_sent_at >= self._get_hello_interval():
                hello_sent_at = now
                self._send_hellos()
            await asyncio.sleep(
                HEARTBEAT_INTERVAL_S * (0.45 + random.random() * 0.1)
            )

    def _get_full_update_interval(self):
        return HEARTBEAT_INTERVAL_S * max(
            1.0, len(self._fleet.peers) / FULL_RATE_PEERS
        )

    def _get_batching_delay(self):
        """Return the delay of updates that are not urgent, in seconds."""
        excess_peers = max(0, len(self._fleet.peers) - FULL_RATE_PEERS)
        return min(excess_peers * DELAY_S_PER_PEER, MAX_DELAY_S)

    def _get_hello_interval(self):
        return (
            CONNECTED_HELLO_INTERVAL_S
            if self._fleet.peers
            else HELLO_INTERVAL_S
        )

    def _expire(self, now):
        for address in self._fleet.expire(now):
            eliot.log_message(
                'host_silent', host=address, left=len(self._fleet.peers)
            )
        reachable = self._fleet.count_reachable(now)
        self._rate_limits.set_share(reachable, self._fleet.get_size(now))

    def _send_hellos(self):
        hello = messages.pack(
            messages.Hello(
                self._fleet.address, self._fleet.domain, self._started_ms
            )
        )
        not_peers = [
            address
            for address in self._fleet.contacts.get(self._fleet.domain, ())
            if address not in self._fleet.peers
        ]
        random.shuffle(not_peers)
        seeds = [
            seed for seed in self._settings.seeds if self._is_remote(seed)
        ]
        for address in {*seeds, *not_peers[:MAX_HELLO_CONTACTS]}:
            self._send(address, hello)

    def _is_remote(self, address):
        return address != self._fleet.address

    def _handle_hello(self, hello, sender):
        if not self._is_remote(sender):
            return
        contacts = self._fleet.contacts
        hosts = {
            domain: addresses
            if domain == hello.domain
            else addresses[-WELCOME_CONTACTS:]
            for domain, addresses in contacts.items()
        }
        own = hosts.get(self._fleet.domain, [])
        hosts[self._fleet.domain] = [self._fleet.address, *own]
        welcome = messages.Welcome(
            self._fleet.address, self._fleet.domain, self._started_ms, hosts
        )
        self._send(sender, messages.pack(welcome))
        self._fleet.learn_contacts({hello.domain: [hello.address]})
        if hello.domain == self._fleet.domain:
            self._send(sender, messages.pack(self._make_update()))

    def _handle_welcome(self, welcome):
        before = set(self._fleet.contacts.get(self._fleet.domain, ()))
        self._fleet.learn_contacts(welcome.hosts)
        after = set(self._fleet.contacts.get(self._fleet.domain, ()))
        hello = messages.pack(
            messages.Hello(
                self._fleet.address, self._fleet.domain, self._started_ms
            )
        )
        for address in after - before:
            if address not in self._fleet.peers:
                self._send(address, hello)

    def _handle_update(self, update, now):
        if update.address == self._fleet.address:
            return
        is_new = update.address not in self._fleet.peers
        added, sent, limited = self._fleet.apply_update(update, now)
        for service, (requests, retries, failed) in sent.items():
            self._budgets.record_peer(service, requests, retries, now)
            self._outcomes.record(service, requests, failed, now)
        self._watcher_selection.record_peer_position(update.position)
        self._balancer.record_use(update.running, now)
        if is_new and not update.is_leaving:
            eliot.log_message(
                'host_heard', host=update.address, known=len(self._fleet.peers)
            )
            self._send(update.address, messages.pack(self._make_update()))
        self._rate_limits.record(added, now)
        self._count_admitted(added)
        self._target_limits.record_reports(
            update.limits, target_limits.Source.PEER, now
        )
        self._target_limits.record_peer_sends(limited, now)
        for instance, success in update.successes.items():
            service, latency_s, remote_load = success
            self._health.record_success(
                instance, service, latency_s, now, is_own=False
            )
            if remote_load is not None:
                self._balancer.record_remote_load(instance, remote_load, now)
        self._waiting.wake()
        for fault in update.faults:
            self._handle_fault(fault, update.address, now)
        self._record_crash_reports(update, update.address, now)
        self._record_leaving(update.leaving, update.address)

    def _handle_fault(self, fault, sender, now):
        try:
            kind = health_module.FaultKind(fault.kind)
        except ValueError:
            eliot.log_message('fault_unknown', kind=fault.kind, sender=sender)
            return
        self._health.record_fault(fault.instance, kind, now)

    def _record_crash_reports(self, reports, sender, now, is_own_domain=True):
        """Take over the crashes and answers that another host has seen."""
        for crash in reports.crashes:
            is_new = self._guard.record(
                crash.digest,
                crash.run,
                now - crash.age_s,
                is_own=False,
                is_own_domain=is_own_domain,
            )
            if is_new:
                eliot.log_message(
                    'crash_reported',
                    digest=crash.digest,
                    run=crash.run,
                    sender=sender,
                    crashes=self._guard.count(crash.digest, now),
                )
        for digest, age_s in reports.answers.items():
            self._guard.record_answer(
                digest,
                now - age_s,
                is_own=False,
                is_own_domain=is_own_domain,
            )

    def _record_leaving(self, leaving, sender):
        """Take over what targets have told other hosts about their end."""
        for instance, started_ms in leaving:
            if self._directory.mark_leaving(instance, started_ms):
                eliot.log_message(
                    'target_leaving', target=instance, sender=sender
                )

    def _handle_digest(self, digest, data, sender, now):
        if digest.domain == self._fleet.domain:
            return
        added, outcomes = self._fleet.apply_digest(digest, now)
        for service, (requests, failed) in outcomes.items():
            self._outcomes.record(
                service, requests, failed, now, is_own_domain=False
            )
        self._watcher_selection.record_peer_position(digest.position)
        self._rate_limits.record(added, now)
        self._target_limits.record_reports(
            digest.limits, target_limits.Source.OTHER_DOMAIN, now
        )
        self._record_crash_reports(
            digest, digest.origin, now, is_own_domain=False
        )
        self._record_leaving(digest.leaving, digest.origin)
        self._health_exchange.apply_healthy(digest.healthy, now)
        self._forward(data, sender)

    def _forward(self, data, sender):
        """Forward a message of another domain inside the own one."""
        if sender not in self._fleet.peers:
            for address in self._fleet.peers:
                self._send(address, data)

    def _handle_fault_notice(self, notice, data, sender, now):
        if notice.domain == self._fleet.domain:
            return
        applied = self._health_exchange.apply_notice(notice, now)
        if applied is None:
            return
        if applied.avoided or applied.unknown:
            eliot.log_message(
                'faults_reported',
                domain=notice.domain,
                avoided=applied.avoided,
                unknown=applied.unknown,
                origin=notice.origin,
            )
        self._metrics.count_reported_faults(len(notice.faults))
        self._forward(data, sender)

    def _count_admitted(self, added):
        for workspace, count in added.items():
            total = self._domain_admitted.get(workspace, 0)
            self._domain_admitted[workspace] = total + count

    def _schedule_update(self, is_urgent=True):
        if self._transport is None:
            return
        loop = asyncio.get_running_loop()
        wait_s = self._sent_at + UPDATE_INTERVAL_S - self._clock.now()
        if not is_urgent:
            wait_s = max(wait_s, self._get_batching_delay())
        due_at = loop.time() + max(0.0, wait_s)
        if self._update_timer is not None:
            if self._update_timer.when() <= due_at:
                return
            self._update_timer.cancel()
        self._update_timer = loop.call_at(due_at, self._send_update, False)

    def _make_update(self, reports=((), {}), crash_reports=None, is_full=True):
        faults, successes = reports
        admitted = self._rate_limits.admitted
        sends = self._budgets.own
        limits = self._target_limits.get_reports(
            target_limits.Source.RESPONSE, self._clock.now()
        )
        limited_sends = self._target_limits.sends
        if crash_reports is None:
            crash_reports = self._guard.get_reports(self._clock.now())
        if not is_full:
            admitted = _find_changed(admitted, self._reported_admitted)
            sends = _find_changed(sends, self._reported_sends)
            limits = {
                instance: report
                for instance, report in limits.items()
                if self._reported_limits.get(instance) != report.rate
            }
            limited_sends = _find_changed(
                limited_sends, self._reported_limited_sends
            )
        return messages.Update(
            self._fleet.address,
            self._fleet.domain,
            self._started_ms,
            dict(self._balancer.own_running),
            list(faults),
            successes,
            crash_reports.crashes,
            admitted,
            sends,
            self._directory.revision,
            self._get_contact_age(),
            is_full,
            self._is_leaving,
            self._waiting.counts,
            limits,
            limited_sends,
            self._directory.position.era,
            crash_reports.answers,
            self._reaches_targets,
            self._directory.leaving,
            self._waiting.starts,
        )

    @property
    def _reaches_targets(self):
        return self._may_relay and not self._paths.is_cut

    def _get_contact_age(self):
        age_s = self._clock.now() - self._watcher_selection.registry_contact_at
        return round(min(age_s, MAX_CONTACT_AGE_S), 3)

    def broadcast_changes(self, after, changes):
        """Send changes of the registry to the hosts of the domain."""
        batch = change_batches.Batch(
            after, changes.revision, changes.body, changes.era
        )
        packed = self._change_log.add(batch, self._clock.now())
        if len(packed) > messages.MAX_CHANGES_BYTES:
            # Peers learn the revision and read the changes from the registry.
            self._send_update()
            return
        plan = change_batches.plan_relays(self._fleet.peers, len(packed))
        for address, relay in plan:
            self._send(
                address, messages.pack(messages.RegistryChanges(packed, relay))
            )

    def _handle_registry_changes(self, message, sender):
        if message.relay:
            data = messages.pack(messages.RegistryChanges(message.packed, []))
            for address in message.relay:
                self._send(address, data)
        try:
            batches = change_batches.unpack(message.packed)
        except change_batches.ChangeBatchError as error:
            eliot.log_message(
                'news_unreadable', sender=sender, error=str(error)
            )
            return
        for batch in batches:
            self._change_log.record(batch, self._clock.now())
            self.apply_batch(batch)

    def _send_update(self, is_full=True):
        if self._update_timer is not None:
            self._update_timer.cancel()
            self._update_timer = None
        self._sent_at = self._clock.now()
        crash_reports = self._guard.take_new_reports(self._sent_at)
        if is_full:
            crash_reports = self._guard.get_reports(self._sent_at)
        update = self._make_update(
            self._reports.take(), crash_reports, is_full
        )
        self._reported_admitted.update(update.admitted)
        self._reported_sends.update(update.sends)
        self._reported_limits.update(
            {name: report.rate for name, report in update.limits.items()}
        )
        self._reported_limited_sends.update(update.limited_sends)
        data = messages.pack(update)
        for address in self._fleet.peers:
            self._send(address, data)
        number, faults = self._notices.take()
        if faults:
            notice = messages.FaultNotice(
                self._fleet.address,
                self._fleet.domain,
                self._started_ms,
                number,
                faults,
            )
            self._send_to_domains(messages.pack(notice), self._sent_at)

    def _send_to_domains(self, data, now):
        """Send a message to some hosts of each other domain."""
        for domain in self._fleet.contacts:
            if domain != self._fleet.domain:
                for address in self._choose_digest_receivers(domain, now):
                    self._send(address, data)

    def _send_digests(self, now):
        if self._fleet.primary != self._fleet.address:
            return
        totals = dict(self._domain_admitted)
        for workspace, count in self._rate_limits.admitted.items():
            totals[workspace] = totals.get(workspace, 0) + count
        members = sorted(self._fleet.members)
        crash_reports = self._guard.get_reports(now)
        data = messages.pack(
            messages.Digest(
                self._fleet.address,
                self._fleet.domain,
                self._started_ms,
                len(members),
                members[: DIGEST_RECEIVERS + 1],
                totals,
                self._outcomes.totals,
                self._directory.revision,
                crash_reports.crashes,
                self._target_limits.get_reports(
                    target_limits.Source.PEER, now
                ),
                self._directory.position.era,
                crash_reports.answers,
                self._choose_relays(),
                self._directory.leaving,
                self._health_exchange.list_healthy(now),
            )
        )
        self._send_to_domains(data, now)

    def _choose_relays(self):
        relays = self._fleet.list_own_relays()
        if self._reaches_targets:
            relays.append(self._fleet.address)
        return random.sample(relays, min(len(relays), RELAYS_PER_DIGEST))

    def _choose_digest_receivers(self, domain, now):
        known = self._fleet.domains.get(domain)
        if (
            known is not None
            and now - known.last_contact_at < 3 * DIGEST_INTERVAL_S
        ):
            return known.contacts[:DIGEST_RECEIVERS]
        contacts = self._fleet.contacts[domain]
        return random.sample(contacts, min(len(contacts), DIGEST_RECEIVERS))

    def apply_settings(self, settings):
        """Use the seeds of changed settings."""
        self._settings = settings

    def stop_relaying(self):
        """Tell the domain that this host relays no more requests."""
        self._may_relay = False
        self._send_update()

    def leave(self):
        """Announce to the domain that this host is shutting down."""
        self._is_leaving = True
        self._send_update()

    def close(self):
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()
