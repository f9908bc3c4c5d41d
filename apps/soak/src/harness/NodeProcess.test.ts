import { type NodeId, toId } from '@lavenderturn/types'
import { mkdtempSync, readFileSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { afterEach, describe, expect, it } from 'vitest'
import { NodeProcess } from './NodeProcess'

let folder = ''
let node: NodeProcess | undefined

afterEach(() => {
  node?.close()
  rmSync(folder, { recursive: true })
})

function isAlive (pid: number): boolean {
  try {
    return process.kill(pid, 0)
  } catch {
    // ESRCH: the process does not exist.
    return false
  }
}

async function settle (): Promise<void> {
  await new Promise((resolve) => { setTimeout(resolve, 400) })
}

describe('NodeProcess', () => {
  it('runs one process at a time and leaks none when a killed process exits late', async () => {
    folder = mkdtempSync(join(tmpdir(), 'soak-node-'))
    const exits: Array<string | null> = []
    const pids = join(folder, 'pids')
    const program = `fs.appendFileSync(${JSON.stringify(pids)}, process.pid + ' '); setInterval(() => {}, 1000)`
    node = new NodeProcess({
      node: toId<NodeId>('node-1'),
      command: [process.execPath, '-e', program],
      settingsVariable: 'SETTINGS',
      settings: { bounds: {} },
      folder,
      onExit: (_, signal) => { exits.push(signal) }
    })
    node.start()
    await settle()
    node.signal('SIGKILL')
    node.start()
    await settle()
    node.start()
    node.start()
    await settle()
    node.close()
    await settle()
    expect(exits).toEqual(['SIGKILL', 'SIGKILL'])
    const alive = readFileSync(pids, 'utf8').trim().split(' ').map(Number).filter(isAlive)
    for (const pid of alive) process.kill(pid, 'SIGKILL')
    expect(alive).toEqual([])
  })
})
