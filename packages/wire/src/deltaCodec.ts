import { create, fromBinary, toBinary } from '@bufbuild/protobuf'
import { decodeDelta, encodeDelta } from '@lavenderturn/declaration'
import type { ControlDelta as Delta } from '@lavenderturn/decisions'
import { toId } from '@lavenderturn/types'
import { decodeAssignment, encodeAssignment } from './assignmentCodec'
import { type ControlDelta, ControlDeltaSchema } from './gen/lavenderturn/v1/control_pb'

/**
 * @param delta - a delta of the control document
 * @returns its message
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
 * @param message - message of a delta
 * @returns the delta
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
 * @param delta - a delta of the control document
 * @returns the content of its object
 * @public
 */
export function writeDeltaObject (delta: Delta): Uint8Array {
  return toBinary(ControlDeltaSchema, encodeControlDelta(delta))
}

/**
 * @param bytes - the content of a delta object
 * @returns the delta
 * @public
 */
export function readDeltaObject (bytes: Uint8Array): Delta {
  return decodeControlDelta(fromBinary(ControlDeltaSchema, bytes))
}
