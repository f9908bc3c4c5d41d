import { makeMeshState } from '@lavenderturn/fixtures/mesh'
import { createLog } from '@lavenderturn/runtime'
import { millis } from '@lavenderturn/types'
import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'
import { afterEach, describe, expect, it } from 'vitest'
import { MeshRuntime } from '../MeshRuntime'
import { ConfigurationFollower } from './ConfigurationFollower'
import { ConfigurationSource, type SourceReading } from './ConfigurationSource'

setFlagsFromString('--expose-gc')
const collectGarbage = runInNewContext('gc') as () => void

/** Answers its calls as the test says, and records them. */
class TestSource extends ConfigurationSource {
  readonly calls: string[] = []

  constructor (private readonly answer: (call: string, signal: AbortSignal) => Promise<SourceReading | undefined>) {
    super()
  }

  override async read (signal: AbortSignal): Promise<SourceReading> {
    this.calls.push('read')
    return (await this.answer('read', signal))!
  }

  override async follow (cursor: number, wait: unknown, signal: AbortSignal): Promise<SourceReading | undefined> {
    this.calls.push(`follow ${cursor}`)
    return await this.answer('follow', signal)
  }
}

let follower: ConfigurationFollower | undefined

afterEach(() => { follower?.stop() })

function start (source: ConfigurationSource): void {
  const runtime = new MeshRuntime({ state: makeMeshState() })
  follower = new ConfigurationFollower({ runtime, source, log: createLog({ write: () => {} }) })
  void follower.run()
}

/** Never answers, like a connection that has gone silent; ends only when the call is aborted. */
async function hang (signal: AbortSignal): Promise<never> {
  return await new Promise((resolve, reject) => {
    // As an HTTP client does, the source holds the signal no longer than it needs for its listener.
    signal.addEventListener('abort', () => { reject(new Error('aborted')) })
  })
}

async function wait (ms: number): Promise<void> {
  await new Promise((resolve) => { setTimeout(resolve, ms) })
}

describe('ConfigurationFollower', () => {
  it('gives a silent call up also when the garbage collector runs meanwhile', async () => {
    const source = new TestSource(async (call, signal) => await hang(signal))
    start(source)
    for (let round = 0; round < 8; round++) {
      await wait(200)
      collectGarbage()
    }
    expect(source.calls.length).toBeGreaterThan(1)
  })

  it('reads everything again after a call that waited has failed: the next one might hang as well', async () => {
    const source = new TestSource(async (call) => {
      if (call === 'follow') throw new Error('connection reset')
      return { cursor: 7, storeTime: millis(0) }
    })
    start(source)
    await wait(300)
    expect(source.calls.slice(0, 3)).toEqual(['read', 'follow 7', 'read'])
  })

  it('reads everything again when the history is lost', async () => {
    let follows = 0
    const source = new TestSource(async (call, signal) => {
      if (call === 'read') return { cursor: 7, storeTime: millis(0) }
      return ++follows === 1 ? undefined : await hang(signal)
    })
    start(source)
    await wait(200)
    expect(source.calls).toEqual(['read', 'follow 7', 'read', 'follow 7'])
  })
})
