import { formatSoakHeading, formatSoakReport } from './formatSoakReport'
import { runSoak } from './runSoak'
import type { SoakProtocol } from './SoakProtocol'

/** @public */
export interface RunSeedsOptions {
  readonly first: number
  readonly seeds: number
  /** Number of concurrent runs. */
  readonly jobs: number
  readonly folder: string
  /** Creates the protocol and the store of one run. */
  readonly openProtocol: () => Promise<SoakProtocol>
  readonly write: (line: string) => void
}

/**
 * Executes runs with consecutive seeds, several of them concurrently, and writes a table of results.
 *
 * @param options - seeds, concurrency and output
 * @returns seeds of the runs that had violations or did not start
 * @public
 */
export async function runSeeds (
  { first, seeds, jobs, folder, openProtocol, write }: RunSeedsOptions
): Promise<number[]> {
  const queue = Array.from({ length: seeds }, (_, index) => first + index)
  const failedSeeds: number[] = []
  write(formatSoakHeading())
  const runNextSeeds = async (): Promise<void> => {
    for (let seed = queue.shift(); seed !== undefined; seed = queue.shift()) {
      try {
        const report = await runSoak({ seed, folder, protocol: await openProtocol() })
        if (report.violations.length > 0) failedSeeds.push(seed)
        for (const line of formatSoakReport(report)) write(line)
      } catch (err) {
        failedSeeds.push(seed)
        write(`${seed}  did not run: ${String(err)}`)
      }
    }
  }
  await Promise.all(Array.from({ length: jobs }, runNextSeeds))
  return failedSeeds.sort((left, right) => left - right)
}
