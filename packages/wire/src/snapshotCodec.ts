import { create, fromBinary, toBinary } from '@bufbuild/protobuf'
import { decodeDeclaration, encodeDeclaration } from '@lavenderturn/declaration'
import type { ControlSnapshot as Snapshot } from '@lavenderturn/decisions'
import { toId } from '@lavenderturn/types'
import { decodeAssignment, encodeAssignment } from './assignmentCodec'
import { type ControlSnapshot, ControlSnapshotSchema } from './gen/lavenderturn/v1/control_pb'

/**
 * @param snapshot - a whole control document
 * @returns its message
 * @public
 */
export function encodeControlSnapshot (snapshot: Snapshot): ControlSnapshot {
  return create(ControlSnapshotSchema, {
    revision: BigInt(snapshot.revision),
    declarationRevision: BigInt(snapshot.declarationRevision),
    declaration: encodeDeclaration(snapshot.declaration),
    assignment: encodeAssignment(snapshot.assignment)
  })
}

/**
 * @param message - message of a whole control document
 * @returns the control document
 * @public
 */
export function decodeControlSnapshot (message: ControlSnapshot): Snapshot {
  return {
    revision: toId(Number(message.revision)),
    declarationRevision: toId(Number(message.declarationRevision)),
    declaration: decodeDeclaration(message.declaration),
    assignment: decodeAssignment(message.assignment)
  }
}

/**
 * @param snapshot - a whole control document
 * @returns the content of its object
 * @public
 */
export function writeSnapshotObject (snapshot: Snapshot): Uint8Array {
  return toBinary(ControlSnapshotSchema, encodeControlSnapshot(snapshot))
}

/**
 * @param bytes - the content of a snapshot object
 * @returns the control document
 * @public
 */
export function readSnapshotObject (bytes: Uint8Array): Snapshot {
  return decodeControlSnapshot(fromBinary(ControlSnapshotSchema, bytes))
}
