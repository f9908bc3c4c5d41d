/**
 * Runs a case, writes its record, and sets the exit code: 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
 */
import { writeFileSync } from 'node:fs'

/** Whether the disruption is made. */
export const isTrouble = process.env.TROUBLE !== '0'

const MAX_RUN_MS = 115_000

/**
 * @param {string} record - path of the record
 * @param {(write: (line: string) => void, onStop: (stop: () => void) => void) => Promise<boolean>} play - plays the
 * case and tells whether the rule was broken
 */
export async function runCase (record, play) {
  const lines = [`disruption: ${isTrouble ? 'yes' : 'no'}`]
  const startedAt = performance.now()
  const write = (line) => { lines.push(`${((performance.now() - startedAt) / 1_000).toFixed(3)} s  ${line}`) }
  const stops = []
  const end = (code, line) => {
    write(line)
    for (const stop of stops.reverse()) stop()
    writeFileSync(record, `${lines.join('\n')}\n`)
    process.stdout.write(`${line}\n`)
    process.exit(code)
  }
  process.on('SIGTERM', () => { end(2, 'stopped from outside') })
  process.on('SIGINT', () => { end(2, 'stopped from outside') })
  setTimeout(() => { end(2, 'took too long') }, MAX_RUN_MS)
  try {
    const isBroken = await play(write, (stop) => { stops.push(stop) })
    end(isBroken ? 1 : 0, isBroken ? 'the rule was broken' : 'the rule held')
  } catch (err) {
    end(2, `could not run: ${err.stack}`)
  }
}
