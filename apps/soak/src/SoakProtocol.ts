import type { Address, DataCentreId, Millis, NodeId } from '@lavenderturn/types'
import type { IncomingHttpHeaders } from 'node:http'
import type { CallerResult, SoakKey, SoakRequest, SoakServer } from './SoakState'

/** HTTP request of a caller. @public */
export interface OutgoingRequest {
  readonly method: string
  readonly path: string
  readonly headers: Readonly<Record<string, string>>
}

/** HTTP response that a caller received. @public */
export interface ReceivedResponse {
  readonly status: number
  readonly headers: IncomingHttpHeaders
  readonly body: string
}

/** Announcement of a backend server to the node beside it. @public */
export interface ServerAnnouncement {
  readonly server: SoakServer
  readonly address: Address
  readonly dataCentre: DataCentreId
  /** Wall clock time at which the server started. */
  readonly startedAtWall: number
  readonly sequence: number
  readonly coldRemaining: Millis
}

/** Adapter to the configuration and the protocols of the programs under test. @public */
export abstract class SoakProtocol {
  /** Command that starts a node. */
  abstract readonly nodeCommand: readonly string[]
  /** Environment variable with the path of the settings file. */
  abstract readonly settingsVariable: string
  abstract readonly readinessPath: string

  abstract composeRequest (request: SoakRequest): OutgoingRequest

  /** @returns the result of a request from the view of its caller */
  abstract parseResponse (answer: ReceivedResponse): CallerResult

  /** @returns id of a request that a backend server received */
  abstract readRequestId (headers: IncomingHttpHeaders): string

  /** @returns headers of the response to a request */
  abstract composeResponseHeaders (requestId: string): Readonly<Record<string, string>>

  /** @returns path and body of an announcement */
  abstract composeAnnouncement (notice: ServerAnnouncement): { readonly path: string, readonly body: string }

  /** Writes the configuration to the store, as an operator does. */
  abstract writeConfiguration (revision: number, keys: readonly SoakKey[]): void

  abstract writeEvacuation (dataCentre: DataCentreId, out: boolean): void

  /**
   * Writes the order of a roll-out.
   *
   * @param version - the version; the order is taken back if absent
   */
  abstract writeRollOut (version: string | undefined): void

  /** @returns the status that the system reports for the roll-out: `completed`, `rolledBack`, or another one */
  abstract readRollOut (): string | undefined

  abstract setStoreFault (fault: 'none' | 'down' | 'silent' | 'lost'): void

  abstract dropHistory (): void

  /** Takes a copy of the store's content. */
  abstract copyStore (): void

  /** Replaces the store's content with the copy, but for what operators have written. */
  abstract restoreStore (): void

  /** @returns the nodes whose member record is in the store */
  abstract listMembers (): NodeId[]

  /** Address of the store. */
  abstract readonly storeAddress: Address

  /** Closes the store. */
  abstract close (): void
}
