import { randomUUID } from 'node:crypto'
import { type Agent, type Dispatcher } from 'undici'
import type { LoadOutcome } from './LoadEvent'
import type { LoadStream } from './LoadPlan'

/** Requests without a response are aborted after the longest time that callers wait. */
const REQUEST_TIMEOUT_MS = 60_000

/** @internal */
export interface SendOptions {
  readonly agent: Agent
  readonly stream: LoadStream
  readonly target: number
}

/**
 * Sends one request of a stream and reads the complete response.
 *
 * @param options - agent, stream and index of the target
 * @returns the outcome
 * @internal
 */
export async function sendRequest ({ agent, stream, target }: SendOptions): Promise<LoadOutcome> {
  try {
    const response = await agent.request({
      origin: `http://${stream.targets[target]!.address}`,
      path: stream.path,
      method: stream.method as Dispatcher.HttpMethod,
      headers: {
        ...(stream.key === undefined ? {} : { authorization: `Bearer ${stream.key}` }),
        ...(stream.hasIdempotencyKey ? { 'idempotency-key': randomUUID() } : {})
      },
      body: stream.bodyBytes > 0 ? Buffer.alloc(stream.bodyBytes) : null,
      signal: AbortSignal.timeout(REQUEST_TIMEOUT_MS)
    })
    const { statusCode: status, headers, body } = response
    if (headers['content-type'] !== 'application/problem+json') {
      await body.dump({ limit: Number.MAX_SAFE_INTEGER })
      return { kind: status < 500 ? 'answered' : 'failed', status }
    }
    const problem = await body.json() as { code?: number, run?: string }
    return { kind: 'refused', status, code: problem.code, run: problem.run }
  } catch {
    return { kind: 'failed' }
  }
}
