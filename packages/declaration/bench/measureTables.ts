/**
 * Measures the memory usage and the speed of the control document at several sizes, each in a separate process, and
 * fits a line to the results. Usage: `npx tsx --expose-gc packages/declaration/bench/measureTables.ts`
 */
import {
  applyDelta, type ControlDocument, decodeDocument, type DeclarationDelta, diffDeclarations, emptyDeclaration,
  encodeDeclaration, encodeDelta
} from '@lavenderturn/declaration'
import {
  makeDeclaredHash, makeKeyHash, makeLargeDeclaration, makeRouteDeclaration, makeTeam
} from '@lavenderturn/fixtures'
import { type Revision, toId } from '@lavenderturn/types'
import { spawnSync } from 'node:child_process'
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'

const TEAM_SIZES = [1_000, 30_000, 75_000, 120_000, 170_000, 220_000]
const ROUTE_SIZES = [100, 2_000, 6_000, 12_000, 18_000]
const MIN_TEAMS = 1_000
const MIN_ROUTES = 100
const LOOKUPS_PER_BATCH = 200_000
const BATCHES = 15
const DELTAS = 1_000
const NS_PER_MS = 1e6
const BYTES_PER_MB = 1e6

interface Sample {
  readonly teams: number
  readonly routes: number
  readonly encodedMb: number
  readonly loadMs: number
  /** Memory that the document retains after garbage collection: JavaScript heap and typed arrays. */
  readonly heldMb: number
  readonly rssMb: number
  readonly peakRssMb: number
  readonly keyNs: number
  readonly teamNs: number
  readonly routeNs: number
  readonly keyDeltaMs: TimingSummary
  readonly teamDeltaMs: TimingSummary
  readonly routeDeltaMs: TimingSummary
}

interface TimingSummary { readonly median: number, readonly p99: number, readonly max: number }

function measure (path: string, { teams, routes }: { readonly teams: number, readonly routes: number }): Sample {
  const retainedBefore = measureRetainedBytes()
  const loaded = load(path)
  const retainedBytes = measureRetainedBytes() - retainedBefore
  const rssBytes = process.memoryUsage().rss
  const peakRssBytes = process.resourceUsage().maxRSS * 1_024
  const document = loaded.document
  const hashes = Array.from({ length: 4_096 }, (_, index) => makeKeyHash(`key-${(index * 7_919) % teams}`))
  const ids = Array.from({ length: 4_096 }, (_, index) => toId<never>(`team-${(index * 7_919) % teams}`))
  const paths = Array.from({ length: 4_096 }, (_, index) => {
    const route = (index * 7_919) % routes
    return `/service-${route % 640}/collection-${route % 4_000}/item-${route}/detail`
  })
  return {
    teams,
    routes,
    ...loaded.times,
    heldMb: retainedBytes / BYTES_PER_MB,
    rssMb: rssBytes / BYTES_PER_MB,
    peakRssMb: peakRssBytes / BYTES_PER_MB,
    keyNs: timeLookup((index) => document.findTeamByKey(hashes[index & 4_095]!)),
    teamNs: timeLookup((index) => document.findTeam(ids[index & 4_095]!)),
    routeNs: timeLookup((index) => document.findRoute('GET', paths[index & 4_095]!)),
    ...measureDeltas(document)
  }
}

interface Loaded {
  readonly document: ControlDocument
  readonly times: Pick<Sample, 'encodedMb' | 'loadMs'>
}

function load (path: string): Loaded {
  const bytes = readFileSync(path)
  const start = performance.now()
  const document = decodeDocument(bytes, { revision: toId<Revision>(1) })
  const end = performance.now()
  return { document, times: { encodedMb: bytes.length / BYTES_PER_MB, loadMs: end - start } }
}

function measureRetainedBytes (): number {
  for (let round = 0; round < 3; round++) global.gc!()
  const { heapUsed, arrayBuffers } = process.memoryUsage()
  return heapUsed + arrayBuffers
}

function timeLookup (lookUp: (index: number) => unknown): number {
  const times = Array.from({ length: BATCHES }, () => {
    const start = performance.now()
    for (let index = 0; index < LOOKUPS_PER_BATCH; index++) {
      if (lookUp(index) === undefined) throw new Error('a lookup returned no entry')
    }
    return (performance.now() - start) * NS_PER_MS / LOOKUPS_PER_BATCH
  })
  return summarize(times).median
}

function measureDeltas (start: ControlDocument): Pick<Sample, 'keyDeltaMs' | 'teamDeltaMs' | 'routeDeltaMs'> {
  let document = start
  const emptyDelta = diffDeclarations(emptyDeclaration(), emptyDeclaration())
  const time = (makeDelta: (index: number) => DeclarationDelta): TimingSummary => summarize(
    Array.from(Array(DELTAS), (_, index) => {
      const delta = makeDelta(index)
      const startedAt = performance.now()
      document = applyDelta(document, { delta, revision: toId(document.revision + 1) })
      return performance.now() - startedAt
    })
  )
  return {
    keyDeltaMs: time((index) => {
      const keys = [{ hash: makeDeclaredHash(`new-${index}`), team: toId<never>(`team-${index % 1_000}`) }]
      return { ...emptyDelta, changed: { ...emptyDelta.changed, keys } }
    }),
    teamDeltaMs: time((index) => ({
      ...emptyDelta,
      changed: { ...emptyDelta.changed, teams: [makeTeam({ id: toId(`new-${index >> 1}`), burst: index + 1 })] }
    })),
    routeDeltaMs: time((index) => {
      const routes = [makeRouteDeclaration({
        id: toId(`route-${index % 100}`), service: toId('service-0'), pathPrefix: `/moved/${index}`
      })]
      return { ...emptyDelta, changed: { ...emptyDelta.changed, routes } }
    })
  }
}

