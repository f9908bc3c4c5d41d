import { resultCodes, type ResultCodeName } from '@lavenderturn/types'
import { z } from 'zod'

const revision = z.int().min(0)

/** Response of `GET /declaration`; `parseDeclaration` validates the declaration itself. @internal */
export const currentSchema = z.object({ revision, declaration: z.record(z.string(), z.unknown()) })

/** Successful response of `POST /apply`. @internal */
export const acceptedSchema = z.object({ kind: z.literal('accepted'), revision })

/** Response of `GET /apply`. @internal */
export const tokenSchema = z.union([
  z.object({ kind: z.enum(['accepted', 'absent']), revision }),
  z.object({ kind: z.literal('unknown'), detail: z.string().optional() })
])

const problemFields = z.object({ code: z.int(), detail: z.string().optional() })

/** Problem details (RFC 9457) with a known result code, mapped to the name of the result. @internal */
export const problemSchema = problemFields.transform((problem, ctx) => {
  const { code, detail } = problem
  const found = Object.entries(resultCodes).find(([, entry]) => entry.code === code)
  if (found !== undefined) return { result: found[0] as ResultCodeName, detail }
  ctx.addIssue('the result code is unknown')
  return z.NEVER
})

/** Response of `GET /status`; unknown fields are dropped. @internal */
export const statusSchema = z.object({
  node: z.string(),
  revision,
  members: z.array(z.object({
    node: z.string(),
    dataCentre: z.string(),
    region: z.string(),
    state: z.enum(['alive', 'suspect', 'dead', 'left']),
    revision: revision.optional()
  })),
  endpoints: z.array(z.object({
    id: z.string(),
    service: z.string(),
    node: z.string(),
    state: z.string(),
    verdict: z.string(),
    reason: z.string().optional()
  })),
  teams: z.array(z.object({ id: z.string(), ratePerSecond: z.number(), usedPerSecond: z.number() }))
})

/** Response of `GET /rollouts` of a node of the mesh; unknown fields are dropped. @internal */
export const rolloutsSchema = z.object({
  rollouts: z.array(z.object({
    service: z.string(),
    to: z.string(),
    phase: z.enum(['canary', 'promoting', 'completed', 'rolledBack']).optional(),
    elapsedMs: z.number(),
    durationMs: z.number(),
    withdrawn: z.boolean(),
    excluded: z.array(z.string()),
    record: z.object({
      conductor: z.string(), reason: z.string(), processes: z.int(), requests: z.int()
    }).optional(),
    evidence: z.string().optional()
  }))
})
