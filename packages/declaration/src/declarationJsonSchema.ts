import { z } from 'zod'
import { declarationSchema } from './declarationSchema'

/**
 * Creates the JSON schema of a declaration, for editors. It is committed as `schema/declaration.schema.json`.
 *
 * @returns the schema
 * @public
 */
export function declarationJsonSchema (): object {
  return { title: 'lavenderturn declaration', ...z.toJSONSchema(declarationSchema, { io: 'input' }) }
}
