import { type Confirmation, findConfirmationAge, type MeshEffect, type StoreEra } from '@lavenderturn/mesh'
import { splitAddress } from '@lavenderturn/runtime'
import { type Address, type DataCentreId, millis } from '@lavenderturn/types'
import type { ConsolaInstance } from 'consola'
import { type IncomingMessage, request as startRequest } from 'node:http'
import * as z from 'zod/mini'
import { MeshEffectHandler, type MeshRuntime } from '../MeshRuntime'
import { readBody } from '../body/readBody'
import type { ConfigurationFollower } from './ConfigurationFollower'
import type { ConfigurationSource } from './ConfigurationSource'

/** Path at which a node gets the configuration of another one. */
export const CONFIGURATION_PATH = '/lavenderturn/configuration'

const FETCH_TIMEOUT_MS = 1_000

/** Fits the largest configuration that a store keeps in one row, encoded as JSON. */
const MAX_SNAPSHOT_BYTES = 4_194_304

const snapshotSchema = z.object({
  document: z.string(),
  version: z.number().check(z.nonnegative()),
  // Nodes of the previous version do not send it.
  era: z._default(z.int().check(z.nonnegative()), 0),
  ageMs: z.number().check(z.nonnegative()),
  evacuated: z.array(z.string())
})

/** @internal */
export interface ConfigurationHandlerOptions {
  readonly runtime: MeshRuntime
  readonly source: ConfigurationSource
  readonly follower: ConfigurationFollower
  readonly log: ConsolaInstance
}

/** Gets configurations from the source and from other nodes, and hands out this node's own. @internal */
export class ConfigurationHandler extends MeshEffectHandler {
  override readonly slices = ['configuration'] as const

  constructor (private readonly options: ConfigurationHandlerOptions) {
    super()
  }

  override run (effect: MeshEffect): void {
    if (effect.slice !== 'configuration') return
    const { follower } = this.options
    if (effect.type === 'follow') follower.setActive(effect.active)
    else if (effect.type === 'read') follower.requestRead()
    else void this.fetch(effect.address)
  }

  /** @returns this node's configuration for another node, or undefined if it has none that is current */
  composeSnapshot (): string | undefined {
    const document = this.options.source.exportDocument()
    const rest = this.options.runtime.query((state) => {
      const { current, evacuated, unreadable, position: { era, version } } = state.configuration
      if (current === undefined || unreadable !== undefined) return undefined
      return { version, era, ageMs: Math.ceil(findConfirmationAge(state)), evacuated: [...evacuated] }
    })
    return document === undefined || rest === undefined ? undefined : JSON.stringify({ document, ...rest })
  }

  private async fetch (address: Address): Promise<void> {
    const { log, runtime, source } = this.options
    const start: Confirmation = { steadyAt: millis(performance.now()), wallAt: millis(Date.now()) }
    try {
      const { document, version, era, ageMs, evacuated } = z.parse(snapshotSchema, JSON.parse(await fetchText(address)))
      runtime.dispatch({
        slice: 'configuration',
        type: 'configurationRead',
        ...source.importDocument(document),
        evacuated: new Set(evacuated as DataCentreId[]),
        position: { era: era as StoreEra, version },
        // The other node stated the age after this node had asked, so the confirmation is no younger than this.
        confirmed: { steadyAt: millis(start.steadyAt - ageMs), wallAt: millis(start.wallAt - ageMs) }
      })
    } catch (err) {
      // The next report of a node with a later revision starts another fetch.
      log.warn('configuration of another node not fetched', { address, error: String(err) })
    }
  }
}

async function fetchText (address: Address): Promise<string> {
  const response = await new Promise<IncomingMessage>((resolve, reject) => {
    const request = startRequest({
      ...splitAddress(address), path: CONFIGURATION_PATH, agent: false, signal: AbortSignal.timeout(FETCH_TIMEOUT_MS)
    })
    request.on('response', resolve)
    request.on('error', reject)
    request.end()
  })
  const body = await readBody(response, { maxBytes: MAX_SNAPSHOT_BYTES })
  if (response.statusCode !== 200) throw new Error(`the node returned ${response.statusCode ?? 0}`)
  return body.concat().toString()
}
