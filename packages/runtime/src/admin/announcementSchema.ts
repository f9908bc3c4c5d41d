import { z } from 'zod'
import { isAddress } from '../isAddress'

/** Schema for the body of `POST /announce`. */
export const announcementSchema = z.strictObject({
  service: z.string().min(1).max(128),
  address: z.string().refine(isAddress, 'must be host:port'),
  slots: z.int().min(1).max(100_000),
  bootId: z.string().min(1).max(128),
  state: z.enum(['serving', 'draining', 'leaving'])
})

/** @public */
export type Announcement = z.infer<typeof announcementSchema>
