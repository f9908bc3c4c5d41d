import { type Bounds, DEFAULT_BOUNDS, DEFAULT_RESOURCES, type MachineResources, type MeshIdentity } from '@lavenderturn/mesh'
import { SettingError } from '@lavenderturn/runtime'
import { type Address, toId } from '@lavenderturn/types'
import * as z from 'zod/mini'
import type { MeshAddresses } from '../createMeshNode'
import { durationSchema } from './durationSchema'

/** Settings of a node that discovers other nodes through a store. @public */
export interface MeshSettings {
  readonly identity: Omit<MeshIdentity, 'bootId'>
  readonly addresses: MeshAddresses
  readonly storeAddress: Address
  readonly bounds: Bounds
  readonly logLevel: LogLevel
  /** Resources of the machine. */
  readonly resources: MachineResources
}

const logLevels = ['error', 'warn', 'info', 'debug'] as const

/** Lines with a less severe level are not written. @public */
export type LogLevel = typeof logLevels[number]

/** Stands for the field name in errors about the file as a whole. */
const SETTINGS_FILE = 'settings file'

const nonEmptyString = z.string().check(z.minLength(1))
const hostAndPort = z.string().check(z.regex(/^[^\s:]+:\d{1,5}$/, 'expected HOST:PORT'))
const positiveNumber = z.number().check(z.positive())
const nonNegativeNumber = z.number().check(z.nonnegative())

const settingsSchema = z.object({
  nodeId: nonEmptyString,
  dataCentre: nonEmptyString,
  service: nonEmptyString,
  peerAddress: hostAndPort,
  forwardAddress: hostAndPort,
  peerListenAddress: z.optional(hostAndPort),
  forwardListenAddress: z.optional(hostAndPort),
  callerAddress: hostAndPort,
  announcementAddress: hostAndPort,
  readinessAddress: hostAndPort,
  metricsAddress: hostAndPort,
  storeAddress: hostAndPort,
  announceInterval: durationSchema,
  logLevel: z._default(z.enum(logLevels), 'info'),
  memoryMb: z._default(positiveNumber, DEFAULT_RESOURCES.memoryMb),
  maxDescriptors: z._default(positiveNumber, DEFAULT_RESOURCES.maxDescriptors),
  bounds: z.object({
    revoke: z.nullish(durationSchema),
    grace: z.nullish(durationSchema),
    coldOver: z.nullish(nonNegativeNumber),
    coldSlack: z.nullish(nonNegativeNumber),
    retryRatio: z.nullish(nonNegativeNumber),
    retrySlack: z.nullish(nonNegativeNumber),
    exposeShare: z.nullish(nonNegativeNumber),
    exposeSlack: z.nullish(nonNegativeNumber),
    rollback: z.nullish(durationSchema)
  })
})

/**
 * Parses and validates the settings file.
 *
 * @param content - the file: JSON with the fields described in `docs/configuration-mesh.md`
 * @returns the settings
 * @throws SettingError with the name of the first invalid field and what was expected
 * @public
 */
export function readMeshSettings (content: string): MeshSettings {
  const parsed = settingsSchema.safeParse(parseJson(content))
  if (!parsed.success) {
    const { path, message } = parsed.error.issues[0]!
    throw new SettingError(path.join('.') || SETTINGS_FILE, message)
  }
  const { nodeId, dataCentre, service, peerAddress, forwardAddress, ...settings } = parsed.data
  return {
    identity: {
      nodeId: toId(nodeId),
      dataCentre: toId(dataCentre),
      service: toId(service),
      peerAddress: toId(peerAddress),
      forwardAddress: toId(forwardAddress)
    },
    addresses: {
      callers: toId(settings.callerAddress),
      announcements: toId(settings.announcementAddress),
      readiness: toId(settings.readinessAddress),
      metrics: toId(settings.metricsAddress),
      ...settings.peerListenAddress !== undefined && { peers: toId<Address>(settings.peerListenAddress) },
      ...settings.forwardListenAddress !== undefined && { forward: toId<Address>(settings.forwardListenAddress) }
    },
    storeAddress: toId(settings.storeAddress),
    logLevel: settings.logLevel,
    resources: { memoryMb: settings.memoryMb, maxDescriptors: settings.maxDescriptors },
    bounds: { ...completeBounds(settings.bounds), announceInterval: settings.announceInterval }
  }
}

type BoundsOfRules = Omit<Bounds, 'announceInterval'>

/** A bound that is absent, or `null`, belongs to a rule that is not in force in the deployment. */
function completeBounds (
  bounds: { readonly [Name in keyof BoundsOfRules]?: BoundsOfRules[Name] | null }
): BoundsOfRules {
  const { revoke, grace, coldOver, coldSlack, retryRatio, retrySlack, exposeShare, exposeSlack, rollback } = bounds
  return {
    revoke: revoke ?? DEFAULT_BOUNDS.revoke,
    grace: grace ?? DEFAULT_BOUNDS.grace,
    coldOver: coldOver ?? DEFAULT_BOUNDS.coldOver,
    coldSlack: coldSlack ?? DEFAULT_BOUNDS.coldSlack,
    retryRatio: retryRatio ?? DEFAULT_BOUNDS.retryRatio,
    retrySlack: retrySlack ?? DEFAULT_BOUNDS.retrySlack,
    ...isPresent(exposeShare) && { exposeShare },
    ...isPresent(exposeSlack) && { exposeSlack },
    ...isPresent(rollback) && { rollback }
  }
}

function isPresent<Value> (value: Value | null | undefined): value is Value {
  return value !== undefined && value !== null
}

function parseJson (content: string): unknown {
  try {
    return JSON.parse(content)
  } catch (err) {
    throw new SettingError(SETTINGS_FILE, `expected JSON: ${String(err)}`)
  }
}
