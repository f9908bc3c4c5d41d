/** Writes `schema/declaration.schema.json`. Run it with tsx after changing the declaration schema. */
import { declarationJsonSchema } from '@lavenderturn/declaration'
import { writeFileSync } from 'node:fs'

const path = new URL('../../../schema/declaration.schema.json', import.meta.url)
writeFileSync(path, `${JSON.stringify(declarationJsonSchema(), null, 2)}\n`)
