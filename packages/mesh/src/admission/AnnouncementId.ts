import type { Branded } from '@lavenderturn/types'

/** Identifies a call of the backend server that waits for its acknowledgement. @public */
export type AnnouncementId = Branded<string, 'AnnouncementId'>
