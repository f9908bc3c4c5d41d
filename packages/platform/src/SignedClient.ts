import aws4 from 'aws4'
import { Agent, errors } from 'undici'
import { OutcomeUnknownError, UnreachableError } from './PlatformError'

/** A call without an answer is given up after this time; a head read older than this proves little. */
const DEFAULT_TIMEOUT_MS = 1_000

/** Share of the time-out for connecting, so that a connection that fails is told from a call without an answer. */
const CONNECT_SHARE = 0.5

/** Connections to one service; a node needs few. */
const CONNECTIONS = 4

/** @public */
export interface Credentials {
  readonly accessKeyId: string
  readonly secretAccessKey: string
  readonly sessionToken?: string
}

/** Where and as whom a service is called. @public */
export interface ServiceOptions {
  /** Origin such as `https://dynamodb.eu-west-1.amazonaws.com`. */
  readonly endpoint: string
  readonly region?: string
  readonly credentials: Credentials
  readonly timeoutMs?: number
}

/** @internal */
export interface SignedCall {
  readonly method: 'GET' | 'PUT' | 'POST' | 'DELETE'
  readonly path: string
  readonly headers?: Readonly<Record<string, string>>
  readonly body?: Uint8Array
}

/** @internal */
export interface SignedAnswer {
  readonly status: number
  readonly body: Uint8Array
}

/** Sends calls signed with AWS Signature Version 4 to one service. @internal */
export class SignedClient {
  private readonly origin: URL
  private readonly agent: Agent
  private readonly timeoutMs: number

  constructor (private readonly service: 'dynamodb' | 's3', private readonly options: ServiceOptions) {
    this.origin = new URL(options.endpoint)
    this.timeoutMs = options.timeoutMs ?? DEFAULT_TIMEOUT_MS
    this.agent = new Agent({ connections: CONNECTIONS, connect: { timeout: this.timeoutMs * CONNECT_SHARE } })
  }

  /**
   * @param call - what to send
   * @returns the answer, whatever its status
   * @throws UnreachableError when the call was not sent
   * @throws OutcomeUnknownError when it was sent, or may have been, and no answer came
   */
  async send ({ method, path, headers = {}, body }: SignedCall): Promise<SignedAnswer> {
    const signed = aws4.sign({
      service: this.service,
      region: this.options.region ?? 'us-east-1',
      method,
      host: this.origin.host,
      path,
      headers: { ...headers },
      body: body && Buffer.from(body)
    }, this.options.credentials)
    try {
      const response = await this.agent.request({
        origin: this.origin.origin,
        method,
        path,
        headers: signed.headers as Record<string, string>,
        body: body ?? null,
        signal: AbortSignal.timeout(this.timeoutMs)
      })
      return { status: response.statusCode, body: await response.body.bytes() }
    } catch (err) {
      const message = `${method} ${this.origin.host}`
      throw isNotSent(err)
        ? new UnreachableError(message, { cause: err })
        : new OutcomeUnknownError(message, { cause: err })
    }
  }

  /**
   * Closes all connections.
   *
   * @returns when they are closed
   */
  async close (): Promise<void> {
    await this.agent.destroy()
  }
}

function isNotSent (err: unknown): boolean {
  if (err instanceof errors.ConnectTimeoutError) return true
  if (!(err instanceof Error)) return false
  if ('syscall' in err && (err.syscall === 'connect' || err.syscall === 'getaddrinfo')) return true
  // With several addresses, the errors of all attempts to connect are collected.
  return err instanceof AggregateError && err.errors.length > 0 && err.errors.every(isNotSent)
}
