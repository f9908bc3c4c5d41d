import type { ServerNotice } from '@lavenderturn/mesh'
import type { EndpointId, Millis, ResultCodeName, ServiceId, TeamId } from '@lavenderturn/types'
import type { BufferedResponse, HeaderList, RequestHead } from './RequestHead'

/** Fields read from the headers of a caller's request. @public */
export interface CallerRequestFields {
  /** Id that the caller gave the request; empty if it gave none. */
  readonly requestId: string
  /** Absent if the request has no key. */
  readonly key?: string
  /** How long the caller waits for the response. */
  readonly callerTimeout?: Millis
}

/** Context passed to a backend server in addition to the caller's request. @public */
export interface BackendRequestContext {
  /** The intended backend server; another one at the same address does not run the request. */
  readonly endpoint: EndpointId
  /** Service of the instance on which the request originated. */
  readonly callerService: ServiceId
  readonly team?: TeamId
  /** Remaining time. */
  readonly timeout: Millis
}

/** Classification of a response of a backend server. @public */
export type ResponseClass =
  | 'succeeded'
  /** The server ran the request, or may have run it, and reports a failure. */
  | 'failed'
  /** The server reports that it did not run the request. */
  | 'declined'
  /** Another server is at the address; it did not run the request. */
  | 'misdirected'
  /** The response does not belong to the request, or was not sent by the server. */
  | 'foreign'

/** Conventions of a deployment for the requests and responses of callers and backend servers. @public */
export abstract class RequestProtocol {
  /**
   * @param head - a caller's request
   * @returns its fields, or a description of why it is malformed
   */
  abstract parseCallerRequest (head: RequestHead): CallerRequestFields | string

  /**
   * Removes the headers that only the proxy may set or read, including the caller's key.
   *
   * @param headers - a caller's headers
   * @returns the headers to forward
   */
  abstract filterRequestHeaders (headers: HeaderList): HeaderList

  /**
   * @param context - what to pass to the backend server
   * @returns the headers to add to the request
   */
  abstract composeBackendHeaders (context: BackendRequestContext): HeaderList

  /**
   * @param head - status and headers of a response
   * @param requestId - the caller's id of the request
   * @returns the class of the response
   */
  abstract classifyResponse (head: Pick<BufferedResponse, 'status' | 'headers'>, requestId: string): ResponseClass

  /**
   * @param headers - headers of a response of the backend server to the request
   * @returns what the server says about itself
   */
  abstract readNotice (headers: HeaderList): ServerNotice

  /**
   * @param result - why the request is refused
   * @param options - the caller's id of the request, when to retry, and a detail for the body
   * @returns the response to the caller
   */
  abstract composeRefusal (
    result: ResultCodeName,
    options: { readonly requestId: string, readonly retryAfter?: Millis, readonly detail?: string }
  ): BufferedResponse
}
