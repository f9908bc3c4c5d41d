import { type ResultName, resultCodes, type RunState } from '@lavenderturn/types'
import type { ServerResponse } from 'node:http'

/** @internal */
export interface Problem {
  readonly result: ResultName
  readonly run?: RunState
  readonly detail?: string
}

/**
 * Answers with problem details (RFC 9457).
 *
 * @param res - the response, whose head has not been sent
 * @param problem - result, what is known of the run, and a detail
 * @internal
 */
export function sendProblem (res: ServerResponse, { result, run, detail }: Problem): void {
  const { code, status, title, run: usualRun } = resultCodes[result]
  const body = JSON.stringify({
    type: `https://lavenderturn.example/result-codes#${code}`, title, status, code, run: run ?? usualRun, detail
  })
  res.writeHead(status, { 'content-type': 'application/problem+json', 'content-length': Buffer.byteLength(body) })
  res.end(body)
}
