import { type GrantId, type Millis, millis, toId } from '@lavenderturn/types'
import type { MeshEffect } from '../MeshEffect'
import type { MeshState } from '../MeshState'
import { rankOwners } from '../quota/rankOwners'
import { LATE_TOKEN_WAIT, MAX_OWNERS, MAX_TOKEN_WAIT, PEER_REPLY_TIMEOUT } from './gatewayTimings'
import type { TokenAnswered } from './GatewayEvent'
import type { GatewayRequest } from './GatewayState'
import { refuseRequest } from './refuseRequest'
import { requestSlot } from './requestSlot'

/**
 * Takes one token of the team's rate, or requests a slot immediately if the team has no rate limit.
 *
 * @param state - the node's state
 * @param request - a request that passed the access checks
 * @returns effects
 * @internal
 */
export function chargeRequest (state: MeshState, request: GatewayRequest): MeshEffect[] {
  const rule = request.team === undefined ? undefined : state.configuration.current?.teams.get(request.team)
  if (rule === undefined || rule.ratePerSecond === 0) return requestSlot(state, request)
  return requestToken(state, request)
}

/**
 * Requests a token from the next owner of the team's rate.
 *
 * @param state - the node's state
 * @param request - a request that is waiting for its token
 * @returns effects
 * @internal
 */
export function requestToken (state: MeshState, request: GatewayRequest): MeshEffect[] {
  const owners = rankOwners(state, { team: request.team!, count: MAX_OWNERS })
  const owner = owners[request.ownersAsked]
  request.ownersAsked += 1
  if (owner === undefined) return awaitLateToken(state, request, owners.length)
  const { nodeId, peerAddress } = state.identity
  const grant: GrantId = toId(`${state.identity.bootId}.${request.id}.${state.gateway.nextNumber++}`)
  request.grants.set(grant, owner.node)
  return [
    {
      slice: 'peer',
      type: 'send',
      to: owner.peerAddress,
      message: { kind: 'askToken', grant, node: nodeId, replyTo: peerAddress, team: request.team! }
    },
    setTokenTimer(request, PEER_REPLY_TIMEOUT)
  ]
}

/** Keeps waiting once all owners were asked: an owner on a throttled machine answers late. */
function awaitLateToken (state: MeshState, request: GatewayRequest, ownerCount: number): MeshEffect[] {
  if (request.ownersAsked > ownerCount + 1 || request.grants.size === 0) {
    return refuseRequest(state, request, { result: 'limitUnreachable' })
  }
  return [setTokenTimer(request, LATE_TOKEN_WAIT)]
}

function setTokenTimer ({ id }: GatewayRequest, delay: Millis): MeshEffect {
  const event = { slice: 'gateway', type: 'tokenDue', requestId: id } as const
  return { slice: 'timer', type: 'set', id: toId(`token/${id}`), delay, event }
}

/**
 * Handles an owner's reply to a token request.
 *
 * @param state - the node's state
 * @param request - the request
 * @param event - the reply
 * @returns effects
 * @internal
 */
export function handleTokenAnswer (
  state: MeshState,
  request: GatewayRequest,
  { message }: TokenAnswered
): MeshEffect[] {
  if (message.granted) {
    request.grants.clear()
    return [{ slice: 'timer', type: 'clear', id: toId(`token/${request.id}`) }, ...requestSlot(state, request)]
  }
  const totalWaitMs = state.now - request.arrivedAt + message.waitMs
  if (totalWaitMs > MAX_TOKEN_WAIT) {
    return refuseRequest(state, request, { result: 'overRate', retryAfter: millis(message.waitMs) })
  }
  // Asks the same owner again when a token should be available. It replied, so it is not recorded as unresponsive.
  request.ownersAsked -= 1
  request.grants.delete(message.grant)
  return [setTokenTimer(request, millis(message.waitMs))]
}