function summarize (values: readonly number[]): TimingSummary {
  const sorted = values.toSorted((left, right) => left - right)
  const quantile = (fraction: number): number =>
    sorted[Math.min(sorted.length - 1, Math.floor(fraction * sorted.length))]!
  return { median: quantile(0.5), p99: quantile(0.99), max: quantile(1) }
}

/** Fits a line by least squares. Describes it with the root mean square and the maximum of the residuals. */
function fitLine (points: ReadonlyArray<readonly [number, number]>): string {
  const mean = (values: readonly number[]): number => values.reduce((sum, value) => sum + value, 0) / values.length
  const [x, y] = [mean(points.map(([px]) => px)), mean(points.map(([, py]) => py))]
  const slope = mean(points.map(([px, py]) => (px - x) * (py - y))) / mean(points.map(([px]) => (px - x) ** 2))
  const residuals = points.map(([px, py]) => py - y - slope * (px - x))
  const rms = Math.sqrt(mean(residuals.map((value) => value ** 2)))
  const largest = Math.max(...residuals.map(Math.abs))
  return `${(y - slope * x).toFixed(3)} + ${(slope * 1_000).toFixed(5)} per 1,000; ` +
    `residuals: rms ${rms.toFixed(3)}, largest ${largest.toFixed(3)}`
}

function runChild (folder: string, sizes: { readonly teams: number, readonly routes: number }): Sample {
  const path = join(folder, 'declaration')
  writeFileSync(path, encodeDeclaration(makeLargeDeclaration(sizes)))
  const args = [...process.execArgv, fileURLToPath(import.meta.url), path, String(sizes.teams), String(sizes.routes)]
  const child = spawnSync(process.execPath, args, { encoding: 'utf8', stdio: ['ignore', 'pipe', 'inherit'] })
  if (child.status !== 0) throw new Error(`the measurement of ${JSON.stringify(sizes)} failed with exit code ${child.status}`)
  return JSON.parse(child.stdout) as Sample
}

function print (line: string): void {
  process.stdout.write(`${line}\n`)
}

function printSample (sample: Sample): void {
  const spread = ({ median, p99, max }: TimingSummary): string => `${median.toFixed(4)}/${p99.toFixed(4)}/${max.toFixed(3)}`
  print([
    `${sample.teams} teams, ${sample.routes} routes: held ${sample.heldMb.toFixed(2)} MB`,
    `RSS ${sample.rssMb.toFixed(0)} MB (peak ${sample.peakRssMb.toFixed(0)})`,
    `encoded ${sample.encodedMb.toFixed(2)} MB, load ${sample.loadMs.toFixed(0)} ms`,
    `lookup ns: key ${sample.keyNs.toFixed(0)}, team ${sample.teamNs.toFixed(0)}, route ${sample.routeNs.toFixed(0)}`,
    `delta ms median/p99/max: key ${spread(sample.keyDeltaMs)}, team ${spread(sample.teamDeltaMs)}, route ${spread(sample.routeDeltaMs)}`
  ].join('; '))
}

function printFits (
  unit: 'teams' | 'routes', samples: readonly Sample[], fields: ReadonlyArray<'heldMb' | 'keyNs' | 'teamNs' | 'routeNs'>
): void {
  for (const field of fields) {
    print(`fit of ${field} over ${unit}: ${fitLine(samples.map((sample) => [sample[unit], sample[field]]))}`)
  }
}

function main (): void {
  const folder = mkdtempSync(join(tmpdir(), 'lavenderturn-tables-'))
  try {
    const byTeams = TEAM_SIZES.map((teams) => runChild(folder, { teams, routes: MIN_ROUTES }))
    byTeams.forEach(printSample)
    printFits('teams', byTeams, ['heldMb', 'keyNs', 'teamNs'])
    const byRoutes = ROUTE_SIZES.map((routes) => runChild(folder, { teams: MIN_TEAMS, routes }))
    byRoutes.forEach(printSample)
    printFits('routes', byRoutes, ['heldMb', 'routeNs'])
    printSample(runChild(folder, { teams: TEAM_SIZES.at(-1)!, routes: ROUTE_SIZES.at(-1)! }))
    const oneKey = { ...emptyDeclaration(), keys: [{ hash: makeDeclaredHash('k'), team: toId<never>('team-1') }] }
    print(`delta of one key: ${encodeDelta(diffDeclarations(emptyDeclaration(), oneKey)).length} bytes`)
  } finally {
    rmSync(folder, { recursive: true })
  }
}

const [path, teams, routes] = process.argv.slice(2)
if (path === undefined) main()
else print(JSON.stringify(measure(path, { teams: Number(teams), routes: Number(routes) })))
