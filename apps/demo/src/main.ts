import { fileURLToPath } from 'node:url'
import { runDemo } from './runDemo'
import { StandinPlatformSteps } from './StandinPlatformSteps'

/**
 * @param name - name of a program in `dist`, the folder of this bundle
 * @returns the command that starts it
 */
function findProgram (name: string): readonly string[] {
  return [process.execPath, '--enable-source-maps', fileURLToPath(new URL(`./${name}.mjs`, import.meta.url))]
}

const USAGE = 'lavenderturn-demo: runs three data centres on this machine and a planned stop; it takes no arguments\n'

// The reader of a pipe may close it early; the demo must still stop its children.
process.stdout.on('error', (err: NodeJS.ErrnoException) => { if (err.code !== 'EPIPE') throw err })

if (process.argv.length > 2) {
  const isHelpRequested = process.argv[2] === '--help' || process.argv[2] === '-h'
  if (isHelpRequested) process.stdout.write(USAGE)
  else process.stderr.write(`lavenderturn-demo: unknown argument ${process.argv[2] ?? ''}\n${USAGE}`)
  process.exit(isHelpRequested ? 0 : 2)
}

const { code } = await runDemo({
  programs: {
    node: findProgram('lavenderturn-node'),
    backend: findProgram('standin-backend-server'),
    platform: findProgram('standin-platform'),
    ctl: findProgram('lavenderturn-ctl')
  },
  platform: new StandinPlatformSteps(),
  write: (line) => { process.stdout.write(`${line}\n`) }
})
// Requests and timers of an aborted step may still keep the event loop alive.
process.exit(code)
