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
