import { makeMeshState, makeStorePosition } from '@lavenderturn/fixtures/mesh'
import type { MeshEvent, StorePosition } from '@lavenderturn/mesh'
import { createLogger } from '@lavenderturn/runtime'
import { millis } from '@lavenderturn/types'
import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'
import { afterEach, describe, expect, it, vi } from 'vitest'
import { MeshObserver, MeshRuntime } from '../MeshRuntime'
import { ConfigurationFollower } from './ConfigurationFollower'
import { type ConfigurationReading, ConfigurationSource } from './ConfigurationSource'

setFlagsFromString('--expose-gc')
const collectGarbage = runInNewContext('gc') as () => void

/** Responds to calls with a function of the test, and records them. */
class TestSource extends ConfigurationSource {
  readonly calls: string[] = []

  constructor (
    private readonly answer: (call: string, signal: AbortSignal) => Promise<ConfigurationReading | undefined>
  ) {
    super()
  }

  override async read (signal: AbortSignal): Promise<ConfigurationReading> {
    this.calls.push('read')
    return (await this.answer('read', signal))!
  }

  override async follow (
    { version }: StorePosition, wait: unknown, signal: AbortSignal
  ): Promise<ConfigurationReading | undefined> {
    this.calls.push(`follow ${version}`)
    return await this.answer('follow', signal)
  }

  override exportDocument (): string | undefined {
    return undefined
  }

  override importDocument (): Pick<ConfigurationReading, 'configuration'> {
    return {}
  }
}

let follower: ConfigurationFollower | undefined

afterEach(() => { follower?.stop() })

/** Records how old each reading was when it was dispatched, in milliseconds. */
class AgeObserver extends MeshObserver {
  readonly ages: number[] = []

  override observe (event: MeshEvent): void {
    if (event.type === 'configurationRead') this.ages.push(event.at - event.confirmed.steadyAt)
  }
}

function startFollower (source: ConfigurationSource): AgeObserver {
  const observer = new AgeObserver()
  const runtime = new MeshRuntime({ state: makeMeshState(), observers: [observer] })
  follower = new ConfigurationFollower({ runtime, source, log: createLogger({ write: () => {} }) })
  void follower.run()
  return observer
}

/** Never resolves, like a call on a silent connection; rejects when the call is aborted. */
async function waitForAbort (signal: AbortSignal): Promise<never> {
  return await new Promise((resolve, reject) => {
    // Like an HTTP client, keeps no reference to the signal beyond its listener.
    signal.addEventListener('abort', () => { reject(new Error('aborted')) })
  })
}

async function wait (ms: number): Promise<void> {
  await new Promise((resolve) => { setTimeout(resolve, ms) })
}

describe('ConfigurationFollower', () => {
  it('times out a silent call even if the garbage collector runs in the meantime', async () => {
    const source = new TestSource(async (call, signal) => await waitForAbort(signal))
    startFollower(source)
    for (let round = 0; round < 8; round++) {
      await wait(200)
      collectGarbage()
    }
    expect(source.calls.length).toBeGreaterThan(1)
  })

  it('reads the full state after a waiting call fails, because the next one might hang too', async () => {
    const source = new TestSource(async (call) => {
      if (call === 'follow') throw new Error('connection reset')
      return { cursor: makeStorePosition(7), storeTime: millis(0) }
    })
    startFollower(source)
    await wait(300)
    expect(source.calls.slice(0, 3)).toEqual(['read', 'follow 7', 'read'])
  })

  /** Shifts the wall clock by 5 s while a call waits for `followMs`, and returns the calls made. */
  async function followAcrossJump (followMs: number): Promise<readonly string[]> {
    const now = Date.now.bind(Date)
    let offset = 0
    vi.spyOn(Date, 'now').mockImplementation(() => now() + offset)
    const source = new TestSource(async (call, signal) => {
      if (call === 'follow') await Promise.race([wait(followMs), waitForAbort(signal)])
      if (source.calls.length === 3) offset = -5_000
      return { cursor: makeStorePosition(7), storeTime: millis(performance.now()) }
    })
    startFollower(source)
    if (followMs > 1_000) setTimeout(() => { offset = 5_000 }, 100)
    await wait(600)
    vi.restoreAllMocks()
    return source.calls
  }

  it('reads once after the wall clock was set, so that responses of long calls can be dated again', async () => {
    const calls = await followAcrossJump(100)
    expect(calls.slice(0, 5)).toEqual(['read', 'follow 7', 'follow 7', 'read', 'follow 7'])
  })

  it('aborts a long call after the wall clock was set', async () => {
    const calls = await followAcrossJump(3_000)
    expect(calls.slice(0, 4)).toEqual(['read', 'follow 7', 'read', 'read'])
  })

  it('reads the full state when the history is lost', async () => {
    let follows = 0
    const source = new TestSource(async (call, signal) => {
      if (call === 'read') return { cursor: makeStorePosition(7), storeTime: millis(0) }
      return ++follows === 1 ? undefined : await waitForAbort(signal)
    })
    startFollower(source)
    await wait(200)
    expect(source.calls).toEqual(['read', 'follow 7', 'read', 'follow 7'])
  })

  // Guards against a late response that is dated to its arrival, since the restored source has another clock: a key
  // that was withdrawn meanwhile would stay valid.
  it('dates a response by the clock that the source has since it was restored', async () => {
    let restoredAt = Infinity
    const source = new TestSource(async () => {
      const sentAt = performance.now()
      await wait(100)
      // The response is on its way for 200 ms.
      if (sentAt > restoredAt) await wait(200)
      const isRestored = sentAt >= restoredAt
      return { cursor: makeStorePosition(7, isRestored ? 2 : 1), storeTime: millis(sentAt + (isRestored ? 9_000 : 0)) }
    })
    const { ages } = startFollower(source)
    await wait(300)
    restoredAt = performance.now()
    await wait(800)
    expect(Math.min(...ages.slice(-2))).toBeGreaterThanOrEqual(200)
  })
})
