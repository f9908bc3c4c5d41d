import { fileURLToPath } from 'node:url'
import { runDemo } from './runDemo'
import { StandinPlatformSteps } from './StandinPlatformSteps'

/**
 * @param name - a program of `dist`, where this one lies too
 * @returns the command that starts it
 */
function findProgram (name: string): readonly string[] {
  return [process.execPath, '--enable-source-maps', fileURLToPath(new URL(`./${name}.mjs`, import.meta.url))]
}

const USAGE = 'lavenderturn-demo: runs three data centres on this machine and a planned stop; it takes no arguments\n'

// A reader that has seen enough closes the output; the demo still has to stop what it has started.
process.stdout.on('error', (err: NodeJS.ErrnoException) => { if (err.code !== 'EPIPE') throw err })

if (process.argv.length > 2) {
  const asksForHelp = process.argv[2] === '--help' || process.argv[2] === '-h'
  if (asksForHelp) process.stdout.write(USAGE)
  else process.stderr.write(`lavenderturn-demo: unknown argument ${process.argv[2] ?? ''}\n${USAGE}`)
  process.exit(asksForHelp ? 0 : 2)
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
// Requests and polls of a step that was broken off may still be open.
process.exit(code)
