import aws4 from 'aws4'
import { Agent, errors } from 'undici'
import { OutcomeUnknownError, UnreachableError } from './PlatformError'

/** Requests are aborted after this time, because an older read of the head row says little about the current state. */
const DEFAULT_TIMEOUT_MS = 1_000

/**
 * Connect timeout as a fraction of the request timeout. It is shorter so that a failed connection can be distinguished
 * from a request without a response.
 */
const CONNECT_TIMEOUT_FRACTION = 0.5

/** A node makes few concurrent requests to one service. */
const MAX_CONNECTIONS = 4

/** @public */
export interface Credentials {
  readonly accessKeyId: string
  readonly secretAccessKey: string
  readonly sessionToken?: string
}

/** Endpoint and credentials of a platform service. @public */
export interface PlatformServiceOptions {
  /** Origin URL, such as `https://dynamodb.eu-west-1.amazonaws.com`. */
  readonly endpoint: string
  readonly region?: string
  readonly credentials: Credentials
  readonly timeoutMs?: number
}

/** @internal */
export interface SignedRequest {
  readonly method: 'GET' | 'PUT' | 'POST' | 'DELETE'
  readonly path: string
  readonly headers?: Readonly<Record<string, string>>
  readonly body?: Uint8Array
}

/** @internal */
export interface SignedResponse {
  readonly status: number
  readonly body: Uint8Array
}

/** HTTP client that signs the requests to one service with AWS Signature Version 4. @internal */
export class SignedClient {
  private readonly origin: URL
  private readonly agent: Agent
  private readonly timeoutMs: number

  constructor (private readonly service: 'dynamodb' | 's3', private readonly options: PlatformServiceOptions) {
    this.origin = new URL(options.endpoint)
    this.timeoutMs = options.timeoutMs ?? DEFAULT_TIMEOUT_MS
    this.agent = new Agent({
      connections: MAX_CONNECTIONS, connect: { timeout: this.timeoutMs * CONNECT_TIMEOUT_FRACTION }
    })
  }

  /**
   * Signs and sends a request.
   *
   * @param request - the request
   * @returns the response, whatever its status
   * @throws UnreachableError if no connection was established, so that the request was not sent
   * @throws OutcomeUnknownError if the request may have been sent, but no complete response arrived
   */
  async send ({ method, path, headers = {}, body }: SignedRequest): Promise<SignedResponse> {
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
      throw isConnectionFailure(err)
        ? new UnreachableError(message, { cause: err })
        : new OutcomeUnknownError(message, { cause: err })
    }
  }

  /**
   * Closes all connections.
   *
   * @returns a promise that resolves when they are closed
   */
  async close (): Promise<void> {
    await this.agent.destroy()
  }
}

function isConnectionFailure (err: unknown): boolean {
  if (err instanceof errors.ConnectTimeoutError) return true
  if (!(err instanceof Error)) return false
  if ('syscall' in err && (err.syscall === 'connect' || err.syscall === 'getaddrinfo')) return true
  // If the host name resolves to several addresses, Node.js reports the errors of all connection attempts together.
  return err instanceof AggregateError && err.errors.length > 0 && err.errors.every(isConnectionFailure)
}
