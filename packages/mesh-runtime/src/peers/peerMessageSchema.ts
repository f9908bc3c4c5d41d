import * as z from 'zod/mini'
import { addressSchema } from '../addressSchema'

const nonEmptyId = z.string().check(z.minLength(1), z.maxLength(200))
const nonNegativeNumber = z.number().check(z.nonnegative())

const loadSchema = z.object({
  open: z.boolean(),
  slots: nonNegativeNumber,
  used: nonNegativeNumber,
  queued: nonNegativeNumber,
  suspect: z.boolean(),
  errorRate: nonNegativeNumber,
  serviceMs: nonNegativeNumber,
  // Nodes of the previous version do not send it.
  dueMs: z._default(z.number(), 0),
  limitDelayMs: z._default(nonNegativeNumber, 0)
})

const refusalSchema = z.enum(['closed', 'evacuated', 'suspect', 'wrongService', 'expired', 'full'])

const phaseSchema = z.enum(['canary', 'promoting', 'completed', 'rolledBack'])

const count = z.int().check(z.nonnegative())

/** Counts by bucket of service time. */
const buckets = z.array(count).check(z.maxLength(16))

/** Service, version, duration, position of the order, phase, elapsed time, whether withdrawn, excluded versions. */
const noticeSchema = z.tuple([
  nonEmptyId, nonEmptyId, nonNegativeNumber, count, nonNegativeNumber, z.nullable(phaseSchema), z.number(), z.boolean(),
  z.array(nonEmptyId)
])

/** Schema of peer messages. Datagrams that do not match are dropped and counted. @internal */
export const peerMessageSchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('beat'),
    node: nonEmptyId,
    boot: nonEmptyId,
    load: loadSchema,
    revision: nonNegativeNumber,
    leaving: z.boolean(),
    hearsReceiver: z.boolean()
  }),
  z.object({
    kind: z.literal('hello'),
    node: nonEmptyId,
    boot: nonEmptyId,
    dataCentre: nonEmptyId,
    service: nonEmptyId,
    peerAddress: addressSchema,
    forwardAddress: addressSchema,
    wantsReply: z.boolean(),
    revision: z.optional(nonNegativeNumber)
  }),
  z.object({
    kind: z.literal('askSlot'),
    reservation: nonEmptyId,
    replyTo: addressSchema,
    service: nonEmptyId,
    priority: z.number(),
    repeatable: z.boolean(),
    canRetry: z.boolean(),
    acceptSuspect: z.boolean(),
    waitMs: nonNegativeNumber,
    senderStops: z.optional(z.literal(true)),
    endsInMs: z.optional(nonNegativeNumber)
  }),
  z.object({
    kind: z.literal('slot'),
    reservation: nonEmptyId,
    verdict: z.enum(['granted', 'queued', 'refused']),
    refusal: z.optional(refusalSchema),
    load: loadSchema
  }),
  z.object({ kind: z.literal('release'), reservation: nonEmptyId }),
  z.object({
    kind: z.literal('rolloutEvidence'),
    node: nonEmptyId,
    boot: nonEmptyId,
    service: nonEmptyId,
    term: nonNegativeNumber,
    version: nonEmptyId,
    ready: z.boolean(),
    dispatched: count,
    running: count,
    sentAt: nonNegativeNumber,
    routes: z.array(z.tuple([nonEmptyId, count, buckets, buckets]))
  }),
  z.object({
    kind: z.literal('rolloutStep'),
    replyTo: addressSchema,
    service: nonEmptyId,
    to: nonEmptyId,
    duration: nonNegativeNumber,
    era: count,
    version: nonNegativeNumber,
    phase: phaseSchema,
    term: nonNegativeNumber,
    step: count,
    allowance: nonNegativeNumber,
    echo: nonNegativeNumber
  }),
  z.object({ kind: z.literal('cancel'), reservation: nonEmptyId }),
  z.object({ kind: z.literal('started'), reservation: nonEmptyId }),
  z.object({ kind: z.literal('recall'), reservation: nonEmptyId, replyTo: addressSchema }),
  z.object({
    kind: z.literal('recalled'), reservation: nonEmptyId, attemptState: z.enum(['notStarted', 'running', 'done', 'unknown'])
  }),
  z.object({ kind: z.literal('askToken'), grant: nonEmptyId, node: nonEmptyId, replyTo: addressSchema, team: nonEmptyId }),
  z.object({ kind: z.literal('token'), grant: nonEmptyId, granted: z.boolean(), waitMs: nonNegativeNumber }),
  z.object({ kind: z.literal('askConfirmation'), query: nonEmptyId, replyTo: addressSchema }),
  z.object({
    kind: z.literal('confirmation'),
    query: nonEmptyId,
    node: nonEmptyId,
    following: z.boolean(),
    revision: nonNegativeNumber,
    version: nonNegativeNumber,
    ageMs: nonNegativeNumber,
    evacuated: z.array(nonEmptyId),
    // Nodes of the previous version do not send it.
    era: z._default(z.int().check(z.nonnegative()), 0),
    rollouts: z.optional(z.array(noticeSchema))
  }),
  z.object({ kind: z.literal('crash'), fingerprint: nonEmptyId, endpoint: nonEmptyId, startedAt: z.number() })
])
