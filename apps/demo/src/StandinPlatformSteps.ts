import { findPorts } from '@lavenderturn/ports'
import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import type { DemoContext } from './DemoContext'
import { makeDemoDeclaration } from './makeDemoDeclaration'
import { PlatformSteps } from './PlatformSteps'

/** Credentials of the platform stand-in, which are valid nowhere else. */
const CREDENTIALS = ['--access-key-id', 'standin', '--secret-access-key', 'standin-secret']

/** Starts the platform stand-in and applies the declaration with `lavenderturn-ctl`. @public */
export class StandinPlatformSteps extends PlatformSteps {
  /** {@inheritDoc PlatformSteps.start} */
  override async start ({ children, programs }: DemoContext): Promise<readonly string[]> {
    const [port, adminPort] = await findPorts(2)
    const line = await children.start('platform', [
      ...programs.platform, '--port', String(port), '--admin-port', String(adminPort)
    ])
    if (line === undefined) throw new Error('the platform stand-in does not start')
    const origin = `http://127.0.0.1:${port}`
    return ['--table-store', `${origin}/lavenderturn`, '--object-store', `${origin}/lavenderturn`, ...CREDENTIALS]
  }

  /** {@inheritDoc PlatformSteps.apply} */
  override async apply ({ children, programs, nodes }: DemoContext): Promise<void> {
    const folder = await mkdtemp(join(tmpdir(), 'lavenderturn-demo-'))
    try {
      const file = join(folder, 'declaration.json')
      await writeFile(file, makeDemoDeclaration())
      const code = await children.run('apply', [...programs.ctl, 'apply', file, '--node', nodes[0]!.adminAddress])
      if (code !== 0) throw new Error(`lavenderturn-ctl apply ended with code ${code}`)
    } finally {
      await rm(folder, { recursive: true })
    }
  }
}
