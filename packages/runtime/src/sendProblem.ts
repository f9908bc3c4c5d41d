import { type RequestId, type ResultCodeName, resultCodes, type ExecutionState } from '@lavenderturn/types'
import type { IncomingMessage, ServerResponse } from 'node:http'
import { ConnectionResponses } from './connection/ConnectionResponses'
import { endResponse } from './endResponse'
import { headers } from './headers'

/** @internal */
export interface Problem {
  readonly req: IncomingMessage
  /** The response, whose head has not been sent. */
  readonly res: ServerResponse
  readonly result: ResultCodeName
  /** Whether the request has run, where it differs from the default of the result. */
  readonly run?: ExecutionState
  readonly detail?: string
  readonly requestId?: RequestId
}

/**
 * Answers with problem details (RFC 9457). The connection is closed if the request body has not been received
 * completely.
 *
 * @param problem - result, run state and detail
 * @internal
 */
export function sendProblem ({ req, res, result, run, detail, requestId }: Problem): void {
  const { status } = resultCodes[result]
  const body = formatProblem({ result, run, detail })
  if (!req.complete) closeAfter(req, res)
  res.writeHead(status, {
    'content-type': 'application/problem+json',
    'content-length': Buffer.byteLength(body),
    ...(requestId === undefined ? {} : { [headers.request]: requestId })
  })
  endResponse({ req, res, body })
}

/** Closes the connection after the response. Requests behind it must not be handled, since they get no answer. */
function closeAfter ({ socket }: IncomingMessage, res: ServerResponse): void {
  res.shouldKeepAlive = false
  const responses = ConnectionResponses.of(socket)
  // Servers of the control ports do not add their responses.
  if (responses.unanswered > 0) responses.finish()
}

/**
 * Formats problem details.
 *
 * @param problem - result, run state and detail
 * @returns problem details as JSON
 * @internal
 */
export function formatProblem ({ result, run, detail }: Pick<Problem, 'detail' | 'result' | 'run'>): string {
  const { code, status, title, run: defaultRun } = resultCodes[result]
  return JSON.stringify({
    type: `https://lavenderturn.example/result-codes#${code}`, title, status, code, run: run ?? defaultRun, detail
  })
}
