"""Builds the action that forwards a request to another instance, in one hop."""

from __future__ import annotations

from yuccahitch.controllers.members import membership
from yuccahitch.filters import poison, request_context
from yuccahitch.messages import actions, peers, requests


def forward_action(
    context: request_context.RequestContext,
    info: peers.InstanceInfo,
    *,
    members: membership.Membership,
    now: float,
    owned: bool,
) -> actions.Forward:
    """Return the action that forwards a request.

    Args:
        context: The request to forward.
        info: The receiving instance.
        members: The live instances.
        now: Monotonic seconds.
        owned: Whether the receiver minted the request's idempotency key. It then runs the whole
            chain and takes the tokens from the client account's rate itself.
    """
    own_instance = members.own.instance
    hop = requests.Hop(
        sender=own_instance,
        account=context.account.name,
        key_name=context.key_name,
        regions=tuple(sorted(context.regions)) if context.regions is not None else (),
        hops=1,
        visited=(own_instance,),
        owned=owned,
        charged=not owned,
        granted_tokens=0 if owned else context.output_token_limit,
        better_than_s=0.0 if owned else context.better_than_s,
        leased=context.idempotent and not owned,
        crashes=poison.crash_reports(context, now),
    )
    return actions.Forward(
        instance=info.instance,
        address=members.address_of(info),
        attempt=context.attempt,
        request=context.request,
        hop=hop,
        deadline_in=max(0.0, context.request.deadline - now),
    )
