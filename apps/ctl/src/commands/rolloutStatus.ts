import type { ControlClient, RolloutStatus } from '../client/ControlClient'
import { exitCodes } from '../exitCodes'
import type { Output } from '../Output'

const MS_PER_SECOND = 1_000

const PHASES = {
  canary: 'canary, a few requests reach the version',
  promoting: 'promoting, the version is proven and takes over',
  completed: 'completed, the servers of other versions are stopped',
  rolledBack: 'rolled back, the version gets no requests'
}

/**
 * Prints the roll-out of a service as a node of the mesh knows it.
 *
 * @param client - client of the metrics port of a node
 * @param service - the service
 * @returns the step, the evidence and the reason
 * @internal
 */
export async function rolloutStatus (client: ControlClient, service: string): Promise<Output> {
  const rollout = (await client.getRollouts()).find((entry) => entry.service === service)
  if (rollout === undefined) {
    return { lines: [`no roll-out of ${service} is known to this node`], value: null, exitCode: exitCodes.done }
  }
  return { lines: describe(rollout), value: rollout, exitCode: exitCodes.done }
}

function describe (rollout: RolloutStatus): string[] {
  const { service, to, phase, elapsedMs, durationMs, withdrawn, excluded, record, evidence } = rollout
  const lines = [
    `${service} to ${to}: ${phase === undefined ? 'the phase is not known to this node' : PHASES[phase]}`,
    `ordered ${formatSeconds(elapsedMs)} ago, due within ${formatSeconds(durationMs)}${withdrawn ? ', withdrawn' : ''}`
  ]
  if (record !== undefined) {
    lines.push(
      `conducted by ${record.conductor}`,
      `allowed: ${record.requests} requests at ${record.processes} servers`,
      `reason: ${record.reason}`
    )
  }
  if (evidence !== undefined) lines.push(`evidence: ${evidence}`)
  else if (record !== undefined) lines.push('evidence: ask the conductor')
  else lines.push('ask a node that follows the store for the reason')
  if (excluded.length > 0) lines.push(`closed versions of earlier orders: ${excluded.join(', ')}`)
  return lines
}

function formatSeconds (ms: number): string {
  return `${(ms / MS_PER_SECOND).toFixed(1)} s`
}
