import type { CallId, NodeId, RequestId, TeamId } from '@lavenderturn/types'
import type { AssignmentEntry } from '../control/Assignment'
import type { EventBase } from '../NodeEvent'
import type { GrantAsk, GrantKey, GrantRecall, GrantReply, GrantStatement, HandOver, HandOverResult } from './GrantMessages'

/** A request has waited for a token as long as it may. @public */
export interface TokenWaitExpired extends EventBase {
  readonly slice: 'limits'
  readonly type: 'tokenWaitExpired'
  readonly requestId: RequestId
  readonly team: TeamId
}

/** Something is due for a team's grants: a renewal, a token for a waiting request, or the next ask. @public */
export interface TeamDue extends EventBase {
  readonly slice: 'limits'
  readonly type: 'teamDue'
  readonly team: TeamId
}

/** A gateway asks for a grant; `limits/answerAsk` answers the call. @public */
export interface GrantAsked extends EventBase {
  readonly slice: 'limits'
  readonly type: 'grantAsked'
  readonly callId: CallId
  readonly ask: GrantAsk
}

/** An owner answered an ask. @public */
export interface AskAnswered extends EventBase {
  readonly slice: 'limits'
  readonly type: 'askAnswered'
  readonly reply: GrantReply
}

/** An ask got no answer. @public */
export interface AskFailed extends EventBase {
  readonly slice: 'limits'
  readonly type: 'askFailed'
  readonly key: GrantKey
  readonly number: number
  readonly node: NodeId
}

/** A holder gives back part of its grant. @public */
export interface GrantReturned extends EventBase {
  readonly slice: 'limits'
  readonly type: 'grantReturned'
  readonly statement: GrantStatement
}

/** An owner wants back what this node does not need. @public */
export interface GrantRecalled extends EventBase {
  readonly slice: 'limits'
  readonly type: 'grantRecalled'
  readonly recall: GrantRecall
}

/** A bucket may have tokens for an ask that waits at its owner. @public */
export interface BucketDue extends EventBase {
  readonly slice: 'limits'
  readonly type: 'bucketDue'
  /** `assignmentKey` of the partition. */
  readonly key: string
  readonly team: TeamId
}

/** Buckets without grants are checked for being full. @public */
export interface SweepDue extends EventBase {
  readonly slice: 'limits'
  readonly type: 'sweepDue'
}

/** This node is about to stop: it gives its partitions to other nodes. @public */
export interface LimitsLeaveStarted extends EventBase {
  readonly slice: 'limits'
  readonly type: 'leaveStarted'
}

/** An owner that leaves offers a partition; `limits/answerHandOver` answers the call. @public */
export interface HandOverOffered extends EventBase {
  readonly slice: 'limits'
  readonly type: 'handOverOffered'
  readonly callId: CallId
  readonly handOver: HandOver
}

/** A successor answered, or did not: then `result` is absent. @public */
export interface HandOverAnswered extends EventBase {
  readonly slice: 'limits'
  readonly type: 'handOverAnswered'
  readonly entry: AssignmentEntry
  readonly result?: HandOverResult
}

/** A partition's hand-over is offered again. @public */
export interface HandOverDue extends EventBase {
  readonly slice: 'limits'
  readonly type: 'handOverDue'
  readonly key: string
}

/** No partition is left to hand over. @public */
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
