import type { Declaration, DeclarationDelta } from '@lavenderturn/declaration'
import type {
  Branded, DataCentreId, EndpointId, Millis, NodeId, RegionId, ResultCodeName, Revision, ServiceId, TeamId
} from '@lavenderturn/types'

/** Identifies one `apply`, so that its outcome can be queried after a lost response. @public */
export type ApplyToken = Branded<string, 'ApplyToken'>

/** The declaration in force and its revision. @public */
export interface CurrentDeclaration {
  readonly revision: Revision
  readonly declaration: Declaration
}

/** @public */
export interface ApplyRequest {
  readonly token: ApplyToken
  /** The request is accepted only while this revision is in force. */
  readonly base: Revision
  readonly declaration: Declaration
  /** Difference between the declaration of the base and the new one. */
  readonly delta: DeclarationDelta
}

/** @public */
export type ApplyAnswer =
  | { readonly kind: 'accepted', readonly revision: Revision }
  | { readonly kind: 'refused', readonly result: ResultCodeName, readonly detail?: string }

/**
 * Outcome of the request with a token. `absent`: no accepted revision up to `revision` carries the token. `unknown`:
 * the node does not know which request wrote the revision after the base.
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
  /** Revision in force on the member; absent if it has not been reported. */
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

/** State of the fleet as one node sees it. @public */
export interface FleetStatus {
  readonly node: NodeId
  readonly revision: Revision
  readonly members: readonly MemberStatus[]
  readonly endpoints: readonly EndpointStatus[]
  readonly teams: readonly TeamUsage[]
}

/** A roll-out of a version as one node of the mesh knows it. @public */
export interface RolloutStatus {
  readonly service: ServiceId
  readonly to: string
  /** Absent if the node does not know it. */
  readonly phase?: 'canary' | 'promoting' | 'completed' | 'rolledBack'
  readonly elapsedMs: number
  readonly durationMs: number
  readonly withdrawn: boolean
  readonly excluded: readonly string[]
  /** Present on nodes that follow the store. */
  readonly record?: {
    readonly conductor: string, readonly reason: string, readonly processes: number, readonly requests: number
  }
  /** Present on the conductor. */
  readonly evidence?: string
}

/** Control API of one node. Each call fails with a `CallError` after the timeout at the latest. @public */
export abstract class ControlClient {
  /**
   * Submits a declaration.
   *
   * @param request - declaration, base and token
   * @returns whether it was accepted
   * @throws CallError - no response; `sent` is false if the node cannot have received the request
   */
  abstract apply (request: ApplyRequest): Promise<ApplyAnswer>

  /** @returns the declaration in force on the node */
  abstract getDeclaration (): Promise<CurrentDeclaration>

  /** @returns the state of the fleet as the node sees it */
  abstract getStatus (): Promise<FleetStatus>

  /** @returns the roll-outs that a node of the mesh knows of */
  abstract getRollouts (): Promise<readonly RolloutStatus[]>

  /**
   * Queries the outcome of an `apply`.
   *
   * @param token - token of the request
   * @param base - base of the request
   * @returns the outcome of the request with this token
   */
  abstract findByToken (token: ApplyToken, base: Revision): Promise<TokenAnswer>
}

/** Thrown when a call fails or its response is not usable. @public */
export class CallError extends Error {
  override readonly name = 'CallError'

  /**
   * @param message - reason of the failure
   * @param options - `sent`: whether the node may have received the request
   */
  constructor (message: string, { sent }: { readonly sent: boolean }) {
    super(message)
    this.sent = sent
  }

  readonly sent: boolean
}

/** Default timeout of a call. */
export const DEFAULT_TIMEOUT = 5_000 as Millis
