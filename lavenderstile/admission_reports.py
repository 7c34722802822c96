"""Descriptions of the state of targets, for operators."""


def dump_target(state, table, review, now):
    """Return a target's state as a JSON-serialisable dict."""
    ejected = review.ejection_of(state.address)
    return {
        'domain': state.target.domain,
        'open': state.open,
        'state': ejected.state,
        'reason': ejected.reason if ejected.state != 'in_service' else '',
        'trial_in_s': max(0.0, ejected.ejected_until - now)
        if ejected.out_of_service
        else None,
        'ejections': ejected.ejection_count,
        'limit': state.cold.limit(),
        'units': [unit.index for unit in table.units(state.address)],
        'running': table.running(state.address),
        'hinted_running': state.hinted_running,
        'healthy': state.healthy,
        'instance': state.instance,
        'median_s': state.median_s,
        'avoided_by': review.avoided_hosts(state.address, now),
    }


def explain_target(state, table, review, now):
    """Explain which requests a target gets and why, in sentences."""
    lines = [
        *_explain_configuration(state),
        *_explain_ejection(state, review.ejection_of(state.address), now),
    ]
    if state.cold.ramping:
        lines.append(
            f'The target is in cold start ({state.cold.reason}): it gets at '
            f'most {state.cold.limit()} concurrent requests.'
        )
    if state.draining:
        lines.append(
            'The target reports that it is draining, so it is used only when '
            'no other target has a free slot.'
        )
    hosts = review.avoided_hosts(state.address, now)
    if hosts:
        lines.append(
            f'Requests from {", ".join(hosts)} avoid the target, because '
            'only requests from there fail on it.'
        )
    if not lines:
        lines.append('The target is in service.')
    running = table.running(state.address)
    held = len(table.units(state.address))
    lines.append(
        f'{running} requests run on it; this host holds {held} slots.'
    )
    return lines


def _explain_configuration(state):
    if not state.domain_in_service:
        yield (
            f'Failure domain {state.target.domain} is out of service, so '
            'the target gets no new requests.'
        )
    if state.target.leaving:
        yield 'The target is leaving and gets no new requests.'


def _explain_ejection(state, ejected, now):
    if ejected.state == 'ejected':
        left_s = max(0.0, ejected.ejected_until - now)
        yield (
            f'The target is ejected ({ejected.reason}); consecutive '
            f'ejections: {ejected.ejection_count}; its trial starts in '
            f'{left_s:.1f} s.'
        )
    elif ejected.state == 'trial':
        yield (
            f'The target is on trial after its ejection ({ejected.reason}): '
            f'{ejected.good} consecutive good responses so far.'
        )
    elif ejected.state == 'suspect':
        yield f'The target is suspected of failing ({ejected.reason}).'
    if state.last_resort:
        yield (
            'The capacity floor keeps the target in service; it is used only '
            'when no other target has a free slot.'
        )
