import { randomBytes } from 'node:crypto'
import { text } from 'node:stream/consumers'
import { processClock } from './apply/runApply'
import { HttpControlClient } from './client/HttpControlClient'
import { runCtl } from './runCtl'

process.exitCode = await runCtl(process.argv.slice(2), {
  ...processClock,
  writeOut: (output) => { process.stdout.write(output) },
  writeError: (output) => { process.stderr.write(output) },
  readInput: async () => await text(process.stdin),
  randomBytes,
  createClient: (options) => new HttpControlClient(options)
})
