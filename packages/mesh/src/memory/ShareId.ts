import type { Branded } from '@lavenderturn/types'

/** Identifies what one body holds of a node's memory. @public */
export type ShareId = Branded<string, 'ShareId'>
