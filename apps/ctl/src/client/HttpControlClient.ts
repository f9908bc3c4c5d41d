import { emptyDeclaration, parseDeclaration } from '@lavenderturn/declaration'
import { type Address, type Millis, resultCodes, type Revision, toId } from '@lavenderturn/types'
import { request } from 'undici'
import type { z } from 'zod'
import { acceptedSchema, currentSchema, problemSchema, rolloutsSchema, statusSchema, tokenSchema } from './responseSchemas'
import {
  type ApplyAnswer, type ApplyRequest, type ApplyToken, CallError, ControlClient, type CurrentDeclaration,
  DEFAULT_TIMEOUT, type FleetStatus, type RolloutStatus, type TokenAnswer
} from './ControlClient'

/** Error codes of undici and Node.js for failures before any byte of the request is written. */
const NOT_SENT_CODES = new Set(['ECONNREFUSED', 'ENOTFOUND', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT'])

const FIRST_ERROR_STATUS = 400

/** @public */
export interface HttpControlClientOptions {
  /** Admin port of a node. */
  readonly address: Address
  readonly timeout?: Millis
}

interface Call {
  readonly method: 'GET' | 'POST'
  readonly path: string
  readonly body?: object
}

interface Reply {
  readonly status: number
  readonly value: unknown
}

/** Control client that sends JSON over HTTP to the admin port of a node. @public */
export class HttpControlClient extends ControlClient {
  private readonly address: Address
  private readonly timeout: Millis

  /** @param options - address and timeout */
  constructor ({ address, timeout = DEFAULT_TIMEOUT }: HttpControlClientOptions) {
    super()
    this.address = address
    this.timeout = timeout
  }

  /** {@inheritDoc ControlClient.apply} */
  async apply ({ token, base, declaration }: ApplyRequest): Promise<ApplyAnswer> {
    const reply = await this.call({ method: 'POST', path: '/apply', body: { token, base, declaration } })
    const problem = problemSchema.safeParse(reply.value)
    if (reply.status < FIRST_ERROR_STATUS) return this.parseReply(acceptedSchema, reply) as ApplyAnswer
    // Without a control result code, the response does not tell whether the declaration was accepted.
    if (!problem.success) throw this.createError('answered without a result code', { sent: true })
    const { result, detail } = problem.data
    if (resultCodes[result].run !== 'not-run') throw this.createError(resultCodes[result].title, { sent: true })
    return { kind: 'refused', result, detail }
  }

  /** {@inheritDoc ControlClient.getDeclaration} */
  async getDeclaration (): Promise<CurrentDeclaration> {
    const { revision, declaration } = this.parseReply(currentSchema, await this.call({ method: 'GET', path: '/declaration' }))
    const parsed = parseDeclaration([{ name: 'declaration', text: JSON.stringify(declaration) }])
    if (parsed.ok) return { revision: toId<Revision>(revision), declaration: parsed.declaration }
    // Revision 0 holds the empty declaration, which does not pass validation.
    if (revision === 0) return { revision: toId<Revision>(0), declaration: emptyDeclaration() }
    throw this.createError('answered with a declaration that is invalid', { sent: true })
  }

  /** {@inheritDoc ControlClient.getStatus} */
  async getStatus (): Promise<FleetStatus> {
    return this.parseReply(statusSchema, await this.call({ method: 'GET', path: '/status' })) as unknown as FleetStatus
  }

  /** {@inheritDoc ControlClient.getRollouts} */
  async getRollouts (): Promise<readonly RolloutStatus[]> {
    const { rollouts } = this.parseReply(rolloutsSchema, await this.call({ method: 'GET', path: '/rollouts' }))
    return rollouts as unknown as RolloutStatus[]
  }

  /** {@inheritDoc ControlClient.findByToken} */
  async findByToken (token: ApplyToken, base: Revision): Promise<TokenAnswer> {
    const query = new URLSearchParams({ token, base: String(base) })
    return this.parseReply(tokenSchema, await this.call({ method: 'GET', path: `/apply?${query}` })) as TokenAnswer
  }

  private async call ({ method, path, body }: Call): Promise<Reply> {
    try {
      const res = await request(`http://${this.address}${path}`, {
        method,
        headers: body === undefined ? {} : { 'content-type': 'application/json' },
        body: body === undefined ? null : JSON.stringify(body),
        signal: AbortSignal.timeout(this.timeout)
      })
      const text = await res.body.text()
      return { status: res.statusCode, value: parseJson(text) }
    } catch (err) {
      const code = String((err as { code?: unknown }).code)
      throw this.createError(describeFailure(err, code), { sent: !NOT_SENT_CODES.has(code) })
    }
  }

  private parseReply<Schema extends z.ZodType> (schema: Schema, { status, value }: Reply): z.output<Schema> {
    const problem = problemSchema.safeParse(value)
    if (status >= FIRST_ERROR_STATUS && problem.success) {
      const { code, title } = resultCodes[problem.data.result]
      throw this.createError(`answered ${code}: ${title}`, { sent: true })
    }
    const parsed = schema.safeParse(value)
    if (status < FIRST_ERROR_STATUS && parsed.success) return parsed.data
    throw this.createError(`answered with status ${status} and a body that is not understood`, { sent: true })
  }

  private createError (message: string, options: { readonly sent: boolean }): CallError {
    return new CallError(`${this.address}: ${message}`, options)
  }
}

function parseJson (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}

function describeFailure (err: unknown, code: string): string {
  if ((err as Error).name === 'TimeoutError') return 'no answer within the timeout'
  return NOT_SENT_CODES.has(code) ? `not reachable (${code})` : `the connection broke (${code})`
}
