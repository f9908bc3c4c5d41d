import { type Declaration, decodeDeclaration } from '@lavenderturn/declaration'
import type { WriteOutcome } from '@lavenderturn/decisions'
import { resultCodes, toId } from '@lavenderturn/types'
import {
  type ApplyRequest, ControlService, encodeControlDelta, encodeControlSnapshot, encodeFreshness,
  WriteOutcome as WireOutcome
} from '@lavenderturn/wire'
import type { AddRoutes } from '../peers/createControlServer'
import type { ControlHandler } from './ControlHandler'

/**
 * Creates the routes of `ControlService` on the control port.
 *
 * @param handler - the handler with the pending calls
 * @returns a function that adds the routes to a router
 * @public
 */
export function createControlRoutes (handler: ControlHandler): AddRoutes {
  const { runtime } = handler

  return (router) => router.service(ControlService, {
    notify: ({ from, revision }) => {
      runtime.enqueue({ slice: 'control', type: 'noticeHeard', from: toId(from), revision: toId(Number(revision)) })
      return {}
    },
    confirm: async () => {
      const { report, vouches } = await handler.callReducer('answerConfirm', (callId) => ({
        slice: 'control', type: 'confirmAsked', callId
      }))
      return { report: encodeFreshness(report), vouches }
    },
    fetchDelta: async ({ since }) => {
      const { revision, deltas } = await handler.callReducer('answerDeltas', (callId) => ({
        slice: 'control', type: 'deltasAsked', callId, since: toId(Number(since))
      }))
      return { revision: BigInt(revision), deltas: deltas.map(encodeControlDelta) }
    },
    fetchSnapshot: async () => {
      const { snapshot } = await handler.callReducer('answerSnapshot', (callId) => ({
        slice: 'control', type: 'snapshotAsked', callId
      }))
      return { snapshot: snapshot && encodeControlSnapshot(snapshot) }
    },
    prepare: async ({ token, revision, writer }) => {
      await handler.callReducer('answerPrepare', (callId) => ({
        slice: 'control',
        type: 'prepareAsked',
        callId,
        token: toId(token),
        revision: toId(Number(revision)),
        writer: toId(writer)
      }))
      return {}
    },
    fetchOutcome: async ({ token }) => {
      const { outcome } = await handler.callReducer('answerIntent', (callId) => ({
        slice: 'control', type: 'intentAsked', callId, token: toId(token)
      }))
      return { outcome: encodeOutcome(outcome) }
    },
    apply: async (request) => {
      const declaration = tryDecode(request)
      if (declaration instanceof Error) {
        return { code: resultCodes.invalidDeclaration.code, detail: declaration.message }
      }
      const { result, revision } = await handler.apply(toId(Number(request.base)), declaration)
      if (result === 'applied') return { revision: BigInt(revision) }
      return { code: resultCodes[result].code, revision: BigInt(revision), detail: resultCodes[result].title }
    },
    status: async () => {
      const { status } = await handler.callReducer('answerStatus', (callId) => ({
        slice: 'control', type: 'statusAsked', callId
      }))
      return {
        ...status,
        revision: BigInt(status.revision),
        declarationRevision: BigInt(status.declarationRevision),
        highestHeard: BigInt(status.highestHeard),
        reachableDataCentres: [...status.reachableDataCentres]
      }
    }
  })
}

function tryDecode ({ declaration }: ApplyRequest): Declaration | Error {
  try {
    return decodeDeclaration(declaration)
  } catch (err) {
    return err instanceof Error ? err : new Error(String(err))
  }
}

function encodeOutcome (outcome: WriteOutcome | undefined): WireOutcome {
  switch (outcome) {
    case 'accepted': return WireOutcome.ACCEPTED
    case 'withdrawn': return WireOutcome.WITHDRAWN
    case undefined: return WireOutcome.UNSPECIFIED
  }
}
