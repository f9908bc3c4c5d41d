import { documentToDeclaration, emptyDeclaration, formatProblem, parseDeclaration } from '@lavenderturn/declaration'
import { type Revision, toId } from '@lavenderturn/types'
import type { IncomingMessage, ServerResponse } from 'node:http'
import { z } from 'zod'
import type { ControlHandler } from '../control/ControlHandler'
import { readPrefix } from '../readPrefix'
import type { Runtime } from '../Runtime'
import { sendProblem } from '../sendProblem'
import { parseJson, type Route, sendJson } from './adminRoute'

/** A declaration with 220,000 teams is about 34 MB of JSON. */
const MAX_DECLARATION_BYTES = 64 * 1_048_576

/** Number of tokens whose outcome is kept for operators who did not receive the answer. */
const MAX_STORED_TOKENS = 256

const applySchema = z.object({
  token: z.string().min(1),
  base: z.int().min(0),
  declaration: z.record(z.string(), z.unknown())
})

/** Outcome of the application with a token at this node. */
type TokenOutcome = { readonly kind: 'accepted', readonly revision: Revision } | { readonly kind: 'unknown' }

/** @internal */
export interface DeclarationRoutesOptions {
  readonly runtime: Runtime
  readonly control: ControlHandler
}

/**
 * Creates the routes by which operators read and apply declarations.
 *
 * @param options - the node's runtime, and the handler that sends declarations to the reducer
 * @returns routes of the admin port by method and path
 * @internal
 */
export function createDeclarationRoutes ({ runtime, control }: DeclarationRoutesOptions): Array<[string, Route]> {
  const outcomes = new Map<string, TokenOutcome>()
  return [
    ['GET /declaration', (_, res) => {
      sendJson(res, runtime.query(({ control: { document } }) => ({
        revision: document?.revision ?? 0,
        declaration: document === undefined ? emptyDeclaration() : documentToDeclaration(document)
      })))
    }],
    ['GET /apply', (req, res) => {
      const token = new URL(req.url!, 'http://admin').searchParams.get('token') ?? ''
      sendJson(res, outcomes.get(token) ?? { kind: 'unknown', detail: 'this node has not seen the token' })
    }],
    ['POST /apply', async (req, res) => { await apply({ control, outcomes, req, res }) }]
  ]
}

interface ApplyOptions {
  readonly control: ControlHandler
  readonly outcomes: Map<string, TokenOutcome>
  readonly req: IncomingMessage
  readonly res: ServerResponse
}

async function apply ({ control, outcomes, req, res }: ApplyOptions): Promise<void> {
  const { bytes, complete } = await readPrefix({ body: req, limitBytes: MAX_DECLARATION_BYTES })
  const body = applySchema.safeParse(complete ? parseJson(bytes) : undefined)
  if (!body.success) {
    sendProblem({ req, res, result: 'malformedRequest' })
    return
  }
  const { token, base } = body.data
  const parsed = parseDeclaration([{ name: 'declaration', text: JSON.stringify(body.data.declaration) }])
  if (!parsed.ok) {
    sendProblem({ req, res, result: 'invalidDeclaration', detail: parsed.problems.map(formatProblem).join('\n') })
    return
  }
  storeOutcome(outcomes, token, { kind: 'unknown' })
  const { result, revision } = await control.apply(toId(base), parsed.declaration)
  if (result === 'applied') {
    storeOutcome(outcomes, token, { kind: 'accepted', revision })
    sendJson(res, { kind: 'accepted', revision })
  } else {
    sendProblem({ req, res, result, detail: `revision ${revision} is in force at this node` })
  }
}

function storeOutcome (outcomes: Map<string, TokenOutcome>, token: string, outcome: TokenOutcome): void {
  outcomes.delete(token)
  outcomes.set(token, outcome)
  if (outcomes.size > MAX_STORED_TOKENS) outcomes.delete(outcomes.keys().next().value!)
}
