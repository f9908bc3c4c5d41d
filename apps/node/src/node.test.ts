import { TestResources, sendRequest, waitUntil } from '@lavenderturn/fixtures/runtime'
import { makeBackendConfig, startBackendServer } from '@lavenderturn/standin-backend-server'
import { type ChildProcess, spawn } from 'node:child_process'
import { once } from 'node:events'
import { createServer } from 'node:net'
import { fileURLToPath } from 'node:url'
import { afterEach, beforeEach, describe, expect, it } from 'vitest'

const MAIN = fileURLToPath(new URL('main.ts', import.meta.url))

describe('lavenderturn-node', () => {
  let resources: TestResources
  beforeEach(() => { resources = new TestResources() })
  afterEach(async () => { await resources.close() })

  async function findPort (): Promise<number> {
    const probe = new TestResources()
    const address = await probe.listen(createServer())
    await probe.close()
    return Number(address.split(':')[1])
  }

  function run (args: readonly string[]) {
    const child: ChildProcess = spawn(process.execPath, ['--import', 'tsx', MAIN, ...args], { stdio: 'pipe' })
    const output = { text: '' }
    for (const stream of [child.stdout!, child.stderr!]) {
      stream.on('data', (data: Buffer) => { output.text += data.toString() })
    }
    resources.add(() => { child.kill('SIGKILL') })
    const exited = once(child, 'exit').then(([code]) => code as number)
    return { child, output, exited }
  }

  it('exits with code 2 and a one-line error that names an invalid setting', async () => {
    const { output, exited } = run(['--data-centre', 'dc-1', '--region', 'r-1', '--peers', 'nowhere'])
    expect(await exited).toBe(2)
    expect(output.text).toBe('lavenderturn-node: 3400 bad setting --peers (LAVENDERTURN_PEERS): ' +
      'expected host:port, separated by commas, got "nowhere"\n')
  })

  it('names the setting of a port that is in use', async () => {
    const taken = await resources.listen(createServer())
    const { output, exited } = run(['--data-centre', 'dc-1', '--region', 'r-1', '--caller-address', taken])
    expect(await exited).toBe(2)
    expect(output.text).toContain('bad setting --caller-address (LAVENDERTURN_CALLER_ADDRESS): listen EADDRINUSE')
  })

  it('accepts announcements, is not ready without a control document, and exits with code 0 after two signals', async () => {
    const adminAddress = `127.0.0.1:${await findPort()}`
    const { child, output, exited } = run([
      '--data-centre', 'dc-1', '--region', 'r-1', '--caller-address', '127.0.0.1:0', '--admin-address', adminAddress,
      '--forward-address', `127.0.0.1:${await findPort()}`, '--drain-grace', '50', '--log-format', 'json'
    ])
    await waitUntil(() => output.text.includes('node started'), 'the node starts')
    const server = await startBackendServer({ config: makeBackendConfig(), adminAddress })
    resources.add(async () => { await server.close() })
    await waitUntil(async () => {
      return (await sendRequest(adminAddress, { path: '/status' })).json.backendServers.length === 1
    }, 'the backend server is announced')
    expect((await sendRequest(adminAddress, { path: '/livez' })).status).toBe(200)
    expect((await sendRequest(adminAddress, { path: '/readyz' })).status).toBe(503)
    child.kill('SIGTERM')
    child.kill('SIGINT')
    expect(await exited).toBe(0)
    const lines = output.text.trim().split('\n').map((line) => JSON.parse(line))
    expect(lines.map(({ message }) => message)).toEqual([
      'node started', 'member alive', 'backend server announced', 'planned stop started', 'member left'
    ])
  })
})
