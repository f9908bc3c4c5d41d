import { create, fromBinary, toBinary } from '@bufbuild/protobuf'
import { decodeDelta, encodeDelta } from '@lavenderturn/declaration'
import type { ControlDelta as Delta } from '@lavenderturn/decisions'
import { toId } from '@lavenderturn/types'
import { decodeAssignment, encodeAssignment } from './assignmentCodec'
import { type ControlDelta, ControlDeltaSchema } from './gen/lavenderturn/v1/control_pb'

/**
 * Encodes a delta as a Protocol Buffers message.
 *
 * @param delta - a delta of the control document
 * @returns the message
 * @public
 */
export function encodeControlDelta ({ revision, declaration, assignment }: Delta): ControlDelta {
  return create(ControlDeltaSchema, {
    revision: BigInt(revision),
    declaration: declaration === undefined ? undefined : encodeDelta(declaration),
    assignment: encodeAssignment(assignment)
  })
}

/**
 * Decodes a delta from a Protocol Buffers message.
 *
 * @param message - the message
 * @returns a delta of the control document
 * @public
 */
export function decodeControlDelta ({ revision, declaration, assignment }: ControlDelta): Delta {
  return {
    revision: toId(Number(revision)),
    declaration: declaration === undefined ? undefined : decodeDelta(declaration),
    assignment: decodeAssignment(assignment)
  }
}

/**
 * Serializes a delta for the object store.
 *
 * @param delta - a delta of the control document
 * @returns the content of the delta object
 * @public
 */
export function writeDeltaObject (delta: Delta): Uint8Array {
  return toBinary(ControlDeltaSchema, encodeControlDelta(delta))
}

/**
 * Parses a delta object from the object store.
 *
 * @param bytes - the content of the delta object
 * @returns a delta of the control document
 * @public
 */
export function readDeltaObject (bytes: Uint8Array): Delta {
  return decodeControlDelta(fromBinary(ControlDeltaSchema, bytes))
}
