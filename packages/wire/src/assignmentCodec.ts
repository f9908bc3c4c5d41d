import { create } from '@bufbuild/protobuf'
import type { AssignmentEntry } from '@lavenderturn/decisions'
import { toId } from '@lavenderturn/types'
import { type AssignmentChange, AssignmentChangeSchema } from './gen/lavenderturn/v1/membership_pb'

/**
 * Encodes which nodes own the partitions.
 *
 * @param entries - entries of the assignment
 * @returns one message per entry
 * @public
 */
export function encodeAssignment (entries: readonly AssignmentEntry[]): AssignmentChange[] {
  return entries.map(({ partition, domain, owner, epoch, sequence }) => create(AssignmentChangeSchema, {
    partition, domain, owner, epoch: BigInt(epoch), sequence: BigInt(sequence)
  }))
}

/**
 * Decodes which nodes own the partitions.
 *
 * @param messages - one message per entry
 * @returns entries of the assignment
 * @public
 */
export function decodeAssignment (messages: readonly AssignmentChange[]): AssignmentEntry[] {
  return messages.map(({ partition, domain, owner, epoch, sequence }) => ({
    partition: toId(partition),
    domain: toId(domain),
    owner: toId(owner),
    epoch: Number(epoch),
    sequence: Number(sequence)
  }))
}
