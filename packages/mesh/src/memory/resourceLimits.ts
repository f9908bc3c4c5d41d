/** Resources of the machine of a node. @public */
export interface MachineResources {
  readonly memoryMb: number
  readonly maxDescriptors: number
}

/** What a node may use of them. @public */
export interface ResourceLimits {
  /** Memory for the bodies of requests and responses. */
  readonly bodyBytes: number
  /** Connections of callers. */
  readonly callerConnections: number
  /** Connections of other nodes. */
  readonly nodeConnections: number
}

/** Resources of a node whose settings name none: those of the smallest machine that runs one. @public */
export const DEFAULT_RESOURCES: MachineResources = { memoryMb: 250, maxDescriptors: 4_100 }

/**
 * Share of the memory for bodies. The rest is for the program, for the state of the fleet, and for memory that is free
 * but not collected yet.
 */
const BODY_SHARE = 0.36

/** Share of the descriptors for callers. */
const CALLER_DESCRIPTOR_SHARE = 0.5

/** Share of the descriptors for other nodes. The rest is for the backend server, the store and files. */
const NODE_DESCRIPTOR_SHARE = 0.25

/** Largest head that the HTTP parser holds for a connection. */
const MAX_HEAD_BYTES = 65_536

/** Share of the memory for bodies that unfinished heads may need besides. */
const HEAD_SHARE = 0.5

const BYTES_PER_MEBIBYTE = 1_048_576

/**
 * @param resources - memory and descriptors of the machine
 * @returns what the node may use of them
 * @public
 */
export function findResourceLimits ({ memoryMb, maxDescriptors }: MachineResources): ResourceLimits {
  const bodyBytes = Math.floor(memoryMb * BYTES_PER_MEBIBYTE * BODY_SHARE)
  const heads = bodyBytes * HEAD_SHARE / MAX_HEAD_BYTES
  return {
    bodyBytes,
    callerConnections: Math.floor(Math.min(maxDescriptors * CALLER_DESCRIPTOR_SHARE, heads)),
    nodeConnections: Math.floor(maxDescriptors * NODE_DESCRIPTOR_SHARE)
  }
}
