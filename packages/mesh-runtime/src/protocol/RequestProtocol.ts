import type { EndpointId, Millis, ResultName, ServiceId, TeamId } from '@lavenderturn/types'
import type { HeaderList, RequestHead, WholeAnswer } from './RequestHead'

/** What the headers of a caller's request say. @public */
export interface CallerClaims {
  /** The caller's own id of the request; empty if it gave none. */
  readonly requestId: string
  /** Absent if the request carries no key. */
  readonly key?: string
  /** How long the caller waits. */
  readonly patience?: Millis
}

/** What a backend server is told besides the caller's own request. @public */
export interface BackendFacts {
  /** The backend server that is meant; another one at the address does not run the request. */
  readonly endpoint: EndpointId
  /** Service of the instance on which the request began. */
  readonly callerService: ServiceId
  readonly team?: TeamId
  /** Time left. */
  readonly timeout: Millis
}

/** What an answer of a backend server means. @public */
export type AnswerMeaning =
  | 'succeeded'
  /** The server ran the request, or may have, and says that it failed. */
  | 'failed'
  /** The server states that it did not run the request. */
  | 'declined'
  /** Another server has the address; it did not run the request. */
  | 'misdirected'
  /** The answer does not belong to the request, or is not the server's. */
  | 'foreign'

/** How callers and backend servers of a deployment write requests and answers. @public */
export abstract class RequestProtocol {
  /**
   * @param head - a caller's request
   * @returns what it says, or a text that tells why it is malformed
   */
  abstract readClaims (head: RequestHead): CallerClaims | string

  /**
   * Drops the headers that only the proxy may set or read, the caller's key among them.
   *
   * @param headers - a caller's headers
   * @returns those that are passed on
   */
  abstract selectRequestHeaders (headers: HeaderList): HeaderList

  /**
   * @param facts - what the backend server is told
   * @returns headers to add
   */
  abstract composeBackendHeaders (facts: BackendFacts): HeaderList

  /**
   * @param head - status and headers of an answer
   * @param requestId - the caller's id of the request
   * @returns what the answer means
   */
  abstract interpretAnswer (head: Pick<WholeAnswer, 'status' | 'headers'>, requestId: string): AnswerMeaning

  /**
   * @param result - why the request is refused
   * @param options - the caller's id, and when it may come back
   * @returns the answer to the caller
   */
  abstract composeRefusal (
    result: ResultName,
    options: { readonly requestId: string, readonly retryAfter?: Millis, readonly detail?: string }
  ): WholeAnswer
}
