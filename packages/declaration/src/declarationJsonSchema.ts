import { z } from 'zod'
import { declarationSchema } from './declarationSchema'

/**
 * @returns the JSON schema of a declaration, for editors; committed as `schema/declaration.schema.json`
 * @public
 */
export function declarationJsonSchema (): object {
  return { title: 'lavenderturn declaration', ...z.toJSONSchema(declarationSchema, { io: 'input' }) }
}
