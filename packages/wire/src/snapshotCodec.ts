import { create, fromBinary, toBinary } from '@bufbuild/protobuf'
import { decodeDeclaration, encodeDeclaration } from '@lavenderturn/declaration'
import type { ControlSnapshot as Snapshot } from '@lavenderturn/decisions'
import { toId } from '@lavenderturn/types'
import { decodeAssignment, encodeAssignment } from './assignmentCodec'
import { type ControlSnapshot, ControlSnapshotSchema } from './gen/lavenderturn/v1/control_pb'

/**
 * Encodes a complete control document as a Protocol Buffers message.
 *
 * @param snapshot - the control document
 * @returns the message
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
 * Decodes a complete control document from a Protocol Buffers message.
 *
 * @param message - the message
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
 * Serializes a complete control document for the object store.
 *
 * @param snapshot - the control document
 * @returns the content of the snapshot object
 * @public
 */
export function writeSnapshotObject (snapshot: Snapshot): Uint8Array {
  return toBinary(ControlSnapshotSchema, encodeControlSnapshot(snapshot))
}

/**
 * Parses a snapshot object from the object store.
 *
 * @param bytes - the content of the snapshot object
 * @returns the control document
 * @public
 */
export function readSnapshotObject (bytes: Uint8Array): Snapshot {
  return decodeControlSnapshot(fromBinary(ControlSnapshotSchema, bytes))
}
