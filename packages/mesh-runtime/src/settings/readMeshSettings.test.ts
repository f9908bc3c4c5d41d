import { describe, expect, it } from 'vitest'
import { readMeshSettings } from './readMeshSettings'

function makeSettings (changes: Readonly<Record<string, unknown>> = {}): string {
  return JSON.stringify({
    nodeId: 'node-1',
    dataCentre: 'dc-a',
    service: 'stock',
    peerAddress: '10.0.0.1:1',
    forwardAddress: '10.0.0.1:2',
    callerAddress: '10.0.0.1:3',
    announcementAddress: '10.0.0.1:4',
    readinessAddress: '10.0.0.1:5',
    metricsAddress: '10.0.0.1:6',
    storeAddress: '10.0.0.2:1',
    announceInterval: '1500ms',
    bounds: {
      revoke: '5s',
      grace: '6s',
      coldOver: 1.5,
      coldSlack: 5,
      retryRatio: 0.2,
      retrySlack: 60
    },
    ...changes
  })
}

describe('readMeshSettings', () => {
  it('parses durations with units and defaults the log level', () => {
    const { bounds, logLevel } = readMeshSettings(makeSettings())
    expect(bounds).toMatchObject({ revoke: 5_000, announceInterval: 1_500 })
    expect(logLevel).toBe('info')
  })

  it.each([
    ['storeAddress', 'nowhere', /storeAddress.*HOST:PORT/],
    ['announceInterval', '5', /announceInterval.*unit/],
    ['nodeId', undefined, /nodeId/],
    ['logLevel', 'loud', /logLevel/]
  ])('names the invalid field %s in a one-line message', (name, value, message) => {
    const read = (): unknown => readMeshSettings(makeSettings({ [name]: value }))
    expect(read).toThrow(message)
    expect(read).toThrow(/^[^\n]+$/)
  })

  // Guards against a node that does not start in a deployment whose rules do not need a bound.
  it('takes every combination of bounds, absent or null', () => {
    const all = {
      revoke: '5s',
      grace: '6s',
      coldOver: 1.5,
      coldSlack: 5,
      retryRatio: 0.2,
      retrySlack: 60,
      exposeShare: 0.1,
      exposeSlack: 50,
      rollback: '5s'
    }
    const names = Object.keys(all) as Array<keyof typeof all>
    for (let mask = 0; mask < 2 ** names.length; mask++) {
      for (const missing of [null, undefined]) {
        const entries = names.map((name, index) => [name, (mask & 2 ** index) > 0 ? all[name] : missing])
        const { bounds } = readMeshSettings(makeSettings({ bounds: Object.fromEntries(entries) }))
        expect(Object.values(bounds).every((value) => typeof value === 'number' && value >= 0)).toBe(true)
      }
    }
  })

  // Guards against a version that is opened at once because its bounds are lost on the way.
  it('passes the bounds of roll-outs on, and none that are absent', () => {
    const bounds = { exposeShare: 0.1, exposeSlack: 50, rollback: '5s' }
    expect(readMeshSettings(makeSettings({ bounds })).bounds).toMatchObject({ ...bounds, rollback: 5_000 })
    expect(readMeshSettings(makeSettings()).bounds).not.toHaveProperty('exposeShare')
  })

  // Guards against a bound that is taken for absent because it is wrong.
  it('rejects a bound that is not a number', () => {
    const bounds = { revoke: '5s', grace: '6s', coldOver: 'much' }
    expect(() => readMeshSettings(makeSettings({ bounds }))).toThrow(/bounds.coldOver/)
  })

  it('reports a file that is not JSON', () => {
    expect(() => readMeshSettings('nodeId = 1')).toThrow(/settings file.*JSON/)
  })
})
