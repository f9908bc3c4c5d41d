import type { Declaration, DeclarationDelta } from '@lavenderturn/declaration'
import type {
  Branded, DataCentreId, EndpointId, Millis, NodeId, RegionId, ResultName, Revision, ServiceId, TeamId
} from '@lavenderturn/types'

/** Marks one `apply`, so that its fate can be asked for after a lost answer. @public */
export type ApplyToken = Branded<string, 'ApplyToken'>

/** @public */
export interface CurrentDeclaration {
  readonly revision: Revision
  readonly declaration: Declaration
}

/** @public */
export interface ApplyRequest {
  readonly token: ApplyToken
  /** The only revision that the declaration may follow. */
  readonly base: Revision
  readonly declaration: Declaration
  /** What leads from the base to the declaration. */
  readonly delta: DeclarationDelta
}

/** @public */
export type ApplyAnswer =
  | { readonly kind: 'accepted', readonly revision: Revision }
  | { readonly kind: 'refused', readonly result: ResultName, readonly detail?: string }

/**
 * The fate of a token. `absent` states that no accepted revision up to `revision` carries the token; a node that does
 * not know who wrote the revision after the base answers `unknown`.
 *
 * @public
 */
export type TokenAnswer =
  | { readonly kind: 'accepted', readonly revision: Revision }
  | { readonly kind: 'absent', readonly revision: Revision }
  | { readonly kind: 'unknown', readonly detail?: string }

/** @public */
export interface MemberStatus {
  readonly node: NodeId
  readonly dataCentre: DataCentreId
  readonly region: RegionId
  readonly state: 'alive' | 'suspect' | 'dead' | 'left'
  /** Absent: not heard of. */
  readonly revision?: Revision
}

/** @public */
export interface EndpointStatus {
  readonly id: EndpointId
  readonly service: ServiceId
  readonly node: NodeId
  readonly state: string
  readonly verdict: string
  readonly reason?: string
}

/** @public */
export interface TeamUsage {
  readonly id: TeamId
  readonly ratePerSecond: number
  readonly usedPerSecond: number
}

/** What one node knows of the fleet. @public */
export interface FleetStatus {
  readonly node: NodeId
  readonly revision: Revision
  readonly members: readonly MemberStatus[]
  readonly endpoints: readonly EndpointStatus[]
  readonly teams: readonly TeamUsage[]
}

/** Calls to one node. Every call ends, with a `CallError` after the timeout at the latest. @public */
export abstract class ControlClient {
  /**
   * Asks the node to have a declaration accepted.
   *
   * @param request - declaration, base and token
   * @returns whether it was accepted
   * @throws CallError - there is no answer; `sent` tells whether the node can have received the request
   */
  abstract apply (request: ApplyRequest): Promise<ApplyAnswer>

  /** @returns the declaration in force on the node */
  abstract getDeclaration (): Promise<CurrentDeclaration>

  /** @returns what the node knows of the fleet */
  abstract getStatus (): Promise<FleetStatus>

  /**
   * Asks what became of an `apply`.
   *
   * @param token - token of the request
   * @param base - base of the request
   * @returns the fate of the token
   */
  abstract findByToken (token: ApplyToken, base: Revision): Promise<TokenAnswer>
}

/** A call without a usable answer. @public */
export class CallError extends Error {
  override readonly name = 'CallError'

  /**
   * @param message - what happened
   * @param options - `sent`: whether the node can have received the request
   */
  constructor (message: string, { sent }: { readonly sent: boolean }) {
    super(message)
    this.sent = sent
  }

  readonly sent: boolean
}

/** Timeout of a call unless another is set. */
export const DEFAULT_TIMEOUT = 5_000 as Millis
