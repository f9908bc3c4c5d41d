import type { CallId, NodeId, RequestId, TeamId } from '@lavenderturn/types'
import type { AssignmentEntry } from '../control/Assignment'
import type { EventBase } from '../NodeEvent'
import type { GrantRequest, GrantKey, GrantRecall, GrantReply, GrantStatement, HandOver, HandOverResult } from './GrantMessages'

/** A request has waited `MAX_TOKEN_WAIT` for a token. @public */
export interface TokenWaitExpired extends EventBase {
  readonly slice: 'limits'
  readonly type: 'tokenWaitExpired'
  readonly requestId: RequestId
  readonly team: TeamId
}

/** A team's limiter is due for an update: a renewal, a token for a waiting request, or a grant request. @public */
export interface TeamDue extends EventBase {
  readonly slice: 'limits'
  readonly type: 'teamDue'
  readonly team: TeamId
}

/** A gateway requests a grant; `limits/answerAsk` answers the call. @public */
export interface GrantAsked extends EventBase {
  readonly slice: 'limits'
  readonly type: 'grantAsked'
  readonly callId: CallId
  readonly ask: GrantRequest
}

/** An owner answered a grant request. @public */
export interface AskAnswered extends EventBase {
  readonly slice: 'limits'
  readonly type: 'askAnswered'
  readonly reply: GrantReply
}

/** The call of a grant request failed. @public */
export interface AskFailed extends EventBase {
  readonly slice: 'limits'
  readonly type: 'askFailed'
  readonly key: GrantKey
  /** Number of the grant request. */
  readonly number: number
  /** The owner that did not answer. */
  readonly node: NodeId
}

/** A holder returned all or part of its grant. @public */
export interface GrantReturned extends EventBase {
  readonly slice: 'limits'
  readonly type: 'grantReturned'
  readonly statement: GrantStatement
}

/** An owner recalls what this node does not need of its grant. @public */
export interface GrantRecalled extends EventBase {
  readonly slice: 'limits'
  readonly type: 'grantRecalled'
  readonly recall: GrantRecall
}

/** The first pending grant request of a bucket may be served, or has reached its deadline. @public */
export interface BucketDue extends EventBase {
  readonly slice: 'limits'
  readonly type: 'bucketDue'
  /** `assignmentKey` of the partition. */
  readonly key: string
  readonly team: TeamId
}

/** Idle buckets are removed: those that are full and have no grants. @public */
export interface SweepDue extends EventBase {
  readonly slice: 'limits'
  readonly type: 'sweepDue'
}

/** This node is about to stop and hands over its partitions to other nodes. @public */
export interface LimitsLeaveStarted extends EventBase {
  readonly slice: 'limits'
  readonly type: 'leaveStarted'
}

/** A leaving owner offers a partition; `limits/answerHandOver` answers the call. @public */
export interface HandOverOffered extends EventBase {
  readonly slice: 'limits'
  readonly type: 'handOverOffered'
  readonly callId: CallId
  readonly handOver: HandOver
}

/** The offer of a handover ended; `result` is absent when the successor did not answer. @public */
export interface HandOverAnswered extends EventBase {
  readonly slice: 'limits'
  readonly type: 'handOverAnswered'
  readonly entry: AssignmentEntry
  readonly result?: HandOverResult
}

/** A handover without an answer is offered again. @public */
export interface HandOverDue extends EventBase {
  readonly slice: 'limits'
  readonly type: 'handOverDue'
  /** `assignmentKey` of the partition. */
  readonly key: string
}

/** All partitions have been handed over or given up. @public */
export interface HandOverDone extends EventBase {
  readonly slice: 'limits'
  readonly type: 'handOverDone'
}

/** @public */
export type LimitsEvent =
  | AskAnswered
  | AskFailed
  | BucketDue
  | GrantAsked
  | GrantRecalled
  | GrantReturned
  | HandOverAnswered
  | HandOverDone
  | HandOverDue
  | HandOverOffered
  | LimitsLeaveStarted
  | SweepDue
  | TeamDue
  | TokenWaitExpired
