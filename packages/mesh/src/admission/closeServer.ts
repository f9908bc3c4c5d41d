import { toId } from '@lavenderturn/types'
import type { MeshEffect } from '../MeshEffect'
import type { MeshState } from '../MeshState'
import type { LocalServer } from './AdmissionState'
import { countReservations } from './countReservations'
import { recordDeparture } from './recordDeparture'
import { rejectQueued } from './rejectQueued'

/** @internal */
export interface Closing {
  readonly nextState: 'draining' | 'gone'
  /** How the node learned that the server leaves. */
  readonly source: 'announcement' | 'registry' | 'response' | 'withdrawal'
}

/**
 * Closes a backend server that leaves. It gets no further requests; those that it runs go on.
 *
 * @param state - the node's state
 * @param server - the server
 * @param closing - its next state, and how the node learned of it
 * @returns effects
 * @internal
 */
export function closeServer (state: MeshState, server: LocalServer, { nextState, source }: Closing): MeshEffect[] {
  server.state = nextState
  const { endpoint, startedAt } = server
  const running = countReservations(state.admission, 'running')
  const fields = { endpoint, startedAt, state: nextState, source, running }
  return [
    { slice: 'log', type: 'line', level: 'info', message: 'backend server leaves', fields },
    { slice: 'timer', type: 'clear', id: toId('admission/queue') },
    ...recordDeparture(state, { endpoint, startedAt }),
    ...rejectQueued(state, 'closed')
  ]
}
