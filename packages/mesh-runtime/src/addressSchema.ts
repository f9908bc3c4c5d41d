import { isAddress } from '@lavenderturn/runtime'
import * as z from 'zod/mini'

/** An address as text, `host:port`. Sending to any other text would throw. @public */
export const addressSchema = z.string().check(z.maxLength(200), z.refine(isAddress, 'expected host:port'))
