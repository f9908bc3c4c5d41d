import type { PlatformAnswer, PlatformEffect } from './PlatformEffect'
import type { CallArrived, CallDue, ItemKey, PlatformCall, PlatformEvent, PutCondition } from './PlatformEvent'
import type { PlatformState, StoredItem } from './PlatformState'

/**
 * Applies one event to the state of the stand-in. No other function changes the state.
 *
 * @param state - the state, updated in place
 * @param event - what happened
 * @returns the effects to run; a call without any effect gets no response
 * @public
 */
export function reducePlatform (state: PlatformState, event: PlatformEvent): PlatformEffect[] {
  switch (event.type) {
    case 'callArrived': return receiveCall(state, event)
    case 'callDue': return performCall(state, event)
    case 'faultsCommanded':
      state.faults = { ...state.faults, ...event.faults }
      return []
  }
}

function receiveCall (state: PlatformState, { callId, call }: CallArrived): PlatformEffect[] {
  const { delayMs } = state.faults
  state.calls[call.kind] += 1
  if (delayMs > 0) return [{ type: 'delay', delayMs, event: { type: 'callDue', callId, call } }]
  return performCall(state, { type: 'callDue', callId, call })
}

function performCall (state: PlatformState, { callId, call }: CallDue): PlatformEffect[] {
  const { outage, answerDelayMs } = state.faults
  switch (outage) {
    case 'silent': return []
    case 'reset': return [{ type: 'reset', callId }]
    case 'unavailable': return [{ type: 'answer', callId, delayMs: 0, answer: { kind: 'unavailable' } }]
    case 'none': {
      const answer = perform(state, call)
      if (consumeAnswerLoss(state, call)) return [{ type: 'reset', callId }]
      return [{ type: 'answer', callId, delayMs: answerDelayMs, answer }]
    }
  }
}

function consumeAnswerLoss (state: PlatformState, { kind }: PlatformCall): boolean {
  const { loseWriteAnswers } = state.faults
  if (loseWriteAnswers === 0 || (kind !== 'putItem' && kind !== 'deleteItem')) return false
  if (loseWriteAnswers > 0) state.faults = { ...state.faults, loseWriteAnswers: loseWriteAnswers - 1 }
  return true
}

function perform (state: PlatformState, call: PlatformCall): PlatformAnswer {
  const { items, objects } = state
  switch (call.kind) {
    case 'getItem': return { kind: 'item', item: items.get(toKey(call.key)) }
    case 'putItem': {
      const key = toKey({ table: call.table, ...call.item })
      if (!conditionHolds(call.condition, items.get(key))) return { kind: 'conditionFailed' }
      items.set(key, call.item)
      return { kind: 'done' }
    }
    case 'query': return { kind: 'items', items: queryItems(state, call) }
    case 'deleteItem':
      items.delete(toKey(call.key))
      return { kind: 'done' }
    case 'getObject': return { kind: 'object', bytes: objects.get(call.path) }
    case 'putObject':
      objects.set(call.path, call.bytes)
      return { kind: 'done' }
  }
}

function conditionHolds (condition: PutCondition | undefined, item: StoredItem | undefined): boolean {
  if (condition === undefined) return true
  return condition.kind === 'absent' ? item === undefined : item?.version === condition.version
}

function queryItems (
  { items }: PlatformState, { table, partition, prefix }: Extract<PlatformCall, { kind: 'query' }>
): StoredItem[] {
  return [...items]
    .filter(([key, { sort }]) => key === toKey({ table, partition, sort }) && sort.startsWith(prefix))
    .map(([, item]) => item)
    .sort((a, b) => a.sort < b.sort ? -1 : 1)
}

function toKey ({ table, partition, sort }: ItemKey): string {
  return JSON.stringify([table, partition, sort])
}
